#pragma once

#include "core/metrics.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace bramleystall {

/** HTTP response of the admin interface. */
struct AdminResponse
{
  int m_status = 200;
  std::string m_contentType = "application/json";
  std::string m_body;
};

/**
 * Handlers of the endpoints of the admin interface. They are called
 * concurrently from several threads. An Error that a hook throws becomes a JSON
 * error response: 400 InvalidInput, 404 NotFound, 409 Conflict, 503
 * Unavailable, 504 OutcomeUnknown, 500 otherwise. The endpoint of a hook that
 * is not set responds with 404.
 */
struct AdminHooks
{
  /** `GET /healthz`: 200 while the process is alive. */
  std::function<AdminResponse()> m_health;
  /** `GET /readyz`: 200 while the daemon accepts requests, otherwise 503. */
  std::function<AdminResponse()> m_ready;
  /** `GET /v1/status`. */
  std::function<AdminResponse()> m_status;
  /** `GET /v1/explain/KIND/NAME`; the arguments are percent-decoded. */
  std::function<AdminResponse(const std::string& aKind,
                              const std::string& aName)>
    m_explain;
  /** `GET /v1/orders`. */
  std::function<AdminResponse()> m_orders;
  /** `POST /v1/orders` with the body. */
  std::function<AdminResponse(const std::string& aBody)> m_addOrder;
};

/** Largest accepted body of a POST; an order has a few hundred bytes. */
inline constexpr std::size_t kMaxAdminBodyBytes = 64 * 1024;

/** HTTP server for operators, on an address of its own. */
class AdminServer
{
public:
  /** Port 0 lets the system choose a free port. aMetrics must outlive the
   * server. */
  AdminServer(const std::string& aAddress,
              std::uint16_t aPort,
              AdminHooks aHooks,
              Metrics& aMetrics);
  ~AdminServer();
  AdminServer(const AdminServer&) = delete;
  AdminServer& operator=(const AdminServer&) = delete;

  /** Starts to listen. Throws Error: InvalidInput when the address is not an
   * IPv4 address, Unavailable when the port is in use. */
  void Start();

  /** Closes connections whose request is incomplete for too long; to be called
   * at least once a second. */
  void Tick();

  /** Stops the server and waits for requests in progress. */
  void Stop();

  /** Port that the server listens on; 0 while it does not run. */
  std::uint16_t Port() const;

private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}
