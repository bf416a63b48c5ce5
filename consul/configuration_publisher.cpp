#include "consul/configuration_publisher.h"

#include "core/clock.h"
#include "core/configuration_codec.h"
#include "core/error.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace bramleystall {

namespace {

using nlohmann::json;

/** With the retry delays, spans a store restart of a few seconds. */
constexpr int kMaxAttempts = 8;

json
ToJson(const HistoryEntry& aEntry)
{
  return { { "version", aEntry.m_version },
           { "digest", aEntry.m_digest },
           { "accepted_ms", aEntry.m_acceptedMillis },
           { "operator", aEntry.m_operator },
           { "change", aEntry.m_change },
           { "writer_token", aEntry.m_writerToken } };
}

HistoryEntry
FromJson(const json& aJson)
{
  HistoryEntry entry;
  aJson.at("version").get_to(entry.m_version);
  aJson.at("digest").get_to(entry.m_digest);
  aJson.at("accepted_ms").get_to(entry.m_acceptedMillis);
  aJson.at("operator").get_to(entry.m_operator);
  aJson.at("change").get_to(entry.m_change);
  entry.m_writerToken = aJson.value("writer_token", "");
  return entry;
}

std::string
FormatVersion(const Configuration& aConfiguration)
{
  return absl::StrCat(
    "version ",
    aConfiguration.m_version,
    " by ",
    aConfiguration.m_operator,
    " at ",
    absl::FormatTime("%Y-%m-%dT%H:%M:%SZ",
                     FromMillis(aConfiguration.m_acceptedMillis),
                     absl::UTCTimeZone()));
}

HistoryEntry
MakeEntry(const Configuration& aConfiguration, const std::string& aChange)
{
  return { aConfiguration.m_version,
           aConfiguration.m_digest,
           aConfiguration.m_acceptedMillis,
           aConfiguration.m_operator,
           aChange,
           aConfiguration.m_writerToken };
}

}

/** A new configuration and the revisions that its write expects. */
struct ConfigurationPublisher::Plan
{
  /** The accepted configuration; version 0 when there is none. */
  Configuration m_base;
  std::uint64_t m_baseRevision = 0;
  std::uint64_t m_historyRevision = 0;
  std::vector<HistoryEntry> m_history;
  Configuration m_next;
  std::string m_change;
};

std::vector<HistoryEntry>
ParseHistory(const std::string& aJson)
{
  try {
    const json document = json::parse(aJson);
    std::vector<HistoryEntry> history;
    for (const json& entry : document.at("versions")) {
      history.push_back(FromJson(entry));
    }
    return history;
  } catch (const json::exception& error) {
    throw Error(
      ErrorCode::InvalidInput,
      absl::StrCat(ConfigurationPublisher::kHistoryKey, ": ", error.what()));
  }
}

std::string
SerializeHistory(const std::vector<HistoryEntry>& aHistory)
{
  json versions = json::array();
  for (const HistoryEntry& entry : aHistory) {
    versions.push_back(ToJson(entry));
  }
  return json{ { "versions", std::move(versions) } }.dump();
}

ConfigurationPublisher::ConfigurationPublisher(PlatformStore& aStore,
                                               WriterHooks aHooks)
  : m_store(aStore)
  , m_hooks(std::move(aHooks))
{
}

std::optional<Configuration>
ConfigurationPublisher::ReadCurrent()
{
  const auto value = m_store.Get(kCurrentKey);
  if (!value) {
    return std::nullopt;
  }
  return ParseConfiguration(value->m_value);
}

std::vector<HistoryEntry>
ConfigurationPublisher::ReadHistory()
{
  const auto value = m_store.Get(kHistoryKey);
  return value ? ParseHistory(value->m_value) : std::vector<HistoryEntry>{};
}

