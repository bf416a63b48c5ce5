#include "cluster/drain_acknowledgement.h"

#include <catch2/catch.hpp>

using namespace bramleystall;

namespace {

constexpr std::uint64_t kDrainRevision = 7;

FleetDocument
DrainingDocument()
{
  FleetDocument document;
  document.m_dataCentre = "dc1";
  document.m_revision = kDrainRevision;
  VmRecord vm;
  vm.m_name = "vm1";
  vm.m_state = VmState::Draining;
  vm.m_drainRevision = kDrainRevision;
  document.m_vms["vm1"] = vm;
  return document;
}

MemberView
MakeMember(const std::string& aName, std::uint64_t aRevision, int aInFlight = 0)
{
  MemberView member;
  member.m_daemon = aName;
  member.m_dataCentre = "dc1";
  member.m_fleetRevision = aRevision;
  if (aInFlight > 0) {
    member.m_inFlight["vm1"] = aInFlight;
  }
  return member;
}

VmListing
MakeEntry(const std::string& aName)
{
  VmListing listing;
  listing.m_name = aName;
  listing.m_dataCentre = "dc1";
  listing.m_isEntry = true;
  return listing;
}

}

// Guards against a VM changing pools while a daemon still sends it requests.
TEST_CASE("A drain waits for every daemon of the data centre", "[cluster]")
{
  const FleetDocument document = DrainingDocument();
  const std::vector<VmListing> list = { MakeEntry("a"), MakeEntry("b") };
  const MemberView a = MakeMember("a", kDrainRevision);
  CHECK(
    AcknowledgedDrains(document, { a, MakeMember("b", kDrainRevision) }, list)
      .contains("vm1"));
  CHECK(AcknowledgedDrains(
          document, { a, MakeMember("b", kDrainRevision - 1) }, list)
          .empty());
  CHECK(AcknowledgedDrains(
          document, { a, MakeMember("b", kDrainRevision, 1) }, list)
          .empty());
}

// Guards against a move while a daemon is known only from the VM list, or only
// from the membership.
TEST_CASE("A daemon that one source names must acknowledge", "[cluster]")
{
  const FleetDocument document = DrainingDocument();
  const MemberView a = MakeMember("a", kDrainRevision);
  const std::vector<VmListing> both = { MakeEntry("a"), MakeEntry("b") };
  const std::vector<VmListing> onlyA = { MakeEntry("a") };
  CHECK(AcknowledgedDrains(document, { a }, both).empty());
  CHECK(AcknowledgedDrains(document, { a, MakeMember("b", 1) }, onlyA).empty());
}

// Guards against a dead daemon that blocks moves after its VM was removed, and
// against ignoring one whose VM may still run.
TEST_CASE("A dead daemon blocks until the list lacks its VM", "[cluster]")
{
  const FleetDocument document = DrainingDocument();
  const MemberView a = MakeMember("a", kDrainRevision);
  MemberView dead = MakeMember("b", 1);
  dead.m_liveness = Liveness::Dead;
  CHECK(AcknowledgedDrains(
          document, { a, dead }, { { MakeEntry("a"), MakeEntry("b") } })
          .empty());
  CHECK(AcknowledgedDrains(document, { a, dead }, std::nullopt).empty());
  CHECK(AcknowledgedDrains(document, { a, dead }, { { MakeEntry("a") } })
          .contains("vm1"));
}
