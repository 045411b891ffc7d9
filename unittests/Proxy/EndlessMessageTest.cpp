/// Messages that never end: each part of a message is bounded, for callers and for endpoints.

#include <algorithm>
#include <atomic>
#include <thread>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include "ProxyTestHarness.h"
#include "sequoiagate/Proxy/HttpReader.h"

using namespace sequoiagate;

namespace {

constexpr HttpReaderLimits Limits{4 * 1024, 64 * 1024};

/// What a reader may take in of a message in addition to its head and its body.
constexpr std::size_t MaxFramingBytes = 64 * 1024;

struct EndlessCase
{
    const char *name;
    std::string begin;  ///< behind the start line and the first fields
    std::string repeat; ///< without end
};

std::string repeated(const std::string &text, std::size_t bytes)
{
    std::string result;
    while (result.size() < bytes) {
        result += text;
    }
    return result;
}

const EndlessCase EndlessCases[] = {
        {"Head", "A: ", "x"},
        {"Fields", "", "A: x\r\n"},
        {"FieldsWithoutName", "", ": x\r\n"},
        {"BodyInChunks", "Transfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n"},
        {"BodyInChunksOfOneByte", "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
        {"BodyInOneChunk", "Transfer-Encoding: chunked\r\n\r\nffffffff\r\n", "x"},
        {"ChunkSize", "Transfer-Encoding: chunked\r\n\r\n", "0"},
        {"ChunkExtension", "Transfer-Encoding: chunked\r\n\r\n1;", "x"},
        {"ChunkExtensionOfALaterChunk", "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n1;", "x"},
        {"ChunkExtensions", "Transfer-Encoding: chunked\r\n\r\n",
         "1;" + std::string(1000, 'x') + "\r\nx\r\n"},
        {"ChunkSizesWithZeros", "Transfer-Encoding: chunked\r\n\r\n",
         std::string(1000, '0') + "1\r\nx\r\n"},
        {"Trailer", "Transfer-Encoding: chunked\r\n\r\n0\r\nA: ", "x"},
        {"Trailers", "Transfer-Encoding: chunked\r\n\r\n0\r\n", "A: x\r\n"},
        {"ExtensionOfTheLastChunk", "Transfer-Encoding: chunked\r\n\r\n0;", "x"},
        {"BodyByLength", "Content-Length: 99999999\r\n\r\n", "x"},
};

class EndlessMessage : public testing::TestWithParam<EndlessCase>
{};

template <typename Reader>
std::size_t bytesUntilFault(const std::string &begin, const std::string &repeat, std::size_t step)
{
    Reader reader(Limits);
    reader.feed(begin);
    const std::string text = repeated(repeat, 1024 * 1024);
    std::size_t used = 0;
    while (used < text.size() && reader.fault() == HttpParseError::None && !reader.done()) {
        const std::string_view piece(text.data() + used, std::min(step, text.size() - used));
        used += std::max<std::size_t>(reader.feed(piece), 1);
        reader.takeBody();
    }
    EXPECT_NE(reader.fault(), HttpParseError::None);
    return used;
}

constexpr std::size_t ReadBytes = 8192;

std::size_t allowedBytes(const EndlessCase &row)
{
    // A chunk of one byte takes six.
    const bool isPayload = row.begin.find("\r\n\r\n") != std::string::npos;
    const std::size_t payload = isPayload ? 6 * Limits.bodyBytes : 0;
    return Limits.headerBytes + payload + MaxFramingBytes + ReadBytes;
}

// Guards against a message that is read without end: what is left of an unfinished part is read
// anew with all that follows, and other connections wait meanwhile.
TEST_P(EndlessMessage, IsRefusedAsARequest)
{
    const EndlessCase &row = GetParam();
    EXPECT_LE(bytesUntilFault<RequestReader>("POST / HTTP/1.1\r\nHost: h\r\n" + row.begin,
                                             row.repeat, ReadBytes),
              allowedBytes(row));
}

TEST_P(EndlessMessage, IsRefusedAsAResponse)
{
    const EndlessCase &row = GetParam();
    EXPECT_LE(bytesUntilFault<ResponseReader>("HTTP/1.1 200 OK\r\n" + row.begin, row.repeat,
                                              ReadBytes),
              allowedBytes(row));
}

TEST_P(EndlessMessage, IsRefusedInSmallPieces)
{
    const EndlessCase &row = GetParam();
    constexpr std::size_t Step = 7;
    EXPECT_LE(bytesUntilFault<RequestReader>("POST / HTTP/1.1\r\nHost: h\r\n" + row.begin,
                                             row.repeat, Step),
              allowedBytes(row));
}

INSTANTIATE_TEST_SUITE_P(Rows, EndlessMessage, testing::ValuesIn(EndlessCases),
                         [](const auto &row) { return std::string(row.param.name); });

// Guards against a caller that sends nothing but empty lines and is read until it is idle.
TEST(EndlessEmptyLines, AreRefused)
{
    EXPECT_LE(bytesUntilFault<RequestReader>("", "\r\n", ReadBytes), 2 * ReadBytes);
}

struct EndlessAnswer
{
    const char *name;
    std::string begin; ///< behind the signed head's first fields
    std::string repeat;
};

class EndlessAnswers : public testing::TestWithParam<EndlessAnswer>
{};

const EndlessAnswer AnswerCases[] = {
        {"ChunkExtension", "Transfer-Encoding: chunked\r\n\r\n1;", "x"},
        {"ChunkExtensions", "Transfer-Encoding: chunked\r\n\r\n",
         "1;" + std::string(1000, 'x') + "\r\nx\r\n"},
        {"Trailers", "Transfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\n", "A: x\r\n"},
};

// Guards against a caller that is kept until its deadline by an endpoint whose answer never ends.
TEST_P(EndlessAnswers, FailAtOnce)
{
    const EndlessAnswer &row = GetParam();
    const std::string answer = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: s\r\n"
                               + row.begin + repeated(row.repeat, 512 * 1024);
    ProxyTestHarness harness({{{answer, AfterReply::Hang}}});
    harness.send(ProxyTestHarness::request("/once/a", "r"));
    EXPECT_TRUE(harness.waitFor("HTTP/1.1 502")) << harness.received();
    EXPECT_EQ(harness.countLogLines("\"reason\":\"endpoint_failed\""), 1U);
}

INSTANTIATE_TEST_SUITE_P(Rows, EndlessAnswers, testing::ValuesIn(AnswerCases),
                         [](const auto &row) { return std::string(row.param.name); });

struct EndlessCaller
{
    const char *name;
    std::string begin;
    std::string repeat;
    const char *answer;
};

class EndlessCallers : public testing::TestWithParam<EndlessCaller>
{};

const EndlessCaller CallerCases[] = {
        {"Head", "POST /get/a HTTP/1.1\r\nA: ", "x", "HTTP/1.1 431"},
        {"ChunkExtension", "POST /get/a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x",
         "HTTP/1.1 400"},
        {"Trailers", "POST /get/a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: x\r\n",
         "HTTP/1.1 400"},
        {"EmptyLines", "", "\r\n", "HTTP/1.1 400"},
};

// Guards against reading on without end from a caller whose request was refused.
TEST_P(EndlessCallers, AreAnsweredAndHardlyReadOn)
{
    constexpr std::size_t MaxTaken = 8 * 1024 * 1024; // mostly the sockets' buffers
    const EndlessCaller &row = GetParam();
    ProxyTestHarness harness(std::vector<std::vector<Reply>>(1));
    std::atomic<std::size_t> taken = 0;
    std::atomic<bool> isDone = false;
    std::thread caller([&] {
        const std::string text = repeated(row.repeat, 1024 * 1024);
        try {
            harness.send(row.begin);
            while (taken < 8 * MaxTaken) {
                harness.send(text);
                taken += text.size();
            }
        } catch (const boost::system::system_error &) {
            // Closed by the proxy.
        }
        isDone = true;
    });
    EXPECT_TRUE(harness.waitFor(row.answer)) << harness.received();
    EXPECT_TRUE(harness.waitUntil([&isDone] { return isDone.load(); }));
    harness.connection().forceClose();
    caller.join();
    EXPECT_LE(taken, MaxTaken);
}

INSTANTIATE_TEST_SUITE_P(Rows, EndlessCallers, testing::ValuesIn(CallerCases),
                         [](const auto &row) { return std::string(row.param.name); });

} // namespace
