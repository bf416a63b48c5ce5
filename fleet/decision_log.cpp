#include "fleet/decision_log.h"

#include "core/error.h"
#include "fleet/decision_json.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

namespace bramleystall {

DecisionLog
DecisionLog::Parse(const std::string& aJson)
{
  try {
    const auto json = nlohmann::json::parse(aJson);
    DecisionLog log;
    log.m_revision = json.at("revision");
    log.m_writerToken = json.at("writer_token");
    std::vector<Decision> decisions;
    for (const auto& entry : json.at("decisions")) {
      decisions.push_back(DecisionFromJson(entry));
    }
    log.Append(decisions);
    return log;
  } catch (const nlohmann::json::exception& error) {
    throw Error(ErrorCode::InvalidInput,
                absl::StrCat("decisions: ", error.what()));
  }
}

std::string
DecisionLog::Serialize() const
{
  nlohmann::json decisions = nlohmann::json::array();
  for (const Decision& decision : m_decisions) {
    decisions.push_back(DecisionToJson(decision));
  }
  const nlohmann::json json = { { "revision", m_revision },
                                { "writer_token", m_writerToken },
                                { "decisions", std::move(decisions) } };
  return json.dump();
}

void
DecisionLog::Append(const std::vector<Decision>& aDecisions)
{
  m_decisions.insert(m_decisions.end(), aDecisions.begin(), aDecisions.end());
  while (m_decisions.size() > kMaxDecisions) {
    m_decisions.pop_front();
  }
}

}
