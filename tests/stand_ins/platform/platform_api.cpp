#include "tests/stand_ins/platform/platform_api.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <curl/curl.h>

#include <algorithm>
#include <string_view>
#include <thread>

namespace bramleystall {

namespace {

constexpr std::string_view kKeyPrefix = "/v1/kv/";
constexpr std::string_view kSessionPrefix = "/v1/session/";
/** Default and longest wait time of a watch, as in Consul's HTTP API. */
constexpr absl::Duration kDefaultWait = absl::Minutes(5);
constexpr absl::Duration kMaxWait = absl::Minutes(10);

bool
IsWatch(const StandInRequest& aRequest)
{
  const auto index = aRequest.m_query.find("index");
  return aRequest.m_method == "GET" && index != aRequest.m_query.end() &&
         index->second != "0";
}

/** Requests a reboot of a target; ignores a target that does not respond. */
void
PostReboot(const std::string& aAddress, absl::Duration aTime)
{
  CURL* handle = curl_easy_init();
  const std::string url = absl::StrCat("http://", aAddress, "/stand_in/reboot");
  const std::string body =
    absl::StrCat(R"({"ms":)", absl::ToInt64Milliseconds(aTime), "}");
  constexpr long kTimeoutMs = 2000;
  curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
  curl_easy_setopt(handle, CURLOPT_POSTFIELDS, body.c_str());
  curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, kTimeoutMs);
  curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(handle, CURLOPT_PROXY, "");
  curl_easy_setopt(
    handle,
    CURLOPT_WRITEFUNCTION,
    +[](char*, std::size_t aSize, std::size_t aCount, void*) {
      return aSize * aCount;
    });
  curl_easy_perform(handle);
  curl_easy_cleanup(handle);
}

}

PlatformApi::PlatformApi(PlatformState& aState,
                         absl::Duration aListLag,
                         absl::Duration aRebootTime)
  : m_state(aState)
  , m_rebootTime(aRebootTime)
{
  m_faults.m_listLag = aListLag;
}

PlatformFaults
PlatformApi::Faults() const
{
  const std::scoped_lock lock(m_mutex);
  return m_faults;
}

void
PlatformApi::SetFaults(const nlohmann::json& aFaults)
{
  const std::scoped_lock lock(m_mutex);
  m_faults.m_isDown = aFaults.value("down", m_faults.m_isDown);
  m_faults.m_delay = absl::Milliseconds(
    aFaults.value("slow_ms", absl::ToInt64Milliseconds(m_faults.m_delay)));
  m_faults.m_lostWriteResponses =
    aFaults.value("lose_write_responses", m_faults.m_lostWriteResponses);
  m_faults.m_cutsWatches = aFaults.value("cut_watches", m_faults.m_cutsWatches);
  m_faults.m_listLag = absl::Milliseconds(aFaults.value(
    "list_lag_ms", absl::ToInt64Milliseconds(m_faults.m_listLag)));
  // A store that is down also breaks the pending watches.
  m_state.SetWatchesCut(m_faults.m_cutsWatches || m_faults.m_isDown);
}

void
PlatformApi::CountCall(const StandInRequest& aRequest)
{
  const std::scoped_lock lock(m_mutex);
  if (IsWatch(aRequest)) {
    ++m_calls["watch"];
    return;
  }
  ++m_calls[aRequest.m_method == "GET" ? "read" : "write"];
}

bool
PlatformApi::TakeLostResponse(const StandInRequest& aRequest)
{
  const std::scoped_lock lock(m_mutex);
  if (aRequest.m_method == "GET" || m_faults.m_lostWriteResponses == 0 ||
      aRequest.m_path.starts_with("/v1/catalog/")) {
    return false;
  }
  --m_faults.m_lostWriteResponses;
  return true;
}

std::optional<StandInResponse>
PlatformApi::HandleControl(const StandInRequest& aRequest)
{
  if (aRequest.m_path == "/stand_in/faults") {
    SetFaults(nlohmann::json::parse(aRequest.m_body));
    return StandInResponse{ 200, "true" };
  }
  if (aRequest.m_path == "/stand_in/calls") {
    const std::scoped_lock lock(m_mutex);
    nlohmann::json calls = { { "read", 0 }, { "write", 0 }, { "watch", 0 } };
    calls.update(nlohmann::json(m_calls));
    calls["pending_watches"] = m_state.PendingWatches();
    return StandInResponse{ 200, calls.dump() };
  }
  return StandInResponse{ 404, "" };
}

