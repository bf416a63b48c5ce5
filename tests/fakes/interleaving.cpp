#include "tests/fakes/interleaving.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <set>
#include <stdexcept>
#include <utility>

#include <xxhash.h>

namespace bramleystall {

namespace {

std::string
TextOf(const std::optional<StoreValue>& aValue)
{
  return aValue ? absl::StrCat(aValue->m_revision,
                               ",",
                               aValue->m_lockCount,
                               ",",
                               aValue->m_session,
                               ",",
                               aValue->m_value)
                : std::string("none");
}

std::string
TextOf(const std::string& aText)
{
  return aText;
}

std::string
TextOf(bool aValue)
{
  return aValue ? "true" : "false";
}

std::string
TextOf(WriteOutcome aOutcome)
{
  return std::string(NameOf(kWriteOutcomeNames, aOutcome));
}

constexpr int kReadFaults = 1;
constexpr int kSessionFaults = 2;
constexpr int kWriteFaults = 3;

}

ReplayStore::ReplayStore(FakePlatformStore& aStore,
                         std::vector<DelayedCall>& aDelayed)
  : m_store(aStore)
  , m_delayed(aDelayed)
{
}

void
ReplayStore::Rewind(std::optional<CallFault> aNextCall)
{
  m_position = 0;
  m_nextCall = aNextCall;
}

template<typename Result>
Result
ReplayStore::Call(int aFaultCount, const std::function<Result()>& aCall)
{
  if (m_position == m_recordedCalls.size()) {
    if (!m_nextCall) {
      throw Suspended{ aFaultCount };
    }
    RecordedCall recordedCall;
    try {
      const Result result = aCall();
      absl::StrAppend(&m_resultsText, TextOf(result), "|");
      recordedCall.m_value = result;
    } catch (const Error& error) {
      absl::StrAppend(&m_resultsText, "error|");
      recordedCall.m_error = error;
    }
    m_nextCall.reset();
    m_recordedCalls.push_back(std::move(recordedCall));
  }
  const RecordedCall& recordedCall = m_recordedCalls[m_position++];
  if (recordedCall.m_error) {
    throw Error(*recordedCall.m_error);
  }
  return std::any_cast<Result>(recordedCall.m_value);
}

WriteOutcome
ReplayStore::CallWrite(
  const std::string& aText,
  const std::function<WriteOutcome(FakePlatformStore&)>& aCall)
{
  return Call<WriteOutcome>(kWriteFaults, [&] {
    if (m_nextCall == CallFault::Delay) {
      m_delayed.push_back({ aCall, aText });
      return WriteOutcome::Unknown;
    }
    m_store.LoseWriteResponses(m_nextCall == CallFault::LoseResponse ? 1 : 0);
    const WriteOutcome outcome = aCall(m_store);
    m_store.LoseWriteResponses(0);
    return outcome;
  });
}

std::optional<StoreValue>
ReplayStore::Get(const std::string& aKey)
{
  return Call<std::optional<StoreValue>>(kReadFaults,
                                         [&] { return m_store.Get(aKey); });
}

std::optional<StoreValue>
ReplayStore::WaitForChange(const std::string& aKey,
                           std::uint64_t aRevision,
                           absl::Duration)
{
  return Call<std::optional<StoreValue>>(kReadFaults, [&] {
    return m_store.WaitForChange(aKey, aRevision, absl::ZeroDuration());
  });
}

WriteOutcome
ReplayStore::Write(const std::vector<StoreWrite>& aWrites,
                   const std::optional<LockCondition>& aCondition)
{
  std::string text = aCondition ? aCondition->m_session : std::string();
  for (const auto& write : aWrites) {
    absl::StrAppend(
      &text, ";", write.m_key, ",", write.m_expectedRevision, write.m_value);
  }
  return CallWrite(text, [aWrites, aCondition](FakePlatformStore& aStore) {
    return aStore.Write(aWrites, aCondition);
  });
}

std::string
ReplayStore::CreateSession(const std::string& aName, absl::Duration aTtl)
{
  return Call<std::string>(kSessionFaults, [&] {
    m_store.LoseWriteResponses(m_nextCall == CallFault::LoseResponse ? 1 : 0);
    std::string session;
    try {
      session = m_store.CreateSession(aName, aTtl);
    } catch (...) {
      m_store.LoseWriteResponses(0);
      throw;
    }
    return session;
  });
}

bool
ReplayStore::RenewSession(const std::string& aSession)
{
  return Call<bool>(kReadFaults,
                    [&] { return m_store.RenewSession(aSession); });
}

void
ReplayStore::DestroySession(const std::string& aSession)
{
  Call<bool>(kReadFaults, [&] {
    m_store.DestroySession(aSession);
    return true;
  });
}

WriteOutcome
ReplayStore::AcquireLock(const std::string& aKey,
                         const std::string& aValue,
                         const std::string& aSession)
{
  const std::string text = absl::StrCat(aKey, ",", aValue, ",", aSession);
  return CallWrite(text, [aKey, aValue, aSession](FakePlatformStore& aStore) {
    return aStore.AcquireLock(aKey, aValue, aSession);
  });
}

namespace {

/** Next step of a run: a call of an actor with a fault, or a delayed call. */
struct Choice
{
  std::optional<std::size_t> m_actor;
  CallFault m_fault = CallFault::None;
  std::size_t m_delayed = 0;
};

/** One run of a scenario, directed by a sequence of choices. */
class Run
{
public:
  Run(InterleavingScenario& aScenario, const ExplorationLimits& aLimits)
    : m_scenario(aScenario)
    , m_limits(aLimits)
    , m_bodies(aScenario.Actors())
  {
    for (std::size_t i = 0; i < m_bodies.size(); ++i) {
      m_stores.push_back(
        std::make_unique<ReplayStore>(aScenario.Store(), m_delayed));
      m_pendingFaults.push_back(Advance(i, std::nullopt));
    }
  }

