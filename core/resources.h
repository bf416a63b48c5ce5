#pragma once

#include <cstdint>

namespace bramleystall {

/** Resources that a task requires or that a worker has. */
struct Resources
{
  /** Thousandths of a core. */
  std::int64_t m_cpu = 0;
  std::int64_t m_memoryMb = 0;
  std::int64_t m_accelerators = 0;

  bool Fits(const Resources& aNeed) const
  {
    return aNeed.m_cpu <= m_cpu && aNeed.m_memoryMb <= m_memoryMb &&
           aNeed.m_accelerators <= m_accelerators;
  }

  void Add(const Resources& aOther)
  {
    m_cpu += aOther.m_cpu;
    m_memoryMb += aOther.m_memoryMb;
    m_accelerators += aOther.m_accelerators;
  }

  void Subtract(const Resources& aOther)
  {
    m_cpu -= aOther.m_cpu;
    m_memoryMb -= aOther.m_memoryMb;
    m_accelerators -= aOther.m_accelerators;
  }
};

}
