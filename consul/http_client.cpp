#include "consul/http_client.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <curl/curl.h>

#include <cctype>
#include <memory>
#include <new>

namespace bramleystall {

namespace {

/** Idle handles beyond this number are closed. */
constexpr std::size_t kMaxIdleHandles = 16;

struct CurlGlobalInit
{
  CurlGlobalInit() { curl_global_init(CURL_GLOBAL_DEFAULT); }
};

struct HeaderListDeleter
{
  void operator()(curl_slist* aList) const { curl_slist_free_all(aList); }
};
using HeaderList = std::unique_ptr<curl_slist, HeaderListDeleter>;

std::size_t
AppendBody(char* aData, std::size_t aSize, std::size_t aCount, void* aResponse)
{
  auto& body = static_cast<ClientResponse*>(aResponse)->m_body;
  const std::size_t length = aSize * aCount;
  if (body.size() + length > HttpClient::kMaxResponseBytes) {
    return 0;
  }
  body.append(aData, length);
  return length;
}

std::size_t
AddHeader(char* aData, std::size_t aSize, std::size_t aCount, void* aResponse)
{
  const std::size_t length = aSize * aCount;
  const std::string line(aData, length);
  const auto colon = line.find(':');
  if (colon != std::string::npos) {
    const std::string name = absl::AsciiStrToLower(line.substr(0, colon));
    const std::string value(
      absl::StripAsciiWhitespace(absl::string_view(line).substr(colon + 1)));
    static_cast<ClientResponse*>(aResponse)->m_headers[name] = value;
  }
  return length;
}

/**
 * Progress callback, which libcurl calls at least once a second; a result other
 * than 0 aborts the request.
 */
int
CheckCancelled(void* aFlag, curl_off_t, curl_off_t, curl_off_t, curl_off_t)
{
  return static_cast<const std::atomic<bool>*>(aFlag)->load() ? 1 : 0;
}

HeaderList
MakeHeaders(const ClientRequest& aRequest)
{
  // Without this, libcurl sends "Expect: 100-continue" before a large body, and
  // repeats the request when the server rejects the expectation.
  curl_slist* headers = curl_slist_append(nullptr, "Expect:");
  for (const auto& header : aRequest.m_headers) {
    headers = curl_slist_append(headers, header.c_str());
  }
  return HeaderList(headers);
}

void
SetOptions(CURL* aHandle, const ClientRequest& aRequest, curl_slist* aHeaders)
{
  curl_easy_setopt(aHandle, CURLOPT_URL, aRequest.m_url.c_str());
  curl_easy_setopt(aHandle, CURLOPT_PROTOCOLS_STR, "http,https");
  curl_easy_setopt(aHandle, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(aHandle, CURLOPT_PROXY, "");
  curl_easy_setopt(aHandle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(aHandle, CURLOPT_FOLLOWLOCATION, 0L);
  curl_easy_setopt(aHandle, CURLOPT_HTTPHEADER, aHeaders);
  curl_easy_setopt(
    aHandle,
    CURLOPT_TIMEOUT_MS,
    static_cast<long>(absl::ToInt64Milliseconds(aRequest.m_timeout)));
  curl_easy_setopt(
    aHandle,
    CURLOPT_CONNECTTIMEOUT_MS,
    static_cast<long>(absl::ToInt64Milliseconds(aRequest.m_connectTimeout)));
  const long isFresh = aRequest.m_usesFreshConnection ? 1L : 0L;
  curl_easy_setopt(aHandle, CURLOPT_FRESH_CONNECT, isFresh);
  curl_easy_setopt(aHandle, CURLOPT_FORBID_REUSE, isFresh);
  if (aRequest.m_isCancelled != nullptr) {
    curl_easy_setopt(aHandle, CURLOPT_NOPROGRESS, 0L);
    curl_easy_setopt(aHandle, CURLOPT_XFERINFOFUNCTION, CheckCancelled);
    curl_easy_setopt(aHandle, CURLOPT_XFERINFODATA, aRequest.m_isCancelled);
  }
  if (aRequest.m_method == "GET") {
    return;
  }
  curl_easy_setopt(aHandle, CURLOPT_POSTFIELDS, aRequest.m_body.data());
  curl_easy_setopt(aHandle,
                   CURLOPT_POSTFIELDSIZE_LARGE,
                   static_cast<curl_off_t>(aRequest.m_body.size()));
  curl_easy_setopt(aHandle, CURLOPT_CUSTOMREQUEST, aRequest.m_method.c_str());
}

/** Whether the failure proves that no connection to the server was made. */
bool
NeverConnected(CURL* aHandle, CURLcode aCode)
{
  if (aCode == CURLE_COULDNT_CONNECT || aCode == CURLE_COULDNT_RESOLVE_HOST) {
    return true;
  }
  // A time-out has the same code while connecting as while waiting for the
  // response. The connect time is also 0 on a reused connection, where the
  // request may have been sent.
  curl_off_t connectMicros = 0;
  curl_easy_getinfo(aHandle, CURLINFO_CONNECT_TIME_T, &connectMicros);
  long newConnections = 0;
  curl_easy_getinfo(aHandle, CURLINFO_NUM_CONNECTS, &newConnections);
  return aCode == CURLE_OPERATION_TIMEDOUT && connectMicros == 0 &&
         newConnections > 0;
}

}

HttpClient::HttpClient()
{
  static const CurlGlobalInit kSetup;
}

HttpClient::~HttpClient()
{
  for (void* handle : m_idleHandles) {
    curl_easy_cleanup(handle);
  }
}

void*
HttpClient::TakeHandle()
{
  const std::scoped_lock lock(m_mutex);
  if (!m_idleHandles.empty()) {
    void* handle = m_idleHandles.back();
    m_idleHandles.pop_back();
    return handle;
  }
  void* handle = curl_easy_init();
  if (handle == nullptr) {
    throw std::bad_alloc();
  }
  return handle;
}

void
HttpClient::ReturnHandle(void* aHandle)
{
  // Resets the options and keeps the connection open.
  curl_easy_reset(aHandle);
  const std::scoped_lock lock(m_mutex);
  if (m_idleHandles.size() < kMaxIdleHandles) {
    m_idleHandles.push_back(aHandle);
    return;
  }
  curl_easy_cleanup(aHandle);
}

namespace {

std::uint64_t
TransferredBytes(CURL* aHandle)
{
  long request = 0;
  long headers = 0;
  curl_off_t download = 0;
  curl_off_t upload = 0;
  curl_easy_getinfo(aHandle, CURLINFO_REQUEST_SIZE, &request);
  curl_easy_getinfo(aHandle, CURLINFO_HEADER_SIZE, &headers);
  curl_easy_getinfo(aHandle, CURLINFO_SIZE_DOWNLOAD_T, &download);
  curl_easy_getinfo(aHandle, CURLINFO_SIZE_UPLOAD_T, &upload);
  return static_cast<std::uint64_t>(request + headers + download + upload);
}

}

ClientResponse
HttpClient::Send(const ClientRequest& aRequest)
{
  CURL* handle = TakeHandle();
  const HeaderList headers = MakeHeaders(aRequest);
  SetOptions(handle, aRequest, headers.get());
  ClientResponse response;
  curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, AppendBody);
  curl_easy_setopt(handle, CURLOPT_WRITEDATA, &response);
  curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, AddHeader);
  curl_easy_setopt(handle, CURLOPT_HEADERDATA, &response);
  const CURLcode code = curl_easy_perform(handle);
  long status = 0;
  curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
  response.m_status = static_cast<int>(status);
  response.m_bytes = TransferredBytes(handle);
  const bool mayHaveBeenSent = !NeverConnected(handle, code);
  ReturnHandle(handle);
  if (code != CURLE_OK) {
    throw HttpError(
      absl::StrCat(
        aRequest.m_method, " ", aRequest.m_url, ": ", curl_easy_strerror(code)),
      mayHaveBeenSent);
  }
  return response;
}

}
