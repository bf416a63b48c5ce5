#include "jobs/cap_check.h"

#include <catch2/catch.hpp>

using namespace bramleystall;

// Guards against a job that is accepted although it can never run.
TEST_CASE("A job that exceeds its tenant's cap is found", "[caps]")
{
  TenantSpec tenant;
  tenant.m_name = "grove";
  JobRecord record;
  record.m_steps.resize(2);
  record.m_steps[1].m_count = 4;
  record.m_steps[1].m_need = { .m_cpu = 500, .m_memoryMb = 100 };
  REQUIRE_FALSE(FindCapExcess(record, tenant));
  tenant.m_cap.m_cpu = 1999;
  REQUIRE_FALSE(FindCapExcess(record, tenant));
  record.m_steps[1].m_isGang = true;
  REQUIRE(FindCapExcess(record, tenant) ==
          "steps[1]: a gang needs cpu=500 x 4, expected at most the cap of "
          "1999 of tenant grove");
  record.m_steps[1].m_isGang = false;
  tenant.m_cap.m_memoryMb = 99;
  REQUIRE(FindCapExcess(record, tenant) ==
          "steps[1]: a task needs mem_mb=100, expected at most the cap of 99 "
          "of tenant grove");
}
