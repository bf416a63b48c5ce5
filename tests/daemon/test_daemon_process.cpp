#include "consul/configuration_publisher.h"
#include "consul/consul_store.h"
#include "consul/http_client.h"
#include "core/uuid7.h"
#include "tests/fakes/deployment.h"

#include <absl/time/clock.h>
#include <catch2/catch.hpp>

#include <csignal>
#include <random>

using namespace bramleystall;

namespace {

constexpr int kFirstPort = 27000;

ClientResponse
Call(const std::string& aUrl,
     const std::string& aMethod,
     const std::string& aId = "")
{
  ClientRequest request;
  request.m_method = aMethod;
  request.m_url = aUrl;
  request.m_timeout = absl::Seconds(15);
  request.m_usesFreshConnection = true;
  if (!aId.empty()) {
    request.m_headers.push_back("X-Request-Id: " + aId);
  }
  return HttpClient().Send(request);
}

std::string
HeaderOf(const ClientResponse& aResponse, const std::string& aName)
{
  const auto found = aResponse.m_headers.find(aName);
  return found == aResponse.m_headers.end() ? "" : found->second;
}

void
Publish(const Deployment& aDeployment)
{
  ConsulSettings settings;
  settings.m_baseUrl = aDeployment.PlatformUrl();
  ConsulStore store(settings);
  ConfigurationPublisher(store, SystemWriterHooks())
    .Publish(aDeployment.ScaledConfiguration(), "test");
}

}

// Guards against components that pass their own tests but fail together. Real
// processes serve a request of each kind, an outage of the store follows, and a
// daemon shuts down gracefully and starts again during the outage.
TEST_CASE("A deployment serves, also while the store is down",
          "[daemon][process]")
{
  Deployment deployment(BRAMLEYSTALL_BINARY_DIR, "consortium", kFirstPort);
  deployment.StartPlatform();
  deployment.AddVms(1);
  Publish(deployment);
  deployment.StartDaemons();
  deployment.WaitUntilReady();
  const std::string path = "/norte/renewals/1";

  const auto read = Call(deployment.CallerUrl(0) + path, "GET", "read-1");
  CHECK(read.m_status == 200);
  CHECK(read.m_body.find("read-1") != std::string::npos);
  CHECK(HeaderOf(read, "x-request-id") == "read-1");

  const auto withoutId = Call(deployment.CallerUrl(0) + path, "POST");
  CHECK(withoutId.m_status == 400);
  CHECK(HeaderOf(withoutId, "x-bramleystall-outcome") == "refused-not-run");
  CHECK(Call(deployment.CallerUrl(0) + "/none", "GET").m_status == 404);

  // A request whose id is older than the daemons may have run under earlier
  // incarnations of them.
  std::mt19937_64 random(1);
  const auto oldId = Uuid7::Make(absl::Now() - absl::Minutes(1), random);
  const auto unknown =
    Call(deployment.CallerUrl(0) + path, "POST", oldId.ToString());
  CHECK(unknown.m_status == 504);
  CHECK(HeaderOf(unknown, "x-bramleystall-outcome") == "outcome-unknown");

  deployment.KillPlatform();
  CHECK(Call(deployment.CallerUrl(1) + path, "GET", "read-2").m_status == 200);

  deployment.Daemon(0).Signal(SIGTERM);
  CHECK(deployment.Daemon(0).Wait(absl::Seconds(20)) == 0);
  deployment.RestartDaemon(0);
  deployment.WaitUntilReady();
  CHECK(deployment.Status(0).at("configuration").at("version") == 1);
  CHECK(Call(deployment.CallerUrl(0) + path, "GET", "read-3").m_status == 200);

  // A request runs once when its id is created after the daemons own ids.
  const auto newId = [&] {
    return Uuid7::Make(absl::Now(), random).ToString();
  };
  absl::SleepFor(absl::Seconds(11));
  const std::string id = newId();
  CHECK(Call(deployment.CallerUrl(0) + path, "POST", id).m_status == 200);
  const auto duplicate = Call(deployment.CallerUrl(3) + path, "POST", id);
  CHECK(duplicate.m_status == 504);
  CHECK(HeaderOf(duplicate, "x-bramleystall-reason") == "duplicate_id");
}
