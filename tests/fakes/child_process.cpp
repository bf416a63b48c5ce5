#include "tests/fakes/child_process.h"

#include "core/clock.h"

#include <absl/time/clock.h>

#include <csignal>
#include <cstdlib>
#include <cstring>
#include <regex>
#include <stdexcept>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace bramleystall {

namespace {

constexpr int kSignalExitCodeBase = 128;

pid_t
Spawn(const std::string& aProgram,
      const std::vector<std::string>& aArguments,
      int aOutput)
{
  std::vector<std::string> texts = { aProgram };
  texts.insert(texts.end(), aArguments.begin(), aArguments.end());
  std::vector<char*> arguments;
  arguments.reserve(texts.size() + 1);
  for (auto& text : texts) {
    arguments.push_back(text.data());
  }
  arguments.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_adddup2(&actions, aOutput, STDOUT_FILENO);
  pid_t pid = -1;
  const int error = posix_spawn(
    &pid, aProgram.c_str(), &actions, nullptr, arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) {
    throw std::runtime_error("cannot start " + aProgram + ": " +
                             std::strerror(error));
  }
  return pid;
}

}

ChildProcess::ChildProcess(const std::string& aProgram,
                           const std::vector<std::string>& aArguments)
{
  int pipeEnds[2];
  if (pipe2(pipeEnds, O_CLOEXEC) != 0) {
    throw std::runtime_error("cannot create a pipe");
  }
  try {
    m_pid = Spawn(aProgram, aArguments, pipeEnds[1]);
  } catch (...) {
    close(pipeEnds[0]);
    close(pipeEnds[1]);
    throw;
  }
  close(pipeEnds[1]);
  m_reader = std::thread([this, end = pipeEnds[0]] { ReadOutput(end); });
}

ChildProcess::~ChildProcess()
{
  Signal(SIGKILL);
  // A process cannot block SIGKILL, so this wait is short.
  Wait(absl::InfiniteDuration());
  m_reader.join();
}

void
ChildProcess::ReadOutput(int aPipe)
{
  char buffer[4096];
  while (true) {
    const ssize_t length = read(aPipe, buffer, sizeof(buffer));
    if (length < 0 && errno == EINTR) {
      continue;
    }
    const std::scoped_lock lock(m_mutex);
    if (length <= 0) {
      m_isClosed = true;
      m_changed.notify_all();
      break;
    }
    m_output.append(buffer, static_cast<std::size_t>(length));
    m_changed.notify_all();
  }
  close(aPipe);
}

std::uint16_t
ChildProcess::WaitForPort(absl::Duration aTimeout)
{
  static const std::regex kLine("listening on port ([0-9]+)\n");
  std::smatch match;
  std::unique_lock lock(m_mutex);
  m_changed.wait_for(lock, absl::ToChronoNanoseconds(aTimeout), [&] {
    return m_isClosed || std::regex_search(m_output, match, kLine);
  });
  if (!std::regex_search(m_output, match, kLine)) {
    throw std::runtime_error("the program did not print its port: " + m_output);
  }
  return static_cast<std::uint16_t>(std::stoi(match[1]));
}

void
ChildProcess::Signal(int aSignal)
{
  // The kernel may reuse the id once the exit status has been collected.
  if (!m_exitCode) {
    kill(m_pid, aSignal);
  }
}

std::optional<int>
ChildProcess::Wait(absl::Duration aTimeout)
{
  const absl::Time end = MonotonicNow() + aTimeout;
  while (!m_exitCode) {
    int status = 0;
    const pid_t done = waitpid(m_pid, &status, WNOHANG);
    if (done == m_pid) {
      m_exitCode = WIFEXITED(status) ? WEXITSTATUS(status)
                                     : kSignalExitCodeBase + WTERMSIG(status);
      break;
    }
    if (MonotonicNow() >= end) {
      break;
    }
    absl::SleepFor(absl::Milliseconds(2));
  }
  return m_exitCode;
}

std::string
ChildProcess::Output() const
{
  const std::scoped_lock lock(m_mutex);
  return m_output;
}

std::string
ChildProcess::FinalOutput()
{
  std::unique_lock lock(m_mutex);
  m_changed.wait(lock, [this] { return m_isClosed; });
  return m_output;
}

std::string
BuiltProgram(const std::string& aName)
{
  return std::string(BRAMLEYSTALL_BINARY_DIR "/") + aName;
}

}
