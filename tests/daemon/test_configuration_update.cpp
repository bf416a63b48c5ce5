#include "core/error.h"
#include "daemon/configuration_update.h"
#include "store/store_mirror.h"
#include "tests/fakes/fake_store.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <memory>
#include <optional>
#include <string>

using namespace bramleystall;

namespace {

std::string
MakeDocument(int aVersion, const std::string& aKey)
{
  return absl::StrCat(R"({"version":)",
                      aVersion,
                      R"(,"routes":[],"services":[],"tenants":[{"name":"a",
                         "api_keys":[")",
                      aKey,
                      R"("],"weight":1}]})");
}

/** The configuration of a process that mirrors the operator's keys. */
struct ConfigurationFixture
{
  ConfigurationFixture() { RestartMirror(); }

  /** Starts a mirror that knows nothing, as after a loss of its state. */
  void RestartMirror()
  {
    m_mirror = std::make_unique<StoreMirror>(
      m_loop,
      m_client,
      "op/",
      [this](const StoreItem& aItem) {
        try {
          UpdateConfiguration(m_configuration, aItem.m_value);
        } catch (const Error& error) {
          m_error = error.what();
        }
      },
      [](bool) {});
    Settle();
  }

  void Publish(const std::string& aDocument)
  {
    m_store.Set("op/config", aDocument);
    Settle();
  }

  void Settle() { m_loop.AdvanceBy(absl::Milliseconds(100)); }

  bool IsKnown(const std::string& aKey) const
  {
    return m_configuration && m_configuration->m_tenants &&
           m_configuration->m_tenants->FindByKey(aKey) != nullptr;
  }

  EventLoop m_loop{ EventLoop::ClockMode::Simulated };
  FakeStore m_store{ m_loop };
  FakeStoreClient m_client{ m_loop, m_store };
  std::optional<JobConfiguration> m_configuration;
  std::string m_error;
  std::unique_ptr<StoreMirror> m_mirror;
};

}

// Guards against a process that goes back to an older version, whose revoked
// keys would be known again (rule R1).
TEST_CASE_METHOD(ConfigurationFixture,
                 "An older version never returns",
                 "[tenants]")
{
  Publish(MakeDocument(7, "revoked"));
  CHECK(IsKnown("revoked"));
  Publish(MakeDocument(8, "current"));
  CHECK_FALSE(IsKnown("revoked"));
  Publish(MakeDocument(7, "revoked"));
  CHECK(IsKnown("current"));
  CHECK_FALSE(IsKnown("revoked"));
  // The store itself has the older version, and the new mirror reads it first.
  RestartMirror();
  CHECK(IsKnown("current"));
  CHECK_FALSE(IsKnown("revoked"));
  m_store.Compact();
  RestartMirror();
  CHECK(m_configuration->m_version == 8);
  Publish(MakeDocument(9, "next"));
  CHECK(IsKnown("next"));
}

// Guards against a process without a configuration, or without its tenants,
// after an invalid one or while the store is out of reach.
TEST_CASE_METHOD(ConfigurationFixture,
                 "The last valid configuration stays in effect",
                 "[tenants]")
{
  Publish(MakeDocument(3, "valid"));
  Publish(MakeDocument(4, ""));
  CHECK(m_error ==
        "configuration: tenants[0].api_keys[0]: is empty, expected a key");
  CHECK(IsKnown("valid"));
  Publish("{");
  m_store.Remove("op/config");
  Settle();
  CHECK(IsKnown("valid"));
  m_client.m_isPartitioned = true;
  m_loop.AdvanceBy(absl::Seconds(5));
  CHECK(IsKnown("valid"));
  CHECK(m_configuration->m_version == 3);
}
