#include "tests/stand_ins/caller/load_generator.h"

#include "core/clock.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <curl/curl.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace bramleystall {

namespace {

/** Time-out of an attempt in addition to the deadline of its request. */
constexpr absl::Duration kTimeoutMargin = absl::Seconds(10);
/** Delay before a request is sent again after its connection broke. */
constexpr absl::Duration kResendDelay = absl::Milliseconds(50);

}

/** One attempt of a request; owned by its easy handle. */
struct LoadGenerator::Attempt
{
  std::size_t m_record = 0;
  std::size_t m_daemon = 0;
  CURL* m_handle = nullptr;
  curl_slist* m_headers = nullptr;
  std::string m_response;
  std::string m_outcomeHeader;
  std::string m_reasonHeader;
  std::string m_idHeader;

  Attempt() = default;
  Attempt(const Attempt&) = delete;
  Attempt& operator=(const Attempt&) = delete;
  ~Attempt()
  {
    curl_easy_cleanup(m_handle);
    curl_slist_free_all(m_headers);
  }

  static std::size_t AppendBody(char* aData,
                                std::size_t aSize,
                                std::size_t aCount,
                                void* aAttempt)
  {
    static_cast<Attempt*>(aAttempt)->m_response.append(aData, aSize * aCount);
    return aSize * aCount;
  }

  static std::size_t AddHeader(char* aData,
                               std::size_t aSize,
                               std::size_t aCount,
                               void* aAttempt)
  {
    auto& attempt = *static_cast<Attempt*>(aAttempt);
    const std::string line(aData, aSize * aCount);
    const auto colon = line.find(':');
    if (colon == std::string::npos) {
      return aSize * aCount;
    }
    const std::string name = absl::AsciiStrToLower(line.substr(0, colon));
    const std::string value(
      absl::StripAsciiWhitespace(absl::string_view(line).substr(colon + 1)));
    if (name == "x-bramleystall-outcome") {
      attempt.m_outcomeHeader = value;
    } else if (name == "x-bramleystall-reason") {
      attempt.m_reasonHeader = value;
    } else if (name == "x-request-id") {
      attempt.m_idHeader = value;
    }
    return aSize * aCount;
  }
};

LoadGenerator::LoadGenerator(const Plan& aPlan, const LoadSettings& aSettings)
  : m_plan(aPlan)
  , m_settings(aSettings)
  , m_random(aSettings.m_seed)
  , m_multi(curl_multi_init())
{
  for (const auto& service : m_plan.m_services) {
    m_nextSendTimes.push_back(absl::Seconds(service.m_startSeconds));
  }
}

LoadGenerator::~LoadGenerator()
{
  curl_multi_cleanup(m_multi);
}

std::string
LoadGenerator::MakeId()
{
  // Version 7 UUID: 48 bits of Unix milliseconds, then random bits.
  const auto millis = static_cast<std::uint64_t>(ToMillis(absl::Now()));
  const std::uint64_t high = m_random();
  const std::uint64_t low = m_random();
  return absl::StrCat(
    absl::Hex(millis >> 16U, absl::kZeroPad8),
    "-",
    absl::Hex(millis & 0xFFFFU, absl::kZeroPad4),
    "-7",
    absl::Hex(high & 0xFFFU, absl::kZeroPad3),
    "-",
    absl::Hex((low >> 48U & 0x3FFFU) | 0x8000U, absl::kZeroPad4),
    "-",
    absl::Hex(low & 0xFFFFFFFFFFFFU, absl::kZeroPad12));
}

void
LoadGenerator::SendNew(std::size_t aService)
{
  const PlannedService& service = m_plan.m_services[aService];
  RequestRecord record;
  record.m_id = MakeId();
  record.m_service = aService;
  record.m_start = MonotonicNow();
  if (service.m_bodyBytes > 0) {
    record.m_body = absl::StrCat(record.m_id, ":");
    record.m_body.resize(
      std::max(record.m_body.size(),
               static_cast<std::size_t>(service.m_bodyBytes)),
      'x');
  }
  m_records.push_back(std::move(record));
  const std::size_t index = m_records.size() - 1;
  const std::size_t daemon = m_random() % m_plan.m_daemons.size();
  StartAttempt(index, daemon);
  std::uniform_real_distribution<double> unit(0, 1);
  if (unit(m_random) >= m_settings.m_resendFraction) {
    return;
  }
  // Sends the copy while the first attempt may still be running.
  const std::size_t other = (daemon + 1) % m_plan.m_daemons.size();
  const double delayMs = unit(m_random) * 2 * std::max(service.m_workMs, 10);
  m_resends.push_back(
    { MonotonicNow() + absl::Milliseconds(delayMs), index, other });
  ++m_records[index].m_pending;
}

