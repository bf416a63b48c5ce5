#include "cluster/document_cache.h"

#include "core/configuration_codec.h"
#include "core/error.h"
#include "core/log.h"
#include "core/metrics.h"
#include "core/state_chart.h"

#include <absl/strings/str_cat.h>

#include <utility>

namespace bramleystall {

namespace {

/** Runs the events of one offer through the chart; returns the last state. */
std::string
RunChart(const StateChart& aChart, const std::vector<std::string>& aEvents)
{
  std::string state = aChart.Initial();
  for (const std::string& event : aEvents) {
    const auto next = aChart.Next(state, event);
    if (!next) {
      throw Error(ErrorCode::Internal,
                  absl::StrCat("configuration version chart: event '",
                               event,
                               "' is not allowed in state '",
                               state,
                               "'"));
    }
    state = *next;
  }
  return state;
}

}

DocumentCache::DocumentCache(std::string aDataCentre,
                             const StateChart& aConfigurationChart,
                             DocumentCacheHooks aHooks,
                             Metrics& aMetrics)
  : m_dataCentre(std::move(aDataCentre))
  , m_configurationChart(aConfigurationChart)
  , m_hooks(std::move(aHooks))
  , m_metrics(aMetrics)
{
}

OfferOutcome
DocumentCache::ValidateConfiguration(
  const std::string& aText,
  std::shared_ptr<const Configuration>& aParsed) const
{
  std::vector<std::string> events;
  OfferOutcome outcome = OfferOutcome::InEffect;
  try {
    aParsed = std::make_shared<const Configuration>(ParseConfiguration(aText));
    const bool digestMatches = DigestOf(*aParsed) == aParsed->m_digest;
    events.emplace_back(digestMatches ? "digest_matches" : "digest_differs");
    if (!digestMatches) {
      outcome = OfferOutcome::DigestDiffers;
    }
  } catch (const Error&) {
    events.emplace_back("malformed");
    outcome = OfferOutcome::Malformed;
  }
  if (outcome == OfferOutcome::InEffect) {
    const auto current = CurrentConfiguration();
    const bool isNewer = !current || aParsed->m_version > current->m_version;
    events.emplace_back(isNewer ? "version_higher" : "version_not_higher");
    outcome = isNewer ? OfferOutcome::InEffect : OfferOutcome::NotNewer;
  }
  const bool takesEffect =
    RunChart(m_configurationChart, events) == "in_effect";
  if (takesEffect != (outcome == OfferOutcome::InEffect)) {
    throw Error(ErrorCode::Internal,
                "configuration version chart disagrees with the code");
  }
  return outcome;
}

OfferOutcome
DocumentCache::OfferConfiguration(const std::string& aText)
{
  const std::lock_guard offerLock(m_offerMutex);
  std::shared_ptr<const Configuration> parsed;
  const OfferOutcome outcome = ValidateConfiguration(aText, parsed);
  if (outcome != OfferOutcome::InEffect) {
    return CountOffer("configuration", outcome);
  }
  {
    const std::lock_guard lock(m_mutex);
    m_configuration = parsed;
    m_configurationText = aText;
  }
  LogInfo(LogPart::Store,
          absl::StrCat(
            "configuration version ", parsed->m_version, " is in effect."));
  if (m_hooks.m_onConfiguration) {
    m_hooks.m_onConfiguration(std::move(parsed));
  }
  return CountOffer("configuration", outcome);
}

OfferOutcome
DocumentCache::OfferFleetDocument(const std::string& aText)
{
  const std::lock_guard offerLock(m_offerMutex);
  std::shared_ptr<const FleetDocument> parsed;
  try {
    parsed = std::make_shared<const FleetDocument>(FleetDocument::Parse(aText));
  } catch (const Error&) {
    return CountOffer("fleet_document", OfferOutcome::Malformed);
  }
  if (parsed->m_dataCentre != m_dataCentre) {
    return CountOffer("fleet_document", OfferOutcome::Malformed);
  }
  {
    const std::lock_guard lock(m_mutex);
    if (m_fleetDocument && parsed->m_revision <= m_fleetDocument->m_revision) {
      return CountOffer("fleet_document", OfferOutcome::NotNewer);
    }
    m_fleetDocument = parsed;
    m_fleetDocumentText = aText;
  }
  if (m_hooks.m_onFleetDocument) {
    m_hooks.m_onFleetDocument(std::move(parsed));
  }
  return CountOffer("fleet_document", OfferOutcome::InEffect);
}

OfferOutcome
DocumentCache::CountOffer(const char* aKind, OfferOutcome aOutcome)
{
  m_metrics.Count(
    "bramleystall_document_offers_total",
    { { "kind", aKind },
      { "outcome", std::string(NameOf(kOfferOutcomeNames, aOutcome)) } });
  return aOutcome;
}

std::shared_ptr<const Configuration>
DocumentCache::CurrentConfiguration() const
{
  const std::lock_guard lock(m_mutex);
  return m_configuration;
}

std::shared_ptr<const FleetDocument>
DocumentCache::CurrentFleetDocument() const
{
  const std::lock_guard lock(m_mutex);
  return m_fleetDocument;
}

std::string
DocumentCache::ConfigurationText() const
{
  const std::lock_guard lock(m_mutex);
  return m_configurationText;
}

std::string
DocumentCache::FleetDocumentText() const
{
  const std::lock_guard lock(m_mutex);
  return m_fleetDocumentText;
}

}
