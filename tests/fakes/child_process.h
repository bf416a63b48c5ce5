#pragma once

#include <absl/time/time.h>

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <sys/types.h>

namespace bramleystall {

/**
 * Program that a test starts and ends. Signals go only to the process that it
 * started itself, and only while that process has not been waited for.
 */
class ChildProcess
{
public:
  /** Starts a program with arguments. Throws std::runtime_error. */
  ChildProcess(const std::string& aProgram,
               const std::vector<std::string>& aArguments);
  /** Kills the process if it still runs, and waits for it. */
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  /** Waits for the line "listening on port N"; throws when it does not come. */
  std::uint16_t WaitForPort(absl::Duration aTimeout = absl::Seconds(10));

  /** Sends a signal to the process; does nothing once it has ended. */
  void Signal(int aSignal);

  /** Exit code, 128 plus the signal, or nothing when it still runs. */
  std::optional<int> Wait(absl::Duration aTimeout);

  pid_t Pid() const { return m_pid; }

  /** What the program wrote to its standard output so far. */
  std::string Output() const;

  /** All of the output; waits until the program has closed it. */
  std::string FinalOutput();

private:
  void ReadOutput(int aPipe);

  pid_t m_pid = -1;
  std::optional<int> m_exitCode;
  mutable std::mutex m_mutex;
  std::condition_variable m_changed;
  std::string m_output;
  bool m_isClosed = false;
  std::thread m_reader;
};

/** Path of a program of this build. */
std::string
BuiltProgram(const std::string& aName);

}
