#include "consul/configuration_publisher.h"
#include "consul/consul_store.h"
#include "tests/fakes/crowd_check.h"
#include "tests/fakes/crowd_scenarios.h"
#include "tests/fakes/deployment.h"

#include <catch2/catch.hpp>

using namespace bramleystall;

namespace {

constexpr std::uint16_t kFirstPort = 27300;
/** Caller port and admin port of the first daemon. */
constexpr std::uint16_t kCallerPort = kFirstPort;
constexpr std::uint16_t kAdminPort = kFirstPort + 10;

/** A deployment of request-path daemons; the crowds meet the first one. */
class DeploymentFixture
{
public:
  explicit DeploymentFixture(CrowdBounds aBounds)
    : m_bounds(aBounds)
    , m_deployment(BRAMLEYSTALL_BINARY_DIR, "consortium", kFirstPort)
  {
    m_deployment.AddSettings({ { "memory_mb", aBounds.m_memoryMb },
                               { "max_fds", aBounds.m_maxDescriptors } });
    m_deployment.StartPlatform();
    m_deployment.AddVms(1);
    ConsulSettings settings;
    settings.m_baseUrl = m_deployment.PlatformUrl();
    ConsulStore store(settings);
    ConfigurationPublisher(store, SystemWriterHooks())
      .Publish(m_deployment.ScaledConfiguration(), "test");
    m_deployment.StartDaemons();
    m_deployment.WaitUntilReady();
  }

  void Check(const CrowdScenario& aScenario, std::uint16_t aPort)
  {
    CheckCrowd(m_deployment.Daemon(0), m_bounds, aScenario, aPort, [this] {
      return IsServed();
    });
  }

  /** Lets a crowd meet the caller port that comes again at once. */
  void CheckReturning(const CrowdScenario& aScenario)
  {
    CheckReturningCrowd(
      m_deployment.Daemon(0), m_bounds, aScenario, kCallerPort, [this] {
        return IsServed();
      });
  }

  /** Whether the admin port answers. */
  static bool IsAdminReachable()
  {
    ClientRequest request;
    request.m_url = absl::StrCat("http://127.0.0.1:", kAdminPort, "/healthz");
    return StatusWithRetries(request) == 200;
  }

private:
  /** Whether an ordinary caller is served. */
  bool IsServed()
  {
    ClientRequest request;
    request.m_url = m_deployment.CallerUrl(0) + "/norte/renewals/1";
    return StatusWithRetries(request) == 200;
  }

  CrowdBounds m_bounds;
  Deployment m_deployment;
};

CrowdScenarios
CallerCrowds()
{
  return CrowdScenarios(
    "GET /norte/renewals/1 HTTP/1.1\r\nHost: 127.0.0.1\r\n");
}

CrowdScenarios
OrderCrowds()
{
  return CrowdScenarios("POST /v1/orders HTTP/1.1\r\nHost: 127.0.0.1\r\n");
}

}

// Guards against a daemon that untrusted clients terminate, or make exceed its
// memory or its descriptors, or keep from serving ordinary callers. Each crowd
// meets processes of its own, since the peak memory never falls.
TEST_CASE("Incomplete bodies of legal size leave a daemon usable",
          "[daemon][process][untrusted]")
{
  DeploymentFixture daemon(kMemoryBounds);
  const CrowdScenarios crowds = CallerCrowds();
  SECTION("whole")
  {
    daemon.Check(crowds.WholeBodies(), kCallerPort);
  }
  SECTION("in pieces")
  {
    daemon.Check(crowds.BodiesInPieces(), kCallerPort);
  }
  SECTION("large chunks")
  {
    daemon.Check(crowds.LargeChunks(), kCallerPort);
  }
  SECTION("small chunks")
  {
    daemon.Check(crowds.SmallChunks(), kCallerPort);
  }
  CHECK(DeploymentFixture::IsAdminReachable());
}

TEST_CASE("Bodies over the limit leave a daemon usable",
          "[daemon][process][untrusted]")
{
  DeploymentFixture daemon(kMemoryBounds);
  const CrowdScenarios crowds = CallerCrowds();
  SECTION("announced")
  {
    daemon.Check(crowds.AnnouncedOversize(), kCallerPort);
  }
  SECTION("unannounced")
  {
    daemon.Check(crowds.UnannouncedOversize(), kCallerPort);
  }
  CHECK(DeploymentFixture::IsAdminReachable());
}

TEST_CASE("Connections beyond the descriptors leave a daemon usable",
          "[daemon][process][untrusted]")
{
  DeploymentFixture daemon(kDescriptorBounds);
  const CrowdScenarios crowds = CallerCrowds();
  SECTION("silent")
  {
    daemon.Check(crowds.SilentConnections(), kCallerPort);
  }
  SECTION("half a request")
  {
    daemon.Check(crowds.HalfHeads(), kCallerPort);
  }
  CHECK(DeploymentFixture::IsAdminReachable());
}

// The admin port has limits of its own, so that a crowd there costs the callers
// nothing.
TEST_CASE("A crowd at the admin port leaves a daemon usable",
          "[daemon][process][untrusted]")
{
  const CrowdScenarios crowds = OrderCrowds();
  SECTION("bodies")
  {
    DeploymentFixture(kMemoryBounds).Check(crowds.WholeBodies(), kAdminPort);
  }
  SECTION("oversize")
  {
    DeploymentFixture(kMemoryBounds)
      .Check(crowds.UnannouncedOversize(), kAdminPort);
  }
  SECTION("silent connections")
  {
    DeploymentFixture(kDescriptorBounds)
      .Check(crowds.SilentConnections(), kAdminPort);
  }
  SECTION("half requests")
  {
    DeploymentFixture(kDescriptorBounds).Check(crowds.HalfHeads(), kAdminPort);
  }
}

// Guards against a crowd that keeps the daemon busy, so that ordinary callers
// get no response.
TEST_CASE("Small chunks that keep coming leave a daemon usable",
          "[daemon][process][untrusted]")
{
  DeploymentFixture(kMemoryBounds)
    .CheckReturning(CallerCrowds().ReturningSmallChunks());
}

// Guards against the memory of responses that their clients do not read.
TEST_CASE("Responses that are not read leave a daemon usable",
          "[daemon][process][untrusted]")
{
  DeploymentFixture(kMemoryBounds)
    .Check(CallerCrowds().UnreadResponses(), kCallerPort);
}

// Guards against the memory of responses while they arrive from targets.
TEST_CASE("Complete bodies that keep coming leave a daemon usable",
          "[daemon][process][untrusted]")
{
  DeploymentFixture(kMemoryBounds)
    .CheckReturning(CallerCrowds().CompleteBodies());
}
