#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bramleystall {

/** Header fields in the order received; a name may occur more than once. */
using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/** A complete HTTP request of a caller. */
struct HttpRequest
{
  std::string m_method;
  /** Request target as received, with the query: "/path?query". */
  std::string m_target;
  /** Host without the port, in lower case. */
  std::string m_host;
  HttpHeaders m_headers;
  std::string m_body;

  /** Request target without the query. */
  std::string Path() const { return m_target.substr(0, m_target.find('?')); }
};

/** A complete HTTP response. */
struct HttpResponse
{
  int m_status = 0;
  HttpHeaders m_headers;
  std::string m_body;
};

/** Value of the first header with this name (case-insensitive), or null. */
const std::string*
FindHeader(const HttpHeaders& aHeaders, std::string_view aName);

/** Number of headers with this name (case-insensitive). */
int
CountHeader(const HttpHeaders& aHeaders, std::string_view aName);

/**
 * End-to-end headers, which a proxy forwards. Leaves out the hop-by-hop fields
 * (RFC 9110, 7.6.1), the fields that `Connection` names, and Content-Length,
 * which each connection sets itself.
 */
HttpHeaders
EndToEndHeaders(const HttpHeaders& aHeaders);

/** Whether a path has a "." or ".." segment, plain or percent-encoded. */
bool
HasDotSegment(std::string_view aPath);

}
