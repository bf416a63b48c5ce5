#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace bramleystall::review {

/** Request as a stand-in received it; header names are in lower case. */
struct HttpRequest
{
  std::string m_method;
  std::string m_path;
  std::map<std::string, std::string> m_query;
  std::map<std::string, std::string> m_headers;
  std::string m_body;
};

/** What a stand-in does with a connection after a request. */
enum class Delivery
{
  Respond,
  /** Resets the connection without a response. */
  Reset,
  /** Sends nothing and keeps the connection. */
  Silent,
};

struct HttpReply
{
  int m_status = 200;
  std::string m_body = "{}";
  Delivery m_delivery = Delivery::Respond;
};

/** HTTP/1.1 server on a free loopback port, with a thread per connection. */
class HttpServer
{
public:
  using Handler = std::function<HttpReply(const HttpRequest&)>;

  explicit HttpServer(Handler aHandler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  std::string Address() const;

private:
  void Accept();
  void Serve(int aSocket);

  Handler m_handler;
  int m_listener = -1;
  int m_port = 0;
  std::atomic<bool> m_isStopping = false;
  std::mutex m_mutex;
  std::set<int> m_sockets;
  std::vector<std::thread> m_connections;
  std::thread m_acceptor;
};

/** Response of a server; the status is 0 if there was no complete response. */
struct HttpResult
{
  int m_status = 0;
  std::string m_body;
};

/** Sends one request on a connection of its own. */
HttpResult
SendHttp(const std::string& aAddress,
         const std::string& aMethod,
         const std::string& aPath,
         const std::string& aHost,
         const std::string& aBody,
         int aTimeoutMs);

/** A loopback address with a port that is free now. */
std::string
FreeAddress();

}
