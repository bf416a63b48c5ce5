#include "cluster/membership.h"

#include "cluster/claim_table.h"
#include "cluster/rendezvous.h"
#include "core/clock.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace bramleystall {

namespace {

/** The low bits of an incarnation count the rejoins of one process. */
constexpr unsigned kRejoinBits = 16;
/** A member that receives our heartbeats echoes a sequence number whose age is
 * at most this. */
constexpr absl::Duration kMaxEchoAge = absl::Seconds(2);
/** Ownership depends on dead incarnations while their ids are accepted. */
const absl::Duration kEarlierIncarnationRetention =
  kClaimRetention + absl::Minutes(1);
/** Longer than a partition of an hour between regions. */
constexpr absl::Duration kDeadRetention = absl::Hours(2);
constexpr absl::Duration kSentSequenceRetention = absl::Seconds(10);

std::uint64_t
FirstIncarnation(absl::Time aWall)
{
  return static_cast<std::uint64_t>(ToMillis(aWall)) << kRejoinBits;
}

bool
IsSameProcess(std::uint64_t aOne, std::uint64_t aOther)
{
  return (aOne >> kRejoinBits) == (aOther >> kRejoinBits);
}

}

Membership::Membership(MembershipSettings aSettings,
                       absl::Time aNow,
                       absl::Time aWall)
  : m_lastAdvance(aNow)
  , m_incarnationStart(aNow)
{
  m_self.m_daemon = std::move(aSettings.m_daemon);
  m_self.m_dataCentre = std::move(aSettings.m_dataCentre);
  m_self.m_address = std::move(aSettings.m_address);
  m_self.m_incarnation = FirstIncarnation(aWall);
  m_self.m_ownerFromMillis = ToMillis(aWall + kOwnerFromDelay);
  RefreshDigest();
}

bool
Membership::Advance(absl::Time aNow, absl::Time aWall)
{
  const bool paused = IsPaused(aNow);
  m_lastAdvance = std::max(m_lastAdvance, aNow);
  if (paused) {
    // The heartbeats of the others were not processed during the pause.
    for (auto& [daemon, member] : m_others) {
      member.m_lastHeard = aNow;
    }
    ++m_pauses;
    Rejoin(m_self.m_incarnation, aNow, aWall);
  }
  UpdateLiveness(aNow, aWall);
  RemoveExpiredMembers(aNow);
  RefreshDigest();
  TryJoin(aNow, aWall);
  return paused;
}

HeartbeatResult
Membership::Apply(const std::string& aDaemon,
                  std::uint64_t aIncarnation,
                  const Heartbeat& aHeartbeat,
                  absl::Time aNow,
                  absl::Time aWall)
{
  for (const MemberEntry& entry : aHeartbeat.m_members) {
    ApplyEntry(entry, aNow, aWall);
  }
  const auto found = m_others.find(aDaemon);
  if (found == m_others.end() ||
      found->second.m_entry.m_incarnation != aIncarnation) {
    RefreshDigest();
    return HeartbeatResult::UnknownSender;
  }
  Member& member = found->second;
  member.m_membersDigest = aHeartbeat.m_membersDigest;
  if (member.m_liveness == Liveness::Dead && IsLocal(member)) {
    RefreshDigest();
    return HeartbeatResult::SenderIsDead;
  }
  const bool isNew =
    !member.m_heardDirectly || member.m_liveness == Liveness::Dead;
  m_isDigestStale |= member.m_liveness == Liveness::Dead;
  member.m_liveness = Liveness::Alive;
  member.m_entry.m_isDead = false;
  member.m_lastHeard = aNow;
  member.m_heardDirectly = true;
  member.m_lastSequence =
    std::max(member.m_lastSequence, aHeartbeat.m_sequence);
  member.m_clockAheadMillis = aHeartbeat.m_wallMillis - ToMillis(aWall);
  member.m_state = aHeartbeat.m_state;
  const auto echoed =
    std::ranges::find_if(m_sentSequences, [&](const auto& aSent) {
      return aSent.first >= aHeartbeat.m_acknowledged;
    });
  const bool hasRecentEcho =
    echoed != m_sentSequences.end() && aNow - echoed->second <= kMaxEchoAge;
  // A new member has had no time to receive our heartbeats.
  member.m_missesOurHeartbeats =
    !isNew && !hasRecentEcho && aNow - m_incarnationStart > kMaxEchoAge;
  if (IsLocal(member) && aHeartbeat.m_acknowledged > m_firstSequence) {
    m_hasJoined = true;
  }
  RefreshDigest();
  return isNew ? HeartbeatResult::NewMember : HeartbeatResult::Known;
}

