#include "tests/stand_ins/caller/request_log.h"

#include <algorithm>
#include <ostream>

namespace bramleystall {

namespace {

/** Limit of requests with a violation that are printed one by one. */
constexpr int kMaxPrinted = 20;

enum class RequestOutcome
{
  Answered,
  Refused,
  Unknown,
  None,
};

bool
Has(const RequestRecord& aRecord, AttemptOutcome aOutcome)
{
  return std::ranges::find(aRecord.m_attempts, aOutcome) !=
         aRecord.m_attempts.end();
}

/**
 * Outcome of a request from those of its attempts: a response, else an unknown
 * outcome, else none, else a refusal.
 */
RequestOutcome
OutcomeOf(const RequestRecord& aRecord)
{
  if (Has(aRecord, AttemptOutcome::Succeeded) ||
      Has(aRecord, AttemptOutcome::Failed)) {
    return RequestOutcome::Answered;
  }
  if (Has(aRecord, AttemptOutcome::OutcomeUnknown) ||
      Has(aRecord, AttemptOutcome::Broken)) {
    return RequestOutcome::Unknown;
  }
  if (Has(aRecord, AttemptOutcome::NoOutcome) || aRecord.m_attempts.empty()) {
    return RequestOutcome::None;
  }
  return RequestOutcome::Refused;
}

struct ServiceCounts
{
  int m_sent = 0;
  int m_answered = 0;
  int m_failed = 0;
  int m_refused = 0;
  int m_unknown = 0;
  std::map<std::string, int> m_reasons;
  std::vector<double> m_latenciesMs;
};

double
Percentile(std::vector<double>& aValues, double aFraction)
{
  if (aValues.empty()) {
    return 0;
  }
  std::ranges::sort(aValues);
  const auto last = static_cast<double>(aValues.size() - 1);
  return aValues[static_cast<std::size_t>(aFraction * last)];
}

void
PrintService(const std::string& aName,
             ServiceCounts& aCounts,
             std::ostream& aOut)
{
  aOut << "service=" << aName << " sent=" << aCounts.m_sent
       << " answered=" << aCounts.m_answered << " failed=" << aCounts.m_failed
       << " refused=" << aCounts.m_refused << " unknown=" << aCounts.m_unknown
       << " p50_ms=" << Percentile(aCounts.m_latenciesMs, 0.5)
       << " p99_ms=" << Percentile(aCounts.m_latenciesMs, 0.99);
  for (const auto& [reason, count] : aCounts.m_reasons) {
    aOut << " " << reason << "=" << count;
  }
  aOut << "\n";
}

/** Adds a request to the verdict; returns the violations, comma-separated. */
std::string
EvaluateRequest(const RequestRecord& aRecord,
                bool aIsIdempotent,
                int aRuns,
                Verdict& aVerdict)
{
  std::string problem;
  const auto report = [&problem](int& aCount, const char* aName) {
    ++aCount;
    problem += problem.empty() ? aName : std::string(",") + aName;
  };
  ++aVerdict.m_sent;
  const RequestOutcome outcome = OutcomeOf(aRecord);
  aVerdict.m_answered += outcome == RequestOutcome::Answered ? 1 : 0;
  aVerdict.m_refused += outcome == RequestOutcome::Refused ? 1 : 0;
  aVerdict.m_unknown += outcome == RequestOutcome::Unknown ? 1 : 0;
  if (outcome == RequestOutcome::None ||
      (Has(aRecord, AttemptOutcome::Succeeded) && aRuns == 0)) {
    report(aVerdict.m_lost, "lost");
  }
  if (!aIsIdempotent && aRuns > 1) {
    report(aVerdict.m_doubled, "doubled");
  }
  if (aRecord.m_wasCut) {
    report(aVerdict.m_cut, "cut");
  }
  // A refusal applies only to its own attempt. With several attempts it is
  // false only if no other attempt indicates that the request may have run.
  if (outcome == RequestOutcome::Refused && aRuns > 0) {
    report(aVerdict.m_falseRefusals, "false_refusal");
  }
  if (aRecord.m_wasMixed) {
    report(aVerdict.m_mixed, "mixed");
  }
  return problem;
}

}

Verdict
EvaluateRecords(const Plan& aPlan,
                const std::vector<RequestRecord>& aRecords,
                const std::map<std::string, int>& aRuns,
                std::ostream& aOut)
{
  Verdict verdict;
  std::vector<ServiceCounts> services(aPlan.m_services.size());
  int printed = 0;
  for (const auto& record : aRecords) {
    const auto& service = aPlan.m_services[record.m_service];
    const auto found = aRuns.find(record.m_id);
    const int runs = found == aRuns.end() ? 0 : found->second;
    const std::string problem =
      EvaluateRequest(record, service.m_isIdempotent, runs, verdict);
    if (!problem.empty() && printed++ < kMaxPrinted) {
      aOut << "problem=" << problem << " id=" << record.m_id
           << " service=" << service.m_name << " runs=" << runs
           << " attempts=" << record.m_attempts.size()
           << " reason=" << record.m_lastReason << "\n";
    }
    ServiceCounts& counts = services[record.m_service];
    const RequestOutcome outcome = OutcomeOf(record);
    ++counts.m_sent;
    counts.m_answered += outcome == RequestOutcome::Answered ? 1 : 0;
    counts.m_failed += Has(record, AttemptOutcome::Failed) ? 1 : 0;
    counts.m_refused += outcome == RequestOutcome::Refused ? 1 : 0;
    counts.m_unknown += outcome == RequestOutcome::Unknown ? 1 : 0;
    if (outcome != RequestOutcome::Answered && !record.m_lastReason.empty()) {
      ++counts.m_reasons[record.m_lastReason];
    }
    if (record.m_latency < absl::InfiniteDuration()) {
      counts.m_latenciesMs.push_back(
        absl::ToDoubleMilliseconds(record.m_latency));
    }
  }
  for (std::size_t i = 0; i < services.size(); ++i) {
    PrintService(aPlan.m_services[i].m_name, services[i], aOut);
  }
  aOut << "false_refusals=" << verdict.m_falseRefusals
       << " mixed=" << verdict.m_mixed << "\n"
       << "sent=" << verdict.m_sent << " answered=" << verdict.m_answered
       << " refused=" << verdict.m_refused << " unknown=" << verdict.m_unknown
       << " lost=" << verdict.m_lost << " doubled=" << verdict.m_doubled
       << " cut=" << verdict.m_cut << std::endl;
  return verdict;
}

}
