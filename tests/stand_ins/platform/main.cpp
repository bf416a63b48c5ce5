#include "tests/stand_ins/platform/platform_api.h"
#include "tests/stand_ins/platform/platform_state.h"
#include "tests/stand_ins/stand_in_main.h"
#include "tests/stand_ins/stand_in_server.h"

#include <absl/time/time.h>
#include <curl/curl.h>
#include <gflags/gflags.h>

#include <ctime>

DEFINE_int32(port, 8500, "TCP port on 127.0.0.1; 0 chooses one");
DEFINE_int32(list_lag_ms, 0, "how far the VM list lags behind");
DEFINE_int32(reboot_ms, 2000, "how long a reboot takes");
DEFINE_int32(min_ttl_ms, 10000, "shortest session TTL that is accepted");

int
main(int aArgumentCount, char** aArguments)
{
  using namespace bramleystall;
  gflags::SetUsageMessage("in-memory stand-in for the platform's HTTP API");
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
  // Threads that wait in watches and reboots are not worth joining.
  std::_Exit(0);
}
