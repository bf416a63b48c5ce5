#pragma once

#include "core/worker_gateway.h"
#include "net/event_loop.h"

#include <absl/time/time.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace bramleystall {

/** Kind of an order to a worker. */
enum class WorkerOrderKind
{
  Start,
  Stop,
  Renewal,
};

/** Times that an order needs beyond the latency of the fakes. */
struct OrderDelays
{
  /** Until the order reaches the worker. */
  absl::Duration m_request;
  /** Until the daemon reads the response. */
  absl::Duration m_response;
};

/**
 * Connections to the workers on which orders and responses overtake each other.
 * An order whose response comes too late is carried out nevertheless.
 */
class DelayedWorkerGateway : public WorkerGateway
{
public:
  using DelayHook = std::function<OrderDelays(WorkerOrderKind)>;

  DelayedWorkerGateway(EventLoop& aLoop, WorkerGateway& aWorkers)
    : m_loop(aLoop)
    , m_workers(aWorkers)
  {
  }
  ~DelayedWorkerGateway() override { *m_alive = false; }

  /** Returns the delays of the next order. */
  DelayHook m_delays = [](WorkerOrderKind) { return OrderDelays{}; };

  void Start(const WorkerAddress& aWorker,
             const StartOrder& aOrder,
             OrderCallback aCallback) override;
  void Stop(const WorkerAddress& aWorker,
            const StopOrder& aOrder,
            OrderCallback aCallback) override;
  void Pace(const WorkerAddress& aWorker,
            const PaceOrder& aOrder,
            OrderCallback aCallback) override;
  void RenewLease(const WorkerAddress& aWorker,
                  const LeaseOrder& aOrder,
                  LeaseCallback aCallback) override;
  void Advise(const std::string& aStep,
              const std::vector<std::string>& aWorkers,
              AdviceCallback aCallback) override;

private:
  /** Runs the callback after the delay, unless this gateway is gone by then. */
  void CallAfter(absl::Duration aDelay, std::function<void()> aCallback);
  /**
   * Sends an order after its delay and passes its response on after the
   * response's; passes an empty one on if that takes longer than aTimeout.
   */
  template<class Result>
  void Delay(WorkerOrderKind aKind,
             absl::Duration aTimeout,
             std::function<void(std::function<void(Result)>)> aSend,
             std::function<void(Result)> aCallback);

  EventLoop& m_loop;
  WorkerGateway& m_workers;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}
