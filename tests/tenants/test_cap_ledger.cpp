#include "tenants/cap_ledger.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <limits>
#include <vector>

using namespace bramleystall;

namespace {

constexpr const char* kTenant = "grove";

TenantSpec
MakeTenant(std::int64_t aCpu)
{
  TenantSpec tenant;
  tenant.m_name = kTenant;
  tenant.m_cap.m_cpu = aCpu;
  return tenant;
}

CapDemand
MakeDemand(const TenantSpec& aTenant,
           std::int64_t aUsage,
           std::int64_t aWaiting)
{
  CapDemand demand{ .m_tenant = &aTenant };
  demand.m_usage.m_cpu = aUsage;
  demand.m_recentUsage.m_cpu = aUsage;
  demand.m_waiting.m_cpu = aWaiting;
  demand.m_firstWaiting.m_cpu = aWaiting > 0 ? 1000 : 0;
  return demand;
}

}

// Guards against parts that are lost or counted twice by the first division.
TEST_CASE("The initial parts add up to the whole cap", "[caps]")
{
  const int shards = GENERATE(1, 2, 3, 7, 48);
  std::int64_t sum = 0;
  for (int i = 0; i < shards; ++i) {
    CapLedger ledger(i, shards);
    REQUIRE(ledger.Parts(kTenant) == 0);
    ledger.SetOwn({});
    sum += ledger.Parts(kTenant);
  }
  REQUIRE(sum == kCapParts);
}

