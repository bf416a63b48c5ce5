#include "server/target_client.h"

#include "core/error.h"
#include "core/log.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/strip.h>
#include <curl/curl.h>

#include <algorithm>
#include <mutex>
#include <optional>
#include <thread>
#include <unordered_map>
#include <utility>
#include <vector>

namespace bramleystall {

namespace {

// A target in the same data centre accepts a connection within a few
// milliseconds; a target that does not within a second is overloaded or down.
constexpr long kConnectTimeoutMs = 1000;
constexpr int kPollTimeoutMs = 1000;
// Limit for the idle connections to all targets together; each target also has
// its own limit.
constexpr long kMaxIdleConnections = 1024;
// Shorter than the usual idle time-outs of HTTP servers (5 s and more). This
// avoids most races between a new request and the target closing the
// connection.
constexpr long kMaxIdleSeconds = 4;

/** One attempt in progress. libcurl holds pointers to it, so it must not
 * move. */
struct Transfer
{
  TargetRequest m_request;
  TargetClient::Done m_done;
  std::size_t m_maxBodyBytes = 0;
  curl_slist* m_headerList = nullptr;
  HttpResponse m_response;
  std::optional<std::size_t> m_contentLength;
  bool m_isChunked = false;
  bool m_hasAllHeaders = false;
  bool m_isSent = false;
  bool m_isTooLarge = false;

