#pragma once

#include <absl/time/time.h>

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace bramleystall {

/** How a FakeTarget handles a request that it has read completely. */
enum class FakeBehaviour
{
  Respond,
  RespondChunked,
  /** Closes the connection without sending a byte. */
  ReadAndClose,
  /** Never responds; the connection stays open. */
  Freeze,
  /** Closes the connection within the body, short of the Content-Length. */
  TruncateLength,
  /** Closes the connection before the last chunk. */
  TruncateChunked,
  /** Closes the connection within the headers. */
  TruncateHeaders,
  /** Sends a body that ends where the connection is closed. */
  CloseDelimited,
  Redirect,
  /** Status 500 with a complete body. */
  Error,
};

/** A request as a FakeTarget received it. */
struct FakeRequest
{
  std::string m_method;
  std::string m_target;
  std::map<std::string, std::string> m_headers;
  std::string m_body;
  /** Position of the request on its connection, from 1. */
  int m_numberOnConnection = 0;
};

/**
 * Small HTTP/1.1 server on 127.0.0.1 with one thread for each connection. It
 * records each request that it has read completely as one run. Health probes
 * (`/healthz`) are counted separately.
 */
class FakeTarget
{
public:
  using BehaviourChooser = std::function<FakeBehaviour(const FakeRequest&)>;

  explicit FakeTarget(BehaviourChooser aChooseBehaviour = nullptr);
  ~FakeTarget();
  FakeTarget(const FakeTarget&) = delete;
  FakeTarget& operator=(const FakeTarget&) = delete;

  /** "127.0.0.1:PORT". */
  std::string Address() const;

  /** Delay before each response. */
  void SetDelay(absl::Duration aDelay);
  void SetBody(std::string aBody);
  /** Status of FakeBehaviour::Respond; 200 unless it is set. */
  void SetStatus(int aStatus);
  /** Sends the body of FakeBehaviour::Respond in pieces, with pauses. */
  void SetPieces(int aPieces, absl::Duration aPause);
  void SetBehaviourChooser(BehaviourChooser aChooseBehaviour);

  /** Closes the listening socket, so that new connections are refused. */
  void StopListening();

  /** Number of runs, by X-Request-Id. */
  std::map<std::string, int> Runs() const;
  int RunCount() const;
  int RunCount(const std::string& aRequestId) const;
  std::vector<FakeRequest> Requests() const;
  int ProbeCount() const;
  /** Largest number of connections that were open at once. */
  int MostConnections() const;
  /** Largest number of requests that were handled at once. */
  int MostRunning() const;

private:
  void AcceptAll();
  void Serve(int aSocket);
  bool Serve(int aSocket, const FakeRequest& aRequest);
  bool Handle(int aSocket, const FakeRequest& aRequest);
  void SendBody(int aSocket, const std::string& aBody) const;
  int CountOpen() const;
  void Record(const FakeRequest& aRequest);

  mutable std::mutex m_mutex;
  BehaviourChooser m_chooseBehaviour;
  std::string m_body = "ok";
  absl::Duration m_delay;
  std::atomic<int> m_status = 200;
  /** Set before the first request. */
  int m_pieces = 1;
  absl::Duration m_pause;
  int m_listener = -1;
  int m_port = 0;
  std::atomic<bool> m_isStopping = false;
  std::vector<FakeRequest> m_requests;
  int m_probes = 0;
  int m_mostOpen = 0;
  int m_running = 0;
  int m_mostRunning = 0;
  std::vector<std::thread> m_connections;
  std::vector<int> m_sockets;
  std::thread m_acceptor;
};

}
