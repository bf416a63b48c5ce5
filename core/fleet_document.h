#pragma once

#include "core/vm_record.h"

#include <cstdint>
#include <map>
#include <string>

namespace bramleystall {

/** VM records of one data centre, stored under one key. */
struct FleetDocument
{
  std::string m_dataCentre;
  /** Incremented by each accepted write; 0 for a document never written. */
  std::uint64_t m_revision = 0;
  /** Term of the decider that wrote it. */
  std::uint64_t m_term = 0;
  /** Unique token of the write, which identifies it when its response is lost.
   */
  std::string m_writerToken;
  std::map<std::string, VmRecord> m_vms;

  /** Parses the JSON form. Throws Error (InvalidInput). */
  static FleetDocument Parse(const std::string& aJson);

  /** The JSON form, as the store holds it. */
  std::string Serialize() const;
};

}
