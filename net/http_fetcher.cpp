#include "net/http_fetcher.h"

#include "core/log.h"
#include "net/event_loop.h"

#include <absl/strings/str_cat.h>
#include <curl/curl.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <unordered_map>
#include <utility>

namespace bramleystall {

namespace {

/** Time-out of a connection attempt. */
constexpr long kConnectTimeoutMs = 700;
/** Maximum number of idle easy handles that are kept for reuse. */
constexpr std::size_t kMaxIdleHandles = 32;
/** Maximum number of connections that are kept open, over all hosts. */
constexpr long kMaxCachedConnections = 1024;

std::uint32_t
ToEpollEvents(int aPollAction)
{
  switch (aPollAction) {
    case CURL_POLL_IN:
      return EPOLLIN;
    case CURL_POLL_OUT:
      return EPOLLOUT;
    default:
      return EPOLLIN | EPOLLOUT;
  }
}

int
ToCurlActions(std::uint32_t aEvents)
{
  int actions = 0;
  if ((aEvents & (EPOLLIN | EPOLLHUP)) != 0) {
    actions |= CURL_CSELECT_IN;
  }
  if ((aEvents & EPOLLOUT) != 0) {
    actions |= CURL_CSELECT_OUT;
  }
  if ((aEvents & EPOLLERR) != 0) {
    actions |= CURL_CSELECT_ERR;
  }
  return actions;
}

/**
 * Makes close() discard data that has not been delivered. Otherwise a request
 * that timed out would reach the server after newer requests, once a network
 * partition ends.
 */
int
ResetOnClose(void* /*aContext*/, curl_socket_t aSocket, curlsocktype /*aUse*/)
{
  const linger discard{ .l_onoff = 1, .l_linger = 0 };
  setsockopt(aSocket, SOL_SOCKET, SO_LINGER, &discard, sizeof(discard));
  return CURL_SOCKOPT_OK;
}

std::size_t
AppendBody(char* aData, std::size_t aSize, std::size_t aCount, void* aBody)
{
  static_cast<std::string*>(aBody)->append(aData, aSize * aCount);
  return aSize * aCount;
}

}

struct HttpFetcher::Transfer
{
  std::uint64_t m_id = 0;
  FetchRequest m_request;
  Callback m_callback;
  FetchResult m_result;
  Multi* m_multi = nullptr;
  CURL* m_easy = nullptr;
  curl_slist* m_headers = nullptr;
  /** At least one byte of the request may have left. */
  bool m_isSent = false;

  /** Called by libcurl when it has a connection, immediately before it sends
   * the request. */
  static int OnBeforeRequest(void* aSelf, char*, char*, int, int)
  {
    auto* self = static_cast<Transfer*>(aSelf);
    // A second call means that libcurl is about to resend the request. Its
    // response, e.g. a refusal, would say nothing about the first sending.
    if (self->m_isSent && !self->m_request.IsIdempotent()) {
      return CURL_PREREQFUNC_ABORT;
    }
    self->m_isSent = true;
    return CURL_PREREQFUNC_OK;
  }
};

/** A set of connections with the transfers on them. */
struct HttpFetcher::Multi
{
  Multi() = default;
  Multi(const Multi&) = delete;
  Multi& operator=(const Multi&) = delete;
  ~Multi()
  {
    m_isClosing = true;
    for (auto& [easy, transfer] : m_transfers) {
      curl_multi_remove_handle(m_handle, easy);
      curl_slist_free_all(transfer->m_headers);
      curl_easy_cleanup(easy);
    }
    m_fetcher->m_loop.Cancel(m_timer);
    curl_multi_cleanup(m_handle);
  }

  CURLM* m_handle = nullptr;
  EventLoop::TimerId m_timer = 0;
  std::unordered_map<CURL*, std::unique_ptr<Transfer>> m_transfers;
  HttpFetcher* m_fetcher = nullptr;
  bool m_isClosing = false;

  void RunSocketAction(curl_socket_t aSocket, int aActions)
  {
    int running = 0;
    curl_multi_socket_action(m_handle, aSocket, aActions, &running);
    m_fetcher->CompleteTransfers(*this);
  }

  static int OnSocket(CURL*,
                      curl_socket_t aSocket,
                      int aPollAction,
                      void* aSelf,
                      void*)
  {
    auto* self = static_cast<Multi*>(aSelf);
    if (aPollAction == CURL_POLL_REMOVE) {
      self->m_fetcher->m_loop.Unwatch(aSocket);
      return 0;
    }
    self->m_fetcher->m_loop.Watch(aSocket,
                                  ToEpollEvents(aPollAction),
                                  [self, aSocket](std::uint32_t aEvents) {
                                    self->RunSocketAction(
                                      aSocket, ToCurlActions(aEvents));
                                  });
    return 0;
  }