std::optional<StandInResponse>
PlatformApi::Handle(const StandInRequest& aRequest)
{
  try {
    if (aRequest.m_path.starts_with("/stand_in/")) {
      return HandleControl(aRequest);
    }
    CountCall(aRequest);
    const PlatformFaults faults = Faults();
    if (faults.m_isDown) {
      return std::nullopt;
    }
    absl::SleepFor(faults.m_delay);
    const StateResult result = Route(aRequest);
    if (result.m_status == 0 || TakeLostResponse(aRequest)) {
      return std::nullopt;
    }
    StandInResponse response;
    response.m_status = result.m_status;
    response.m_body = result.m_body.is_null() ? "" : result.m_body.dump();
    if (result.m_index > 0) {
      response.m_headers["X-Consul-Index"] = std::to_string(result.m_index);
    }
    return response;
  } catch (const nlohmann::json::exception& error) {
    return StandInResponse{ 400, error.what(), "text/plain" };
  }
}

StateResult
PlatformApi::Route(const StandInRequest& aRequest)
{
  const std::string& path = aRequest.m_path;
  if (path.starts_with(kKeyPrefix)) {
    return RouteKey(aRequest);
  }
  if (path.starts_with(kSessionPrefix)) {
    return RouteSession(aRequest);
  }
  if (path == "/v1/txn") {
    return m_state.Transaction(nlohmann::json::parse(aRequest.m_body));
  }
  if (path == "/v1/catalog/nodes") {
    return m_state.ListNodes(Faults().m_listLag);
  }
  if (path == "/v1/catalog/register") {
    return m_state.Register(nlohmann::json::parse(aRequest.m_body));
  }
  if (path == "/v1/catalog/deregister") {
    return m_state.Deregister(nlohmann::json::parse(aRequest.m_body));
  }
  if (path == "/v1/event/fire/vm-reboot") {
    return Reboot(aRequest);
  }
  return { 404, nullptr, 0 };
}

StateResult
PlatformApi::RouteKey(const StandInRequest& aRequest)
{
  const std::string key = aRequest.m_path.substr(kKeyPrefix.size());
  if (aRequest.m_method == "PUT") {
    const auto session = aRequest.m_query.find("acquire");
    return m_state.PutKey(key,
                          aRequest.m_body,
                          session == aRequest.m_query.end()
                            ? std::nullopt
                            : std::optional(session->second));
  }
  std::uint64_t index = 0;
  absl::Duration wait = kDefaultWait;
  if (IsWatch(aRequest) &&
      !absl::SimpleAtoi(aRequest.m_query.at("index"), &index)) {
    return { 400, nullptr, 0 };
  }
  const auto waitText = aRequest.m_query.find("wait");
  if (waitText != aRequest.m_query.end() &&
      !absl::ParseDuration(waitText->second, &wait)) {
    return { 400, nullptr, 0 };
  }
  return m_state.ReadKey(key, index, std::min(wait, kMaxWait));
}

StateResult
PlatformApi::RouteSession(const StandInRequest& aRequest)
{
  const std::string call = aRequest.m_path.substr(kSessionPrefix.size());
  constexpr std::string_view kRenew = "renew/";
  constexpr std::string_view kDestroy = "destroy/";
  if (call == "create") {
    return m_state.CreateSession(nlohmann::json::parse(aRequest.m_body));
  }
  if (call.starts_with(kRenew)) {
    return m_state.RenewSession(call.substr(kRenew.size()));
  }
  if (call.starts_with(kDestroy)) {
    return m_state.DestroySession(call.substr(kDestroy.size()));
  }
  return { 404, nullptr, 0 };
}

StateResult
PlatformApi::Reboot(const StandInRequest& aRequest)
{
  const auto payload = nlohmann::json::parse(aRequest.m_body);
  const auto vm = payload.at("vm").get<std::string>();
  if (m_state.AddRebootToken(payload.at("token").get<std::string>())) {
    {
      const std::scoped_lock lock(m_mutex);
      ++m_calls["reboot"];
    }
    std::thread([this, vm] { RunReboot(vm); }).detach();
  }
  return { 200, { { "ID", "event" }, { "Name", "vm-reboot" } }, 0 };
}

void
PlatformApi::RunReboot(const std::string& aVm)
{
  const std::string address = m_state.SetLeaving(aVm, true);
  if (address.empty()) {
    return;
  }
  PostReboot(address, m_rebootTime);
  absl::SleepFor(m_rebootTime);
  m_state.SetLeaving(aVm, false);
}

}
