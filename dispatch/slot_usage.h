#pragma once

#include <string>

namespace bramleystall {

/** Use of one worker's slots by this daemon. */
struct SlotUsage
{
  std::string m_vm;
  /** Requests in flight at the worker. */
  int m_inFlight = 0;
  /** Slot tokens that this daemon holds. */
  int m_allowance = 0;
  /** Requests queued in this daemon for the worker's pool. */
  int m_waiting = 0;
};

}
