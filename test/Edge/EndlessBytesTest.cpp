/// Callers without a key, and an endpoint, that send a part of a message without end, beside sound
/// callers of the same host.

#include <atomic>
#include <thread>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>
#include <gtest/gtest.h>

#include "EdgeProcess.h"
#include "test/Support/ProcessCost.h"

using namespace sequoiagate;
using boost::asio::ip::tcp;

namespace {

/// More than the sockets hold, and what is sent to a host that takes all of it.
constexpr std::size_t MaxTakenBytes = 16 * 1024 * 1024;
constexpr std::size_t SentBytes = 4 * MaxTakenBytes;

/// Sends \p begin and then \p repeat until the peer closes. \returns how much it took
std::size_t sendWithoutEnd(tcp::socket &socket, const std::string &begin, const std::string &repeat)
{
    constexpr std::size_t BlockBytes = 64 * 1024;
    std::string block;
    while (block.size() < BlockBytes) {
        block += repeat;
    }
    boost::system::error_code error;
    boost::asio::write(socket, boost::asio::buffer(begin), error);
    std::size_t taken = 0;
    while (!error && taken < SentBytes) {
        taken += boost::asio::write(socket, boost::asio::buffer(block), error);
    }
    return taken;
}

struct EndlessBytesCase
{
    const char *name;
    std::string begin;
    std::string repeat;
};

class EndlessBytes : public EdgeProcess, public testing::WithParamInterface<EndlessBytesCase>
{
protected:
    static constexpr int Senders = 4;
    static constexpr int SoundRequests = 50;

