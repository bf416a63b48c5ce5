#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace bramleystall {

/** Parts into which each tenant's cap is divided, whatever its size. */
inline constexpr std::int64_t kCapParts = 10'000;

/** What a shard's document says about one tenant. All counts are in parts. */
struct CapShare
{
  /** Parts that the shard has ever transferred to each other shard; the counts
   * never fall. */
  std::map<int, std::int64_t> m_transferred;
  /** Parts that the shard needs in total; 0 if it requests none. */
  std::int64_t m_wanted = 0;
  /** Parts that its usage and its first waiting task, or gang, need together;
   * with less, the task cannot start. */
  std::int64_t m_least = 0;
  /** Parts that its usage needs while it requests parts; else 0. */
  std::int64_t m_used = 0;
  /** Wall-clock time in s since the Unix epoch of the last start, or of the
   * request if there was none since; orders equal requests. */
  std::int64_t m_waitingSinceS = 0;
  /** Parts by which the usage exceeds the shard's limit, after a cap was
   * lowered. */
  std::int64_t m_excess = 0;

  bool operator==(const CapShare&) const = default;
};

/** Document in which the owner of a shard publishes its transfers and requests
 * of parts, by the names of the tenants. */
struct CapDocument
{
  std::map<std::string, CapShare> m_tenants;

  bool operator==(const CapDocument&) const = default;
};

std::string
EncodeCapDocument(const CapDocument& aDocument);

/** Decodes the result of EncodeCapDocument; unset for any other text, also if
 * only one tenant's entry is malformed. */
std::optional<CapDocument>
DecodeCapDocument(const std::string& aJson);

}
