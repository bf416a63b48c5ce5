#include "dispatch/target_health.h"

#include <catch2/catch.hpp>

using namespace bramleystall;

namespace {

const absl::Time kStart = absl::UnixEpoch();

/** Passes probes until the target returns. Returns the time 10 ms later. */
absl::Time
PassProbes(TargetHealth& aHealth, absl::Time aNow)
{
  while (aHealth.State() == HealthState::Out) {
    if (aHealth.StartProbe(aNow)) {
      aHealth.OnProbeResult(true, aNow);
    }
    aNow += absl::Milliseconds(10);
  }
  return aNow;
}

}

// Guards against a single lost response taking a target out of rotation, and
// against a target that fails all attempts staying in rotation.
TEST_CASE("Only consecutive failures take a target out", "[dispatch]")
{
  const auto outcome = GENERATE(TargetOutcome::Failure, TargetOutcome::Timeout);
  TargetHealth health;
  for (int i = 0; i < 10; ++i) {
    health.OnOutcome(outcome);
    health.OnOutcome(outcome);
    CHECK_FALSE(health.ShouldTakeOut());
    health.OnOutcome(TargetOutcome::Success);
  }
  health.OnOutcome(outcome);
  health.OnOutcome(outcome);
  health.OnOutcome(outcome);
  CHECK(health.ShouldTakeOut());
  health.TakeOut(kStart);
  CHECK(health.InFlightLimit(8) == 0);
}

// Guards against a target getting its full load as soon as it returns.
TEST_CASE("A target returns gradually after passed probes", "[dispatch]")
{
  TargetHealth health;
  health.TakeOut(kStart);
  CHECK_FALSE(health.StartProbe(kStart));
  const absl::Time returned = PassProbes(health, kStart);
  CHECK(returned - kStart >=
        TargetHealth::kFirstProbeDelay * TargetHealth::kProbesToReturn);
  CHECK(health.State() == HealthState::Returning);
  int previous = health.InFlightLimit(8);
  CHECK(previous == 1);
  int successes = 0;
  while (health.State() != HealthState::Healthy) {
    health.OnOutcome(TargetOutcome::Success);
    ++successes;
    const int limit = health.InFlightLimit(8);
    CHECK(limit <= 2 * previous);
    previous = limit;
  }
  CHECK(previous == 8);
  CHECK(successes >= 8);
}

// Guards against a dead target being probed at the initial rate indefinitely,
// and against concurrent probes of one target.
TEST_CASE("Failed probes are repeated with growing delays", "[dispatch]")
{
  TargetHealth health;
  health.TakeOut(kStart);
  absl::Time now = kStart;
  absl::Time last = kStart;
  absl::Duration previous = absl::ZeroDuration();
  for (int probes = 0; probes < 8;) {
    now += absl::Milliseconds(100);
    if (!health.StartProbe(now)) {
      continue;
    }
    CHECK_FALSE(health.StartProbe(now + absl::Hours(1)));
    const absl::Duration interval = now - last;
    CHECK(interval >= previous);
    CHECK(interval <= TargetHealth::kMaxProbeDelay + absl::Milliseconds(100));
    previous = std::min(interval, TargetHealth::kMaxProbeDelay);
    last = now;
    health.OnProbeResult(false, now);
    ++probes;
  }
  CHECK(previous == TargetHealth::kMaxProbeDelay);
}

// Guards against a target that passes probes but fails requests being taken out
// and returned at the initial probe rate.
TEST_CASE("A failure while returning takes the target out for longer",
          "[dispatch]")
{
  TargetHealth health;
  health.TakeOut(kStart);
  const absl::Time returned = PassProbes(health, kStart);
  health.OnOutcome(TargetOutcome::Failure);
  REQUIRE(health.ShouldTakeOut());
  health.TakeOut(returned);
  CHECK_FALSE(health.StartProbe(returned + TargetHealth::kFirstProbeDelay));
  CHECK(health.StartProbe(returned + TargetHealth::kFirstProbeDelay * 2));
}
