#pragma once

#include <string>

namespace bramleystall {

/** Throws Error (Unavailable): the server cannot listen on the address. */
[[noreturn]] void
ThrowListenError(const std::string& aAddress, int aPort);

/** Listens on a numeric IP address; port 0 lets the system choose a free one.
 * Returns the non-blocking socket. Throws Error (Unavailable). */
int
OpenListenSocket(const std::string& aAddress, int aPort);

/** Makes the kernel drop new connections to a listening socket. Callers
 * retransmit their SYN and then find the port closed. The filter drops only TCP
 * segments with the SYN flag, so that handshakes in progress complete. */
void
IgnoreNewConnections(int aListener);

}
