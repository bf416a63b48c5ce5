#pragma once

#include "cluster/membership.h"
#include "cluster/messages.h"
#include "dispatch/slot_usage.h"

#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace bramleystall {

/** A slot message and its receiver. */
struct SlotMessage
{
  std::string m_receiver;
  std::variant<SlotRequest, SlotReply> m_body;
};

/** An incarnation that is dead or was replaced by a newer one. */
struct DeadHolder
{
  IncarnationId m_id;
  absl::Time m_lastHeard;
  /** It left no requests running. */
  bool m_isClean = false;
};

struct SlotLedgerSettings
{
  std::string m_daemon;
  int m_slotsPerWorker = 8;
  /** Longest time that a request may run at a worker. */
  absl::Duration m_maxDeadline = absl::Seconds(30);
};

/**
 * Distributes the slots of the workers of a data centre among its daemons as
 * tokens, one per slot. Each worker has a home daemon (rendezvous hash over the
 * view, which is the set of incarnations that are not dead). The home daemon
 * lends the tokens; every daemon, the home daemon included, requests them.
 *
 * When the view changes, a home daemon lends again only after every daemon of
 * the view has reported, in this view, what it holds. View numbers that both
 * sides echo prove that a report is not from an earlier view with the same
 * members. A daemon has one request to a home daemon outstanding and ignores
 * replies to earlier ones, so that lost messages lose no tokens.
 *
 * Tokens of dead daemons are quarantined until their last request must have
 * ended. When all daemons of a data centre fail at once, none is left that
 * knows these tokens, and a daemon that then starts lends tokens that may still
 * be in use until the longest deadline has passed. Not thread-safe.
 */
class SlotLedger
{
public:
  /** Sets the number of tokens that this daemon may use at a worker. Returns
   * the number that it still holds, which is the larger of the argument and the
   * requests in flight. */
  using SetAllowance = std::function<int(const std::string&, int)>;

  SlotLedger(SlotLedgerSettings aSettings, SetAllowance aSetAllowance);

  /**
   * Sets the view if it differs. The view is sorted and contains this daemon,
   * or is empty while this daemon has not joined and must not lend.
   */
  void SetView(const std::vector<IncarnationId>& aView,
               const std::vector<DeadHolder>& aDead,
               absl::Time aNow);

  /** Returns all tokens that are not in use; called after a rejoin. */
  void ReturnAll();

  /**
   * Returns unused tokens and requests needed ones. `aMayHold` is false for a
   * daemon that is not ready. Call it every 100 ms.
   */
  std::vector<SlotMessage> Tick(const std::vector<SlotUsage>& aUsages,
                                bool aMayHold,
                                absl::Time aNow);

  std::vector<SlotMessage> OnRequest(const IncarnationId& aSender,
                                     const SlotRequest& aRequest,
                                     absl::Time aNow);

  /** May request an early Tick; see WantsTick. */
  void OnReply(const IncarnationId& aSender,
               const SlotReply& aReply,
               absl::Time aNow);

  /** Whether a hint arrived that the next Tick acts on. */
  bool WantsTick() const { return m_wantsTick; }

  /** Tokens that this daemon holds at a worker. */
  int Held(const std::string& aVm) const;

  /** Tokens of dead holders that this home daemon keeps in quarantine. */
  int Quarantined(absl::Time aNow) const;

private:
  struct Holding
  {
    /** Home daemon in the current view. */
    IncarnationId m_home;
    /** Tokens counted as held: the limit, or more while excess requests run. */
    int m_held = 0;
    /** Tokens that new requests may use. */
    int m_limit = 0;
    int m_need = 0;
    int m_desiredTokens = 0;
    /** Value of m_held that the home daemon last confirmed. */
    int m_confirmedHeld = 0;
    /** Values in the last request to the home daemon. */
    int m_sentNeed = 0;
    int m_sentDesiredTokens = 0;
    absl::Time m_surplusSince = absl::InfiniteFuture();
    absl::Time m_lastRequested = absl::InfinitePast();
    absl::Time m_contendedUntil = absl::InfinitePast();
    std::optional<int> m_hint;
    /** The next request must report the need: the home daemon's last hint was
     * computed without it. */
    bool m_mustReport = false;
  };

