/// Callers that don't read, through real sockets, in a process whose memory is known. Guards
/// against a process that buffers without bound for them, and against harm to those who read.

#include <charconv>
#include <functional>

#include <boost/asio/write.hpp>
#include <fmt/format.h>
#include <gtest/gtest.h>

#include "ProxyTestHarness.h"

using namespace sequoiagate;
using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::size_t Megabyte = 1'000'000;
constexpr std::size_t EventBytes = 4096;

/// Sends a stream of events as fast as it is read, and aborts one that stays unread.
class StreamingEndpoint
{
public:
    StreamingEndpoint(boost::asio::io_context &io, uint64_t events,
                      Interval unreadTimeout = Never - Now)
        : io_(io), acceptor_(io, {boost::asio::ip::address_v4::loopback(), 0}), events_(events),
          unreadTimeout_(unreadTimeout)
    {
        // Small, so that what is sent is soon limited by what the proxy reads.
        acceptor_.set_option(boost::asio::socket_base::send_buffer_size(16 * 1024));
        accept();
    }
    ~StreamingEndpoint()
    {
        for (const std::shared_ptr<Stream> &stream : streams_) {
            stream->owner = nullptr;
        }
    }

    tcp::endpoint address() const { return acceptor_.local_endpoint(); }

    std::size_t sent = 0; ///< bytes of all streams
    std::size_t aborted = 0;
    std::vector<std::string> requests; ///< the Last-Event-Id of each

private:
    static constexpr Instant Now{};

    struct Stream
    {
        Stream(StreamingEndpoint &endpoint, tcp::socket accepted)
            : owner(&endpoint), socket(std::move(accepted)), reader(HttpReaderLimits()),
              timer(endpoint.io_)
        {}

        StreamingEndpoint *owner;
        tcp::socket socket;
        RequestReader reader;
        DeadlineTimer timer;
        std::array<char, 4096> buffer;
        std::string piece;
        uint64_t event = 0;
    };
    using StreamPtr = std::shared_ptr<Stream>;

    void accept()
    {
        acceptor_.async_accept([this](const error_code &error, tcp::socket socket) {
            if (!error) {
                streams_.push_back(std::make_shared<Stream>(*this, std::move(socket)));
                read(streams_.back());
                accept();
            }
        });
    }
    void read(const StreamPtr &stream)
    {
        stream->socket.async_read_some(boost::asio::buffer(stream->buffer),
                                       [stream](const error_code &error, std::size_t bytes) {
                                           if (error || stream->owner == nullptr) {
                                               return;
                                           }
                                           stream->reader.feed(
                                                   std::string_view(stream->buffer.data(), bytes));
                                           if (stream->reader.done()) {
                                               stream->owner->begin(stream);
                                           } else {
                                               stream->owner->read(stream);
                                           }
                                       });
    }
    void begin(const StreamPtr &stream)
    {
        const std::vector<HttpField> &fields = stream->reader.head().fields;
        const std::string *after = findField(fields, "Last-Event-Id");
        requests.push_back(after == nullptr ? "" : *after);
        if (after != nullptr) {
            std::from_chars(after->data(), after->data() + after->size(), stream->event);
        }
        stream->piece = fmt::format("HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nResponse-Stamp: s\r\n"
                                    "Content-Type: text/event-stream\r\n"
                                    "Transfer-Encoding: chunked\r\n\r\n",
                                    *findField(fields, "Request-Id"));
        write(stream);
    }
    void write(const StreamPtr &stream)
    {
        if (unreadTimeout_ != Never - Now) {
            stream->timer.arm(std::chrono::steady_clock::now() + unreadTimeout_, [stream] {
                if (stream->owner != nullptr) {
                    ++stream->owner->aborted;
                    error_code ignored;
                    stream->socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
                    stream->socket.close(ignored);
                }
            });
        }
        boost::asio::async_write(stream->socket, boost::asio::buffer(stream->piece),
                                 [stream](const error_code &error, std::size_t bytes) {
                                     stream->timer.disarm();
                                     if (!error && stream->owner != nullptr) {
                                         stream->owner->sent += bytes;
                                         stream->owner->writeNext(stream);
                                     }
                                 });
    }
    void writeNext(const StreamPtr &stream)
    {
        if (stream->event > events_) {
            return;
        }
        if (++stream->event > events_) {
            stream->piece = std::string(LastChunk);
        } else {
            stream->piece = writeChunk(fmt::format("id: {}\ndata: {}\n\n", stream->event,
                                                   std::string(EventBytes, 'x')));
        }
        write(stream);
    }

