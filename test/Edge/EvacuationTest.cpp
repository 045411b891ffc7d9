/// Failure domains that an operator evacuates: their endpoints get no requests until they are taken
/// back.

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "PartitionedFleet.h"

using namespace sequoiagate;
using soak::RelayCut;

namespace {

constexpr const char *OperatorTopic = "keyed.op";
constexpr const char *EvacuatedDomain = "d2";

/// From the store's acknowledgement until the evacuation is in force at every host.
constexpr std::chrono::seconds Bound(5);

std::string evacuationKey(const std::string &domain)
{
    return "evacuate/" + domain;
}

class EvacuatedFleet : public EdgeProcess
{
protected:
    EvacuatedFleet() : second_(ip(202), "e-2") { list(second_, "ready", EvacuatedDomain); }
    ~EvacuatedFleet() override { edges_.clear(); }

    void startHost(int host, const std::string &name) { edges_[host] = start(host, name); }

    /// Sends \p requests of various prompts to \p host one after another. Half of the prompts have
    /// their home at each endpoint. \returns how many were served
    int call(int host, int requests)
    {
        httplib::Client client(ip(host), CallerPort);
        int served = 0;
        for (int i = 0; i < requests; ++i) {
            // Without a count of tokens, which are refused at times while the store is silent.
            const httplib::Headers headers = {{"Host", "h.example"},
                                              {"Request-Id", fmt::format("r{}", ++lastId_)},
                                              {"Authorization", "Token key"},
                                              {"Deadline-Ms", "20000"},
                                              {"Prompt-Prefix", prompt(lastId_ % Prompts)}};
            const httplib::Result result = client.Post("/once/a", headers, "body", "text/plain");
            served += status(result) == 200 ? 1 : 0;
        }
        return served;
    }

    void evacuate(const std::string &record)
    {
        store_.put(OperatorTopic, evacuationKey(EvacuatedDomain), record);
        std::this_thread::sleep_for(Bound);
    }

