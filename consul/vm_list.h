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
  /** Pool that the platform lists; empty when it lists none. */
  std::string m_pool;
  /** Whether the platform is about to remove the VM. */
  bool m_isLeaving = false;
  /** Whether the VM is an entry VM that runs bramleystalld. */
  bool m_isEntry = false;
};

/** The platform's list of VMs, which may lag behind the actual VMs. */
class VmList
{
public:
  virtual ~VmList() = default;

  /** Throws Error (Unavailable). */
  virtual std::vector<VmListing> Read() = 0;
};

}
