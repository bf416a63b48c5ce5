#pragma once

#include <algorithm>
#include <cstddef>
#include <filesystem>
#include <fstream>
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
