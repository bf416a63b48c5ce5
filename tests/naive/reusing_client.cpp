#include "tests/naive/reusing_client.h"

#include <curl/curl.h>

#include <utility>

namespace bramleystall {

namespace {

std::size_t
Discard(char*, std::size_t aSize, std::size_t aCount, void*)
{
  return aSize * aCount;
}

}

ReusingClient::ReusingClient(std::string aAddress)
  : m_address(std::move(aAddress))
  , m_easy(curl_easy_init())
{
}

ReusingClient::~ReusingClient()
{
  curl_easy_cleanup(m_easy);
}

int
ReusingClient::Post(const std::string& aTarget,
                    const std::string& aRequestId,
                    const std::string& aBody)
{
  const std::string url = "http://" + m_address + aTarget;
  const std::string header = "X-Request-Id: " + aRequestId;
  curl_slist* const headers = curl_slist_append(nullptr, header.c_str());
  curl_easy_setopt(m_easy, CURLOPT_URL, url.c_str());
  curl_easy_setopt(m_easy, CURLOPT_PROXY, "");
  curl_easy_setopt(m_easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(m_easy, CURLOPT_TIMEOUT_MS, 5000L);
  curl_easy_setopt(m_easy, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt(m_easy, CURLOPT_POSTFIELDS, aBody.c_str());
  curl_easy_setopt(m_easy, CURLOPT_WRITEFUNCTION, Discard);
  long status = 0;
  if (curl_easy_perform(m_easy) == CURLE_OK) {
    curl_easy_getinfo(m_easy, CURLINFO_RESPONSE_CODE, &status);
  }
  curl_easy_setopt(m_easy, CURLOPT_HTTPHEADER, nullptr);
  curl_slist_free_all(headers);
  return static_cast<int>(status);
}

}
