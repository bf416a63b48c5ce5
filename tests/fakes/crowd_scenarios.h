#pragma once

#include "tests/fakes/client_crowd.h"

#include <absl/strings/str_cat.h>

#include <cstddef>
#include <string>

namespace bramleystall {

/** Body size that the configuration's `max_body_bytes` allows. */
inline constexpr std::size_t kLegalBodyBytes = 262'144;

/** A crowd of untrusted clients and its size. */
struct CrowdScenario
{
  const char* m_name;
  std::size_t m_connections;
  CrowdRequest m_request;
};

/** The crowds of untrusted clients that each listener has to survive. aStart
 * has the request line and the headers that select a queue or service. */
class CrowdScenarios
{
public:
  explicit CrowdScenarios(std::string aStart)
    : m_start(std::move(aStart))
  {
  }

  CrowdScenario WholeBodies() const
  {
    return { "whole bodies", kBodyConnections, LegalBody(kWholePiece) };
  }

  CrowdScenario BodiesInPieces() const
  {
    return { "bodies in pieces", kBodyConnections, LegalBody(kSmallPiece) };
  }

  CrowdScenario LargeChunks() const
  {
    const std::string block = Chunk(kLargeChunkBytes);
    return { "large chunks",
             kBodyConnections,
             { ChunkedHead(),
               block,
               block.size() * (kLegalBodyBytes / kLargeChunkBytes) - 3,
               kWholePiece } };
  }

  CrowdScenario SmallChunks() const
  {
    const std::string block = Chunk(1);
    return { "small chunks",
             kBodyConnections,
             { ChunkedHead(),
               Repeat(block, kBlocksAtOnce),
               block.size() * kLegalBodyBytes - 3,
               kWholePiece } };
  }

  /** Small chunks from as many connections as fit into few descriptors of the
   * test. */
  CrowdScenario SmallChunksOfMany() const
  {
    CrowdScenario scenario = SmallChunks();
    scenario.m_name = "small chunks of many";
    scenario.m_connections = kManyConnections;
    return scenario;
  }

  /** For crowds that come again at once. */
  CrowdScenario ReturningSmallChunks() const
  {
    CrowdScenario scenario = SmallChunks();
    scenario.m_name = "small chunks that keep coming";
    scenario.m_connections = kReturningConnections;
    return scenario;
  }

  /** Complete requests whose responses are not read. */
  CrowdScenario UnreadResponses() const
  {
    CrowdScenario scenario = CompleteBodies();
    scenario.m_name = "unread responses";
    scenario.m_request.m_readsResponses = false;
    return scenario;
  }

  /** Complete requests whose bodies are all characters that take six bytes in
   * JSON. */
  CrowdScenario CompleteBodies() const
  {
    return { "complete bodies",
             kUnreadConnections,
             { .m_head = absl::StrCat(
                 m_start, "Content-Length: ", kLargestBodyBytes, "\r\n\r\n"),
               .m_bodyBlock = std::string(kLargeChunkBytes, '\x01'),
               .m_bodyBytes = kLargestBodyBytes,
               .m_pieceBytes = kWholePiece } };
  }

  CrowdScenario AnnouncedOversize() const
  {
    return { "announced oversize",
             kOversizeConnections,
             { absl::StrCat(
                 m_start, "Content-Length: ", kAnnouncedBytes, "\r\n\r\n"),
               std::string(kLargeChunkBytes, 'x'),
               kOversizeBytes,
               kWholePiece } };
  }

  CrowdScenario UnannouncedOversize() const
  {
    return {
      "unannounced oversize",
      kOversizeConnections,
      { ChunkedHead(), Chunk(kLargeChunkBytes), kOversizeBytes, kWholePiece }
    };
  }

  CrowdScenario SilentConnections() const
  {
    return { "silent connections", kIdleConnections, { "", "", 0 } };
  }

  CrowdScenario HalfHeads() const
  {
    return { "half heads",
             kIdleConnections,
             { m_start.substr(0, m_start.size() / 2), "", 0 } };
  }

private:
  /** Their bodies together are 79 MB. */
  static constexpr std::size_t kBodyConnections = 300;
  static constexpr std::size_t kManyConnections = 900;
  static constexpr std::size_t kUnreadConnections = 40;
  /** Below the limit of 1 MiB without --jobs. */
  static constexpr std::size_t kLargestBodyBytes = 1'000'000;
  static constexpr std::size_t kReturningConnections = 100;
  static constexpr std::size_t kOversizeConnections = 100;
  /** More than the descriptors of the settings with few of them. */
  static constexpr std::size_t kIdleConnections = 400;
  static constexpr std::size_t kWholePiece = std::size_t{ 1 } << 20U;
  static constexpr std::size_t kSmallPiece = 1024;
  static constexpr std::size_t kLargeChunkBytes = 65'536;
  static constexpr std::size_t kBlocksAtOnce = 4096;
  /** Twice the limit of 1 MiB that applies without a configuration. */
  static constexpr std::size_t kOversizeBytes = std::size_t{ 2 } << 20U;
  static constexpr std::size_t kAnnouncedBytes = std::size_t{ 64 } << 20U;

  static std::string Repeat(const std::string& aText, std::size_t aTimes)
  {
    std::string text;
    for (std::size_t i = 0; i < aTimes; ++i) {
      text += aText;
    }
    return text;
  }

  static std::string Chunk(std::size_t aBytes)
  {
    return absl::StrCat(
      absl::Hex(aBytes), "\r\n", std::string(aBytes, 'x'), "\r\n");
  }

  std::string ChunkedHead() const
  {
    return absl::StrCat(m_start, "Transfer-Encoding: chunked\r\n\r\n");
  }

  CrowdRequest LegalBody(std::size_t aPieceBytes) const
  {
    return { absl::StrCat(
               m_start, "Content-Length: ", kLegalBodyBytes, "\r\n\r\n"),
             std::string(kLargeChunkBytes, 'x'),
             kLegalBodyBytes - 1,
             aPieceBytes };
  }

  std::string m_start;
};

}
