/// Which probes show that the process of an endpoint has ended.

#include <optional>

#include <gtest/gtest.h>

#include "sequoiagate/Decisions/CrashConfirmation.h"

using namespace sequoiagate;

namespace {

const Instant Start{std::chrono::hours(1)};
const EndpointProcess Process{EndpointId("e"), 17};

/// One host and the messages that it sends.
class Confirmation : public testing::Test
{
protected:
    Confirmation()
    {
        confirmation_.probe = [this](const EndpointProcess &) {
            ++probes_;
        };
        confirmation_.sendRequest = [this](const HostId &to, const EndpointProcess &) {
            asked_.push_back(to);
        };
        confirmation_.sendResponse = [this](const HostId &to, const EndpointProcess &,
                                            ProbeResult result) {
            responses_.emplace_back(to, result);
        };
        confirmation_.onDecided = [this](const EndpointProcess &process, bool hasEnded) {
            EXPECT_EQ(process, Process);
            EXPECT_FALSE(decided_);
            decided_ = hasEnded;
        };
        confirmation_.setHosts({{HostId("a1"), DomainId("a")},
                                {HostId("b1"), DomainId("b")},
                                {HostId("b2"), DomainId("b")},
                                {HostId("c1"), DomainId("c")}});
    }

    void beginDirectly(ProbeResult own)
    {
        confirmation_.begin(Process, HostId(), Start);
        confirmation_.onProbed(Process, own, Start);
    }

    void respond(const char *host, ProbeResult result)
    {
        confirmation_.onResponse(HostId(host), Process, result, Start);
    }

    CrashConfirmation confirmation_{DomainId("a")};
    int probes_ = 0;
    std::vector<HostId> asked_;
    std::vector<std::pair<HostId, ProbeResult>> responses_;
    std::optional<bool> decided_;
};

TEST_F(Confirmation, AsksNobodyAboutAnEndpointThatListens)
{
    beginDirectly(ProbeResult::Listens);
    EXPECT_EQ(decided_, false);
    EXPECT_TRUE(asked_.empty());
}

TEST_F(Confirmation, AsksHostsOfAllDomains)
{
    beginDirectly(ProbeResult::Ended);
    EXPECT_EQ(std::set<HostId>(asked_.begin(), asked_.end()),
              (std::set<HostId>{HostId("a1"), HostId("b1"), HostId("b2"), HostId("c1")}));
    EXPECT_EQ(decided_, std::nullopt);
}

struct ResponsesCase
{
    const char *name;
    std::vector<std::pair<const char *, ProbeResult>> responses;
    std::optional<bool> decided; ///< before the deadline
    bool decidedAtDeadline;
};

class ProbeResponses : public Confirmation, public testing::WithParamInterface<ResponsesCase>
{};

const ResponsesCase ResponsesCases[] = {
        {"AllFindItsEnd",
         {{"a1", ProbeResult::Ended},
          {"b1", ProbeResult::Ended},
          {"b2", ProbeResult::Ended},
          {"c1", ProbeResult::Ended}},
         true,
         true},
        // Guards against evidence that is lost while hosts are cut off.
        {"AMajorityWithThisHostFindsItsEnd",
         {{"b1", ProbeResult::Ended}, {"c1", ProbeResult::Ended}},
         std::nullopt,
         true},
        // Guards against the word of hosts on the same side of a cut.
        {"OneOfFourFindsItsEnd", {{"b1", ProbeResult::Ended}}, std::nullopt, false},
        {"AnyOtherHostReachesIt",
         {{"a1", ProbeResult::Ended}, {"b1", ProbeResult::Ended}, {"b2", ProbeResult::Listens}},
         false,
         false},
        {"NobodyCanTell",
         {{"a1", ProbeResult::Unknown},
          {"b1", ProbeResult::Unknown},
          {"b2", ProbeResult::Unknown},
          {"c1", ProbeResult::Unknown}},
         false,
         false},
        {"NobodyResponds", {}, std::nullopt, false},
        // Guards against counting a repeated datagram, or a host that wasn't asked.
        {"OneHostRespondsTwice",
         {{"b1", ProbeResult::Ended}, {"b1", ProbeResult::Ended}, {"x1", ProbeResult::Ended}},
         std::nullopt,
         false},
};

TEST_P(ProbeResponses, DecideByMajority)
{
    beginDirectly(ProbeResult::Ended);
    for (const auto &[host, result] : GetParam().responses) {
        respond(host, result);
    }
    EXPECT_EQ(decided_, GetParam().decided);
    confirmation_.tick(Start + CrashConfirmation::ResponseTime);
    EXPECT_EQ(decided_, GetParam().decidedAtDeadline);
    EXPECT_EQ(confirmation_.nextDeadline(), Never);
}

INSTANTIATE_TEST_SUITE_P(Rows, ProbeResponses, testing::ValuesIn(ResponsesCases),
                         [](const auto &row) { return row.param.name; });

// Guards against a relayed request that tells nothing, and against a probe over a path that this
// host doesn't have.
TEST_F(Confirmation, AsksTheRelayInPlaceOfAProbeFromHere)
{
    confirmation_.begin(Process, HostId("a1"), Start);
    EXPECT_EQ(probes_, 0);
    EXPECT_EQ(asked_.size(), 4U);
    for (const char *host : {"a1", "b1", "c1"}) {
        respond(host, ProbeResult::Ended);
    }
    confirmation_.tick(Start + CrashConfirmation::ContradictionTime);
    EXPECT_EQ(decided_, true);
}

// Guards against blaming a prompt for the end of a relay.
TEST_F(Confirmation, ARelayThatEndedIsNoCrashOfTheEndpoint)
{
    confirmation_.begin(Process, HostId("a1"), Start);
    respond("b1", ProbeResult::Listens);
    EXPECT_EQ(decided_, false);
}

TEST_F(Confirmation, AsksAgainThoseThatHaventResponded)
{
    beginDirectly(ProbeResult::Ended);
    respond("b1", ProbeResult::Ended);
    asked_.clear();
    confirmation_.tick(Start + CrashConfirmation::ResendDelay);
    EXPECT_EQ(std::set<HostId>(asked_.begin(), asked_.end()),
              (std::set<HostId>{HostId("a1"), HostId("b2"), HostId("c1")}));
}

// Guards against a connection to the endpoint for each host that asks.
TEST_F(Confirmation, ProbesOnceForAllThatAsk)
{
    confirmation_.onRequest(HostId("b1"), Process, Start);
    confirmation_.onRequest(HostId("c1"), Process, Start);
    confirmation_.onProbed(Process, ProbeResult::Ended, Start);
    confirmation_.onRequest(HostId("b2"), Process, Start + std::chrono::seconds(1));
    EXPECT_EQ(probes_, 1);
    EXPECT_EQ(responses_.size(), 3U);
    confirmation_.onRequest(HostId("b2"), Process, Start + CrashConfirmation::ResultLifetime);
    EXPECT_EQ(probes_, 2);
    EXPECT_FALSE(decided_);
}

TEST(ConfirmationOfALoneHost, ReliesOnItsOwnProbe)
{
    CrashConfirmation confirmation{DomainId("a")};
    std::optional<bool> decided;
    confirmation.probe = [](const EndpointProcess &) {
    };
    confirmation.onDecided = [&decided](const EndpointProcess &, bool hasEnded) {
        decided = hasEnded;
    };
    confirmation.begin(Process, HostId(), Start);
    confirmation.onProbed(Process, ProbeResult::Ended, Start);
    EXPECT_EQ(decided, true);
}

} // namespace
