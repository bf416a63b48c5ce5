#include "core/log.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <absl/time/time.h>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <nlohmann/json.hpp>

#include <iostream>
#include <mutex>

namespace bramleystall {

namespace {

struct LogSetup
{
  LogLevel m_level = LogLevel::Info;
  LogFormat m_format = LogFormat::Text;
  std::string m_process;
};

LogSetup gSetup;

std::string
FormatLine(LogLevel aLevel, LogPart aPart, const std::string& aMessage)
{
  const std::string time =
    absl::FormatTime("%Y-%m-%dT%H:%M:%E3SZ", absl::Now(), absl::UTCTimeZone());
  const std::string level(NameOf(kLogLevelNames, aLevel));
  const std::string part(NameOf(kLogPartNames, aPart));
  if (gSetup.m_format == LogFormat::Text) {
    return absl::StrCat(
      time, " ", level, " ", gSetup.m_process, " ", part, ": ", aMessage);
  }
  const nlohmann::json line = { { "time", time },
                                { "level", level },
                                { "process", gSetup.m_process },
                                { "part", part },
                                { "message", aMessage } };
  return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}

void
InitLog(LogLevel aLevel,
        LogFormat aFormat,
        const std::string& aProcess,
        LogStream aStream)
{
  gSetup = { aLevel, aFormat, aProcess };
  namespace expr = boost::log::expressions;
  boost::log::add_console_log(
    aStream == LogStream::StandardOutput ? std::cout : std::cerr,
    boost::log::keywords::format = expr::stream << expr::smessage,
    boost::log::keywords::auto_flush = true);
}

void
Log(LogLevel aLevel, LogPart aPart, const std::string& aMessage)
{
  if (aLevel < gSetup.m_level) {
    return;
  }
  static boost::log::sources::logger_mt sLogger;
  BOOST_LOG(sLogger) << FormatLine(aLevel, aPart, aMessage);
}

}
