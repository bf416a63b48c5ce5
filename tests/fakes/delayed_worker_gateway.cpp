#include "tests/fakes/delayed_worker_gateway.h"

#include <utility>

namespace bramleystall {

namespace {

constexpr absl::Duration kTimeout = absl::Milliseconds(600);

}

void
DelayedWorkerGateway::CallAfter(absl::Duration aDelay,
                                std::function<void()> aCallback)
{
  m_loop.After(aDelay, [alive = m_alive, callback = std::move(aCallback)] {
    if (*alive) {
      callback();
    }
  });
}

template<class Result>
void
DelayedWorkerGateway::Delay(
  WorkerOrderKind aKind,
  absl::Duration aTimeout,
  std::function<void(std::function<void(Result)>)> aSend,
  std::function<void(Result)> aCallback)
{
  const OrderDelays delays = m_delays(aKind);
  const auto isAnswered = std::make_shared<bool>(false);
  const auto answer = [isAnswered,
                       callback = std::move(aCallback)](const Result& aResult) {
    if (!std::exchange(*isAnswered, true)) {
      callback(aResult);
    }
  };
  CallAfter(aTimeout, [answer] { answer(Result{}); });
  CallAfter(delays.m_request, [this, delays, answer, send = std::move(aSend)] {
    send([this, delays, answer](const Result& aResult) {
      CallAfter(delays.m_response, [answer, aResult] { answer(aResult); });
    });
  });
}

void
DelayedWorkerGateway::Start(const WorkerAddress& aWorker,
                            const StartOrder& aOrder,
                            OrderCallback aCallback)
{
  Delay<OrderResult>(
    WorkerOrderKind::Start,
    kTimeout,
    [this, aWorker, aOrder](OrderCallback aSent) {
      m_workers.Start(aWorker, aOrder, std::move(aSent));
    },
    std::move(aCallback));
}

void
DelayedWorkerGateway::Stop(const WorkerAddress& aWorker,
                           const StopOrder& aOrder,
                           OrderCallback aCallback)
{
  Delay<OrderResult>(
    WorkerOrderKind::Stop,
    kTimeout,
    [this, aWorker, aOrder](OrderCallback aSent) {
      m_workers.Stop(aWorker, aOrder, std::move(aSent));
    },
    std::move(aCallback));
}

void
DelayedWorkerGateway::Pace(const WorkerAddress& aWorker,
                           const PaceOrder& aOrder,
                           OrderCallback aCallback)
{
  m_workers.Pace(aWorker, aOrder, std::move(aCallback));
}

void
DelayedWorkerGateway::RenewLease(const WorkerAddress& aWorker,
                                 const LeaseOrder& aOrder,
                                 LeaseCallback aCallback)
{
  Delay<LeaseOrderResult>(
    WorkerOrderKind::Renewal,
    aOrder.m_wait + kTimeout,
    [this, aWorker, aOrder](LeaseCallback aSent) {
      m_workers.RenewLease(aWorker, aOrder, std::move(aSent));
    },
    std::move(aCallback));
}

void
DelayedWorkerGateway::Advise(const std::string& aStep,
                             const std::vector<std::string>& aWorkers,
                             AdviceCallback aCallback)
{
  m_workers.Advise(aStep, aWorkers, std::move(aCallback));
}

}
