#include "jobs/placement.h"

#include "jobs/job.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <set>
#include <utility>

namespace bramleystall {

namespace {

bool
IsSameStep(const Task& aOne, const Task& aOther)
{
  return aOne.m_job == aOther.m_job && aOne.m_step == aOther.m_step &&
         aOne.m_occurrence == aOther.m_occurrence;
}

/** Serving tasks and fillers slow each other, so they share no worker. */
bool
HasConflictingTask(const Worker& aWorker, const StepSpec& aSpec)
{
  if (!aSpec.m_isFiller && aSpec.m_tailTargetMs == 0) {
    return false;
  }
  return std::ranges::any_of(aWorker.m_tasks, [&aSpec](const Task* aOther) {
    const StepSpec& other = aOther->m_job->Spec(*aOther);
    return aSpec.m_isFiller ? other.m_tailTargetMs > 0 : other.m_isFiller;
  });
}

}

Resources
OccupiedBy(const StepSpec& aSpec)
{
  Resources need = aSpec.m_need;
  if (aSpec.m_isFiller) {
    need.m_cpu = 0;
  }
  return need;
}

double
LoadOn(const Resources& aWorker, const Resources& aNeed)
{
  const auto share = [](std::int64_t aPart, std::int64_t aWhole) {
    return aWhole > 0 ? static_cast<double>(aPart) / static_cast<double>(aWhole)
                      : 0.0;
  };
  return std::max(share(aNeed.m_cpu, aWorker.m_cpu),
                  share(aNeed.m_memoryMb, aWorker.m_memoryMb));
}

bool
HasLongRunning(const Worker& aWorker)
{
  return std::ranges::any_of(aWorker.m_tasks, [](const Task* aTask) {
    return aTask->m_job->Spec(*aTask).m_isLongRunning;
  });
}

Placement::Placement(std::vector<Worker*> aWorkers, absl::Time aNow)
  : m_workers(std::move(aWorkers))
  , m_now(aNow)
{
  std::erase_if(m_workers, [aNow](const Worker* aWorker) {
    return !aWorker->m_isListed || !aWorker->m_isLeaseRecorded ||
           aWorker->m_clockReadAt == absl::InfinitePast() ||
           aWorker->m_report.m_isDraining || aWorker->m_isEvacuating ||
           aWorker->m_unansweredRenewals > 0 || aNow < aWorker->m_avoidUntil;
  });
  RefreshLargestFree();
}

void
Placement::RefreshLargestFree()
{
  m_largestFree = {};
  for (const Worker* worker : m_workers) {
    const Resources free = worker->Free();
    m_largestFree.m_cpu = std::max(m_largestFree.m_cpu, free.m_cpu);
    m_largestFree.m_memoryMb =
      std::max(m_largestFree.m_memoryMb, free.m_memoryMb);
    m_largestFree.m_accelerators =
      std::max(m_largestFree.m_accelerators, free.m_accelerators);
  }
}

bool
Placement::HasRequiredLabel(const Worker& aWorker, const StepSpec& aSpec) const
{
  const auto& labels = aWorker.m_report.m_labels;
  return aSpec.m_requiredLabel.empty() ||
         std::ranges::find(labels, aSpec.m_requiredLabel) != labels.end();
}

bool
Placement::FitsOn(const Worker& aWorker, const Task& aTask) const
{
  const StepSpec& spec = aTask.m_job->Spec(aTask);
  if (!aWorker.Free().Fits(OccupiedBy(spec)) ||
      !HasRequiredLabel(aWorker, spec) || HasConflictingTask(aWorker, spec)) {
    return false;
  }
  if (spec.m_maxPerWorker == 0) {
    return true;
  }
  const auto members =
    std::ranges::count_if(aWorker.m_tasks, [&aTask](const Task* aOther) {
      return IsSameStep(*aOther, aTask);
    });
  return members < spec.m_maxPerWorker;
}

std::vector<Worker*>
Placement::Fitting(const Task& aTask, const WorkerFilter& aFilter) const
{
  std::vector<Worker*> fitting;
  std::ranges::copy_if(
    m_workers, std::back_inserter(fitting), [&](const Worker* aWorker) {
      return FitsOn(*aWorker, aTask) && aFilter(*aWorker);
    });
  return fitting;
}

Worker*
Placement::Choose(const Task& aTask, const WorkerFilter& aFilter) const
{
  const StepSpec& spec = aTask.m_job->Spec(aTask);
  Worker* best = nullptr;
  std::pair<int, std::int64_t> bestRank;
  for (Worker* worker : m_workers) {
    if (!FitsOn(*worker, aTask) || !aFilter(*worker)) {
      continue;
    }
    int preference = 0;
    if (!spec.m_dataRack.empty() && worker->Rack() == spec.m_dataRack) {
      preference += 2;
    }
    if (worker->m_report.m_id != aTask.m_failedOn) {
      preference += 4;
    }
    const std::pair rank(preference, -worker->Free().m_cpu);
    if (best == nullptr || rank > bestRank) {
      best = worker;
      bestRank = rank;
    }
  }
  return best;
}

std::vector<Worker*>
Placement::ChooseGang(const std::vector<Task>& aTasks,
                      const WorkerFilter& aFilter) const
{
  const StepSpec& spec = aTasks.front().m_job->Spec(aTasks.front());
  const Resources need = OccupiedBy(spec);
  const std::size_t limit = spec.m_maxPerWorker > 0
                              ? static_cast<std::size_t>(spec.m_maxPerWorker)
                              : aTasks.size();
  const auto fill = [&](const std::string& aRack) {
    std::vector<Worker*> chosen;
    for (Worker* worker : m_workers) {
      const bool isUsable = (aRack.empty() || worker->Rack() == aRack) &&
                            HasRequiredLabel(*worker, spec) &&
                            !HasConflictingTask(*worker, spec) &&
                            aFilter(*worker);
      if (!isUsable) {
        continue;
      }
      Resources free = worker->Free();
      for (std::size_t members = 0;
           members < limit && free.Fits(need) && chosen.size() < aTasks.size();
           ++members) {
        free.Subtract(need);
        chosen.push_back(worker);
      }
    }
    if (chosen.size() < aTasks.size()) {
      chosen.clear();
    }
    return chosen;
  };
  std::vector<std::string> racks;
  if (!spec.m_dataRack.empty()) {
    racks.push_back(spec.m_dataRack);
  }
  if (spec.m_prefersOneRack) {
    std::set<std::string> all;
    std::ranges::transform(
      m_workers, std::inserter(all, all.end()), [](const Worker* aWorker) {
        return aWorker->Rack();
      });
    racks.insert(racks.end(), all.begin(), all.end());
  }
  racks.emplace_back();
  for (const std::string& rack : racks) {
    std::vector<Worker*> chosen = fill(rack);
    if (!chosen.empty()) {
      return chosen;
    }
  }
  return {};
}

}
