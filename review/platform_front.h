#pragma once

#include "review/http_message.h"
#include "review/http_server.h"
#include "review/small_deployment.h"

#include <functional>
#include <optional>
#include <string>

namespace third_review {

/** `memory_mb` of the machines of lican-gt. */
inline constexpr int kMemoryMb = 260;

/**
 * Addresses of the platform for daemons of a small deployment: its store, with
 * calls that a case may handle otherwise, and its machine service.
 */
class PlatformFront
{
public:
  /** Returns a response if the call is not to be passed on to the store;
   * status 0 stands for none. */
  using StoreHook = std::function<std::optional<second_review::HttpResponse>(
    const second_review::HttpRequest&)>;

  PlatformFront(second_review::SmallDeployment& aDeployment, StoreHook aHook);

  /** Starts a daemon that is given these addresses, with the settings of a
   * machine of lican-gt. */
  void AddDaemon();
  /** Removes the settings and the logs of the daemons. */
  void RemoveFolder() const;

private:
  second_review::HttpResponse HandleStore(
    const second_review::HttpRequest& aRequest);
  second_review::HttpResponse HandleMachines(
    const second_review::HttpRequest& aRequest);

  second_review::SmallDeployment& m_deployment;
  StoreHook m_hook;
  std::string m_folder;
  second_review::HttpServer m_store;
  second_review::HttpServer m_machines;
};

/** Configuration with one queue, of the host kHost and the prefix /q/. */
void
ConfigureQueue(second_review::SmallDeployment& aDeployment,
               const std::string& aService);

}
