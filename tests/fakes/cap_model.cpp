#include "tests/fakes/cap_model.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace bramleystall {

namespace {

constexpr std::int64_t kCore = 1000;
constexpr const char* kTenant = "grove";
constexpr int kShards = 3;

TenantSpec
SpecOf(std::size_t aVersion)
{
  TenantSpec spec;
  spec.m_name = kTenant;
  spec.m_cap.m_cpu = CapModel::kCaps.at(aVersion) * kCore;
  return spec;
}

/** The third shard has transferred all its parts, so that the other two hold
 * half of the cap each. */
CapDocument
ThirdDocument()
{
  CapDocument document;
  document.m_tenants[kTenant].m_transferred = { { 0, 1666 }, { 1, 1667 } };
  return document;
}

void
AppendDocument(std::string& aKey, const CapDocument& aDocument)
{
  for (const auto& [name, share] : aDocument.m_tenants) {
    for (const auto& [shard, parts] : share.m_transferred) {
      absl::StrAppend(&aKey, shard, ":", parts, ",");
    }
    absl::StrAppend(&aKey,
                    share.m_wanted,
                    ",",
                    share.m_least,
                    ",",
                    share.m_used,
                    ",",
                    share.m_waitingSinceS,
                    ",",
                    share.m_excess);
  }
  aKey += ';';
}

}

CapModel::CapModel(CapMutation aMutation)
  : m_mutation(aMutation)
{
  for (int i = 0; i < 2; ++i) {
    Shard shard{ .m_ledger = CapLedger(i, kShards) };
    shard.m_ledger.SetOwn({});
    shard.m_ledger.SetOther(2, ThirdDocument());
    m_shards.push_back(shard);
  }
}

CapModel
CapModel::AfterRequest(CapMutation aMutation)
{
  CapModel model(aMutation);
  model.Update(1, 4);
  model.Write(1);
  model.Read(0);
  return model;
}

CapModel
CapModel::AfterLowering(CapMutation aMutation)
{
  CapModel model(aMutation);
  model.StartAll(0);
  model.Accept(0);
  model.Configure(0);
  return model;
}

std::vector<CapModel>
CapModel::Successors() const
{
  std::vector<CapModel> successors;
  const auto add = [&](bool (CapModel::*aStep)(int), int aShard) {
    CapModel next = *this;
    if ((next.*aStep)(aShard)) {
      successors.push_back(std::move(next));
    }
  };
  for (int i = 0; i < 2; ++i) {
    for (const auto step : { &CapModel::StartAll,
                             &CapModel::StartByPrevious,
                             &CapModel::EndOne,
                             &CapModel::Write,
                             &CapModel::Acknowledge,
                             &CapModel::Read,
                             &CapModel::Replace,
                             &CapModel::Resolve,
                             &CapModel::Configure }) {
      add(step, i);
    }
    for (const int waiting : { 0, 4 }) {
      CapModel next = *this;
      if (next.Update(i, waiting)) {
        successors.push_back(std::move(next));
      }
    }
  }
  add(&CapModel::Accept, 0);
  add(&CapModel::Settle, 0);
  return successors;
}

std::string
CapModel::Key() const
{
  std::string key = absl::StrCat(m_accepted, "/", m_oldest, "/");
  for (const Shard& shard : m_shards) {
    AppendDocument(key, shard.m_ledger.Own());
    AppendDocument(key, shard.m_view);
    AppendDocument(key, shard.m_stored);
    if (m_mutation == CapMutation::ShrinkOnAcknowledgement) {
      AppendDocument(key, shard.m_acknowledged);
    }
    absl::StrAppend(&key,
                    shard.m_running,
                    "/",
                    shard.m_version,
                    "/",
                    shard.m_wasReplaced,
                    shard.m_ledger.IsOwnKnown(),
                    "/");
    if (shard.m_previous) {
      AppendDocument(key, shard.m_previous->m_ledger.Own());
      AppendDocument(key, shard.m_previous->m_view);
      absl::StrAppend(&key,
                      shard.m_previous->m_running,
                      "/",
                      shard.m_previous->m_version,
                      "/",
                      shard.m_previous->m_startsLeft);
    }
    key += '|';
  }
  return key;
}

int
CapModel::LimitOf(const CapLedger& aLedger, std::size_t aVersion) const
{
  return static_cast<int>(aLedger.LimitOf(SpecOf(aVersion)).m_cpu / kCore);
}

void
CapModel::CheckCap()
{
  const int running = m_shards[0].m_running + m_shards[1].m_running;
  const auto begin = kCaps.begin();
  const int highest =
    *std::max_element(begin + static_cast<std::ptrdiff_t>(m_oldest),
                      begin + static_cast<std::ptrdiff_t>(m_accepted) + 1);
  m_isCapBroken |= running > highest;
}

bool
CapModel::StartAll(int aShard)
{
  Shard& shard = m_shards.at(aShard);
  CapLedger ledger = shard.m_ledger;
  if (m_mutation == CapMutation::ShrinkOnAcknowledgement &&
      ledger.IsOwnKnown()) {
    ledger.SetOwn(shard.m_acknowledged);
  }
  const int more = LimitOf(ledger, shard.m_version) - shard.Counted();
  if (more <= 0) {
    return false;
  }
  shard.m_running += more;
  CheckCap();
  return true;
}

