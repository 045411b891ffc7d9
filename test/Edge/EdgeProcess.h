#ifndef TEST_EDGE_EDGEPROCESS_H
#define TEST_EDGE_EDGEPROCESS_H

/// The edge before stand-ins of the platform's store and of endpoints, on loopback addresses of
/// the test process alone.

#include <unistd.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <thread>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "test/Support/PlatformStandin.h"
#include "test/Support/Process.h"

namespace sequoiagate {

inline constexpr const char *OwnTopic = "keyed.sequoiagate";
inline constexpr int CallerPort = 8740;
inline constexpr int ReadyPort = 8741;
inline constexpr int PeerPort = 8742;
inline constexpr int MetricsPort = 8743;
inline constexpr int RelayPort = 8744;

/// Loopback addresses of this test process alone, so that ports needn't be found.
inline std::string ip(int host)
{
    const int id = static_cast<int>(::getpid());
    return fmt::format("127.{}.{}.{}", 1 + (id >> 8) % 250, id % 250, host);
}

inline nlohmann::json route(const std::string &name, const std::string &kind)
{
    return {{"name", name},  {"host", "h.example"}, {"path-prefix", "/" + name + "/"},
            {"type", kind},  {"timeout-ms", 20000}, {"slo-ms", 5000},
            {"priority", 0}, {"backend", "s"},      {"max-attempts", 1}};
}

inline std::string configRow(uint64_t version, uint64_t prepaid)
{
    return nlohmann::json(
                   {{"version", version},
                    {"routes", {route("once", "non_idempotent"), route("stream", "streaming")}},
                    {"backends",
                     {{{"name", "s"}, {"max-conns", 100}, {"engine", {{"stride", 1}}}}}},
                    {"limits", nlohmann::json::object()},
                    {"tenants", {{{"name", "w"}, {"api-keys", {"key"}}, {"prepaid", prepaid}}}}})
            .dump();
}

/// The largest number of \p arrivals, in order, in a span of \p window that begins at \p from or
/// later.
inline std::size_t mostInWindow(const std::vector<Instant> &arrivals, Instant from, Interval window)
{
    std::size_t most = 0;
    auto first = std::lower_bound(arrivals.begin(), arrivals.end(), from);
    for (auto last = first; last != arrivals.end(); ++last) {
        while (*last - *first > window) {
            ++first;
        }
        most = std::max(most, static_cast<std::size_t>(last - first) + 1);
    }
    return most;
}

class EdgeProcess : public testing::Test
{
protected:
    EdgeProcess() : store_(ip(200)), endpoint_(ip(201), "e-1")
    {
        store_.put("keyed.op", "config", configRow(1, 100'000));
        list(endpoint_, "ready");
    }

    void list(const EndpointStandin &endpoint, const std::string &state,
              const std::string &domain = "d1")
    {
        store_.put("keyed.servers", endpoint.id(),
                   nlohmann::json({{"backend", "s"},
                                   {"address", endpoint.address()},
                                   {"zone", domain},
                                   {"slots", 8},
                                   {"state", state},
                                   {"born", 1}})
                           .dump());
    }

    nlohmann::json settings(int host) const
    {
        return {{"host", fmt::format("h{}", host)},
                {"domain", "d1"},
                {"listen", fmt::format("{}:{}", ip(host), CallerPort)},
                {"listen_ready", fmt::format("{}:{}", ip(host), ReadyPort)},
                {"listen_peers", fmt::format("{}:{}", ip(host), PeerPort)},
                {"listen_relay", fmt::format("{}:{}", ip(host), RelayPort)},
                {"listen_metrics", fmt::format("{}:{}", ip(host), MetricsPort)},
                {"store", store_.address()},
                {"ready_grace_ms", 100}};
    }

    std::unique_ptr<Process> start(int host, const std::string &name)
    {
        auto process = std::make_unique<Process>(scratch_, "sequoia-edge", name, settings(host));
        process->waitFor("config.in_force");
        process->waitFor("endpoint.listed");
        return process;
    }

    static httplib::Result post(int host, const std::string &id, uint64_t tokens,
                                const std::string &key = "key")
    {
        httplib::Client client(ip(host), CallerPort);
        client.set_read_timeout(std::chrono::seconds(60));
        const httplib::Headers headers = {{"Host", "h.example"},
                                          {"Request-Id", id},
                                          {"Authorization", "Token " + key},
                                          {"Deadline-Ms", "20000"},
                                          {"Token-Count", fmt::format("{},0", tokens)}};
        return client.Post("/once/a", headers, "body", "text/plain");
    }

    /// Asks for an answer of \p output tokens at most, and gets none of them.
    static httplib::Result postForAnswer(int host, const std::string &id, uint64_t output)
    {
        httplib::Client client(ip(host), CallerPort);
        return postForAnswer(client, id, output);
    }

    static httplib::Result postForAnswer(httplib::Client &client, const std::string &id,
                                         uint64_t output)
    {
        client.set_read_timeout(std::chrono::seconds(60));
        const httplib::Headers headers = {{"Host", "h.example"},
                                          {"Request-Id", id},
                                          {"Authorization", "Token key"},
                                          {"Deadline-Ms", "20000"},
                                          {"Token-Count", fmt::format("0,{}", output)}};
        return client.Post("/once/a", headers, "body", "text/plain");
    }

    static int status(const httplib::Result &result) { return result ? result->status : 0; }

    /// A request that its endpoint holds back until it is released.
    class HeldRequest
    {
    public:
        HeldRequest(EndpointStandin &endpoint, const std::string &id) : endpoint_(endpoint)
        {
            endpoint_.hold(true);
            const int before = endpoint_.runs();
            caller_ = std::thread([this, id] { status_ = status(post(1, id, 100)); });
            EXPECT_TRUE(eventually([this, before] { return endpoint_.runs() == before + 1; }));
        }
        ~HeldRequest()
        {
            release();
            answer();
        }
        HeldRequest(const HeldRequest &) = delete;
        HeldRequest &operator=(const HeldRequest &) = delete;

        void release() { endpoint_.hold(false); }
        /// The status of its answer; 0 if its connection was closed without one.
        int answer()
        {
            if (caller_.joinable()) {
                caller_.join();
            }
            return status_;
        }

    private:
        EndpointStandin &endpoint_;
        std::thread caller_;
        int status_ = 0;
    };

    /// Asks until the answer is \p wanted; the limit ends a run that has failed already.
    static bool eventually(const std::function<bool()> &condition)
    {
        for (int i = 0; i < 600; ++i) {
            if (condition()) {
                return true;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
        }
        return false;
    }

    /// Tokens that the store's rows give to holders.
    uint64_t allotted()
    {
        uint64_t total = 0;
        for (const auto &[key, value] : store_.newest(OwnTopic)) {
            total += key.rfind("budget/", 0) == 0 ? std::stoull(value) : 0;
        }
        return total;
    }

    /// Whether one of \p edges has logged that it may use \p tokens. A row in the store doesn't
    /// tell that, since its writer may still be waiting for the acknowledgement.
    static bool canAnyUse(const std::vector<const Process *> &edges, uint64_t tokens)
    {
        return std::any_of(edges.begin(), edges.end(), [tokens](const Process *edge) {
            const std::vector<Process::Line> lines = edge->lines();
            return std::any_of(lines.begin(), lines.end(), [tokens](const Process::Line &line) {
                return line.value("event", "") == "tokens.state"
                       && line.value("usable", uint64_t{0}) >= tokens;
            });
        });
    }

    /// Processes whose last batch names what they had read of a peer's clock.
    std::size_t batchesThatNamePeers()
    {
        std::size_t count = 0;
        for (const auto &[key, value] : store_.newest(OwnTopic)) {
            count += key.rfind("batch/", 0) == 0 && value.find('|') != std::string::npos ? 1 : 0;
        }
        return count;
    }

    ScratchFolder scratch_;
    StoreStandin store_;
    EndpointStandin endpoint_;
};

} // namespace sequoiagate

#endif
