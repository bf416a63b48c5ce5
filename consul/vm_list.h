#pragma once

#include <string>
#include <vector>

namespace bramleystall {

/** One entry of the platform's list of VMs. */
struct VmListing
{
  std::string m_name;
  /** IP address and port, "127.0.0.1:8080". */
  std::string m_address;
  std::string m_dataCentre;
  std::string m_rack;
  /** Pool tag of the listing; empty when the platform has none. */
  std::string m_pool;
  /** Whether the VM is about to be removed. */
  bool m_isLeaving = false;
  /** Whether the VM is an entry VM that runs bramleystalld. */
  bool m_isEntry = false;
};

/** The platform's lagging list of VMs. */
class VmList
{
public:
  virtual ~VmList() = default;

  /** Reads the list. Throws Error (Unavailable). */
  virtual std::vector<VmListing> Read() = 0;
};

}
