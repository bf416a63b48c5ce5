#include "tests/stand_ins/platform/platform_api.h"
#include "tests/stand_ins/platform/platform_state.h"
#include "tests/stand_ins/stand_in_main.h"
#include "tests/stand_ins/stand_in_server.h"

#include <absl/time/time.h>
#include <curl/curl.h>
#include <gflags/gflags.h>

#include <ctime>

DEFINE_int32(port, 8500, "TCP port on 127.0.0.1; 0 selects a free port");
DEFINE_int32(list_lag_ms, 0, "age of the VM list in milliseconds");
DEFINE_int32(reboot_ms, 2000, "duration of a reboot in milliseconds");
DEFINE_int32(min_ttl_ms,
             10000,
             "shortest accepted session TTL in milliseconds");

int
main(int aArgumentCount, char** aArguments)
{
  using namespace bramleystall;
  gflags::SetUsageMessage(
    "in-memory stand-in for the HTTP API of the platform");
  gflags::ParseCommandLineFlags(&aArgumentCount, &aArguments, true);
  curl_global_init(CURL_GLOBAL_DEFAULT);
  const sigset_t terminationSignals = BlockTerminationSignals();
  PlatformState state(absl::Milliseconds(FLAGS_min_ttl_ms));
  PlatformApi api(state,
                  absl::Milliseconds(FLAGS_list_lag_ms),
                  absl::Milliseconds(FLAGS_reboot_ms));
  StandInServer server(
    [&api](const StandInRequest& aRequest) { return api.Handle(aRequest); });
  PrintPort(server.Open(static_cast<std::uint16_t>(FLAGS_port)));
  constexpr timespec kPollInterval{ 0, 20'000'000 };
  while (sigtimedwait(&terminationSignals, nullptr, &kPollInterval) < 0) {
    state.ExpireSessions();
  }
  // Exits without waiting for the threads of watches and reboots.
  std::_Exit(0);
}