  std::vector<Choice> Choices() const
  {
    std::vector<Choice> choices;
    for (std::size_t i = 0; i < m_bodies.size(); ++i) {
      const int faultCount = m_faults < m_limits.m_maxFaults
                               ? m_pendingFaults[i]
                               : std::min(m_pendingFaults[i], 1);
      for (int fault = 0; fault < faultCount; ++fault) {
        choices.push_back({ i, static_cast<CallFault>(fault) });
      }
    }
    if (choices.empty()) {
      return choices;
    }
    for (std::size_t i = 0; i < m_delayed.size(); ++i) {
      choices.push_back({ std::nullopt, CallFault::None, i });
    }
    return choices;
  }

  void Apply(const Choice& aChoice)
  {
    if (++m_steps > m_limits.m_maxSteps) {
      throw std::logic_error(
        "a run of the scenario exceeds the limit of steps");
    }
    if (aChoice.m_actor) {
      m_faults += aChoice.m_fault == CallFault::None ? 0 : 1;
      m_pendingFaults[*aChoice.m_actor] =
        Advance(*aChoice.m_actor, aChoice.m_fault);
    } else {
      Deliver(aChoice.m_delayed);
    }
    m_scenario.AfterStep();
  }

  void Finish()
  {
    m_scenario.AfterRun();
    while (!m_delayed.empty()) {
      Deliver(0);
      m_scenario.AfterStep();
    }
    m_scenario.AfterRun();
  }

  /** Hash of all state that the continuations depend on. */
  std::pair<std::uint64_t, std::uint64_t> Fingerprint() const
  {
    std::string text = absl::StrCat(
      m_faults, "#", m_scenario.Store().Dump(), "#", m_scenario.StateText());
    for (const auto& store : m_stores) {
      absl::StrAppend(&text, "#", store->ResultsText());
    }
    for (const auto& call : m_delayed) {
      absl::StrAppend(&text, "#", call.m_text);
    }
    const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
    return { hash.high64, hash.low64 };
  }

private:
  /**
   * Runs an actor up to its next call. Returns the number of faults that apply
   * to that call, or 0 when the actor is done.
   */
  int Advance(std::size_t aActor, std::optional<CallFault> aFault)
  {
    m_stores[aActor]->Rewind(aFault);
    try {
      m_bodies[aActor](*m_stores[aActor]);
    } catch (const ReplayStore::Suspended& suspended) {
      return suspended.m_faultCount;
    }
    return 0;
  }

  void Deliver(std::size_t aIndex)
  {
    const DelayedCall call = m_delayed[aIndex];
    m_delayed.erase(m_delayed.begin() + static_cast<std::ptrdiff_t>(aIndex));
    call.m_effect(m_scenario.Store());
  }

  InterleavingScenario& m_scenario;
  const ExplorationLimits& m_limits;
  std::vector<InterleavingScenario::Actor> m_bodies;
  std::vector<DelayedCall> m_delayed;
  std::vector<std::unique_ptr<ReplayStore>> m_stores;
  /** For each actor, the number of faults of its next call; 0 when done. */
  std::vector<int> m_pendingFaults;
  int m_faults = 0;
  int m_steps = 0;
};

}

ExplorationResult
ExploreInterleavings(
  const std::function<std::unique_ptr<InterleavingScenario>()>& aMake,
  const ExplorationLimits& aLimits)
{
  struct Branch
  {
    std::size_t m_chosen = 0;
    std::size_t m_count = 0;
  };
  ExplorationResult result;
  std::vector<Branch> path;
  std::set<std::pair<std::uint64_t, std::uint64_t>> visited;
  while (true) {
    const auto scenario = aMake();
    Run run(*scenario, aLimits);
    std::size_t depth = 0;
    bool isKnown = false;
    auto choices = run.Choices();
    while (!choices.empty() && !isKnown) {
      if (depth == path.size()) {
        path.push_back({ 0, choices.size() });
      }
      run.Apply(choices.at(path[depth].m_chosen));
      ++depth;
      // Only the last step of the path is new; the steps before it lead through
      // states that are already being explored.
      if (depth == path.size()) {
        ++result.m_transitions;
        isKnown = !visited.insert(run.Fingerprint()).second;
      }
      choices = run.Choices();
    }
    result.m_states = visited.size();
    if (!isKnown) {
      run.Finish();
      ++result.m_completeRuns;
    }
    while (!path.empty() && path.back().m_chosen + 1 == path.back().m_count) {
      path.pop_back();
    }
    if (path.empty()) {
      return result;
    }
    ++path.back().m_chosen;
  }
}

}
