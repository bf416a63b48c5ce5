#pragma once

#include "core/enum_names.h"

#include <absl/time/time.h>

#include <string>
#include <vector>

namespace bramleystall {

/** Urgency of work; a lower value is served first inside a team. */
enum class Urgency
{
  Urgent,
  Normal,
  Background,
};

inline constexpr EnumNames<Urgency, 3> kUrgencyNames = { {
  { Urgency::Urgent, "urgent" },
  { Urgency::Normal, "normal" },
  { Urgency::Background, "background" },
} };

/** Measure against a running task, from the least to the most disruptive. */
enum class StopMeasure
{
  Throttle,
  Checkpoint,
  Stop,
};

inline constexpr EnumNames<StopMeasure, 3> kStopMeasureNames = { {
  { StopMeasure::Throttle, "throttle" },
  { StopMeasure::Checkpoint, "checkpoint" },
  { StopMeasure::Stop, "stop" },
} };

/** Resources of one request or task, as its operator declares them. */
struct DeclaredSize
{
  double m_cores = 1;
  int m_memoryMb = 256;
  int m_accelerators = 0;
  absl::Duration m_runTime = absl::Seconds(1);
};

/** One service, as its service file describes it. */
struct ServiceSpec
{
  std::string m_name;
  std::string m_team;
  std::string m_pool;
  /** Number of workers of the pool; 0 when another service owns the pool. */
  int m_poolWorkers = 0;
  /** Fraction of the pool's workers that must be ready, over 0, at most 1. */
  double m_availabilityBudget = 0;
  std::string m_kind;
  Urgency m_urgency = Urgency::Normal;
  /** Share of the pool relative to other kinds of equal urgency, over 0. */
  double m_weight = 1;
  /** Requests are routed by host or by the longest matching path prefix. */
  std::vector<std::string> m_hosts;
  std::string m_pathPrefix;
  /** Methods and path prefixes whose requests are idempotent. */
  std::vector<std::string> m_idempotentMethods;
  std::vector<std::string> m_idempotentPaths;
  absl::Duration m_defaultDeadline = absl::Seconds(10);
  absl::Duration m_maxDeadline = absl::Seconds(30);
  /** Largest number of requests that one daemon queues for the service. */
  int m_queueLimit = 1000;
  absl::Duration m_stopGrace = absl::Seconds(10);
  std::vector<StopMeasure> m_stopMeasures;
  DeclaredSize m_declared;

  bool OwnsPool() const { return m_poolWorkers > 0; }

  /** Whether a request may be repeated without a second side effect. */
  bool IsIdempotent(const std::string& aMethod, const std::string& aPath) const;
};

}
