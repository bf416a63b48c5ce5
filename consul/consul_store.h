#pragma once

#include "consul/consul_client.h"
#include "consul/platform_store.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace bramleystall {

/**
 * Configuration store over the Consul HTTP API v1: KV reads with blocking
 * queries, `/v1/txn` with `cas` and `check-session`, and sessions.
 */
class ConsulStore : public PlatformStore
{
public:
  explicit ConsulStore(const ConsulSettings& aSettings,
                       Metrics* aMetrics = nullptr);

  std::optional<StoreValue> Get(const std::string& aKey) override;
  std::optional<StoreValue> WaitForChange(const std::string& aKey,
                                          std::uint64_t aRevision,
                                          absl::Duration aTimeout) override;
  WriteOutcome Write(const std::vector<StoreWrite>& aWrites,
                     const std::optional<LockCondition>& aCondition) override;
  /**
   * Throws Error (Unavailable) when the session was not created or the response
   * with its id was lost; such a session expires after its time to live.
   */
  std::string CreateSession(const std::string& aName,
                            absl::Duration aTtl) override;
  /**
   * Throws Error (Unavailable) when it is unknown whether the session was
   * renewed.
   */
  bool RenewSession(const std::string& aSession) override;
  void DestroySession(const std::string& aSession) override;
  WriteOutcome AcquireLock(const std::string& aKey,
                           const std::string& aValue,
                           const std::string& aSession) override;
  void StopWatches() override { m_client.StopWatches(); }

private:
  /**
   * Sends a PUT once. Returns nothing when the response was lost or does not
   * tell whether the request took effect.
   */
  std::optional<ClientResponse> PutOnce(const std::string& aKind,
                                        const std::string& aPath,
                                        const std::string& aBody);
  std::optional<StoreValue> ParseKeyResponse(const std::string& aKey,
                                             const ClientResponse& aResponse,
                                             const std::string& aKind);
  std::uint64_t AbsentKeyIndex(const std::string& aKey);

  ConsulClient m_client;
  std::mutex m_mutex;
  /**
   * Index of the last read of each key that did not exist then, from which a
   * watch of the key starts.
   */
  std::map<std::string, std::uint64_t> m_absentKeyIndexes;
};

}
