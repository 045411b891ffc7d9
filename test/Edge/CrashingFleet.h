#ifndef TEST_EDGE_CRASHINGFLEET_H
#define TEST_EDGE_CRASHINGFLEET_H

/// Edges before endpoints that crash on a part of a prompt or on a path, and come back.

#include <atomic>
#include <list>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "EdgeProcess.h"
#include "test/Support/Relay.h"

namespace sequoiagate {

using soak::RelayCut;
using soak::RelayLoop;
using soak::TcpRelay;

inline constexpr const char *CrashingPart = "bad0bad0";
inline constexpr std::chrono::milliseconds RestartDelay(700);

/// How endpoints start again after a crash.
struct Restarts
{
    std::chrono::milliseconds delay = RestartDelay;
    bool keepsId = false;
};

/// A fleet before endpoints that crash on a part of a prompt, and come back.
class CrashingFleet : public EdgeProcess
{
protected:
    static constexpr int Hosts = 4;

    struct Place
    {
        std::unique_ptr<EndpointStandin> server;
        std::unique_ptr<TcpRelay> relay;
        std::string service;
        std::atomic<bool> isDown{false};
        int starts = 0;
    };

    CrashingFleet()
    {
        store_.put("keyed.servers", endpoint_.id(), "");
        nlohmann::json config = nlohmann::json::parse(configRow(2, 100'000'000));
        nlohmann::json resumable = route("resume", "streaming");
        resumable["resumable"] = true;
        resumable["max-attempts"] = 2;
        config["routes"].push_back(resumable);
        nlohmann::json lookup = route("lookup", "idempotent");
        lookup["max-attempts"] = 2;
        config["routes"].push_back(lookup);
        nlohmann::json split = resumable;
        split["name"] = "split";
        split["path-prefix"] = "/split/";
        split["split"] = {{{"backend", "s"}, {"weight", 1}}, {{"backend", "s2"}, {"weight", 1}}};
        config["routes"].push_back(split);
        config["backends"].push_back(config["backends"][0]);
        config["backends"][1]["name"] = "s2";
        store_.put("keyed.op", "config", config.dump());
    }

    void addEndpoints(int count, const std::string &service = "s")
    {
        const int first = static_cast<int>(places_.size());
        for (int i = first; i < first + count; ++i) {
            Place &place = places_.emplace_back();
            place.service = service;
            place.server =
                    std::make_unique<EndpointStandin>(ip(210 + i), fmt::format("c-{}-0", i), "v1");
            place.relay = std::make_unique<TcpRelay>(loop_, ip(205), place.server->address());
            place.server->crashOn(CrashingPart, [this, &place, i] { crash(place, i); });
            listPlace(place);
        }
    }
    ~CrashingFleet() override
    {
        edges_.clear();
        for (std::thread &thread : restarts_) {
            thread.join();
        }
    }

    void listPlace(Place &place)
    {
        store_.put("keyed.servers", place.server->id(),
                   nlohmann::json({{"backend", place.service},
                                   {"address", place.relay->address()},
                                   {"zone", "d1"},
                                   {"slots", 64},
                                   {"state", "ready"},
                                   {"version", "v1"},
                                   {"born", 1 + place.starts}})
                           .dump());
    }

    /// Notes an arrival of the part, and resets all connections until the endpoint is back.
    void crash(Place &place, int number)
    {
        const std::lock_guard lock(mutex_);
        arrivals_.push_back(std::chrono::steady_clock::now());
        if (place.isDown.exchange(true)) {
            return;
        }
        crashes_.push_back(std::chrono::steady_clock::now());
        place.relay->setCut(RelayCut::Reset);
        restarts_.emplace_back([this, &place, number] {
            std::this_thread::sleep_for(restartsOfEndpoints_.delay);
            ++place.starts;
            const std::string before = place.server->id();
            if (!restartsOfEndpoints_.keepsId) {
                place.server->setId(fmt::format("c-{}-{}", number, place.starts));
            }
            place.relay->setCut(RelayCut::None);
            place.isDown = false;
            if (place.server->id() != before) {
                store_.put("keyed.servers", before, "");
            }
            listPlace(place);
        });
    }

