#include "review/http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdlib>
#include <stdexcept>

namespace bramleystall::review {

namespace {

constexpr int kBacklog = 256;
constexpr std::size_t kReadBytes = 65536;

sockaddr_in
Loopback(int aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  return address;
}

int
BindFreePort(int& aPort)
{
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = Loopback(0);
  socklen_t size = sizeof(address);
  if (listener < 0 ||
      bind(listener, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
      getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size) !=
        0) {
    throw std::runtime_error("cannot bind a loopback port");
  }
  aPort = ntohs(address.sin_port);
  return listener;
}

std::string
ToLower(std::string aText)
{
  std::ranges::transform(aText, aText.begin(), [](unsigned char aChar) {
    return static_cast<char>(std::tolower(aChar));
  });
  return aText;
}

std::string
DecodeUrl(const std::string& aText)
{
  std::string text;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    if (aText[i] == '%' && i + 2 < aText.size()) {
      text += static_cast<char>(
        std::strtol(aText.substr(i + 1, 2).c_str(), nullptr, 16));
      i += 2;
    } else {
      text += aText[i] == '+' ? ' ' : aText[i];
    }
  }
  return text;
}

void
ParseTarget(const std::string& aTarget, HttpRequest& aRequest)
{
  const std::size_t mark = aTarget.find('?');
  aRequest.m_path = aTarget.substr(0, mark);
  std::string query =
    mark == std::string::npos ? "" : aTarget.substr(mark + 1) + "&";
  for (std::size_t end = query.find('&'); end != std::string::npos;
       end = query.find('&')) {
    const std::string pair = query.substr(0, end);
    query.erase(0, end + 1);
    const std::size_t equals = pair.find('=');
    if (equals != std::string::npos) {
      aRequest.m_query[pair.substr(0, equals)] =
        DecodeUrl(pair.substr(equals + 1));
    }
  }
}

/** Reads one message; aFirstLine and aHeaders are filled in. */
bool
ReadMessage(int aSocket,
            std::string& aBuffer,
            std::string& aFirstLine,
            std::map<std::string, std::string>& aHeaders,
            std::string& aBody)
{
  std::array<char, kReadBytes> bytes{};
  const auto readMore = [&] {
    const ssize_t count = recv(aSocket, bytes.data(), bytes.size(), 0);
    if (count > 0) {
      aBuffer.append(bytes.data(), static_cast<std::size_t>(count));
    }
    return count > 0;
  };
  std::size_t end = 0;
  while ((end = aBuffer.find("\r\n\r\n")) == std::string::npos) {
    if (!readMore()) {
      return false;
    }
  }
  std::string head = aBuffer.substr(0, end + 2);
  aBuffer.erase(0, end + 4);
  std::size_t line = head.find("\r\n");
  aFirstLine = head.substr(0, line);
  head.erase(0, line + 2);
  while ((line = head.find("\r\n")) != std::string::npos) {
    const std::string text = head.substr(0, line);
    head.erase(0, line + 2);
    const std::size_t colon = text.find(':');
    if (colon != std::string::npos) {
      std::size_t value = colon + 1;
      while (value < text.size() && text[value] == ' ') {
        ++value;
      }
      aHeaders[ToLower(text.substr(0, colon))] = text.substr(value);
    }
  }
  const auto length = aHeaders.find("content-length");
  const std::size_t size =
    length == aHeaders.end()
      ? 0
      : static_cast<std::size_t>(std::atoll(length->second.c_str()));
  while (aBuffer.size() < size) {
    if (!readMore()) {
      return false;
    }
  }
  aBody = aBuffer.substr(0, size);
  aBuffer.erase(0, size);
  return true;
}

bool
WriteAll(int aSocket, const std::string& aText)
{
  std::size_t sent = 0;
  while (sent < aText.size()) {
    const ssize_t count =
      send(aSocket, aText.data() + sent, aText.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

void
SetNoDelay(int aSocket)
{
  const int yes = 1;
  setsockopt(aSocket, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
}

}

HttpServer::HttpServer(Handler aHandler)
  : m_handler(std::move(aHandler))
{
  m_listener = BindFreePort(m_port);
  if (listen(m_listener, kBacklog) != 0) {
    throw std::runtime_error("cannot listen on a loopback port");
  }
  m_acceptor = std::thread([this] { Accept(); });
}

HttpServer::~HttpServer()
{
  m_isStopping = true;
  shutdown(m_listener, SHUT_RDWR);
  m_acceptor.join();
  close(m_listener);
  {
    const std::lock_guard lock(m_mutex);
    for (const int socket : m_sockets) {
      shutdown(socket, SHUT_RDWR);
    }
  }
  for (std::thread& connection : m_connections) {
    connection.join();
  }
}

std::string
HttpServer::Address() const
{
  return "127.0.0.1:" + std::to_string(m_port);
}

void
HttpServer::Accept()
{
  while (!m_isStopping) {
    const int socket = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (socket < 0) {
      continue;
    }
    SetNoDelay(socket);
    const std::lock_guard lock(m_mutex);
    m_sockets.insert(socket);
    m_connections.emplace_back([this, socket] { Serve(socket); });
  }
}

void
HttpServer::Serve(int aSocket)
{
  std::string buffer;
  bool isOpen = true;
  while (isOpen && !m_isStopping) {
    HttpRequest request;
    std::string firstLine;
    if (!ReadMessage(
          aSocket, buffer, firstLine, request.m_headers, request.m_body)) {
      break;
    }
    const std::size_t space = firstLine.find(' ');
    const std::size_t last = firstLine.rfind(' ');
    request.m_method = firstLine.substr(0, space);
    ParseTarget(firstLine.substr(space + 1, last - space - 1), request);
    const HttpReply reply = m_handler(request);
    switch (reply.m_delivery) {
      case Delivery::Respond:
        isOpen = WriteAll(
          aSocket,
          "HTTP/1.1 " + std::to_string(reply.m_status) +
            " X\r\nContent-Type: application/json\r\nContent-Length: " +
            std::to_string(reply.m_body.size()) + "\r\n\r\n" + reply.m_body);
        break;
      case Delivery::Reset: {
        const linger discard{ .l_onoff = 1, .l_linger = 0 };
        setsockopt(aSocket, SOL_SOCKET, SO_LINGER, &discard, sizeof(discard));
        isOpen = false;
        break;
      }
      case Delivery::Silent:
        break;
    }
  }
  const std::lock_guard lock(m_mutex);
  m_sockets.erase(aSocket);
  close(aSocket);
}

HttpResult
SendHttp(const std::string& aAddress,
         const std::string& aMethod,
         const std::string& aPath,
         const std::string& aHost,
         const std::string& aBody,
         int aTimeoutMs)
{
  HttpResult result;
  const int port = std::atoi(aAddress.substr(aAddress.rfind(':') + 1).c_str());
  const int connection = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const timeval timeout{ .tv_sec = aTimeoutMs / 1000,
                         .tv_usec = (aTimeoutMs % 1000) * 1000 };
  setsockopt(connection, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
  SetNoDelay(connection);
  const sockaddr_in address = Loopback(port);
  std::string buffer;
  std::string firstLine;
  std::map<std::string, std::string> headers;
  const bool hasResponse =
    connect(connection,
            reinterpret_cast<const sockaddr*>(&address),
            sizeof(address)) == 0 &&
    WriteAll(connection,
             aMethod + " " + aPath + " HTTP/1.1\r\nHost: " + aHost +
               "\r\nContent-Type: application/json\r\nContent-Length: " +
               std::to_string(aBody.size()) + "\r\n\r\n" + aBody) &&
    ReadMessage(connection, buffer, firstLine, headers, result.m_body);
  if (hasResponse) {
    result.m_status =
      std::atoi(firstLine.substr(firstLine.find(' ') + 1).c_str());
  }
  close(connection);
  return result;
}

std::string
FreeAddress()
{
  int port = 0;
  close(BindFreePort(port));
  return "127.0.0.1:" + std::to_string(port);
}

}
