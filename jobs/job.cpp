#include "jobs/job.h"

#include "core/error.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace bramleystall {

using nlohmann::json;

namespace {

/** Approximate memory of a task's checkpoint and its place in lists. */
constexpr std::size_t kTaskTextBytes = 100;

}

bool
TaskName::Parse(const std::string& aText, TaskName& aName)
{
  const std::vector<std::string> parts = absl::StrSplit(aText, '.');
  if (parts.size() != 4) {
    return false;
  }
  aName.m_job = parts[0];
  return absl::SimpleAtoi(parts[1], &aName.m_occurrence) &&
         absl::SimpleAtoi(parts[2], &aName.m_step) &&
         absl::SimpleAtoi(parts[3], &aName.m_index);
}

std::size_t
LargestMemory(const JobRecord& aRecord)
{
  std::int64_t tasks = 0;
  std::size_t texts = aRecord.m_payload.size();
  std::size_t dependencies = 0;
  for (const StepSpec& step : aRecord.m_steps) {
    tasks += step.m_count;
    texts += step.m_requiredLabel.size() + step.m_dataRack.size() +
             step.m_image.size();
    dependencies += step.m_after.size();
  }
  const std::int64_t open =
    std::max(tasks,
             std::min<std::int64_t>(Job::kMaxOpenTasks,
                                    tasks * std::max(1, aRecord.m_repeats)));
  return sizeof(Job) + texts + dependencies * sizeof(int) +
         aRecord.m_steps.size() * sizeof(StepSpec) +
         static_cast<std::size_t>(open) * (sizeof(Task) + kTaskTextBytes);
}

Job::Job(JobRecord aRecord)
  : m_record(std::move(aRecord))
{
  for (const StepSpec& step : m_record.m_steps) {
    m_tasksPerOccurrence += step.m_count;
  }
  m_openSteps =
    static_cast<std::int64_t>(m_record.m_steps.size()) * OccurrenceCount();
}

void
Job::Open(int aOccurrence)
{
  Occurrence& occurrence = m_occurrences[aOccurrence];
  occurrence.m_steps.resize(m_record.m_steps.size());
  for (std::size_t s = 0; s < m_record.m_steps.size(); ++s) {
    Step& step = occurrence.m_steps[s];
    step.m_tasks.resize(static_cast<std::size_t>(m_record.m_steps[s].m_count));
    for (std::size_t i = 0; i < step.m_tasks.size(); ++i) {
      Task& task = step.m_tasks[i];
      task.m_job = this;
      task.m_occurrence = aOccurrence;
      task.m_step = static_cast<int>(s);
      task.m_index = static_cast<int>(i);
    }
  }
}

std::vector<int>
Job::OpenOccurrences() const
{
  std::vector<int> open;
  std::ranges::transform(m_occurrences,
                         std::back_inserter(open),
                         [](const auto& aEntry) { return aEntry.first; });
  return open;
}

bool
Job::MayOpenNext(std::int64_t aNowMs) const
{
  if (m_nextOccurrence >= OccurrenceCount() ||
      aNowMs < DueMs(m_nextOccurrence)) {
    return false;
  }
  // Later occurrences that were opened out of order are dropped only once the
  // earlier ones have been opened, so they take no room from these.
  const auto open = static_cast<int>(std::distance(
    m_occurrences.begin(), m_occurrences.lower_bound(m_nextOccurrence)));
  return open == 0 || (open + 1) * m_tasksPerOccurrence <= kMaxOpenTasks;
}

void
Job::OpenNext()
{
  if (!IsOpen(m_nextOccurrence)) {
    Open(m_nextOccurrence);
  }
  ++m_nextOccurrence;
}

bool
Job::IsDone(const Occurrence& aOccurrence) const
{
  return std::ranges::all_of(aOccurrence.m_steps, [](const Step& aStep) {
    return aStep.m_done == static_cast<int>(aStep.m_tasks.size());
  });
}

