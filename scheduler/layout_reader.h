#pragma once

#include "scheduler/shard_layout.h"

#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace bramleystall {

class EventLoop;
class KeyValueStore;
struct ReadResult;
struct MachineListResult;

/**
 * Reads the shard layout from the store. When there is none, it divides the
 * machines that the platform lists and stores the result, unless another
 * daemon was first. In a new deployment all daemons get the layout at about
 * the same time, so that each has a chance to own a shard.
 */
class LayoutReader
{
public:
  using LayoutHook = std::function<void(const ShardLayout&)>;

  /** The hook runs once. The references outlive the reader. */
  LayoutReader(EventLoop& aLoop,
               KeyValueStore& aStore,
               MachineGateway& aMachines,
               const std::string& aDaemon,
               LayoutHook aOnLayout);
  ~LayoutReader();
  LayoutReader(const LayoutReader&) = delete;
  LayoutReader& operator=(const LayoutReader&) = delete;

private:
  void Read();
  void OnRead(const ReadResult& aResult);
  /** Takes the lease of the one daemon that lists the machines. */
  void Claim();
  void WriteClaim();
  void ListMachines();
  void Store(const ShardLayout& aLayout);
  /** Lets another daemon create the layout, and reads again. */
  void ReleaseClaim();
  void OnListed(const MachineListResult& aResult);
  void Deliver(const ShardLayout& aLayout);
  void After(absl::Duration aDelay, void (LayoutReader::*aStep)());

  EventLoop& m_loop;
  KeyValueStore& m_store;
  MachineGateway& m_machines;
  LayoutHook m_onLayout;
  /** Keeps the daemons of a new deployment from claiming all at once. */
  absl::Duration m_claimDelay;
  bool m_hasDelayedClaim = false;
  /** Lease of the claim; 0 if there is none. */
  std::int64_t m_lease = 0;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}
