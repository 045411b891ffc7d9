#ifndef SEQUOIAGATE_PROXY_HTTPMESSAGE_H
#define SEQUOIAGATE_PROXY_HTTPMESSAGE_H

/// Heads of HTTP/1.1 messages, and how they are written.

#include <string>
#include <string_view>
#include <vector>

namespace sequoiagate {

struct HttpField
{
    std::string name;
    std::string value;
};

using HttpFields = std::vector<HttpField>;

struct RequestHead
{
    std::string method;
    std::string target;
    HttpFields fields;
    bool keepAlive = true;
};

struct ResponseHead
{
    int status = 0;
    std::string reason;
    HttpFields fields;
    bool keepAlive = true;
};

/// Whether two field names are the same; their case doesn't matter (RFC 9110, 5.1).
bool sameFieldName(std::string_view a, std::string_view b);

/// The first field of that name, or nullptr.
const std::string *findField(const HttpFields &fields, std::string_view name);

/// Whether a field concerns one connection only and isn't forwarded (RFC 9110, 7.6.1), or
/// frames the body, which each hop does for itself.
/// \param fields the message's, whose Connection field may name more of them
bool isHopByHop(std::string_view name, const HttpFields &fields);

/// The usual reason phrase of \p status.
std::string_view reasonPhrase(int status);

/// A request's head and its framing for a body of \p bodyBytes.
std::string writeRequestHead(const RequestHead &head, std::size_t bodyBytes);

/// How the end of an answer's body is told.
enum class BodyFraming {
    Length,
    Chunked,
};

/// An answer's head. \p bodyBytes counts with BodyFraming::Length only.
std::string writeResponseHead(const ResponseHead &head, BodyFraming framing, std::size_t bodyBytes);

/// One chunk of a chunked body. \pre data isn't empty: an empty chunk ends the body.
std::string writeChunk(std::string_view data);

inline constexpr std::string_view LastChunk = "0\r\n\r\n";

} // namespace sequoiagate

#endif
