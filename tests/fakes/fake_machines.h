#pragma once

#include "core/machine_gateway.h"
#include "net/event_loop.h"

#include <absl/time/time.h>

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace bramleystall {

/** Machines of the platform in simulated time. */
class FakeMachines : public MachineGateway
{
public:
  /** Order that the platform has accepted. */
  struct Order
  {
    std::string m_machine;
    /** Pool that the machine moves to; empty for maintenance. */
    std::string m_pool;
    std::int64_t m_fencingToken = 0;
    absl::Time m_at;
  };
  /**
   * Called when the platform accepts an order, which ends all tasks on the
   * machine. The pool is empty for maintenance.
   */
  using OrderHook =
    std::function<void(const std::string& aMachine, const std::string& aPool)>;

  explicit FakeMachines(EventLoop& aLoop)
    : m_loop(aLoop)
  {
  }

  /** Number of coming orders that are accepted, but whose response is lost. */
  int m_lostResponses = 0;
  /** Orders and lists time out and have no effect. */
  bool m_isSilent = false;
  /** Machines that the lists lack. */
  std::set<std::string> m_unlistedMachines;

  void Add(const MachineEntry& aEntry) { m_entries[aEntry.m_name] = aEntry; }
  void SetOnOrder(OrderHook aHook) { m_onOrder = std::move(aHook); }
  const std::vector<Order>& Orders() const { return m_orders; }
  /** Orders that were sent, whether they take effect or not. */
  const std::vector<Order>& SentOrders() const { return m_sentOrders; }
  /** Largest number of machines that were in maintenance at once. */
  int MaxInMaintenance() const { return m_maxInMaintenance; }
  /** Number of calls of List(). */
  int ListCount() const { return m_listCount; }
  MachineEntry& At(const std::string& aName) { return m_entries.at(aName); }

  void List(ListCallback aCallback) override;
  void Move(const std::string& aMachine,
            const std::string& aPool,
            const MachineAuthority& aAuthority,
            OrderCallback aCallback) override;
  void Maintain(const std::string& aMachine,
                std::int64_t aWave,
                const MachineAuthority& aAuthority,
                OrderCallback aCallback) override;

private:
  void AcceptOrder(const std::string& aMachine,
                   const std::string& aPool,
                   const MachineAuthority& aAuthority,
                   MachineState aState,
                   const OrderCallback& aCallback);

  EventLoop& m_loop;
  OrderHook m_onOrder = [](const std::string&, const std::string&) {};
  std::map<std::string, MachineEntry> m_entries;
  std::vector<Order> m_orders;
  std::vector<Order> m_sentOrders;
  int m_maxInMaintenance = 0;
  int m_listCount = 0;
};

}
