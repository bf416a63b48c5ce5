#pragma once

#include "core/metrics.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace bramleystall {

/** Response of the admin interface. */
struct AdminResponse
{
  int m_status = 200;
  std::string m_contentType = "application/json";
  std::string m_body;
};

/**
 * What the admin interface shows and does. Hooks are called from several
 * threads. An Error that a hook throws becomes a JSON error response: 400
 * InvalidInput, 404 NotFound, 409 Conflict, 503 Unavailable, 504
 * OutcomeUnknown, 500 otherwise. A hook that is not set gives 404.
 */
struct AdminHooks
{
  /** `GET /healthz`: 200 while the process works. */
  std::function<AdminResponse()> m_health;
  /** `GET /readyz`: 200 while the daemon takes requests, otherwise 503. */
  std::function<AdminResponse()> m_ready;
  /** `GET /v1/status`. */
  std::function<AdminResponse()> m_status;
  /** `GET /v1/explain/KIND/NAME`; the arguments are decoded. */
  std::function<AdminResponse(const std::string& aKind,
                              const std::string& aName)>
    m_explain;
  /** `GET /v1/orders`. */
  std::function<AdminResponse()> m_orders;
  /** `POST /v1/orders` with the body. */
  std::function<AdminResponse(const std::string& aBody)> m_addOrder;
};

/** Largest body of a POST, in bytes; an order has a few hundred. */
inline constexpr std::size_t kMaxAdminBodyBytes = 64 * 1024;

/** HTTP server for operators, on its own address. */
class AdminServer
{
public:
  /** Port 0 lets the system choose one. */
  AdminServer(const std::string& aAddress,
              std::uint16_t aPort,
              AdminHooks aHooks,
              Metrics& aMetrics);
  ~AdminServer();
  AdminServer(const AdminServer&) = delete;
  AdminServer& operator=(const AdminServer&) = delete;

  /** Starts to listen. Throws Error (Unavailable) when the port is taken. */
  void Start();

  /** Stops and waits for running requests. */
  void Stop();

  /** The port that the server listens on; 0 before Start. */
  std::uint16_t Port() const;

private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}
