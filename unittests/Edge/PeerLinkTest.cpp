/// What peers tell each other by datagrams, on loopback.

#include <cstdio>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "sequoiagate/Edge/PeerLink.h"

using namespace sequoiagate;

namespace {

using boost::asio::ip::udp;

const udp::endpoint AnyPort(boost::asio::ip::address_v4::loopback(), 0);

class Link : public testing::Test
{
protected:
    Link()
        : file_(std::tmpfile()),
          log_({"test", HostId("h"), DomainId("d"), Incarnation("self")}, file_),
          far_(io_, AnyPort), link_(io_, AnyPort, Incarnation("self"), DomainId("d"), log_,
                                    {[](const TokenRequest &) { return uint64_t{0}; },
                                     [](const WorkspaceId &) {
                                         return HeldTokens{5, 7, false};
                                     },
                                     [](const WorkspaceId &, uint64_t) {},
                                     [this](const ClockAnswer &answer) {
                                         answers_.push_back(answer);
                                     }})
    {}
    ~Link() override { std::fclose(file_); }

    /// Waits for the link's question, and \returns it.
    nlohmann::json question()
    {
        std::array<char, 2048> buffer{};
        const std::size_t bytes = far_.receive_from(boost::asio::buffer(buffer), asker_);
        return nlohmann::json::parse(std::string_view(buffer.data(), bytes));
    }

    /// Sends \p message to the link, and lets it read it.
    void tell(const nlohmann::json &message)
    {
        far_.send_to(boost::asio::buffer(message.dump()), asker_);
        io_.restart();
        io_.run_one();
    }