    /// Whether \p endpoint gets requests of \p host.
    bool isUsed(int host, EndpointStandin &endpoint)
    {
        const std::size_t before = endpoint.arrivals().size();
        return eventually([&] {
            call(host, Prompts);
            return endpoint.arrivals().size() > before;
        });
    }

public:
    // ---- what happens while the domain is evacuated ----
    void nothing() {}
    void anotherHostStarts() { startHost(2, "later"); }
    void hostStartsAgain()
    {
        edges_.at(1)->kill();
        startHost(1, "again");
    }
    void historyIsDropped()
    {
        store_.forget(OperatorTopic);
        startHost(2, "later");
    }
    void storeFallsSilent() { store_.setFault(StoreFault::Silent); }
    void configurationChanges()
    {
        store_.put(OperatorTopic, "config", configRow(2, 100'000));
        std::this_thread::sleep_for(std::chrono::seconds(1));
    }
    void isEvacuatedTwiceInARow()
    {
        store_.put(OperatorTopic, evacuationKey(EvacuatedDomain), "");
        evacuate("{}");
    }

    struct Case
    {
        const char *name;
        const char *record;
        void (EvacuatedFleet::*then)();
        std::vector<int> hosts; ///< that run afterwards
    };

protected:
    static constexpr int Prompts = 24;

    static std::string prompt(int number)
    {
        return fmt::format("{:x}:6000,{:x}:100", 1 + number, 1 << 20);
    }

    EndpointStandin second_;
    std::map<int, std::unique_ptr<Process>> edges_;
    int lastId_ = 0;
};

class Evacuation : public EvacuatedFleet, public testing::WithParamInterface<EvacuatedFleet::Case>
{};

// Guards against requests for endpoints of a failure domain that an operator has evacuated.
TEST_P(Evacuation, LeavesItsEndpointsWithoutRequests)
{
    const Case &row = GetParam();
    constexpr int Requests = 40;
    startHost(1, "edge");
    ASSERT_TRUE(isUsed(1, endpoint_));
    ASSERT_TRUE(isUsed(1, second_));
    evacuate(row.record);
    const std::size_t before = second_.arrivals().size();
    (this->*row.then)();
    for (const int host : row.hosts) {
        EXPECT_EQ(call(host, Requests), Requests) << "host " << host;
    }
    EXPECT_EQ(second_.arrivals().size(), before);

    store_.setFault(StoreFault::None);
    store_.put(OperatorTopic, evacuationKey(EvacuatedDomain), "");
    for (const int host : row.hosts) {
        EXPECT_TRUE(isUsed(host, second_)) << "host " << host;
    }
}

INSTANTIATE_TEST_SUITE_P(
        Rows, Evacuation,
        testing::Values(
                EvacuatedFleet::Case{"InForce", "{}", &EvacuatedFleet::nothing, {1}},
                EvacuatedFleet::Case{"RecordOfAnotherForm", "[7", &EvacuatedFleet::nothing, {1}},
                EvacuatedFleet::Case{"HostJoins", "{}", &EvacuatedFleet::anotherHostStarts, {1, 2}},
                EvacuatedFleet::Case{
                        "HostStartsAgain", "{}", &EvacuatedFleet::hostStartsAgain, {1}},
                EvacuatedFleet::Case{
                        "HistoryIsDropped", "{}", &EvacuatedFleet::historyIsDropped, {1, 2}},
                EvacuatedFleet::Case{
                        "StoreFallsSilent", "{}", &EvacuatedFleet::storeFallsSilent, {1}},
                EvacuatedFleet::Case{
                        "ConfigurationChanges", "{}", &EvacuatedFleet::configurationChanges, {1}},
                EvacuatedFleet::Case{
                        "TwiceInARow", "{}", &EvacuatedFleet::isEvacuatedTwiceInARow, {1}}),
        [](const auto &row) { return row.param.name; });

// Guards against callers that wait, or are told a falsehood, while no endpoint may be used.
TEST_F(EvacuatedFleet, RefusesAtOnceWhenAllDomainsAreEvacuated)
{
    startHost(1, "edge");
    ASSERT_TRUE(isUsed(1, second_));
    store_.put(OperatorTopic, evacuationKey("d1"), "{}");
    evacuate("{}");
    const std::size_t before = endpoint_.arrivals().size() + second_.arrivals().size();
    for (int i = 0; i < 5; ++i) {
        const Instant sentAt = std::chrono::steady_clock::now();
        const httplib::Result result = post(1, fmt::format("refused{}", i), 1);
        ASSERT_EQ(status(result), 503);
        EXPECT_LT(std::chrono::steady_clock::now() - sentAt, std::chrono::seconds(1));
        EXPECT_TRUE(result->has_header("Retry-After"));
    }
    EXPECT_EQ(endpoint_.arrivals().size() + second_.arrivals().size(), before);
    store_.put(OperatorTopic, evacuationKey("d1"), "");
    EXPECT_TRUE(isUsed(1, endpoint_));
}

// Guards against a relay that connects hosts which haven't read an evacuation to its endpoints.
TEST_F(PartitionedFleet, RelaysSendNothingToEvacuatedDomains)
{
    const std::string ownDomain = "d1";
    list(second_, "ready", EvacuatedDomain);
    links_.at(1).hiddenKeys.insert(evacuationKey(ownDomain));
    startAll();
    store_.put(OperatorTopic, evacuationKey(ownDomain), "{}");
    cut({1}, RelayCut::Reset);
    std::this_thread::sleep_for(Bound);
    const std::size_t before = endpoint_.arrivals().size() + third_.arrivals().size();
    static constexpr std::chrono::milliseconds Deadline(2000);
    const Served served = call(1, 40, Deadline);
    EXPECT_GE(3 * served.served, 2 * served.sent);
    EXPECT_EQ(endpoint_.arrivals().size() + third_.arrivals().size(), before);
}

} // namespace
