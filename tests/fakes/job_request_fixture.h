#pragma once

#include "core/metrics.h"
#include "jobs/job_configuration.h"
#include "net/event_loop.h"
#include "platform/wire_codec.h"
#include "scheduler/shard_layout.h"
#include "server/job_request_handler.h"
#include "tests/fakes/fake_store.h"

#include <catch2/catch.hpp>

#include <optional>
#include <string>

namespace bramleystall {

/** The handler of callers' requests with one queue, "quotes" at h/q/, and a
 * store in simulated time. */
struct JobRequestFixture
{
  JobRequestFixture()
  {
    QueueSpec queue;
    queue.m_name = "quotes";
    queue.m_host = "h";
    queue.m_prefix = "/q/";
    queue.m_pool = "counter";
    JobConfiguration configuration;
    configuration.m_queues = { queue };
    configuration.m_maxBodyBytes = 500;
    m_configuration = configuration;
  }

  /** Sends a request and returns its response, which must come within 3 s of
   * simulated time. */
  ListenerResponse Send(const std::string& aMethod,
                        const std::string& aPath,
                        const std::string& aBody = "",
                        const std::string& aApiKey = "")
  {
    std::optional<ListenerResponse> response;
    m_handler.Handle({ aMethod, aPath, "h", aBody, aApiKey },
                     [&response](ListenerResponse aResponse) {
                       response = std::move(aResponse);
                     });
    m_loop.AdvanceBy(absl::Seconds(3));
    REQUIRE(response);
    return *response;
  }

  /** Makes the handler of a daemon that uses the connection to the store. */
  JobRequestHandler MakeHandler(KeyValueStore& aStore)
  {
    return JobRequestHandler(
      m_loop,
      aStore,
      m_metrics,
      { .m_decodeJob = wire::DecodeSubmission,
        .m_encodeState = wire::EncodeJobState,
        .m_encodePending = wire::EncodePendingCount },
      [this] { return m_configuration ? &*m_configuration : nullptr; },
      [this] { return m_layout ? &*m_layout : nullptr; });
  }

  EventLoop m_loop{ EventLoop::ClockMode::Simulated };
  FakeStore m_store{ m_loop };
  FakeStoreClient m_client{ m_loop, m_store };
  Metrics m_metrics;
  std::optional<JobConfiguration> m_configuration;
  std::optional<ShardLayout> m_layout{ ShardLayout() };
  JobRequestHandler m_handler = MakeHandler(m_client);
};

}
