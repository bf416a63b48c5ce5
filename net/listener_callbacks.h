#pragma once

#include "net/connection_table.h"

#include <microhttpd.h>

#include <cstdint>

namespace bramleystall {

/** Callback of libmicrohttpd that decides for the ConnectionTable aTable
 * whether to accept a connection. */
MHD_Result
AcceptConnection(void* aTable, const sockaddr* aAddress, socklen_t aSize);

/** Callback of libmicrohttpd (MHD_OPTION_NOTIFY_CONNECTION) that enters each
 * connection in the ConnectionTable aTable. */
void
NotifyConnection(void* aTable,
                 MHD_Connection* aConnection,
                 void** aEntry,
                 MHD_ConnectionNotificationCode aCode);

/** The table's entry of a connection. */
ConnectionTable::Connection&
EntryOf(MHD_Connection* aConnection);

/** Value of the request's Content-Length; 0 when it is absent or not a number.
 */
std::uint64_t
DeclaredLength(MHD_Connection* aConnection);

}
