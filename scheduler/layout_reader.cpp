#include "scheduler/layout_reader.h"

#include "core/error.h"
#include "core/log.h"
#include "net/event_loop.h"
#include "scheduler/job_keys.h"
#include "store/key_value_store.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace bramleystall {

namespace {

constexpr absl::Duration kRetryDelay = absl::Milliseconds(200);
/** Time after which the claim of a daemon that has failed expires. */
constexpr absl::Duration kClaimTtl = absl::Seconds(3);
/** Daemons that start together spread their claims over this time. */
constexpr int kMaxClaimDelayMs = 600;
/** A new layout takes effect at this age, when most daemons have read it. */
constexpr absl::Duration kNewLayoutDelay = absl::Milliseconds(700);

}

LayoutReader::LayoutReader(EventLoop& aLoop,
                           KeyValueStore& aStore,
                           MachineGateway& aMachines,
                           const std::string& aDaemon,
                           LayoutHook aOnLayout)
  : m_loop(aLoop)
  , m_store(aStore)
  , m_machines(aMachines)
  , m_onLayout(std::move(aOnLayout))
  , m_claimDelay(absl::Milliseconds(
      static_cast<int>(XXH3_64bits(aDaemon.data(), aDaemon.size()) %
                       static_cast<XXH64_hash_t>(kMaxClaimDelayMs))))
{
  Read();
}

LayoutReader::~LayoutReader()
{
  *m_alive = false;
}

void
LayoutReader::After(absl::Duration aDelay, void (LayoutReader::*aStep)())
{
  m_loop.After(aDelay, [this, aStep, alive = m_alive] {
    if (*alive) {
      (this->*aStep)();
    }
  });
}

void
LayoutReader::Read()
{
  m_store.Get(keys::kLayoutKey,
              [this, alive = m_alive](const ReadResult& aResult) {
                if (*alive) {
                  OnRead(aResult);
                }
              });
}

void
LayoutReader::OnRead(const ReadResult& aResult)
{
  if (aResult.m_status != ReadStatus::Ok) {
    After(kRetryDelay, &LayoutReader::Read);
    return;
  }
  if (aResult.m_items.empty()) {
    if (m_hasDelayedClaim) {
      Claim();
      return;
    }
    m_hasDelayedClaim = true;
    After(m_claimDelay, &LayoutReader::Read);
    return;
  }
  try {
    const ShardLayout layout =
      ShardLayout::Decode(aResult.m_items.front().m_value);
    LogInfo(LogPart::Owner,
            absl::StrCat("shard layout read; shards=", layout.Count()));
    Deliver(layout);
  } catch (const Error& error) {
    LogError(LogPart::Owner, error.what());
    After(kRetryDelay, &LayoutReader::Read);
  }
}

void
LayoutReader::Deliver(const ShardLayout& aLayout)
{
  const absl::Duration age =
    absl::Now() - absl::FromUnixMillis(aLayout.CreatedAtMs());
  if (age < absl::ZeroDuration() || age >= kNewLayoutDelay) {
    m_onLayout(aLayout);
    return;
  }
  m_loop.After(kNewLayoutDelay - age, [this, aLayout, alive = m_alive] {
    if (*alive) {
      m_onLayout(aLayout);
    }
  });
}

void
LayoutReader::Claim()
{
  m_store.GrantLease(kClaimTtl,
                     [this, alive = m_alive](const LeaseResult& aLease) {
                       if (!*alive) {
                         return;
                       }
                       if (aLease.m_status != LeaseStatus::Held) {
                         After(kRetryDelay, &LayoutReader::Read);
                         return;
                       }
                       m_lease = aLease.m_lease;
                       WriteClaim();
                     });
}

void
LayoutReader::WriteClaim()
{
  StoreTransaction claim;
  claim.m_conditions = { { keys::kLayoutMakerKey, 0 },
                         { keys::kLayoutKey, 0 } };
  claim.m_puts = { { keys::kLayoutMakerKey, "{}", m_lease } };
  m_store.Commit(claim, [this, alive = m_alive](const CommitResult& aResult) {
    if (!*alive) {
      return;
    }
    if (aResult.m_status == CommitStatus::Applied) {
      ListMachines();
    } else {
      ReleaseClaim();
    }
  });
}

void
LayoutReader::ReleaseClaim()
{
  m_store.RevokeLease(std::exchange(m_lease, 0));
  After(kRetryDelay, &LayoutReader::Read);
}

void
LayoutReader::ListMachines()
{
  m_machines.List([this, alive = m_alive](const MachineListResult& aResult) {
    if (*alive) {
      OnListed(aResult);
    }
  });
}

void
LayoutReader::OnListed(const MachineListResult& aResult)
{
  if (!aResult.m_isComplete || aResult.m_machines.empty()) {
    LogWarning(
      LogPart::Owner,
      absl::StrCat(
        "cannot list the machines for the shard layout, will retry; error=",
        aResult.m_error));
    ReleaseClaim();
    return;
  }
  Store(
    ShardLayout::Divide(aResult.m_machines, absl::ToUnixMillis(absl::Now())));
}

void
LayoutReader::Store(const ShardLayout& aLayout)
{
  StoreTransaction creation;
  creation.m_conditions = { { keys::kLayoutKey, 0 } };
  creation.m_puts = { { keys::kLayoutKey, aLayout.Encode(), 0 } };
  m_store.Commit(creation, [this, alive = m_alive](const CommitResult&) {
    // Whatever the outcome, the next read returns the layout in effect.
    if (*alive) {
      ReleaseClaim();
    }
  });
}

}
