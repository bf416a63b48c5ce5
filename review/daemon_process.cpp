#include "review/daemon_process.h"

#include "review/case_record.h"
#include "review/http_server.h"

#include <nlohmann/json.hpp>

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace second_review {

namespace {

using nlohmann::json;

constexpr int kBytesPerKb = 1024;

/** The project's settings, as deploy/settings.json.tmpl renders them for a
 * machine of lican-gt. */
json
MakeSettings(const DaemonSettings& aSettings,
             const std::string& aCallers,
             const std::string& aReady)
{
  return { { "daemon", aSettings.m_name },
           { "data_centre", "gt-a" },
           { "listen", { { "callers", aCallers }, { "ready", aReady } } },
           { "store", aSettings.m_store },
           { "machines", aSettings.m_machines },
           { "advice", aSettings.m_advice },
           { "grace_ms", 6000 },
           { "max_worker_lease_ms", 10000 },
           { "stop_ms", 200 },
           { "job_retention_s", 120 },
           { "notice_ms", 4500 },
           { "move_s", 1.5 },
           { "upkeep_s", 2 },
           { "machine_turn_ms", 3000 },
           { "machine_orders_per_s", 64.0 },
           { "machine_reads_per_s", 64.0 },
           { "cores", 0.25 },
           { "link_mbps", 1000.0 } };
}

}

DaemonProcess::DaemonProcess(CaseRecord& aRecord,
                             const DaemonSettings& aSettings)
  : m_record(aRecord)
  , m_settings(aSettings)
  , m_callers(FreeAddress())
  , m_ready(FreeAddress())
{
  std::ofstream file(m_settings.m_folder + "/" + m_settings.m_name + ".json");
  file << MakeSettings(m_settings, m_callers, m_ready).dump(2);
}

DaemonProcess::~DaemonProcess()
{
  if (m_process != 0) {
    kill(m_process, SIGKILL);
    waitpid(m_process, nullptr, 0);
  }
}

void
DaemonProcess::Start()
{
  const std::string base = m_settings.m_folder + "/" + m_settings.m_name;
  const std::string settings = "--settings=" + base + ".json";
  const std::string log = base + ".log";
  m_process = fork();
  if (m_process == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int output =
      open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    execl("target/bramleystalld",
          "target/bramleystalld",
          "--jobs",
          settings.c_str(),
          "--charts=charts",
          nullptr);
    _exit(EXIT_FAILURE);
  }
  m_record.Add("daemon " + Name() + " starts, callers at " + m_callers);
}

void
DaemonProcess::Signal(int aSignal) const
{
  if (m_process != 0) {
    kill(m_process, aSignal);
  }
}

bool
DaemonProcess::HasEnded()
{
  if (m_process != 0 && waitpid(m_process, nullptr, WNOHANG) == m_process) {
    m_process = 0;
  }
  return m_process == 0;
}

int
DaemonProcess::MemoryMb() const
{
  std::ifstream file("/proc/" + std::to_string(m_process) + "/status");
  std::string word;
  while (file >> word) {
    if (word == "VmRSS:") {
      int kilobytes = 0;
      file >> kilobytes;
      return kilobytes / kBytesPerKb;
    }
  }
  return 0;
}

}
