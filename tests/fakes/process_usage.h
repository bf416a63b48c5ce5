#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <string>

#include <sys/types.h>

namespace bramleystall {

/** Largest resident memory that a process has had, in bytes. Throws
 * std::runtime_error if the process does not exist. */
inline std::size_t
PeakMemoryBytes(pid_t aPid)
{
  std::ifstream file("/proc/" + std::to_string(aPid) + "/status");
  for (std::string line; std::getline(file, line);) {
    if (line.starts_with("VmHWM:")) {
      return std::stoull(line.substr(6)) * 1024;
    }
  }
  throw std::runtime_error("no peak memory of process " + std::to_string(aPid));
}

/** Bytes that the kernel has received on the connections of a local TCP port,
 * and that the process has not read. */
inline std::size_t
UnreadBytes(std::uint16_t aPort)
{
  std::ifstream file("/proc/net/tcp");
  std::size_t unread = 0;
  std::string line;
  std::getline(file, line); // The names of the columns.
  while (std::getline(file, line)) {
    std::istringstream row(line);
    std::string slot;
    std::string local;
    std::string remote;
    std::string state;
    std::string queues;
    row >> slot >> local >> remote >> state >> queues;
    const bool isOfPort =
      std::stoul(local.substr(local.find(':') + 1), nullptr, 16) == aPort;
    constexpr const char* kListening = "0A";
    if (isOfPort && state != kListening) {
      unread += std::stoul(queues.substr(queues.find(':') + 1), nullptr, 16);
    }
  }
  return unread;
}

/** Number of descriptors that a process has open. */
inline std::size_t
OpenDescriptors(pid_t aPid)
{
  const std::filesystem::directory_iterator entries(
    "/proc/" + std::to_string(aPid) + "/fd");
  return static_cast<std::size_t>(std::distance(std::filesystem::begin(entries),
                                                std::filesystem::end(entries)));
}

}
