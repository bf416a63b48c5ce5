#include "scheduler/late_starts.h"

#include <algorithm>
#include <utility>

namespace bramleystall {

void
LateStarts::Add(const std::string& aTask,
                const std::string& aWorkerId,
                std::int64_t aAttempt,
                absl::Time aLatest,
                Need aNeed)
{
  m_starts.emplace(aTask,
                   Start{ .m_worker = aWorkerId,
                          .m_attempt = aAttempt,
                          .m_latest = aLatest,
                          .m_need = std::move(aNeed) });
}

void
LateStarts::OnRestartReported(const std::string& aWorkerId)
{
  for (auto& [task, start] : m_starts) {
    if (start.m_worker == aWorkerId) {
      start.m_risk = Risk::Unknown;
    }
  }
}

void
LateStarts::OnList(const std::string& aWorkerId,
                   const std::vector<RunningTask>& aRunning)
{
  for (auto& [task, start] : m_starts) {
    if (start.m_worker != aWorkerId) {
      continue;
    }
    const bool isListed = std::ranges::any_of(
      aRunning, [&name = task, &late = start](const RunningTask& aRow) {
        return aRow.m_task == name && aRow.m_attempt == late.m_attempt;
      });
    start.m_risk = isListed ? Risk::Runs : Risk::Refused;
  }
}

bool
LateStarts::IsOver(const Start& aStart, absl::Time aNow) const
{
  // A start that was carried out at the last moment runs until its lease
  // expires.
  const absl::Time end = aStart.m_risk == Risk::Refused
                           ? aStart.m_latest
                           : aStart.m_latest + m_maxWorkerLease;
  return aNow >= end;
}

bool
LateStarts::HoldsBack(const std::string& aTask, absl::Time aNow) const
{
  const auto [begin, end] = m_starts.equal_range(aTask);
  return std::any_of(begin, end, [this, aNow](const auto& aEntry) {
    return aEntry.second.m_risk != Risk::Refused &&
           !IsOver(aEntry.second, aNow);
  });
}

std::vector<LateStarts::PossibleRun>
LateStarts::PossibleRuns(absl::Time aNow) const
{
  std::vector<PossibleRun> runs;
  for (const auto& [task, start] : m_starts) {
    if (start.m_risk == Risk::Unknown && !IsOver(start, aNow)) {
      runs.push_back({ task, start.m_worker });
    }
  }
  return runs;
}

bool
LateStarts::MayRunOn(const std::string& aWorkerId) const
{
  return std::ranges::any_of(m_starts, [&aWorkerId](const auto& aEntry) {
    return aEntry.second.m_worker == aWorkerId;
  });
}

bool
LateStarts::NeedsList(const std::string& aWorkerId) const
{
  return std::ranges::any_of(m_starts, [&aWorkerId](const auto& aEntry) {
    const Start& start = aEntry.second;
    return start.m_worker == aWorkerId && start.m_risk != Risk::Refused;
  });
}

void
LateStarts::Prune(absl::Time aNow)
{
  std::erase_if(m_starts, [this, aNow](const auto& aEntry) {
    return IsOver(aEntry.second, aNow);
  });
}

void
LateStarts::AddUsage(TenantUsage& aUsage, absl::Time aNow) const
{
  for (const auto& [task, start] : m_starts) {
    if (!IsOver(start, aNow)) {
      aUsage.Add(start.m_need.m_tenant, start.m_need.m_resources);
    }
  }
}

}