  static int OnTimer(CURLM*, long aTimeoutMs, void* aSelf)
  {
    auto* self = static_cast<Multi*>(aSelf);
    EventLoop& loop = self->m_fetcher->m_loop;
    loop.Cancel(self->m_timer);
    self->m_timer = 0;
    if (aTimeoutMs >= 0 && !self->m_isClosing) {
      self->m_timer = loop.After(absl::Milliseconds(aTimeoutMs), [self] {
        self->m_timer = 0;
        self->RunSocketAction(CURL_SOCKET_TIMEOUT, 0);
      });
    }
    return 0;
  }
};

HttpFetcher::HttpFetcher(EventLoop& aLoop,
                         int aConnectionsPerHost,
                         AfterTimeout aAfterTimeout)
  : m_loop(aLoop)
  , m_connectionsPerHost(aConnectionsPerHost)
  , m_afterTimeout(aAfterTimeout)
  , m_multi(MakeMulti())
{
}

HttpFetcher::~HttpFetcher()
{
  *m_alive = false;
  m_replaced.clear();
  m_multi.reset();
  std::ranges::for_each(m_idleHandles, curl_easy_cleanup);
}

std::unique_ptr<HttpFetcher::Multi>
HttpFetcher::MakeMulti()
{
  auto multi = std::make_unique<Multi>();
  multi->m_fetcher = this;
  multi->m_handle = curl_multi_init();
  CURLM* handle = multi->m_handle;
  curl_multi_setopt(handle, CURLMOPT_SOCKETFUNCTION, Multi::OnSocket);
  curl_multi_setopt(handle, CURLMOPT_SOCKETDATA, multi.get());
  curl_multi_setopt(handle, CURLMOPT_TIMERFUNCTION, Multi::OnTimer);
  curl_multi_setopt(handle, CURLMOPT_TIMERDATA, multi.get());
  curl_multi_setopt(handle,
                    CURLMOPT_MAX_HOST_CONNECTIONS,
                    static_cast<long>(m_connectionsPerHost));
  curl_multi_setopt(handle, CURLMOPT_MAXCONNECTS, kMaxCachedConnections);
  return multi;
}

void
HttpFetcher::Send(FetchRequest aRequest, Callback aCallback)
{
  auto transfer = std::make_unique<Transfer>();
  transfer->m_request = std::move(aRequest);
  transfer->m_callback = std::move(aCallback);
  transfer->m_id = ++m_lastId;
  transfer->m_result.m_sentAt = m_loop.Now();
  CURL* easy = nullptr;
  if (m_idleHandles.empty()) {
    easy = curl_easy_init();
  } else {
    easy = m_idleHandles.back();
    m_idleHandles.pop_back();
  }
  transfer->m_easy = easy;
  transfer->m_multi = m_multi.get();
  const FetchRequest& request = transfer->m_request;
  curl_easy_setopt(easy, CURLOPT_URL, request.m_url.c_str());
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, kConnectTimeoutMs);
  curl_easy_setopt(
    easy,
    CURLOPT_TIMEOUT_MS,
    static_cast<long>(absl::ToInt64Milliseconds(request.m_timeout)));
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, AppendBody);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, &transfer->m_result.m_body);
  if (request.m_method != "GET") {
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.m_method.c_str());
  }
  if (request.m_method == "POST") {
    curl_easy_setopt(
      easy, CURLOPT_POSTFIELDSIZE, static_cast<long>(request.m_body.size()));
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request.m_body.c_str());
  }
  curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, Transfer::OnBeforeRequest);
  curl_easy_setopt(easy, CURLOPT_PREREQDATA, transfer.get());
  curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, ResetOnClose);
  for (const std::string& header : request.m_headers) {
    transfer->m_headers =
      curl_slist_append(transfer->m_headers, header.c_str());
  }
  // Removes the Expect header, with which libcurl would wait for a 100 response
  // before it sends larger bodies.
  transfer->m_headers = curl_slist_append(transfer->m_headers, "Expect:");
  curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer->m_headers);
  ScheduleStallCheck(*transfer);
  m_multi->m_transfers.emplace(easy, std::move(transfer));
  curl_multi_add_handle(m_multi->m_handle, easy);
}

