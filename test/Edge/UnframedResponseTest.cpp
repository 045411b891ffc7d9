/// Responses without a length whose relay or endpoint ends in the middle.

#include <csignal>
#include <thread>

#include <boost/asio/write.hpp>
#include <fmt/format.h>
#include <gtest/gtest.h>

#include "PartitionedFleet.h"
#include "test/Support/RawEndpoint.h"

using namespace sequoiagate;
using boost::asio::ip::tcp;
using boost::system::error_code;
using soak::RelayCut;

namespace {

constexpr int Pieces = 40;
constexpr std::chrono::milliseconds PieceInterval(50);

/// Answers each request by pieces without a length, and closes the connection behind the last one.
class UnframedEndpoint
{
public:
    explicit UnframedEndpoint(const std::string &ip)
        : endpoint_(ip, [this](tcp::socket &socket, const std::string &request) {
              answer(socket, request);
          })
    {}

    std::string address() const { return endpoint_.address(); }
    int begun() const { return begun_; }

private:
    void answer(tcp::socket &socket, const std::string &request)
    {
        error_code error;
        const std::string name = requestIdLine(request);
        const bool isStream = request.find("/stream/") != std::string::npos;
        const bool isProbe = name.find("probe") != std::string::npos;
        boost::asio::write(socket,
                           boost::asio::buffer(fmt::format(
                                   "HTTP/1.1 200 OK\r\n{}\r\nResponse-Stamp: s\r\nContent-Type: "
                                   "{}\r\n\r\n",
                                   name, isStream ? "text/event-stream" : "text/plain")),
                           error);
        begun_ += isProbe ? 0 : 1;
        const int pieces = isProbe ? 1 : Pieces;
        for (int piece = 1; piece <= pieces && !error && !endpoint_.isStopping(); ++piece) {
            const std::string text = isStream ? fmt::format("id: {}\ndata: x\n\n", piece)
                                              : fmt::format("line {}\n", piece);
            boost::asio::write(socket, boost::asio::buffer(text), error);
            std::this_thread::sleep_for(isProbe ? std::chrono::milliseconds(0) : PieceInterval);
        }
    }

    std::atomic<int> begun_{0};
    RawEndpoint endpoint_;
};

struct RelayTrouble
{
    const char *name;
    /// What happens to the relays in the middle of the answers.
    void (*strike)(const std::vector<Process *> &relays);
    bool isWhole; ///< whether the answers are
};

void leaveAlone(const std::vector<Process *> &) {}

void kill(const std::vector<Process *> &relays)
{
    for (Process *relay : relays) {
        relay->kill();
    }
}

void freezeAndKill(const std::vector<Process *> &relays)
{
    for (Process *relay : relays) {
        relay->signal(SIGSTOP);
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    kill(relays);
}

void stop(const std::vector<Process *> &relays)
{
    for (Process *relay : relays) {
        relay->signal(SIGTERM);
    }
}

/// A host that can't reach the endpoints is served through the others.
class RelayedResponse : public PartitionedFleet, public testing::WithParamInterface<RelayTrouble>
{
protected:
    RelayedResponse() : unframed_(ip(205))
    {
        // Less than the answers last.
        extraSettings_["stop_grace_ms"] = 1500;
        for (const char *id : {"e-2", "e-3"}) {
            store_.put("keyed.servers", id, "");
        }
        links_.at(1).endpoints["e-1"] =
                std::make_unique<soak::TcpRelay>(loop_, ip(204), unframed_.address());
        for (int host = 2; host <= Hosts; ++host) {
            links_.at(host).endpoints["e-1"] =
                    std::make_unique<soak::TcpRelay>(loop_, ip(204), unframed_.address());
        }
    }

    struct Received
    {
        bool isComplete = false; ///< as the caller sees it
        int pieces = 0;
    };

    static Received ask(const std::string &path, const std::string &id)
    {
        httplib::Client client(ip(1), CallerPort);
        client.set_read_timeout(std::chrono::seconds(30));
        const httplib::Headers headers = {{"Host", "h.example"},
                                          {"Request-Id", id},
                                          {"Authorization", "Token key"},
                                          {"Deadline-Ms", "20000"},
                                          {"Token-Count", "1,0"}};
        const httplib::Result result = client.Post(path, headers, "body", "text/plain");
        Received received;
        received.isComplete = status(result) == 200;
        if (result) {
            const std::string mark = path.find("stream") != std::string::npos ? "id: " : "line ";
            for (std::size_t at = result->body.find(mark); at != std::string::npos;
                 at = result->body.find(mark, at + 1)) {
                ++received.pieces;
            }
        }
        return received;
    }

    UnframedEndpoint unframed_;
};

// Guards against the end of a relay's process that makes a part of a response look whole.
TEST_P(RelayedResponse, LooksWholeOnlyIfItIs)
{
    startAll();
    cut({1}, RelayCut::Reset);
    ASSERT_TRUE(eventually([] { return ask("/once/a", "probe").isComplete; }));
    std::map<std::string, Received> received;
    std::mutex mutex;
    std::vector<std::thread> callers;
    for (const std::string path : {"/once/a", "/stream/a", "/once/b", "/stream/b"}) {
        callers.emplace_back([&, path] {
            const Received answer =
                    ask(path, fmt::format("r{}", path.size()) + path.substr(1, 1) + path.back());
            const std::lock_guard lock(mutex);
            received[path] = answer;
        });
    }
    ASSERT_TRUE(eventually([this] { return unframed_.begun() == 4; }));
    std::this_thread::sleep_for(PieceInterval * Pieces / 3);
    std::vector<Process *> relays;
    for (int host = 2; host <= Hosts; ++host) {
        relays.push_back(edges_.at(host).get());
    }
    GetParam().strike(relays);
    for (std::thread &caller : callers) {
        caller.join();
    }
    for (const auto &[path, answer] : received) {
        EXPECT_EQ(answer.isComplete, GetParam().isWhole) << path << ", " << answer.pieces;
        EXPECT_TRUE(!answer.isComplete || answer.pieces == Pieces) << path << ", " << answer.pieces;
    }
}

INSTANTIATE_TEST_SUITE_P(Rows, RelayedResponse,
                         testing::Values(RelayTrouble{"RelaysLive", leaveAlone, true},
                                         RelayTrouble{"RelaysAreKilled", kill, false},
                                         RelayTrouble{"RelaysAreFrozenAndKilled", freezeAndKill,
                                                      false},
                                         RelayTrouble{"RelaysStop", stop, false}),
                         [](const auto &row) { return std::string(row.param.name); });

} // namespace
