#pragma once

#include "tenants/cap_ledger.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace bramleystall {

/** Fault that is built into the model, to show that the search finds it. */
enum class CapMutation
{
  None,
  /** The recipient counts a transfer before the donor's write is stored. */
  GrowBeforeShrink,
  /** The donor lowers its limit only when the write is acknowledged. */
  ShrinkOnAcknowledgement,
  /** A new owner transfers parts before it knows what runs. */
  TransferDuringTakeover,
  /** Shards ignore what runs above the limits of others. */
  IgnoreExcess,
};

/**
 * Two shards with their owners, and a third whose document stands still, which
 * divide one tenant's cap. Each task takes one core. It holds all that differs
 * between two reachable states, and can be copied.
 */
class CapModel
{
public:
  /** Caps of the successive versions of the configuration, in tasks. */
  static constexpr std::array<int, 3> kCaps = { 4, 2, 4 };

  explicit CapModel(CapMutation aMutation);

  /** The same, but shard 1 has requested the whole cap, and shard 0 has read
   * the request. */
  static CapModel AfterRequest(CapMutation aMutation);
  /** The same, but the cap has been lowered while shard 0 ran its part, and
   * only shard 0 has applied that. */
  static CapModel AfterLowering(CapMutation aMutation);

  /** All states that follow by one step of one party. */
  std::vector<CapModel> Successors() const;
  /** Text that distinguishes all states. */
  std::string Key() const;
  /** Whether a start has brought the tasks above the highest cap in force. */
  bool IsCapBroken() const { return m_isCapBroken; }

private:
  /** An owner that was replaced and may still start tasks. */
  struct Previous
  {
    CapLedger m_ledger;
    CapDocument m_view;
    int m_running = 0;
    std::size_t m_version = 0;
    /** Tasks that it may still start; its successor counts them. */
    int m_startsLeft = 2;
  };
  struct Shard
  {
    CapLedger m_ledger;
    /** Other shard's document as this owner knows it. */
    CapDocument m_view;
    CapDocument m_acknowledged;
    CapDocument m_stored;
    int m_running = 0;
    std::size_t m_version = 0;
    bool m_wasReplaced = false;
    std::optional<Previous> m_previous;

    /** What the current owner counts as running. */
    int Counted() const
    {
      return m_running + (m_previous ? m_previous->m_startsLeft : 0);
    }
  };

  bool StartAll(int aShard);
  bool StartByPrevious(int aShard);
  bool EndOne(int aShard);
  bool Update(int aShard, int aWaiting);
  /** The store applies the owner's newest document. Its response, and the
   * writes that the store has lost, change nothing. */
  bool Write(int aShard);
  bool Acknowledge(int aShard);
  bool Read(int aShard);
  bool Replace(int aShard);
  bool Resolve(int aShard);
  /** The operator stores the next version; aShard is not used. */
  bool Accept(int aShard);
  bool Configure(int aShard);
  /** The older versions are in force nowhere any more, and each shard knows
   * what ran above the other's limit when it changed. */
  bool Settle(int aShard);

  void View(int aShard, const CapDocument& aDocument);
  int LimitOf(const CapLedger& aLedger, std::size_t aVersion) const;
  void CheckCap();

  CapMutation m_mutation;
  std::vector<Shard> m_shards;
  /** Newest and oldest version that may be in force. */
  std::size_t m_accepted = 0;
  std::size_t m_oldest = 0;
  bool m_isCapBroken = false;
};

}
