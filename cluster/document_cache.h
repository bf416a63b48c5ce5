#pragma once

#include "core/configuration.h"
#include "core/enum_names.h"
#include "core/fleet_document.h"

#include <functional>
#include <memory>
#include <mutex>
#include <string>

namespace bramleystall {

class Metrics;
class StateChart;

/** Result of offering a document to the cache. */
enum class OfferOutcome
{
  InEffect,
  NotNewer,
  Malformed,
  DigestDiffers,
};

inline constexpr EnumNames<OfferOutcome, 4> kOfferOutcomeNames = { {
  { OfferOutcome::InEffect, "in_effect" },
  { OfferOutcome::NotNewer, "not_newer" },
  { OfferOutcome::Malformed, "malformed" },
  { OfferOutcome::DigestDiffers, "digest_differs" },
} };

/** Callbacks after a newer document took effect, in the order of versions. */
struct DocumentCacheHooks
{
  std::function<void(std::shared_ptr<const Configuration>)> m_onConfiguration;
  std::function<void(std::shared_ptr<const FleetDocument>)> m_onFleetDocument;
};

/**
 * The newest configuration and fleet document that this daemon has accepted,
 * from the store or from a peer. An older or damaged one never takes effect.
 * Thread-safe.
 */
class DocumentCache
{
public:
  /** The chart is `charts/configuration_version.json`. */
  DocumentCache(std::string aDataCentre,
                const StateChart& aConfigurationChart,
                DocumentCacheHooks aHooks,
                Metrics& aMetrics);

  OfferOutcome OfferConfiguration(const std::string& aText);
  OfferOutcome OfferFleetDocument(const std::string& aText);

  /** The configuration in effect, or null. */
  std::shared_ptr<const Configuration> CurrentConfiguration() const;
  /** The fleet document in effect, or null. */
  std::shared_ptr<const FleetDocument> CurrentFleetDocument() const;
  /** Text of the configuration in effect; empty when there is none. */
  std::string ConfigurationText() const;
  /** Text of the fleet document in effect; empty when there is none. */
  std::string FleetDocumentText() const;

private:
  OfferOutcome ValidateConfiguration(
    const std::string& aText,
    std::shared_ptr<const Configuration>& aParsed) const;
  OfferOutcome CountOffer(const char* aKind, OfferOutcome aOutcome);

  const std::string m_dataCentre;
  const StateChart& m_configurationChart;
  const DocumentCacheHooks m_hooks;
  Metrics& m_metrics;
  // Serializes offers, so that hooks run in the order of versions.
  std::mutex m_offerMutex;
  mutable std::mutex m_mutex;
  std::shared_ptr<const Configuration> m_configuration;
  std::shared_ptr<const FleetDocument> m_fleetDocument;
  std::string m_configurationText;
  std::string m_fleetDocumentText;
};

}
