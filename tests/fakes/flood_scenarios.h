#pragma once

#include "tests/fakes/flood_simulation.h"

namespace bramleystall {

/** Mean demand of each kind; five times this demand exceeds all slots. */
inline constexpr double kFloodMeanShare = 0.205;

inline FloodKind
MakeFloodKind(const std::string& aName,
              const std::string& aTeam,
              Urgency aUrgency,
              absl::Duration aRunTime)
{
  FloodKind kind;
  kind.m_service.m_name = aName;
  kind.m_service.m_team = aTeam;
  kind.m_service.m_pool = "pool";
  kind.m_service.m_urgency = aUrgency;
  kind.m_service.m_defaultDeadline = absl::Seconds(10);
  kind.m_service.m_declared.m_runTime = aRunTime;
  kind.m_meanShare = kFloodMeanShare;
  kind.m_meanRunTime = aRunTime;
  return kind;
}

/** One of 3 data centres that share a pool of 9 workers. */
inline FloodScenario
ConsortiumFloodScenario()
{
  FloodScenario scenario;
  scenario.m_targets = 3;
  scenario.m_kinds = {
    MakeFloodKind(
      "renewals", "counter", Urgency::Urgent, absl::Milliseconds(200)),
    MakeFloodKind(
      "kiosks", "counter", Urgency::Normal, absl::Milliseconds(200)),
    MakeFloodKind("reconciliation",
                  "records",
                  Urgency::Background,
                  absl::Milliseconds(500)),
    MakeFloodKind(
      "rabies", "records", Urgency::Background, absl::Milliseconds(500)),
  };
  scenario.m_teamQuotas = { { "counter", 0.25 }, { "records", 0.25 } };
  return scenario;
}

/** One of 4 data centres that share a pool of 8 workers. */
inline FloodScenario
CooperativeFloodScenario()
{
  FloodScenario scenario;
  scenario.m_targets = 2;
  scenario.m_kinds = {
    MakeFloodKind("alarms", "alarms", Urgency::Urgent, absl::Milliseconds(100)),
    MakeFloodKind("doors", "doors", Urgency::Urgent, absl::Milliseconds(100)),
    MakeFloodKind(
      "spoilage", "reports", Urgency::Normal, absl::Milliseconds(400)),
    MakeFloodKind(
      "summaries", "reports", Urgency::Background, absl::Milliseconds(800)),
  };
  scenario.m_teamQuotas = { { "alarms", 0.25 },
                            { "doors", 0.25 },
                            { "reports", 0.25 } };
  return scenario;
}

}
