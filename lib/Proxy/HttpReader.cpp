#include "sequoiagate/Proxy/HttpReader.h"

#include <algorithm>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>

namespace sequoiagate {

namespace http = boost::beast::http;

namespace {

struct ParseErrorText
{
    HttpParseError error;
    const char *text;
};

constexpr ParseErrorText ParseErrorTexts[] = {
        {HttpParseError::None, "no error"},
        {HttpParseError::Malformed, "not an HTTP message"},
        {HttpParseError::HeaderTooLarge, "the head is too large"},
        {HttpParseError::BodyTooLarge, "the body is too large"},
        {HttpParseError::FramingTooLarge,
         "the chunk lines, trailers, empty lines or interim responses are too large"},
        {HttpParseError::Truncated, "the connection ended inside the message"},
};

} // namespace

const char *describeParseError(HttpParseError error)
{
    for (const ParseErrorText &row : ParseErrorTexts) {
        if (row.error == error) {
            return row.text;
        }
    }
    return "";
}

template <bool IsRequest>
HttpReader<IsRequest>::HttpReader(HttpReaderLimits limits) : limits_(limits)
{
    this->eager(true);
    this->header_limit(limits.headerBytes);
    this->body_limit(limits.bodyBytes);
}

template <bool IsRequest>
std::size_t HttpReader<IsRequest>::feed(std::string_view bytes)
{
    if (done_ || fault_ != HttpParseError::None || bytes.empty()) {
        return 0;
    }
    const std::size_t empty = begun_ ? 0 : leadingEmptyLines(bytes);
    bytes.remove_prefix(empty);
    emptyLineBytes_ += empty;
    if (emptyLineBytes_ > MaxEmptyLineBytes) {
        fault_ = HttpParseError::FramingTooLarge;
        return empty;
    }
    if (bytes.empty()) {
        return empty;
    }
    begun_ = true;
    return empty + parse(bytes);
}

template <bool IsRequest>
std::size_t HttpReader<IsRequest>::leadingEmptyLines(std::string_view bytes)
{
    // Some callers send a line break after the body that its length doesn't include
    // (RFC 9112, 2.2).
    if constexpr (!IsRequest) {
        return 0;
    }
    return std::min(bytes.find_first_not_of("\r\n"), bytes.size());
}

template <bool IsRequest>
std::size_t HttpReader<IsRequest>::parse(std::string_view bytes)
{
    const std::size_t before = leftover_.size();
    std::string joined;
    std::string_view input = bytes;
    if (before > 0) {
        joined = std::exchange(leftover_, std::string());
        joined.append(bytes);
        input = joined;
    }
    std::size_t used = 0;
    while (used < input.size() && !done_ && fault_ == HttpParseError::None) {
        ErrorCode error;
        parserInput_ = input.substr(used);
        const std::size_t parsed =
                this->put(boost::asio::buffer(parserInput_.data(), parserInput_.size()), error);
        used += parsed;
        parsedBytes_ += parsed;
        const bool needsMore = error == http::error::need_more;
        if (error && !needsMore) {
            refuse(error);
            return bytes.size();
        }
        const bool isLineTooLong = needsMore && hasHead_ && input.size() - used > MaxChunkLineBytes;
        if (isLineTooLong || isFramingTooLarge()) {
            fault_ = HttpParseError::FramingTooLarge;
            return bytes.size();
        }
        if (needsMore) {
            leftover_ = input.substr(used);
            return bytes.size();
        }
        if (isInterim_) {
            skipInterim();
            continue;
        }
        done_ = this->is_done();
    }
    return used - before;
}

template <bool IsRequest>
void HttpReader<IsRequest>::skipInterim()
{
    interimBytes_ += std::exchange(parsedBytes_, 0);
    if (interimBytes_ > MaxInterimBytes) {
        fault_ = HttpParseError::FramingTooLarge;
        return;
    }
    // The parser reads one message.
    HttpReader next(limits_);
    Base::operator=(std::move(static_cast<Base &>(next)));
    head_ = Head();
    isInterim_ = false;
}

template <bool IsRequest>
bool HttpReader<IsRequest>::isFramingTooLarge() const
{
    // The head, which has a limit of its own, may have been parsed together with what follows.
    const std::uint64_t allowed =
            limits_.headerBytes + MaxFramingBytes + FramingBytesPerChunk * chunks_ + bodyBytes_;
    return parsedBytes_ > allowed;
}

template <bool IsRequest>
void HttpReader<IsRequest>::feedEnd()
{
    if (done_ || fault_ != HttpParseError::None) {
        return;
    }
    // Beast treats the end of a connection without any data as a complete message.
    if (!hasHead_) {
        fault_ = HttpParseError::Truncated;
        return;
    }
    ErrorCode error;
    this->put_eof(error);
    if (error || !this->is_done()) {
        fault_ = HttpParseError::Truncated;
        return;
    }
    done_ = true;
}

template <bool IsRequest>
void HttpReader<IsRequest>::refuse(const ErrorCode &error)
{
    if (error == http::error::header_limit) {
        fault_ = HttpParseError::HeaderTooLarge;
    } else if (error == http::error::body_limit) {
        fault_ = HttpParseError::BodyTooLarge;
    } else {
        fault_ = HttpParseError::Malformed;
    }
}

template <bool IsRequest>
void HttpReader<IsRequest>::on_request_impl(http::verb, Text name, Text target, int version,
                                            ErrorCode &)
{
    constexpr int Http11 = 11;
    if constexpr (IsRequest) {
        head_.acceptsChunks = version >= Http11;
        head_.method.assign(name.data(), name.size());
        head_.target.assign(target.data(), target.size());
    }
}

template <bool IsRequest>
void HttpReader<IsRequest>::on_response_impl(int status, Text reason, int, ErrorCode &error)
{
    if constexpr (!IsRequest) {
        if (!isInterimStatus(status) && !isFinalStatus(status)) {
            error = http::error::bad_status;
            return;
        }
        isInterim_ = isInterimStatus(status);
        head_.status = status;
        head_.reason.assign(reason.data(), reason.size());
    }
}

template <bool IsRequest>
void HttpReader<IsRequest>::on_field_impl(http::field, Text name, Text value, ErrorCode &error)
{
    if (hasHead_) {
        return; // a trailer
    }
    // A proxy may reject such a response (RFC 9112, 5.2). To another reader the line may be a field
    // of its own, which may frame the body.
    if (!IsRequest && isFolded(name)) {
        error = http::error::bad_obs_fold;
        return;
    }
    head_.fields.push_back(
            {std::string(name.data(), name.size()), std::string(value.data(), value.size())});
}

template <bool IsRequest>
void HttpReader<IsRequest>::on_header_impl(ErrorCode &error)
{
    // Only a length or a single chunked coding is accepted. With any other framing two hops
    // could disagree on where the body ends, which allows request smuggling.
    int transferCodings = 0;
    for (const HttpField &field : head_.fields) {
        if (sameFieldName(field.name, "Transfer-Encoding")) {
            ++transferCodings;
            if (!sameFieldName(field.value, "chunked")) {
                error = http::error::bad_transfer_encoding;
                return;
            }
        }
    }
    const bool both = transferCodings > 0 && findField(head_.fields, "Content-Length") != nullptr;
    if (transferCodings > 1 || both) {
        error = http::error::bad_transfer_encoding;
        return;
    }
    head_.keepAlive = this->keep_alive();
    hasHead_ = !isInterim_;
}

template <bool IsRequest>
bool HttpReader<IsRequest>::isFolded(Text name) const
{
    // The parser reports a field when it has seen the first byte of the next line.
    const auto nameEnd = static_cast<std::size_t>(name.end() - parserInput_.data());
    const std::size_t nextLine = parserInput_.find('\n', nameEnd) + 1;
    return parserInput_[nextLine] == ' ' || parserInput_[nextLine] == '\t';
}

template <bool IsRequest>
void HttpReader<IsRequest>::on_body_init_impl(const boost::optional<std::uint64_t> &, ErrorCode &)
{}

template <bool IsRequest>
std::size_t HttpReader<IsRequest>::on_body_impl(Text body, ErrorCode &)
{
    bodyBytes_ += body.size();
    body_.append(body.data(), body.size());
    return body.size();
}

template <bool IsRequest>
void HttpReader<IsRequest>::on_chunk_header_impl(std::uint64_t, Text, ErrorCode &)
{
    ++chunks_;
}

template <bool IsRequest>
std::size_t HttpReader<IsRequest>::on_chunk_body_impl(std::uint64_t, Text body, ErrorCode &)
{
    bodyBytes_ += body.size();
    body_.append(body.data(), body.size());
    return body.size();
}

template <bool IsRequest>
void HttpReader<IsRequest>::on_finish_impl(ErrorCode &)
{}

template class HttpReader<true>;
template class HttpReader<false>;

} // namespace sequoiagate
