/// Which messages are accepted and rejected, independent of how the bytes are chunked.

#include <fstream>
#include <iterator>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "sequoiagate/Proxy/HttpReader.h"
#include "unittests/Support/TreePaths.h"

using namespace sequoiagate;

namespace {

struct RequestCase
{
    const char *name;
    std::string bytes;
    HttpParseError error;
    std::string body;     ///< expected body of a complete message
    std::size_t leftover; ///< bytes that belong to the next message
};

class HttpRequestReading : public testing::TestWithParam<RequestCase>
{};

std::string inChunks(int count)
{
    std::string chunks;
    for (int i = 0; i < count; ++i) {
        chunks += "1\r\nx\r\n";
    }
    return chunks;
}

const RequestCase RequestCases[] = {
        {"WithoutBody", "GET / HTTP/1.1\r\nHost: a\r\n\r\n", HttpParseError::None, "", 0},
        {"ByLength", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc",
         HttpParseError::None, "abc", 0},
        {"ByChunks",
         "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: "
         "chunked\r\n\r\n3\r\nabc\r\n2;x=1\r\nde\r\n"
         "0\r\n\r\n",
         HttpParseError::None, "abcde", 0},
        {"NextRequestIsLeftOver", "GET / HTTP/1.1\r\nHost: a\r\n\r\nGET /2", HttpParseError::None,
         "", 6},
        {"EmptyLineBefore", "\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n", HttpParseError::None, "", 0},
        {"ChunkLinesBeyondTheHeaderLimit",
         "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + inChunks(300) + "0\r\n\r\n",
         HttpParseError::None, std::string(300, 'x'), 0},
        // Framings that would allow request smuggling.
        {"LengthAndChunks",
         "POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
         HttpParseError::Malformed, "", 0},
        {"ChunksAndLength",
         "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n",
         HttpParseError::Malformed, "", 0},
        {"TwoLengths", "POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
         HttpParseError::Malformed, "", 0},
        {"LengthsInOneField", "POST / HTTP/1.1\r\nContent-Length: 3, 4\r\n\r\nabcd",
         HttpParseError::Malformed, "", 0},
        {"SignedLength", "POST / HTTP/1.1\r\nContent-Length: +3\r\n\r\nabc",
         HttpParseError::Malformed, "", 0},
        {"OtherCoding", "POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
         HttpParseError::Malformed, "", 0},
        {"ChunkedTwice",
         "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n"
         "0\r\n\r\n",
         HttpParseError::Malformed, "", 0},
        {"SpaceBeforeColon", "GET / HTTP/1.1\r\nHost : a\r\n\r\n", HttpParseError::Malformed, "",
         0},
        {"NotHttp", "\x16\x03\x01 hello\r\n\r\n", HttpParseError::Malformed, "", 0},
        {"HeaderTooLarge", "GET / HTTP/1.1\r\nA: " + std::string(3000, 'x') + "\r\n\r\n",
         HttpParseError::HeaderTooLarge, "", 0},
        {"BodyTooLarge", "POST / HTTP/1.1\r\nContent-Length: 5000\r\n\r\n",
         HttpParseError::BodyTooLarge, "", 0},
};

HttpReaderLimits smallLimits()
{
    return {1024, 4096};
}

TEST_P(HttpRequestReading, WholeOrByteByByte)
{
    const RequestCase &row = GetParam();
    RequestReader whole(smallLimits());
    const std::size_t used = whole.feed(row.bytes);
    EXPECT_EQ(whole.fault(), row.error);
    if (row.error == HttpParseError::None) {
        ASSERT_TRUE(whole.done());
        EXPECT_EQ(row.bytes.size() - used, row.leftover);
        EXPECT_EQ(whole.takeBody(), row.body);
    }
    RequestReader slow(smallLimits());
    std::string body;
    std::size_t fed = 0;
    for (const char c : row.bytes) {
        if (slow.done() || slow.fault() != HttpParseError::None) {
            break;
        }
        fed += slow.feed(std::string_view(&c, 1));
        body += slow.takeBody();
    }
    EXPECT_EQ(slow.fault(), row.error);
    if (row.error == HttpParseError::None) {
        EXPECT_TRUE(slow.done());
        EXPECT_EQ(fed, row.bytes.size() - row.leftover);
        EXPECT_EQ(body, row.body);
    }
}

INSTANTIATE_TEST_SUITE_P(Rows, HttpRequestReading, testing::ValuesIn(RequestCases),
                         [](const auto &row) { return std::string(row.param.name); });

struct ResponseCase
{
    std::string name;
    std::string bytes;
    HttpParseError error = HttpParseError::Malformed;
    int status = 0;           ///< of a message that is accepted
    std::size_t leftover = 0; ///< bytes that belong to no message
};

constexpr const char *TwoBytes = "Content-Length: 2\r\n";

std::string responseOf(const std::string &statusLine, const std::string &fields = TwoBytes)
{
    return statusLine + "\r\n" + fields + "\r\nok";
}

ResponseCase statusRow(const std::string &name, const std::string &statusLine)
{
    return {"Status" + name, responseOf(statusLine)};
}

ResponseCase soundRow(const std::string &name, const std::string &bytes, int status = 200)
{
    return {name, bytes, HttpParseError::None, status};
}

/// \p fields precede the length, \p after follows it.
ResponseCase fieldRow(const std::string &name, const std::string &fields,
                      const std::string &after = "")
{
    return {name, responseOf("HTTP/1.1 200 OK", fields + TwoBytes + after)};
}

std::vector<ResponseCase> statusCases()
{
    using namespace std::string_literals;
    std::vector<ResponseCase> rows = {
            statusRow("BelowTwoDigits", "HTTP/1.1 20 OK"),
            statusRow("AboveThreeDigits", "HTTP/1.1 2000 OK"),
            statusRow("OfLetters", "HTTP/1.1 2x0 OK"),
            statusRow("WithASign", "HTTP/1.1 +20 OK"),
            statusRow("ZeroWithoutABlank", "HTTP/1.1 000"),
            statusRow("ZeroWithoutAReason", "HTTP/1.1 000 "),
            statusRow("OfVersion09", "HTTP/0.9 200 OK"),
            statusRow("OfVersion17", "HTTP/1.7 200 OK"),
            statusRow("OfVersion20", "HTTP/2.0 200 OK"),
            statusRow("WithNulInTheReason", "HTTP/1.1 200 O\0K"s),
            statusRow("WithCrInTheReason", "HTTP/1.1 200 O\rK"),
            soundRow("LowestFinalStatus", responseOf("HTTP/1.1 200 OK")),
            soundRow("StatusWithoutAReason", responseOf("HTTP/1.1 200 ")),
            soundRow("UnknownStatus", responseOf("HTTP/1.1 299 Odd"), 299),
            soundRow("HighestStatus", responseOf("HTTP/1.1 599 Odd"), 599),
            soundRow("OfVersion10", responseOf("HTTP/1.0 200 OK")),
    };
    // No such codes exist (RFC 9110, 15), and a change of protocol is never asked for.
    for (const int status : {0, 1, 20, 99, 101, 600, 999}) {
        rows.push_back(statusRow(fmt::format("{:03}", status),
                                 fmt::format("HTTP/1.1 {:03} Trouble", status)));
    }
    return rows;
}

std::string interims(int count)
{
    std::string heads;
    for (int i = 0; i < count; ++i) {
        heads += "HTTP/1.1 100 Continue\r\n\r\n";
    }
    return heads;
}

std::vector<ResponseCase> interimCases()
{
    const std::string final = responseOf("HTTP/1.1 200 OK");
    const std::string hints = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
    return {
            soundRow("AfterContinue", interims(1) + final),
            soundRow("AfterEarlyHints", hints + final),
            soundRow("AfterSeveralInterims", interims(3) + hints + final),
            // An empty line ends an interim response whatever its fields (RFC 9112, 6.3).
            soundRow("AfterAnInterimWithALength",
                     "HTTP/1.1 100 Continue\r\nContent-Length: 2\r\n\r\n" + final),
            {"SwitchAfterAnInterim",
             interims(1) + "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n"},
            {"NoResponseAfterAnInterim", interims(1) + "no response\r\n\r\n"},
            {"SurplusAfterAnInterimAndAResponse", interims(1) + final + "more",
             HttpParseError::None, 200, 4},
            {"InterimsWithoutEnd", interims(2000) + final, HttpParseError::FramingTooLarge},
            {"EndlessInterim",
             "HTTP/1.1 100 Continue\r\nA: " + std::string(3000, 'x') + "\r\n\r\n" + final,
             HttpParseError::HeaderTooLarge},
    };
}

std::vector<ResponseCase> fieldCases()
{
    using namespace std::string_literals;
    std::vector<ResponseCase> rows = {
            fieldRow("BlankBeforeTheColon", "Field : 1\r\n"),
            fieldRow("TabBeforeTheColon", "Field\t: 1\r\n"),
            fieldRow("NoName", ": 1\r\n"),
            fieldRow("NoColon", "Field\r\n"),
            fieldRow("NulInTheValue", "Field: 1\0002\r\n"s),
            fieldRow("CrInTheValue", "Field: 1\r2\r\n"),
            fieldRow("ControlByteInTheValue", "Field: 1\0012\r\n"),
            fieldRow("LoneLineFeed", "Field: 1\nOther: 2\r\n"),
            fieldRow("OtherLength", "Content-Length: 3\r\n"),
            fieldRow("NameBehindTheLength", "", "Fie ld: 1\r\n"),
            {"SignedLength", responseOf("HTTP/1.1 200 OK", "Content-Length: +2\r\n")},
            {"TwoLengthsInAField", responseOf("HTTP/1.1 200 OK", "Content-Length: 2, 3\r\n")},
            {"BlankBehindTheNameOfTheLength",
             responseOf("HTTP/1.1 200 OK", "Content-Length : 2\r\n")},
            {"BlankInTheNameOfTheLength", responseOf("HTTP/1.1 200 OK", "Content Length: 2\r\n")},
            {"BlankBehindTheNameOfTheCoding",
             responseOf("HTTP/1.1 200 OK", "Transfer-Encoding : chunked\r\n")},
            {"NameInAnInterim",
             "HTTP/1.1 100 Continue\r\nFie ld: 1\r\n\r\n" + responseOf("HTTP/1.1 200 OK")},
            // The line would become a part of the value before it (RFC 9112, 5.2).
            fieldRow("BlankBeforeTheName", "Field: 1\r\n Other: 2\r\n"),
            fieldRow("TabBeforeTheName", "Field: 1\r\n\tOther: 2\r\n"),
            fieldRow("BlankBeforeTheFirstName", " Field: 1\r\n"),
            fieldRow("BlankBehindAnEmptyValue", "Field:\r\n Other: 2\r\n"),
            fieldRow("LineOfBlanks", "Field: 1\r\n  \r\n"),
            fieldRow("BlankBeforeTheLastName", "", " Other: 2\r\n"),
            {"BlankBeforeTheLength",
             responseOf("HTTP/1.1 200 OK", "Field: 1\r\n Content-Length: 2\r\n")},
            soundRow("BlanksAroundTheValue",
                     responseOf("HTTP/1.1 200 OK", "Content-Length: \t2 \r\n")),
            soundRow("EmptyValue",
                     responseOf("HTTP/1.1 200 OK", "Field:\r\nContent-Length: 2\r\n")),
            soundRow("BodyThatBeginsWithABlank", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n o"),
    };
    const std::string_view separators = "\"(),/;<=>?@[\\]{}";
    for (int byte = 0; byte < 256; ++byte) {
        const char c = static_cast<char>(byte);
        const bool isOutsideAscii = byte <= ' ' || byte >= 127;
        // A carriage return or a line feed would make it another line.
        const bool endsLine = c == '\r' || c == '\n';
        if (!endsLine && (isOutsideAscii || separators.find(c) != std::string_view::npos)) {
            rows.push_back(fieldRow(fmt::format("NameWithByte{:02x}", byte),
                                    std::string("Fie") + c + "ld: 1\r\n"));
        }
    }
    return rows;
}

class HttpResponseReading : public testing::TestWithParam<ResponseCase>
{};

// Guards against a malformed response that is taken for an answer.
TEST_P(HttpResponseReading, WholeOrByteByByte)
{
    const ResponseCase &row = GetParam();
    ResponseReader whole(smallLimits());
    const std::size_t used = whole.feed(row.bytes);
    ResponseReader slow(smallLimits());
    std::size_t fed = 0;
    for (const char c : row.bytes) {
        fed += slow.feed(std::string_view(&c, 1));
    }
    EXPECT_EQ(whole.fault(), row.error);
    EXPECT_EQ(slow.fault(), row.error);
    const bool isAccepted = row.error == HttpParseError::None;
    EXPECT_EQ(whole.hasHead(), isAccepted);
    EXPECT_EQ(slow.hasHead(), isAccepted);
    if (!isAccepted) {
        return;
    }
    EXPECT_EQ(used, row.bytes.size() - row.leftover);
    EXPECT_EQ(fed, used);
    for (ResponseReader *reader : {&whole, &slow}) {
        EXPECT_TRUE(reader->done());
        EXPECT_EQ(reader->head().status, row.status);
        EXPECT_EQ(findField(reader->head().fields, "Link"), nullptr);
        EXPECT_EQ(reader->takeBody().size(), 2U);
    }
}

INSTANTIATE_TEST_SUITE_P(Statuses, HttpResponseReading, testing::ValuesIn(statusCases()),
                         [](const auto &row) { return row.param.name; });
INSTANTIATE_TEST_SUITE_P(Interims, HttpResponseReading, testing::ValuesIn(interimCases()),
                         [](const auto &row) { return row.param.name; });
INSTANTIATE_TEST_SUITE_P(Fields, HttpResponseReading, testing::ValuesIn(fieldCases()),
                         [](const auto &row) { return row.param.name; });

struct ClosedCase
{
    const char *name;
    std::string bytes;
    bool whole;
};

class HttpResponseClosed : public testing::TestWithParam<ClosedCase>
{};

// Guards against a response with status 0, or a truncated one that looks complete, when an
// endpoint closes its connection: before the first byte, inside the head or the body, or at
// the end of a body that nothing else frames. Beast treats the first case as a message.
const ClosedCase ClosedCases[] = {
        {"BeforeFirstByte", "", false},
        {"InsideTheHead", "HTTP/1.1 200 O", false},
        {"BehindAnInterim", "HTTP/1.1 100 Continue\r\n\r\n", false},
        {"InsideTheBody", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc", false},
        {"InsideTheChunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
         false},
        {"BehindAnUnframedBody", "HTTP/1.1 200 OK\r\n\r\nabc", true},
};

TEST_P(HttpResponseClosed, IsCompleteOnlyIfTheCloseFramesTheBody)
{
    ResponseReader reader(smallLimits());
    reader.feed(GetParam().bytes);
    reader.feedEnd();
    EXPECT_EQ(reader.done(), GetParam().whole);
    EXPECT_EQ(reader.fault() == HttpParseError::Truncated, !GetParam().whole);
}

INSTANTIATE_TEST_SUITE_P(Rows, HttpResponseClosed, testing::ValuesIn(ClosedCases),
                         [](const auto &row) { return std::string(row.param.name); });

// Guards against a field that is sent behind the body and taken for one of the head.
TEST(HttpReader, TrailersAreNotFieldsOfTheHead)
{
    RequestReader reader(smallLimits());
    reader.feed("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
                "1\r\nx\r\n0\r\nAuthorization: Token key\r\n\r\n");
    ASSERT_TRUE(reader.done());
    EXPECT_EQ(reader.head().fields.size(), 2U);
}

struct BoundCase
{
    const char *name;
    std::size_t bytes;
};

class MessageBounds : public testing::TestWithParam<BoundCase>
{};

TEST_P(MessageBounds, StandOnTheSettingsPage)
{
    std::ifstream file(sourceFolder() / "docs/Settings.md");
    const std::string page(std::istreambuf_iterator<char>(file), {});
    const std::string row = fmt::format("| `{}` | {} |", GetParam().name, GetParam().bytes);
    EXPECT_NE(page.find(row), std::string::npos) << row;
}

INSTANTIATE_TEST_SUITE_P(Rows, MessageBounds,
                         testing::Values(BoundCase{"MaxChunkLineBytes", MaxChunkLineBytes},
                                         BoundCase{"MaxFramingBytes", MaxFramingBytes},
                                         BoundCase{"FramingBytesPerChunk", FramingBytesPerChunk},
                                         BoundCase{"MaxEmptyLineBytes", MaxEmptyLineBytes},
                                         BoundCase{"MaxInterimBytes", MaxInterimBytes}),
                         [](const auto &row) { return std::string(row.param.name); });

TEST(HttpMessage, HopByHopFieldsAreRecognized)
{
    const HttpFields fields = {{"Connection", "close, X-Hop"}, {"X-Hop", "1"}, {"X-End", "2"}};
    EXPECT_TRUE(isHopByHop("x-hop", fields));
    EXPECT_TRUE(isHopByHop("transfer-encoding", fields));
    EXPECT_FALSE(isHopByHop("X-End", fields));
}

} // namespace