void
HttpFetcher::ScheduleStallCheck(const Transfer& aTransfer)
{
  if (aTransfer.m_request.m_stallTimeout == absl::InfiniteDuration()) {
    return;
  }
  m_loop.After(aTransfer.m_request.m_stallTimeout,
               [this,
                id = aTransfer.m_id,
                received = aTransfer.m_result.m_body.size(),
                alive = m_alive] {
                 if (*alive) {
                   CheckStall(id, received);
                 }
               });
}

void
HttpFetcher::CheckStall(std::uint64_t aId, std::size_t aReceivedBefore)
{
  const auto findIn = [aId](const Multi& aMulti) {
    return std::ranges::find(aMulti.m_transfers, aId, [](const auto& aEntry) {
      return aEntry.second->m_id;
    });
  };
  Multi* multi = m_multi.get();
  const auto isIn = [&findIn](const std::unique_ptr<Multi>& aMulti) {
    return findIn(*aMulti) != aMulti->m_transfers.end();
  };
  const auto replaced = std::ranges::find_if(m_replaced, isIn);
  if (replaced != m_replaced.end()) {
    multi = replaced->get();
  }
  const auto found = findIn(*multi);
  if (found == multi->m_transfers.end()) {
    return;
  }
  Transfer& transfer = *found->second;
  if (transfer.m_result.m_body.size() > aReceivedBefore) {
    ScheduleStallCheck(transfer);
    return;
  }
  auto node = multi->m_transfers.extract(found);
  OnTimeout(transfer);
  transfer.m_result.m_error =
    absl::StrCat("no data for ",
                 absl::FormatDuration(transfer.m_request.m_stallTimeout),
                 " after ",
                 aReceivedBefore,
                 " bytes");
  Finish(std::move(node.mapped()));
}

void
HttpFetcher::Finish(std::unique_ptr<Transfer> aTransfer)
{
  CURL* easy = aTransfer->m_easy;
  curl_multi_remove_handle(aTransfer->m_multi->m_handle, easy);
  curl_slist_free_all(aTransfer->m_headers);
  if (m_idleHandles.size() < kMaxIdleHandles) {
    curl_easy_reset(easy);
    m_idleHandles.push_back(easy);
  } else {
    curl_easy_cleanup(easy);
  }
  aTransfer->m_result.m_mayHaveBeenSent = aTransfer->m_isSent;
  aTransfer->m_callback(std::move(aTransfer->m_result));
}

void
HttpFetcher::OnTimeout(const Transfer& aTransfer)
{
  if (m_afterTimeout == AfterTimeout::KeepConnections || !aTransfer.m_isSent ||
      aTransfer.m_multi != m_multi.get()) {
    return;
  }
  LogInfo(LogPart::Net,
          absl::StrCat("no response on an open connection, using new ones; "
                       "url=",
                       aTransfer.m_request.m_url,
                       " open_requests=",
                       m_multi->m_transfers.size()));
  m_replaced.push_back(std::exchange(m_multi, MakeMulti()));
  ScheduleDrop();
}

void
HttpFetcher::ScheduleDrop()
{
  // A set of connections must not be closed in one of its own callbacks.
  m_loop.After(absl::ZeroDuration(), [this, alive = m_alive] {
    if (*alive) {
      std::erase_if(m_replaced, [](const std::unique_ptr<Multi>& aMulti) {
        return aMulti->m_transfers.empty();
      });
    }
  });
}

void
HttpFetcher::CompleteTransfers(Multi& aMulti)
{
  int left = 0;
  while (CURLMsg* message = curl_multi_info_read(aMulti.m_handle, &left)) {
    if (message->msg != CURLMSG_DONE) {
      continue;
    }
    CURL* easy = message->easy_handle;
    const CURLcode code = message->data.result;
    auto node = aMulti.m_transfers.extract(easy);
    Transfer& transfer = *node.mapped();
    if (code == CURLE_OPERATION_TIMEDOUT) {
      OnTimeout(transfer);
    }
    if (code == CURLE_OK) {
      long status = 0;
      curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
      transfer.m_result.m_status = static_cast<int>(status);
    } else if (code == CURLE_ABORTED_BY_CALLBACK) {
      transfer.m_result.m_error = "connection closed before the response";
    } else {
      transfer.m_result.m_error = curl_easy_strerror(code);
    }
    Finish(std::move(node.mapped()));
  }
  if (&aMulti != m_multi.get() && aMulti.m_transfers.empty()) {
    ScheduleDrop();
  }
}

}
