#include "tenants/pool_usage.h"
#include "tenants/share_order.h"
#include "tenants/tenant_directory.h"
#include "tenants/tenant_label.h"
#include "tenants/tenant_shares.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace bramleystall;

namespace {

constexpr Resources kCapacity{ .m_cpu = 8000, .m_memoryMb = 16000 };
constexpr Resources kTask{ .m_cpu = 1000, .m_memoryMb = 500 };

TenantDirectory
MakeDirectory()
{
  return TenantDirectory({ { .m_name = "one", .m_weight = 1 },
                           { .m_name = "three", .m_weight = 3 },
                           { .m_name = "zero", .m_weight = 0 } });
}

/** Visits jobs of the named tenants, each of which places one task. */
std::vector<std::size_t>
Visit(const std::vector<std::string>& aJobs, PoolUsage& aUsage)
{
  const TenantDirectory directory = MakeDirectory();
  TenantShares shares(directory, kCapacity);
  std::vector<std::size_t> tenants;
  tenants.reserve(aJobs.size());
  for (const std::string& tenant : aJobs) {
    tenants.push_back(shares.Add(tenant));
    shares.SetUsed(tenants.back(), aUsage.ByTenant("pool").Of(tenant));
  }
  std::vector<std::size_t> visited;
  ShareOrder order(shares, tenants);
  while (const auto next = order.Next()) {
    visited.push_back(*next);
    const std::string& tenant = aJobs[*next];
    aUsage.Add("pool", tenant, false, kTask);
    shares.SetUsed(tenants[*next], aUsage.ByTenant("pool").Of(tenant));
  }
  return visited;
}

}

// Guards against a change of the order while all tenants are within their
// shares, and against jobs that are visited twice or never.
TEST_CASE("Tenants within their shares keep the given order", "[tenants]")
{
  PoolUsage usage;
  CHECK(Visit({ "three", "one", "three", "one" }, usage) ==
        std::vector<std::size_t>{ 0, 1, 2, 3 });
}

// Guards against a tenant that keeps its place after it has reached its share:
// "one" has a quarter of 8 cores, 2 tasks.
TEST_CASE("A tenant that reaches its share gives way at once", "[tenants]")
{
  PoolUsage usage;
  CHECK(Visit({ "one", "one", "one", "one", "three", "three" }, usage) ==
        std::vector<std::size_t>{ 0, 1, 4, 5, 2, 3 });
}

// Guards against a tenant above its share that goes before one that is less far
// above, relative to their weights.
TEST_CASE("Above the shares the least usage by weight goes first", "[tenants]")
{
  PoolUsage usage;
  for (int i = 0; i < 2; ++i) {
    usage.Add("pool", "one", false, kTask);
  }
  for (int i = 0; i < 6; ++i) {
    usage.Add("pool", "three", false, kTask);
  }
  CHECK(Visit({ "one", "one", "three", "three", "three", "three" }, usage) ==
        std::vector<std::size_t>{ 0, 2, 3, 4, 1, 5 });
}

// Guards against jobs without a share that go before others, or never.
TEST_CASE("Tenants of weight 0 and unknown ones come last", "[tenants]")
{
  PoolUsage usage;
  for (int i = 0; i < 7; ++i) {
    usage.Add("pool", "one", false, kTask);
  }
  CHECK(Visit({ "zero", "gone", "one", "zero", "" }, usage) ==
        std::vector<std::size_t>{ 4, 2, 0, 1, 3 });
}

// Guards against jobs without a tenant that count as unknown, or shares that do
// not add up to 1.
TEST_CASE("Jobs without a tenant have the mean weight", "[tenants]")
{
  const TenantDirectory directory = MakeDirectory();
  TenantShares shares(directory, kCapacity);
  const std::size_t none = shares.Add("");
  CHECK(shares.FairShare(none) == 1.0);
  const std::size_t one = shares.Add("one");
  const std::size_t three = shares.Add("three");
  shares.Add("zero");
  CHECK(shares.FairShare(one) == Approx(1.0 / 6));
  CHECK(shares.FairShare(three) == Approx(3.0 / 6));
  CHECK(shares.FairShare(none) == Approx(2.0 / 6));
}

// Guards against a tenant that takes all memory or accelerators while its share
// of the processors is small.
TEST_CASE("Usage is the share of the dominant resource", "[tenants]")
{
  const TenantDirectory directory = MakeDirectory();
  TenantShares shares(directory, kCapacity);
  const std::size_t one = shares.Add("one");
  shares.SetUsed(one, { .m_cpu = 800, .m_memoryMb = 8000 });
  CHECK(shares.Usage(one) == Approx(0.5));
  shares.SetUsed(one, { .m_accelerators = 1 });
  CHECK(shares.Usage(one) == 1.0);
}

// Guards against long-running tasks that use up their tenant's share, and usage
// that remains after its task was released.
TEST_CASE("Long-running tasks count in no tenant's usage", "[tenants]")
{
  PoolUsage usage;
  usage.Add("pool", "one", true, kTask);
  usage.Add("pool", "one", false, kTask);
  CHECK(usage.ByTenant("pool").Of("one").m_cpu == 1000);
  CHECK(usage.ByTenant("other").Tenants().empty());
  CHECK(usage.LongRunning("pool").m_cpu == 1000);
  usage.Subtract("pool", "one", true, kTask);
  usage.Subtract("pool", "one", false, kTask);
  CHECK(usage.ByTenant("pool").Tenants().empty());
  CHECK(usage.LongRunning("pool").m_cpu == 0);
}

// Guards against a number of time series that grows with the tenants.
TEST_CASE("Only the first 64 tenants have a label of their own", "[tenants]")
{
  std::vector<TenantSpec> specs(65);
  for (std::size_t i = 0; i < specs.size(); ++i) {
    specs[i].m_name = absl::StrCat("t", i);
  }
  const TenantDirectory directory(specs);
  CHECK(TenantLabel(directory, "t63") == "t63");
  CHECK(TenantLabel(directory, "t64") == "other");
  CHECK(TenantLabel(directory, "gone") == "other");
  CHECK(TenantLabel(directory, "") == "none");
}