    boost::asio::io_context &io_;
    tcp::acceptor acceptor_;
    uint64_t events_;
    Interval unreadTimeout_;
    std::vector<StreamPtr> streams_;
};

ProxyTestSettings memory(std::size_t megabytes, bool isCallerSlow = false)
{
    ProxyTestSettings settings;
    settings.memoryBytes = megabytes * Megabyte;
    settings.isCallerSlow = isCallerSlow;
    return settings;
}

void place(ProxyTestHarness &harness, const char *name, const StreamingEndpoint &endpoint)
{
    harness.placement.endpoints.push_back({EndpointId(name), endpoint.address(), "order"});
}

/// Runs for \p time, and until \p condition holds if there is one, which ends after 20 s. Checks
/// after each step that what is unread stays within \p limit.
void runBelow(ProxyTestHarness &harness, std::size_t limit, Interval time,
              const std::function<bool()> &condition = nullptr)
{
    const Instant begin = std::chrono::steady_clock::now();
    const Instant latest = begin + (condition ? std::chrono::seconds(20) : time);
    std::size_t highest = 0;
    for (Instant now = begin; now < latest; now = std::chrono::steady_clock::now()) {
        if (now >= begin + time && condition()) {
            break;
        }
        harness.io.restart();
        harness.io.run_one_for(std::chrono::milliseconds(10));
        highest = std::max(highest, harness.buffers->total().unread);
    }
    EXPECT_LE(highest, limit);
}

struct MemoryCase
{
    const char *name;
    std::size_t megabytes;
    bool pauses; ///< for the total, not only for the usual length of a queue
    bool cutsOff;
};

class TwoHundredSlowCallers : public testing::TestWithParam<MemoryCase>
{};

const MemoryCase MemoryCases[] = {
        {"Small", 120, true, false},
        // Less than the shortest queues of all need, so that some must be cut off.
        {"Tiny", 6, true, true},
        {"Large", 1024, false, false},
};

TEST_P(TwoHundredSlowCallers, StayBelowTheLimitBesideOneWhoReads)
{
    const MemoryCase &row = GetParam();
    constexpr int Callers = 200;
    ProxyTestHarness harness({}, memory(row.megabytes));
    StreamingEndpoint endpoint(harness.io, 100);
    place(harness, "e", endpoint);
    for (int i = 0; i < Callers; ++i) {
        harness.addUnreadCaller(ProxyTestHarness::request("/stream/a", fmt::format("r{}", i)));
    }
    // Handlers that are ready together may each buffer a read before the decision that follows.
    constexpr std::size_t Overshoot = 2 * EventBytes * Callers;
    const std::size_t limit = harness.buffers->cutOffLimit();
    // Under a sanitizer, the buffers take longer to fill than the time.
    runBelow(harness, std::min(harness.buffers->limit(), limit + Overshoot),
             std::chrono::milliseconds(1500), [&harness, &row] {
                 return !row.cutsOff || harness.countLogLines("caller.cut_off") > 0;
             });
    EXPECT_LE(harness.buffers->total().unread, limit);
    harness.send(ProxyTestHarness::request("/stream/a", "reader"));
    EXPECT_TRUE(harness.waitFor("id: 100\n"));
    EXPECT_FALSE(harness.closed());
    EXPECT_EQ(harness.countLogLines("stream.paused") > 0, row.pauses);
    EXPECT_EQ(harness.countLogLines("caller.cut_off") > 0, row.cutsOff);
    EXPECT_EQ(harness.countLogLines("\"why\":\"cut_off\""),
              harness.countLogLines("caller.cut_off"));
    EXPECT_EQ(harness.countLogLines("\"request\":\"reader\",\"unread"), 0);
}

