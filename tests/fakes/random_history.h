#pragma once

#include "tests/fakes/fleet_model.h"
#include "tests/fakes/plan_checker.h"

#include <absl/strings/str_cat.h>

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace bramleystall {

/**
 * Random history of a random fleet, determined by a seed. The first phase has
 * failures, false inputs, orders of operators and restarts of the decider. The
 * second phase is undisturbed: every wave must end, and moves must stop.
 */
class RandomHistory
{
public:
  RandomHistory(std::uint64_t aSeed, std::shared_ptr<const StateChart> aChart)
    : m_model(MakeOptions(aSeed), std::move(aChart))
  {
    m_rebootFailureRate =
      std::vector{ 0.0, 0.05, 0.5 }[m_model.RandomInt(0, 2)];
    m_model.m_drawRebootOutcome = [this](const std::string&) {
      return DrawRebootOutcome();
    };
    m_model.m_alterSnapshot = [this](FleetSnapshot& aSnapshot) {
      AlterSnapshot(aSnapshot);
    };
    m_model.m_isWriteRejected = [this] {
      return m_model.RandomFraction() < m_lostWriteRate;
    };
    m_model.m_checkPlan = [this](const FleetSnapshot& aSnapshot,
                                 const FleetPlan& aPlan) {
      Check(aSnapshot, aPlan);
    };
  }

  /** Runs both phases. Returns the first violation, or an empty text. */
  std::string Run(const FleetModel::Planner& aPlanner)
  {
    constexpr int kDisturbedSteps = 150;
    for (int i = 0; i < kDisturbedSteps && m_violation.empty(); ++i) {
      InjectFaults();
      m_model.Step(aPlanner);
    }
    m_model.EndFailures();
    m_fault = Fault::None;
    m_lostWriteRate = 0;
    m_rebootFailureRate = 0;
    m_isUndisturbed = true;
    m_model.SetStep(absl::Seconds(10));
    RunUntilWavesEnd(aPlanner);
    RunUntilSettled(aPlanner);
    return m_violation;
  }

  FleetModel& Model() { return m_model; }
  int Drains() const { return m_drains; }
  /** State and event of each transition that the planner has made. */
  const std::set<std::pair<std::string, std::string>>& Transitions() const
  {
    return m_transitions;
  }

private:
  enum class Fault
  {
    None,
    NoList,
    EmptyList,
    TruncatedList,
    FewObservations,
    NoObservations,
    PoolUnhealthy,
    FutureTimes,
    Flapping,
  };

  static FleetModelOptions MakeOptions(std::uint64_t aSeed)
  {
    std::mt19937_64 random(aSeed * 7919 + 17);
    const auto pick = [&random](int aLow, int aHigh) {
      return std::uniform_int_distribution<int>(aLow, aHigh)(random);
    };
    FleetModelOptions options;
    options.m_seed = aSeed;
    options.m_dataCentres = pick(2, 4);
    options.m_isSpread = pick(0, 3) > 0;
    options.m_spec.m_survive = static_cast<FailureDomain>(pick(0, 2));
    const bool survivesDataCentre =
      options.m_spec.m_survive == FailureDomain::DataCentre;
    const std::vector<int> consortium = { 9, 9, 11, 12 };
    const std::vector<int> cooperative = { 8, 10, 11, 12 };
    const int kind = pick(0, 3);
    const int pools = kind < 2 ? 4 : pick(2, 5);
    for (int i = 0; i < pools; ++i) {
      ModelPool pool;
      pool.m_name = absl::StrCat("pool", i);
      pool.m_workers = kind == 0   ? consortium[i]
                       : kind == 1 ? cooperative[i]
                                   : pick(3, 14);
      pool.m_budget =
        survivesDataCentre ? pick(20, 60) / 100.0 : pick(50, 95) / 100.0;
      pool.m_weight = pick(1, 4);
      options.m_pools.push_back(pool);
    }
    options.m_spares = kind < 2 ? 8 : pick(1, 9);
    options.m_step = absl::Seconds(2);
    options.m_rebootTime = absl::Seconds(pick(20, 90));
    options.m_drainTime = absl::Seconds(pick(0, 3) > 0 ? 4 : 60);
    options.m_listLag = absl::Seconds(pick(0, 20));
    options.m_spec.m_rebootTimeout = absl::Seconds(180);
    options.m_spec.m_vmGoneAfter = absl::Seconds(10);
    options.m_spec.m_surplusHold = absl::Seconds(120);
    options.m_spec.m_maxEvictionFraction = pick(5, 40) / 100.0;
    return options;
  }

  RebootOutcome DrawRebootOutcome()
  {
    if (m_model.RandomFraction() >= m_rebootFailureRate) {
      return {};
    }
    if (m_model.RandomFraction() < 0.5) {
      return { false };
    }
    return { true, absl::Seconds(m_model.RandomInt(1, 60)) };
  }

  std::string RandomVm()
  {
    auto vm = m_model.Vms().begin();
    std::advance(
      vm, m_model.RandomInt(0, static_cast<int>(m_model.Vms().size()) - 1));
    return vm->first;
  }

  std::string RandomPool()
  {
    const auto& services = m_model.Config().m_services;
    const int index = m_model.RandomInt(0, static_cast<int>(services.size()));
    return index == static_cast<int>(services.size())
             ? m_model.Config().m_fleet.m_sparePool
             : services[index].m_pool;
  }

  void InjectFaults()
  {
    const auto happens = [this](double aChance) {
      return m_model.RandomFraction() < aChance;
    };
    const VmListing& any = m_model.Vms().at(RandomVm()).m_listing;
    if (happens(0.03)) {
      m_model.Fail(any.m_name, absl::Seconds(m_model.RandomInt(2, 200)));
    }
    if (happens(0.005)) {
      m_model.Fail(any.m_name, absl::InfiniteDuration());
    }
    if (happens(0.006)) {
      m_model.FailWhere(
        [&any](const VmListing& aVm) { return aVm.m_rack == any.m_rack; },
        absl::Seconds(m_model.RandomInt(10, 120)));
    }
    if (happens(0.002)) {
      m_model.FailWhere(
        [&any](const VmListing& aVm) {
          return aVm.m_dataCentre == any.m_dataCentre;
        },
        absl::Seconds(m_model.RandomInt(10, 100)));
    }
    if (happens(0.005)) {
      m_model.Partition(any.m_dataCentre,
                        absl::Seconds(m_model.RandomInt(5, 60)));
    }
    if (happens(0.02)) {
      // The memory of the planner, and with it the hold time between moves, is
      // lost when another decider takes over.
      m_model.Memory() = PlannerMemory();
      m_lastMove.clear();
    }
    if (happens(0.03)) {
      m_fault = static_cast<Fault>(m_model.RandomInt(0, 8));
      m_faultPool = RandomPool();
      m_faultUntil = m_model.Now() + absl::Seconds(m_model.RandomInt(2, 60));
    }
    if (m_model.Now() >= m_faultUntil) {
      m_fault = Fault::None;
    }
    AddRandomOrders();
  }

  void AddRandomOrders()
  {
    const double draw = m_model.RandomFraction();
    if (draw < 0.01) {
      m_waves.push_back(m_model.AddOrder(OrderKind::Wave, "", ""));
    } else if (draw < 0.02) {
      m_waves.push_back(m_model.AddOrder(OrderKind::Wave, "", RandomPool()));
    } else if (draw < 0.03) {
      m_model.AddOrder(OrderKind::Drain, RandomVm(), "");
    } else if (draw < 0.04) {
      const std::string vm = RandomVm();
      m_movedByOperator.insert(vm);
      m_model.AddOrder(OrderKind::Move, vm, RandomPool());
    } else if (draw < 0.045 && !m_waves.empty()) {
      m_model.AddOrder(OrderKind::CancelWave, "", "", m_waves.back());
    } else if (draw < 0.06) {
      m_model.AddOrder(OrderKind::Restore, RandomVm(), "");
    }
  }

  void AlterSnapshot(FleetSnapshot& aSnapshot)
  {
    auto& list = aSnapshot.m_vmList;
    auto& observations = aSnapshot.m_observations;
    switch (m_fault) {
      case Fault::None:
        return;
      case Fault::NoList:
        list.reset();
        return;
      case Fault::EmptyList:
        list->clear();
        return;
      case Fault::TruncatedList:
        list->resize(list->size() / 3);
        return;
      case Fault::FewObservations:
        std::erase_if(observations, [this](const auto&) {
          return m_model.RandomFraction() < 0.6;
        });
        return;
      case Fault::NoObservations:
        observations.clear();
        return;
      case Fault::PoolUnhealthy:
        MarkUnhealthy(aSnapshot, absl::Hours(1));
        return;
      case Fault::FutureTimes:
        for (auto& [name, seen] : observations) {
          seen.m_lastHealthy = aSnapshot.m_now + absl::Hours(1);
        }
        return;
      case Fault::Flapping:
        if (m_model.RandomFraction() < 0.5) {
          MarkUnhealthy(aSnapshot, absl::Seconds(2));
        }
        return;
    }
  }

  void MarkUnhealthy(FleetSnapshot& aSnapshot, absl::Duration aFor)
  {
    for (auto& [name, seen] : aSnapshot.m_observations) {
      if (m_model.Vms().at(name).m_listing.m_pool == m_faultPool) {
        seen = VmObservation{ false, aSnapshot.m_now - aFor, 50, 0 };
      }
    }
  }

  void Report(const std::string& aViolation)
  {
    if (m_violation.empty() && !aViolation.empty()) {
      m_violation = absl::StrCat(
        aViolation,
        " at ",
        absl::ToInt64Seconds(m_model.Now() - absl::FromUnixSeconds(1800000000)),
        " s");
    }
  }

  void Check(const FleetSnapshot& aSnapshot, const FleetPlan& aPlan)
  {
    Report(m_checker.Check(aSnapshot, aPlan));
    for (const Decision& decision : aPlan.m_decisions) {
      m_transitions.emplace(std::string(NameOf(kVmStateNames, decision.m_from)),
                            decision.m_event);
      m_drains += decision.m_event == "drain" ? 1 : 0;
      if (decision.m_event == "drain") {
        m_targetsUnprotectedPool[decision.m_vm] =
          TargetsUnprotectedPool(decision, aPlan);
      }
      if (decision.m_event == "reassign") {
        CheckOscillation(decision);
      }
    }
    if (m_isUndisturbed) {
      CheckIdleSpares(aSnapshot, aPlan);
    }
  }

  /**
   * Whether a drained VM is to move to a pool that would miss its promise after
   * the loss of its largest failure domain.
   */
  static bool TargetsUnprotectedPool(const Decision& aDecision,
                                     const FleetPlan& aPlan)
  {
    const auto document = aPlan.m_changedDocuments.find(aDecision.m_dataCentre);
    if (document == aPlan.m_changedDocuments.end()) {
      return false;
    }
    const std::string& target =
      document->second.m_vms.at(aDecision.m_vm).m_targetPool;
    return std::ranges::any_of(
      aPlan.m_pools, [&target](const PoolReport& aPool) {
        return aPool.m_pool == target &&
               aPool.m_ready - aPool.m_margin < aPool.m_promised;
      });
  }

  /**
   * A VM must not return to its previous pool within the hold time, unless
   * failures in between left the promise of that pool unprotected.
   */
  void CheckOscillation(const Decision& aDecision)
  {
    const auto previous = m_lastMove.find(aDecision.m_vm);
    if (previous != m_lastMove.end() &&
        !m_movedByOperator.contains(aDecision.m_vm) &&
        !m_targetsUnprotectedPool[aDecision.m_vm] &&
        previous->second.first == aDecision.m_poolAfter &&
        m_model.Now() - previous->second.second <
          m_model.Config().m_fleet.m_surplusHold) {
      Report(absl::StrCat("oscillation: ", aDecision.m_vm));
    }
    m_lastMove[aDecision.m_vm] = { aDecision.m_poolBefore, m_model.Now() };
  }

  /** A pool must not miss its promise for over 200 s while a spare is idle. */
  void CheckIdleSpares(const FleetSnapshot& aSnapshot, const FleetPlan& aPlan)
  {
    const std::string& sparePool = m_model.Config().m_fleet.m_sparePool;
    const bool hasSpare = m_model.CountReadyAndUp(sparePool) > 0;
    const bool isShort =
      std::ranges::any_of(aPlan.m_pools, &PoolReport::m_shortage);
    if (!hasSpare || !isShort) {
      m_shortSince = aSnapshot.m_now;
    }
    if (aSnapshot.m_now - m_shortSince > absl::Seconds(200)) {
      Report("budget: a pool misses its promise while a spare VM is idle");
    }
  }

  /** Whether any open order is not paused. */
  bool HasUnpausedOrder() const
  {
    const auto& orders = m_model.OrdersSeen().m_orders;
    return std::ranges::any_of(orders, [](const Order& aOrder) {
      return aOrder.IsOpen() && aOrder.m_state != OrderState::Paused;
    });
  }

  bool HasOpenOrders() const
  {
    return std::ranges::any_of(m_model.OrdersSeen().m_orders, &Order::IsOpen);
  }

  /**
   * Checks that every order ends. An order may stay paused only while none of
   * the VMs that it needs may leave its pool and no spare VM is ready.
   */
  void RunUntilWavesEnd(const FleetModel::Planner& aPlanner)
  {
    constexpr int kSteps = 2000;
    constexpr int kPausedSteps = 60;
    int paused = 0;
    for (int i = 0; i < kSteps && m_violation.empty() && HasOpenOrders(); ++i) {
      m_model.Step(aPlanner);
      paused = HasUnpausedOrder() ? 0 : paused + 1;
      if (paused > kPausedSteps) {
        CheckPausedOrders();
        return;
      }
    }
    if (HasOpenOrders()) {
      Report("wave: an order does not end in an undisturbed fleet");
    }
  }

  void CheckPausedOrders()
  {
    const std::string& spare = m_model.Config().m_fleet.m_sparePool;
    for (const Order& order : m_model.OrdersSeen().m_orders) {
      if (!order.IsOpen()) {
        continue;
      }
      if (order.m_kind != OrderKind::Move &&
          m_model.CountReadyAndUp(spare) > 0) {
        Report(absl::StrCat("wave: paused with idle spares: ", order.m_detail));
      }
      if (order.m_detail.empty()) {
        Report("wave: paused without a reason");
      }
    }
  }

  void RunUntilSettled(const FleetModel::Planner& aPlanner)
  {
    constexpr int kSettlingSteps = 120;
    constexpr int kStableSteps = 30;
    for (int i = 0; i < kSettlingSteps && m_violation.empty(); ++i) {
      m_model.Step(aPlanner);
    }
    const int before = m_drains;
    for (int i = 0; i < kStableSteps && m_violation.empty(); ++i) {
      m_model.Step(aPlanner);
    }
    if (m_drains > before) {
      Report("oscillation: VMs still move in an undisturbed fleet");
    }
  }

  FleetModel m_model;
  PlanChecker m_checker;
  std::string m_violation;
  double m_rebootFailureRate = 0;
  double m_lostWriteRate = 0.03;
  bool m_isUndisturbed = false;
  Fault m_fault = Fault::None;
  std::string m_faultPool;
  absl::Time m_faultUntil = absl::InfinitePast();
  std::vector<std::string> m_waves;
  std::set<std::string> m_movedByOperator;
  std::map<std::string, std::pair<std::string, absl::Time>> m_lastMove;
  std::map<std::string, bool> m_targetsUnprotectedPool;
  absl::Time m_shortSince = absl::InfiniteFuture();
  int m_drains = 0;
  std::set<std::pair<std::string, std::string>> m_transitions;
};

}
