#include "jobs/job_codec.h"

#include "core/error.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace bramleystall {

namespace {

using nlohmann::json;

template<typename T>
void
SetUnlessDefault(json& aObject, const char* aName, const T& aValue)
{
  if (aValue != T{}) {
    aObject[aName] = aValue;
  }
}

json
EncodeStep(const StepSpec& aStep)
{
  json step = { { "count", aStep.m_count } };
  SetUnlessDefault(step, "cpu", aStep.m_need.m_cpu);
  SetUnlessDefault(step, "memory_mb", aStep.m_need.m_memoryMb);
  SetUnlessDefault(step, "accelerators", aStep.m_need.m_accelerators);
  SetUnlessDefault(step, "estimate_ms", aStep.m_estimateMs);
  SetUnlessDefault(step, "after", aStep.m_after);
  SetUnlessDefault(step, "checkpoints", aStep.m_hasCheckpoints);
  SetUnlessDefault(step, "gang", aStep.m_isGang);
  SetUnlessDefault(step, "one_rack", aStep.m_prefersOneRack);
  SetUnlessDefault(step, "speculative", aStep.m_isSpeculative);
  SetUnlessDefault(step, "long_running", aStep.m_isLongRunning);
  SetUnlessDefault(step, "filler", aStep.m_isFiller);
  SetUnlessDefault(step, "label", aStep.m_requiredLabel);
  SetUnlessDefault(step, "data_rack", aStep.m_dataRack);
  SetUnlessDefault(step, "image", aStep.m_image);
  SetUnlessDefault(step, "max_per_worker", aStep.m_maxPerWorker);
  SetUnlessDefault(step, "tail_target_ms", aStep.m_tailTargetMs);
  SetUnlessDefault(step, "max_disrupted", aStep.m_maxDisrupted);
  return step;
}

StepSpec
DecodeStep(const json& aStep)
{
  StepSpec step;
  step.m_count = aStep.at("count").get<int>();
  step.m_need.m_cpu = aStep.value("cpu", std::int64_t{ 0 });
  step.m_need.m_memoryMb = aStep.value("memory_mb", std::int64_t{ 0 });
  step.m_need.m_accelerators = aStep.value("accelerators", std::int64_t{ 0 });
  step.m_estimateMs = aStep.value("estimate_ms", 0);
  step.m_after = aStep.value("after", std::vector<int>{});
  step.m_hasCheckpoints = aStep.value("checkpoints", false);
  step.m_isGang = aStep.value("gang", false);
  step.m_prefersOneRack = aStep.value("one_rack", false);
  step.m_isSpeculative = aStep.value("speculative", false);
  step.m_isLongRunning = aStep.value("long_running", false);
  step.m_isFiller = aStep.value("filler", false);
  step.m_requiredLabel = aStep.value("label", "");
  step.m_dataRack = aStep.value("data_rack", "");
  step.m_image = aStep.value("image", "");
  step.m_maxPerWorker = aStep.value("max_per_worker", 0);
  step.m_tailTargetMs = aStep.value("tail_target_ms", 0);
  step.m_maxDisrupted = aStep.value("max_disrupted", 0);
  return step;
}

}

std::string
EncodeJobRecord(const JobRecord& aRecord)
{
  json steps = json::array();
  std::ranges::transform(
    aRecord.m_steps, std::back_inserter(steps), EncodeStep);
  json record = { { "queue", aRecord.m_queue },
                  { "pool", aRecord.m_pool },
                  { "accepted_at_ms", aRecord.m_acceptedAtMs },
                  { "payload", aRecord.m_payload },
                  { "steps", std::move(steps) },
                  { "max_attempts", aRecord.m_maxAttempts } };
  SetUnlessDefault(record, "tenant", aRecord.m_tenant);
  SetUnlessDefault(record, "public", aRecord.m_isPublic);
  SetUnlessDefault(record, "priority", aRecord.m_priority);
  SetUnlessDefault(record, "repeats", aRecord.m_repeats);
  SetUnlessDefault(record, "first_due_ms", aRecord.m_firstDueMs);
  SetUnlessDefault(record, "interval_ms", aRecord.m_intervalMs);
  SetUnlessDefault(record, "entry_shard", aRecord.m_entryShard);
  return record.dump();
}

JobRecord
DecodeJobRecord(const std::string& aId, const std::string& aJson)
{
  try {
    const json body = json::parse(aJson);
    JobRecord record;
    record.m_id = aId;
    record.m_queue = body.at("queue").get<std::string>();
    record.m_pool = body.at("pool").get<std::string>();
    record.m_acceptedAtMs = body.at("accepted_at_ms").get<std::int64_t>();
    record.m_payload = body.at("payload").get<std::string>();
    std::ranges::transform(
      body.at("steps"), std::back_inserter(record.m_steps), DecodeStep);
    record.m_maxAttempts = body.at("max_attempts").get<int>();
    record.m_tenant = body.value("tenant", "");
    record.m_isPublic = body.value("public", false);
    record.m_priority = body.value("priority", 0);
    record.m_repeats = body.value("repeats", 0);
    record.m_firstDueMs = body.value("first_due_ms", std::int64_t{ 0 });
    record.m_intervalMs = body.value("interval_ms", std::int64_t{ 0 });
    record.m_entryShard = body.value("entry_shard", 0);
    return record;
  } catch (const json::exception& error) {
    throw Error(ErrorCode::InvalidInput,
                absl::StrCat("job record ", aId, ": ", error.what()));
  }
}

}
