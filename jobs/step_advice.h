#pragma once

#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace bramleystall {

/** An incarnation of a worker; the advice about it never changes. */
struct AdvisedWorker
{
  std::string m_id;
  /** Start of the incarnation, ms since the Unix epoch. */
  std::int64_t m_startTimeMs = 0;

  bool operator==(const AdvisedWorker& aOther) const = default;
  bool operator<(const AdvisedWorker& aOther) const
  {
    return std::tie(m_id, m_startTimeMs) <
           std::tie(aOther.m_id, aOther.m_startTimeMs);
  }
};

/**
 * What the advice service has said of the workers that may run a step, and whom
 * to ask about next. It reads no clock and does no I/O; times are monotonic.
 */
class StepAdvice
{
public:
  /** Ticket of a worker that is valid now, or null. */
  const std::string* FindTicket(const AdvisedWorker& aWorker,
                                absl::Time aNow) const;

  /**
   * Chooses at most aMaxCount of the candidates, earlier ones first: those that
   * were never asked about, and allowed ones whose tickets have expired. Empty
   * while a request is in flight or is to be delayed, and when all answers are
   * known.
   */
  std::vector<AdvisedWorker> ChooseToAsk(
    const std::vector<AdvisedWorker>& aCandidates,
    std::size_t aMaxCount,
    absl::Time aNow) const;

  /** A request was sent; until its result no other is. */
  void OnRequested() { m_isRequested = true; }
  /**
   * The service has responded about the workers. aTickets has those of the
   * allowed ones, by id; they are valid until aValidUntil.
   */
  void OnResponse(const std::vector<AdvisedWorker>& aWorkers,
                  const std::map<std::string, std::string>& aTickets,
                  absl::Time aValidUntil);
  /** The request got no usable response; the next one is sent at aRetryAt. */
  void OnFailure(absl::Time aRetryAt);
  /** A worker has rejected its ticket; the next request is sent at aRetryAt. */
  void OnTicketRejected(const std::string& aWorkerId, absl::Time aRetryAt);

private:
  struct Answer
  {
    bool m_isAllowed = false;
    std::string m_ticket;
    absl::Time m_validUntil;
  };

  std::map<AdvisedWorker, Answer> m_answers;
  absl::Time m_retryAt = absl::InfinitePast();
  bool m_isRequested = false;
};

}