std::vector<int>
Job::DropFinished()
{
  std::vector<int> dropped;
  const auto hasPlacedTask = [](const Step& aStep) {
    return std::ranges::any_of(aStep.m_tasks, &Task::IsPlaced);
  };
  for (const auto& [number, occurrence] : m_occurrences) {
    if (number < m_nextOccurrence && IsDone(occurrence) &&
        std::ranges::none_of(occurrence.m_steps, hasPlacedTask)) {
      dropped.push_back(number);
    }
  }
  for (const int number : dropped) {
    m_occurrences.erase(number);
  }
  return dropped;
}

std::int64_t
Job::DueMs(int aOccurrence) const
{
  if (m_record.m_repeats == 0) {
    return 0;
  }
  return m_record.m_firstDueMs + aOccurrence * m_record.m_intervalMs;
}

std::vector<Task>&
Job::Tasks(int aOccurrence, int aStep)
{
  if (!IsOpen(aOccurrence) && aOccurrence >= m_nextOccurrence) {
    Open(aOccurrence);
  }
  return m_occurrences.at(aOccurrence)
    .m_steps[static_cast<std::size_t>(aStep)]
    .m_tasks;
}

Task*
Job::Find(const TaskName& aName)
{
  const bool isKnown = aName.m_occurrence >= 0 &&
                       aName.m_occurrence < OccurrenceCount() &&
                       aName.m_step >= 0 &&
                       aName.m_step < static_cast<int>(m_record.m_steps.size());
  if (!isKnown ||
      (!IsOpen(aName.m_occurrence) && aName.m_occurrence < m_nextOccurrence)) {
    return nullptr;
  }
  std::vector<Task>& tasks = Tasks(aName.m_occurrence, aName.m_step);
  if (aName.m_index < 0 || aName.m_index >= static_cast<int>(tasks.size())) {
    return nullptr;
  }
  return &tasks[static_cast<std::size_t>(aName.m_index)];
}

std::string
Job::NameOf(const Task& aTask) const
{
  return absl::StrCat(
    Id(), ".", aTask.m_occurrence, ".", aTask.m_step, ".", aTask.m_index);
}

bool
Job::IsStepReady(int aOccurrence, int aStep) const
{
  const StepSpec& spec = m_record.m_steps[static_cast<std::size_t>(aStep)];
  return std::ranges::all_of(spec.m_after, [&](int aEarlier) {
    return IsStepDone(aOccurrence, aEarlier);
  });
}

bool
Job::IsStepDone(int aOccurrence, int aStep) const
{
  if (!IsOpen(aOccurrence)) {
    return aOccurrence < m_nextOccurrence;
  }
  const Step& step = StepAt(aOccurrence, aStep);
  return step.m_done == static_cast<int>(step.m_tasks.size());
}

bool
Job::HasPlacedTask() const
{
  return std::ranges::any_of(m_occurrences, [](const auto& aEntry) {
    return std::ranges::any_of(aEntry.second.m_steps, [](const Step& aStep) {
      return std::ranges::any_of(aStep.m_tasks, &Task::IsPlaced);
    });
  });
}

void
Job::MarkStarted()
{
  if (m_state == JobState::Queued) {
    m_state = JobState::Running;
  }
}

void
Job::MarkDone(Task& aTask)
{
  if (aTask.m_phase == TaskPhase::Done) {
    return;
  }
  aTask.m_phase = TaskPhase::Done;
  Step& step = m_occurrences.at(aTask.m_occurrence)
                 .m_steps[static_cast<std::size_t>(aTask.m_step)];
  ++step.m_done;
  if (step.m_done == static_cast<int>(step.m_tasks.size())) {
    --m_openSteps;
  }
  MarkStarted();
  if (m_openSteps == 0 && !IsFinal()) {
    m_state = JobState::Completed;
  }
}

void
Job::MarkFailed(Task& aTask, std::int64_t aAttempt)
{
  MarkStarted();
  if (aTask.m_phase == TaskPhase::Done || Spec(aTask).m_isLongRunning) {
    return;
  }
  aTask.m_failedAttempts.insert(aAttempt);
  if (aTask.Failures() >= m_record.m_maxAttempts && !IsFinal()) {
    m_state = JobState::Failed;
  }
}

