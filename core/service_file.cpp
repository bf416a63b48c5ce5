#include "core/service_file.h"

#include "core/configuration_check.h"
#include "core/configuration_codec.h"
#include "core/error.h"
#include "core/json_schema.h"
#include "core/service_codec.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <filesystem>
#include <system_error>

namespace bramleystall {

namespace {

namespace fs = std::filesystem;

constexpr const char* kFleetFile = "fleet.json";
constexpr const char* kServiceSuffix = ".service.json";

/** Files of a folder by their role, sorted so that messages have a fixed
 * order. */
struct FolderFiles
{
  std::string m_fleet;
  std::vector<std::string> m_services;
  /** JSON files with another name, which is often a misspelt one. */
  std::vector<std::string> m_unrecognized;
};

FolderFiles
ListFolder(const std::string& aFolder)
{
  FolderFiles files;
  files.m_fleet = (fs::path(aFolder) / kFleetFile).string();
  try {
    for (const fs::directory_entry& entry : fs::directory_iterator(aFolder)) {
      const std::string name = entry.path().filename().string();
      if (name.ends_with(kServiceSuffix)) {
        files.m_services.push_back(entry.path().string());
      } else if (name.ends_with(".json") && name != kFleetFile) {
        files.m_unrecognized.push_back(entry.path().string());
      }
    }
  } catch (const fs::filesystem_error& error) {
    throw Error(
      ErrorCode::InvalidInput,
      absl::StrCat(
        aFolder, ": the folder cannot be read: ", error.code().message()));
  }
  std::ranges::sort(files.m_services);
  std::ranges::sort(files.m_unrecognized);
  return files;
}

void
CheckSize(const std::string& aFolder, const Configuration& aConfiguration)
{
  // Room for the version, token, time and operator, which publishing adds.
  constexpr std::size_t kReservedBytes = 1000;
  const std::size_t size = SerializeConfiguration(aConfiguration).size();
  if (size + kReservedBytes > kMaxJsonBytes) {
    throw Error(ErrorCode::InvalidInput,
                absl::StrCat(aFolder,
                             ": the configuration has ",
                             size,
                             " bytes, expected at most ",
                             kMaxJsonBytes - kReservedBytes));
  }
}

/** Reads all files before it throws, so that all errors are reported at once.
 */
Configuration
ReadFiles(const std::string& aFolder, const FolderFiles& aFiles)
{
  std::vector<std::string> errors;
  Configuration configuration;
  const auto fleet = LoadChecked(SchemaName::Fleet, aFiles.m_fleet, errors);
  if (!fleet.is_null()) {
    configuration.m_fleet = FleetFromJson(fleet);
  }
  for (const std::string& file : aFiles.m_services) {
    const auto service = LoadChecked(SchemaName::Service, file, errors);
    if (!service.is_null()) {
      configuration.m_services.push_back(ServiceFromJson(service));
    }
  }
  if (aFiles.m_services.empty()) {
    errors.push_back(absl::StrCat(
      aFolder, ": no service file, expected at least one *", kServiceSuffix));
  }
  ThrowIfAny(errors);
  return configuration;
}

}

ConfigurationFolder
LoadConfigurationFolder(const std::string& aFolder)
{
  const FolderFiles files = ListFolder(aFolder);
  ConfigurationFolder folder;
  folder.m_configuration = ReadFiles(aFolder, files);
  const ConfigurationFindings findings = CheckConfiguration(
    folder.m_configuration, { files.m_fleet, files.m_services });
  ThrowIfAny(findings.m_errors);
  CheckSize(aFolder, folder.m_configuration);
  folder.m_configuration.m_digest = DigestOf(folder.m_configuration);
  folder.m_warnings = findings.m_warnings;
  for (const std::string& file : files.m_unrecognized) {
    folder.m_warnings.push_back(absl::StrCat(file,
                                             ": ignored, expected the name ",
                                             kFleetFile,
                                             " or NAME",
                                             kServiceSuffix));
  }
  return folder;
}

}