  /** State of the exchange with one home daemon. */
  struct HomeLink
  {
    std::uint64_t m_viewNumber = 0;
    std::uint64_t m_sequence = 0;
    bool m_hasOutstandingRequest = false;
    bool m_isSynced = false;
    absl::Time m_sentAt;
    /** Workers of the outstanding request. */
    std::set<std::string> m_vms;
  };

  /** What this home daemon knows about one daemon of the view. */
  struct HolderLink
  {
    std::uint64_t m_viewNumber = 0;
    std::uint64_t m_sequence = 0;
    bool m_isSynced = false;
  };

  struct Loan
  {
    int m_tokens = 0;
    int m_need = 0;
    int m_desiredTokens = 0;
  };

  struct Quarantine
  {
    int m_tokens = 0;
    absl::Time m_until;
  };

  /** Tokens of a worker whose home daemon is this daemon. */
  struct Worker
  {
    std::map<IncarnationId, Loan> m_loans;
    std::vector<Quarantine> m_quarantine;
    /** Unknown loans, which another home daemon may have made to dead daemons,
     * have been quarantined. */
    bool m_hasCheckedUnknownLoans = false;
  };

  void UpdateDeadHolders(const std::vector<DeadHolder>& aDead);
  void MoveLoansOfDead(Worker& aWorker, absl::Time aNow) const;
  const IncarnationId* HomeOf(const std::string& aVm) const;
  absl::Time QuarantineEnd(const DeadHolder& aDead) const;
  bool IsHomeReady() const;
  void QuarantineUnknownLoans(Worker& aWorker, absl::Time aNow) const;
  int FreeTokens(const Worker& aWorker, absl::Time aNow) const;
  std::map<IncarnationId, int> FairShares(const Worker& aWorker,
                                          absl::Time aNow) const;
  void AdjustHolding(const SlotUsage& aUsage, bool aMayHold, absl::Time aNow);
  void Reduce(const std::string& aVm, Holding& aHolding, int aTokens);
  bool MustReport(const Holding& aHolding, absl::Time aNow) const;
  std::vector<SlotMessage> MakeRequests(absl::Time aNow);
  std::vector<SlotMessage> HandleRequest(const IncarnationId& aSender,
                                         const SlotRequest& aRequest,
                                         absl::Time aNow);
  /** A new view of a home daemon requires a full report to it. */
  void UpdateViewNumber(const IncarnationId& aHome, std::uint64_t aNumber);
  void AddHintsToAll(const IncarnationId& aExcept,
                     absl::Time aNow,
                     std::map<std::string, SlotReply>& aHints) const;
  void RecordDemands(const IncarnationId& aSender, const SlotRequest& aRequest);
  void Lend(const IncarnationId& aSender,
            const SlotRequest& aRequest,
            absl::Time aNow,
            SlotReply& aReply,
            std::map<std::string, SlotReply>& aHints);
  SlotReply MakeReply(const IncarnationId& aReceiver) const;
  /** Processes the messages to this daemon and returns the others. */
  std::vector<SlotMessage> Deliver(std::vector<SlotMessage> aMessages,
                                   absl::Time aNow);

  SlotLedgerSettings m_settings;
  SetAllowance m_setAllowance;
  std::vector<IncarnationId> m_view;
  std::uint64_t m_viewDigest = 0;
  std::uint64_t m_viewNumber = 0;
  std::vector<DeadHolder> m_deadHolders;
  /** Incarnations that were in a view or in the list of dead ones. */
  std::set<IncarnationId> m_knownIncarnations;
  IncarnationId m_self;
  std::map<std::string, Holding> m_holdings;
  std::map<IncarnationId, HomeLink> m_homeLinks;
  std::map<IncarnationId, HolderLink> m_holderLinks;
  std::map<std::string, Worker> m_workers;
  /** Grows across views, so that a reply matches its own request only. */
  std::uint64_t m_lastSequence = 0;
  bool m_wantsTick = false;
};

}
