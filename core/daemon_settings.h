#pragma once

#include "core/log.h"
#include "core/process_limits.h"

#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace bramleystall {

/** IPv4 address and port that a server listens on. */
struct ListenAddress
{
  std::string m_address;
  std::uint16_t m_port = 0;
};

/** Settings of the server for callers. */
struct CallerSettings
{
  ListenAddress m_listen;
  int m_threads = 8;
  std::size_t m_maxRequestBytes = std::size_t{ 1 } << 20;
  std::size_t m_maxResponseBytes = std::size_t{ 8 } << 20;
};

/** Another daemon, which this one contacts when it starts. */
struct PeerSeed
{
  std::string m_daemon;
  std::string m_dataCentre;
  /** IP address and port, "127.0.0.1:7000". */
  std::string m_address;
};

/** Settings of the server for the other daemons. */
struct PeerSettings
{
  ListenAddress m_listen;
  std::vector<PeerSeed> m_seeds;
};

/** Connection to the platform. */
struct PlatformSettings
{
  std::string m_url;
  absl::Duration m_timeout = absl::Seconds(2);
};

/** Settings of `bramleystalld`, read once when it starts. */
struct DaemonSettings
{
  std::string m_daemon;
  std::string m_dataCentre;
  CallerSettings m_callers;
  ListenAddress m_admin;
  PeerSettings m_peers;
  PlatformSettings m_platform;
  /** Time to live of the decider's store session. */
  absl::Duration m_leaseTtl = absl::Seconds(10);
  LogLevel m_logLevel = LogLevel::Info;
  LogFormat m_logFormat = LogFormat::Text;
  /** Longest wait for requests in flight during a graceful shutdown. */
  absl::Duration m_drainTimeout = absl::Seconds(65);
  ProcessLimits m_limits;
};

/** Reads the settings. Throws Error (InvalidInput) with one line for each
 * error in the file. */
DaemonSettings
LoadDaemonSettings(const std::string& aPath);

/** Whether the text is an IPv4 address and a port from 1 to 65535. */
bool
IsIpv4AddressWithPort(const std::string& aText);

/** Whether the text is an IPv4 address. */
bool
IsIpv4Address(const std::string& aText);

}
