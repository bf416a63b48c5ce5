#include "core/order_document.h"
#include "tests/cli/tool_fixture.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

using namespace bramleystall;
using nlohmann::json;

// Guards against an invalid command line that sends a request or has the exit
// code of success.
TEST_CASE_METHOD(ToolFixture, "Invalid usage has its own exit code", "[cli]")
{
  const std::vector<std::vector<std::string>> lines = {
    {},
    { "publsh", "dir" },
    { "publish" },
    { "status", "now" },
    { "explain", "vm" },
    { "move", "vm1" },
    { "drain", "" },
    { "config" },
    { "wave", "cancel" },
    { "wave", "a", "b" },
  };
  for (const auto& words : lines) {
    CHECK(Run(words) == ExitCode::Usage);
    CHECK(m_error.str().starts_with("error: "));
    CHECK(m_calls.empty());
  }
  CHECK(Run({ "explain", "rack", "r1" }) == ExitCode::InvalidInput);
}

// Guards against commands and exit codes that the help text lacks.
TEST_CASE("The help lists the commands and all exit codes", "[cli]")
{
  const std::string help = HelpText();
  for (const auto& [code, meaning] : kExitCodeMeanings) {
    CHECK(help.find(absl::StrCat(
            "  ", static_cast<int>(code), "  ", std::string(meaning))) !=
          std::string::npos);
  }
  for (const char* command : { "validate DIR",
                               "publish DIR",
                               "status",
                               "explain vm|pool|wave|service NAME",
                               "drain VM",
                               "move VM POOL",
                               "wave [POOL]",
                               "wave cancel ID",
                               "restore VM",
                               "config history" }) {
    CHECK(help.find(command) != std::string::npos);
  }
}

// Guards against a command that sends another kind of order, or one without
// its subject.
TEST_CASE_METHOD(ToolFixture, "Commands send their orders", "[cli]")
{
  Order sent;
  m_respond = [&](const std::string&,
                  const std::string& aCall,
                  const std::string& aBody) {
    CHECK(aCall == "POST /v1/orders");
    sent = ParseOrder(aBody);
    return MakeResponse(200, json::object());
  };
  CHECK(Run({ "drain", "vm1" }) == ExitCode::Success);
  CHECK(sent.m_kind == OrderKind::Drain);
  CHECK(sent.m_vm == "vm1");
  CHECK(sent.m_operator == "ana");
  CHECK(sent.m_createdMillis == 1'700'000'000'000);
  CHECK(m_out.str().starts_with("accepted: order " + sent.m_id));
  CHECK(Run({ "move", "vm1", "pool" }) == ExitCode::Success);
  CHECK(sent.m_kind == OrderKind::Move);
  CHECK(sent.m_pool == "pool");
  CHECK(Run({ "wave" }) == ExitCode::Success);
  CHECK(sent.m_kind == OrderKind::Wave);
  CHECK(sent.m_pool.empty());
  CHECK(Run({ "wave", "pool" }) == ExitCode::Success);
  CHECK(sent.m_pool == "pool");
  CHECK(Run({ "wave", "cancel", "w1" }) == ExitCode::Success);
  CHECK(sent.m_kind == OrderKind::CancelWave);
  CHECK(sent.m_wave == "w1");
  CHECK(Run({ "restore", "vm1" }) == ExitCode::Success);
  CHECK(sent.m_kind == OrderKind::Restore);
  CHECK(m_calls.size() == 1);
}

// Guards against an order that runs twice because the tool sent it to a second
// daemon with a new id.
TEST_CASE_METHOD(ToolFixture, "An order is resent with the same id", "[cli]")
{
  std::set<std::string> ids;
  m_respond = [&](const std::string& aAddress,
                  const std::string&,
                  const std::string& aBody) -> ClientResponse {
    ids.insert(ParseOrder(aBody).m_id);
    if (aAddress == "127.0.0.1:24901") {
      throw HttpError("connection closed", true);
    }
    return MakeResponse(200, json::object());
  };
  CHECK(Run({ "drain", "vm1" }) == ExitCode::Success);
  CHECK(m_calls.size() == 2);
  CHECK(ids.size() == 1);
}

// Guards against reporting an order as not accepted although it may run, and
// against an unknown outcome for one that certainly does not run.
TEST_CASE_METHOD(ToolFixture,
                 "The exit code tells whether a failed order may run",
                 "[cli]")
{
  int status = 0;
  m_respond = [&](const std::string&, const std::string&, const std::string&) {
    return MakeResponse(status, { { "error", "e" }, { "message", "why" } });
  };
  const std::vector<std::pair<int, ExitCode>> cases = {
    { 400, ExitCode::InvalidInput },   { 404, ExitCode::InvalidInput },
    { 409, ExitCode::Conflict },       { 503, ExitCode::Unavailable },
    { 504, ExitCode::OutcomeUnknown }, { 500, ExitCode::OutcomeUnknown },
  };
  for (const auto& [code, expected] : cases) {
    status = code;
    CHECK(Run({ "drain", "vm1" }) == expected);
    CHECK(m_error.str().find("why") != std::string::npos);
  }
  m_respond = [](const auto&, const auto&, const auto&) -> ClientResponse {
    throw HttpError("refused", false);
  };
  CHECK(Run({ "drain", "vm1" }) == ExitCode::Unavailable);
  m_respond = [](const auto&, const auto&, const auto&) -> ClientResponse {
    throw HttpError("connection closed", true);
  };
  CHECK(Run({ "drain", "vm1" }) == ExitCode::OutcomeUnknown);
}

