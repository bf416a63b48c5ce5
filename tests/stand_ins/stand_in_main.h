#pragma once

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <iostream>

#include <pthread.h>

namespace bramleystall {

/**
 * Blocks the signals that end a stand-in in this thread and in all threads
 * that it starts later, so that WaitForEnd receives them.
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

/** Prints the line that tells a test which port was chosen. */
inline void
PrintPort(unsigned aPort)
{
  std::cout << "listening on port " << aPort << std::endl;
}

}
