#pragma once

#include <string>

namespace bramleystall {

/**
 * Naive target client: one libcurl handle that reuses its connection for every
 * request. libcurl sends a request again when a reused connection ends before a
 * response, so a request that is not idempotent may run twice.
 */
class ReusingClient
{
public:
  explicit ReusingClient(std::string aAddress);
  ~ReusingClient();
  ReusingClient(const ReusingClient&) = delete;
  ReusingClient& operator=(const ReusingClient&) = delete;

  /** Sends a POST; returns the status, or 0 without a response. */
  int Post(const std::string& aTarget,
           const std::string& aRequestId,
           const std::string& aBody);

private:
  std::string m_address;
  void* m_easy;
};

}
