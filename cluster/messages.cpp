#include "cluster/messages.h"

#include "core/error.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>

namespace bramleystall {

namespace {

using nlohmann::json;

/** Messages nest four arrays at most; the decoder recurses for each level. */
constexpr int kMaxDepth = 8;
constexpr std::size_t kHeaderFields = 3;

/** Rejects nesting that would exhaust the stack of the decoder. */
class DepthCheck : public nlohmann::json_sax<json>
{
public:
  bool null() override { return true; }
  bool boolean(bool /*aValue*/) override { return true; }
  bool number_integer(number_integer_t /*aValue*/) override { return true; }
  bool number_unsigned(number_unsigned_t /*aValue*/) override { return true; }
  bool number_float(number_float_t /*aValue*/,
                    const string_t& /*aText*/) override
  {
    return true;
  }
  bool string(string_t& /*aValue*/) override { return true; }
  bool binary(binary_t& /*aValue*/) override { return true; }
  bool start_object(std::size_t /*aSize*/) override { return Enter(); }
  bool key(string_t& /*aKey*/) override { return true; }
  bool end_object() override { return Leave(); }
  bool start_array(std::size_t /*aSize*/) override { return Enter(); }
  bool end_array() override { return Leave(); }
  bool parse_error(std::size_t /*aPosition*/,
                   const std::string& /*aToken*/,
                   const nlohmann::detail::exception& /*aError*/) override
  {
    return false;
  }

private:
  bool Enter() { return ++m_depth <= kMaxDepth; }
  bool Leave()
  {
    --m_depth;
    return true;
  }

  int m_depth = 0;
};

/** Reads the fields of an array in order; throws json::exception or Error. */
class FieldReader
{
public:
  explicit FieldReader(const json& aArray, std::size_t aFirst = 0)
    : m_array(aArray)
    , m_next(aFirst)
  {
    if (!aArray.is_array()) {
      throw Error(ErrorCode::InvalidInput, "message record is not an array");
    }
  }

  const json& Next() { return m_array.at(m_next++); }

  template<typename Value>
  FieldReader& Read(Value& aValue)
  {
    Next().get_to(aValue);
    return *this;
  }

  template<typename Enum, std::size_t kCount>
  FieldReader& ReadEnum(Enum& aValue, const EnumNames<Enum, kCount>& aNames)
  {
    const auto number = Next().get<std::uint64_t>();
    if (number >= kCount) {
      throw Error(ErrorCode::InvalidInput, "message has an unknown enumerator");
    }
    aValue = aNames[number].first;
    return *this;
  }

  template<typename Value>
  FieldReader& ReadList(std::vector<Value>& aValues)
  {
    const json& list = Next();
    if (!list.is_array()) {
      throw Error(ErrorCode::InvalidInput, "message list is not an array");
    }
    aValues.reserve(list.size());
    std::ranges::transform(
      list, std::back_inserter(aValues), [](const json& aItem) {
        FieldReader reader(aItem);
        Value value;
        ReadFields(reader, value);
        return value;
      });
    return *this;
  }

private:
  const json& m_array;
  std::size_t m_next;
};

/** Collects the fields of an array in order. */
class FieldWriter
{
public:
  template<typename Value>
  FieldWriter& Write(const Value& aValue)
  {
    m_fields.push_back(aValue);
    return *this;
  }

  template<typename Value>
  FieldWriter& WriteList(const std::vector<Value>& aValues)
  {
    json list = json::array();
    for (const Value& value : aValues) {
      FieldWriter writer;
      WriteFields(writer, value);
      list.push_back(std::move(writer.m_fields));
    }
    m_fields.push_back(std::move(list));
    return *this;
  }