INSTANTIATE_TEST_SUITE_P(Rows, TwoHundredSlowCallers, testing::ValuesIn(MemoryCases),
                         [](const auto &row) { return std::string(row.param.name); });

TEST(SlowCaller, PausesItsEndpointAndGetsTheRestWhenItReads)
{
    ProxyTestHarness harness({}, memory(120, true));
    StreamingEndpoint endpoint(harness.io, 1000);
    place(harness, "e", endpoint);
    harness.send(ProxyTestHarness::request("/stream/a", "r"));
    ASSERT_TRUE(harness.waitUntil([&harness] { return harness.buffers->paused() == 1; }));
    runBelow(harness, 128 * 1024 + 3 * EventBytes, std::chrono::milliseconds(300));
    EXPECT_LT(endpoint.sent, 1000 * EventBytes);
    EXPECT_EQ(harness.buffers->paused(), 1);
    harness.readAsCaller();
    EXPECT_TRUE(harness.waitFor("\r\n0\r\n\r\n"));
    EXPECT_EQ(harness.placement.sent, 1);
    EXPECT_EQ(harness.buffers->paused(), 0);
    EXPECT_EQ(harness.buffers->total(), BufferUse());
}

/// The part that was sent must not look complete.
TEST(SlowCaller, IsResetWhenItIsCutOff)
{
    ProxyTestHarness harness({}, memory(1));
    StreamingEndpoint endpoint(harness.io, 1000);
    place(harness, "e", endpoint);
    std::vector<tcp::socket *> callers;
    for (int i = 0; i < 40; ++i) {
        callers.push_back(&harness.addUnreadCaller(
                ProxyTestHarness::request("/stream/a", fmt::format("r{}", i))));
    }
    runBelow(harness, harness.buffers->limit(), std::chrono::milliseconds(500));
    std::size_t resets = 0;
    std::array<char, 4096> buffer{};
    for (tcp::socket *caller : callers) {
        caller->non_blocking(true);
        error_code error;
        while (!error) {
            caller->read_some(boost::asio::buffer(buffer), error);
        }
        resets += error == boost::asio::error::connection_reset ? 1 : 0;
        EXPECT_NE(error, boost::asio::error::eof);
    }
    EXPECT_GT(resets, 0);
    EXPECT_LT(resets, callers.size());
    EXPECT_EQ(harness.countLogLines("caller.cut_off"), resets);
}

struct AbortCase
{
    const char *name;
    const char *path;
    bool isResumed;
};

class UnreadResponse : public testing::TestWithParam<AbortCase>
{};

const AbortCase AbortCases[] = {
        {"Resumable", "/resume/a", true},
        {"NotResumable", "/stream/a", false},
};

/// Guards against blaming the endpoint and the prompt for a loss that the caller caused.
TEST_P(UnreadResponse, HasACauseOfItsOwn)
{
    const AbortCase &row = GetParam();
    ProxyTestHarness harness({}, memory(120, true));
    StreamingEndpoint aborting(harness.io, 1000, std::chrono::milliseconds(1200));
    StreamingEndpoint other(harness.io, 1000);
    place(harness, "aborting", aborting);
    place(harness, "other", other);
    harness.send(ProxyTestHarness::request(row.path, "r"));
    ASSERT_TRUE(harness.waitUntil([&aborting] { return aborting.aborted == 1; }));
    harness.readAsCaller();
    if (row.isResumed) {
        EXPECT_TRUE(harness.waitFor("\r\n0\r\n\r\n"));
        ASSERT_EQ(other.requests.size(), 1);
        EXPECT_NE(other.requests[0], "");
    } else {
        EXPECT_TRUE(harness.waitForClose());
        EXPECT_EQ(harness.received().find("\r\n0\r\n\r\n"), std::string::npos);
        EXPECT_EQ(other.requests.size(), 0);
    }
    EXPECT_EQ(harness.countLogLines("request.left_unread"), 1);
    EXPECT_EQ(harness.countLogLines("request.connection_lost"), 0);
    EXPECT_EQ(harness.prompts.lost.size(), 0);
}

