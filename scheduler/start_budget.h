#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace bramleystall {

/**
 * Bounds the memory of a shard's open starts: those that wait for a write or
 * for their worker's response. It does no I/O; sizes are in bytes.
 */
class StartBudget
{
public:
  /** The start counts until its last copy is destroyed, also after the budget.
   */
  using OpenStart = std::shared_ptr<const void>;

  /** Memory of an open start without its texts: the transfer and its handle. */
  static constexpr std::int64_t kStartSize = 16 * 1024;
  /** Enough for 1,024 starts with short texts. A shard with 1,000 starts a
   * second, each of which takes up to 0.1 s, has 100. */
  static constexpr std::int64_t kDefaultLimit = 1024 * kStartSize;

  explicit StartBudget(std::int64_t aLimit = kDefaultLimit);

  /** Whether the job may have a further open start. Jobs with many leave a
   * part of the budget to the others. */
  bool Allows(const std::string& aJob);
  /** Counts a start, which may exceed the limit. aTextSize is the size of its
   * payload and checkpoint. */
  OpenStart Open(const std::string& aJob, std::size_t aTextSize);
  /** Whether Allows has returned false since the last call. */
  bool TakeRefusal();

private:
  struct OpenSizes
  {
    std::int64_t m_total = 0;
    /** Only jobs with open starts. */
    std::map<std::string, std::int64_t> m_byJob;
  };

  std::int64_t m_limit;
  bool m_hasRefused = false;
  std::shared_ptr<OpenSizes> m_open = std::make_shared<OpenSizes>();
};

}
