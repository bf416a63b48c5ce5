#include "scheduler/late_starts.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace bramleystall;

namespace {

constexpr absl::Duration kLease = absl::Seconds(6);
const absl::Time kLatest = absl::UnixEpoch() + absl::Seconds(13);
const absl::Time kNow = absl::UnixEpoch() + absl::Seconds(1);

LateStarts
MakeStarts()
{
  LateStarts starts(kLease);
  starts.Add("job1.0.0.0", "worker-0", 1, kLatest);
  return starts;
}

}

// Guards against holding back each task whose start got no response, although
// the worker refuses that start.
TEST_CASE("A late start that its worker refuses holds nothing back",
          "[scheduler]")
{
  LateStarts starts = MakeStarts();
  CHECK_FALSE(starts.HoldsBack("job1.0.0.0", kNow));
  CHECK(starts.PossibleRuns(kNow).empty());
  CHECK(starts.MayRunOn("worker-0"));
  CHECK_FALSE(starts.MayRunOn("worker-1"));
  starts.OnRestartReported("worker-1");
  CHECK_FALSE(starts.HoldsBack("job1.0.0.0", kNow));
  starts.Prune(kLatest);
  CHECK(starts.IsEmpty());
}

// Guards against taking the refusal of one incarnation for that of the next.
TEST_CASE("A late start holds its task back from the worker's restart on",
          "[scheduler]")
{
  LateStarts starts = MakeStarts();
  starts.OnRestartReported("worker-0");
  CHECK(starts.HoldsBack("job1.0.0.0", kNow));
  CHECK_FALSE(starts.HoldsBack("job1.0.0.1", kNow));
  CHECK(starts.PossibleRuns(kNow) ==
        std::vector{ LateStarts::PossibleRun{ "job1.0.0.0", "worker-0" } });
  CHECK(starts.NeedsList("worker-0"));
  starts.OnList("worker-0", { { .m_task = "job1.0.0.0", .m_attempt = 2 } });
  CHECK_FALSE(starts.HoldsBack("job1.0.0.0", kNow));
  CHECK_FALSE(starts.NeedsList("worker-0"));
}

// Guards against a second run while the late one is being stopped, and against
// stopping a run elsewhere beside one that is being stopped.
TEST_CASE("A late start that runs holds its task back until it has ended",
          "[scheduler]")
{
  LateStarts starts = MakeStarts();
  starts.OnList("worker-0", { { .m_task = "job1.0.0.0", .m_attempt = 1 } });
  CHECK(starts.HoldsBack("job1.0.0.0", kNow));
  CHECK(starts.PossibleRuns(kNow).empty());
  CHECK(starts.NeedsList("worker-0"));
  starts.OnList("worker-0", {});
  CHECK_FALSE(starts.HoldsBack("job1.0.0.0", kNow));
}

// Guards against a second run beside a start that was carried out at the last
// moment, and against holding the task back longer than its lease.
TEST_CASE("A late start that may run is over when its lease has expired",
          "[scheduler]")
{
  LateStarts starts = MakeStarts();
  starts.OnRestartReported("worker-0");
  starts.Prune(kLatest + kLease - absl::Milliseconds(1));
  CHECK(
    starts.HoldsBack("job1.0.0.0", kLatest + kLease - absl::Milliseconds(1)));
  CHECK_FALSE(starts.HoldsBack("job1.0.0.0", kLatest + kLease));
  starts.Prune(kLatest + kLease);
  CHECK(starts.IsEmpty());
}
