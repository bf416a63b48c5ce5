#pragma once

#include "core/enum_names.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace bramleystall {

/** Documents that daemons pass on to each other. */
enum class DocumentKind
{
  Configuration,
  /** Fleet document of this data centre. */
  Fleet,
};

inline constexpr EnumNames<DocumentKind, 2> kDocumentKindNames = { {
  { DocumentKind::Configuration, "configuration" },
  { DocumentKind::Fleet, "fleet" },
} };

/** State that a daemon reports about itself in its heartbeats. */
struct LocalState
{
  std::uint64_t m_configurationVersion = 0;
  std::string m_configurationDigest;
  std::uint64_t m_fleetRevision = 0;
  /** Requests in flight at draining VMs, by VM. */
  std::map<std::string, int> m_inFlight;
  /** Probe reports by VM, see CombineObservations. */
  std::map<std::string, int> m_probeStates;
};

/** What a heartbeat tells about a member. */
struct MemberEntry
{
  std::string m_daemon;
  std::string m_dataCentre;
  /** Peer address, "127.0.0.1:port". */
  std::string m_address;
  std::uint64_t m_incarnation = 0;
  /** Unix milliseconds; see OwnerCandidate. */
  std::int64_t m_ownerFromMillis = 0;
  bool m_isDead = false;
  /** It left with nothing in flight, so its slots are free. */
  bool m_isClean = false;
  /** Milliseconds since its last heartbeat; used for dead members only. */
  std::int64_t m_ageMillis = 0;
};

struct Heartbeat
{
  std::uint64_t m_sequence = 0;
  /** Highest sequence number that the sender got from the receiver. */
  std::uint64_t m_acknowledged = 0;
  /** Wall clock of the sender in Unix milliseconds. */
  std::int64_t m_wallMillis = 0;
  /** Digest of the members that the sender knows. */
  std::uint64_t m_membersDigest = 0;
  LocalState m_state;
  /** All members that the sender knows; empty when the digests agree. */
  std::vector<MemberEntry> m_members;
};

struct DocumentRequest
{
  DocumentKind m_kind = DocumentKind::Configuration;
};

struct DocumentReply
{
  DocumentKind m_kind = DocumentKind::Configuration;
  std::string m_content;
};

struct ClaimRequest
{
  std::uint64_t m_number = 0;
  /** Incarnation that the sender regards as the owner of the id. */
  std::uint64_t m_ownerIncarnation = 0;
  std::uint64_t m_idHigh = 0;
  std::uint64_t m_idLow = 0;
};

/** Result of a claim request; ClaimOutcome lacks NotOwner and Blocked. */
enum class ClaimReplyCode
{
  Granted,
  Duplicate,
  NotOwner,
  TooOld,
  FromFuture,
  /** The owner grants nothing at the moment. */
  Blocked,
};

inline constexpr EnumNames<ClaimReplyCode, 6> kClaimReplyCodeNames = { {
  { ClaimReplyCode::Granted, "granted" },
  { ClaimReplyCode::Duplicate, "duplicate" },
  { ClaimReplyCode::NotOwner, "not_owner" },
  { ClaimReplyCode::TooOld, "too_old" },
  { ClaimReplyCode::FromFuture, "from_future" },
  { ClaimReplyCode::Blocked, "blocked" },
} };

struct ClaimReply
{
  std::uint64_t m_number = 0;
  ClaimReplyCode m_code = ClaimReplyCode::Blocked;
};

/** Tokens that one daemon holds and wants at one worker. */
struct SlotDemand
{
  std::string m_vm;
  /** Tokens that the sender holds. */
  int m_held = 0;
  /** Tokens that its running and waiting requests can use. */
  int m_need = 0;
  /** Tokens that it wants to hold, including a reserve. */
  int m_desiredTokens = 0;
};

struct SlotRequest
{
  /** Digest of the daemons among which the sender chooses home daemons. */
  std::uint64_t m_viewDigest = 0;
  /** Number of the sender's current view. */
  std::uint64_t m_viewNumber = 0;
  /** View number of the receiver that the sender last saw. */
  std::uint64_t m_echoedViewNumber = 0;
  /** Increases with each request of the sender. The receiver ignores a request
   * that is not newer than the last one it processed, and its reply repeats the
   * number so that the sender can match it to the request. */
  std::uint64_t m_sequence = 0;
  /** Whether the demands name every worker at which tokens are held. */
  bool m_isFull = false;
  std::vector<SlotDemand> m_demands;
};

/** Number of tokens at one worker. */
struct SlotTarget
{
  std::string m_vm;
  int m_tokens = 0;
};

struct SlotReply
{
  std::uint64_t m_viewDigest = 0;
  std::uint64_t m_viewNumber = 0;
  std::uint64_t m_echoedViewNumber = 0;
  /** Sequence number of the request; 0 when the message only has hints. */
  std::uint64_t m_sequence = 0;
  /** False when the receiver must send a full request first. */
  bool m_accepted = false;
  /** Tokens that the receiver holds from now on. */
  std::vector<SlotTarget> m_allowances;
  /** Fair shares: the receiver returns the excess, or requests more. */
  std::vector<SlotTarget> m_hints;
};

struct Goodbye
{
  /** The sender has nothing in flight. */
  bool m_isClean = false;
};

using MessageBody = std::variant<Heartbeat,
                                 DocumentRequest,
                                 DocumentReply,
                                 ClaimRequest,
                                 ClaimReply,
                                 SlotRequest,
                                 SlotReply,
                                 Goodbye>;

/** Kind of a message, in the order of the alternatives of MessageBody. */
enum class MessageKind
{
  Heartbeat,
  DocumentRequest,
  DocumentReply,
  ClaimRequest,
  ClaimReply,
  SlotRequest,
  SlotReply,
  Goodbye,
};

inline constexpr EnumNames<MessageKind, 8> kMessageKindNames = { {
  { MessageKind::Heartbeat, "heartbeat" },
  { MessageKind::DocumentRequest, "document_request" },
  { MessageKind::DocumentReply, "document_reply" },
  { MessageKind::ClaimRequest, "claim_request" },
  { MessageKind::ClaimReply, "claim_reply" },
  { MessageKind::SlotRequest, "slot_request" },
  { MessageKind::SlotReply, "slot_reply" },
  { MessageKind::Goodbye, "goodbye" },
} };

/** A message with its sender. */
struct Message
{
  std::string m_daemon;
  std::uint64_t m_incarnation = 0;
  MessageBody m_body;

  MessageKind Kind() const { return static_cast<MessageKind>(m_body.index()); }
};

/** MessagePack form: `[kind, daemon, incarnation, field...]`. */
std::string
EncodeMessage(const Message& aMessage);

/** Decodes a message; nothing when it is malformed. Never throws. */
std::optional<Message>
DecodeMessage(std::string_view aBytes);

}
