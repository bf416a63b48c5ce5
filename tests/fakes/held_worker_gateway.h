#pragma once

#include "core/worker_gateway.h"

#include <functional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace bramleystall {

/** Connections to the workers whose responses a test can hold back. */
class HeldWorkerGateway : public WorkerGateway
{
public:
  explicit HeldWorkerGateway(WorkerGateway& aWorkers)
    : m_workers(aWorkers)
  {
  }

  /** Holds the responses to coming starts until DeliverStarts. */
  bool m_isHoldingStarts = false;
  /** Refuses coming starts as busy, once DeliverStarts is called. */
  bool m_isRefusingStarts = false;
  /** Holds the responses to coming renewals until DeliverRenewals. */
  bool m_isHoldingRenewals = false;
  /** Addresses at which a worker with another id responds. */
  std::set<std::string> m_takenAddresses;
  /** All starts that were sent. */
  std::vector<StartOrder> m_starts;
  /** All renewals that were sent. */
  std::vector<LeaseOrder> m_renewals;

  void DeliverStarts()
  {
    for (const auto& deliver : std::exchange(m_heldStarts, {})) {
      deliver();
    }
  }

  void DeliverRenewals()
  {
    for (const auto& deliver : std::exchange(m_heldRenewals, {})) {
      deliver();
    }
  }

  void Start(const WorkerAddress& aWorker,
             const StartOrder& aOrder,
             OrderCallback aCallback) override
  {
    m_starts.push_back(aOrder);
    if (m_isRefusingStarts) {
      m_heldStarts.push_back([callback = std::move(aCallback)] {
        callback({ .m_outcome = OrderOutcome::Busy });
      });
      return;
    }
    m_workers.Start(
      aWorker,
      aOrder,
      [this, isHeld = m_isHoldingStarts, callback = std::move(aCallback)](
        const OrderResult& aResult) {
        if (isHeld) {
          m_heldStarts.push_back([callback, aResult] { callback(aResult); });
        } else {
          callback(aResult);
        }
      });
  }

  void Stop(const WorkerAddress& aWorker,
            const StopOrder& aOrder,
            OrderCallback aCallback) override
  {
    m_workers.Stop(aWorker, aOrder, std::move(aCallback));
  }

  void Pace(const WorkerAddress& aWorker,
            const PaceOrder& aOrder,
            OrderCallback aCallback) override
  {
    m_workers.Pace(aWorker, aOrder, std::move(aCallback));
  }

  void RenewLease(const WorkerAddress& aWorker,
                  const LeaseOrder& aOrder,
                  LeaseCallback aCallback) override
  {
    m_renewals.push_back(aOrder);
    const bool isTaken = m_takenAddresses.contains(aWorker.m_address);
    m_workers.RenewLease(
      aWorker,
      aOrder,
      [this,
       isTaken,
       isHeld = m_isHoldingRenewals,
       callback = std::move(aCallback)](const LeaseOrderResult& aResult) {
        LeaseOrderResult result = aResult;
        if (isTaken) {
          result = { .m_outcome = OrderOutcome::WrongIncarnation };
        }
        if (isHeld) {
          m_heldRenewals.push_back([callback, result] { callback(result); });
        } else {
          callback(result);
        }
      });
  }

  void Advise(const std::string& aStep,
              const std::vector<std::string>& aWorkers,
              AdviceCallback aCallback) override
  {
    m_workers.Advise(aStep, aWorkers, std::move(aCallback));
  }

private:
  WorkerGateway& m_workers;
  std::vector<std::function<void()>> m_heldStarts;
  std::vector<std::function<void()>> m_heldRenewals;
};

}
