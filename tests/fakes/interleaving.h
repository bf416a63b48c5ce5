#pragma once

#include "consul/platform_store.h"
#include "core/error.h"
#include "tests/fakes/fake_platform_store.h"

#include <any>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bramleystall {

/** Fault that is injected into the next store call of an actor. */
enum class CallFault
{
  None,
  /** The call takes effect, but its response is lost. */
  LoseResponse,
  /** The response is lost, and the call takes effect later or never. */
  Delay,
};

/** Store call that takes effect later. */
struct DelayedCall
{
  std::function<void(FakePlatformStore&)> m_effect;
  /** Text that distinguishes it from other calls. */
  std::string m_text;
};

/**
 * Store of one actor. It replays the recorded results of the calls that the
 * actor has already made and passes one more call to the underlying store. That
 * advances an actor by one call when it runs again from its start. The actor
 * must be deterministic: it may depend on nothing but the results.
 */
class ReplayStore : public PlatformStore
{
public:
  /**
   * Thrown at a call that is not allowed yet. It is not derived from Error, so
   * that the code under test does not catch it.
   */
  struct Suspended
  {
    /** Number of leading entries of CallFault that apply to the call. */
    int m_faultCount = 1;
  };

  ReplayStore(FakePlatformStore& aStore, std::vector<DelayedCall>& aDelayed);

  /**
   * Starts again at the first recorded call. Allows one new call with the given
   * fault, or none.
   */
  void Rewind(std::optional<CallFault> aNextCall);

  /** Text of all results so far, which determine the state of the actor. */
  const std::string& ResultsText() const { return m_resultsText; }

  std::optional<StoreValue> Get(const std::string& aKey) override;
  std::optional<StoreValue> WaitForChange(const std::string& aKey,
                                          std::uint64_t aRevision,
                                          absl::Duration aTimeout) override;
  WriteOutcome Write(const std::vector<StoreWrite>& aWrites,
                     const std::optional<LockCondition>& aCondition) override;
  std::string CreateSession(const std::string& aName,
                            absl::Duration aTtl) override;
  bool RenewSession(const std::string& aSession) override;
  void DestroySession(const std::string& aSession) override;
  WriteOutcome AcquireLock(const std::string& aKey,
                           const std::string& aValue,
                           const std::string& aSession) override;

private:
  struct RecordedCall
  {
    std::any m_value;
    std::optional<Error> m_error;
  };

  template<typename Result>
  Result Call(int aFaultCount, const std::function<Result()>& aCall);
  WriteOutcome CallWrite(
    const std::string& aText,
    const std::function<WriteOutcome(FakePlatformStore&)>& aCall);

  FakePlatformStore& m_store;
  std::vector<DelayedCall>& m_delayed;
  std::vector<RecordedCall> m_recordedCalls;
  std::string m_resultsText;
  std::size_t m_position = 0;
  std::optional<CallFault> m_nextCall;
};

/** System under test: a store, its actors and the property to check. */
class InterleavingScenario
{
public:
  using Actor = std::function<void(PlatformStore&)>;

  virtual ~InterleavingScenario() = default;
  virtual FakePlatformStore& Store() = 0;
  /** Bodies of the actors; each runs several times from its start. */
  virtual std::vector<Actor> Actors() = 0;
  /** Text of the state that the scenario keeps outside of the store. */
  virtual std::string StateText() const = 0;
  /** Called after each store call and each delayed effect. */
  virtual void AfterStep() = 0;
  /** Called when all actors are done, and again after the delayed effects. */
  virtual void AfterRun() = 0;
};

struct ExplorationLimits
{
  /** Largest number of calls with a fault in one run. */
  int m_maxFaults = 1;
  /** Largest number of steps of a run; a longer run is an error of the test. */
  int m_maxSteps = 60;
};

struct ExplorationResult
{
  /** Runs to the end; other runs stop at a state that is already explored. */
  std::uint64_t m_completeRuns = 0;
  std::uint64_t m_states = 0;
  std::uint64_t m_transitions = 0;
};

/**
 * Runs a scenario for each interleaving of the actors' store calls, with each
 * combination of faults up to the limit. Runs that reach the same state have
 * the same continuations, so each state is explored further only once. Throws
 * std::logic_error when a run exceeds the limit of steps.
 */
ExplorationResult
ExploreInterleavings(
  const std::function<std::unique_ptr<InterleavingScenario>()>& aMake,
  const ExplorationLimits& aLimits);

}