    void startAll()
    {
        for (int host = 1; host <= Hosts; ++host) {
            nlohmann::json values = settings(host);
            values["domain"] = fmt::format("d{}", host % 2);
            edges_[host] = std::make_unique<Process>(scratch_, "sequoia-edge",
                                                     fmt::format("edge{}", host), values);
        }
        for (int host = 1; host <= Hosts; ++host) {
            ASSERT_TRUE(eventually([host] { return status(post(host, "first", 1)) == 200; }));
        }
    }

    static httplib::Result stream(int host, const std::string &path, const std::string &id,
                                  const std::string &prompt)
    {
        httplib::Client client(ip(host), CallerPort);
        client.set_read_timeout(std::chrono::seconds(10));
        const httplib::Headers headers = {
                {"Host", "h.example"},   {"Request-Id", id},        {"Authorization", "Token key"},
                {"Deadline-Ms", "4000"}, {"Token-Count", "300,20"}, {"Prompt-Prefix", prompt},
                {"X-Events", "12"}};
        return client.Post("/" + path + "/a", headers, "body", "text/plain");
    }

    /// Callers whose prompts share the first part with each other and with those that crash.
    struct Sound
    {
        std::atomic<int> sent{0};
        std::atomic<int> served{0};
        std::atomic<int> refused{0};
        std::atomic<int> quarantined{0};
    };

    static bool isQuarantined(const httplib::Result &result)
    {
        return result && result->body.find("_quarantined") != std::string::npos;
    }

    void callSoundly(const std::string &path, int number)
    {
        for (int i = 0; !isStopping_; ++i) {
            const std::string prompt =
                    fmt::format("f1:120,{:x}:80,{:x}:100", 0x5000 + (number * 7 + i) % 30,
                                0x900000 + number * 10000 + i);
            const httplib::Result result = stream(1 + (number + i) % Hosts, path,
                                                  fmt::format("s{}-{}", number, i), prompt);
            const int answer = status(result);
            Sound &sound = sound_;
            ++sound.sent;
            sound.served += answer == 200 ? 1 : 0;
            sound.refused += answer == 503 ? 1 : 0;
            sound.quarantined += answer == 503 && isQuarantined(result) ? 1 : 0;
            std::this_thread::sleep_for(std::chrono::milliseconds(40));
        }
    }

    void callBadly(const std::string &path)
    {
        for (int i = 0; !isStopping_; ++i) {
            std::thread([path, i] { sendBadly(path, i); }).detach();
            std::this_thread::sleep_for(std::chrono::milliseconds(250));
        }
    }

    static void sendBadly(const std::string &path, int number)
    {
        const std::string prompt =
                fmt::format("f1:120,{}:80,{:x}:100", CrashingPart, 0xA00000 + number);
        stream(1 + number % Hosts, path, fmt::format("b{}", number), prompt);
    }

    /// A caller who comes back soon after each answer or failure.
    void insistBadly(const std::string &path, int caller)
    {
        constexpr int RequestsPerCaller = 10'000;
        for (int i = caller * RequestsPerCaller; !isStopping_; ++i) {
            sendBadly(path, i);
            std::this_thread::sleep_for(std::chrono::milliseconds(250));
        }
    }

    Restarts restartsOfEndpoints_;
    RelayLoop loop_;
    std::list<Place> places_;
    std::mutex mutex_;
    std::vector<Instant> arrivals_; ///< of the part, at endpoints
    std::vector<Instant> crashes_;
    std::list<std::thread> restarts_;
    std::map<int, std::unique_ptr<Process>> edges_;
    std::atomic<bool> isStopping_{false};
    Sound sound_;
};

} // namespace sequoiagate

#endif
