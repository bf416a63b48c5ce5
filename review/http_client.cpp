#include "review/http_client.h"

#include <arpa/inet.h>
#include <chrono>
#include <cstdlib>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace second_review {

namespace {

/** Reads until the response is complete, the peer closes or time is up. */
HttpResponse
ReadResponse(int aSocket, std::chrono::steady_clock::time_point aDeadline)
{
  std::string data;
  while (true) {
    const std::size_t end = data.find("\r\n\r\n");
    if (end != std::string::npos) {
      const std::size_t field = data.find("Content-Length:");
      const std::size_t size =
        field < end ? std::strtoul(data.c_str() + field + 15, nullptr, 10) : 0;
      if (data.size() >= end + 4 + size) {
        return { std::atoi(data.c_str() + 9), data.substr(end + 4, size) };
      }
    }
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
      aDeadline - std::chrono::steady_clock::now());
    pollfd wait{ aSocket, POLLIN, 0 };
    if (left.count() <= 0 ||
        poll(&wait, 1, static_cast<int>(left.count())) <= 0) {
      return {};
    }
    char buffer[4096];
    const ssize_t count = recv(aSocket, buffer, sizeof(buffer), 0);
    if (count <= 0) {
      return {};
    }
    data.append(buffer, static_cast<std::size_t>(count));
  }
}

}

HttpResponse
Call(const std::string& aAddress,
     const std::string& aMethod,
     const std::string& aPath,
     const std::string& aHost,
     const std::string& aBody,
     int aTimeoutMs)
{
  const auto deadline =
    std::chrono::steady_clock::now() + std::chrono::milliseconds(aTimeoutMs);
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(
    std::atoi(aAddress.substr(aAddress.find(':') + 1).c_str())));
  HttpResponse response;
  const std::string request =
    aMethod + " " + aPath + " HTTP/1.1\r\nHost: " + aHost +
    "\r\nContent-Type: application/json\r\nBramleystall-Deadline-Ms: " +
    std::to_string(aTimeoutMs) +
    "\r\nContent-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
  if (connect(socket, reinterpret_cast<sockaddr*>(&address), sizeof(address)) ==
        0 &&
      send(socket, request.data(), request.size(), MSG_NOSIGNAL) ==
        static_cast<ssize_t>(request.size())) {
    response = ReadResponse(socket, deadline);
  }
  close(socket);
  return response;
}

}