void
Membership::ApplyGoodbye(const IncarnationId& aSender,
                         bool aIsClean,
                         absl::Time aNow,
                         absl::Time aWall)
{
  const auto found = m_others.find(aSender.m_daemon);
  if (found == m_others.end() ||
      found->second.m_entry.m_incarnation != aSender.m_incarnation) {
    return;
  }
  found->second.m_lastHeard = aNow;
  found->second.m_entry.m_isClean = aIsClean;
  MarkDead(found->second, aWall);
  RefreshDigest();
}

Heartbeat
Membership::MakeHeartbeat(const std::string& aReceiver,
                          const LocalState& aState,
                          absl::Time aWall) const
{
  Heartbeat heartbeat;
  heartbeat.m_sequence = m_sequence;
  heartbeat.m_wallMillis = ToMillis(aWall);
  heartbeat.m_state = aState;
  const auto receiver = m_others.find(aReceiver);
  const bool isRemote =
    receiver != m_others.end() && !IsLocal(receiver->second);
  heartbeat.m_membersDigest = isRemote ? m_remoteDigest : m_localDigest;
  if (receiver != m_others.end()) {
    heartbeat.m_acknowledged = receiver->second.m_lastSequence;
  }
  if (receiver == m_others.end() ||
      receiver->second.m_membersDigest != heartbeat.m_membersDigest) {
    heartbeat.m_members = Entries();
  }
  return heartbeat;
}

void
Membership::NextSequence(absl::Time aNow)
{
  m_sentSequences.emplace_back(++m_sequence, aNow);
  while (aNow - m_sentSequences.front().second > kSentSequenceRetention) {
    m_sentSequences.pop_front();
  }
}

std::vector<IncarnationId>
Membership::LocalView() const
{
  std::vector<IncarnationId> view = { Self() };
  for (const auto& [daemon, member] : m_others) {
    if (IsLocal(member) && member.m_liveness != Liveness::Dead) {
      view.push_back({ daemon, member.m_entry.m_incarnation });
    }
  }
  std::ranges::sort(view);
  return view;
}

std::vector<OwnerCandidate>
Membership::OwnerCandidates() const
{
  std::vector<OwnerCandidate> candidates;
  const auto add = [&candidates](const Member& aMember) {
    OwnerCandidate candidate{ aMember.m_entry.m_daemon,
                              aMember.m_entry.m_incarnation,
                              aMember.m_entry.m_ownerFromMillis,
                              std::nullopt };
    if (aMember.m_liveness == Liveness::Dead) {
      candidate.m_deadUntilMillis = aMember.m_deadUntilMillis;
    }
    candidates.push_back(std::move(candidate));
  };
  candidates.push_back({ m_self.m_daemon,
                         m_self.m_incarnation,
                         m_self.m_ownerFromMillis,
                         std::nullopt });
  for (const auto& [daemon, member] : m_others) {
    if (IsLocal(member)) {
      add(member);
    }
  }
  std::ranges::for_each(m_earlierIncarnations, add);
  return candidates;
}

bool
Membership::IsActive() const
{
  const auto seniority = [](const MemberEntry& aEntry) {
    return std::pair(aEntry.m_ownerFromMillis, aEntry.m_daemon);
  };
  const auto seniors = std::ranges::count_if(m_others, [&](const auto& aOther) {
    const Member& member = aOther.second;
    return IsLocal(member) && member.m_liveness != Liveness::Dead &&
           seniority(member.m_entry) < seniority(m_self);
  });
  return static_cast<std::size_t>(seniors) < kMaxActiveDaemons;
}

bool
Membership::MayClaim(absl::Time aNow) const
{
  if (!m_hasJoined || IsPaused(aNow)) {
    return false;
  }
  return std::ranges::none_of(m_others, [&](const auto& aOther) {
    const Member& member = aOther.second;
    return IsLocal(member) && member.m_liveness == Liveness::Alive &&
           member.m_missesOurHeartbeats;
  });
}

void
Membership::Rejoin(std::uint64_t aAbove, absl::Time aNow, absl::Time aWall)
{
  Member earlier;
  earlier.m_entry = m_self;
  earlier.m_lastHeard = aNow;
  Retire(std::move(earlier), aWall);
  // Peers that learn of the new incarnation rely on this process to report its
  // slots, so no slots of the earlier incarnation need a quarantine.
  m_earlierIncarnations.back().m_entry.m_isClean = true;
  m_self.m_incarnation = std::max(aAbove, m_self.m_incarnation) + 1;
  m_self.m_ownerFromMillis = ToMillis(aWall + kOwnerFromDelay);
  m_incarnationStart = aNow;
  m_firstSequence = m_sequence;
  m_hasJoined = false;
  for (auto& [daemon, member] : m_others) {
    member.m_missesOurHeartbeats = false;
  }
  m_isDigestStale = true;
}

