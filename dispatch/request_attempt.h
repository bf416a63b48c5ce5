#pragma once

#include "core/enum_names.h"

#include <string>

namespace bramleystall {

class StateChart;

/** States of `charts/request_attempt.json`. */
enum class AttemptState
{
  Queued,
  /** A slot is reserved; the claim is not yet requested. */
  Selected,
  Claiming,
  /** Permitted to be sent to a target; no byte has been sent yet. */
  Cleared,
  /** Like Cleared, but queued until a slot becomes free. */
  Waiting,
  Sending,
  /** Queued for a retry; an earlier attempt may have reached a target. */
  RetryWaiting,
  RetryCleared,
  RetrySending,
  Responded,
  Refused,
  Unknown,
  Dropped,
};

inline constexpr EnumNames<AttemptState, 13> kAttemptStateNames = { {
  { AttemptState::Queued, "queued" },
  { AttemptState::Selected, "selected" },
  { AttemptState::Claiming, "claiming" },
  { AttemptState::Cleared, "cleared" },
  { AttemptState::Waiting, "waiting" },
  { AttemptState::Sending, "sending" },
  { AttemptState::RetryWaiting, "retry_waiting" },
  { AttemptState::RetryCleared, "retry_cleared" },
  { AttemptState::RetrySending, "retry_sending" },
  { AttemptState::Responded, "responded" },
  { AttemptState::Refused, "refused" },
  { AttemptState::Unknown, "unknown" },
  { AttemptState::Dropped, "dropped" },
} };

/** Events of `charts/request_attempt.json`. */
enum class AttemptEvent
{
  Select,
  Claim,
  Clear,
  Send,
  Wait,
  NotSent,
  Retry,
  Respond,
  Refuse,
  Lose,
  HangUp,
};

inline constexpr EnumNames<AttemptEvent, 11> kAttemptEventNames = { {
  { AttemptEvent::Select, "select" },
  { AttemptEvent::Claim, "claim" },
  { AttemptEvent::Clear, "clear" },
  { AttemptEvent::Send, "send" },
  { AttemptEvent::Wait, "wait" },
  { AttemptEvent::NotSent, "not_sent" },
  { AttemptEvent::Retry, "retry" },
  { AttemptEvent::Respond, "respond" },
  { AttemptEvent::Refuse, "refuse" },
  { AttemptEvent::Lose, "lose" },
  { AttemptEvent::HangUp, "hang_up" },
} };

/**
 * State machine of one request from its arrival in the queue to its result. The
 * chart has no path from a state in which a byte may have been sent to
 * `refused`, so a refused request has certainly not run.
 */
class RequestAttempt
{
public:
  /** Starts in the chart's initial state. The chart must outlive the attempt.
   */
  explicit RequestAttempt(const StateChart& aChart);

  AttemptState State() const { return m_state; }

  /** Whether the chart has a transition for the event from the current state.
   */
  bool Allows(AttemptEvent aEvent) const;

  /** Applies an event. Throws Error (Internal) when the chart forbids it. */
  void Fire(AttemptEvent aEvent);

  bool IsFinished() const;

  /** Whether an attempt is in progress at a target. */
  bool IsSending() const;

private:
  const StateChart* m_chart;
  AttemptState m_state;
};

}
