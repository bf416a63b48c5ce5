#include "jobs/cap_check.h"
#include "jobs/step_spec.h"
#include "tenants/tenant_spec.h"

#include <catch2/catch.hpp>

#include <limits>

using namespace bramleystall;

// Guards against an accepted step that can never start, and against a refusal
// of one whose tasks can run one after another.
TEST_CASE("A step above its tenant's cap is described", "[tenants]")
{
  StepSpec step;
  step.m_count = 4;
  step.m_need = { .m_cpu = 500, .m_memoryMb = 100, .m_accelerators = 1 };
  TenantSpec tenant;
  CHECK_FALSE(DescribeStepAboveCap({ step }, tenant));
  tenant.m_cap = { .m_cpu = 500, .m_memoryMb = 100, .m_accelerators = 1 };
  CHECK_FALSE(DescribeStepAboveCap({ step }, tenant));
  tenant.m_cap.m_memoryMb = 99;
  CHECK(DescribeStepAboveCap({ StepSpec{}, step }, tenant) ==
        "step 1: 1 task with memory 100 each; the tenant's cap is 99");
  step.m_isGang = true;
  tenant.m_cap = { .m_cpu = 2000 };
  CHECK_FALSE(DescribeStepAboveCap({ step }, tenant));
  tenant.m_cap = { .m_cpu = 1999 };
  CHECK(
    DescribeStepAboveCap({ step }, tenant) ==
    "step 0: 4 tasks of a gang with cpu 500 each; the tenant's cap is 1999");
  step.m_need.m_cpu = std::numeric_limits<std::int64_t>::max();
  CHECK(DescribeStepAboveCap({ step }, tenant));
}
