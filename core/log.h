#pragma once

#include "core/enum_names.h"

#include <string>

namespace bramleystall {

/** Part of the program that a log line comes from; its name is the prefix. */
enum class LogPart
{
  Main,
  Store,
  Peers,
  Planner,
  Server,
  Targets,
  Admin,
  Owner,
  Jobs,
  Workers,
  Fleet,
  Net,
};

inline constexpr EnumNames<LogPart, 12> kLogPartNames = { {
  { LogPart::Main, "main" },
  { LogPart::Store, "store" },
  { LogPart::Peers, "peers" },
  { LogPart::Planner, "planner" },
  { LogPart::Server, "server" },
  { LogPart::Targets, "targets" },
  { LogPart::Admin, "admin" },
  { LogPart::Owner, "owner" },
  { LogPart::Jobs, "jobs" },
  { LogPart::Workers, "workers" },
  { LogPart::Fleet, "fleet" },
  { LogPart::Net, "net" },
} };

enum class LogLevel
{
  Debug,
  Info,
  Warning,
  Error,
};

inline constexpr EnumNames<LogLevel, 4> kLogLevelNames = { {
  { LogLevel::Debug, "debug" },
  { LogLevel::Info, "info" },
  { LogLevel::Warning, "warning" },
  { LogLevel::Error, "error" },
} };

enum class LogFormat
{
  Text,
  Json,
};

inline constexpr EnumNames<LogFormat, 2> kLogFormatNames = { {
  { LogFormat::Text, "text" },
  { LogFormat::Json, "json" },
} };

/** Stream that the log goes to. */
enum class LogStream
{
  StandardError,
  StandardOutput,
};

/** Sets up logging. Call it once, before threads start. */
void
InitLog(LogLevel aLevel,
        LogFormat aFormat,
        const std::string& aProcess,
        LogStream aStream = LogStream::StandardError);

/** Writes one line: time, level, process, prefix of the part, message. */
void
Log(LogLevel aLevel, LogPart aPart, const std::string& aMessage);

inline void
LogInfo(LogPart aPart, const std::string& aMessage)
{
  Log(LogLevel::Info, aPart, aMessage);
}

inline void
LogWarning(LogPart aPart, const std::string& aMessage)
{
  Log(LogLevel::Warning, aPart, aMessage);
}

inline void
LogError(LogPart aPart, const std::string& aMessage)
{
  Log(LogLevel::Error, aPart, aMessage);
}

}
