#include "cluster/claim_owner.h"
#include "cluster/claim_table.h"
#include "core/uuid7.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cctype>
#include <random>
#include <set>

using namespace bramleystall;

namespace {

const absl::Time kNow = absl::FromUnixSeconds(1'800'000'000);

std::int64_t
Millis(absl::Time aTime)
{
  return absl::ToUnixMillis(aTime);
}

}

// Guards against two spellings of one id that count as two requests, and
// against ids of another version, whose bits are no creation time.
TEST_CASE("Version 7 UUIDs are parsed", "[cluster]")
{
  std::mt19937_64 random(1);
  const Uuid7 id = Uuid7::Make(kNow, random);
  const std::string text = id.ToString();
  REQUIRE(Uuid7::Parse(text) == id);
  CHECK(id.CreatedMillis() == Millis(kNow));
  std::string upper = text;
  std::ranges::transform(upper, upper.begin(), ::toupper);
  CHECK(Uuid7::Parse(upper) == id);
  CHECK(Uuid7::Parse("017F22E2-79B0-7CC3-98C4-DC0C0C07398F")->CreatedMillis() ==
        1645557742000);
  CHECK_FALSE(Uuid7::Parse("017F22E2-79B0-4CC3-98C4-DC0C0C07398F"));
  CHECK_FALSE(Uuid7::Parse("017F22E2-79B0-7CC3-18C4-DC0C0C07398F"));
  CHECK_FALSE(Uuid7::Parse("017F22E2x79B0-7CC3-98C4-DC0C0C07398F"));
  CHECK_FALSE(Uuid7::Parse("017F22E2-79B0-7CC3-98C4-DC0C0C07398G"));
  CHECK_FALSE(Uuid7::Parse(text + "0"));
  CHECK_FALSE(Uuid7::Parse(""));
}

// Guards against a second grant after the table removed the first, also when
// the wall clock is set back.
TEST_CASE("Claim table grants an id once", "[cluster]")
{
  std::mt19937_64 random(2);
  ClaimTable table;
  const Uuid7 id = Uuid7::Make(kNow, random);
  CHECK(table.Claim(id, kNow) == ClaimOutcome::Granted);
  CHECK(table.Claim(id, kNow + absl::Minutes(9)) == ClaimOutcome::Duplicate);
  const absl::Time later = kNow + kClaimRetention + absl::Seconds(2);
  CHECK(table.Claim(id, later) == ClaimOutcome::TooOld);
  CHECK(table.Size() == 0);
  CHECK(table.Claim(id, kNow) == ClaimOutcome::TooOld);
  const Uuid7 early = Uuid7::Make(kNow + absl::Seconds(6), random);
  CHECK(table.Claim(early, kNow) == ClaimOutcome::FromFuture);
}

// Guards against unbounded memory, and against evicting grants to make room.
TEST_CASE("A full claim table refuses", "[cluster]")
{
  std::mt19937_64 random(3);
  ClaimTable table(2);
  const Uuid7 first = Uuid7::Make(kNow, random);
  CHECK(table.Claim(first, kNow) == ClaimOutcome::Granted);
  CHECK(table.Claim(Uuid7::Make(kNow, random), kNow) == ClaimOutcome::Granted);
  CHECK(table.Claim(Uuid7::Make(kNow, random), kNow) ==
        ClaimOutcome::OwnerUnreachable);
  CHECK(table.Claim(first, kNow) == ClaimOutcome::Duplicate);
}

// Guards against an owner that changes when a daemon joins or dies.
TEST_CASE("The owner of an id does not change", "[cluster]")
{
  std::mt19937_64 random(4);
  const std::int64_t now = Millis(kNow);
  const std::vector<OwnerCandidate> before = { { "a", 1, now - 5000, {} },
                                               { "b", 1, now - 5000, {} } };
  auto after = before;
  after.push_back({ "c", 1, now + 10000, {} });
  after[0].m_deadUntilMillis = now + 8000;
  std::set<std::string> owners;
  for (int i = 0; i < 100; ++i) {
    const Uuid7 id = Uuid7::Make(kNow, random);
    const auto* const owner = FindClaimOwner(before, id);
    REQUIRE(owner);
    CHECK(FindClaimOwner(after, id)->m_daemon == owner->m_daemon);
    owners.insert(owner->m_daemon);
    const Uuid7 later = Uuid7::Make(kNow + absl::Seconds(9), random);
    CHECK(FindClaimOwner(after, later)->m_daemon == "b");
    const Uuid7 earlier = Uuid7::Make(kNow - absl::Seconds(9), random);
    CHECK_FALSE(FindClaimOwner(after, earlier));
  }
  CHECK(owners.size() == 2);
}
