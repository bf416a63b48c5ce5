#include "cluster/slot_ledger.h"

#include "cluster/rendezvous.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <iterator>
#include <numeric>
#include <utility>

namespace bramleystall {

namespace {

/** Tokens that an idle daemon keeps, so that a first request need not wait. */
constexpr int kReserveTokens = 1;
/** A shorter time would return tokens between two requests of one caller. */
constexpr absl::Duration kSurplusReturnDelay = absl::Milliseconds(200);
/** Time for which a daemon keeps no reserve at a worker that others need. */
constexpr absl::Duration kContentionTime = absl::Seconds(2);
constexpr absl::Duration kRequestTimeout = absl::Milliseconds(200);
/** Interval of repeated requests for tokens that were not granted. Hints
 * normally announce free tokens earlier. */
constexpr absl::Duration kDemandRepeatInterval = absl::Seconds(1);
/** A dead daemon may have sent requests until it failed, which is up to a
 * heartbeat interval and an undetected pause after its last heartbeat. */
const absl::Duration kQuarantineMargin = kHeartbeatInterval + kPauseLimit;

}

SlotLedger::SlotLedger(SlotLedgerSettings aSettings, SetAllowance aSetAllowance)
  : m_settings(std::move(aSettings))
  , m_setAllowance(std::move(aSetAllowance))
{
}

void
SlotLedger::SetView(const std::vector<IncarnationId>& aView,
                    const std::vector<DeadHolder>& aDead,
                    absl::Time aNow)
{
  UpdateDeadHolders(aDead);
  if (aView == m_view) {
    return;
  }
  m_view = aView;
  m_knownIncarnations.insert(m_view.begin(), m_view.end());
  ++m_viewNumber;
  std::string text;
  for (const IncarnationId& id : m_view) {
    absl::StrAppend(&text, id.m_daemon, " ", id.m_incarnation, "\n");
    if (id.m_daemon == m_settings.m_daemon) {
      m_self = id;
    }
  }
  m_viewDigest = DigestOf(text);
  m_homeLinks.clear();
  m_holderLinks.clear();
  m_wantsTick = !m_view.empty();
  if (m_view.empty()) {
    m_workers.clear();
    return;
  }
  for (auto& [vm, holding] : m_holdings) {
    holding.m_home = *HomeOf(vm);
  }
  std::erase_if(m_workers, [this](const auto& aWorker) {
    return HomeOf(aWorker.first)->m_daemon != m_settings.m_daemon;
  });
  for (auto& [vm, worker] : m_workers) {
    MoveLoansOfDead(worker, aNow);
  }
}

void
SlotLedger::UpdateDeadHolders(const std::vector<DeadHolder>& aDead)
{
  std::erase_if(m_knownIncarnations, [&](const IncarnationId& aId) {
    return !std::ranges::binary_search(m_view, aId) &&
           std::ranges::find(aDead, aId, &DeadHolder::m_id) == aDead.end();
  });
  m_deadHolders = aDead;
  bool hasUnknownHolder = false;
  for (const DeadHolder& dead : m_deadHolders) {
    hasUnknownHolder |=
      m_knownIncarnations.insert(dead.m_id).second && !dead.m_isClean;
  }
  if (hasUnknownHolder) {
    // Another home daemon may have lent tokens to the unknown holder.
    for (auto& [vm, worker] : m_workers) {
      worker.m_hasCheckedUnknownLoans = false;
    }
  }
}

void
SlotLedger::MoveLoansOfDead(Worker& aWorker, absl::Time aNow) const
{
  for (auto next = aWorker.m_loans.begin(); next != aWorker.m_loans.end();) {
    const auto loan = next++;
    const IncarnationId& holder = loan->first;
    if (std::ranges::binary_search(m_view, holder)) {
      continue;
    }
    const auto dead =
      std::ranges::find(m_deadHolders, holder, &DeadHolder::m_id);
    const bool isClean = dead != m_deadHolders.end() && dead->m_isClean;
    const auto successor =
      std::ranges::find(m_view, holder.m_daemon, &IncarnationId::m_daemon);
    if (isClean && successor != m_view.end()) {
      // The successor may be the same process, which still holds the tokens and
      // has not reported them yet.
      aWorker.m_loans[*successor].m_tokens += loan->second.m_tokens;
    } else if (!isClean) {
      const absl::Time lastHeard =
        dead == m_deadHolders.end() ? aNow : dead->m_lastHeard;
      aWorker.m_quarantine.push_back(
        { loan->second.m_tokens, QuarantineEnd({ holder, lastHeard, false }) });
    }
    aWorker.m_loans.erase(loan);
  }
}

void
SlotLedger::ReturnAll()
{
  for (auto& [vm, holding] : m_holdings) {
    Reduce(vm, holding, 0);
  }
}

std::vector<SlotMessage>
SlotLedger::Tick(const std::vector<SlotUsage>& aUsages,
                 bool aMayHold,
                 absl::Time aNow)
{
  m_wantsTick = false;
  if (m_view.empty()) {
    return {};
  }
  std::set<std::string> used;
  for (const SlotUsage& usage : aUsages) {
    used.insert(usage.m_vm);
    AdjustHolding(usage, aMayHold, aNow);
  }
  for (auto& [vm, holding] : m_holdings) {
    if (!used.contains(vm)) {
      AdjustHolding({ vm, 0, holding.m_held, 0 }, false, aNow);
    }
  }
  std::vector<SlotMessage> messages = MakeRequests(aNow);
  std::erase_if(m_holdings, [](const auto& aHolding) {
    const Holding& holding = aHolding.second;
    return holding.m_held == 0 && holding.m_desiredTokens == 0 &&
           holding.m_confirmedHeld == 0 && holding.m_sentDesiredTokens == 0;
  });
  return Deliver(std::move(messages), aNow);
}

std::vector<SlotMessage>
SlotLedger::OnRequest(const IncarnationId& aSender,
                      const SlotRequest& aRequest,
                      absl::Time aNow)
{
  return Deliver(HandleRequest(aSender, aRequest, aNow), aNow);
}

std::vector<SlotMessage>
SlotLedger::HandleRequest(const IncarnationId& aSender,
                          const SlotRequest& aRequest,
                          absl::Time aNow)
{
  if (aRequest.m_viewDigest != m_viewDigest ||
      !std::ranges::binary_search(m_view, aSender)) {
    return {};
  }
  UpdateViewNumber(aSender, aRequest.m_viewNumber);
  HolderLink& link = m_holderLinks[aSender];
  if (aRequest.m_viewNumber < link.m_viewNumber ||
      aRequest.m_sequence <= link.m_sequence) {
    return {};
  }
  if (aRequest.m_viewNumber > link.m_viewNumber) {
    link.m_viewNumber = aRequest.m_viewNumber;
    link.m_isSynced = false;
  }
  link.m_sequence = aRequest.m_sequence;
  SlotReply reply = MakeReply(aSender);
  reply.m_sequence = aRequest.m_sequence;
  const bool isCurrent = aRequest.m_echoedViewNumber == m_viewNumber;
  if (!isCurrent || !(link.m_isSynced || aRequest.m_isFull)) {
    return { { aSender.m_daemon, std::move(reply) } };
  }
  const bool wasReady = IsHomeReady();
  link.m_isSynced = true;
  reply.m_accepted = true;
  RecordDemands(aSender, aRequest);
  std::map<std::string, SlotReply> hints;
  Lend(aSender, aRequest, aNow, reply, hints);
  std::vector<SlotMessage> messages;
  messages.push_back({ aSender.m_daemon, std::move(reply) });
  if (!wasReady && IsHomeReady()) {
    // Daemons whose requests came before the last report need not wait for
    // kDemandRepeatInterval.
    AddHintsToAll(aSender, aNow, hints);
  }
  for (auto& [daemon, hint] : hints) {
    messages.push_back({ daemon, std::move(hint) });
  }
  return messages;
}

void
SlotLedger::UpdateViewNumber(const IncarnationId& aHome, std::uint64_t aNumber)
{
  HomeLink& link = m_homeLinks[aHome];
  if (aNumber > link.m_viewNumber) {
    link.m_viewNumber = aNumber;
    link.m_isSynced = false;
    m_wantsTick = true;
  }
}

void
SlotLedger::AddHintsToAll(const IncarnationId& aExcept,
                          absl::Time aNow,
                          std::map<std::string, SlotReply>& aHints) const
{
  for (const auto& [vm, worker] : m_workers) {
    for (const auto& [holder, share] : FairShares(worker, aNow)) {
      if (holder == aExcept || share <= worker.m_loans.at(holder).m_tokens) {
        continue;
      }
      const auto hint = aHints.try_emplace(holder.m_daemon, MakeReply(holder));
      hint.first->second.m_hints.push_back({ vm, share });
    }
  }
}

void
SlotLedger::OnReply(const IncarnationId& aSender,
                    const SlotReply& aReply,
                    absl::Time aNow)
{
  if (aReply.m_viewDigest != m_viewDigest ||
      aReply.m_echoedViewNumber != m_viewNumber ||
      !std::ranges::binary_search(m_view, aSender)) {
    return;
  }
  UpdateViewNumber(aSender, aReply.m_viewNumber);
  HomeLink& link = m_homeLinks[aSender];
  for (const SlotTarget& hint : aReply.m_hints) {
    const auto found = m_holdings.find(hint.m_vm);
    if (found != m_holdings.end()) {
      found->second.m_hint = hint.m_tokens;
      m_wantsTick = true;
    }
  }
  if (!link.m_hasOutstandingRequest || aReply.m_sequence != link.m_sequence) {
    return;
  }
  link.m_hasOutstandingRequest = false;
  if (!aReply.m_accepted) {
    link.m_isSynced = false;
    m_wantsTick = true;
    return;
  }
  link.m_isSynced = true;
  for (const std::string& vm : link.m_vms) {
    const auto found = m_holdings.find(vm);
    if (found != m_holdings.end()) {
      found->second.m_confirmedHeld = found->second.m_held;
    }
  }
  for (const SlotTarget& allowance : aReply.m_allowances) {
    const auto found = m_holdings.find(allowance.m_vm);
    if (found == m_holdings.end() || !link.m_vms.contains(allowance.m_vm)) {
      continue;
    }
    Holding& holding = found->second;
    if (allowance.m_tokens <= holding.m_held) {
      continue;
    }
    holding.m_held = allowance.m_tokens;
    holding.m_limit = allowance.m_tokens;
    holding.m_confirmedHeld = allowance.m_tokens;
    m_setAllowance(allowance.m_vm, allowance.m_tokens);
    holding.m_surplusSince = aNow;
  }
}

int
SlotLedger::Held(const std::string& aVm) const
{
  const auto found = m_holdings.find(aVm);
  return found == m_holdings.end() ? 0 : found->second.m_held;
}

int
SlotLedger::Quarantined(absl::Time aNow) const
{
  int tokens = 0;
  for (const auto& [vm, worker] : m_workers) {
    for (const Quarantine& quarantine : worker.m_quarantine) {
      tokens += quarantine.m_until > aNow ? quarantine.m_tokens : 0;
    }
  }
  return tokens;
}

const IncarnationId*
SlotLedger::HomeOf(const std::string& aVm) const
{
  // The weight depends on the name alone, so that a daemon that rejoins keeps
  // its workers.
  const auto weight = [&aVm](const IncarnationId& aId) {
    return RendezvousWeight(aVm, aId.m_daemon, 0);
  };
  const auto home = std::ranges::max_element(m_view, {}, weight);
  return home == m_view.end() ? nullptr : &*home;
}

absl::Time
SlotLedger::QuarantineEnd(const DeadHolder& aDead) const
{
  return aDead.m_lastHeard + kQuarantineMargin + m_settings.m_maxDeadline;
}

bool
SlotLedger::IsHomeReady() const
{
  return std::ranges::all_of(m_view, [this](const IncarnationId& aId) {
    const auto link = m_holderLinks.find(aId);
    return link != m_holderLinks.end() && link->second.m_isSynced;
  });
}

void
SlotLedger::QuarantineUnknownLoans(Worker& aWorker, absl::Time aNow) const
{
  if (aWorker.m_hasCheckedUnknownLoans) {
    return;
  }
  aWorker.m_hasCheckedUnknownLoans = true;
  absl::Time until = absl::InfinitePast();
  for (const DeadHolder& dead : m_deadHolders) {
    if (!dead.m_isClean) {
      until = std::max(until, QuarantineEnd(dead));
    }
  }
  const int unknown = FreeTokens(aWorker, aNow);
  if (until > aNow && unknown > 0) {
    aWorker.m_quarantine.push_back({ unknown, until });
  }
}

int
SlotLedger::FreeTokens(const Worker& aWorker, absl::Time aNow) const
{
  int tokens = m_settings.m_slotsPerWorker;
  for (const auto& [holder, loan] : aWorker.m_loans) {
    tokens -= loan.m_tokens;
  }
  for (const Quarantine& quarantine : aWorker.m_quarantine) {
    tokens -= quarantine.m_until > aNow ? quarantine.m_tokens : 0;
  }
  return std::max(tokens, 0);
}

std::map<IncarnationId, int>
SlotLedger::FairShares(const Worker& aWorker, absl::Time aNow) const
{
  int tokens = FreeTokens(aWorker, aNow);
  std::map<IncarnationId, int> shares;
  for (const auto& [holder, loan] : aWorker.m_loans) {
    tokens += loan.m_tokens;
    shares[holder] = 0;
  }
  for (; tokens > 0; --tokens) {
    // The next token goes to the daemon with the smallest share and, among
    // equal shares, to the one that holds more, so that no token moves without
    // need.
    const std::pair<const IncarnationId, Loan>* next = nullptr;
    const auto rank = [&shares](const auto& aLoan) {
      return std::pair(shares.at(aLoan.first), -aLoan.second.m_tokens);
    };
    for (const auto& loan : aWorker.m_loans) {
      const bool isUnmet = shares[loan.first] < loan.second.m_need;
      if (isUnmet && (!next || rank(loan) < rank(*next))) {
        next = &loan;
      }
    }
    if (!next) {
      break;
    }
    ++shares[next->first];
  }
  return shares;
}

void
SlotLedger::AdjustHolding(const SlotUsage& aUsage,
                          bool aMayHold,
                          absl::Time aNow)
{
  const auto [entry, isNew] = m_holdings.try_emplace(aUsage.m_vm);
  Holding& holding = entry->second;
  if (isNew) {
    holding.m_home = *HomeOf(aUsage.m_vm);
  }
  const int slots = m_settings.m_slotsPerWorker;
  const int waiting = aMayHold ? aUsage.m_waiting : 0;
  const bool isContended = holding.m_contendedUntil > aNow;
  holding.m_need = std::min(aUsage.m_inFlight + waiting, slots);
  holding.m_desiredTokens = holding.m_need;
  if (aMayHold && !isContended) {
    holding.m_desiredTokens = std::min(holding.m_need + kReserveTokens, slots);
  }
  if (m_homeLinks[holding.m_home].m_hasOutstandingRequest) {
    // The reply may raise the number of tokens that the request reported.
    return;
  }
  if (holding.m_held > holding.m_limit) {
    Reduce(aUsage.m_vm, holding, holding.m_limit);
  }
  const auto hint = std::exchange(holding.m_hint, std::nullopt);
  if (hint && *hint < holding.m_held && holding.m_need > holding.m_sentNeed) {
    // The share was computed without the current need.
    holding.m_mustReport = true;
    return;
  }
  if (hint && *hint < holding.m_held) {
    holding.m_contendedUntil = aNow + kContentionTime;
    holding.m_desiredTokens = holding.m_need;
    Reduce(aUsage.m_vm, holding, std::min(holding.m_need, *hint));
    return;
  }
  if (hint) {
    holding.m_lastRequested = absl::InfinitePast();
  }
  if (holding.m_held <= holding.m_desiredTokens) {
    holding.m_surplusSince = absl::InfiniteFuture();
    return;
  }
  holding.m_surplusSince = std::min(holding.m_surplusSince, aNow);
  if (!aMayHold || aNow - holding.m_surplusSince >= kSurplusReturnDelay) {
    Reduce(aUsage.m_vm, holding, holding.m_desiredTokens);
  }
}

void
SlotLedger::Reduce(const std::string& aVm, Holding& aHolding, int aTokens)
{
  if (aHolding.m_held > aTokens) {
    aHolding.m_limit = aTokens;
    aHolding.m_held = std::min(aHolding.m_held, m_setAllowance(aVm, aTokens));
  }
}

bool
SlotLedger::MustReport(const Holding& aHolding, absl::Time aNow) const
{
  if (aHolding.m_mustReport || aHolding.m_held != aHolding.m_confirmedHeld) {
    return true;
  }
  const bool isDue = aNow - aHolding.m_lastRequested >= kDemandRepeatInterval;
  if (aHolding.m_need > aHolding.m_held) {
    return isDue || aHolding.m_need > aHolding.m_sentNeed;
  }
  return aHolding.m_desiredTokens > aHolding.m_held &&
         (aHolding.m_desiredTokens != aHolding.m_sentDesiredTokens || isDue);
}

std::vector<SlotMessage>
SlotLedger::MakeRequests(absl::Time aNow)
{
  std::map<IncarnationId, SlotRequest> requests;
  for (const IncarnationId& home : m_view) {
    HomeLink& link = m_homeLinks[home];
    if (link.m_hasOutstandingRequest &&
        aNow - link.m_sentAt < kRequestTimeout) {
      continue;
    }
    SlotRequest& request = requests[home];
    request.m_viewDigest = m_viewDigest;
    request.m_viewNumber = m_viewNumber;
    request.m_echoedViewNumber = link.m_viewNumber;
    request.m_isFull = !link.m_isSynced;
  }
  for (auto& [vm, holding] : m_holdings) {
    const auto request = requests.find(holding.m_home);
    if (request == requests.end()) {
      continue;
    }
    HomeLink& link = m_homeLinks[holding.m_home];
    const bool isUnconfirmed =
      link.m_hasOutstandingRequest && link.m_vms.contains(vm);
    if (!request->second.m_isFull && !isUnconfirmed &&
        !MustReport(holding, aNow)) {
      continue;
    }
    request->second.m_demands.push_back(
      { vm, holding.m_held, holding.m_need, holding.m_desiredTokens });
    holding.m_sentNeed = holding.m_need;
    holding.m_sentDesiredTokens = holding.m_desiredTokens;
    holding.m_lastRequested = aNow;
    holding.m_mustReport = false;
  }
  std::vector<SlotMessage> messages;
  for (auto& [home, request] : requests) {
    HomeLink& link = m_homeLinks[home];
    link.m_hasOutstandingRequest =
      request.m_isFull || !request.m_demands.empty();
    link.m_vms.clear();
    if (!link.m_hasOutstandingRequest) {
      continue;
    }
    for (const SlotDemand& demand : request.m_demands) {
      link.m_vms.insert(demand.m_vm);
    }
    link.m_sequence = ++m_lastSequence;
    link.m_sentAt = aNow;
    request.m_sequence = link.m_sequence;
    messages.push_back({ home.m_daemon, std::move(request) });
  }
  return messages;
}

void
SlotLedger::RecordDemands(const IncarnationId& aSender,
                          const SlotRequest& aRequest)
{
  if (aRequest.m_isFull) {
    for (auto& [vm, worker] : m_workers) {
      worker.m_loans.erase(aSender);
    }
  }
  for (const SlotDemand& demand : aRequest.m_demands) {
    const IncarnationId* const home = HomeOf(demand.m_vm);
    if (home->m_daemon != m_settings.m_daemon) {
      continue;
    }
    const int slots = m_settings.m_slotsPerWorker;
    m_workers[demand.m_vm].m_loans[aSender] = {
      std::max(demand.m_held, 0),
      std::clamp(demand.m_need, 0, slots),
      std::clamp(demand.m_desiredTokens, 0, slots),
    };
  }
}

void
SlotLedger::Lend(const IncarnationId& aSender,
                 const SlotRequest& aRequest,
                 absl::Time aNow,
                 SlotReply& aReply,
                 std::map<std::string, SlotReply>& aHints)
{
  if (!IsHomeReady()) {
    return;
  }
  for (const SlotDemand& demand : aRequest.m_demands) {
    const auto found = m_workers.find(demand.m_vm);
    if (found == m_workers.end()) {
      continue;
    }
    Worker& worker = found->second;
    std::erase_if(worker.m_quarantine, [aNow](const Quarantine& aQuarantine) {
      return aQuarantine.m_until <= aNow;
    });
    QuarantineUnknownLoans(worker, aNow);
    const auto shares = FairShares(worker, aNow);
    Loan& own = worker.m_loans.at(aSender);
    const bool isContended =
      std::ranges::any_of(worker.m_loans, [&](const auto& aLoan) {
        return aLoan.first != aSender &&
               aLoan.second.m_need > aLoan.second.m_tokens;
      });
    const int target = isContended ? shares.at(aSender)
                                   : std::max(own.m_need, own.m_desiredTokens);
    const int granted =
      std::clamp(target - own.m_tokens, 0, FreeTokens(worker, aNow));
    own.m_tokens += granted;
    if (granted > 0) {
      aReply.m_allowances.push_back({ demand.m_vm, own.m_tokens });
    }
    if (isContended && own.m_tokens > shares.at(aSender)) {
      aReply.m_hints.push_back({ demand.m_vm, shares.at(aSender) });
    }
    // Daemons above their fair share return tokens; those below it may request
    // more.
    const bool isShort = own.m_need > own.m_tokens;
    const int free = FreeTokens(worker, aNow);
    for (const auto& [holder, loan] : worker.m_loans) {
      const int share = shares.at(holder);
      const bool mustReturn = isShort && loan.m_tokens > share;
      const bool mayRequest =
        free > 0 && loan.m_need > loan.m_tokens && share > loan.m_tokens;
      if (holder != aSender && (mustReturn || mayRequest)) {
        const auto hint =
          aHints.try_emplace(holder.m_daemon, MakeReply(holder));
        hint.first->second.m_hints.push_back({ demand.m_vm, share });
      }
    }
  }
}

SlotReply
SlotLedger::MakeReply(const IncarnationId& aReceiver) const
{
  SlotReply reply;
  reply.m_viewDigest = m_viewDigest;
  reply.m_viewNumber = m_viewNumber;
  const auto link = m_holderLinks.find(aReceiver);
  reply.m_echoedViewNumber =
    link == m_holderLinks.end() ? 0 : link->second.m_viewNumber;
  return reply;
}

std::vector<SlotMessage>
SlotLedger::Deliver(std::vector<SlotMessage> aMessages, absl::Time aNow)
{
  std::vector<SlotMessage> outgoing;
  while (!aMessages.empty()) {
    std::vector<SlotMessage> next;
    for (SlotMessage& message : aMessages) {
      if (message.m_receiver != m_settings.m_daemon) {
        outgoing.push_back(std::move(message));
      } else if (const auto* request =
                   std::get_if<SlotRequest>(&message.m_body)) {
        std::ranges::move(HandleRequest(m_self, *request, aNow),
                          std::back_inserter(next));
      } else {
        OnReply(m_self, std::get<SlotReply>(message.m_body), aNow);
      }
    }
    aMessages = std::move(next);
  }
  return outgoing;
}

}
