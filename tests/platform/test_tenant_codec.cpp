#include "core/error.h"
#include "platform/wire_codec.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <string>
#include <utility>
#include <vector>

using namespace bramleystall;

namespace {

JobConfiguration
DecodeWith(const std::string& aMembers, const std::string& aRoutes = "")
{
  return wire::DecodeConfiguration(absl::StrCat(R"({"version":1,"routes":[)",
                                                aRoutes,
                                                R"(],"services":[])",
                                                aMembers,
                                                "}"));
}

std::string
MessageOf(const std::string& aMembers, const std::string& aRoutes = "")
{
  try {
    DecodeWith(aMembers, aRoutes);
  } catch (const Error& error) {
    CHECK(error.Code() == ErrorCode::InvalidInput);
    return error.what();
  }
  return "";
}

/** A list whose second tenant has these members. */
std::string
SecondTenant(const std::string& aMembers)
{
  return absl::StrCat(
    R"(,"tenants":[{"name":"a","api_keys":["secret-1"],"weight":1},{)",
    aMembers,
    "}]");
}

}

TEST_CASE("Tenants and public routes are decoded", "[wire]")
{
  const JobConfiguration configuration = DecodeWith(
    R"(,"tenants":[{"name":"a","api_keys":["k1","k2","k1"],"weight":2.5,
        "cap":{"cpu":8000,"mem_mb":1047000.0,"gpu":0},"note":"ignored"},
        {"name":"b","api_keys":[],"weight":0}])",
    R"({"name":"r1","host":"h","prefix":"/","service":"s","public":true},
       {"name":"r2","host":"h","prefix":"/b","service":"s"})");
  REQUIRE(configuration.m_tenants);
  const TenantSpec* tenant = configuration.m_tenants->FindByKey("k2");
  REQUIRE(tenant != nullptr);
  CHECK(tenant->m_name == "a");
  CHECK(tenant->m_weight == 2.5);
  CHECK(tenant->m_cap.m_cpu == 8000);
  CHECK(tenant->m_cap.m_memoryMb == 1047000);
  CHECK(tenant->m_cap.m_accelerators == 0);
  CHECK_FALSE(configuration.m_tenants->FindByName("b")->HasCap());
  CHECK(configuration.m_tenants->FindByKey("") == nullptr);
  CHECK(configuration.Find("r1")->m_isPublic);
  CHECK_FALSE(configuration.Find("r2")->m_isPublic);
  CHECK_FALSE(DecodeWith("").m_tenants);
  CHECK(DecodeWith(R"(,"tenants":[])").m_tenants);
}

// Guards against a configuration that is rejected for a member without a value,
// so that an older one stays in force.
TEST_CASE("Members of tenants and routes may be missing or null", "[wire]")
{
  const std::string nullRoute =
    R"({"name":"r","host":"h","prefix":"/","service":"s","public":null})";
  const JobConfiguration configuration =
    DecodeWith(R"(,"tenants":[{"name":"a","weight":null,"cap":null},
        {"name":"b","cap":{"cpu":null,"mem_mb":5,"gpu":null}}])",
               nullRoute);
  REQUIRE(configuration.m_tenants);
  const TenantSpec* first = configuration.m_tenants->FindByName("a");
  CHECK(first->m_apiKeys.empty());
  CHECK(first->m_weight == 0);
  CHECK_FALSE(first->HasCap());
  const TenantSpec* second = configuration.m_tenants->FindByName("b");
  CHECK(second->m_cap.m_cpu == 0);
  CHECK(second->m_cap.m_memoryMb == 5);
  CHECK_FALSE(configuration.Find("r")->m_isPublic);
}

// Guards against a deployment without tenants whose configuration is rejected
// for a member of a route that it does not use.
TEST_CASE("Without tenants the member public is ignored", "[wire]")
{
  for (const char* value : { R"("yes")", "1", "[]", "true", "null" }) {
    CAPTURE(value);
    const JobConfiguration configuration = DecodeWith(
      "",
      absl::StrCat(
        R"({"name":"r","host":"h","prefix":"/","service":"s","public":)",
        value,
        "}"));
    CHECK_FALSE(configuration.Find("r")->m_isPublic);
  }
}

// Guards against products of caps and sums of weights that overflow.
TEST_CASE("Caps and weights are clamped", "[wire]")
{
  const JobConfiguration configuration =
    DecodeWith(R"(,"tenants":[{"name":"a","weight":1e300,
        "cap":{"cpu":9223372036854775807,"mem_mb":9007199254740992.0,
               "gpu":900719925474}}])");
  const TenantSpec* tenant = configuration.m_tenants->FindByName("a");
  CHECK(tenant->m_weight == 1e9);
  CHECK(tenant->m_cap.m_cpu == 900719925474);
  CHECK(tenant->m_cap.m_memoryMb == 900719925474);
  CHECK(tenant->m_cap.m_accelerators == 900719925474);
}

