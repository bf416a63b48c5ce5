#pragma once

#include <string>

namespace bramleystall::keys {

/** Machines of each shard; written once, by the first daemon. */
inline constexpr const char* kLayoutKey = "bramleystall/layout";
/** Exists while a daemon creates the layout. */
inline constexpr const char* kLayoutMakerKey = "bramleystall/layout-maker";
/** Owners of all shards, the terms of their last owners, and offers to replace
 * an owner. */
inline constexpr const char* kOwnershipPrefix = "bramleystall/scheduler/";
/** Status that each shard's owner publishes; see ShardStatus. */
inline constexpr const char* kShardStatusPrefix = "bramleystall/shards/";
/** Progress of all waves in all shards. */
inline constexpr const char* kWavePrefix = "bramleystall/waves/";
/** Transfers and requests of parts of the tenants' caps; see CapLedger. */
inline constexpr const char* kCapSharesPrefix = "bramleystall/cap-shares/";
/** A cancelled job has a second key with this suffix. */
inline constexpr const char* kCancelSuffix = "/cancel";

/** Keys of one shard. */
class ShardKeys
{
public:
  explicit ShardKeys(int aShard)
    : m_number(aShard)
    , m_shard(std::to_string(aShard))
  {
  }

  int Shard() const { return m_number; }

  /** Current owner of the shard. */
  std::string Owner() const { return kOwnershipPrefix + m_shard + "/owner"; }
  /** Term of the shard's last owner. */
  std::string Term() const { return kOwnershipPrefix + m_shard + "/term"; }
  /** Offer of a daemon with more resources to become the owner. */
  std::string Offer() const { return kOwnershipPrefix + m_shard + "/offer"; }
  std::string JobPrefix() const { return "bramleystall/jobs/" + m_shard + "/"; }
  std::string EntryPrefix() const
  {
    return "bramleystall/entries/" + m_shard + "/";
  }
  /**
   * Entry of a job in the directory of jobs, in the shard that the job's id
   * maps to. Exists from the acceptance to the end of the retention time.
   */
  std::string Entry(const std::string& aId) const
  {
    return EntryPrefix() + aId;
  }
  /**
   * Record of a submitted job, written once by the daemon that accepts it and
   * removed when the job has ended.
   */
  std::string Job(const std::string& aId) const { return JobPrefix() + aId; }
  std::string Cancel(const std::string& aId) const
  {
    return Job(aId) + kCancelSuffix;
  }
  std::string ProgressPrefix() const
  {
    return "bramleystall/progress/" + m_shard + "/";
  }
  /** Progress of a job, written by the shard's owner alone. */
  std::string Progress(const std::string& aId) const
  {
    return ProgressPrefix() + aId;
  }
  /** Workers that may hold a lease from the shard's owner. */
  std::string LeasedWorkers() const
  {
    return "bramleystall/leased-workers/" + m_shard;
  }
  /** Written by the owner alone; see CapDocument. */
  std::string CapShares() const { return kCapSharesPrefix + m_shard; }
  std::string Status() const { return kShardStatusPrefix + m_shard; }
  /** Machines for which the owner sent orders in the last seconds. */
  std::string MachineOrders() const
  {
    return "bramleystall/machine-orders/" + m_shard;
  }
  /** Machines of a wave whose maintenance was accepted or refused for good. */
  std::string Wave(long long aWave) const
  {
    return kWavePrefix + std::to_string(aWave) + "/" + m_shard;
  }

private:
  int m_number;
  std::string m_shard;
};

}
