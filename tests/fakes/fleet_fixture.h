#pragma once

#include "jobs/maintenance_wave.h"
#include "scheduler/fleet_controller.h"
#include "scheduler/shard_layout.h"
#include "tests/fakes/fake_machines.h"
#include "tests/fakes/job_cluster.h"

#include <memory>
#include <string>

namespace bramleystall {

/** A cluster of one daemon whose workers run on machines of the platform. */
struct FleetFixture
{
  explicit FleetFixture(int aMachines);
  ~FleetFixture();

  /** Adds a queue and its pool, which has no machines yet. */
  void AddQueueWithPool(const std::string& aName);

  void StartController();

  /** Acts as the platform after an order: a new worker starts later. */
  void Replace(const std::string& aMachine, const std::string& aPool);

  JobCluster m_cluster;
  FakeMachines m_machines{ m_cluster.m_loop };
  /** One shard, unless a test divides the machines. */
  ShardLayout m_layout;
  /** False to act as if the store lease had not been renewed. */
  bool m_holdsLease = true;
  std::unique_ptr<FleetController> m_controller;
};

/** Wave number 1 on the first machines of a fixture. */
MaintenanceWave
MakeWave(int aMachines, int aMaxConcurrent);

}
