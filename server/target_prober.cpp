#include "server/target_prober.h"

#include "core/clock.h"
#include "core/metrics.h"

#include <absl/strings/str_cat.h>
#include <curl/curl.h>

#include <memory>
#include <utility>
#include <vector>

namespace bramleystall {

namespace {

constexpr int kPollTimeoutMs = 50;
constexpr long kStatusOk = 200;

struct EasyDeleter
{
  void operator()(CURL* aHandle) const { curl_easy_cleanup(aHandle); }
};

struct MultiDeleter
{
  void operator()(CURLM* aHandle) const { curl_multi_cleanup(aHandle); }
};

struct Probe
{
  std::string m_vm;
  std::string m_address;
  std::unique_ptr<CURL, EasyDeleter> m_handle;
};

/** Bytes of the request and the response, excluding TCP/IP headers. */
std::uint64_t
BytesOf(CURL* aHandle)
{
  long request = 0;
  long headers = 0;
  curl_off_t body = 0;
  curl_easy_getinfo(aHandle, CURLINFO_REQUEST_SIZE, &request);
  curl_easy_getinfo(aHandle, CURLINFO_HEADER_SIZE, &headers);
  curl_easy_getinfo(aHandle, CURLINFO_SIZE_DOWNLOAD_T, &body);
  return static_cast<std::uint64_t>(request + headers + body);
}

size_t
DiscardBody(char*, size_t aSize, size_t aCount, void*)
{
  return aSize * aCount;
}

}

TargetProber::TargetProber(ProbeSettings aSettings, Metrics& aMetrics)
  : m_settings(std::move(aSettings))
  , m_metrics(aMetrics)
{
}

TargetProber::~TargetProber()
{
  Stop();
}

void
TargetProber::Start()
{
  m_thread = std::jthread([this](const std::stop_token& aStop) { Run(aStop); });
}

void
TargetProber::Stop()
{
  if (m_thread.joinable()) {
    m_thread.request_stop();
    m_thread.join();
  }
}

void
TargetProber::SetTargets(const std::map<std::string, ProbeTarget>& aTargets)
{
  const absl::Time watchedProbeTime =
    MonotonicNow() + m_settings.m_unhealthyInterval;
  const std::lock_guard lock(m_mutex);
  std::erase_if(m_states, [&aTargets](const auto& aEntry) {
    const auto found = aTargets.find(aEntry.first);
    return found == aTargets.end() ||
           found->second.m_address != aEntry.second.m_address;
  });
  for (const auto& [vm, target] : aTargets) {
    ProbeState& state = m_states[vm];
    state.m_address = target.m_address;
    if (target.m_isWatched && !state.m_isWatched) {
      state.m_nextProbe = std::min(state.m_nextProbe, watchedProbeTime);
    }
    state.m_isWatched = target.m_isWatched;
  }
}

std::map<std::string, ProbeState>
TargetProber::States() const
{
  const std::lock_guard lock(m_mutex);
  return m_states;
}

std::map<std::string, std::string>
TargetProber::CollectDueProbes(absl::Time aNow)
{
  const std::lock_guard lock(m_mutex);
  std::map<std::string, std::string> due;
  for (auto& [vm, state] : m_states) {
    if (state.m_nextProbe > aNow) {
      continue;
    }
    const bool isSteady =
      !state.m_isWatched &&
      state.m_consecutiveSuccesses >= m_settings.m_successesForHealthyInterval;
    state.m_nextProbe = aNow + (isSteady ? m_settings.m_healthyInterval
                                         : m_settings.m_unhealthyInterval);
    due.emplace(vm, state.m_address);
  }
  return due;
}

void
TargetProber::RecordResult(const std::string& aVm,
                           const std::string& aAddress,
                           bool aSucceeded)
{
  m_metrics.Count("bramleystall_probes_total",
                  { { "outcome", aSucceeded ? "success" : "failure" } });
  const std::lock_guard lock(m_mutex);
  const auto found = m_states.find(aVm);
  if (found == m_states.end() || found->second.m_address != aAddress) {
    return;
  }
  ProbeState& state = found->second;
  state.m_isHealthy = aSucceeded;
  state.m_consecutiveSuccesses =
    aSucceeded ? state.m_consecutiveSuccesses + 1 : 0;
  state.m_consecutiveFailures =
    aSucceeded ? 0 : state.m_consecutiveFailures + 1;
  if (aSucceeded) {
    state.m_lastHealthy = MonotonicNow();
  } else {
    state.m_nextProbe = std::min(
      state.m_nextProbe, MonotonicNow() + m_settings.m_unhealthyInterval);
  }
}

void
TargetProber::Run(const std::stop_token& aStop)
{
  const std::unique_ptr<CURLM, MultiDeleter> multi(curl_multi_init());
  std::map<CURL*, Probe> probes;
  const auto start = [&](const std::string& aVm, const std::string& aAddress) {
    Probe probe{ aVm,
                 aAddress,
                 std::unique_ptr<CURL, EasyDeleter>(curl_easy_init()) };
    CURL* const handle = probe.m_handle.get();
    const std::string url =
      absl::StrCat("http://", aAddress, m_settings.m_path);
    curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
    curl_easy_setopt(
      handle,
      CURLOPT_TIMEOUT_MS,
      static_cast<long>(absl::ToInt64Milliseconds(m_settings.m_timeout)));
    curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(handle, CURLOPT_FORBID_REUSE, 1L);
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, DiscardBody);
    curl_multi_add_handle(multi.get(), handle);
    probes.emplace(handle, std::move(probe));
  };
  const auto finish = [&](CURL* aHandle, CURLcode aResult) {
    long status = 0;
    curl_easy_getinfo(aHandle, CURLINFO_RESPONSE_CODE, &status);
    m_metrics.Count("bramleystall_probe_bytes_total", {}, BytesOf(aHandle));
    curl_multi_remove_handle(multi.get(), aHandle);
    const auto found = probes.find(aHandle);
    RecordResult(found->second.m_vm,
                 found->second.m_address,
                 aResult == CURLE_OK && status == kStatusOk);
    probes.erase(found);
  };
  while (!aStop.stop_requested()) {
    for (const auto& [vm, address] : CollectDueProbes(MonotonicNow())) {
      start(vm, address);
    }
    int running = 0;
    curl_multi_perform(multi.get(), &running);
    int remaining = 0;
    while (CURLMsg* const message =
             curl_multi_info_read(multi.get(), &remaining)) {
      if (message->msg == CURLMSG_DONE) {
        finish(message->easy_handle, message->data.result);
      }
    }
    curl_multi_poll(multi.get(), nullptr, 0, kPollTimeoutMs, nullptr);
  }
  for (auto& [handle, probe] : probes) {
    curl_multi_remove_handle(multi.get(), handle);
  }
}

}
