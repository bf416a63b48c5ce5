#include "cluster/document_cache.h"
#include "core/configuration_codec.h"
#include "core/metrics.h"
#include "core/state_chart.h"

#include <catch2/catch.hpp>

using namespace bramleystall;

namespace {

std::string
ConfigurationText(std::uint64_t aVersion, const std::string& aDigest = "")
{
  Configuration configuration;
  configuration.m_version = aVersion;
  configuration.m_writerToken = "token";
  configuration.m_digest = aDigest.empty() ? DigestOf(configuration) : aDigest;
  return SerializeConfiguration(configuration);
}

std::string
FleetText(const std::string& aDataCentre, std::uint64_t aRevision)
{
  FleetDocument document;
  document.m_dataCentre = aDataCentre;
  document.m_revision = aRevision;
  return document.Serialize();
}

struct Fixture
{
  StateChart m_chart = StateChart::Load(BRAMLEYSTALL_SOURCE_DIR
                                        "/charts/configuration_version.json");
  Metrics m_metrics;
  std::vector<std::uint64_t> m_versions;
  std::vector<std::uint64_t> m_revisions;
  DocumentCache m_cache{
    "dc1",
    m_chart,
    { [this](const std::shared_ptr<const Configuration>& aConfiguration) {
       m_versions.push_back(aConfiguration->m_version);
     },
      [this](const std::shared_ptr<const FleetDocument>& aDocument) {
        m_revisions.push_back(aDocument->m_revision);
      } },
    m_metrics
  };
};

}

// Guards against a daemon that reverts to an older configuration when a peer
// or a restored store offers one.
TEST_CASE("Only a newer configuration takes effect", "[cluster]")
{
  Fixture fixture;
  CHECK(fixture.m_cache.OfferConfiguration(ConfigurationText(5)) ==
        OfferOutcome::InEffect);
  CHECK(fixture.m_cache.OfferConfiguration(ConfigurationText(5)) ==
        OfferOutcome::NotNewer);
  CHECK(fixture.m_cache.OfferConfiguration(ConfigurationText(4)) ==
        OfferOutcome::NotNewer);
  CHECK(fixture.m_cache.OfferConfiguration(ConfigurationText(6)) ==
        OfferOutcome::InEffect);
  CHECK(fixture.m_versions == std::vector<std::uint64_t>{ 5, 6 });
  CHECK(fixture.m_cache.CurrentConfiguration()->m_version == 6);
}

// Guards against a damaged configuration taking effect, in part or whole.
TEST_CASE("Damaged configuration leaves the one in effect", "[cluster]")
{
  Fixture fixture;
  const std::string good = ConfigurationText(1);
  fixture.m_cache.OfferConfiguration(good);
  CHECK(fixture.m_cache.OfferConfiguration(ConfigurationText(2, "wrong")) ==
        OfferOutcome::DigestDiffers);
  CHECK(fixture.m_cache.OfferConfiguration(
          ConfigurationText(2).substr(0, 20)) == OfferOutcome::Malformed);
  CHECK(fixture.m_cache.ConfigurationText() == good);
  CHECK(fixture.m_versions.size() == 1);
}

// Guards against applying another data centre's document or an older one.
TEST_CASE("Only a newer fleet document of the own data centre takes effect",
          "[cluster]")
{
  Fixture fixture;
  CHECK(fixture.m_cache.OfferFleetDocument(FleetText("dc1", 3)) ==
        OfferOutcome::InEffect);
  CHECK(fixture.m_cache.OfferFleetDocument(FleetText("dc2", 9)) ==
        OfferOutcome::Malformed);
  CHECK(fixture.m_cache.OfferFleetDocument(FleetText("dc1", 2)) ==
        OfferOutcome::NotNewer);
  CHECK(fixture.m_cache.OfferFleetDocument("{}") == OfferOutcome::Malformed);
  CHECK(fixture.m_revisions == std::vector<std::uint64_t>{ 3 });
}
