#include "tenants/cap_document.h"

#include <absl/strings/numbers.h>
#include <nlohmann/json.hpp>

#include <stdexcept>

namespace bramleystall {

using nlohmann::json;

namespace {

/** Bound on decoded counts, so that sums over all shards cannot overflow. */
constexpr std::int64_t kMaxCount = std::int64_t{ 1 } << 48;

std::int64_t
DecodeCount(const json& aValue)
{
  if (!aValue.is_number_integer()) {
    throw std::invalid_argument("not a whole number");
  }
  const auto count = aValue.get<std::int64_t>();
  if (count < 0 || count > kMaxCount) {
    throw std::invalid_argument("out of range");
  }
  return count;
}

CapShare
DecodeShare(const json& aBody)
{
  CapShare share;
  for (const auto& [shard, parts] : aBody.at("transferred").items()) {
    int number = 0;
    if (!absl::SimpleAtoi(shard, &number) || number < 0) {
      throw std::invalid_argument("not the number of a shard");
    }
    share.m_transferred[number] = DecodeCount(parts);
  }
  share.m_wanted = DecodeCount(aBody.at("wanted"));
  share.m_least = DecodeCount(aBody.at("least"));
  share.m_used = DecodeCount(aBody.at("used"));
  share.m_waitingSinceS = DecodeCount(aBody.at("waiting_since_s"));
  share.m_excess = DecodeCount(aBody.at("excess"));
  return share;
}

}

std::string
EncodeCapDocument(const CapDocument& aDocument)
{
  json tenants = json::object();
  for (const auto& [name, share] : aDocument.m_tenants) {
    json transferred = json::object();
    for (const auto& [shard, parts] : share.m_transferred) {
      transferred[std::to_string(shard)] = parts;
    }
    tenants[name] = { { "transferred", std::move(transferred) },
                      { "wanted", share.m_wanted },
                      { "least", share.m_least },
                      { "used", share.m_used },
                      { "waiting_since_s", share.m_waitingSinceS },
                      { "excess", share.m_excess } };
  }
  return json{ { "tenants", std::move(tenants) } }.dump();
}

std::optional<CapDocument>
DecodeCapDocument(const std::string& aJson)
{
  try {
    const json body = json::parse(aJson);
    const json& tenants = body.at("tenants");
    if (!tenants.is_object()) {
      return std::nullopt;
    }
    CapDocument document;
    for (const auto& [name, share] : tenants.items()) {
      document.m_tenants[name] = DecodeShare(share);
    }
    return document;
  } catch (const json::exception&) {
    return std::nullopt;
  } catch (const std::invalid_argument&) {
    return std::nullopt;
  }
}

}
