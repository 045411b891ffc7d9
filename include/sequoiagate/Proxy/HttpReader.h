#ifndef SEQUOIAGATE_PROXY_HTTPREADER_H
#define SEQUOIAGATE_PROXY_HTTPREADER_H

/// Incremental reader for one HTTP/1.1 message, based on Boost.Beast's parser. The body is
/// returned decoded, in pieces. Interim responses (RFC 9110, 15.2) are skipped.

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>

// Boost 1.74's Asio uses std::exchange without including it.
#include <boost/beast/http/basic_parser.hpp>

#include "sequoiagate/Proxy/HttpMessage.h"

namespace sequoiagate {

struct HttpReaderLimits
{
    std::uint32_t headerBytes = 16 * 1024;
    std::uint64_t bodyBytes = 8 * 1024 * 1024;
};

/// The longest line of the chunked coding, with its extensions, and the longest trailer section.
/// The parser starts anew on these with each read until they are complete.
inline constexpr std::size_t MaxChunkLineBytes = 4 * 1024;

/// What a message may contain besides its head and the data of its body: so many bytes, and some
/// for each chunk.
inline constexpr std::size_t MaxFramingBytes = 16 * 1024;
inline constexpr std::size_t FramingBytesPerChunk = 16;

/// Empty lines that may precede a request, in bytes.
inline constexpr std::size_t MaxEmptyLineBytes = 64;

/// Bytes of all interim responses that may precede the final one.
inline constexpr std::size_t MaxInterimBytes = 16 * 1024;

/// Why a message couldn't be parsed.
enum class HttpParseError {
    None,
    Malformed,
    HeaderTooLarge,
    BodyTooLarge,
    FramingTooLarge, ///< chunk lines, trailers, or what precedes the message
    Truncated,       ///< the connection ended inside the message
};

/// What \p error means, for logs.
const char *describeParseError(HttpParseError error);

/// Not thread-safe. Each object reads one message.
template <bool IsRequest>
class HttpReader : private boost::beast::http::basic_parser<IsRequest>
{
public:
    using Head = std::conditional_t<IsRequest, RequestHead, ResponseHead>;

    explicit HttpReader(HttpReaderLimits limits);

    /// Parses \p bytes. \returns how many of them belong to this message; the rest belongs to
    /// the next one.
    std::size_t feed(std::string_view bytes);
    /// Signals an orderly close by the peer, which completes the message (RFC 9112, 6.3) or
    /// truncates it.
    void feedEnd();

    /// Whether a part of the message has been received.
    bool begun() const { return begun_; }
    /// Whether nothing has been received, not even an empty line.
    bool isFresh() const { return !begun_ && emptyLineBytes_ == 0; }
    bool hasHead() const { return hasHead_; }
    bool done() const { return done_; }
    HttpParseError fault() const { return fault_; }
    /// \pre hasHead()
    const Head &head() const { return head_; }
    Head &head() { return head_; }
    /// Returns the body bytes received since the last call.
    std::string takeBody() { return std::exchange(body_, std::string()); }
    /// Whether the body is framed by the end of the connection only.
    bool endsWithConnection() const { return hasHead_ && this->need_eof(); }

private:
    using Base = boost::beast::http::basic_parser<IsRequest>;
    using ErrorCode = boost::beast::error_code;
    using Text = boost::beast::string_view;

    static std::size_t leadingEmptyLines(std::string_view bytes);
    std::size_t parse(std::string_view bytes);
    /// Gets ready for the response that follows an interim one.
    void skipInterim();
    /// Whether a line that begins with a blank continues the value of the field \p name, which is
    /// being parsed.
    bool isFolded(Text name) const;
    /// Whether the message contains too much that is neither its head nor data of its body.
    bool isFramingTooLarge() const;

    void on_request_impl(boost::beast::http::verb method, Text name, Text target, int version,
                         ErrorCode &error) override;
    void on_response_impl(int status, Text reason, int version, ErrorCode &error) override;
    void on_field_impl(boost::beast::http::field field, Text name, Text value,
                       ErrorCode &error) override;
    void on_header_impl(ErrorCode &error) override;
    void on_body_init_impl(const boost::optional<std::uint64_t> &length, ErrorCode &error) override;
    std::size_t on_body_impl(Text body, ErrorCode &error) override;
    void on_chunk_header_impl(std::uint64_t size, Text extensions, ErrorCode &error) override;
    std::size_t on_chunk_body_impl(std::uint64_t remain, Text body, ErrorCode &error) override;
    void on_finish_impl(ErrorCode &error) override;
    void refuse(const ErrorCode &error);

    Head head_;
    std::string body_;
    std::string leftover_;         ///< incomplete head, chunk line or trailers
    std::string_view parserInput_; ///< while the parser reads it
    std::uint64_t parsedBytes_ = 0;
    std::uint64_t bodyBytes_ = 0;
    std::uint64_t chunks_ = 0;
    std::size_t emptyLineBytes_ = 0; ///< before the message
    std::size_t interimBytes_ = 0;   ///< before the message
    HttpReaderLimits limits_;
    bool begun_ = false;
    bool isInterim_ = false; ///< the head that was parsed last is an interim response's
    bool hasHead_ = false;
    bool done_ = false;
    HttpParseError fault_ = HttpParseError::None;
};

using RequestReader = HttpReader<true>;
using ResponseReader = HttpReader<false>;

extern template class HttpReader<true>;
extern template class HttpReader<false>;

} // namespace sequoiagate

#endif
