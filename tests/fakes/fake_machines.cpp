#include "tests/fakes/fake_machines.h"

#include <algorithm>

namespace bramleystall {

namespace {

constexpr absl::Duration kLatency = absl::Milliseconds(3);
constexpr absl::Duration kResponseTimeout = absl::Seconds(1);
constexpr absl::Duration kOrderTime = absl::Milliseconds(1500);

}

void
FakeMachines::List(ListCallback aCallback)
{
  ++m_listCount;
  if (m_isSilent) {
    m_loop.After(kResponseTimeout,
                 [callback = std::move(aCallback)] { callback({}); });
    return;
  }
  m_loop.After(kLatency, [this, callback = std::move(aCallback)] {
    MachineListResult result;
    result.m_isComplete = true;
    for (const auto& [name, entry] : m_entries) {
      if (!m_unlistedMachines.contains(name)) {
        result.m_machines.push_back(entry);
      }
    }
    callback(result);
  });
}

void
FakeMachines::Move(const std::string& aMachine,
                   const std::string& aPool,
                   const MachineAuthority& aAuthority,
                   OrderCallback aCallback)
{
  AcceptOrder(aMachine, aPool, aAuthority, MachineState::Moving, aCallback);
}

void
FakeMachines::Maintain(const std::string& aMachine,
                       std::int64_t /*aWave*/,
                       const MachineAuthority& aAuthority,
                       OrderCallback aCallback)
{
  AcceptOrder(aMachine, "", aAuthority, MachineState::Maintenance, aCallback);
}

void
FakeMachines::AcceptOrder(const std::string& aMachine,
                          const std::string& aPool,
                          const MachineAuthority& aAuthority,
                          MachineState aState,
                          const OrderCallback& aCallback)
{
  m_sentOrders.push_back(
    { aMachine, aPool, aAuthority.m_fencingToken, m_loop.Now() });
  if (m_isSilent) {
    m_loop.After(kResponseTimeout,
                 [aCallback] { aCallback(MachineOutcome::Unknown); });
    return;
  }
  m_loop.After(
    kLatency, [this, aMachine, aPool, aAuthority, aState, aCallback] {
      MachineEntry& entry = m_entries.at(aMachine);
      if (entry.m_state != MachineState::Up) {
        aCallback(MachineOutcome::Busy);
        return;
      }
      m_orders.push_back(
        { aMachine, aPool, aAuthority.m_fencingToken, m_loop.Now() });
      entry.m_state = aState;
      const auto inMaintenance =
        std::ranges::count_if(m_entries, [](const auto& aEntry) {
          return aEntry.second.m_state == MachineState::Maintenance;
        });
      m_maxInMaintenance =
        std::max(m_maxInMaintenance, static_cast<int>(inMaintenance));
      m_onOrder(aMachine, aPool);
      m_loop.After(kOrderTime, [this, aMachine, aPool] {
        MachineEntry& machine = m_entries.at(aMachine);
        machine.m_state = MachineState::Up;
        machine.m_pool = aPool.empty() ? machine.m_pool : aPool;
      });
      if (m_lostResponses > 0) {
        --m_lostResponses;
        m_loop.After(kResponseTimeout,
                     [aCallback] { aCallback(MachineOutcome::Unknown); });
        return;
      }
      aCallback(MachineOutcome::Accepted);
    });
}

}
