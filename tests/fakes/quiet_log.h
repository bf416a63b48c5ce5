#pragma once

#include <boost/log/core.hpp>

namespace bramleystall {

/** Disables the log for the duration of a test. */
struct QuietLog
{
  QuietLog() { boost::log::core::get()->set_logging_enabled(false); }
  ~QuietLog() { boost::log::core::get()->set_logging_enabled(true); }
  QuietLog(const QuietLog&) = delete;
  QuietLog& operator=(const QuietLog&) = delete;
};

}
