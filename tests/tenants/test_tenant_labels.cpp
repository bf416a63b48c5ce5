#include "tenants/tenant_labels.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

using namespace bramleystall;

// Guards against series that grow with each tenant that any configuration has
// ever named.
TEST_CASE("At most 64 tenants have their own label", "[tenants]")
{
  Metrics metrics;
  for (int i = 0; i < 100; ++i) {
    metrics.Count("count", WithTenant(metrics, {}, absl::StrCat("t", i)));
  }
  CHECK(metrics.CounterValue("count", { { "tenant", "t63" } }) == 1);
  CHECK(metrics.CounterValue("count", { { "tenant", "t64" } }) == 0);
  CHECK(metrics.CounterValue("count", { { "tenant", "other" } }) == 36);
  CHECK(WithTenant(metrics, {}, "t5") == MetricLabels{ { "tenant", "t5" } });
  CHECK(WithTenant(metrics, {}, "").empty());
}

// Guards against a name that begins a log line of its own.
TEST_CASE("A tenant's name is one field of a log line", "[tenants]")
{
  CHECK(TenantField("acme") == " tenant=acme");
  CHECK(TenantField("a\nb") == " tenant=a\\nb");
  CHECK(TenantField("").empty());
}