void
Membership::TryJoin(absl::Time aNow, absl::Time aWall)
{
  if (!m_hasJoined && aNow - m_incarnationStart < kJoinTimeout) {
    return;
  }
  m_hasJoined = true;
  // A member whose clock is ahead may still grant ids that were created that
  // much later, so ownership starts later. The time is only ever raised:
  // members that know the lower one send claims too early and are refused.
  if (aNow - m_incarnationStart <= kJoinTimeout + kPauseLimit) {
    const std::int64_t started =
      LatestClockMillis(aWall) -
      absl::ToInt64Milliseconds(aNow - m_incarnationStart);
    m_self.m_ownerFromMillis =
      std::max(m_self.m_ownerFromMillis,
               started + absl::ToInt64Milliseconds(kOwnerFromDelay));
  }
}

void
Membership::ApplyEntry(const MemberEntry& aEntry,
                       absl::Time aNow,
                       absl::Time aWall)
{
  const absl::Duration age = absl::Milliseconds(aEntry.m_ageMillis);
  if (aEntry.m_isDead && age > kDeadRetention) {
    return;
  }
  if (aEntry.m_daemon == m_self.m_daemon) {
    ApplySelfEntry(aEntry, aNow, aWall);
    return;
  }
  const auto found = m_others.find(aEntry.m_daemon);
  if (found != m_others.end() &&
      aEntry.m_incarnation <= found->second.m_entry.m_incarnation) {
    ApplyKnownEntry(found->second, aEntry, aNow, aWall);
    return;
  }
  if (found != m_others.end()) {
    Member earlier = std::move(found->second);
    m_others.erase(found);
    if (IsSameProcess(earlier.m_entry.m_incarnation, aEntry.m_incarnation)) {
      earlier.m_entry.m_isClean = true;
    }
    if (IsLocal(earlier)) {
      Retire(std::move(earlier), aWall);
    }
  }
  Member member;
  member.m_entry = aEntry;
  member.m_entry.m_isDead = false;
  member.m_lastHeard = aNow;
  if (aEntry.m_isDead) {
    MarkDeadWithAge(member, age, aNow, aWall);
  }
  m_others.emplace(aEntry.m_daemon, std::move(member));
  m_isDigestStale = true;
}

void
Membership::ApplySelfEntry(const MemberEntry& aEntry,
                           absl::Time aNow,
                           absl::Time aWall)
{
  if (aEntry.m_incarnation < m_self.m_incarnation) {
    ApplyEarlierEntry(aEntry, aNow, aWall);
    return;
  }
  const bool isCurrent = aEntry.m_incarnation == m_self.m_incarnation;
  if (isCurrent && !aEntry.m_isDead) {
    return;
  }
  ++m_reportedDead;
  Rejoin(aEntry.m_incarnation, aNow, aWall);
}

void
Membership::ApplyEarlierEntry(const MemberEntry& aEntry,
                              absl::Time aNow,
                              absl::Time aWall)
{
  const bool isLocal = aEntry.m_dataCentre == m_self.m_dataCentre;
  const bool isKnown =
    std::ranges::any_of(m_earlierIncarnations, [&](const Member& aEarlier) {
      return aEarlier.m_entry.m_daemon == aEntry.m_daemon &&
             aEarlier.m_entry.m_incarnation == aEntry.m_incarnation;
    });
  const absl::Duration age = absl::Milliseconds(aEntry.m_ageMillis);
  if (!aEntry.m_isDead || !isLocal || isKnown ||
      age > kEarlierIncarnationRetention) {
    return;
  }
  Member earlier;
  earlier.m_entry = aEntry;
  MarkDeadWithAge(earlier, age, aNow, aWall);
  m_earlierIncarnations.push_back(std::move(earlier));
}

void
Membership::ApplyKnownEntry(Member& aMember,
                            const MemberEntry& aEntry,
                            absl::Time aNow,
                            absl::Time aWall)
{
  if (aEntry.m_incarnation < aMember.m_entry.m_incarnation) {
    ApplyEarlierEntry(aEntry, aNow, aWall);
    return;
  }
  aMember.m_entry.m_ownerFromMillis =
    std::max(aMember.m_entry.m_ownerFromMillis, aEntry.m_ownerFromMillis);
  const bool isDead = aMember.m_liveness == Liveness::Dead;
  // A reported failure also applies to a member whose heartbeats still arrive:
  // the members of a data centre must agree on their views, and the daemon
  // rejoins anyway.
  if (aEntry.m_isDead && !isDead && IsLocal(aMember)) {
    aMember.m_entry.m_isClean = aEntry.m_isClean;
    MarkDead(aMember, aWall);
  }
}

