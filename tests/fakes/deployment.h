#pragma once

#include "core/configuration.h"
#include "core/fleet_document.h"
#include "tests/fakes/child_process.h"
#include "tests/support/temporary_folder.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace bramleystall {

/**
 * Runs the platform stand-in, a target stand-in and the daemons of an example
 * deployment as child processes. The destructor kills them.
 */
class Deployment
{
public:
  /**
   * @param aPrograms folder of the built programs
   * @param aName `consortium` or `cooperative`
   * @param aFirstPort first of 40 consecutive free TCP ports on 127.0.0.1
   */
  Deployment(std::string aPrograms, const std::string& aName, int aFirstPort);

  /** Starts the platform stand-in. */
  void StartPlatform();

  /**
   * Starts a target stand-in, and fills the store and the VM list with ready
   * VMs that all have its address. Multiplies the pools of the example by the
   * scale. Returns the number of VMs.
   */
  int AddVms(int aScale);

  /** Adds fields to the settings of the daemons that are started later. */
  void AddSettings(const nlohmann::json& aFields)
  {
    m_addedSettings.update(aFields);
  }

  void StartDaemons();

  /** Starts a daemon whose process has ended. */
  void RestartDaemon(std::size_t aDaemon);

  /** Kills the platform stand-in, which makes the store unavailable. */
  void KillPlatform();

  ChildProcess& Daemon(std::size_t aDaemon) { return *m_daemons[aDaemon]; }

  /** URL of the caller port of a daemon. */
  std::string CallerUrl(std::size_t aDaemon) const;

  /** Waits until every daemon serves `/v1/status` on its admin port. */
  void WaitUntilUp() const;

  /** Waits until every daemon has joined and applied its documents. */
  void WaitUntilReady() const;

  /** Configuration of the example with its pools scaled. */
  const Configuration& ScaledConfiguration() const { return m_configuration; }
  const std::string& PlatformUrl() const { return m_platformUrl; }
  std::size_t Size() const { return m_daemons.size(); }

  /** `GET /v1/status` of a daemon. */
  nlohmann::json Status(std::size_t aDaemon) const;
  /** `GET /metrics` of a daemon. */
  std::string MetricsText(std::size_t aDaemon) const;
  pid_t Pid(std::size_t aDaemon) const { return m_daemons[aDaemon]->Pid(); }
  /** Number of calls that the platform stand-in has received, by kind. */
  nlohmann::json StoreCalls() const;

private:
  std::string DataCentreOf(std::size_t aDaemon) const;
  void WriteSettings(std::size_t aDaemon);
  std::unique_ptr<ChildProcess> StartProcess(std::size_t aDaemon) const;
  std::string Get(const std::string& aUrl) const;
  void WaitForStatus(
    const std::function<bool(const nlohmann::json&)>& aCondition) const;

  std::string m_programs;
  int m_firstPort;
  std::size_t m_dataCentreCount;
  std::size_t m_daemonCount;
  Configuration m_configuration;
  std::string m_platformUrl;
  nlohmann::json m_addedSettings = nlohmann::json::object();
  TemporaryFolder m_folder;
  std::unique_ptr<ChildProcess> m_platform;
  std::unique_ptr<ChildProcess> m_target;
  std::vector<std::unique_ptr<ChildProcess>> m_daemons;
};

}