    /// Sends sound requests until \p isDone, and SoundRequests at least. \returns how many failed
    int callSoundly(const std::atomic<bool> &isDone)
    {
        int failed = 0;
        std::chrono::milliseconds slowest{};
        for (int i = 0; i < SoundRequests || !isDone; ++i) {
            const Instant sentAt = std::chrono::steady_clock::now();
            failed += status(post(1, fmt::format("sound-{}", i), 1)) == 200 ? 0 : 1;
            slowest = std::max(slowest, std::chrono::duration_cast<std::chrono::milliseconds>(
                                                std::chrono::steady_clock::now() - sentAt));
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
        RecordProperty("slowest_sound_ms", static_cast<int>(slowest.count()));
        return failed;
    }

    void recordCost(const Process &edge, std::chrono::microseconds before)
    {
        const auto cost = std::chrono::duration_cast<std::chrono::milliseconds>(
                processorTime(edge.id()) - before);
        RecordProperty("processor_ms", static_cast<int>(cost.count()));
    }
};

class EndlessBytesOfCallers : public EndlessBytes
{};

const EndlessBytesCase CallerCases[] = {
        {"ChunkExtension", "POST /once/a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
        {"Trailers", "POST /once/a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
         "A: x\r\n"},
        {"EmptyLines", "", "\r\n"},
        {"Head", "POST /once/a HTTP/1.1\r\nA: ", "x"},
};

// Guards against a host that is kept busy by callers without a key.
TEST_P(EndlessBytesOfCallers, AreRefusedBesideSoundCallers)
{
    const auto edge = start(1, "edge");
    const std::chrono::microseconds before = processorTime(edge->id());
    std::atomic<std::size_t> mostTaken = 0;
    std::atomic<int> open = Senders;
    std::atomic<bool> isDone = false;
    std::vector<std::thread> senders;
    for (int i = 0; i < Senders; ++i) {
        senders.emplace_back([&] {
            boost::asio::io_context io;
            tcp::socket socket(io);
            socket.connect({boost::asio::ip::make_address(ip(1)), CallerPort});
            const std::size_t taken = sendWithoutEnd(socket, GetParam().begin, GetParam().repeat);
            mostTaken = std::max(mostTaken.load(), taken);
            isDone = --open == 0;
        });
    }
    EXPECT_EQ(callSoundly(isDone), 0);
    for (std::thread &sender : senders) {
        sender.join();
    }
    recordCost(*edge, before);
    EXPECT_LE(mostTaken, MaxTakenBytes);
}

INSTANTIATE_TEST_SUITE_P(Rows, EndlessBytesOfCallers, testing::ValuesIn(CallerCases),
                         [](const auto &row) { return std::string(row.param.name); });

class EndlessBytesOfEndpoints : public EndlessBytes
{
protected:
    /// Answers one request on each connection without end, until \p isDone.
    void answerWithoutEnd(tcp::acceptor &acceptor, const std::atomic<bool> &isDone)
    {
        std::vector<std::thread> connections;
        while (!isDone) {
            boost::system::error_code error;
            tcp::socket socket(acceptor.get_executor());
            acceptor.accept(socket, error);
            if (error) {
                std::this_thread::sleep_for(std::chrono::milliseconds(5));
                continue;
            }
            connections.emplace_back([accepted = std::move(socket)]() mutable {
                std::array<char, 4096> request{};
                boost::system::error_code ignored;
                accepted.non_blocking(false);
                accepted.read_some(boost::asio::buffer(request), ignored);
                sendWithoutEnd(accepted, GetParam().begin, GetParam().repeat);
            });
        }
        for (std::thread &connection : connections) {
            connection.join();
        }
    }
};

const std::string SignedHead = "HTTP/1.1 200 OK\r\nResponse-Stamp: s\r\nRequest-Id: endless\r\n"
                               "Transfer-Encoding: chunked\r\n\r\n";

const EndlessBytesCase EndpointCases[] = {
        {"ChunkExtension", SignedHead + "1;", "x"},
        {"Trailers", SignedHead + "4\r\ngood\r\n0\r\n", "A: x\r\n"},
};

// Guards against callers that wait until their deadline for an answer that never ends, and against
// a host that it keeps busy.
TEST_P(EndlessBytesOfEndpoints, FailAtOnceBesideSoundAnswers)
{
    boost::asio::io_context io;
    tcp::acceptor acceptor(io, {boost::asio::ip::make_address(ip(203)), 9000});
    acceptor.non_blocking(true);
    std::atomic<bool> isDone = false;
    std::thread endpoint([&] { answerWithoutEnd(acceptor, isDone); });
    nlohmann::json config = nlohmann::json::parse(configRow(2, 100'000));
    nlohmann::json endless = route("endless", "non_idempotent");
    endless["backend"] = "t";
    endless["timeout-ms"] = 3000;
    config["routes"].push_back(endless);
    config["backends"].push_back({{"name", "t"}, {"max-conns", 100}});
    store_.put("keyed.op", "config", config.dump());
    store_.put("keyed.servers", "e-endless",
               nlohmann::json({{"backend", "t"},
                               {"address", fmt::format("{}:9000", ip(203))},
                               {"zone", "d1"},
                               {"slots", 8},
                               {"state", "ready"},
                               {"born", 1}})
                       .dump());
    const auto edge = start(1, "edge");
    const std::chrono::microseconds before = processorTime(edge->id());
    std::atomic<int> open = Senders;
    std::atomic<bool> areAnswered = false;
    std::atomic<int> failedAtOnce = 0;
    std::vector<std::thread> callers;
    for (int i = 0; i < Senders; ++i) {
        callers.emplace_back([&] {
            httplib::Client client(ip(1), CallerPort);
            const httplib::Headers headers = {{"Host", "h.example"},
                                              {"Request-Id", "endless"},
                                              {"Authorization", "Token key"},
                                              {"Deadline-Ms", "3000"},
                                              {"Token-Count", "1,0"}};
            constexpr int BadGateway = 502;
            const auto answer = client.Post("/endless/a", headers, "body", "text/plain");
            failedAtOnce += status(answer) == BadGateway ? 1 : 0;
            areAnswered = --open == 0;
        });
    }
    EXPECT_EQ(callSoundly(areAnswered), 0);
    for (std::thread &caller : callers) {
        caller.join();
    }
    recordCost(*edge, before);
    EXPECT_EQ(failedAtOnce, Senders);
    isDone = true;
    endpoint.join();
}

INSTANTIATE_TEST_SUITE_P(Rows, EndlessBytesOfEndpoints, testing::ValuesIn(EndpointCases),
                         [](const auto &row) { return std::string(row.param.name); });

} // namespace