  ~Transfer() { curl_slist_free_all(m_headerList); }
};

std::size_t
OnHeader(char* aData, std::size_t aSize, std::size_t aCount, void* aTransfer)
{
  auto& transfer = *static_cast<Transfer*>(aTransfer);
  const std::size_t bytes = aSize * aCount;
  absl::string_view line(aData, bytes);
  if (absl::StartsWith(line, "HTTP/")) {
    // A status line starts a new response; discards an interim one (1xx).
    transfer.m_response.m_headers.clear();
    transfer.m_contentLength.reset();
    transfer.m_isChunked = false;
    transfer.m_hasAllHeaders = false;
    return bytes;
  }
  line = absl::StripAsciiWhitespace(line);
  if (line.empty()) {
    transfer.m_hasAllHeaders = true;
    return bytes;
  }
  const std::size_t colon = line.find(':');
  if (transfer.m_hasAllHeaders || colon == absl::string_view::npos) {
    // Fields after the headers are trailers, which are not forwarded.
    return bytes;
  }
  const std::string name(line.substr(0, colon));
  const std::string value(absl::StripAsciiWhitespace(line.substr(colon + 1)));
  if (absl::EqualsIgnoreCase(name, "Content-Length")) {
    std::uint64_t length = 0;
    if (absl::SimpleAtoi(value, &length)) {
      transfer.m_contentLength = length;
    }
  }
  if (absl::EqualsIgnoreCase(name, "Transfer-Encoding")) {
    transfer.m_isChunked = absl::EqualsIgnoreCase(value, "chunked");
  }
  transfer.m_response.m_headers.emplace_back(name, value);
  return bytes;
}

std::size_t
OnBody(char* aData, std::size_t aSize, std::size_t aCount, void* aTransfer)
{
  auto& transfer = *static_cast<Transfer*>(aTransfer);
  const std::size_t bytes = aSize * aCount;
  if (transfer.m_response.m_body.size() + bytes > transfer.m_maxBodyBytes) {
    transfer.m_isTooLarge = true;
    return 0;
  }
  transfer.m_response.m_body.append(aData, bytes);
  return bytes;
}

/** Called by libcurl when the connection is established, immediately before it
 * sends the request. */
int
OnBeforeRequest(void* aTransfer, char*, char*, int, int)
{
  auto& transfer = *static_cast<Transfer*>(aTransfer);
  // A second call means that libcurl is about to resend the request.
  if (transfer.m_isSent) {
    return CURL_PREREQFUNC_ABORT;
  }
  transfer.m_isSent = true;
  return CURL_PREREQFUNC_OK;
}

bool
HasNoBody(const Transfer& aTransfer)
{
  const int status = aTransfer.m_response.m_status;
  return aTransfer.m_request.m_method == "HEAD" || status == 204 ||
         status == 304;
}

bool
IsComplete(const Transfer& aTransfer)
{
  if (!aTransfer.m_hasAllHeaders || aTransfer.m_response.m_status < 200) {
    return false;
  }
  if (HasNoBody(aTransfer) || aTransfer.m_isChunked) {
    return true;
  }
  return aTransfer.m_contentLength == aTransfer.m_response.m_body.size();
}

AttemptFailure
ClassifyFailure(const Transfer& aTransfer, CURLcode aCode)
{
  if (aTransfer.m_isTooLarge) {
    return AttemptFailure::ResponseTooLarge;
  }
  if (aCode == CURLE_OPERATION_TIMEDOUT && aTransfer.m_isSent) {
    return AttemptFailure::TimedOut;
  }
  if (!aTransfer.m_isSent) {
    return AttemptFailure::ConnectFailed;
  }
  if (aTransfer.m_hasAllHeaders || !aTransfer.m_response.m_headers.empty()) {
    return AttemptFailure::ResponseTruncated;
  }
  return AttemptFailure::ConnectionClosed;
}

/** Keeps libcurl from adding a default header: an entry without a value in the
 * list removes it. */
void
DisableDefaultHeader(Transfer& aTransfer, const char* aName)
{
  if (!FindHeader(aTransfer.m_request.m_headers, aName)) {
    const std::string line = absl::StrCat(aName, ":");
    aTransfer.m_headerList =
      curl_slist_append(aTransfer.m_headerList, line.c_str());
  }
}

void
BuildHeaderList(Transfer& aTransfer)
{
  for (const auto& [name, value] : aTransfer.m_request.m_headers) {
    const std::string line =
      value.empty() ? absl::StrCat(name, ";") : absl::StrCat(name, ": ", value);
    aTransfer.m_headerList =
      curl_slist_append(aTransfer.m_headerList, line.c_str());
  }
  for (const char* const name : { "Accept", "Content-Type", "Expect" }) {
    DisableDefaultHeader(aTransfer, name);
  }
}

bool
SendsBody(const TargetRequest& aRequest)
{
  const std::string& method = aRequest.m_method;
  const bool hasBody = aRequest.m_source && !aRequest.m_source->m_body.empty();
  return hasBody || method == "POST" || method == "PUT" || method == "PATCH";
}

void
SetMethodAndBody(CURL* aEasy, const TargetRequest& aRequest)
{
  if (aRequest.m_method == "HEAD") {
    curl_easy_setopt(aEasy, CURLOPT_NOBODY, 1L);
    return;
  }
  if (SendsBody(aRequest)) {
    const bool hasSource = static_cast<bool>(aRequest.m_source);
    const char* const data = hasSource ? aRequest.m_source->m_body.data() : "";
    const std::size_t size = hasSource ? aRequest.m_source->m_body.size() : 0;
    curl_easy_setopt(
      aEasy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(size));
    curl_easy_setopt(aEasy, CURLOPT_POSTFIELDS, data);
  }
  curl_easy_setopt(aEasy, CURLOPT_CUSTOMREQUEST, aRequest.m_method.c_str());
}

void
ConfigureTransfer(CURL* aEasy, Transfer& aTransfer)
{
  const TargetRequest& request = aTransfer.m_request;
  const std::string url = absl::StrCat("http://", request.m_address, "/");
  const long timeoutMs =
    std::max<long>(1, absl::ToInt64Milliseconds(request.m_timeout));
  const long fresh = request.m_usesFreshConnection ? 1 : 0;
  BuildHeaderList(aTransfer);
  curl_easy_setopt(aEasy, CURLOPT_URL, url.c_str());
  curl_easy_setopt(aEasy, CURLOPT_REQUEST_TARGET, request.m_target.c_str());
  SetMethodAndBody(aEasy, request);
  curl_easy_setopt(aEasy, CURLOPT_HTTPHEADER, aTransfer.m_headerList);
  curl_easy_setopt(aEasy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(aEasy, CURLOPT_PROXY, "");
  curl_easy_setopt(aEasy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(aEasy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(aEasy, CURLOPT_FOLLOWLOCATION, 0L);
  curl_easy_setopt(aEasy, CURLOPT_TIMEOUT_MS, timeoutMs);
  curl_easy_setopt(
    aEasy, CURLOPT_CONNECTTIMEOUT_MS, std::min(timeoutMs, kConnectTimeoutMs));
  curl_easy_setopt(aEasy, CURLOPT_MAXAGE_CONN, kMaxIdleSeconds);
  curl_easy_setopt(aEasy, CURLOPT_FRESH_CONNECT, fresh);
  curl_easy_setopt(aEasy, CURLOPT_FORBID_REUSE, fresh);
  curl_easy_setopt(aEasy, CURLOPT_HEADERFUNCTION, OnHeader);
  curl_easy_setopt(aEasy, CURLOPT_HEADERDATA, &aTransfer);
  curl_easy_setopt(aEasy, CURLOPT_WRITEFUNCTION, OnBody);
  curl_easy_setopt(aEasy, CURLOPT_WRITEDATA, &aTransfer);
  curl_easy_setopt(aEasy, CURLOPT_PREREQFUNCTION, OnBeforeRequest);
  curl_easy_setopt(aEasy, CURLOPT_PREREQDATA, &aTransfer);
}

TargetResult
StoppedResult(bool aMayHaveBeenSent)
{
  return { AttemptFailure::Stopped, aMayHaveBeenSent, {} };
}

}

struct TargetClient::Impl
{
  using PendingAttempt = std::pair<TargetRequest, Done>;

  int m_connectionsPerTarget = 0;
  std::size_t m_maxResponseBytes = 0;
  CURLM* m_multi = nullptr;
  std::vector<CURL*> m_idleHandles;
  std::unordered_map<CURL*, std::unique_ptr<Transfer>> m_running;
  std::mutex m_mutex;
  std::vector<PendingAttempt> m_pending;
  bool m_isStopping = false;
  std::thread m_thread;

  ~Impl();
  void Run();
  bool StartPending();
  void StartTransfer(PendingAttempt aPending);
  void CollectFinished();
  void FinishTransfer(CURL* aEasy, CURLcode aCode);
  void AbortAll();
};

TargetClient::Impl::~Impl()
{
  for (CURL* const easy : m_idleHandles) {
    curl_easy_cleanup(easy);
  }
  if (m_multi) {
    curl_multi_cleanup(m_multi);
  }
}

void
TargetClient::Impl::Run()
{
  while (StartPending()) {
    int running = 0;
    curl_multi_perform(m_multi, &running);
    CollectFinished();
    curl_multi_poll(m_multi, nullptr, 0, kPollTimeoutMs, nullptr);
  }
  AbortAll();
}

bool
TargetClient::Impl::StartPending()
{
  std::vector<PendingAttempt> pending;
  {
    const std::lock_guard lock(m_mutex);
    if (m_isStopping) {
      return false;
    }
    pending.swap(m_pending);
  }
  for (PendingAttempt& attempt : pending) {
    StartTransfer(std::move(attempt));
  }
  return true;
}

void
TargetClient::Impl::StartTransfer(PendingAttempt aPending)
{
  CURL* easy = nullptr;
  if (m_idleHandles.empty()) {
    easy = curl_easy_init();
  } else {
    easy = m_idleHandles.back();
    m_idleHandles.pop_back();
  }
  if (!easy) {
    aPending.second({ AttemptFailure::ConnectFailed, false, {} });
    return;
  }
  auto transfer = std::make_unique<Transfer>();
  transfer->m_request = std::move(aPending.first);
  transfer->m_done = std::move(aPending.second);
  transfer->m_maxBodyBytes = m_maxResponseBytes;
  ConfigureTransfer(easy, *transfer);
  m_running.emplace(easy, std::move(transfer));
  if (curl_multi_add_handle(m_multi, easy) != CURLM_OK) {
    FinishTransfer(easy, CURLE_FAILED_INIT);
  }
}

void
TargetClient::Impl::CollectFinished()
{
  int remaining = 0;
  while (const CURLMsg* const message =
           curl_multi_info_read(m_multi, &remaining)) {
    if (message->msg == CURLMSG_DONE) {
      FinishTransfer(message->easy_handle, message->data.result);
    }
  }
}

void
TargetClient::Impl::FinishTransfer(CURL* aEasy, CURLcode aCode)
{
  auto node = m_running.extract(aEasy);
  const std::unique_ptr<Transfer> transfer = std::move(node.mapped());
  long status = 0;
  curl_easy_getinfo(aEasy, CURLINFO_RESPONSE_CODE, &status);
  transfer->m_response.m_status = static_cast<int>(status);
  curl_multi_remove_handle(m_multi, aEasy);
  curl_easy_reset(aEasy);
  m_idleHandles.push_back(aEasy);
  TargetResult result;
  result.m_mayHaveBeenSent = transfer->m_isSent;
  if (aCode != CURLE_OK || !IsComplete(*transfer)) {
    result.m_failure = ClassifyFailure(*transfer, aCode);
  } else {
    result.m_response = std::move(transfer->m_response);
  }
  transfer->m_done(std::move(result));
}

void
TargetClient::Impl::AbortAll()
{
  for (auto& [easy, transfer] : m_running) {
    curl_multi_remove_handle(m_multi, easy);
    curl_easy_cleanup(easy);
    transfer->m_done(StoppedResult(transfer->m_isSent));
  }
  m_running.clear();
  std::vector<PendingAttempt> pending;
  {
    const std::lock_guard lock(m_mutex);
    pending.swap(m_pending);
  }
  for (const PendingAttempt& attempt : pending) {
    attempt.second(StoppedResult(false));
  }
}

TargetClient::TargetClient(int aConnectionsPerTarget,
                           std::size_t aMaxResponseBytes)
  : m_impl(std::make_unique<Impl>())
{
  m_impl->m_connectionsPerTarget = aConnectionsPerTarget;
  m_impl->m_maxResponseBytes = aMaxResponseBytes;
}

TargetClient::~TargetClient()
{
  Stop();
}

void
TargetClient::Start()
{
  static const CURLcode sInitResult = curl_global_init(CURL_GLOBAL_DEFAULT);
  m_impl->m_multi = curl_multi_init();
  if (sInitResult != CURLE_OK || !m_impl->m_multi) {
    throw Error(ErrorCode::Internal, "targets: libcurl cannot be initialised");
  }
  curl_multi_setopt(m_impl->m_multi,
                    CURLMOPT_MAX_HOST_CONNECTIONS,
                    static_cast<long>(m_impl->m_connectionsPerTarget));
  curl_multi_setopt(m_impl->m_multi, CURLMOPT_MAXCONNECTS, kMaxIdleConnections);
  m_impl->m_thread = std::thread([impl = m_impl.get()] { impl->Run(); });
}

void
TargetClient::Stop()
{
  {
    const std::lock_guard lock(m_impl->m_mutex);
    m_impl->m_isStopping = true;
  }
  if (m_impl->m_thread.joinable()) {
    curl_multi_wakeup(m_impl->m_multi);
    m_impl->m_thread.join();
  }
}

void
TargetClient::Send(TargetRequest aRequest, Done aDone)
{
  {
    const std::lock_guard lock(m_impl->m_mutex);
    if (!m_impl->m_isStopping) {
      m_impl->m_pending.emplace_back(std::move(aRequest), std::move(aDone));
      curl_multi_wakeup(m_impl->m_multi);
      return;
    }
  }
  aDone(StoppedResult(false));
}

}
