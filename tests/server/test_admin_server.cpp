#include "consul/http_client.h"
#include "core/error.h"
#include "server/admin_server.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

using namespace bramleystall;

namespace {

class AdminFixture
{
public:
  Metrics m_metrics;
  std::string m_explained;
  std::string m_order;
  AdminServer m_server{ "127.0.0.1", 0, MakeHooks(), m_metrics };
  HttpClient m_client;

  AdminFixture() { m_server.Start(); }

  ClientResponse Send(const std::string& aMethod,
                      const std::string& aPath,
                      const std::string& aBody = "")
  {
    ClientRequest request;
    request.m_method = aMethod;
    request.m_url = absl::StrCat("http://127.0.0.1:", m_server.Port(), aPath);
    request.m_body = aBody;
    return m_client.Send(request);
  }

private:
  AdminHooks MakeHooks()
  {
    AdminHooks hooks;
    hooks.m_health = [] { return AdminResponse{ 200, "text/plain", "ok" }; };
    hooks.m_ready = [] { return AdminResponse{ 503, "text/plain", "no" }; };
    hooks.m_status = []() -> AdminResponse {
      throw Error(ErrorCode::Unavailable, "store \"down\"");
    };
    hooks.m_explain = [this](const std::string& aKind,
                             const std::string& aName) {
      m_explained = absl::StrCat(aKind, "|", aName);
      return AdminResponse{ 200, "application/json", "{}" };
    };
    hooks.m_addOrder = [this](const std::string& aBody) {
      m_order = aBody;
      return AdminResponse{ 202, "application/json", "{}" };
    };
    return hooks;
  }
};

}

// Guards against requests that call the wrong hook, or call it without their
// path arguments or body.
TEST_CASE_METHOD(AdminFixture, "Admin requests reach their hooks", "[server]")
{
  CHECK(Send("GET", "/healthz").m_body == "ok");
  CHECK(Send("GET", "/readyz").m_status == 503);
  CHECK(Send("GET", "/v1/explain/vm/a%20b%2Fc").m_status == 200);
  CHECK(m_explained == "vm|a b/c");
  const std::string body(5000, 'x');
  CHECK(Send("POST", "/v1/orders", body).m_status == 202);
  CHECK(m_order == body);
  const ClientResponse metrics = Send("GET", "/metrics");
  CHECK(metrics.m_headers.at("content-type") == "text/plain; version=0.0.4");
  CHECK(metrics.m_body.find("bramleystall_admin_requests_total{route=\"add_"
                            "order\",status=\"202\"} 1\n") !=
        std::string::npos);
}

// Guards against errors of hooks and invalid requests that end the process or
// are reported as success.
TEST_CASE_METHOD(AdminFixture,
                 "Admin errors have a status and a JSON message",
                 "[server]")
{
  const ClientResponse unavailable = Send("GET", "/v1/status");
  CHECK(unavailable.m_status == 503);
  CHECK(unavailable.m_body ==
        R"({"error":"unavailable","message":"store \"down\""})");
  CHECK(Send("GET", "/v1/nothing").m_status == 404);
  CHECK(Send("GET", "/v1/orders").m_status == 404);
  CHECK(Send("GET", "/v1/explain/vm").m_status == 400);
  CHECK(Send("GET", "/v1/explain/vm/").m_status == 400);
  CHECK(Send("DELETE", "/v1/orders").m_headers.at("allow") == "GET, POST");
  CHECK(Send("DELETE", "/v1/orders").m_status == 405);
  CHECK(Send("POST", "/healthz", "x").m_status == 405);
  CHECK(Send("POST", "/v1/orders", std::string(kMaxAdminBodyBytes + 1, 'x'))
          .m_status == 413);
  CHECK(m_order.empty());
}

// Guards against a daemon that runs without its admin interface because another
// process uses the port.
TEST_CASE_METHOD(AdminFixture, "A port in use is an error", "[server]")
{
  AdminServer second("127.0.0.1", m_server.Port(), {}, m_metrics);
  CHECK_THROWS_AS(second.Start(), Error);
  m_server.Stop();
  CHECK(m_server.Port() == 0);
}
