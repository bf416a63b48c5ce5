#pragma once

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <iostream>

#include <pthread.h>

namespace bramleystall {

/**
 * Blocks SIGTERM and SIGINT in this thread and in all threads that it starts
 * later, so that `sigtimedwait` can receive them. Returns these signals.
 */
inline sigset_t
BlockTerminationSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

/** Prints the line from which a test reads the port in use. */
inline void
PrintPort(unsigned aPort)
{
  std::cout << "listening on port " << aPort << std::endl;
}

}
