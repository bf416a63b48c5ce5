#include "cluster/fleet_observations.h"

#include <catch2/catch.hpp>

using namespace bramleystall;

namespace {

const absl::Time kNow = absl::FromUnixSeconds(1000);

std::map<std::string, FleetDocument>
Documents(VmState aState)
{
  FleetDocument document;
  document.m_dataCentre = "dc1";
  VmRecord vm;
  vm.m_name = "vm1";
  vm.m_state = aState;
  document.m_vms["vm1"] = vm;
  return { { "dc1", document } };
}

MemberView
MakeMember(const std::string& aName, const std::map<std::string, int>& aProbes)
{
  MemberView member;
  member.m_daemon = aName;
  member.m_dataCentre = "dc1";
  member.m_fleetRevision = 1;
  member.m_probeStates = aProbes;
  return member;
}

}

// Guards against evicting VMs of a data centre whose daemons are silent.
TEST_CASE("No live member means no observation", "[cluster]")
{
  CHECK(CombineObservations(Documents(VmState::Ready), {}, kNow).empty());
  MemberView dead = MakeMember("a", { { "vm1", -9 } });
  dead.m_liveness = Liveness::Dead;
  CHECK(CombineObservations(Documents(VmState::Ready), { dead }, kNow).empty());
}

// Guards against a failure that one member sees being hidden by another.
TEST_CASE("A reported failure counts", "[cluster]")
{
  const auto observations = CombineObservations(
    Documents(VmState::Ready),
    { MakeMember("a", { { "vm1", -4 } }), MakeMember("b", { { "vm1", 3 } }) },
    kNow);
  CHECK_FALSE(observations.at("vm1").m_isHealthy);
  CHECK(observations.at("vm1").m_consecutiveProbeFailures == 4);
}

// Guards against steady VMs counting as unknown because heartbeats leave them
// out, and against a rebooted VM counting as healthy without a probe.
TEST_CASE("Only ready VMs are healthy without a report", "[cluster]")
{
  const std::vector<MemberView> members = { MakeMember("a", {}) };
  CHECK(CombineObservations(Documents(VmState::Ready), members, kNow)
          .at("vm1")
          .m_isHealthy);
  CHECK(
    CombineObservations(Documents(VmState::Probation), members, kNow).empty());
}

// Guards against two daemons choosing different probers from one view.
TEST_CASE("The prober does not depend on the order of the members", "[cluster]")
{
  const MemberView a = MakeMember("a", {});
  const MemberView b = MakeMember("b", {});
  CHECK(FindProber("vm1", "dc1", { a, b }) ==
        FindProber("vm1", "dc1", { b, a }));
  CHECK(FindProber("vm1", "dc2", { a, b }).empty());
}