void
Membership::MarkDead(Member& aMember, absl::Time aWall)
{
  if (aMember.m_liveness == Liveness::Dead) {
    return;
  }
  aMember.m_deadUntilMillis =
    LatestClockMillis(aWall) + absl::ToInt64Milliseconds(kClockSkewAllowance);
  aMember.m_liveness = Liveness::Dead;
  aMember.m_entry.m_isDead = true;
  m_isDigestStale = true;
}

void
Membership::MarkDeadWithAge(Member& aMember,
                            absl::Duration aAge,
                            absl::Time aNow,
                            absl::Time aWall)
{
  MarkDead(aMember, aWall);
  aMember.m_lastHeard = aNow - aAge;
  // Members that saw the failure detected it at about this time.
  const std::int64_t detected =
    LatestClockMillis(aWall) - absl::ToInt64Milliseconds(aAge - kDeadAfter);
  aMember.m_deadUntilMillis =
    std::min(aMember.m_deadUntilMillis,
             detected + absl::ToInt64Milliseconds(kClockSkewAllowance));
}

void
Membership::Retire(Member aMember, absl::Time aWall)
{
  MarkDead(aMember, aWall);
  m_earlierIncarnations.push_back(std::move(aMember));
}

void
Membership::UpdateLiveness(absl::Time aNow, absl::Time aWall)
{
  for (auto& [daemon, member] : m_others) {
    if (member.m_liveness == Liveness::Dead) {
      continue;
    }
    const bool isLocal = IsLocal(member);
    const absl::Duration silence = aNow - member.m_lastHeard;
    if (silence >= (isLocal ? kDeadAfter : kRemoteDeadAfter)) {
      MarkDead(member, aWall);
    } else if (silence >= (isLocal ? kSuspectAfter : kRemoteSuspectAfter)) {
      member.m_liveness = Liveness::Suspected;
    }
  }
}

void
Membership::RemoveExpiredMembers(absl::Time aNow)
{
  const auto isOld = [aNow](const Member& aMember, absl::Duration aRetention) {
    return aMember.m_liveness == Liveness::Dead &&
           aNow - aMember.m_lastHeard > aRetention;
  };
  const auto removed =
    std::erase_if(m_earlierIncarnations,
                  [&](const Member& aEarlier) {
                    return isOld(aEarlier, kEarlierIncarnationRetention);
                  }) +
    std::erase_if(m_others, [&](const auto& aOther) {
      return isOld(aOther.second, kDeadRetention);
    });
  m_isDigestStale |= removed > 0;
}

void
Membership::RefreshDigest()
{
  if (!std::exchange(m_isDigestStale, false)) {
    return;
  }
  // Only the members of this data centre need to agree on failures and on
  // earlier incarnations. Data centres that are partitioned from each other
  // disagree on failures, which must not make them send the list of members in
  // every heartbeat.
  std::map<std::string, std::uint64_t> latest = { { m_self.m_daemon,
                                                    m_self.m_incarnation } };
  std::vector<std::string> dead;
  const auto addDead = [&](const Member& aMember) {
    if (IsLocal(aMember) && aMember.m_liveness == Liveness::Dead) {
      dead.push_back(absl::StrCat(
        aMember.m_entry.m_daemon, " ", aMember.m_entry.m_incarnation));
    }
  };
  for (const auto& [daemon, member] : m_others) {
    latest[daemon] = member.m_entry.m_incarnation;
    addDead(member);
  }
  std::ranges::for_each(m_earlierIncarnations, addDead);
  std::ranges::sort(dead);
  std::string text;
  for (const auto& [daemon, incarnation] : latest) {
    absl::StrAppend(&text, daemon, " ", incarnation, "\n");
  }
  m_remoteDigest = DigestOf(text);
  absl::StrAppend(&text, absl::StrJoin(dead, "\n"));
  m_localDigest = DigestOf(text);
}

std::int64_t
Membership::LatestClockMillis(absl::Time aWall) const
{
  std::int64_t ahead = 0;
  for (const auto& [daemon, member] : m_others) {
    if (IsLocal(member)) {
      ahead = std::max(ahead, member.m_clockAheadMillis);
    }
  }
  // A clock beyond the allowance is wrong; it must not delay ownership.
  const std::int64_t limit = absl::ToInt64Milliseconds(kClockSkewAllowance);
  return ToMillis(aWall) + std::min(ahead, limit);
}

std::vector<MemberEntry>
Membership::Entries() const
{
  std::vector<MemberEntry> entries = { m_self };
  const auto add = [&](const Member& aMember) {
    entries.push_back(aMember.m_entry);
    entries.back().m_ageMillis =
      absl::ToInt64Milliseconds(m_lastAdvance - aMember.m_lastHeard);
  };
  for (const auto& [daemon, member] : m_others) {
    add(member);
  }
  std::ranges::for_each(m_earlierIncarnations, add);
  return entries;
}

}
