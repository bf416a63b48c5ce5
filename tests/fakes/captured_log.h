#pragma once

#include <boost/log/core.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/shared_ptr.hpp>
#include <boost/smart_ptr/make_shared_object.hpp>

#include <sstream>
#include <string>

namespace bramleystall {

/** Collects the log for the duration of a test instead of printing it. */
class CapturedLog
{
public:
  CapturedLog()
  {
    m_sink->locked_backend()->add_stream(m_text);
    boost::log::core::get()->add_sink(m_sink);
  }
  ~CapturedLog() { boost::log::core::get()->remove_sink(m_sink); }
  CapturedLog(const CapturedLog&) = delete;
  CapturedLog& operator=(const CapturedLog&) = delete;

  std::string Text() const { return m_text->str(); }

private:
  using Sink = boost::log::sinks::synchronous_sink<
    boost::log::sinks::text_ostream_backend>;

  boost::shared_ptr<std::ostringstream> m_text =
    boost::make_shared<std::ostringstream>();
  boost::shared_ptr<Sink> m_sink = boost::make_shared<Sink>();
};

}
