#include "tenants/tenant_directory.h"

#include <catch2/catch.hpp>

#include <string>

using namespace bramleystall;

// Guards against a key that is taken for another one, and against a known key
// that is not found because of its length.
TEST_CASE("A tenant is found by exactly its keys", "[tenants]")
{
  const TenantDirectory directory({
    { .m_name = "a", .m_apiKeys = { "k", "longest-key" } },
    { .m_name = "b", .m_apiKeys = { "key" } },
    { .m_name = "c" },
  });
  CHECK(directory.FindByKey("k")->m_name == "a");
  CHECK(directory.FindByKey("longest-key")->m_name == "a");
  CHECK(directory.FindByKey("key")->m_name == "b");
  for (const std::string& key : { std::string(),
                                  std::string("kk"),
                                  std::string("ke"),
                                  std::string("keykey"),
                                  std::string("longest-kez"),
                                  std::string("longest-key-"),
                                  std::string(100'000, 'k') }) {
    CAPTURE(key.substr(0, 20));
    CHECK(directory.FindByKey(key) == nullptr);
  }
  CHECK(TenantDirectory({}).FindByKey("") == nullptr);
}