    static nlohmann::json answerTo(const nlohmann::json &question)
    {
        return {{"kind", "clocks"},
                {"from", "peer"},
                {"to", question.at("from")},
                {"about", question.at("about")},
                {"boot", "b"},
                {"since_boot_ms", 700},
                {"time_ms", 90'000},
                {"asked_ms", question.at("asked_ms")}};
    }

    boost::asio::io_context io_;
    std::FILE *file_;
    EventLog log_;
    udp::socket far_; ///< a peer
    PeerLink link_;
    udp::endpoint asker_;
    std::vector<ClockAnswer> answers_;
};

TEST_F(Link, HandsOverWhatAPeersClocksSay)
{
    link_.askClock(far_.local_endpoint(), Millis(40));
    tell(answerTo(question()));
    ASSERT_EQ(answers_.size(), 1U);
    EXPECT_EQ(answers_[0].address, far_.local_endpoint());
    EXPECT_EQ(answers_[0].process, Incarnation("peer"));
    EXPECT_EQ(answers_[0].sinceBoot, Millis(700));
    EXPECT_EQ(answers_[0].askedAfterStart, Millis(40));
}

// A budget is overspent: a process asked a peer for its clocks and was killed; the answer came
// late, to the next process on the address. It was read before that one started, so that the
// time since the last batch seemed shorter, and tokens were given back that had been used.
TEST_F(Link, AnswerToTheProcessBeforeIsntTakenForOnes)
{
    link_.askClock(far_.local_endpoint(), Millis(40));
    nlohmann::json late = answerTo(question());
    late["to"] = "the process before";
    tell(late);
    EXPECT_TRUE(answers_.empty());
}

TEST_F(Link, TellsItsOwnClocks)
{
    link_.askClock(far_.local_endpoint(), Millis(40));
    nlohmann::json ask = question();
    ask["from"] = "peer";
    tell(ask);
    const nlohmann::json told = question();
    EXPECT_EQ(told.at("kind"), "clocks");
    EXPECT_EQ(told.at("to"), "peer");
    EXPECT_EQ(told.at("from"), "self");
    EXPECT_EQ(told.at("about"), ask.at("about"));
    EXPECT_GT(told.at("since_boot_ms").get<int64_t>(), 0);
}

struct ElsewhereCase
{
    const char *name;
    nlohmann::json told; ///< beside a move of nothing
    std::optional<uint64_t> tokens;
};

class LinkHeldElsewhere : public Link, public testing::WithParamInterface<ElsewhereCase>
{};

const ElsewhereCase ElsewhereCases[] = {
        {"OfAnEarlierBuild", {{"usable", 5}}, 5},
        {"OpenRequestsMayEndWithLess", {{"usable", 5}, {"reserved", 7}, {"settling", false}}, 12},
        {"ItsPredecessorsTokensMayComeBack",
         {{"usable", 5}, {"reserved", 7}, {"settling", true}},
         std::nullopt},
};

// A caller is told that its budget is spent while tokens of it are on their way back.
TEST_P(LinkHeldElsewhere, CountsWhatMayComeBack)
{
    link_.setPeers({{HostId("p"), DomainId("d"), Incarnation("peer"), far_.local_endpoint(),
                     far_.local_endpoint()}});
    link_.askClock(far_.local_endpoint(), Millis(0));
    question();
    nlohmann::json move = {{"kind", "move"}, {"from", "peer"},   {"to", "self"},
                           {"id", 0},        {"workspace", "w"}, {"tokens", 0}};
    move.update(GetParam().told);
    tell(move);
    EXPECT_EQ(link_.heldElsewhere(WorkspaceId("w"), Instant()), GetParam().tokens);
}

INSTANTIATE_TEST_SUITE_P(Rows, LinkHeldElsewhere, testing::ValuesIn(ElsewhereCases),
                         [](const auto &row) { return std::string(row.param.name); });

struct HomeCase
{
    const char *name;
    const char *answeredBy; ///< incarnation that the answer comes from
    bool isHome;
};

class LinkHome : public Link, public testing::WithParamInterface<HomeCase>
{};

const HomeCase HomeCases[] = {{"ListedProcess", "peer", true},
                              {"PreviousProcessOfTheHost", "previous", false}};

// Guards against moving tokens to a process that has ended, where they would be lost.
TEST_P(LinkHome, GetsTokensOnlyAfterItAnswered)
{
    const WorkspaceId workspace("w");
    link_.setHomes(workspace, {{HostId("p"), DomainId("d"), Incarnation("peer"),
                                far_.local_endpoint(), far_.local_endpoint()}});
    const Instant now = std::chrono::steady_clock::now();
    EXPECT_FALSE(link_.homeAnsweredRecently(workspace, now));
    link_.askClock(far_.local_endpoint(), Millis(0));
    question();
    tell({{"kind", "move"},
          {"from", GetParam().answeredBy},
          {"to", "self"},
          {"id", 0},
          {"workspace", "w"},
          {"tokens", 0},
          {"usable", 0}});
    ASSERT_EQ(link_.homeAnsweredRecently(workspace, now), GetParam().isHome);
    if (GetParam().isHome) {
        link_.moveToHome(workspace, 30, now);
        const nlohmann::json move = question();
        EXPECT_EQ(move.at("to"), "peer");
        EXPECT_EQ(move.at("tokens"), 30);
    }
    EXPECT_FALSE(link_.homeAnsweredRecently(workspace, now + std::chrono::minutes(1)));
}

INSTANTIATE_TEST_SUITE_P(Rows, LinkHome, testing::ValuesIn(HomeCases),
                         [](const auto &row) { return std::string(row.param.name); });

TEST_F(Link, TellsWhatItHoldsAndWhatMayComeBack)
{
    link_.askClock(far_.local_endpoint(), Millis(0));
    question();
    tell({{"kind", "ask"},
          {"from", "peer"},
          {"workspace", "w"},
          {"need", 9},
          {"usable", 0},
          {"per_second", 0}});
    const nlohmann::json move = question();
    EXPECT_EQ(move.at("usable"), 5);
    EXPECT_EQ(move.at("reserved"), 7);
    EXPECT_EQ(move.at("settling"), false);
}

} // namespace
