#pragma once

#include "consul/http_client.h"
#include "consul/platform_store.h"
#include "consul/writer_hooks.h"
#include "core/tool_settings.h"

#include <functional>
#include <iosfwd>
#include <memory>

namespace bramleystall {

/** What the tool takes from its surroundings; tests replace it. */
struct ToolEnvironment
{
  std::ostream& m_out;
  std::ostream& m_error;
  std::function<std::shared_ptr<PlatformStore>(const PlatformSettings&)>
    m_openStore;
  /** Sends an HTTP request; called from several threads. */
  std::function<ClientResponse(const ClientRequest&)> m_send;
  WriterHooks m_hooks;
};

}
