#pragma once

#include <stdlib.h>

#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <string>

namespace bramleystall {

/** Temporary folder of a test; the destructor removes it with its content. */
class TemporaryFolder
{
public:
  TemporaryFolder()
  {
    std::string pattern =
      (std::filesystem::temp_directory_path() / "bramleystall-XXXXXX").string();
    if (!mkdtemp(pattern.data())) {
      throw std::runtime_error("cannot create a temporary folder");
    }
    m_path = pattern;
  }

  ~TemporaryFolder() { std::filesystem::remove_all(m_path); }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;

  /** Path of a file in the folder, or of the folder for an empty name. */
  std::string Path(const std::string& aName) const
  {
    return aName.empty() ? m_path : m_path + "/" + aName;
  }

  /** Writes a file in the folder and returns its path. */
  std::string Write(const std::string& aName, const std::string& aText) const
  {
    std::ofstream file(Path(aName), std::ios::binary);
    file << aText;
    return Path(aName);
  }

private:
  std::string m_path;
};

}
