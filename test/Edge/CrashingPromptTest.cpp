/// Prompts with a part that crashes each endpoint that begins to write an answer on it.

#include <atomic>
#include <iterator>
#include <list>
#include <map>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "EdgeProcess.h"
#include "test/Support/Relay.h"

using namespace sequoiagate;
using soak::RelayCut;
using soak::RelayLoop;
using soak::TcpRelay;

namespace {

constexpr const char *CrashingPart = "bad0bad0";
constexpr std::chrono::milliseconds RestartDelay(700);
/// A restart that takes so long that most endpoints are down until the part is found.
constexpr std::chrono::milliseconds LongRestartDelay(2500);
/// How long after the fifth crash requests with the part may still reach endpoints.
constexpr std::chrono::seconds Settling(3);
constexpr std::size_t CrashesToLearn = 5;
constexpr int MaxArrivalsAfterwards = 3;

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
        store_.put("keyed.op", "config", config.dump());
    }

    void addEndpoints(int count)
    {
        for (int i = 0; i < count; ++i) {
            Place &place = places_.emplace_back();
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
                   nlohmann::json({{"backend", "s"},
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

    static int stream(int host, const std::string &path, const std::string &id,
                      const std::string &prompt)
    {
        httplib::Client client(ip(host), CallerPort);
        client.set_read_timeout(std::chrono::seconds(10));
        const httplib::Headers headers = {
                {"Host", "h.example"},   {"Request-Id", id},        {"Authorization", "Token key"},
                {"Deadline-Ms", "4000"}, {"Token-Count", "300,20"}, {"Prompt-Prefix", prompt},
                {"X-Events", "12"}};
        return status(client.Post("/" + path + "/a", headers, "body", "text/plain"));
    }

    /// Callers whose prompts share the first part with each other and with those that crash.
    struct Sound
    {
        std::atomic<int> sent{0};
        std::atomic<int> served{0};
        std::atomic<int> refused{0};
    };

    void callSoundly(const std::string &path, int number)
    {
        for (int i = 0; !isStopping_; ++i) {
            const std::string prompt =
                    fmt::format("f1:120,{:x}:80,{:x}:100", 0x5000 + (number * 7 + i) % 30,
                                0x900000 + number * 10000 + i);
            const int answer = stream(1 + (number + i) % Hosts, path,
                                      fmt::format("s{}-{}", number, i), prompt);
            Sound &sound = sound_;
            ++sound.sent;
            sound.served += answer == 200 ? 1 : 0;
            sound.refused += answer == 503 ? 1 : 0;
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

struct PromptCase
{
    const char *name;
    const char *path; ///< of all requests
    Restarts restarts;
    int endpoints = 6;
    int insistingCallers = 0; ///< 0: the part comes at a steady rate
};

class CrashingPrompts : public CrashingFleet, public testing::WithParamInterface<PromptCase>
{};

// Guards against a prompt that crashes one endpoint after the other, and against refusing the
// prompts that share its other parts.
TEST_P(CrashingPrompts, AreKeptFromEndpoints)
{
    const std::string path = GetParam().path;
    restartsOfEndpoints_ = GetParam().restarts;
    addEndpoints(GetParam().endpoints);
    startAll();
    std::vector<std::thread> callers;
    for (int i = 0; i < 10; ++i) {
        callers.emplace_back([this, path, i] { callSoundly(path, i); });
    }
    std::this_thread::sleep_for(std::chrono::seconds(2));
    std::vector<std::thread> bad;
    for (int i = 0; i < GetParam().insistingCallers; ++i) {
        bad.emplace_back([this, path, i] { insistBadly(path, i); });
    }
    if (bad.empty()) {
        bad.emplace_back([this, path] { callBadly(path); });
    }
    const Instant limit = std::chrono::steady_clock::now() + std::chrono::seconds(6);
    Instant learnt = limit;
    while (std::chrono::steady_clock::now() < learnt + Settling) {
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
        const std::lock_guard lock(mutex_);
        learnt = crashes_.size() >= CrashesToLearn ? crashes_[CrashesToLearn - 1] : limit;
    }
    std::this_thread::sleep_for(Settling);
    const int sentBefore = sound_.sent;
    const int servedBefore = sound_.served;
    std::this_thread::sleep_for(std::chrono::seconds(3));
    const int sent = sound_.sent - sentBefore;
    const int served = sound_.served - servedBefore;
    isStopping_ = true;
    callers.insert(callers.end(), std::make_move_iterator(bad.begin()),
                   std::make_move_iterator(bad.end()));
    for (std::thread &caller : callers) {
        caller.join();
    }
    std::this_thread::sleep_for(restartsOfEndpoints_.delay);
    const std::lock_guard lock(mutex_);
    const auto late = std::count_if(arrivals_.begin(), arrivals_.end(),
                                    [learnt](Instant time) { return time > learnt + Settling; });
    RecordProperty("crashes", static_cast<int>(crashes_.size()));
    RecordProperty("late_arrivals", static_cast<int>(late));
    RecordProperty("served", served);
    RecordProperty("sent", sent);
    EXPECT_LE(late, MaxArrivalsAfterwards) << crashes_.size() << " crashes";
    EXPECT_GE(2 * served, sent) << served << " of " << sent;
    EXPECT_GT(sent, 0);
}

class QuarantinedPart : public CrashingFleet
{};

// Guards against forgetting a part that crashes endpoints when all hosts start again.
TEST_F(QuarantinedPart, OutlivesAllHosts)
{
    addEndpoints(6);
    startAll();
    int number = 0;
    std::vector<std::thread> sound;
    for (int i = 0; i < 4; ++i) {
        sound.emplace_back([this, i] { callSoundly("stream", i); });
    }
    EXPECT_TRUE(eventually([this, &number] {
        sendBadly("stream", number++);
        const auto rows = store_.newest(OwnTopic);
        return std::any_of(rows.begin(), rows.end(),
                           [](const auto &row) { return row.first.rfind("quarantine/", 0) == 0; });
    }));
    isStopping_ = true;
    for (std::thread &caller : sound) {
        caller.join();
    }
    edges_.clear();
    startAll();
    const auto countArrivals = [this] {
        const std::lock_guard lock(mutex_);
        return arrivals_.size();
    };
    const std::size_t before = countArrivals();
    for (int i = 0; i < 2 * Hosts; ++i) {
        sendBadly("stream", number++);
    }
    EXPECT_EQ(countArrivals(), before);
}

INSTANTIATE_TEST_SUITE_P(
        Routes, CrashingPrompts,
        testing::Values(
                PromptCase{"SentOnce", "stream", {}}, PromptCase{"Resumable", "resume", {}},
                PromptCase{"SentOnceUnderKeptIds", "stream", {RestartDelay, true}},
                PromptCase{"ToFewEndpointsUnderKeptIds", "stream", {LongRestartDelay, true}, 4, 3},
                PromptCase{"ToFewEndpointsUnderNewIds", "stream", {LongRestartDelay, false}, 4, 3}),
        [](const auto &row) { return row.param.name; });

} // namespace