bool
CapModel::StartByPrevious(int aShard)
{
  Shard& shard = m_shards.at(aShard);
  if (!shard.m_previous || shard.m_previous->m_startsLeft == 0) {
    return false;
  }
  Previous& previous = *shard.m_previous;
  if (previous.m_running >= LimitOf(previous.m_ledger, previous.m_version)) {
    return false;
  }
  ++previous.m_running;
  --previous.m_startsLeft;
  ++shard.m_running;
  CheckCap();
  return true;
}

bool
CapModel::EndOne(int aShard)
{
  Shard& shard = m_shards.at(aShard);
  // The new owner learns of the tasks when it has resolved the old leases.
  if (shard.m_running == 0 || shard.m_previous) {
    return false;
  }
  --shard.m_running;
  return true;
}

bool
CapModel::Update(int aShard, int aWaiting)
{
  Shard& shard = m_shards.at(aShard);
  const TenantSpec spec = SpecOf(shard.m_version);
  CapDemand demand{ .m_tenant = &spec };
  demand.m_usage.m_cpu = shard.m_running * kCore;
  demand.m_recentUsage = demand.m_usage;
  if (aWaiting > 0) {
    demand.m_waiting.m_cpu = aWaiting * kCore;
    demand.m_firstWaiting.m_cpu = kCore;
    demand.m_waitingSinceS = 1;
  }
  const bool mayTransfer =
    !shard.m_previous || m_mutation == CapMutation::TransferDuringTakeover;
  return shard.m_ledger.Update({ demand }, mayTransfer);
}

bool
CapModel::Write(int aShard)
{
  Shard& shard = m_shards.at(aShard);
  if (!shard.m_ledger.IsOwnKnown() || shard.m_ledger.Own() == shard.m_stored) {
    return false;
  }
  shard.m_stored = shard.m_ledger.Own();
  return true;
}

bool
CapModel::Acknowledge(int aShard)
{
  Shard& shard = m_shards.at(aShard);
  if (m_mutation != CapMutation::ShrinkOnAcknowledgement ||
      shard.m_acknowledged == shard.m_stored) {
    return false;
  }
  shard.m_acknowledged = shard.m_stored;
  return true;
}

void
CapModel::View(int aShard, const CapDocument& aDocument)
{
  Shard& shard = m_shards.at(aShard);
  shard.m_view = aDocument;
  CapDocument known = aDocument;
  if (m_mutation == CapMutation::IgnoreExcess) {
    for (auto& [name, share] : known.m_tenants) {
      share.m_excess = 0;
    }
  }
  shard.m_ledger.SetOther(1 - aShard, known);
}

bool
CapModel::Read(int aShard)
{
  const Shard& other = m_shards.at(1 - aShard);
  const CapDocument document = m_mutation == CapMutation::GrowBeforeShrink
                                 ? other.m_ledger.Own()
                                 : other.m_stored;
  Shard& shard = m_shards.at(aShard);
  if (!shard.m_ledger.IsOwnKnown()) {
    // A new owner starts nothing until it has read all documents.
    shard.m_ledger.SetOwn(shard.m_stored);
  } else if (document == shard.m_view) {
    return false;
  }
  View(aShard, document);
  return true;
}

bool
CapModel::Replace(int aShard)
{
  Shard& shard = m_shards.at(aShard);
  if (shard.m_wasReplaced) {
    return false;
  }
  shard.m_wasReplaced = true;
  shard.m_previous = Previous{ .m_ledger = shard.m_ledger,
                               .m_view = shard.m_view,
                               .m_running = shard.m_running,
                               .m_version = shard.m_version };
  shard.m_ledger = CapLedger(aShard, kShards);
  shard.m_ledger.SetOther(2, ThirdDocument());
  shard.m_view = {};
  shard.m_acknowledged = shard.m_stored;
  // What the previous owner had not stored is lost.
  return true;
}

bool
CapModel::Resolve(int aShard)
{
  Shard& shard = m_shards.at(aShard);
  const bool isUnresolved = shard.m_previous.has_value();
  shard.m_previous.reset();
  return isUnresolved;
}

bool
CapModel::Accept(int)
{
  if (m_accepted + 1 == kCaps.size()) {
    return false;
  }
  ++m_accepted;
  return true;
}

bool
CapModel::Configure(int aShard)
{
  Shard& shard = m_shards.at(aShard);
  if (shard.m_version == m_accepted) {
    return false;
  }
  shard.m_version = m_accepted;
  return true;
}

bool
CapModel::Settle(int)
{
  if (m_oldest == m_accepted) {
    return false;
  }
  const TenantSpec spec = SpecOf(m_accepted);
  for (int i = 0; i < 2; ++i) {
    const Shard& shard = m_shards.at(i);
    Resources usage;
    usage.m_cpu = shard.m_running * kCore;
    const std::int64_t excess =
      CapPartsFor(spec.m_cap, usage) - shard.m_ledger.Parts(kTenant);
    const auto& tenants = shard.m_stored.m_tenants;
    const auto found = tenants.find(kTenant);
    const std::int64_t published =
      found == tenants.end() ? 0 : found->second.m_excess;
    if (shard.m_version != m_accepted || shard.m_previous ||
        excess > published || m_shards.at(1 - i).m_view != shard.m_stored) {
      return false;
    }
  }
  m_oldest = m_accepted;
  return true;
}

}
