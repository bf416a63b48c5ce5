#pragma once

#include <absl/time/time.h>

#include <string>
#include <vector>

namespace bramleystall {

/** A daemon and the address, "127.0.0.1:port", at which it listens. */
struct PeerAddress
{
  std::string m_daemon;
  std::string m_dataCentre;
  std::string m_address;
};

struct ClusterSettings
{
  std::string m_daemon;
  std::string m_dataCentre;
  /** Address to listen on, to which the other daemons connect. */
  std::string m_listenAddress;
  /** Daemons to contact; an entry for this daemon is ignored. */
  std::vector<PeerAddress> m_seeds;
  /** Longest time that a request may run at a worker. */
  absl::Duration m_maxDeadline = absl::Seconds(30);
  int m_slotsPerWorker = 8;
};

}
