#include "tests/stand_ins/stand_in_main.h"
#include "tests/stand_ins/stand_in_server.h"
#include "tests/stand_ins/target/worker.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <absl/time/time.h>
#include <gflags/gflags.h>

#include <ctime>

DEFINE_int32(port, 8080, "TCP port on 127.0.0.1; 0 selects a free port");
DEFINE_int32(
  control_port,
  0,
  "second port for /stand_in/ calls, which stays open during a reboot "
  "and while new connections are refused; 0 for none");
DEFINE_string(vm, "", "name of the VM; its address if empty");
DEFINE_int32(slots, 8, "limit of requests that run at the same time");
DEFINE_int32(connections, 64, "limit of open connections");
DEFINE_int32(service_ms, 10, "time that a request runs, in milliseconds");

namespace {

using namespace bramleystall;

/**
 * Simulates a reboot: interrupts all requests and closes the port and all
 * connections for the given time.
 */
void
RunReboot(Worker& aWorker,
          StandInServer& aServer,
          std::uint16_t aPort,
          absl::Duration aTime)
{
  // Gives the response to the reboot call time to be sent.
  constexpr absl::Duration kResponseSendTime = absl::Milliseconds(20);
  absl::SleepFor(kResponseSendTime);
  aServer.StopAccepting();
  aWorker.Interrupt();
  aServer.Close();
  absl::SleepFor(aTime);
  aWorker.Resume();
  aServer.Open(aPort);
}

}

int
main(int aArgumentCount, char** aArguments)
{
  gflags::SetUsageMessage("stand-in for a worker, which runs requests");
  gflags::ParseCommandLineFlags(&aArgumentCount, &aArguments, true);
  const sigset_t terminationSignals = BlockTerminationSignals();
  WorkerSettings settings;
  settings.m_vm = FLAGS_vm.empty() ? absl::StrCat("127.0.0.1:", FLAGS_port)
                                   : std::string(FLAGS_vm);
  settings.m_slots = FLAGS_slots;
  settings.m_connections = FLAGS_connections;
  settings.m_serviceTime = absl::Milliseconds(FLAGS_service_ms);
  Worker worker(settings);
  const auto handler = [&worker](const StandInRequest& aRequest) {
    return worker.Handle(aRequest);
  };
  StandInServer server(handler, [&worker](std::uint64_t aConnection) {
    worker.ForgetConnection(aConnection);
  });
  StandInServer control(handler);
  const auto port = server.Open(static_cast<std::uint16_t>(FLAGS_port));
  if (FLAGS_control_port > 0) {
    control.Open(static_cast<std::uint16_t>(FLAGS_control_port));
  }
  PrintPort(port);
  bool isRefusing = false;
  constexpr timespec kPollInterval{ 0, 5'000'000 };
  while (sigtimedwait(&terminationSignals, nullptr, &kPollInterval) < 0) {
    if (const auto reboot = worker.TakeReboot()) {
      RunReboot(worker, server, port, *reboot);
      isRefusing = false;
      continue;
    }
    if (worker.IsRefusing() == isRefusing) {
      continue;
    }
    isRefusing = !isRefusing;
    if (isRefusing) {
      server.StopAccepting();
    } else {
      server.Open(port);
    }
  }
  // Exits without waiting for the requests in progress.
  std::_Exit(0);
}