void
LoadGenerator::StartAttempt(std::size_t aRecord, std::size_t aDaemon)
{
  RequestRecord& record = m_records[aRecord];
  const PlannedService& service = m_plan.m_services[record.m_service];
  auto attempt = std::make_unique<Attempt>();
  attempt->m_record = aRecord;
  attempt->m_daemon = aDaemon;
  CURL* handle = curl_easy_init();
  attempt->m_handle = handle;
  const auto addHeader = [&attempt](const std::string& aText) {
    attempt->m_headers = curl_slist_append(attempt->m_headers, aText.c_str());
  };
  const auto deadlineMs = absl::ToInt64Milliseconds(service.m_deadline);
  addHeader("Expect:");
  addHeader(absl::StrCat("X-Request-Id: ", record.m_id));
  addHeader(absl::StrCat("X-Deadline-Ms: ", deadlineMs));
  if (service.m_workMs >= 0) {
    addHeader(absl::StrCat("X-Stand-In-Work-Ms: ", service.m_workMs));
  }
  if (!service.m_host.empty()) {
    addHeader(absl::StrCat("Host: ", service.m_host));
  }
  const std::string url =
    absl::StrCat("http://", m_plan.m_daemons[aDaemon], service.m_path);
  curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
  curl_easy_setopt(handle, CURLOPT_PROXY, "");
  curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(handle, CURLOPT_HTTPHEADER, attempt->m_headers);
  curl_easy_setopt(
    handle,
    CURLOPT_TIMEOUT_MS,
    static_cast<long>(deadlineMs + absl::ToInt64Milliseconds(kTimeoutMargin)));
  curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, Attempt::AppendBody);
  curl_easy_setopt(handle, CURLOPT_WRITEDATA, attempt.get());
  curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, Attempt::AddHeader);
  curl_easy_setopt(handle, CURLOPT_HEADERDATA, attempt.get());
  if (service.m_method == "HEAD") {
    curl_easy_setopt(handle, CURLOPT_NOBODY, 1L);
  } else if (service.m_method != "GET") {
    curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, service.m_method.c_str());
    curl_easy_setopt(handle,
                     CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(record.m_body.size()));
    curl_easy_setopt(handle, CURLOPT_COPYPOSTFIELDS, record.m_body.c_str());
  }
  // libcurl itself repeats a request if a reused connection turns out to be
  // closed, which would hide a broken connection.
  const long isFresh = service.m_isIdempotent ? 0L : 1L;
  curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, isFresh);
  curl_easy_setopt(handle, CURLOPT_FORBID_REUSE, isFresh);
  ++record.m_pending;
  ++m_running;
  curl_easy_setopt(handle, CURLOPT_PRIVATE, attempt.release());
  curl_multi_add_handle(m_multi, handle);
}

AttemptOutcome
LoadGenerator::ClassifyResponse(Attempt& aAttempt, RequestRecord& aRecord)
{
  if (!aAttempt.m_idHeader.empty() && aAttempt.m_idHeader != aRecord.m_id) {
    aRecord.m_wasMixed = true;
  }
  if (!aAttempt.m_outcomeHeader.empty()) {
    aRecord.m_lastReason = aAttempt.m_reasonHeader;
    return aAttempt.m_outcomeHeader == "refused-not-run"
             ? AttemptOutcome::RefusedNotRun
             : AttemptOutcome::OutcomeUnknown;
  }
  const auto& service = m_plan.m_services[aRecord.m_service];
  const auto body = nlohmann::json::parse(aAttempt.m_response, nullptr, false);
  const bool hasEcho = service.m_method != "HEAD";
  if (hasEcho && (!body.is_object() ||
                  body.value("request_id", std::string()) != aRecord.m_id ||
                  body.value("body", std::string()) != aRecord.m_body)) {
    aRecord.m_wasMixed = true;
  }
  aRecord.m_latency =
    std::min(aRecord.m_latency, MonotonicNow() - aRecord.m_start);
  long status = 0;
  curl_easy_getinfo(aAttempt.m_handle, CURLINFO_RESPONSE_CODE, &status);
  constexpr long kFirstSuccess = 200;
  constexpr long kLastSuccess = 299;
  return status >= kFirstSuccess && status <= kLastSuccess
           ? AttemptOutcome::Succeeded
           : AttemptOutcome::Failed;
}

