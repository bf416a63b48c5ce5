#pragma once

#include <string>

namespace bramleystall {

/** A VM that may receive new work from this daemon. */
struct TargetInfo
{
  std::string m_vm;
  /** IP address and port, "127.0.0.1:8080". */
  std::string m_address;
  std::string m_pool;
  std::string m_rack;
};

}
