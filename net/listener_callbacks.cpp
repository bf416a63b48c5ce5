#include "net/listener_callbacks.h"

#include <absl/strings/numbers.h>

#include <utility>

namespace bramleystall {

MHD_Result
AcceptConnection(void* aTable, const sockaddr* /*aAddress*/, socklen_t)
{
  return static_cast<ConnectionTable*>(aTable)->MayAccept() ? MHD_YES : MHD_NO;
}

void
NotifyConnection(void* aTable,
                 MHD_Connection* aConnection,
                 void** aEntry,
                 MHD_ConnectionNotificationCode aCode)
{
  auto& table = *static_cast<ConnectionTable*>(aTable);
  if (aCode == MHD_CONNECTION_NOTIFY_STARTED) {
    *aEntry = table.Open(
      MHD_get_connection_info(aConnection, MHD_CONNECTION_INFO_CONNECTION_FD)
        ->connect_fd);
    return;
  }
  table.Close(
    static_cast<ConnectionTable::Connection*>(std::exchange(*aEntry, nullptr)));
}

ConnectionTable::Connection&
EntryOf(MHD_Connection* aConnection)
{
  return *static_cast<ConnectionTable::Connection*>(
    MHD_get_connection_info(aConnection, MHD_CONNECTION_INFO_SOCKET_CONTEXT)
      ->socket_context);
}

std::uint64_t
DeclaredLength(MHD_Connection* aConnection)
{
  const char* const text = MHD_lookup_connection_value(
    aConnection, MHD_HEADER_KIND, MHD_HTTP_HEADER_CONTENT_LENGTH);
  std::uint64_t length = 0;
  return text && absl::SimpleAtoi(text, &length) ? length : 0;
}

}