// Guards against an invalid list of tenants that comes into force, for instance
// as a deployment without tenants, and against messages that do not name the
// fault or that show a key.
TEST_CASE("Invalid tenants are rejected by name", "[wire]")
{
  const std::string start = R"("name":"b","api_keys":["secret-2"],"weight":1)";
  const std::vector<std::pair<std::string, std::string>> cases = {
    { R"(,"tenants":null)", "tenants: a value of type null is not a list" },
    { R"(,"tenants":[5])",
      "tenants[0]: a value of type number is not an object" },
    { R"(,"tenants":4711)", "tenants: a value of type number is not a list" },
    { SecondTenant(R"("name":"b","api_keys":4711,"weight":1)"),
      "tenants[1].api_keys: a value of type number is not a list of keys" },
    { SecondTenant(R"("api_keys":["secret-2"],"weight":1)"),
      "tenants[1].name: is missing, expected a text that is not empty" },
    { SecondTenant(R"("name":"","api_keys":["secret-2"],"weight":1)"),
      "tenants[1].name: is empty, expected a text that is not empty" },
    { SecondTenant(R"("name":["secret-2"],"api_keys":[],"weight":1)"),
      "tenants[1].name: a value of type array is not a text that is not "
      "empty" },
    { SecondTenant(R"("name":"a","api_keys":["secret-2"],"weight":1)"),
      "tenants[1].name: is the name of tenants[0] too, expected a name of its "
      "own" },
    { SecondTenant(R"("name":"b","api_keys":"secret-2","weight":1)"),
      "tenants[1].api_keys: a value of type string is not a list of keys" },
    { SecondTenant(R"("name":"b","api_keys":["secret-2",4711],"weight":1)"),
      "tenants[1].api_keys[1]: a value of type number is not a key, expected a "
      "text" },
    { SecondTenant(R"("name":"b","api_keys":[""],"weight":1)"),
      "tenants[1].api_keys[0]: is empty, expected a key" },
    { SecondTenant(R"("name":"b","api_keys":["x","secret-1"],"weight":1)"),
      "tenants[1].api_keys[1]: is a key of tenants[0] too, expected a key of "
      "one tenant" },
    { SecondTenant(R"("name":"b","api_keys":[],"weight":-1)"),
      "tenants[1].weight: -1 is not a number of 0 or more" },
    { SecondTenant(R"("name":"b","api_keys":[],"weight":"secret-2")"),
      "tenants[1].weight: a value of type string is not a number of 0 or "
      "more" },
    { SecondTenant(start + R"(,"cap":7)"),
      "tenants[1].cap: 7 is not an object" },
    { SecondTenant(start + R"(,"cap":{"cpu":-5})"),
      "tenants[1].cap.cpu: -5 is not a whole number of 0 or more" },
    { SecondTenant(start + R"(,"cap":{"mem_mb":1.5})"),
      "tenants[1].cap.mem_mb: 1.5 is not a whole number of 0 or more" },
    { SecondTenant(start + R"(,"cap":{"gpu":"4"})"),
      "tenants[1].cap.gpu: a value of type string is not a whole number of 0 "
      "or "
      "more" },
    { SecondTenant(start + R"(,"cap":{"cpu":18446744073709551615})"),
      "tenants[1].cap.cpu: 18446744073709551615 is not a whole number of 0 or "
      "more" },
  };
  for (const auto& [members, message] : cases) {
    CAPTURE(members);
    CHECK(MessageOf(members) == "configuration: " + message);
    CHECK(message.find("secret") == std::string::npos);
  }
  CHECK(
    MessageOf(R"(,"tenants":[])",
              R"({"name":"r","host":"h","prefix":"/","service":"s",
                      "public":"yes"})") ==
    "configuration: routes[0].public: a value of type string is not true or "
    "false");
}

// Guards against the text around a syntax fault in the message, where a key may
// be.
TEST_CASE("A configuration that is no JSON is rejected without its text",
          "[wire]")
{
  const std::string whole = SecondTenant(R"("api_keys":["secret-2"])");
  for (std::size_t size = 1; size < whole.size(); ++size) {
    const std::string message = MessageOf(whole.substr(0, size) + "\n");
    CAPTURE(message);
    REQUIRE(message.starts_with("configuration: byte "));
    REQUIRE(message.find("secret") == std::string::npos);
  }
  CHECK(MessageOf(R"(,"tenants":[{"api_keys":[1e999]}])") ==
        "configuration: a number is out of range");
}
