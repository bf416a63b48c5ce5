#pragma once

#include <sys/types.h>

#include <string>

namespace second_review {

class CaseRecord;

/** Addresses that a daemon is told in its settings. */
struct DaemonSettings
{
  std::string m_name;
  std::string m_store;
  std::string m_machines;
  std::string m_advice;
  /** Temporary folder for the settings file and the log. */
  std::string m_folder;
};

/** A process of the project, started with the command of the deploy file. */
class DaemonProcess
{
public:
  DaemonProcess(CaseRecord& aRecord, const DaemonSettings& aSettings);
  ~DaemonProcess();
  DaemonProcess(const DaemonProcess&) = delete;
  DaemonProcess& operator=(const DaemonProcess&) = delete;

  const std::string& Name() const { return m_settings.m_name; }
  const std::string& Callers() const { return m_callers; }
  const std::string& Ready() const { return m_ready; }
  void Start();
  /** Sends a signal to the process. */
  void Signal(int aSignal) const;
  /** Whether the process has ended; collects it. */
  bool HasEnded();
  /** Memory that the process occupies, in MB. */
  int MemoryMb() const;

private:
  CaseRecord& m_record;
  DaemonSettings m_settings;
  std::string m_callers;
  std::string m_ready;
  pid_t m_process = 0;
};

}