void
Job::MarkCancelled()
{
  if (!IsFinal()) {
    m_state = JobState::Cancelled;
  }
}

int
Job::RemainingStepCount() const
{
  // Most jobs are chains of steps, so the number of unfinished steps
  // approximates the length of the critical path.
  const auto steps = static_cast<std::int64_t>(m_record.m_steps.size());
  return static_cast<int>(std::clamp<std::int64_t>(m_openSteps, 0, steps));
}

std::string
Job::EncodeProgress() const
{
  json body = { { "state", bramleystall::NameOf(kJobStateNames, m_state) } };
  if (IsFinal()) {
    return body.dump();
  }
  // One row [occurrence, step, index, is done, failed attempts, checkpoint] for
  // each task that is done, has failed attempts or has a checkpoint. Earlier
  // occurrences than the next one that are not listed as open are done.
  json rows = json::array();
  json open = json::array();
  for (const auto& [number, occurrence] : m_occurrences) {
    if (number < m_nextOccurrence) {
      if (IsDone(occurrence)) {
        continue;
      }
      open.push_back(number);
    }
    for (const Step& step : occurrence.m_steps) {
      for (const Task& task : step.m_tasks) {
        const bool isDone = task.m_phase == TaskPhase::Done;
        if (!isDone && task.Failures() == 0 && task.m_checkpoint.empty()) {
          continue;
        }
        rows.push_back({ task.m_occurrence,
                         task.m_step,
                         task.m_index,
                         isDone ? 1 : 0,
                         task.m_failedAttempts,
                         isDone ? "" : task.m_checkpoint });
      }
    }
  }
  body["tasks"] = std::move(rows);
  body["open"] = std::move(open);
  body["next"] = m_nextOccurrence;
  body["workers"] = m_workers;
  return body.dump();
}

void
Job::RestoreOccurrences(const json& aProgress)
{
  // Progress that an earlier version has written names no next occurrence.
  const int next = aProgress.value("next", 0);
  const auto open = aProgress.value("open", std::set<int>{});
  const bool isValid =
    next >= 0 && next <= OccurrenceCount() &&
    (open.empty() || (*open.begin() >= 0 && *open.rbegin() < next));
  if (!isValid) {
    throw Error(ErrorCode::InvalidInput,
                absl::StrCat("progress of job ",
                             Id(),
                             ": open occurrences must be below next, and next "
                             "at most ",
                             OccurrenceCount()));
  }
  m_nextOccurrence = next;
  std::ranges::for_each(open, [this](int aNumber) { Open(aNumber); });
  m_openSteps -= static_cast<std::int64_t>(m_record.m_steps.size()) *
                 (next - static_cast<std::int64_t>(open.size()));
}

void
Job::ApplyProgress(const std::string& aJson)
{
  try {
    const json body = json::parse(aJson);
    RestoreOccurrences(body);
    for (const json& row : body.value("tasks", json::array())) {
      Task* task = Find({ Id(),
                          row.at(0).get<int>(),
                          row.at(1).get<int>(),
                          row.at(2).get<int>() });
      if (task == nullptr) {
        continue;
      }
      task->m_failedAttempts = row.at(4).get<std::set<std::int64_t>>();
      task->m_checkpoint = row.at(5).get<std::string>();
      if (row.at(3).get<int>() != 0) {
        MarkDone(*task);
      }
    }
    m_workers = body.value("workers", std::set<std::string>{});
    m_recordedWorkers = m_workers;
    const auto state =
      ValueOf(kJobStateNames, body.at("state").get<std::string>());
    if (!state) {
      throw Error(ErrorCode::InvalidInput,
                  absl::StrCat("progress of job ", Id(), ": unknown state"));
    }
    m_state = *state;
  } catch (const json::exception& error) {
    throw Error(ErrorCode::InvalidInput,
                absl::StrCat("progress of job ", Id(), ": ", error.what()));
  }
}

}