ConfigurationPublisher::Plan
ConfigurationPublisher::MakePlan(const Configuration& aContent,
                                 const std::string& aOperator)
{
  Plan plan;
  if (const auto current = m_store.Get(kCurrentKey)) {
    plan.m_base = ParseConfiguration(current->m_value);
    plan.m_baseRevision = current->m_revision;
  }
  if (const auto history = m_store.Get(kHistoryKey)) {
    plan.m_history = ParseHistory(history->m_value);
    plan.m_historyRevision = history->m_revision;
  }
  plan.m_next = aContent;
  plan.m_next.m_version = plan.m_base.m_version + 1;
  plan.m_next.m_digest = DigestOf(aContent);
  plan.m_next.m_writerToken = m_hooks.m_makeToken();
  plan.m_next.m_operator = aOperator;
  plan.m_next.m_acceptedMillis = ToMillis(m_hooks.m_now());
  plan.m_change = DescribeChange(plan.m_base, plan.m_next);
  plan.m_history.push_back(MakeEntry(plan.m_next, plan.m_change));
  if (plan.m_history.size() > kHistoryLength) {
    const auto surplus = plan.m_history.size() - kHistoryLength;
    plan.m_history.erase(plan.m_history.begin(),
                         plan.m_history.begin() +
                           static_cast<std::ptrdiff_t>(surplus));
  }
  return plan;
}

PublishResult
ConfigurationPublisher::Publish(const Configuration& aContent,
                                const std::string& aOperator,
                                std::optional<std::uint64_t> aExpectedVersion)
{
  const Plan plan = MakePlan(aContent, aOperator);
  if (aExpectedVersion && *aExpectedVersion != plan.m_base.m_version) {
    throw Error(ErrorCode::Conflict,
                absl::StrCat("expected version ",
                             *aExpectedVersion,
                             ", but the accepted one is ",
                             plan.m_baseRevision == 0
                               ? "none"
                               : FormatVersion(plan.m_base),
                             "; nothing was written"));
  }
  if (plan.m_baseRevision != 0 &&
      plan.m_base.m_digest == plan.m_next.m_digest) {
    return { false, plan.m_base, plan.m_change };
  }
  Execute(plan);
  return { true, plan.m_next, plan.m_change };
}

void
ConfigurationPublisher::Execute(const Plan& aPlan)
{
  const std::vector<StoreWrite> writes = {
    { kCurrentKey, SerializeConfiguration(aPlan.m_next), aPlan.m_baseRevision },
    { kHistoryKey, SerializeHistory(aPlan.m_history), aPlan.m_historyRevision },
  };
  bool maybeWritten = false;
  for (int attempt = 1; attempt <= kMaxAttempts; ++attempt) {
    try {
      const WriteOutcome outcome = m_store.Write(writes, std::nullopt);
      if (outcome == WriteOutcome::Applied) {
        return;
      }
      maybeWritten = maybeWritten || outcome == WriteOutcome::Unknown;
      if (HasTakenEffect(aPlan)) {
        return;
      }
      // Revisions never return to an earlier value, so no attempt of this plan
      // can succeed after a conflict.
      if (outcome == WriteOutcome::Conflict) {
        throw Error(ErrorCode::Conflict,
                    "another writer changed the configuration history; nothing "
                    "was written, publish again");
      }
    } catch (const Error& error) {
      if (error.Code() != ErrorCode::Unavailable || !maybeWritten) {
        throw;
      }
    }
    // Repeating the write is safe: it applies only to the revision that the
    // first attempt expected.
    m_hooks.m_sleep(RetryDelay(attempt));
  }
  throw Error(
    ErrorCode::OutcomeUnknown,
    absl::StrCat("the store stopped responding after version ",
                 aPlan.m_next.m_version,
                 " was sent; it may be accepted. Run `bramleystall config "
                 "history` and look for writer token ",
                 aPlan.m_next.m_writerToken));
}

bool
ConfigurationPublisher::HasTakenEffect(const Plan& aPlan)
{
  const auto current = m_store.Get(kCurrentKey);
  if (current && current->m_revision == aPlan.m_baseRevision) {
    return false;
  }
  if (!current && aPlan.m_baseRevision == 0) {
    return false;
  }
  if (!current) {
    throw Error(ErrorCode::Conflict,
                "the accepted configuration was deleted during the publish");
  }
  const Configuration winner = ParseConfiguration(current->m_value);
  if (winner.m_writerToken == aPlan.m_next.m_writerToken) {
    return true;
  }
  // Another operator may already have published a later version on top of this
  // write; the history then still contains this write's token.
  const auto history = ReadHistory();
  const bool isRecorded =
    std::ranges::find(history,
                      aPlan.m_next.m_writerToken,
                      &HistoryEntry::m_writerToken) != history.end();
  if (isRecorded) {
    return true;
  }
  throw Error(ErrorCode::Conflict,
              absl::StrCat("another operator published first: ",
                           FormatVersion(winner),
                           "; nothing was written. Review that version with "
                           "`bramleystall config history` and publish again"));
}

}
