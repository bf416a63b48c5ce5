#pragma once

#include <map>
#include <string>

namespace second_review {

struct HttpRequest
{
  std::string m_method;
  /** Path without the query. */
  std::string m_path;
  std::map<std::string, std::string> m_query;
  /** Header fields by lower-case name. */
  std::map<std::string, std::string> m_headers;
  std::string m_body;
};

struct HttpResponse
{
  /** 0 if there was no response. */
  int m_status = 0;
  std::string m_body;
};

}
