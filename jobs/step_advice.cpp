#include "jobs/step_advice.h"

#include <algorithm>
#include <iterator>

namespace bramleystall {

const std::string*
StepAdvice::FindTicket(const AdvisedWorker& aWorker, absl::Time aNow) const
{
  const auto found = m_answers.find(aWorker);
  const bool isValid = found != m_answers.end() && found->second.m_isAllowed &&
                       aNow < found->second.m_validUntil;
  return isValid ? &found->second.m_ticket : nullptr;
}

std::vector<AdvisedWorker>
StepAdvice::ChooseToAsk(const std::vector<AdvisedWorker>& aCandidates,
                        std::size_t aMaxCount,
                        absl::Time aNow) const
{
  if (m_isRequested || aNow < m_retryAt) {
    return {};
  }
  std::vector<AdvisedWorker> unknown;
  std::vector<AdvisedWorker> expired;
  for (const AdvisedWorker& worker : aCandidates) {
    const auto found = m_answers.find(worker);
    if (found == m_answers.end()) {
      unknown.push_back(worker);
    } else if (found->second.m_isAllowed &&
               aNow >= found->second.m_validUntil) {
      expired.push_back(worker);
    }
  }
  // Workers that are known to be allowed must not keep the others from being
  // asked about: their room may be unusable.
  const std::size_t reserved = std::min(unknown.size(), aMaxCount / 2);
  const std::size_t renewed = std::min(expired.size(), aMaxCount - reserved);
  expired.resize(renewed);
  unknown.resize(std::min(unknown.size(), aMaxCount - renewed));
  std::ranges::copy(unknown, std::back_inserter(expired));
  return expired;
}

void
StepAdvice::OnResponse(const std::vector<AdvisedWorker>& aWorkers,
                       const std::map<std::string, std::string>& aTickets,
                       absl::Time aValidUntil)
{
  m_isRequested = false;
  for (const AdvisedWorker& worker : aWorkers) {
    const auto ticket = aTickets.find(worker.m_id);
    m_answers[worker] = ticket == aTickets.end()
                          ? Answer{}
                          : Answer{ .m_isAllowed = true,
                                    .m_ticket = ticket->second,
                                    .m_validUntil = aValidUntil };
  }
}

void
StepAdvice::OnFailure(absl::Time aRetryAt)
{
  m_isRequested = false;
  m_retryAt = aRetryAt;
}

void
StepAdvice::OnTicketRejected(const std::string& aWorkerId, absl::Time aRetryAt)
{
  std::erase_if(m_answers, [&aWorkerId](const auto& aEntry) {
    return aEntry.first.m_id == aWorkerId;
  });
  m_retryAt = aRetryAt;
}

}
