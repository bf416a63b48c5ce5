#include "core/daemon_settings.h"
#include "core/error.h"
#include "core/job_settings.h"
#include "core/log.h"
#include "daemon/daemon.h"
#include "daemon/job_daemon.h"

#include <absl/strings/str_cat.h>
#include <curl/curl.h>
#include <gflags/gflags.h>

#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <malloc.h>
#include <thread>
#include <unistd.h>

DEFINE_string(settings, "", "JSON file with the settings of the daemon");
DEFINE_string(charts,
              BRAMLEYSTALL_CHARTS_DIR,
              "folder of the state chart files");
DEFINE_bool(jobs,
            false,
            "manage jobs on the platform that the settings describe");

namespace {

using namespace bramleystall;

// Exit codes as in the operators' tool: 2 invalid input, 4 unavailable.
constexpr int kExitUsage = 1;
constexpr int kExitInvalidInput = 2;
constexpr int kExitUnavailable = 4;

/**
 * Lets the allocator return each buffer from 128 KiB at once when it is freed.
 * By default glibc raises this threshold to the largest buffer freed so far;
 * the bodies of evicted requests then stay in its heaps.
 */
void
ReturnLargeBuffers()
{
  constexpr int kMmapThresholdBytes = 128 * 1024;
  mallopt(M_MMAP_THRESHOLD, kMmapThresholdBytes);
}

sigset_t
BlockTerminationSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  // A peer or caller that closes its connection must not end the process.
  std::signal(SIGPIPE, SIG_IGN);
  return signals;
}

void
WaitForSignal(const sigset_t& aSignals)
{
  int signal = 0;
  sigwait(&aSignals, &signal);
}

/** Ends the process at the next signal, without waiting for requests that the
 * shutdown still drains. */
void
ExitOnNextSignal(const sigset_t& aSignals)
{
  std::thread([aSignals] {
    WaitForSignal(aSignals);
    LogWarning(LogPart::Main,
               "received second stop signal; exiting immediately.");
    _exit(EXIT_FAILURE);
  }).detach();
}

int
RunJobs()
{
  InitLog(LogLevel::Info,
          LogFormat::Text,
          LoadJobSettings(FLAGS_settings).m_daemon,
          LogStream::StandardOutput);
  std::signal(SIGPIPE, SIG_IGN);
  curl_global_init(CURL_GLOBAL_DEFAULT);
  JobDaemon daemon(FLAGS_settings, FLAGS_charts);
  daemon.Run();
  return EXIT_SUCCESS;
}

int
Run()
{
  const DaemonSettings settings = LoadDaemonSettings(FLAGS_settings);
  InitLog(settings.m_logLevel, settings.m_logFormat, settings.m_daemon);
  const sigset_t signals = BlockTerminationSignals();
  curl_global_init(CURL_GLOBAL_DEFAULT);
  Daemon daemon(settings, FLAGS_charts);
  daemon.Start();
  LogInfo(LogPart::Main, "daemon started.");
  WaitForSignal(signals);
  LogInfo(LogPart::Main, "received stop signal; finishing requests in flight.");
  ExitOnNextSignal(signals);
  daemon.Shutdown();
  LogInfo(LogPart::Main, "daemon stopped.");
  return EXIT_SUCCESS;
}

}

int
main(int argc, char** argv)
{
  gflags::SetUsageMessage("bramleystalld --settings FILE");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (FLAGS_settings.empty()) {
    std::cerr << "bramleystalld: --settings FILE is required\n";
    return kExitUsage;
  }
  ReturnLargeBuffers();
  try {
    return FLAGS_jobs ? RunJobs() : Run();
  } catch (const Error& error) {
    std::cerr << "bramleystalld: " << error.what() << "\n";
    return error.Code() == ErrorCode::InvalidInput ? kExitInvalidInput
                                                   : kExitUnavailable;
  } catch (const std::exception& error) {
    std::cerr << "bramleystalld: " << error.what() << "\n";
    return kExitUnavailable;
  }
}