AttemptOutcome
LoadGenerator::Classify(Attempt& aAttempt, int aCode)
{
  RequestRecord& record = m_records[aAttempt.m_record];
  if (aCode == CURLE_OK) {
    return ClassifyResponse(aAttempt, record);
  }
  const bool isKilled =
    m_settings.m_killedDaemons.contains(m_plan.m_daemons[aAttempt.m_daemon]);
  record.m_lastReason = isKilled ? "daemon_killed" : "no_response";
  if (aCode == CURLE_COULDNT_CONNECT) {
    return AttemptOutcome::NotSent;
  }
  if (aCode == CURLE_OPERATION_TIMEDOUT) {
    return isKilled ? AttemptOutcome::Broken : AttemptOutcome::NoOutcome;
  }
  record.m_brokenByKilledDaemon = record.m_brokenByKilledDaemon || isKilled;
  record.m_wasCut = record.m_wasCut || !isKilled;
  return AttemptOutcome::Broken;
}

void
LoadGenerator::ResendAfterBreak(const Attempt& aAttempt,
                                AttemptOutcome aOutcome)
{
  RequestRecord& record = m_records[aAttempt.m_record];
  const bool isBroken =
    aOutcome == AttemptOutcome::NotSent || aOutcome == AttemptOutcome::Broken;
  if (!isBroken || record.m_attempts.size() >=
                     static_cast<std::size_t>(m_settings.m_maxAttempts)) {
    return;
  }
  const std::size_t other = (aAttempt.m_daemon + 1) % m_plan.m_daemons.size();
  m_resends.push_back(
    { MonotonicNow() + kResendDelay, aAttempt.m_record, other });
  ++record.m_pending;
}

void
LoadGenerator::Finish(Attempt& aAttempt, int aCode)
{
  const AttemptOutcome outcome = Classify(aAttempt, aCode);
  RequestRecord& record = m_records[aAttempt.m_record];
  record.m_attempts.push_back(outcome);
  --record.m_pending;
  --m_running;
  ResendAfterBreak(aAttempt, outcome);
}

void
LoadGenerator::HandleFinished()
{
  int left = 0;
  while (const CURLMsg* message = curl_multi_info_read(m_multi, &left)) {
    if (message->msg != CURLMSG_DONE) {
      continue;
    }
    CURL* handle = message->easy_handle;
    const int code = message->data.result;
    Attempt* raw = nullptr;
    curl_easy_getinfo(handle, CURLINFO_PRIVATE, &raw);
    const std::unique_ptr<Attempt> attempt(raw);
    curl_multi_remove_handle(m_multi, handle);
    Finish(*attempt, code);
  }
}

void
LoadGenerator::SendDueResends()
{
  const absl::Time now = MonotonicNow();
  std::vector<Resend> due;
  std::erase_if(m_resends, [&](const Resend& aResend) {
    if (aResend.m_time > now) {
      return false;
    }
    due.push_back(aResend);
    return true;
  });
  for (const auto& resend : due) {
    --m_records[resend.m_record].m_pending;
    StartAttempt(resend.m_record, resend.m_daemon);
  }
}

void
LoadGenerator::SendDue(absl::Duration aElapsed)
{
  for (std::size_t i = 0; i < m_plan.m_services.size(); ++i) {
    const PlannedService& service = m_plan.m_services[i];
    const absl::Duration end =
      std::min(m_settings.m_duration, absl::Seconds(service.m_endSeconds));
    std::exponential_distribution<double> gap(std::max(service.m_rate, 1e-9));
    while (m_nextSendTimes[i] <= aElapsed && m_nextSendTimes[i] < end) {
      SendNew(i);
      m_nextSendTimes[i] += absl::Seconds(gap(m_random));
    }
  }
}

void
LoadGenerator::Run()
{
  const absl::Time start = MonotonicNow();
  absl::Duration elapsed;
  constexpr int kPollMs = 2;
  while (elapsed < m_settings.m_duration || m_running > 0 ||
         !m_resends.empty()) {
    elapsed = MonotonicNow() - start;
    SendDue(elapsed);
    SendDueResends();
    int running = 0;
    curl_multi_perform(m_multi, &running);
    HandleFinished();
    curl_multi_poll(m_multi, nullptr, 0, kPollMs, nullptr);
  }
}

}
