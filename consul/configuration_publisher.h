#pragma once

#include "consul/platform_store.h"
#include "consul/writer_hooks.h"
#include "core/configuration.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace bramleystall {

/** Number of most recent versions that the history keeps. */
inline constexpr std::size_t kHistoryLength = 64;

/** One accepted configuration version. */
struct HistoryEntry
{
  std::uint64_t m_version = 0;
  std::string m_digest;
  std::int64_t m_acceptedMillis = 0;
  std::string m_operator;
  /** One-line description of what the version changed. */
  std::string m_change;
  std::string m_writerToken;
};

/** Parses the JSON form of a history. Throws Error (InvalidInput). */
std::vector<HistoryEntry>
ParseHistory(const std::string& aJson);

/** Returns the JSON form of a history, oldest entry first. */
std::string
SerializeHistory(const std::vector<HistoryEntry>& aHistory);

struct PublishResult
{
  /** False when the accepted configuration already had this content. */
  bool m_isChanged = false;
  /** The accepted configuration. */
  Configuration m_configuration;
  std::string m_change;
};

/**
 * Publishes configurations and reads their history. One transaction of
 * compare-and-swap operations writes the configuration and the history, so the
 * two never disagree. Of two operators who publish at the same time, one gets a
 * conflict.
 */
class ConfigurationPublisher
{
public:
  static constexpr const char* kCurrentKey = "bramleystall/config/current";
  static constexpr const char* kHistoryKey = "bramleystall/config/history";

  ConfigurationPublisher(PlatformStore& aStore, WriterHooks aHooks);

  /**
   * Publishes the fleet and the services of a validated configuration. With an
   * expected version, fails when another version is in effect. Throws Error:
   * Conflict (names the version in effect and its operator), Unavailable
   * (nothing was written), OutcomeUnknown (the store stopped responding after
   * the write was sent).
   */
  PublishResult Publish(
    const Configuration& aContent,
    const std::string& aOperator,
    std::optional<std::uint64_t> aExpectedVersion = std::nullopt);

  /** The accepted configuration, or nothing. Throws Error. */
  std::optional<Configuration> ReadCurrent();

  /** The accepted versions, oldest first. Throws Error. */
  std::vector<HistoryEntry> ReadHistory();

private:
  struct Plan;

  Plan MakePlan(const Configuration& aContent, const std::string& aOperator);
  void Execute(const Plan& aPlan);
  /**
   * Whether the plan's write took effect. Throws Error (Conflict) when another
   * write took effect instead.
   */
  bool HasTakenEffect(const Plan& aPlan);

  PlatformStore& m_store;
  WriterHooks m_hooks;
};

}
