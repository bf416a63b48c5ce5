#pragma once

#include "review/http_message.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace second_review {

/** An HTTP server on a free loopback port, with a thread for each connection.
 * It lives until the process exits. */
class HttpServer
{
public:
  using Handler = std::function<HttpResponse(const HttpRequest&)>;

  explicit HttpServer(Handler aHandler);

  /** "127.0.0.1:PORT" */
  const std::string& Address() const { return m_address; }
  /** The connections that are open now go silent: they lose all bytes, but are
   * not closed. New connections work. Returns their number. */
  int SilenceOpenConnections();
  /** While cut off, the server loses all bytes of all connections. */
  void SetCutOff(bool aIsCutOff);
  /** While down, the server closes its connections and accepts none. */
  void SetDown(bool aIsDown);
  int OpenConnections();

private:
  struct Connection
  {
    int m_socket = -1;
    std::atomic<bool> m_isSilent = false;
    std::atomic<bool> m_isClosed = false;
  };

  void Accept();
  void Serve(const std::shared_ptr<Connection>& aConnection);

  Handler m_handler;
  int m_socket = -1;
  std::string m_address;
  std::atomic<bool> m_isDown = false;
  std::atomic<bool> m_isCutOff = false;
  std::mutex m_mutex;
  std::vector<std::shared_ptr<Connection>> m_connections;
};

/** Loopback address with a port that is free now. */
std::string
FreeAddress();

}
