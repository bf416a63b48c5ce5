#include "dispatch/request_attempt.h"

#include "core/error.h"
#include "core/state_chart.h"

namespace bramleystall {

namespace {

AttemptState
ParseState(const std::string& aName)
{
  const auto state = ValueOf(kAttemptStateNames, aName);
  if (!state) {
    throw Error(ErrorCode::Internal,
                "request attempt: chart names unknown state '" + aName + "'");
  }
  return *state;
}

std::string
Name(AttemptState aState)
{
  return std::string(NameOf(kAttemptStateNames, aState));
}

std::string
Name(AttemptEvent aEvent)
{
  return std::string(NameOf(kAttemptEventNames, aEvent));
}

}

RequestAttempt::RequestAttempt(const StateChart& aChart)
  : m_chart(&aChart)
  , m_state(ParseState(aChart.Initial()))
{
}

bool
RequestAttempt::Allows(AttemptEvent aEvent) const
{
  return m_chart->Next(Name(m_state), Name(aEvent)).has_value();
}

void
RequestAttempt::Fire(AttemptEvent aEvent)
{
  const auto next = m_chart->Next(Name(m_state), Name(aEvent));
  if (!next) {
    throw Error(ErrorCode::Internal,
                "request attempt: event '" + Name(aEvent) +
                  "' is not allowed in state '" + Name(m_state) + "'");
  }
  m_state = ParseState(*next);
}

bool
RequestAttempt::IsFinished() const
{
  return m_chart->IsFinal(Name(m_state));
}

bool
RequestAttempt::IsSending() const
{
  return m_state == AttemptState::Sending ||
         m_state == AttemptState::RetrySending;
}

}
