#ifndef SEQUOIAGATE_PROXY_HTTPREADER_H
#define SEQUOIAGATE_PROXY_HTTPREADER_H

/// Reads one HTTP/1.1 message out of the bytes of a connection, by Boost.Beast's parser.
/// The body comes decoded, piece by piece.

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

/// Why a message can't be read.
enum class HttpParseError {
    None,
    Malformed,
    HeaderTooLarge,
    BodyTooLarge,
    Truncated, ///< the connection ended before the message did
};

/// Not thread safe. One object a message.
template <bool IsRequest>
class HttpReader : private boost::beast::http::basic_parser<IsRequest>
{
public:
    using Head = std::conditional_t<IsRequest, RequestHead, ResponseHead>;

    explicit HttpReader(HttpReaderLimits limits);

    /// Reads on. \returns how many bytes belong to this message; the rest is the next one's.
    std::size_t feed(std::string_view bytes);
    /// The peer closed its end in order: the message may end here (RFC 9112, 6.3), or is cut off.
    void feedEnd();

    /// A part of a message has been seen.
    bool begun() const { return begun_; }
    bool hasHead() const { return hasHead_; }
    bool done() const { return done_; }
    HttpParseError fault() const { return fault_; }
    /// \pre hasHead()
    const Head &head() const { return head_; }
    Head &head() { return head_; }
    /// What came of the body since the last call.
    std::string takeBody() { return std::exchange(body_, std::string()); }
    /// The body ends with the connection: neither a length nor chunks frame it.
    bool endsWithConnection() const { return hasHead_ && this->need_eof(); }

private:
    static std::size_t emptyLines(std::string_view bytes);
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
    std::string leftover_; ///< the start of a head or chunk line that isn't whole yet
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