INSTANTIATE_TEST_SUITE_P(Rows, UnreadResponse, testing::ValuesIn(AbortCases),
                         [](const auto &row) { return std::string(row.param.name); });

/// A connection whose body has to wait is read no further, and is when others have ended.
struct LargeFailureCase
{
    const char *name;
    const char *head;
    const char *expected; ///< received by the caller
};

class LargeFailure : public testing::TestWithParam<LargeFailureCase>
{};

const LargeFailureCase LargeFailureCases[] = {
        {"Failed", "HTTP/1.1 500 X\r\nRequest-Id: r\r\nResponse-Stamp: s\r\n", "500"},
        {"NotExecuted", "HTTP/1.1 503 X\r\nRequest-Id: r\r\nNot-Executed: 1\r\n", "503"},
};

// Guards against a failure whose body is kept whole, whatever its size.
TEST_P(LargeFailure, IsNotBuffered)
{
    constexpr std::size_t BodyBytes = 4 * 1024 * 1024;
    constexpr std::size_t MaxBufferedBytes = 1024 * 1024;
    const std::string body(BodyBytes, 'x');
    ProxyTestHarness harness(
            {{{fmt::format("{}Content-Length: {}\r\n\r\n", GetParam().head, BodyBytes),
               AfterReply::Keep, body, std::chrono::milliseconds(1)}}},
            memory(120));
    harness.send(ProxyTestHarness::request("/once/a", "r"));
    std::size_t highest = 0;
    EXPECT_TRUE(harness.waitUntil([&] {
        highest = std::max(highest, harness.buffers->total().other);
        return harness.tokenReservations.settled == 1;
    }));
    EXPECT_TRUE(harness.waitFor(GetParam().expected));
    EXPECT_LE(highest, MaxBufferedBytes);
}

INSTANTIATE_TEST_SUITE_P(Rows, LargeFailure, testing::ValuesIn(LargeFailureCases),
                         [](const auto &row) { return std::string(row.param.name); });

TEST(LargeBodies, WaitForRoom)
{
    constexpr std::size_t BodyBytes = 600'000;
    ProxyTestHarness harness({{}}, memory(12));
    harness.config->limits.maxBodyBytes = 4 * Megabyte;
    const std::string head = fmt::format("POST /once/a HTTP/1.1\r\nHost: h.example\r\n"
                                         "Request-Id: r\r\nDeadline-Ms: 4000\r\n"
                                         "Authorization: Token key\r\nContent-Length: {}\r\n\r\n",
                                         BodyBytes);
    tcp::socket &first = harness.addUnreadCaller(head + std::string(BodyBytes / 20, 'x'));
    first.non_blocking(true);
    const std::string rest(BodyBytes - BodyBytes / 20, 'x');
    boost::asio::async_write(first, boost::asio::buffer(rest),
                             [](const error_code &, std::size_t) {});
    ASSERT_TRUE(
            harness.waitUntil([&harness] { return harness.endpoints[0]->received().size() == 1; }));
    harness.send(head);
    // The kernel may take all of it.
    const std::size_t sent = harness.sendWhileTaken(BodyBytes);
    runBelow(harness, 0, std::chrono::milliseconds(200));
    EXPECT_EQ(harness.countLogLines("caller.body_waits"), 1);
    EXPECT_EQ(harness.buffers->waiting(), 1);
    constexpr std::size_t OneRead = 8192;
    EXPECT_LE(harness.buffers->total().body, 2 * BodyBytes + 4 * OneRead);
    error_code ignored;
    first.close(ignored);
    ASSERT_TRUE(harness.waitUntil([&harness] { return harness.buffers->waiting() == 0; }));
    EXPECT_EQ(harness.sendWhileTaken(BodyBytes - sent), BodyBytes - sent);
    EXPECT_TRUE(
            harness.waitUntil([&harness] { return harness.endpoints[0]->received().size() == 2; }));
}

} // namespace