// Guards against a status that omits a daemon without a valid response, or an
// open order.
TEST_CASE_METHOD(ToolFixture, "The status shows daemons and orders", "[cli]")
{
  json orders = json::array();
  for (int i = 0; i < 8; ++i) {
    orders.push_back({ { "id", absl::StrCat("order-", i) },
                       { "kind", "drain" },
                       { "vm", "vm1" },
                       { "operator", "ana" },
                       { "created_ms", 1'700'000'000'000 },
                       { "state", i == 0 ? "running" : "done" },
                       { "detail", "" } });
  }
  m_respond = [&](const std::string& aAddress,
                  const std::string& aCall,
                  const std::string&) -> ClientResponse {
    if (aCall == "GET /v1/orders") {
      return MakeResponse(200, { { "orders", orders } });
    }
    if (aAddress == "127.0.0.1:24902") {
      return { 200, "<html>", {} };
    }
    return MakeResponse(200,
                        { { "daemon", "entry-1" },
                          { "data_centre", "dc1" },
                          { "ready", true },
                          { "is_decider", true },
                          { "configuration", { { "version", 3 } } },
                          { "pools",
                            { { { "pool", "alarms" },
                                { "promised", 10 },
                                { "ready", 12 },
                                { "margin", 2 } } } } });
  };
  CHECK(Run({ "status" }) == ExitCode::Unavailable);
  const std::string text = m_out.str();
  CHECK(text.find("entry-1  dc1          127.0.0.1:24901  true   3        "
                  "true\n") != std::string::npos);
  CHECK(text.find("no status: 127.0.0.1:24902: the response is not JSON\n") !=
        std::string::npos);
  CHECK(text.find("no daemon here is the decider") == std::string::npos);
  CHECK(text.find("alarms  10        12     2") != std::string::npos);
  CHECK(text.find("order-0") != std::string::npos);
  CHECK(text.find("order-2") == std::string::npos);
  CHECK(text.find("order-3") != std::string::npos);
  CHECK(text.find("order-7") != std::string::npos);
  m_invocation.m_output = OutputFormat::Json;
  Run({ "status" });
  CHECK(Output()["orders"].size() == 8);
  CHECK(Output()["daemons"][0]["status"]["daemon"] == "entry-1");
  CHECK(Output()["daemons"][1]["fault"] == "the response is not JSON");
}

// Guards against showing the explanation of a daemon that lacks the decider's
// decisions, and against reporting a subject as not known while a daemon did
// not respond.
TEST_CASE_METHOD(ToolFixture, "The most complete explanation is used", "[cli]")
{
  m_respond = [](const std::string& aAddress,
                 const std::string& aCall,
                 const std::string&) {
    if (aCall == "GET /v1/status") {
      return MakeResponse(200, json::object());
    }
    CHECK(aCall == "GET /v1/explain/vm/vm%201");
    json decisions = json::array();
    if (aAddress == "127.0.0.1:24902") {
      decisions.push_back({ { "reason", "maintenance" } });
    }
    return MakeResponse(
      200, { { "summary", "is draining" }, { "decisions", decisions } });
  };
  CHECK(Run({ "explain", "vm", "vm 1" }) == ExitCode::Success);
  CHECK(m_out.str() == "decisions:\n  -\n    reason: maintenance\n"
                       "summary: is draining\n"
                       "(answered by 127.0.0.1:24902)\n");
  // The decider's response is preferred to one with more decisions.
  m_respond = [](const std::string& aAddress,
                 const std::string& aCall,
                 const std::string&) {
    const bool isDecider = aAddress == "127.0.0.1:24902";
    if (aCall == "GET /v1/status") {
      return MakeResponse(200, { { "is_decider", isDecider } });
    }
    return MakeResponse(
      200,
      { { "summary", isDecider ? "from the decider" : "from another" },
        { "decisions",
          isDecider ? json::array() : json::array({ "older" }) } });
  };
  CHECK(Run({ "explain", "pool", "p" }) == ExitCode::Success);
  CHECK(m_out.str().find("from the decider") != std::string::npos);
  m_respond = [](const auto&, const auto&, const auto&) {
    return MakeResponse(404, { { "message", "no such VM" } });
  };
  CHECK(Run({ "explain", "vm", "x" }) == ExitCode::InvalidInput);
  CHECK(m_error.str() == "error: vm x is not known to any daemon\n");
  m_respond = [](const std::string& aAddress,
                 const auto&,
                 const auto&) -> ClientResponse {
    if (aAddress == "127.0.0.1:24901") {
      throw HttpError("refused", false);
    }
    return MakeResponse(404, { { "message", "no such VM" } });
  };
  CHECK(Run({ "explain", "vm", "x" }) == ExitCode::Unavailable);
}
