#ifndef SEQUOIAGATE_PROXY_HTTPREADER_H
#define SEQUOIAGATE_PROXY_HTTPREADER_H

/// Incremental reader for one HTTP/1.1 message, based on Boost.Beast's parser. The body is
/// returned decoded, in pieces.

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

/// Why a message couldn't be parsed.
enum class HttpParseError {
    None,
    Malformed,
    HeaderTooLarge,
    BodyTooLarge,
    Truncated, ///< the connection ended inside the message
};

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
    static std::size_t leadingEmptyLines(std::string_view bytes);
    std::size_t parse(std::string_view bytes);
    using Base = boost::beast::http::basic_parser<IsRequest>;
    using ErrorCode = boost::beast::error_code;
    using Text = boost::beast::string_view;

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
    std::string leftover_; ///< incomplete head or chunk line
    bool begun_ = false;
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
