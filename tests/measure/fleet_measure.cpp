#include "tests/measure/fleet_measure.h"

#include "core/error.h"
#include "tests/fakes/fleet_model.h"
#include "tests/fakes/plan_checker.h"
#include "tests/naive/naive_planner.h"

#include <absl/strings/str_cat.h>
#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <map>
#include <string>

namespace bramleystall {

namespace {

/** Time that the platform takes to reboot a VM; the model assumes it. */
constexpr absl::Duration kRebootTime = absl::Minutes(3);

constexpr absl::Duration kDrainTime = absl::Seconds(3);

/**
 * Time limit within which a pool has its promised workers again after a
 * failure. It covers the detection by probes, the drain of a spare and two
 * plans.
 */
constexpr absl::Duration kRepairTimeLimit = absl::Seconds(60);

FleetModelOptions
MakeOptions(const std::string& aDeployment, std::uint64_t aSeed)
{
  FleetModelOptions options;
  options.m_seed = aSeed;
  if (aDeployment == "consortium") {
    options.m_dataCentres = 3;
    options.m_pools = { { "counter1", 9, 0.8, 1 },
                        { "counter2", 9, 0.8, 1 },
                        { "counter3", 11, 0.8, 1 },
                        { "counter4", 12, 0.8, 1 } };
  } else if (aDeployment == "cooperative") {
    options.m_dataCentres = 4;
    options.m_pools = { { "alarms", 12, 0.9, 4 },
                        { "spoilage", 10, 0.8, 2 },
                        { "doors", 9, 0.8, 2 },
                        { "summaries", 8, 0.7, 1 } };
  } else {
    throw Error(ErrorCode::InvalidInput,
                absl::StrCat("unknown deployment '", aDeployment, "'"));
  }
  options.m_spares = 8;
  options.m_rebootTime = kRebootTime;
  options.m_drainTime = kDrainTime;
  return options;
}

int
Promised(const ModelPool& aPool)
{
  return static_cast<int>(std::ceil(aPool.m_budget * aPool.m_workers - 1e-9));
}

int
CountVms(const FleetModelOptions& aOptions)
{
  int count = aOptions.m_spares;
  for (const ModelPool& pool : aOptions.m_pools) {
    count += pool.m_workers;
  }
  return count;
}

/**
 * Runs one wave over the whole fleet. Returns the minutes until the wave ends,
 * at most 24 h. `aViolation` may be null; otherwise it receives the first
 * violation that the plan checker finds, or a message about VMs that the wave
 * did not maintain.
 */
double
RunRollout(FleetModel& aModel,
           const FleetModel::Planner& aPlanner,
           std::string* aViolation)
{
  PlanChecker checker;
  aModel.m_checkPlan = [&](const FleetSnapshot& aSnapshot,
                           const FleetPlan& aPlan) {
    const std::string violation = checker.Check(aSnapshot, aPlan);
    if (aViolation && aViolation->empty()) {
      *aViolation = violation;
    }
  };
  const absl::Time start = aModel.Now();
  const std::string wave = aModel.AddOrder(OrderKind::Wave, "", "");
  constexpr absl::Duration kMaxRolloutTime = absl::Hours(24);
  while (aModel.FindOrder(wave).IsOpen() &&
         aModel.Now() - start < kMaxRolloutTime) {
    aModel.Step(aPlanner);
  }
  const int unmaintained = aModel.CountRecords([start](const VmRecord& aVm) {
    return aVm.m_maintainedMillis < ToMillis(start);
  });
  if (aViolation && aViolation->empty() && unmaintained > 0) {
    *aViolation = absl::StrCat(unmaintained, " VMs are not maintained");
  }
  return absl::ToDoubleMinutes(aModel.Now() - start);
}

/**
 * Lower bound of a rollout in minutes: the mean drain and reboot time of a VM,
 * multiplied by the number of VMs and divided by the number of VMs that the
 * availability budgets allow out of service at once. These are all VMs except
 * the promised ones and a margin of one VM for each pool, the smallest margin
 * of a pool that is spread over racks.
 */
double
RolloutBound(const FleetModelOptions& aOptions)
{
  int inService = 0;
  for (const ModelPool& pool : aOptions.m_pools) {
    inService += Promised(pool) + 1;
  }
  const int vms = CountVms(aOptions);
  const double minutes = absl::ToDoubleMinutes(kRebootTime + kDrainTime / 2);
  return minutes * vms / (vms - inService);
}

}

MeasureResult
MeasureRolloutTime(const std::string& aDeployment,
                   std::uint64_t aSeed,
                   const std::shared_ptr<const StateChart>& aChart)
{
  const FleetModelOptions options = MakeOptions(aDeployment, aSeed);
  MeasureResult result{
    "rollout_time", aDeployment, 0, 0, 0, "min", aSeed, ""
  };
  FleetModel baseline(options, aChart);
  result.m_baseline = RunRollout(baseline, NaivePlanner(), nullptr);
  FleetModel chosen(options, aChart);
  result.m_chosen = RunRollout(chosen, PlanFleet, &result.m_violation);
  result.m_bound = RolloutBound(options);
  return result;
}

namespace {

/**
 * Failure of one VM of a pool. The pool is given in advance, and the VM is the
 * first one that is in service there at the start, so that every planner has
 * to replace the same VMs regardless of its earlier moves.
 */
struct Outage
{
  /** Time from the start of the run. */
  absl::Duration m_start;
  absl::Duration m_duration;
  std::string m_pool;
};

/** Draws the outages of a run; they depend only on the options. */
std::vector<Outage>
DrawOutages(const FleetModelOptions& aOptions, absl::Duration aRunDuration)
{
  std::mt19937_64 random(aOptions.m_seed);
  const auto pick = [&random](int aLow, int aHigh) {
    return std::uniform_int_distribution<int>(aLow, aHigh)(random);
  };
  const int minutes = static_cast<int>(absl::ToInt64Minutes(aRunDuration));
  std::vector<std::string> pools;
  for (const ModelPool& pool : aOptions.m_pools) {
    pools.insert(pools.end(), pool.m_workers, pool.m_name);
  }
  const auto randomPool = [&] {
    return pools[pick(0, static_cast<int>(pools.size()) - 1)];
  };
  // Restarts, after which the VM returns within a few minutes.
  constexpr int kRestarts = 12;
  constexpr int kLongFailures = 4;
  std::vector<Outage> outages;
  outages.reserve(kRestarts + kLongFailures + aOptions.m_pools.size());
  for (int i = 0; i < kRestarts; ++i) {
    outages.push_back({ absl::Minutes(pick(0, minutes - 90)),
                        absl::Seconds(pick(40, 240)),
                        randomPool() });
  }
  // Failures that last for hours.
  for (int i = 0; i < kLongFailures; ++i) {
    outages.push_back({ absl::Minutes(pick(0, minutes / 2)),
                        absl::Minutes(pick(60, 150)),
                        randomPool() });
  }
  // The failure of a rack with four VMs, one of each pool.
  const absl::Duration start = absl::Minutes(pick(minutes / 4, minutes / 2));
  const absl::Duration length = absl::Minutes(pick(30, 90));
  for (const ModelPool& pool : aOptions.m_pools) {
    outages.push_back({ start, length, pool.m_name });
  }
  std::ranges::sort(outages, {}, &Outage::m_start);
  return outages;
}

/** Fails the first VM that is in service in the pool of the outage. */
void
StartOutage(FleetModel& aModel, const Outage& aOutage)
{
  for (const auto& [name, vm] : aModel.Vms()) {
    const VmRecord* const record = aModel.FindRecord(name);
    if (record && record->m_pool == aOutage.m_pool &&
        record->m_state == VmState::Ready && vm.IsUp(aModel.Now())) {
      aModel.Fail(name, aOutage.m_duration);
      return;
    }
  }
}

/** Counts the outages of a pool that are in progress at a time. */
int
CountOutages(const std::vector<Outage>& aOutages,
             const std::string& aPool,
             absl::Duration aTime)
{
  return static_cast<int>(
    std::ranges::count_if(aOutages, [&](const Outage& aOutage) {
      return aOutage.m_pool == aPool && aTime >= aOutage.m_start &&
             aTime < aOutage.m_start + aOutage.m_duration;
    }));
}

/** Result of one run with outages. */
struct RunResult
{
  int m_moves = 0;
  bool m_hasOpenOrders = false;
  std::string m_violation;
  /** Longest time that a pool had fewer ready VMs than promised. */
  absl::Duration m_longestShortage;
};

RunResult
RunOutages(const FleetModelOptions& aOptions,
           const std::shared_ptr<const StateChart>& aChart,
           const FleetModel::Planner& aPlanner,
           const std::vector<Outage>& aOutages,
           absl::Duration aRunDuration,
           bool aHasWave)
{
  FleetModel model(aOptions, aChart);
  PlanChecker checker;
  RunResult result;
  model.m_checkPlan = [&](const FleetSnapshot& aSnapshot,
                          const FleetPlan& aPlan) {
    const std::string violation = checker.Check(aSnapshot, aPlan);
    if (result.m_violation.empty()) {
      result.m_violation = violation;
    }
    for (const Decision& decision : aPlan.m_decisions) {
      result.m_moves += decision.m_event == "reassign" ? 1 : 0;
    }
  };
  const absl::Time start = model.Now();
  std::map<std::string, absl::Time> shortageSince;
  std::size_t next = 0;
  if (aHasWave) {
    model.AddOrder(OrderKind::Wave, "", "");
  }
  while (model.Now() - start < aRunDuration) {
    while (next < aOutages.size() &&
           start + aOutages[next].m_start <= model.Now()) {
      StartOutage(model, aOutages[next]);
      ++next;
    }
    model.Step(aPlanner);
    for (const ModelPool& pool : aOptions.m_pools) {
      if (model.CountReadyAndUp(pool.m_name) >= Promised(pool)) {
        shortageSince.erase(pool.m_name);
        continue;
      }
      const auto since =
        shortageSince.emplace(pool.m_name, model.Now()).first->second;
      result.m_longestShortage =
        std::max(result.m_longestShortage, model.Now() - since);
    }
  }
  result.m_hasOpenOrders =
    std::ranges::any_of(model.OrdersSeen().m_orders, &Order::IsOpen);
  return result;
}

/**
 * Smallest number of moves that keeps one pool at its configured number of
 * VMs. A missing VM needs no replacement if it returns within the reboot time
 * limit and the pool meanwhile has at least one VM more than promised. Every
 * other missing VM needs one move into the pool and, after it has been back
 * for the hold time, one move back to the spares.
 */
int
MinMoves(const FleetModelOptions& aOptions,
         const ModelPool& aPool,
         const std::vector<Outage>& aOutages,
         absl::Duration aRunDuration)
{
  constexpr absl::Duration kTimeStep = absl::Seconds(10);
  const auto limit = aOptions.m_spec.m_rebootTimeout / kTimeStep;
  const auto hold = aOptions.m_spec.m_surplusHold / kTimeStep;
  const int slack = aPool.m_workers - Promised(aPool) - 1;
  int moves = 0;
  for (int level = 1; level <= aPool.m_workers; ++level) {
    const double needed = level > slack ? 1 : limit;
    int missingSteps = 0;
    int presentSteps = 0;
    bool hasReplacement = false;
    for (absl::Duration time; time < aRunDuration; time += kTimeStep) {
      const bool isMissing =
        CountOutages(aOutages, aPool.m_name, time) >= level;
      missingSteps = isMissing ? missingSteps + 1 : 0;
      presentSteps = isMissing ? 0 : presentSteps + 1;
      const bool changes =
        hasReplacement ? presentSteps >= hold : missingSteps >= needed;
      hasReplacement = changes ? !hasReplacement : hasReplacement;
      moves += changes ? 1 : 0;
    }
  }
  return moves;
}

}

MeasureResult
MeasureVmMoves(const std::string& aDeployment,
               std::uint64_t aSeed,
               const std::shared_ptr<const StateChart>& aChart)
{
  constexpr absl::Duration kRunDuration = absl::Hours(12);
  FleetModelOptions options = MakeOptions(aDeployment, aSeed);
  options.m_step = absl::Seconds(5);
  const auto outages = DrawOutages(options, kRunDuration);
  MeasureResult result{ "vm_moves", aDeployment, 0, 0, 0, "moves", aSeed, "" };
  result.m_baseline =
    RunOutages(options, aChart, NaivePlanner(), outages, kRunDuration, false)
      .m_moves;
  const RunResult chosen =
    RunOutages(options, aChart, PlanFleet, outages, kRunDuration, false);
  result.m_chosen = chosen.m_moves;
  result.m_violation = chosen.m_violation;
  if (result.m_violation.empty() &&
      chosen.m_longestShortage > kRepairTimeLimit) {
    result.m_violation =
      absl::StrCat("P1: a pool had too few ready VMs for ",
                   absl::FormatDuration(chosen.m_longestShortage));
  }
  for (const ModelPool& pool : options.m_pools) {
    result.m_bound += MinMoves(options, pool, outages, kRunDuration);
  }
  return result;
}

namespace {

/**
 * Whether a run keeps the guarantee: after any failure, each pool has its
 * promised VMs again within the repair time limit, and the wave over all VMs
 * ends.
 */
bool
KeepsGuarantee(const RunResult& aResult)
{
  return aResult.m_longestShortage <= kRepairTimeLimit &&
         !aResult.m_hasOpenOrders;
}

/**
 * Smallest number of spares with which a pool can release one VM and then
 * still survive the loss of a rack. A pool with more VMs than there are racks
 * has at least two in one rack.
 */
int
MinWaveSpares(const FleetModelOptions& aOptions, const ModelPool& aPool)
{
  FleetModelOptions options = aOptions;
  for (options.m_spares = 0;; ++options.m_spares) {
    const int racks =
      (CountVms(options) + options.m_vmsPerRack - 1) / options.m_vmsPerRack;
    const int ready = aPool.m_workers + options.m_spares - 1;
    const int margin = (ready + racks - 1) / racks;
    if (ready - margin >= Promised(aPool)) {
      return options.m_spares;
    }
  }
}

/**
 * Smallest number of spares that suffices if all outages are known in advance.
 * It is the larger of two numbers: for failures, the largest sum over the
 * pools, at any time, of the promised VMs that outages leave missing; for the
 * wave, the spares that let every pool release one VM and still survive the
 * loss of a rack, in a time without failures.
 */
int
MinSparesInHindsight(const FleetModelOptions& aOptions,
                     const std::vector<Outage>& aOutages,
                     absl::Duration aRunDuration)
{
  int required = 0;
  for (absl::Duration time; time < aRunDuration; time += absl::Seconds(10)) {
    int missing = 0;
    for (const ModelPool& pool : aOptions.m_pools) {
      const int up = pool.m_workers - CountOutages(aOutages, pool.m_name, time);
      missing += std::max(0, Promised(pool) - up);
    }
    required = std::max(required, missing);
  }
  for (const ModelPool& pool : aOptions.m_pools) {
    required = std::max(required, MinWaveSpares(aOptions, pool));
  }
  return required;
}

/**
 * Baseline of the buffer cost: the smallest total number of extra VMs that
 * keeps the guarantee, with the same number in each pool, no spares, and a
 * planner that maintains one VM of the fleet at a time.
 */
int
MinFixedBuffer(const FleetModelOptions& aOptions,
               const std::shared_ptr<const StateChart>& aChart,
               const std::vector<Outage>& aOutages,
               absl::Duration aRunDuration)
{
  constexpr int kMaxPerPool = 6;
  for (int buffer = 0; buffer <= kMaxPerPool; ++buffer) {
    FleetModelOptions options = aOptions;
    options.m_spares = 0;
    for (ModelPool& pool : options.m_pools) {
      // Keeps the number of promised workers, despite the extra workers.
      pool.m_budget =
        static_cast<double>(Promised(pool)) / (pool.m_workers + buffer);
      pool.m_workers += buffer;
    }
    const RunResult run =
      RunOutages(options, aChart, NaivePlanner(), aOutages, aRunDuration, true);
    if (KeepsGuarantee(run)) {
      return buffer * static_cast<int>(options.m_pools.size());
    }
  }
  return kMaxPerPool * static_cast<int>(aOptions.m_pools.size());
}

}

MeasureResult
MeasureBufferCost(const std::string& aDeployment,
                  std::uint64_t aSeed,
                  const std::shared_ptr<const StateChart>& aChart)
{
  constexpr absl::Duration kRunDuration = absl::Hours(8);
  constexpr int kMaxSpares = 24;
  FleetModelOptions options = MakeOptions(aDeployment, aSeed);
  options.m_step = absl::Seconds(5);
  const auto outages = DrawOutages(options, kRunDuration);
  const double hours = absl::ToDoubleHours(kRunDuration);
  MeasureResult result{
    "buffer_cost", aDeployment, 0, 0, 0, "VM-h", aSeed, ""
  };
  const FleetModelOptions fixed = options;
  result.m_baseline =
    hours * MinFixedBuffer(fixed, aChart, outages, kRunDuration);
  result.m_bound = hours * MinSparesInHindsight(options, outages, kRunDuration);
  for (int spares = 0; spares <= kMaxSpares; ++spares) {
    options.m_spares = spares;
    const RunResult run =
      RunOutages(options, aChart, PlanFleet, outages, kRunDuration, true);
    if (KeepsGuarantee(run)) {
      result.m_chosen = spares * hours;
      result.m_violation = run.m_violation;
      return result;
    }
  }
  result.m_violation = "P1: the largest number of spares was not enough";
  return result;
}

namespace {

/**
 * Options of a fleet that is a multiple of today's consortium; the number of
 * pools grows with it.
 */
FleetModelOptions
ScaleOptions(int aScale, std::uint64_t aSeed)
{
  FleetModelOptions options = MakeOptions("consortium", aSeed);
  // The design size has 24 times today's workers in 28 pools; the spare pool
  // is the 29th.
  constexpr int kDesignScale = 24;
  constexpr int kDesignPools = 28;
  const int pools = std::max(4, kDesignPools * aScale / kDesignScale);
  const int workers = (CountVms(options) - options.m_spares) * aScale / pools;
  options.m_pools.clear();
  for (int i = 0; i < pools; ++i) {
    options.m_pools.push_back({ absl::StrCat("pool", i), workers, 0.8, 1 });
  }
  options.m_spares *= aScale;
  return options;
}

/**
 * Mean milliseconds of one plan over the next 60 steps of the model. Raises
 * `aPeakBytes` to the largest number of heap bytes that a plan occupies.
 */
double
MeanPlanMillis(FleetModel& aModel, double* aPeakBytes)
{
  constexpr int kPlans = 60;
  double seconds = 0;
  const auto timed = [&](const FleetSnapshot& aSnapshot,
                         PlannerMemory& aMemory) {
    const auto start = std::chrono::steady_clock::now();
    const std::size_t before = mallinfo2().uordblks;
    FleetPlan plan = PlanFleet(aSnapshot, aMemory);
    seconds +=
      std::chrono::duration<double>(std::chrono::steady_clock::now() - start)
        .count();
    const double held =
      static_cast<double>(mallinfo2().uordblks) - static_cast<double>(before);
    *aPeakBytes = std::max(*aPeakBytes, held);
    return plan;
  };
  for (int i = 0; i < kPlans; ++i) {
    aModel.Step(timed);
  }
  return seconds * 1000 / kPlans;
}

}

std::vector<PlanCost>
MeasurePlanCost(std::uint64_t aSeed,
                const std::shared_ptr<const StateChart>& aChart)
{
  std::vector<PlanCost> costs;
  for (const int scale : { 1, 3, 10, 24 }) {
    const FleetModelOptions options = ScaleOptions(scale, aSeed);
    FleetModel model(options, aChart);
    PlanCost cost;
    cost.m_scale = scale;
    cost.m_vms = CountVms(options);
    cost.m_pools = static_cast<int>(options.m_pools.size()) + 1;
    cost.m_idleMillis = MeanPlanMillis(model, &cost.m_planBytes);
    model.AddOrder(OrderKind::Wave, "", "");
    cost.m_waveMillis = MeanPlanMillis(model, &cost.m_planBytes);
    std::size_t bytes = 0;
    for (const auto& [dataCentre, document] : model.Documents()) {
      bytes += document.Serialize().size();
    }
    cost.m_documentBytesPerVm = static_cast<double>(bytes) / cost.m_vms;
    costs.push_back(cost);
  }
  return costs;
}

double
PlanCostSlope(const std::vector<PlanCost>& aCosts)
{
  const PlanCost& small = aCosts.front();
  const PlanCost& large = aCosts.back();
  return (large.m_waveMillis - small.m_waveMillis) * 1000 /
         (large.m_vms - small.m_vms);
}

}
