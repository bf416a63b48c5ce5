#include "cluster/membership.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <map>
#include <string>

using namespace bramleystall;

namespace {

const absl::Time kStart = absl::FromUnixSeconds(1'800'000'000);

Membership
MakeMembership(const std::string& aDaemon,
               const std::string& aDataCentre = "dc1",
               absl::Time aNow = kStart)
{
  return Membership({ aDaemon, aDataCentre, aDaemon + ":1" }, aNow, aNow);
}

/** Sends one heartbeat of the first to the second. */
HeartbeatResult
SendHeartbeat(Membership& aFrom, Membership& aTo, absl::Time aNow)
{
  aFrom.Advance(aNow, aNow);
  aTo.Advance(aNow, aNow);
  aFrom.NextSequence(aNow);
  const auto heartbeat =
    aFrom.MakeHeartbeat(aTo.Self().m_daemon, LocalState{}, aNow);
  return aTo.Apply(
    aFrom.Self().m_daemon, aFrom.Incarnation(), heartbeat, aNow, aNow);
}

/** Exchanges heartbeats between both for a time; returns its end. */
absl::Time
Exchange(Membership& aOne,
         Membership& aOther,
         absl::Time aFrom,
         absl::Duration aFor)
{
  absl::Time now = aFrom;
  for (; now < aFrom + aFor; now += absl::Milliseconds(500)) {
    SendHeartbeat(aOne, aOther, now);
    SendHeartbeat(aOther, aOne, now);
  }
  return now;
}

Liveness
LivenessOf(const Membership& aMembership, const std::string& aDaemon)
{
  return aMembership.Others().at(aDaemon).m_liveness;
}

/** Advances in steps that are shorter than a pause. */
void
AdvanceTo(Membership& aMembership, absl::Time aFrom, absl::Time aTo)
{
  for (absl::Time now = aFrom; now <= aTo; now += absl::Milliseconds(100)) {
    aMembership.Advance(now, now);
  }
}

}

// Guards against failures that are detected too late, or too early.
TEST_CASE("A silent member is suspected and then dead", "[cluster]")
{
  const bool isLocal = GENERATE(true, false);
  Membership a = MakeMembership("a");
  Membership b = MakeMembership("b", isLocal ? "dc1" : "dc2");
  CHECK(SendHeartbeat(b, a, kStart) == HeartbeatResult::NewMember);
  const absl::Duration suspect = isLocal ? kSuspectAfter : kRemoteSuspectAfter;
  const absl::Duration dead = isLocal ? kDeadAfter : kRemoteDeadAfter;
  AdvanceTo(a, kStart, kStart + suspect - absl::Milliseconds(100));
  CHECK(LivenessOf(a, "b") == Liveness::Alive);
  AdvanceTo(a, kStart + suspect, kStart + suspect);
  CHECK(LivenessOf(a, "b") == Liveness::Suspected);
  AdvanceTo(a, kStart + suspect, kStart + dead);
  CHECK(LivenessOf(a, "b") == Liveness::Dead);
}

// Guards against a daemon that acts on outdated state after a pause.
TEST_CASE("A paused daemon rejoins before it claims again", "[cluster]")
{
  Membership a = MakeMembership("a");
  Membership b = MakeMembership("b");
  const absl::Time end = Exchange(a, b, kStart, absl::Seconds(3));
  REQUIRE(a.MayClaim(end));
  const std::uint64_t earlier = a.Incarnation();
  const absl::Time resumed = end + absl::Seconds(2);
  CHECK_FALSE(a.MayClaim(resumed));
  CHECK(a.Advance(resumed, resumed));
  CHECK(a.Incarnation() == earlier + 1);
  CHECK(a.Pauses() == 1);
  CHECK_FALSE(a.MayClaim(resumed));
  CHECK(a.SelfEntry().m_ownerFromMillis ==
        absl::ToUnixMillis(resumed + kOwnerFromDelay));
  AdvanceTo(b, end, resumed);
  SendHeartbeat(a, b, resumed);
  CHECK_FALSE(a.MayClaim(resumed));
  SendHeartbeat(b, a, resumed);
  CHECK(a.MayClaim(resumed));
  CHECK(b.Others().at("a").m_entry.m_incarnation == earlier + 1);
  CHECK(b.EarlierIncarnations().front().m_entry.m_incarnation == earlier);
}

// Guards against two owners when a daemon is wrongly regarded as dead.
TEST_CASE("A daemon that counts as dead takes a new incarnation", "[cluster]")
{
  Membership a = MakeMembership("a");
  Membership b = MakeMembership("b");
  const absl::Time end = Exchange(a, b, kStart, absl::Seconds(3));
  const std::uint64_t earlier = b.Incarnation();
  const absl::Time later = end + absl::Seconds(4);
  AdvanceTo(a, end, later);
  AdvanceTo(b, end, later);
  REQUIRE(LivenessOf(a, "b") == Liveness::Dead);
  CHECK(SendHeartbeat(b, a, later) == HeartbeatResult::SenderIsDead);
  SendHeartbeat(a, b, later);
  CHECK(b.Incarnation() == earlier + 1);
  CHECK(b.ReportedDead() == 1);
  CHECK_FALSE(b.MayClaim(later));
}

// Guards against an asymmetric loss, in which the others regard this daemon
// as dead while it continues to grant claims.
TEST_CASE("A daemon that is not heard grants nothing", "[cluster]")
{
  Membership a = MakeMembership("a");
  Membership b = MakeMembership("b");
  absl::Time now = Exchange(a, b, kStart, absl::Seconds(4));
  REQUIRE(a.MayClaim(now));
  for (int i = 0; i < 4; ++i) {
    now += absl::Milliseconds(500);
    a.Advance(now, now);
    a.NextSequence(now);
    SendHeartbeat(b, a, now);
  }
  CHECK(LivenessOf(b, "a") != Liveness::Dead);
  CHECK_FALSE(a.MayClaim(now));
}

// Guards against data centres that stay disconnected after a partition.
TEST_CASE("A dead member of another data centre returns", "[cluster]")
{
  Membership a = MakeMembership("a");
  Membership b = MakeMembership("b", "dc2");
  const absl::Time end = Exchange(a, b, kStart, absl::Seconds(1));
  const absl::Time later = end + absl::Minutes(60);
  AdvanceTo(a, end, later);
  AdvanceTo(b, end, later);
  REQUIRE(LivenessOf(a, "b") == Liveness::Dead);
  const std::uint64_t incarnation = b.Incarnation();
  SendHeartbeat(b, a, later);
  SendHeartbeat(a, b, later);
  CHECK(LivenessOf(a, "b") == Liveness::Alive);
  CHECK(b.Incarnation() == incarnation);
}

// Guards against more connections to a worker than 8 daemons open.
TEST_CASE("A ninth daemon is not active until one of the others is gone",
          "[cluster]")
{
  Membership ninth = MakeMembership("z");
  std::map<std::string, Membership> others;
  for (int i = 0; i < 8; ++i) {
    const std::string name = absl::StrCat("d", i);
    const absl::Time started = kStart - absl::Seconds(60 + i);
    others.emplace(name, MakeMembership(name, "dc1", started));
    AdvanceTo(others.at(name), started, kStart);
    SendHeartbeat(others.at(name), ninth, kStart);
  }
  CHECK_FALSE(ninth.IsActive());
  ninth.ApplyGoodbye(others.at("d3").Self(), true, kStart, kStart);
  CHECK(ninth.IsActive());
}

// Guards against heartbeats that carry the list of members all the time.
TEST_CASE("The list of members is sent only while it differs", "[cluster]")
{
  Membership a = MakeMembership("a");
  Membership b = MakeMembership("b");
  CHECK_FALSE(a.MakeHeartbeat("b", {}, kStart).m_members.empty());
  const absl::Time end = Exchange(a, b, kStart, absl::Seconds(2));
  CHECK(a.MakeHeartbeat("b", {}, end).m_members.empty());
  Membership c = MakeMembership("c");
  AdvanceTo(c, kStart, end);
  SendHeartbeat(c, a, end);
  CHECK(a.MakeHeartbeat("b", {}, end).m_members.size() == 3);
  SendHeartbeat(a, b, end);
  CHECK(b.Others().contains("c"));
}

// Guards against lists of members in every heartbeat between data centres
// after a failure, on which only the members of one data centre must agree.
TEST_CASE("A failure does not make data centres send lists", "[cluster]")
{
  Membership a = MakeMembership("a");
  Membership b = MakeMembership("b");
  Membership remote = MakeMembership("r", "dc2");
  absl::Time now = Exchange(a, b, kStart, absl::Seconds(1));
  SendHeartbeat(a, remote, now);
  SendHeartbeat(remote, a, now);
  const absl::Time paused = now + absl::Seconds(2);
  AdvanceTo(b, now, paused);
  AdvanceTo(remote, now, paused);
  REQUIRE(a.Advance(paused, paused));
  now = Exchange(a, b, paused, absl::Seconds(1));
  SendHeartbeat(a, remote, now);
  SendHeartbeat(remote, a, now);
  SendHeartbeat(a, remote, now);
  CHECK(a.EarlierIncarnations().size() == 1);
  CHECK(a.MakeHeartbeat("r", {}, now).m_members.empty());
  CHECK(remote.MakeHeartbeat("a", {}, now).m_members.empty());
  CHECK(a.MakeHeartbeat("b", {}, now).m_members.empty());
}

// Guards against a daemon that owns ids from before its start because its clock
// is behind.
TEST_CASE("Ownership starts by the fastest clock", "[cluster]")
{
  Membership fast({ "fast", "dc1", "fast:1" }, kStart, kStart);
  Membership slow(
    { "slow", "dc1", "slow:1" }, kStart, kStart - absl::Seconds(4));
  fast.NextSequence(kStart);
  slow.Apply("fast",
             fast.Incarnation(),
             fast.MakeHeartbeat("slow", {}, kStart),
             kStart,
             kStart - absl::Seconds(4));
  AdvanceTo(slow, kStart, kStart);
  slow.Advance(kStart + absl::Milliseconds(900),
               kStart - absl::Milliseconds(3100));
  slow.Advance(kStart + kJoinTimeout, kStart + kJoinTimeout - absl::Seconds(4));
  CHECK(slow.SelfEntry().m_ownerFromMillis >=
        absl::ToUnixMillis(kStart + kOwnerFromDelay));
}
