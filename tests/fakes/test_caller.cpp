#include "tests/fakes/test_caller.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <arpa/inet.h>
#include <curl/curl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <memory>
#include <stdexcept>
#include <vector>

namespace bramleystall {

namespace {

constexpr long kCallTimeoutMs = 20000;

std::size_t
AppendBody(char* aData, std::size_t aSize, std::size_t aCount, void* aResult)
{
  static_cast<CallerResult*>(aResult)->m_body.append(aData, aSize * aCount);
  return aSize * aCount;
}

std::size_t
AppendHeader(char* aData, std::size_t aSize, std::size_t aCount, void* aResult)
{
  const std::vector<std::string> field = absl::StrSplit(
    absl::string_view(aData, aSize * aCount), absl::MaxSplits(':', 1));
  if (field.size() == 2) {
    static_cast<CallerResult*>(aResult)->m_headers.emplace_back(
      absl::AsciiStrToLower(field[0]),
      std::string(absl::StripAsciiWhitespace(field[1])));
  }
  return aSize * aCount;
}

}

CallerResult
CallOnce(int aPort,
         const std::string& aMethod,
         const std::string& aTarget,
         const HttpHeaders& aHeaders,
         const std::string& aBody)
{
  CallerResult result;
  const std::unique_ptr<CURL, decltype(&curl_easy_cleanup)> easy(
    curl_easy_init(), curl_easy_cleanup);
  curl_slist* list = curl_slist_append(nullptr, "Expect:");
  for (const auto& [name, value] : aHeaders) {
    list = curl_slist_append(list, absl::StrCat(name, ": ", value).c_str());
  }
  const std::string url = absl::StrCat("http://127.0.0.1:", aPort, "/");
  curl_easy_setopt(easy.get(), CURLOPT_URL, url.c_str());
  curl_easy_setopt(easy.get(), CURLOPT_REQUEST_TARGET, aTarget.c_str());
  curl_easy_setopt(easy.get(), CURLOPT_HTTPHEADER, list);
  curl_easy_setopt(easy.get(), CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy.get(), CURLOPT_PROXY, "");
  curl_easy_setopt(easy.get(), CURLOPT_TIMEOUT_MS, kCallTimeoutMs);
  curl_easy_setopt(easy.get(), CURLOPT_WRITEFUNCTION, AppendBody);
  curl_easy_setopt(easy.get(), CURLOPT_WRITEDATA, &result);
  curl_easy_setopt(easy.get(), CURLOPT_HEADERFUNCTION, AppendHeader);
  curl_easy_setopt(easy.get(), CURLOPT_HEADERDATA, &result);
  if (aMethod == "HEAD") {
    curl_easy_setopt(easy.get(), CURLOPT_NOBODY, 1L);
  } else {
    if (aMethod != "GET") {
      curl_easy_setopt(
        easy.get(), CURLOPT_POSTFIELDSIZE, static_cast<long>(aBody.size()));
      curl_easy_setopt(easy.get(), CURLOPT_POSTFIELDS, aBody.c_str());
    }
    curl_easy_setopt(easy.get(), CURLOPT_CUSTOMREQUEST, aMethod.c_str());
  }
  if (curl_easy_perform(easy.get()) == CURLE_OK) {
    long status = 0;
    curl_easy_getinfo(easy.get(), CURLINFO_RESPONSE_CODE, &status);
    result.m_status = static_cast<int>(status);
  }
  curl_slist_free_all(list);
  return result;
}

int
OpenAndSend(int aPort, const std::string& aBytes)
{
  const int connection = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  if (connect(connection,
              reinterpret_cast<const sockaddr*>(&address),
              sizeof address) != 0) {
    throw std::runtime_error("test caller: cannot connect to 127.0.0.1");
  }
  if (send(connection, aBytes.data(), aBytes.size(), MSG_NOSIGNAL) !=
      static_cast<ssize_t>(aBytes.size())) {
    throw std::runtime_error("test caller: cannot send the whole request");
  }
  return connection;
}

std::string
SendRaw(int aPort, const std::string& aBytes, absl::Duration aTimeout)
{
  const int connection = OpenAndSend(aPort, aBytes);
  std::string received;
  pollfd waiting{ connection, POLLIN, 0 };
  const auto timeoutMs = static_cast<int>(absl::ToInt64Milliseconds(aTimeout));
  while (poll(&waiting, 1, timeoutMs) > 0) {
    char data[4096];
    const ssize_t got = recv(connection, data, sizeof data, 0);
    if (got <= 0) {
      break;
    }
    received.append(data, static_cast<std::size_t>(got));
  }
  close(connection);
  return received;
}

}
