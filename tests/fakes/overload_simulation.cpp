#include "tests/fakes/overload_simulation.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <tuple>

namespace bramleystall {

namespace {

constexpr absl::Duration kStep = absl::Milliseconds(10);
/** Intervals of the product: owners publish, daemons read, machines move. */
constexpr absl::Duration kPublishInterval = absl::Milliseconds(800);
constexpr absl::Duration kReadInterval = absl::Milliseconds(800);
constexpr absl::Duration kStoreDelay = absl::Milliseconds(50);
constexpr absl::Duration kMoveTime = absl::Milliseconds(1600);
/** Time constants of the owner's rates in seconds. */
constexpr double kArrivingSeconds = 0.8;
constexpr double kTenantRateSeconds = 3.0;
/** Wanted machines for each machine of load, as FleetController has it. */
constexpr double kHeadroom = 1.1;
constexpr int kPriority = 1;
const std::string kPool = "counter";

}

OverloadSimulation::OverloadSimulation(const OverloadScenario& aScenario)
  : m_scenario(aScenario)
  , m_random(aScenario.m_seed)
  , m_machines(aScenario.m_machines)
  , m_daemons(static_cast<std::size_t>(aScenario.m_daemons))
{
  for (std::size_t i = 0; i < m_daemons.size(); ++i) {
    m_daemons[i].m_phase = kReadInterval * static_cast<double>(i) /
                           static_cast<double>(m_daemons.size());
  }
}

double
OverloadSimulation::Uniform()
{
  return std::uniform_real_distribution<double>(0.0, 1.0)(m_random);
}

double
OverloadSimulation::Weight() const
{
  // Each tenant is entitled to a little more than it sends in the turn.
  return 1.2 * m_scenario.m_baseRate * m_scenario.m_turnFactor /
         m_scenario.m_tenants;
}

void
OverloadSimulation::MakeJobs()
{
  const double step = absl::ToDoubleSeconds(kStep);
  for (absl::Duration at; at < m_scenario.m_end - absl::Seconds(20);
       at += kStep) {
    const bool isTurn =
      at >= m_scenario.m_turnBegin && at < m_scenario.m_turnEnd;
    for (int tenant = 0; tenant < m_scenario.m_tenants; ++tenant) {
      double rate = m_scenario.m_baseRate / m_scenario.m_tenants;
      rate *= isTurn ? m_scenario.m_turnFactor : 1.0;
      rate *= isTurn && tenant == 0 ? m_scenario.m_floodFactor : 1.0;
      if (Uniform() >= rate * step) {
        continue;
      }
      auto job = std::make_unique<SimulatedJob>();
      job->m_number = m_jobs.size();
      job->m_tenant = tenant;
      job->m_tasks =
        Uniform() < m_scenario.m_bigJobShare ? m_scenario.m_bigJobTasks : 1;
      job->m_runTime = m_scenario.m_meanRunTime * (0.5 + Uniform());
      job->m_askAt = m_start + at;
      // Declared run times are wrong by up to a factor of 2.
      const absl::Duration declared =
        job->m_runTime * std::exp2(2.0 * Uniform() - 1.0);
      const auto objectiveOf = [this](absl::Duration aRunTime) {
        return aRunTime * m_scenario.m_stretch + m_scenario.m_slack;
      };
      const absl::Duration learned = m_scenario.m_meanRunTime;
      AdmissionJob& admission = job->m_admission;
      admission.m_id = absl::StrCat("job", m_jobs.size());
      admission.m_pool = kPool;
      admission.m_tenant = absl::StrCat("t", tenant);
      admission.m_priority = kPriority;
      admission.m_objective = objectiveOf(learned);
      admission.m_inTimeWait = admission.m_objective - 0.9 * learned;
      admission.m_lateObjective = 3 * objectiveOf(std::max(declared, learned));
      admission.m_leastRunTime = 0.4 * std::min(declared, learned);
      admission.m_work = job->m_tasks * absl::ToDoubleSeconds(learned) /
                         m_scenario.m_slotsPerMachine;
      m_jobs.push_back(std::move(job));
    }
  }
}

OverloadResult
OverloadSimulation::Run()
{
  MakeJobs();
  const auto steps = static_cast<int>(m_scenario.m_end / kStep);
  for (int i = 0; i < steps; ++i, m_now += kStep) {
    if ((m_now - m_start) % kPublishInterval == absl::ZeroDuration()) {
      Publish();
    }
    ReadViews();
    EndTasks();
    for (const auto& job : m_jobs) {
      if (job->m_askAt == m_now) {
        Ask(*job);
      }
    }
    MoveMachines();
    Place();
  }
  for (const auto& job : m_jobs) {
    m_result.m_jobs.push_back({ job->m_tenant,
                                job->m_tasks > 1,
                                job->m_refusals > 0,
                                OutcomeOf(*job) });
  }
  for (const auto& [tenth, count] : m_retriesPerTenth) {
    m_result.m_mostRetriesAtOnce =
      std::max(m_result.m_mostRetriesAtOnce, count);
    m_result.m_retries += count;
  }
  return m_result;
}

OverloadOutcome
OverloadSimulation::OutcomeOf(const SimulatedJob& aJob)
{
  if (aJob.m_acceptedAt == absl::Time()) {
    return OverloadOutcome::Refused;
  }
  if (aJob.m_completedAt == absl::Time() ||
      aJob.m_completedAt > aJob.m_lateUntil) {
    return OverloadOutcome::WronglyAccepted;
  }
  return aJob.m_completedAt > aJob.m_objectiveAt ? OverloadOutcome::Late
                                                 : OverloadOutcome::InTime;
}

void
OverloadSimulation::Ask(SimulatedJob& aJob)
{
  if (aJob.m_refusals > 0) {
    ++m_retriesPerTenth[(m_now - m_start) / absl::Milliseconds(100)];
  }
  // The balancer chooses a daemon for each request.
  Daemon& daemon =
    m_daemons[static_cast<std::size_t>(Uniform() * m_scenario.m_daemons)];
  std::map<int, LoadView> views;
  if (daemon.m_seenVersion > 0) {
    views[0] = { &daemon.m_load, daemon.m_seenAt };
  }
  const auto refusal =
    m_scenario.m_hasAdmissionControl
      ? daemon.m_control.Decide(
          aJob.m_admission,
          0,
          views,
          [this](const std::string&) { return std::optional(Weight()); },
          m_now)
      : std::nullopt;
  if (!refusal) {
    Enqueue(aJob);
    return;
  }
  ++m_result.m_refusedRequests;
  ++aJob.m_refusals;
  if (aJob.m_refusals < m_scenario.m_tries) {
    aJob.m_askAt = m_now + absl::Seconds(refusal->m_retryAfterS);
  }
}

void
OverloadSimulation::Enqueue(SimulatedJob& aJob)
{
  aJob.m_acceptedAt = m_now;
  const auto objectiveOf = [this](absl::Duration aRunTime) {
    return aRunTime * m_scenario.m_stretch + m_scenario.m_slack;
  };
  const absl::Duration objective = objectiveOf(aJob.m_runTime);
  aJob.m_objectiveAt = m_now + objective;
  aJob.m_lateUntil = m_now + 3 * objective;
  aJob.m_expectedObjectiveAt = m_now + objectiveOf(m_scenario.m_meanRunTime);
  aJob.m_waitingTasks = aJob.m_tasks;
  m_queue.push_back(&aJob);
  m_arriving += aJob.m_admission.m_work / kArrivingSeconds;
  m_arrivals[aJob.m_admission.m_tenant] += 1.0 / kTenantRateSeconds;
}

void
OverloadSimulation::MoveMachines()
{
  const auto arrived = std::erase_if(
    m_incoming, [this](absl::Time aTime) { return aTime <= m_now; });
  m_machines += static_cast<int>(arrived);
  int tasks = static_cast<int>(m_running.size());
  for (const SimulatedJob* job : m_queue) {
    tasks += job->m_waitingTasks;
  }
  const int most = m_scenario.m_machines + m_scenario.m_movableMachines;
  const int wanted =
    std::min(most,
             static_cast<int>(
               std::ceil(kHeadroom * tasks / m_scenario.m_slotsPerMachine)));
  while (m_machines + static_cast<int>(m_incoming.size()) < wanted) {
    m_incoming.push_back(m_now + kMoveTime);
  }
}

void
OverloadSimulation::EndTasks()
{
  std::erase_if(m_running, [this](const RunningTasks& aRun) {
    if (aRun.m_endsAt > m_now) {
      return false;
    }
    --aRun.m_job->m_runningTasks;
    if (aRun.m_job->m_runningTasks == 0 && aRun.m_job->m_waitingTasks == 0) {
      aRun.m_job->m_completedAt = m_now;
    }
    return true;
  });
}

int
OverloadSimulation::TierOf(const SimulatedJob& aJob) const
{
  const absl::Duration expected = m_scenario.m_meanRunTime;
  if (m_now + 0.9 * expected <= aJob.m_expectedObjectiveAt) {
    return 0;
  }
  if (m_now + 0.4 * expected <= aJob.m_expectedObjectiveAt) {
    return 1;
  }
  const absl::Time lateUntil =
    aJob.m_acceptedAt + 3 * (aJob.m_expectedObjectiveAt - aJob.m_acceptedAt);
  return m_now + 0.4 * expected <= lateUntil ? 2 : 3;
}

std::vector<bool>
OverloadSimulation::FindTenantsAboveShare(
  const std::vector<int>& aRunning) const
{
  std::vector<bool> hasWork;
  std::ranges::transform(aRunning, std::back_inserter(hasWork), [](int aCount) {
    return aCount > 0;
  });
  for (const SimulatedJob* job : m_queue) {
    hasWork[static_cast<std::size_t>(job->m_tenant)] = true;
  }
  const double slots = m_machines * m_scenario.m_slotsPerMachine;
  // All tenants have the same weight.
  const auto sharing = static_cast<double>(std::ranges::count(hasWork, true));
  std::vector<bool> isAbove;
  std::ranges::transform(
    aRunning, std::back_inserter(isAbove), [slots, sharing](int aCount) {
      return aCount / slots > 1.0 / std::max(1.0, sharing);
    });
  return isAbove;
}

void
OverloadSimulation::Place()
{
  std::vector<int> running(static_cast<std::size_t>(m_scenario.m_tenants));
  for (const RunningTasks& run : m_running) {
    ++running[static_cast<std::size_t>(run.m_job->m_tenant)];
  }
  const std::vector<bool> isAbove = FindTenantsAboveShare(running);
  std::ranges::sort(m_queue, {}, [&](const SimulatedJob* aJob) {
    return std::tuple(TierOf(*aJob),
                      isAbove[static_cast<std::size_t>(aJob->m_tenant)],
                      aJob->m_expectedObjectiveAt,
                      aJob->m_acceptedAt,
                      aJob->m_number);
  });
  int free = m_machines * m_scenario.m_slotsPerMachine -
             static_cast<int>(m_running.size());
  for (SimulatedJob* job : m_queue) {
    const int started = std::min(free, job->m_waitingTasks);
    job->m_waitingTasks -= started;
    free -= started;
    job->m_runningTasks += started;
    for (int i = 0; i < started; ++i) {
      m_running.push_back({ job, m_now + job->m_runTime });
    }
  }
  std::erase_if(m_queue, [](const SimulatedJob* aJob) {
    return aJob->m_waitingTasks == 0;
  });
}

void
OverloadSimulation::Publish()
{
  const double interval = absl::ToDoubleSeconds(kPublishInterval);
  PublishedLoad load;
  load.m_machines = m_scenario.m_machines + m_scenario.m_movableMachines;
  PublishedPool& pool = load.m_pools[kPool];
  pool.m_machines = m_machines;
  pool.m_arriving = m_arriving;
  load.m_arrivals = m_arrivals;
  m_arriving *= std::exp(-interval / kArrivingSeconds);
  for (auto& [tenant, rate] : m_arrivals) {
    rate *= std::exp(-interval / kTenantRateSeconds);
  }
  const double slots = m_scenario.m_slotsPerMachine;
  for (const RunningTasks& run : m_running) {
    const double left = absl::ToDoubleSeconds(run.m_endsAt - m_now) / slots;
    pool.m_running += left;
    pool.m_tenants[run.m_job->m_admission.m_tenant].m_running += left;
  }
  std::map<std::int64_t, double> rows;
  for (const SimulatedJob* job : m_queue) {
    const int tier = TierOf(*job);
    if (tier > 2) {
      continue;
    }
    const double work = job->m_waitingTasks *
                        absl::ToDoubleSeconds(m_scenario.m_meanRunTime) / slots;
    rows[tier == 2 ? kLateBoundMs
                   : ObjectiveBoundMs(absl::ToInt64Milliseconds(
                       job->m_expectedObjectiveAt - m_now))] += work;
    pool.m_tenants[job->m_admission.m_tenant].m_waiting += work;
  }
  for (const auto& [bound, work] : rows) {
    pool.m_waiting.push_back({ kPriority, bound, work });
  }
  m_published = std::move(load);
  ++m_publishedVersion;
}

void
OverloadSimulation::ReadViews()
{
  for (Daemon& daemon : m_daemons) {
    const absl::Duration sinceRead =
      (m_now - m_start - daemon.m_phase - kStoreDelay) % kReadInterval;
    if (sinceRead == absl::ZeroDuration() &&
        daemon.m_seenVersion != m_publishedVersion) {
      daemon.m_load = m_published;
      daemon.m_seenVersion = m_publishedVersion;
      daemon.m_seenAt = m_now;
    }
  }
}

}
