#include "scheduler/published_load_codec.h"

#include <nlohmann/json.hpp>

#include <cmath>
#include <utility>

namespace bramleystall {

using nlohmann::json;

namespace {

/** Values are rounded to this part of a machine or second, which keeps the
 * documents short. */
constexpr double kDigits = 100.0;

double
Rounded(double aValue)
{
  return std::round(aValue * kDigits) / kDigits;
}

json
EncodePool(const PublishedPool& aPool)
{
  json waiting = json::array();
  for (const WaitingWork& row : aPool.m_waiting) {
    waiting.push_back({ row.m_priority, row.m_boundMs, Rounded(row.m_work) });
  }
  json tenants = json::object();
  for (const auto& [name, work] : aPool.m_tenants) {
    tenants[name] = { Rounded(work.m_waiting), Rounded(work.m_running) };
  }
  return { { "machines", Rounded(aPool.m_machines) },
           { "permanent", Rounded(aPool.m_permanent) },
           { "running", Rounded(aPool.m_running) },
           { "arriving", Rounded(aPool.m_arriving) },
           { "waiting", std::move(waiting) },
           { "tenants", std::move(tenants) } };
}

PublishedPool
DecodePool(const json& aBody)
{
  PublishedPool pool{ .m_machines = aBody.at("machines").get<double>(),
                      .m_permanent = aBody.at("permanent").get<double>(),
                      .m_running = aBody.at("running").get<double>(),
                      .m_arriving = aBody.at("arriving").get<double>() };
  for (const json& row : aBody.at("waiting")) {
    pool.m_waiting.push_back({ row.at(0).get<int>(),
                               row.at(1).get<std::int64_t>(),
                               row.at(2).get<double>() });
  }
  for (const auto& [name, work] : aBody.at("tenants").items()) {
    pool.m_tenants[name] = { work.at(0).get<double>(),
                             work.at(1).get<double>() };
  }
  return pool;
}

json
EncodeRounded(const std::map<std::string, double>& aValues)
{
  json body = json::object();
  for (const auto& [name, value] : aValues) {
    body[name] = Rounded(value);
  }
  return body;
}

}

json
EncodePublishedLoad(const PublishedLoad& aLoad)
{
  json pools = json::object();
  for (const auto& [name, pool] : aLoad.m_pools) {
    pools[name] = EncodePool(pool);
  }
  return { { "machines", Rounded(aLoad.m_machines) },
           { "worker",
             { aLoad.m_worker.m_cpu,
               aLoad.m_worker.m_memoryMb,
               aLoad.m_worker.m_accelerators } },
           { "pools", std::move(pools) },
           { "arrivals", EncodeRounded(aLoad.m_arrivals) },
           { "run_s", EncodeRounded(aLoad.m_runTimes) } };
}

PublishedLoad
DecodePublishedLoad(const json& aBody)
{
  PublishedLoad load{
    .m_machines = aBody.at("machines").get<double>(),
    .m_worker = { .m_cpu = aBody.at("worker").at(0).get<std::int64_t>(),
                  .m_memoryMb = aBody.at("worker").at(1).get<std::int64_t>(),
                  .m_accelerators =
                    aBody.at("worker").at(2).get<std::int64_t>() },
    .m_arrivals = aBody.at("arrivals").get<std::map<std::string, double>>(),
    .m_runTimes = aBody.at("run_s").get<std::map<std::string, double>>()
  };
  for (const auto& [name, pool] : aBody.at("pools").items()) {
    load.m_pools[name] = DecodePool(pool);
  }
  return load;
}

}
