#ifndef SEQUOIAGATE_PROXY_HTTPMESSAGE_H
#define SEQUOIAGATE_PROXY_HTTPMESSAGE_H

/// Heads of HTTP/1.1 messages and their serialization.

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
    bool acceptsChunks = true; ///< false for a caller of HTTP/1.0
};

struct ResponseHead
{
    int status = 0;
    std::string reason;
    HttpFields fields;
    bool keepAlive = true;
};

/// Compares field names without regard to case (RFC 9110, 5.1).
bool sameFieldName(std::string_view a, std::string_view b);

/// Returns the value of the first field with that name, or nullptr.
const std::string *findField(const HttpFields &fields, std::string_view name);

/// Whether a field applies to a single connection and isn't forwarded (RFC 9110, 7.6.1), or
/// frames the body, which each hop does for itself.
/// \param fields all fields of the message; its Connection field may name further ones
bool isHopByHop(std::string_view name, const HttpFields &fields);

/// Whether \p status says that a final response follows (RFC 9110, 15.2). 101 doesn't: it ends the
/// exchange with a change of protocol, which is never asked for. Thread safe.
bool isInterimStatus(int status);

/// Whether \p status is one of a final response; there are none above 599 (RFC 9110, 15). Thread
/// safe.
bool isFinalStatus(int status);

/// Returns the standard reason phrase for \p status.
std::string_view reasonPhrase(int status);

/// Serializes a request head, with the framing for a body of \p bodyBytes.
std::string writeRequestHead(const RequestHead &head, std::size_t bodyBytes);

/// How the end of a response body is marked.
enum class BodyFraming {
    Length,
    Chunked,
    Close, ///< the connection ends with it
};

/// Serializes a response head. \p bodyBytes is used with BodyFraming::Length only.
std::string writeResponseHead(const ResponseHead &head, BodyFraming framing, std::size_t bodyBytes);

/// Serializes one chunk of a chunked body. \pre data isn't empty, since an empty chunk ends
/// the body.
std::string writeChunk(std::string_view data);

inline constexpr std::string_view LastChunk = "0\r\n\r\n";

} // namespace sequoiagate

#endif