  const json& Fields() const { return m_fields; }

private:
  json m_fields = json::array();
};

template<typename Enum>
int
NumberOf(Enum aValue)
{
  return static_cast<int>(aValue);
}

void
WriteFields(FieldWriter& aOut, const MemberEntry& aEntry)
{
  aOut.Write(aEntry.m_daemon)
    .Write(aEntry.m_dataCentre)
    .Write(aEntry.m_address)
    .Write(aEntry.m_incarnation)
    .Write(aEntry.m_ownerFromMillis)
    .Write(aEntry.m_isDead)
    .Write(aEntry.m_isClean)
    .Write(aEntry.m_ageMillis);
}

void
ReadFields(FieldReader& aIn, MemberEntry& aEntry)
{
  aIn.Read(aEntry.m_daemon)
    .Read(aEntry.m_dataCentre)
    .Read(aEntry.m_address)
    .Read(aEntry.m_incarnation)
    .Read(aEntry.m_ownerFromMillis)
    .Read(aEntry.m_isDead)
    .Read(aEntry.m_isClean)
    .Read(aEntry.m_ageMillis);
}

void
WriteFields(FieldWriter& aOut, const SlotDemand& aDemand)
{
  aOut.Write(aDemand.m_vm)
    .Write(aDemand.m_held)
    .Write(aDemand.m_need)
    .Write(aDemand.m_desiredTokens);
}

void
ReadFields(FieldReader& aIn, SlotDemand& aDemand)
{
  aIn.Read(aDemand.m_vm)
    .Read(aDemand.m_held)
    .Read(aDemand.m_need)
    .Read(aDemand.m_desiredTokens);
}

void
WriteFields(FieldWriter& aOut, const SlotTarget& aTarget)
{
  aOut.Write(aTarget.m_vm).Write(aTarget.m_tokens);
}

void
ReadFields(FieldReader& aIn, SlotTarget& aTarget)
{
  aIn.Read(aTarget.m_vm).Read(aTarget.m_tokens);
}

void
WriteFields(FieldWriter& aOut, const Heartbeat& aBody)
{
  aOut.Write(aBody.m_sequence)
    .Write(aBody.m_acknowledged)
    .Write(aBody.m_wallMillis)
    .Write(aBody.m_membersDigest)
    .Write(aBody.m_state.m_configurationVersion)
    .Write(aBody.m_state.m_configurationDigest)
    .Write(aBody.m_state.m_fleetRevision)
    .Write(aBody.m_state.m_inFlight)
    .Write(aBody.m_state.m_probeStates)
    .WriteList(aBody.m_members);
}

void
ReadFields(FieldReader& aIn, Heartbeat& aBody)
{
  aIn.Read(aBody.m_sequence)
    .Read(aBody.m_acknowledged)
    .Read(aBody.m_wallMillis)
    .Read(aBody.m_membersDigest)
    .Read(aBody.m_state.m_configurationVersion)
    .Read(aBody.m_state.m_configurationDigest)
    .Read(aBody.m_state.m_fleetRevision)
    .Read(aBody.m_state.m_inFlight)
    .Read(aBody.m_state.m_probeStates)
    .ReadList(aBody.m_members);
}

void
WriteFields(FieldWriter& aOut, const DocumentRequest& aBody)
{
  aOut.Write(NumberOf(aBody.m_kind));
}

void
ReadFields(FieldReader& aIn, DocumentRequest& aBody)
{
  aIn.ReadEnum(aBody.m_kind, kDocumentKindNames);
}

void
WriteFields(FieldWriter& aOut, const DocumentReply& aBody)
{
  aOut.Write(NumberOf(aBody.m_kind)).Write(aBody.m_content);
}

void
ReadFields(FieldReader& aIn, DocumentReply& aBody)
{
  aIn.ReadEnum(aBody.m_kind, kDocumentKindNames).Read(aBody.m_content);
}

void
WriteFields(FieldWriter& aOut, const ClaimRequest& aBody)
{
  aOut.Write(aBody.m_number)
    .Write(aBody.m_ownerIncarnation)
    .Write(aBody.m_idHigh)
    .Write(aBody.m_idLow);
}

void
ReadFields(FieldReader& aIn, ClaimRequest& aBody)
{
  aIn.Read(aBody.m_number)
    .Read(aBody.m_ownerIncarnation)
    .Read(aBody.m_idHigh)
    .Read(aBody.m_idLow);
}

void
WriteFields(FieldWriter& aOut, const ClaimReply& aBody)
{
  aOut.Write(aBody.m_number).Write(NumberOf(aBody.m_code));
}

void
ReadFields(FieldReader& aIn, ClaimReply& aBody)
{
  aIn.Read(aBody.m_number).ReadEnum(aBody.m_code, kClaimReplyCodeNames);
}

void
WriteFields(FieldWriter& aOut, const SlotRequest& aBody)
{
  aOut.Write(aBody.m_viewDigest)
    .Write(aBody.m_viewNumber)
    .Write(aBody.m_echoedViewNumber)
    .Write(aBody.m_sequence)
    .Write(aBody.m_isFull)
    .WriteList(aBody.m_demands);
}

void
ReadFields(FieldReader& aIn, SlotRequest& aBody)
{
  aIn.Read(aBody.m_viewDigest)
    .Read(aBody.m_viewNumber)
    .Read(aBody.m_echoedViewNumber)
    .Read(aBody.m_sequence)
    .Read(aBody.m_isFull)
    .ReadList(aBody.m_demands);
}

void
WriteFields(FieldWriter& aOut, const SlotReply& aBody)
{
  aOut.Write(aBody.m_viewDigest)
    .Write(aBody.m_viewNumber)
    .Write(aBody.m_echoedViewNumber)
    .Write(aBody.m_sequence)
    .Write(aBody.m_accepted)
    .WriteList(aBody.m_allowances)
    .WriteList(aBody.m_hints);
}

void
ReadFields(FieldReader& aIn, SlotReply& aBody)
{
  aIn.Read(aBody.m_viewDigest)
    .Read(aBody.m_viewNumber)
    .Read(aBody.m_echoedViewNumber)
    .Read(aBody.m_sequence)
    .Read(aBody.m_accepted)
    .ReadList(aBody.m_allowances)
    .ReadList(aBody.m_hints);
}

void
WriteFields(FieldWriter& aOut, const Goodbye& aBody)
{
  aOut.Write(aBody.m_isClean);
}

void
ReadFields(FieldReader& aIn, Goodbye& aBody)
{
  aIn.Read(aBody.m_isClean);
}

/** An empty body of the alternative with this index. */
template<std::size_t kIndex = 0>
MessageBody
EmptyBody(std::size_t aIndex)
{
  if constexpr (kIndex + 1 < std::variant_size_v<MessageBody>) {
    if (aIndex != kIndex) {
      return EmptyBody<kIndex + 1>(aIndex);
    }
  }
  return MessageBody(std::in_place_index<kIndex>);
}

Message
ReadMessage(const json& aFields)
{
  FieldReader header(aFields);
  MessageKind kind = MessageKind::Heartbeat;
  Message message;
  header.ReadEnum(kind, kMessageKindNames)
    .Read(message.m_daemon)
    .Read(message.m_incarnation);
  message.m_body = EmptyBody(static_cast<std::size_t>(kind));
  FieldReader reader(aFields, kHeaderFields);
  std::visit([&reader](auto& aBody) { ReadFields(reader, aBody); },
             message.m_body);
  return message;
}

}

std::string
EncodeMessage(const Message& aMessage)
{
  FieldWriter fields;
  fields.Write(NumberOf(aMessage.Kind()))
    .Write(aMessage.m_daemon)
    .Write(aMessage.m_incarnation);
  std::visit([&fields](const auto& aBody) { WriteFields(fields, aBody); },
             aMessage.m_body);
  std::string bytes;
  json::to_msgpack(fields.Fields(), bytes);
  return bytes;
}

std::optional<Message>
DecodeMessage(std::string_view aBytes)
{
  DepthCheck check;
  if (!json::sax_parse(aBytes, &check, json::input_format_t::msgpack)) {
    return std::nullopt;
  }
  const json fields = json::from_msgpack(aBytes, true, false);
  if (fields.is_discarded()) {
    return std::nullopt;
  }
  try {
    return ReadMessage(fields);
  } catch (const json::exception&) {
    return std::nullopt;
  } catch (const Error&) {
    return std::nullopt;
  }
}

}
