#include "tests/fakes/fake_target.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <absl/time/clock.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <optional>
#include <stdexcept>
#include <utility>

namespace bramleystall {

namespace {

constexpr int kBacklog = 256;
constexpr int kAcceptPollMs = 20;

/**
 * Reads one request; nothing when the connection is closed before its end.
 * Bytes beyond the request stay in the buffer.
 */
std::optional<FakeRequest>
ReadRequest(int aSocket, std::string& aBuffer)
{
  const auto readMore = [&] {
    char data[4096];
    const ssize_t got = recv(aSocket, data, sizeof data, 0);
    if (got > 0) {
      aBuffer.append(data, static_cast<std::size_t>(got));
    }
    return got > 0;
  };
  std::size_t end = 0;
  while ((end = aBuffer.find("\r\n\r\n")) == std::string::npos) {
    if (!readMore()) {
      return std::nullopt;
    }
  }
  FakeRequest request;
  const std::vector<std::string> lines =
    absl::StrSplit(aBuffer.substr(0, end), "\r\n");
  const std::vector<std::string> start = absl::StrSplit(lines.at(0), ' ');
  request.m_method = start.at(0);
  request.m_target = start.at(1);
  for (std::size_t i = 1; i < lines.size(); ++i) {
    const std::vector<std::string> field =
      absl::StrSplit(lines[i], absl::MaxSplits(':', 1));
    request.m_headers[absl::AsciiStrToLower(field.at(0))] =
      std::string(absl::StripAsciiWhitespace(field.at(1)));
  }
  std::size_t length = 0;
  if (request.m_headers.contains("content-length")) {
    length = std::stoul(request.m_headers["content-length"]);
  }
  const std::size_t bodyStart = end + 4;
  while (aBuffer.size() < bodyStart + length) {
    if (!readMore()) {
      return std::nullopt;
    }
  }
  request.m_body = aBuffer.substr(bodyStart, length);
  aBuffer.erase(0, bodyStart + length);
  return request;
}

void
SendAll(int aSocket, const std::string& aData)
{
  std::size_t sent = 0;
  while (sent < aData.size()) {
    const ssize_t count =
      send(aSocket, aData.data() + sent, aData.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return;
    }
    sent += static_cast<std::size_t>(count);
  }
}

std::string
Chunk(const std::string& aData)
{
  return absl::StrCat(absl::Hex(aData.size()), "\r\n", aData, "\r\n");
}

}

FakeTarget::FakeTarget(BehaviourChooser aChooseBehaviour)
  : m_chooseBehaviour(std::move(aChooseBehaviour))
{
  m_listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof address;
  auto* const generic = reinterpret_cast<sockaddr*>(&address);
  if (bind(m_listener, generic, size) != 0 ||
      listen(m_listener, kBacklog) != 0 ||
      getsockname(m_listener, generic, &size) != 0) {
    throw std::runtime_error("fake target: cannot listen on 127.0.0.1");
  }
  m_port = ntohs(address.sin_port);
  m_acceptor = std::thread([this] { AcceptAll(); });
}

FakeTarget::~FakeTarget()
{
  StopListening();
  {
    const std::lock_guard lock(m_mutex);
    for (const int descriptor : m_sockets) {
      shutdown(descriptor, SHUT_RDWR);
    }
  }
  for (std::thread& connection : m_connections) {
    connection.join();
  }
}

std::string
FakeTarget::Address() const
{
  return absl::StrCat("127.0.0.1:", m_port);
}

void
FakeTarget::SetStatus(int aStatus)
{
  m_status = aStatus;
}

void
FakeTarget::SetPieces(int aPieces, absl::Duration aPause)
{
  m_pieces = aPieces;
  m_pause = aPause;
}

void
FakeTarget::SendBody(int aSocket, const std::string& aBody) const
{
  const std::size_t size =
    aBody.size() / static_cast<std::size_t>(m_pieces) + 1;
  for (std::size_t at = 0; at < aBody.size(); at += size) {
    SendAll(aSocket, aBody.substr(at, size));
    const absl::Time until = absl::Now() + m_pause;
    while (absl::Now() < until && !m_isStopping) {
      absl::SleepFor(absl::Milliseconds(kAcceptPollMs));
    }
  }
}

void
FakeTarget::SetDelay(absl::Duration aDelay)
{
  const std::lock_guard lock(m_mutex);
  m_delay = aDelay;
}

void
FakeTarget::SetBody(std::string aBody)
{
  const std::lock_guard lock(m_mutex);
  m_body = std::move(aBody);
}

void
FakeTarget::SetBehaviourChooser(BehaviourChooser aChooseBehaviour)
{
  const std::lock_guard lock(m_mutex);
  m_chooseBehaviour = std::move(aChooseBehaviour);
}

void
FakeTarget::StopListening()
{
  m_isStopping = true;
  if (m_acceptor.joinable()) {
    m_acceptor.join();
  }
  if (m_listener >= 0) {
    close(std::exchange(m_listener, -1));
  }
}

void
FakeTarget::AcceptAll()
{
  while (!m_isStopping) {
    pollfd waiting{ m_listener, POLLIN, 0 };
    if (poll(&waiting, 1, kAcceptPollMs) <= 0) {
      continue;
    }
    const int connection = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (connection < 0) {
      continue;
    }
    const int on = 1;
    setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const std::lock_guard lock(m_mutex);
    m_sockets.push_back(connection);
    m_mostOpen = std::max(m_mostOpen, CountOpen());
    m_connections.emplace_back([this, connection] { Serve(connection); });
  }
}

int
FakeTarget::CountOpen() const
{
  // Does not count a connection that the peer has closed, even when its thread
  // has not read the end yet.
  return static_cast<int>(std::ranges::count_if(m_sockets, [](int aSocket) {
    pollfd state{ aSocket, POLLRDHUP, 0 };
    poll(&state, 1, 0);
    return (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) == 0;
  }));
}

void
FakeTarget::Serve(int aSocket)
{
  std::string buffer;
  int number = 0;
  while (auto request = ReadRequest(aSocket, buffer)) {
    request->m_numberOnConnection = ++number;
    Record(*request);
    if (!Serve(aSocket, *request)) {
      break;
    }
  }
  const std::lock_guard lock(m_mutex);
  std::erase(m_sockets, aSocket);
  close(aSocket);
}

bool
FakeTarget::Serve(int aSocket, const FakeRequest& aRequest)
{
  {
    const std::lock_guard lock(m_mutex);
    m_mostRunning = std::max(m_mostRunning, ++m_running);
  }
  const bool keepsOpen = Handle(aSocket, aRequest);
  const std::lock_guard lock(m_mutex);
  --m_running;
  return keepsOpen;
}

void
FakeTarget::Record(const FakeRequest& aRequest)
{
  const std::lock_guard lock(m_mutex);
  if (aRequest.m_target == "/healthz") {
    ++m_probes;
  } else {
    m_requests.push_back(aRequest);
  }
}

bool
FakeTarget::Handle(int aSocket, const FakeRequest& aRequest)
{
  FakeBehaviour behaviour = FakeBehaviour::Respond;
  std::string body;
  absl::Duration delay;
  BehaviourChooser chooseBehaviour;
  {
    const std::lock_guard lock(m_mutex);
    chooseBehaviour = m_chooseBehaviour;
    body = m_body;
    delay = m_delay;
  }
  if (chooseBehaviour) {
    behaviour = chooseBehaviour(aRequest);
  }
  absl::SleepFor(delay);
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::string length =
    absl::StrCat("Content-Length: ", body.size(), "\r\n\r\n");
  const std::string half = body.substr(0, body.size() / 2);
  const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
  switch (behaviour) {
    case FakeBehaviour::Respond:
      SendAll(
        aSocket,
        absl::StrCat(
          "HTTP/1.1 ", m_status.load(), " OK\r\nX-Target: fake\r\n", length));
      SendBody(aSocket, aRequest.m_method == "HEAD" ? "" : body);
      return true;
    case FakeBehaviour::RespondChunked:
      SendAll(aSocket, ok + chunked + Chunk(body) + "0\r\n\r\n");
      return true;
    case FakeBehaviour::ReadAndClose:
      return false;
    case FakeBehaviour::Freeze: {
      // Returns when the peer closes the connection.
      char unused = 0;
      recv(aSocket, &unused, 1, 0);
      return false;
    }
    case FakeBehaviour::TruncateLength:
      SendAll(aSocket, ok + length + half);
      return false;
    case FakeBehaviour::TruncateChunked:
      SendAll(aSocket, ok + chunked + Chunk(body));
      return false;
    case FakeBehaviour::TruncateHeaders:
      SendAll(aSocket, ok + "X-Target: fake\r\n");
      return false;
    case FakeBehaviour::CloseDelimited:
      SendAll(aSocket, ok + "\r\n" + body);
      return false;
    case FakeBehaviour::Redirect:
      SendAll(aSocket,
              "HTTP/1.1 302 Found\r\nLocation: /other\r\n"
              "Content-Length: 0\r\n\r\n");
      return true;
    case FakeBehaviour::Error:
      SendAll(aSocket,
              "HTTP/1.1 500 Internal Server Error\r\n" + length + body);
      return true;
  }
  return false;
}

std::map<std::string, int>
FakeTarget::Runs() const
{
  std::map<std::string, int> runs;
  for (const FakeRequest& request : Requests()) {
    const auto id = request.m_headers.find("x-request-id");
    ++runs[id == request.m_headers.end() ? "" : id->second];
  }
  return runs;
}

int
FakeTarget::RunCount() const
{
  const std::lock_guard lock(m_mutex);
  return static_cast<int>(m_requests.size());
}

int
FakeTarget::RunCount(const std::string& aRequestId) const
{
  const auto runs = Runs();
  const auto found = runs.find(aRequestId);
  return found == runs.end() ? 0 : found->second;
}

std::vector<FakeRequest>
FakeTarget::Requests() const
{
  const std::lock_guard lock(m_mutex);
  return m_requests;
}

int
FakeTarget::ProbeCount() const
{
  const std::lock_guard lock(m_mutex);
  return m_probes;
}

int
FakeTarget::MostConnections() const
{
  const std::lock_guard lock(m_mutex);
  return m_mostOpen;
}

int
FakeTarget::MostRunning() const
{
  const std::lock_guard lock(m_mutex);
  return m_mostRunning;
}

}
