/// Endpoints that stop in the middle of the head of their response.

#include <gtest/gtest.h>

#include "ProxyTestHarness.h"

using namespace sequoiagate;

namespace {

constexpr const char *Established = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
constexpr const char *Interim = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr const char *Whole = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: s\r\n"
                              "Content-Length: 4\r\n\r\ngood";

struct FramingCase
{
    const char *name;
    const char *path;
    const char *before; ///< what stands before the head
    const char *framing;
};

const FramingCase FramingCases[] = {
        {"WithLength", "/once/a", "", "Content-Length: 4\r\n"},
        {"WithChunks", "/once/a", "", "Transfer-Encoding: chunked\r\n"},
        {"WithoutLength", "/once/a", "", "Content-Type: text/plain\r\n"},
        {"AfterAnInterimResponse", "/once/a", Interim, "Content-Length: 4\r\n"},
        {"OfAStream", "/stream/a", "",
         "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"},
        {"OfAStreamWithoutLength", "/stream/a", "", "Content-Type: text/event-stream\r\n"},
};

enum class Path {
    Direct,
    Relayed,
    KeptConnection, ///< it carried another request before
};

struct PathName
{
    Path path;
    const char *name;
};

const PathName PathNames[] = {
        {Path::Direct, ""}, {Path::Relayed, "OverARelay"}, {Path::KeptConnection, "AgainUsed"}};

class TruncatedHead : public testing::TestWithParam<std::tuple<FramingCase, PathName, AfterReply>>
{
protected:
    static std::string head()
    {
        const FramingCase &row = std::get<0>(GetParam());
        return std::string(row.before) + "HTTP/1.1 200 OK\r\n" + row.framing
               + "Request-Id: 7\r\nResponse-Stamp: s\r\n\r\n";
    }

    /// What a caller receives whose endpoint sends \p bytes and ends.
    static std::string receivedOf(const std::string &bytes)
    {
        const auto &[row, path, end] = GetParam();
        std::vector<Reply> script = {{bytes, end}};
        if (path.path == Path::Relayed) {
            script.insert(script.begin(), {Established});
        } else if (path.path == Path::KeptConnection) {
            script.insert(script.begin(), {Whole});
        }
        ProxyTestHarness harness({script});
        if (path.path == Path::Relayed) {
            harness.placement.endpoints[0].relay =
                    RelayRoute{HostId("other"), harness.endpoints[0]->address(), false};
        } else if (path.path == Path::KeptConnection) {
            harness.send(ProxyTestHarness::request("/get/a", "6"));
            EXPECT_TRUE(harness.waitFor("good"));
        }
        const std::size_t before = harness.received().size();
        harness.send(ProxyTestHarness::request(row.path, "7"));
        harness.waitUntil([&] {
            return harness.closed()
                   || harness.received().find("\r\n\r\n", before) != std::string::npos;
        });
        return harness.received().substr(before);
    }
};

// Guards against a success with an empty or short body that looks whole.
TEST_P(TruncatedHead, IsNoSuccess)
{
    const std::string whole = head();
    for (std::size_t length = 0; length < whole.size(); ++length) {
        const std::string received = receivedOf(whole.substr(0, length));
        EXPECT_EQ(received.rfind("HTTP/1.1 502", 0), 0U) << length << ": " << received;
    }
}

INSTANTIATE_TEST_SUITE_P(Rows, TruncatedHead,
                         testing::Combine(testing::ValuesIn(FramingCases),
                                          testing::ValuesIn(PathNames),
                                          testing::Values(AfterReply::Close, AfterReply::Reset)),
                         [](const auto &row) {
                             return std::string(std::get<0>(row.param).name)
                                    + std::get<1>(row.param).name
                                    + (std::get<2>(row.param) == AfterReply::Reset ? "Reset"
                                                                                   : "Closed");
                         });

// Guards against a head that seems whole since it came in parts.
TEST(TruncatedHeadInParts, IsNoMessage)
{
    const std::string_view head =
            "HTTP/1.1 200 OK\r\nResponse-Stamp: s\r\nContent-Length: 0\r\n\r\n";
    for (std::size_t length = 0; length < head.size(); ++length) {
        for (std::size_t first = 0; first <= length; ++first) {
            ResponseReader reader{HttpReaderLimits()};
            reader.feed(head.substr(0, first));
            reader.feed(head.substr(first, length - first));
            reader.feedEnd();
            EXPECT_FALSE(reader.done()) << length << " " << first;
            EXPECT_EQ(reader.fault(), HttpParseError::Truncated) << length << " " << first;
        }
    }
}

// Guards against a stream that ends as if it were whole where the endpoint that was to go on with
// it stopped in its head.
TEST(TruncatedHeadOfAResumedStream, CutsTheStream)
{
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                             "Transfer-Encoding: chunked\r\nRequest-Id: {id}\r\n"
                             "Response-Stamp: s\r\n\r\n";
    const Reply first{head + writeChunk("id: 0\ndata: x\n\n"), AfterReply::Reset};
    for (std::size_t length = 0; length < head.size(); length += 7) {
        ProxyTestHarness harness({{first}, {{head.substr(0, length), AfterReply::Close}}});
        harness.send(ProxyTestHarness::request("/resume/a", "r1"));
        EXPECT_TRUE(harness.waitForClose()) << length;
        EXPECT_NE(harness.received().find("id: 0"), std::string::npos);
        EXPECT_EQ(harness.received().find("0\r\n\r\n"), std::string::npos) << harness.received();
    }
}

} // namespace
