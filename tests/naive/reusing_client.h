#pragma once

#include <string>

namespace bramleystall {

/**
 * Naive target client with one libcurl handle, which reuses its connection for
 * all requests. libcurl sends a request again if a reused connection closes
 * before the response, so that a request that is not idempotent may run twice.
 */
class ReusingClient
{
public:
  explicit ReusingClient(std::string aAddress);
  ~ReusingClient();
  ReusingClient(const ReusingClient&) = delete;
  ReusingClient& operator=(const ReusingClient&) = delete;

  /** Sends a POST request; returns the status, or 0 if there is no response. */
  int Post(const std::string& aTarget,
           const std::string& aRequestId,
           const std::string& aBody);

private:
  std::string m_address;
  void* m_easy;
};

}
