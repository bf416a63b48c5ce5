#pragma once

#include "cluster/claim_owner.h"
#include "cluster/messages.h"
#include "core/enum_names.h"

#include <absl/time/time.h>

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace bramleystall {

inline constexpr absl::Duration kHeartbeatInterval = absl::Milliseconds(500);
inline constexpr absl::Duration kRemoteHeartbeatInterval = absl::Seconds(2);
inline constexpr absl::Duration kSuspectAfter = absl::Seconds(2);
inline constexpr absl::Duration kDeadAfter = absl::Seconds(3);
inline constexpr absl::Duration kRemoteSuspectAfter = absl::Seconds(6);
inline constexpr absl::Duration kRemoteDeadAfter = absl::Seconds(10);
/** A longer gap between two calls of Advance shows a pause of the process. */
inline constexpr absl::Duration kPauseLimit = absl::Seconds(1);
/** A daemon that reaches no other one operates alone after this time. */
inline constexpr absl::Duration kJoinTimeout = absl::Milliseconds(1500);
/** Delay after which a new incarnation owns request ids. Longer than the time
 * until all members know the incarnation plus the clock skew. */
inline constexpr absl::Duration kOwnerFromDelay = absl::Seconds(10);
/** 8 daemons with 8 connections each fill the 64 connections of a worker. */
inline constexpr std::size_t kMaxActiveDaemons = 8;

enum class Liveness
{
  Alive,
  Suspected,
  Dead,
};

inline constexpr EnumNames<Liveness, 3> kLivenessNames = { {
  { Liveness::Alive, "alive" },
  { Liveness::Suspected, "suspected" },
  { Liveness::Dead, "dead" },
} };

/** What this daemon knows about another incarnation. */
struct Member
{
  MemberEntry m_entry;
  Liveness m_liveness = Liveness::Alive;
  /** Monotonic time of the last heartbeat, or when it became known. */
  absl::Time m_lastHeard;
  /** Whether a heartbeat came from the member itself. */
  bool m_heardDirectly = false;
  std::uint64_t m_lastSequence = 0;
  std::uint64_t m_membersDigest = 0;
  /** The member's clock minus this daemon's clock, in milliseconds. */
  std::int64_t m_clockAheadMillis = 0;
  /** Its heartbeats arrive, but ours have not reached it recently. */
  bool m_missesOurHeartbeats = false;
  /** For a dead member; see OwnerCandidate. */
  std::int64_t m_deadUntilMillis = 0;
  LocalState m_state;
};

/** A daemon and its incarnation. */
struct IncarnationId
{
  std::string m_daemon;
  std::uint64_t m_incarnation = 0;

  bool operator==(const IncarnationId&) const = default;
  std::strong_ordering operator<=>(const IncarnationId& aOther) const
  {
    return std::tie(m_daemon, m_incarnation) <=>
           std::tie(aOther.m_daemon, aOther.m_incarnation);
  }
};

struct MembershipSettings
{
  std::string m_daemon;
  std::string m_dataCentre;
  std::string m_address;
};

/** Action that the receiver of a heartbeat must take. */
enum class HeartbeatResult
{
  /** No action. */
  Known,
  /** Send a first heartbeat to the sender, which was not heard before or was
   * regarded as dead. */
  NewMember,
  /** Tell the sender that it is regarded as dead. */
  SenderIsDead,
  /** Drop the heartbeat: the incarnation is not known yet or outdated. */
  UnknownSender,
};

/**
 * The members that this daemon knows, with their liveness, and the state of its
 * own incarnation. All times are arguments: `aNow` is monotonic, `aWall` is the
 * wall clock. Not thread-safe.
 */
class Membership
{
public:
  Membership(MembershipSettings aSettings, absl::Time aNow, absl::Time aWall);

  /**
   * Advances the time; call it before every other use and at least every
   * 100 ms. Detects a pause of this process and failures of members. Returns
   * true when this daemon started a new incarnation.
   */
  bool Advance(absl::Time aNow, absl::Time aWall);

  /**
   * Applies a heartbeat. This daemon starts a new incarnation when the sender
   * regards the current one as dead.
   */
  HeartbeatResult Apply(const std::string& aDaemon,
                        std::uint64_t aIncarnation,
                        const Heartbeat& aHeartbeat,
                        absl::Time aNow,
                        absl::Time aWall);

  void ApplyGoodbye(const IncarnationId& aSender,
                    bool aIsClean,
                    absl::Time aNow,
                    absl::Time aWall);

  /** Makes a heartbeat for a member, or for a daemon that is not known yet. */
  Heartbeat MakeHeartbeat(const std::string& aReceiver,
                          const LocalState& aState,
                          absl::Time aWall) const;

  /** Assigns the sequence number of the next round of heartbeats. */
  void NextSequence(absl::Time aNow);

  std::uint64_t Incarnation() const { return m_self.m_incarnation; }
  IncarnationId Self() const
  {
    return { m_self.m_daemon, m_self.m_incarnation };
  }
  const MemberEntry& SelfEntry() const { return m_self; }

  /** Other members by daemon, each with its latest incarnation. */
  const std::map<std::string, Member>& Others() const { return m_others; }

  /** Earlier incarnations in this data centre, including this daemon's. */
  const std::vector<Member>& EarlierIncarnations() const
  {
    return m_earlierIncarnations;
  }

  /** Sorted incarnations in this data centre that are not dead. */
  std::vector<IncarnationId> LocalView() const;

  /** Incarnations of this data centre that own ids now or did so earlier. */
  std::vector<OwnerCandidate> OwnerCandidates() const;

  bool IsLocal(const Member& aMember) const
  {
    return aMember.m_entry.m_dataCentre == m_self.m_dataCentre;
  }

  /** Whether the current incarnation has joined: a local member has received
   * its heartbeats, or kJoinTimeout has passed. */
  bool HasJoined() const { return m_hasJoined; }

  /** Whether this daemon is among the kMaxActiveDaemons that may serve. */
  bool IsActive() const;

  /** Whether this daemon may grant claims and request them from others. */
  bool MayClaim(absl::Time aNow) const;

  /** Whether the time since the last Advance shows a pause. */
  bool IsPaused(absl::Time aNow) const
  {
    return aNow - m_lastAdvance > kPauseLimit;
  }

  /** Number of new incarnations because of pauses. */
  std::uint64_t Pauses() const { return m_pauses; }

  /** Number of new incarnations because a member reported this one dead. */
  std::uint64_t ReportedDead() const { return m_reportedDead; }

private:
  void Rejoin(std::uint64_t aAbove, absl::Time aNow, absl::Time aWall);
  void TryJoin(absl::Time aNow, absl::Time aWall);
  void ApplyEntry(const MemberEntry& aEntry, absl::Time aNow, absl::Time aWall);
  void ApplyKnownEntry(Member& aMember,
                       const MemberEntry& aEntry,
                       absl::Time aNow,
                       absl::Time aWall);
  void ApplySelfEntry(const MemberEntry& aEntry,
                      absl::Time aNow,
                      absl::Time aWall);
  void ApplyEarlierEntry(const MemberEntry& aEntry,
                         absl::Time aNow,
                         absl::Time aWall);
  void MarkDead(Member& aMember, absl::Time aWall);
  void MarkDeadWithAge(Member& aMember,
                       absl::Duration aAge,
                       absl::Time aNow,
                       absl::Time aWall);
  void Retire(Member aMember, absl::Time aWall);
  void UpdateLiveness(absl::Time aNow, absl::Time aWall);
  void RemoveExpiredMembers(absl::Time aNow);
  void RefreshDigest();
  /** Unix milliseconds by the clock of this data centre that is furthest ahead,
   * within the skew allowance. */
  std::int64_t LatestClockMillis(absl::Time aWall) const;
  std::vector<MemberEntry> Entries() const;

  MemberEntry m_self;
  absl::Time m_lastAdvance;
  absl::Time m_incarnationStart;
  bool m_hasJoined = false;
  std::uint64_t m_sequence = 0;
  /** Sequence number at the start of the incarnation. */
  std::uint64_t m_firstSequence = 0;
  /** Times at which recent sequence numbers were first sent. */
  std::deque<std::pair<std::uint64_t, absl::Time>> m_sentSequences;
  std::map<std::string, Member> m_others;
  std::vector<Member> m_earlierIncarnations;
  /** Digests of the members known, for this data centre and for others. */
  std::uint64_t m_localDigest = 0;
  std::uint64_t m_remoteDigest = 0;
  /** The set of members changed since the digests were computed. */
  bool m_isDigestStale = true;
  std::uint64_t m_pauses = 0;
  std::uint64_t m_reportedDead = 0;
};

}