// Guards against limits that overflow, and against rounding in favour of the
// tenant.
TEST_CASE("Limits and parts are rounded down to the cap", "[caps]")
{
  CapLedger ledger(0, 3);
  ledger.SetOwn({});
  REQUIRE(ledger.LimitOf(MakeTenant(1000)).m_cpu == 333);
  REQUIRE(ledger.LimitOf(MakeTenant(1000)).m_memoryMb > 1'000'000'000);
  const std::int64_t huge = std::int64_t{ 1 } << 62;
  REQUIRE(ledger.LimitOf(MakeTenant(huge)).m_cpu > 0);
  REQUIRE(CapPartsFor({ .m_cpu = 3 }, { .m_cpu = 1 }) == 3334);
  REQUIRE(CapPartsFor({ .m_cpu = 3 }, { .m_cpu = huge }) > kCapParts);
  REQUIRE(CapPartsFor({}, { .m_cpu = 1 }) == 0);
}

// Guards against an overflow that lets the largest caps or amounts take
// negative parts, and so fit always.
TEST_CASE("The largest caps and amounts do not overflow", "[caps]")
{
  constexpr std::int64_t kLargest = std::numeric_limits<std::int64_t>::max();
  REQUIRE(CapPartsFor({ .m_cpu = kLargest }, { .m_cpu = 1 }) == 1);
  REQUIRE(CapPartsFor({ .m_cpu = kLargest }, { .m_cpu = 2 }) == 1);
  REQUIRE(CapPartsFor({ .m_cpu = kLargest }, { .m_cpu = kLargest }) ==
          kCapParts);
  REQUIRE(CapPartsFor({ .m_cpu = 1'000'000 }, { .m_cpu = kLargest }) >
          kCapParts);
  CapLedger ledger(0, 2);
  ledger.SetOwn({});
  CapDocument other;
  other.m_tenants[kTenant].m_transferred = { { 0, 1'000'000 } };
  ledger.SetOther(1, other);
  REQUIRE(ledger.LimitOf(MakeTenant(kLargest)).m_cpu > 0);
  const TenantSpec smallest = MakeTenant(1);
  ledger.Update({ MakeDemand(smallest, kLargest, 0) }, true);
  REQUIRE(DecodeCapDocument(EncodeCapDocument(ledger.Own())));
}

// Guards against a donor that gives away what its usage needs, or counts a part
// that it has given.
TEST_CASE("A donor keeps what it uses and transfers the rest", "[caps]")
{
  const TenantSpec tenant = MakeTenant(10'000);
  CapLedger donor(0, 2);
  CapLedger recipient(1, 2);
  donor.SetOwn({});
  recipient.SetOwn({});
  REQUIRE(recipient.Update({ MakeDemand(tenant, 5000, 9000) }, true));
  donor.SetOther(1, recipient.Own());
  REQUIRE(donor.HasRequests());
  REQUIRE_FALSE(donor.Update({ MakeDemand(tenant, 2000, 0) }, false));
  REQUIRE(donor.Update({ MakeDemand(tenant, 2000, 0) }, true));
  REQUIRE(donor.Parts(kTenant) >= 2000);
  REQUIRE(donor.Parts(kTenant) <= 2100);
  REQUIRE(recipient.Parts(kTenant) == 5000);
  recipient.SetOther(0, donor.Own());
  REQUIRE(recipient.Parts(kTenant) == kCapParts - donor.Parts(kTenant));
  // The same request is not met twice.
  REQUIRE_FALSE(donor.Update({ MakeDemand(tenant, 2000, 0) }, true));
}

// Guards against a shard that keeps the whole cap busy while another cannot
// start a single task.
TEST_CASE("Parts are divided by need when all shards request them", "[caps]")
{
  const TenantSpec tenant = MakeTenant(10'000);
  CapDocument all;
  all.m_tenants[kTenant].m_transferred = { { 0, 5000 } };
  CapLedger holder(0, 2);
  CapLedger starved(1, 2);
  holder.SetOwn({});
  holder.SetOther(1, all);
  starved.SetOwn(all);
  REQUIRE(starved.Update({ MakeDemand(tenant, 0, 30'000) }, true));
  holder.SetOther(1, starved.Own());
  // While everything is in use, nothing can be given.
  holder.Update({ MakeDemand(tenant, 10'000, 30'000) }, true);
  REQUIRE(holder.Parts(kTenant) == kCapParts);
  // Parts of tasks that end go to the other shard, up to its half.
  holder.Update({ MakeDemand(tenant, 9000, 30'000) }, true);
  REQUIRE(holder.Parts(kTenant) == 9000);
  holder.Update({ MakeDemand(tenant, 1000, 30'000) }, true);
  REQUIRE(holder.Parts(kTenant) >= 4900);
  REQUIRE(holder.Parts(kTenant) <= 5100);
}

// Guards against shards that each keep a fraction of a task for good, since a
// waiting task counts without what runs beside it (R3).
TEST_CASE("One of two large tasks gets the parts that it lacks", "[caps]")
{
  const TenantSpec tenant = MakeTenant(10'000);
  CapDocument first;
  first.m_tenants[kTenant].m_transferred = { { 1, 900 } };
  CapLedger a(0, 2);
  CapLedger b(1, 2);
  a.SetOwn(first);
  b.SetOwn({});
  b.SetOther(0, first);
  CapDemand demandA = MakeDemand(tenant, 1500, 3000);
  demandA.m_firstWaiting.m_cpu = 3000;
  CapDemand demandB = MakeDemand(tenant, 1500, 4500);
  demandB.m_firstWaiting.m_cpu = 4500;
  REQUIRE(a.Parts(kTenant) == 4100);
  REQUIRE(b.Parts(kTenant) == 5900);
  for (int i = 0; i < 5; ++i) {
    a.Update({ demandA }, true);
    b.SetOther(0, a.Own());
    b.Update({ demandB }, true);
    a.SetOther(1, b.Own());
  }
  REQUIRE(a.Parts(kTenant) >= 1500 + 3000);
  REQUIRE(a.Parts(kTenant) + b.Parts(kTenant) == kCapParts);
}

// Guards against reserves that many idle shards keep although another shard
// lacks parts for its next task (R3).
TEST_CASE("Idle shards give their reserves to one that lacks parts", "[caps]")
{
  constexpr int kShards = 48;
  constexpr std::int64_t kIdleParts = 108;
  const TenantSpec tenant = MakeTenant(10'000);
  std::vector<CapLedger> ledgers;
  std::vector<CapDocument> documents(kShards);
  for (int i = 1; i < kShards; ++i) {
    const std::int64_t initial = kCapParts / kShards + (i < 16 ? 1 : 0);
    documents.at(i).m_tenants[kTenant].m_transferred = {
      { 0, initial - kIdleParts }
    };
  }
  for (int i = 0; i < kShards; ++i) {
    ledgers.emplace_back(i, kShards);
    ledgers.back().SetOwn(documents.at(i));
    for (int other = 0; other < kShards; ++other) {
      if (other != i) {
        ledgers.back().SetOther(other, documents.at(other));
      }
    }
  }
  REQUIRE(ledgers.front().Parts(kTenant) >= 4900);
  REQUIRE(ledgers.front().Parts(kTenant) < 5400);
  CapDemand demand = MakeDemand(tenant, 4900, 500);
  demand.m_firstWaiting.m_cpu = 500;
  ledgers.front().Update({ demand }, true);
  for (int i = 1; i < kShards; ++i) {
    ledgers.at(i).SetOther(0, ledgers.front().Own());
    ledgers.at(i).Update({ MakeDemand(tenant, 0, 0) }, true);
    ledgers.front().SetOther(i, ledgers.at(i).Own());
  }
  REQUIRE(ledgers.front().Parts(kTenant) >= 5400);
}

// Guards against a document that reads back differently, or that is accepted
// although its counts cannot be right.
TEST_CASE("Cap documents are read back and checked", "[caps]")
{
  CapDocument document;
  document.m_tenants["a \"name\""] = { .m_transferred = { { 1, 20 }, { 3, 4 } },
                                       .m_wanted = 5,
                                       .m_least = 2,
                                       .m_used = 1,
                                       .m_waitingSinceS = 1'700'000'000,
                                       .m_excess = 7 };
  REQUIRE(DecodeCapDocument(EncodeCapDocument(document)) == document);
  const std::string rest =
    R"("wanted":0,"least":0,"used":0,"waiting_since_s":0,"excess":0}}})";
  const std::string start = R"({"tenants":{"a":{"transferred":)";
  REQUIRE(DecodeCapDocument(absl::StrCat(start, R"({"1":5},)", rest)));
  for (const char* transferred : { R"({"1":-5},)",
                                   R"({"1":0.5},)",
                                   R"({"x":5},)",
                                   R"({"-1":5},)",
                                   R"({"1":9223372036854775807},)",
                                   R"({"1":18446744073709551615},)",
                                   R"(7,)" }) {
    CAPTURE(transferred);
    REQUIRE_FALSE(DecodeCapDocument(absl::StrCat(start, transferred, rest)));
  }
  for (const char* text :
       { "", "[]", "{}", R"({"tenants":[]})", R"({"tenants":{"a":{}}})" }) {
    CAPTURE(text);
    REQUIRE_FALSE(DecodeCapDocument(text));
  }
}
