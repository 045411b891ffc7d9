#ifndef TEST_EDGE_PARTITIONEDFLEET_H
#define TEST_EDGE_PARTITIONEDFLEET_H

#include <atomic>
#include <map>
#include <set>
#include <thread>

#include "EdgeProcess.h"
#include "test/Support/Relay.h"

namespace sequoiagate {

/// From when on callers of a host that was cut off are to be served.
inline constexpr std::chrono::seconds Settling(3);

/// A fleet of which each host reaches the endpoints and the store by relays of its own.
class PartitionedFleet : public EdgeProcess
{
protected:
    static constexpr int Hosts = 4;

    PartitionedFleet() : second_(ip(202), "e-2"), third_(ip(203), "e-3")
    {
        list(second_, "ready");
        list(third_, "ready");
        for (int host = 1; host <= Hosts; ++host) {
            connect(host);
        }
    }
    ~PartitionedFleet() override { edges_.clear(); }

    void connect(int host)
    {
        Links &links = links_[host];
        const std::string source = fmt::format("127.254.{}.{}", ::getpid() % 250, host);
        links.store = std::make_unique<soak::TcpRelay>(loop_, ip(204), store_.address());
        links.store->setSource(source);
        for (EndpointStandin *endpoint : {&endpoint_, &second_, &third_}) {
            links.endpoints[endpoint->id()] =
                    std::make_unique<soak::TcpRelay>(loop_, ip(204), endpoint->address());
        }
        store_.setView(source, [&links](const std::string &, const std::string &key,
                                        const std::string &value) {
            if (links.hiddenKeys.count(key) > 0) {
                return std::string();
            }
            const auto relay = links.endpoints.find(key);
            if (relay == links.endpoints.end()) {
                return value;
            }
            nlohmann::json row = nlohmann::json::parse(value);
            row["address"] = relay->second->address();
            return row.dump();
        });
    }

    nlohmann::json settingsOf(int host) const
    {
        nlohmann::json values = settings(host);
        values["store"] = links_.at(host).store->address();
        values["domain"] = fmt::format("d{}", host % 2);
        values.update(extraSettings_);
        return values;
    }

    void startAll()
    {
        for (int host = 1; host <= Hosts; ++host) {
            edges_[host] = std::make_unique<Process>(scratch_, "sequoia-edge",
                                                     fmt::format("edge{}", host), settingsOf(host));
        }
        for (int host = 1; host <= Hosts; ++host) {
            ASSERT_TRUE(eventually([host] { return status(post(host, "first", 1)) == 200; }));
        }
    }

    void cut(const std::set<int> &hosts, soak::RelayCut how)
    {
        for (const int host : hosts) {
            for (const auto &[id, relay] : links_.at(host).endpoints) {
                relay->setCut(how);
            }
        }
    }

    struct Served
    {
        int served = 0;
        int sent = 0;
    };

    /// Sends requests to \p host, each of which has \p deadline, by several callers at once.
    Served call(int host, int requests, std::chrono::milliseconds deadline)
    {
        constexpr int Callers = 4;
        std::atomic<int> served{0};
        std::vector<std::thread> callers;
        for (int caller = 0; caller < Callers; ++caller) {
            callers.emplace_back([&, caller] {
                for (int i = caller; i < requests; i += Callers) {
                    served += isServed(host, fmt::format("h{}-{}-{}", host, ++lastId_, i), deadline)
                                      ? 1
                                      : 0;
                    std::this_thread::sleep_for(std::chrono::milliseconds(20));
                }
            });
        }
        for (std::thread &caller : callers) {
            caller.join();
        }
        return {served, requests};
    }

    static bool isServed(int host, const std::string &id, std::chrono::milliseconds deadline)
    {
        httplib::Client client(ip(host), CallerPort);
        client.set_read_timeout(std::chrono::seconds(10));
        const httplib::Headers headers = {{"Host", "h.example"},
                                          {"Request-Id", id},
                                          {"Authorization", "Token key"},
                                          {"Deadline-Ms", std::to_string(deadline.count())},
                                          {"Token-Count", "1,0"}};
        return status(client.Post("/once/a", headers, "body", "text/plain")) == 200;
    }

    struct Links
    {
        std::unique_ptr<soak::TcpRelay> store;
        std::map<std::string, std::unique_ptr<soak::TcpRelay>> endpoints;
        std::set<std::string> hiddenKeys; ///< of rows that the host doesn't get; set at its start
    };

    nlohmann::json extraSettings_ = nlohmann::json::object(); ///< of all hosts
    soak::RelayLoop loop_;
    EndpointStandin second_;
    EndpointStandin third_;
    std::map<int, Links> links_;
    std::map<int, std::unique_ptr<Process>> edges_;
    std::atomic<int> lastId_{0};
};

} // namespace sequoiagate

#endif
