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
 * Child process of a test. Signals are sent only to the process that this
 * object started, and only until its exit status has been collected, since the
 * kernel may reuse its id afterwards.
 */
class ChildProcess
{
public:
  /** Starts a program with arguments. Throws std::runtime_error on failure. */
  ChildProcess(const std::string& aProgram,
               const std::vector<std::string>& aArguments);
  /** Kills the process if it still runs, and waits for it. */
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  /**
   * Waits for the line "listening on port N" on the standard output and returns
   * N. Throws std::runtime_error when the line does not appear in time.
   */
  std::uint16_t WaitForPort(absl::Duration aTimeout = absl::Seconds(10));

  /** Sends a signal; does nothing once the exit status was collected. */
  void Signal(int aSignal);

  /**
   * Waits for the process to exit. Returns its exit code, or 128 plus the
   * signal that terminated it, or nothing when it still runs at the time-out.
   */
  std::optional<int> Wait(absl::Duration aTimeout);

  pid_t Pid() const { return m_pid; }

  /** Text that the program has written to its standard output so far. */
  std::string Output() const;

  /** Whole standard output; waits until the program has closed it. */
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

/** Path of a program in the build folder of the tests. */
std::string
BuiltProgram(const std::string& aName);

}
