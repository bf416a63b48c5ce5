#include "platform/machine_client.h"
#include "tests/fakes/closing_server.h"

#include <catch2/catch.hpp>

using namespace bramleystall;

// Guards against an order that was carried out and counts as rejected, since
// the machine service refused a second sending of it.
TEST_CASE("A machine order whose connection is closed has an unknown outcome",
          "[machine_client]")
{
  ClosingServer server;
  MachineClient client(server.Fetcher(), server.Address());
  const auto outcome =
    server.Call<MachineOutcome>([&](MachineGateway::OrderCallback aCallback) {
      client.Move("machine-1", "counter", {}, std::move(aCallback));
    });
  REQUIRE(outcome == MachineOutcome::Unknown);
  REQUIRE(server.RequestCount() == 1);
}
