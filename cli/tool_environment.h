#pragma once

#include "consul/http_client.h"
#include "consul/platform_store.h"
#include "consul/writer_hooks.h"
#include "core/tool_settings.h"

#include <functional>
#include <iosfwd>
#include <memory>

namespace bramleystall {

/** Output streams and external functions of the tool; tests replace them. */
struct ToolEnvironment
{
  std::ostream& m_out;
  std::ostream& m_error;
  std::function<std::shared_ptr<PlatformStore>(const PlatformSettings&)>
    m_openStore;
  /** Sends an HTTP request; called from several threads at the same time. */
  std::function<ClientResponse(const ClientRequest&)> m_send;
  WriterHooks m_hooks;
};

}
