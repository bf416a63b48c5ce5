#pragma once

#include "core/fleet_spec.h"
#include "core/service_spec.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bramleystall {

/**
 * An accepted configuration. Immutable once read; a newer one has a higher
 * version.
 */
struct Configuration
{
  std::uint64_t m_version = 0;
  /** xxHash (XXH3, 64 bits, hexadecimal) of the canonical content. */
  std::string m_digest;
  /** Unique token of the publisher's write, which identifies the write when
   * its response is lost. */
  std::string m_writerToken;
  std::string m_operator;
  std::int64_t m_acceptedMillis = 0;
  FleetSpec m_fleet;
  std::vector<ServiceSpec> m_services;

  /** Service with this name, or null. */
  const ServiceSpec* FindService(std::string_view aName) const;

  /** Service that owns the pool, or null. */
  const ServiceSpec* FindPoolOwner(std::string_view aPool) const;

  /**
   * Selects the service for a request: by host first, then by the longest
   * matching path prefix. Null when none matches.
   */
  const ServiceSpec* Route(std::string_view aHost,
                           std::string_view aPath) const;
};

}
