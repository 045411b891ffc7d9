#include "sequoiagate/Router/Router.h"
#include "sequoiagate/Config/Sha256.h"

#include <cstdio>
#include <thread>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "sequoiagate/Base/Rendezvous.h"
#include "sequoiagate/Service/Program.h"
#include "sequoiagate/Service/Settings.h"
#include "sequoiagate/Standins/EngineStandin.h"
#include "sequoiagate/Standins/ServiceStandin.h"
#include "test/Router/FakeKeeper.h"
#include "test/Router/RudeEngine.h"
#include "test/Support/Caller.h"
#include "test/Support/Process.h"

using namespace sequoiagate;

namespace {

constexpr const char *Key = "key-of-w1";
constexpr const char *ResumeKey = "a secret that all routers of this test share";

wire::EndpointChange endpointOf(const std::string &name, const std::string &address,
                                wire::EndpointKind kind, const std::string &service)
{
    wire::EndpointChange endpoint;
    endpoint.set_endpoint(name);
    endpoint.set_address(address);
    endpoint.set_kind(kind);
    endpoint.add_services(service);
    endpoint.set_slots(32);
    return endpoint;
}

void addWorkspace(wire::ConfigState &config, const std::string &name)
{
    wire::WorkspaceConfig *workspace = config.add_workspaces();
    workspace->set_workspace(name);
    workspace->add_key_hashes(sha256Hex("key-of-" + name));
    for (const char *service : {"chat", "bookings", "rude", "nothing-offers-this"}) {
        workspace->mutable_settings()->add_services(service);
    }
}

RouterSettings settingsFor(const std::vector<std::string> &keepers)
{
    const nlohmann::json given = {
            {"host", "h1"},           {"domain", "d1"},          {"listen", "127.0.0.1:0"},
            {"keepers", keepers},     {"resume_key", ResumeKey}, {"hang_up_grace_ms", 50},
            {"stall_timeout_ms", 300}};
    const ScratchFolder scratch;
    const std::string path = scratch.write("settings.json", given.dump());
    const nlohmann::json schema =
            nlohmann::json::parse(readShareFile("schemas/sequoia-router.json"));
    return routerSettingsFrom(loadSettings(path, schema));
}

/// One router between a keeper in memory and stand-ins of endpoints, in one process.
class RouterTest : public testing::Test
{
protected:
    RouterTest()
        : file_(std::tmpfile()),
          log_({"test", HostId("h1"), DomainId("d1"), randomId<Incarnation>()}, file_),
          security_(nlohmann::json::object(), log_), caller_(scratch_.path("caller.log"))
    {
        engine_.start();
        service_.start();
        config_.set_version(1);
        addWorkspace(config_, "w1");
        addWorkspace(config_, "w2");
        *config_.add_endpoints() = endpointOf("e1", engine_.address(), wire::MODEL_ENGINE, "chat");
        *config_.add_endpoints() =
                endpointOf("s1", service_.address(), wire::PLAIN_SERVICE, "bookings");
        *config_.add_endpoints() = endpointOf("e2", rude_.address(), wire::MODEL_ENGINE, "rude");
        keeper_ = std::make_unique<FakeKeeper>(config_);
        router_ = startRouter();
        router2_ = startRouter();
    }
    ~RouterTest() override
    {
        router_.reset();
        router2_.reset();
        std::fclose(file_);
    }

    std::unique_ptr<Router> startRouter() { return startRouter({keeper_->address()}); }

    std::unique_ptr<Router> startRouter(const std::vector<std::string> &keepers)
    {
        auto router = std::make_unique<Router>(settingsFor(keepers), security_, log_);
        router->start();
        httplib::Client client("http://" + router->address());
        while (client.Get("/readyz")->status != 200) {
            std::this_thread::yield();
        }
        return router;
    }

    ChatCall chatCall(const std::string &request, uint64_t tokens = 20) const
    {
        ChatCall call;
        call.router = router_->address();
        call.key = Key;
        call.workspace = WorkspaceId("w1");
        call.request = RequestId(request);
        call.prompt = fmt::format("tokens={}", tokens);
        return call;
    }

    PlainCall plainCall(const std::string &key) const
    {
        PlainCall call;
        call.router = router_->address();
        call.key = Key;
        call.workspace = WorkspaceId("w1");
        call.service = "bookings";
        call.operation = "commit";
        call.idempotencyKey = key;
        return call;
    }

    static std::string expectedAnswer(const std::string &request, uint64_t tokens)
    {
        EngineStream stream;
        stream.workspace = "w1";
        stream.request = request;
        std::string text;
        for (uint64_t position = 0; position < tokens; ++position) {
            text += stream.token(position);
        }
        return text;
    }

    ScratchFolder scratch_;
    std::FILE *file_;
    EventLog log_;
    Security security_;
    Caller caller_;
    EngineStandin engine_{{.name = "e1", .betweenTokens = Millis(1)}, log_};
    RudeEngine rude_;
    ServiceStandin service_{{.name = "s1"}, log_};
    wire::ConfigState config_;
    std::unique_ptr<FakeKeeper> keeper_;
    std::unique_ptr<Router> router_;
    std::unique_ptr<Router> router2_;
};

struct EngineFault
{
    const char *name;
    const char *faults;
};

constexpr EngineFault EngineFaults[] = {
        {"None", "{}"},
        {"CutBeforeTheFirstChunk", R"({"cut_after": 0})"},
        {"CutMidStream", R"({"cut_after": 7})"},
        {"SwappedChunks", R"({"swap_chunks": true})"},
        {"SwappedAndCut", R"({"swap_chunks": true, "cut_after": 5})"},
};

class WholeAnswer : public RouterTest, public testing::WithParamInterface<EngineFault>
{};

// The caller sees one whole answer, its own, whatever the engine's connection
// did: chunks come swapped, or the connection breaks, before or after the first
// chunk. The router takes the stream up where it broke, and bills it once.
TEST_P(WholeAnswer, ReachesTheCaller)
{
    for (const bool stream : {true, false}) {
        setFaults(engine_.address(), nlohmann::json::parse(GetParam().faults));
        const std::string request = stream ? "r-stream" : "r-whole";
        ChatCall call = chatCall(request);
        call.stream = stream;
        const CallerAnswer answer = caller_.chat(call);
        EXPECT_EQ(answer.status, 200) << answer.code;
        EXPECT_TRUE(answer.whole);
        EXPECT_EQ(answer.content, expectedAnswer(request, 20));
    }
    keeper_->awaitBills(2);
    for (const wire::Bill &bill : keeper_->bills()) {
        EXPECT_EQ(bill.prompt_tokens(), 1U);
        EXPECT_EQ(bill.completion_tokens(), 20U);
        EXPECT_FALSE(bill.in_doubt());
    }
}

INSTANTIATE_TEST_SUITE_P(Faults, WholeAnswer, testing::ValuesIn(EngineFaults),
                         [](const auto &row) { return std::string(row.param.name); });

struct RudeAnswer
{
    const char *name;
    std::vector<RudeChunk> first; ///< on the first connection
    std::vector<RudeChunk> later; ///< on connections that take it up
    bool whole;
    const char *content;
};

const RudeAnswer RudeAnswers[] = {
        {"ForeignChunkInBetween", {{0}, {1, "s9"}, {1}, {2, "s1", "stop"}}, {}, true, "P0 P1 "},
        {"ForeignEnd", {{0}, {1, "s9", "stop"}, {1}, {2, "s1", "stop"}}, {}, true, "P0 P1 "},
        {"DoubledChunks", {{0}, {0}, {1}, {0}, {1}, {2, "s1", "stop"}}, {}, true, "P0 P1 "},
        {"MissingChunk",
         {{0}, {2}, {3, "s1", "stop"}},
         {{1}, {2}, {3, "s1", "stop"}},
         true,
         "P0 P1 P2 "},
        {"NoEnd", {{0}, {1}}, {}, false, "P0 P1 "},
        {"BrokenOff", {{0}, {1}, {2, "s1", "cancelled"}}, {}, false, "P0 P1 "},
        {"PastTheCeiling", {{0}, {1}, {2}, {3}, {4}, {5, "s1", "stop"}}, {}, true, "P0 P1 P2 P3 "},
};

class RudeEngineTest : public RouterTest, public testing::WithParamInterface<RudeAnswer>
{};

// The engine mixes another stream's chunks in, sends some twice, leaves one out, never
// ends, breaks off, or goes past the ceiling. The caller sees its own answer in order,
// "whole" only if its end was seen, and never more than was reserved.
TEST_P(RudeEngineTest, GivesTheCallerOnlyWhatIsItsOwn)
{
    rude_.script(GetParam().first, GetParam().later);
    ChatCall call = chatCall("r1");
    call.model = "rude";
    call.maxTokens = 4;
    const CallerAnswer answer = caller_.chat(call);
    EXPECT_EQ(answer.content, GetParam().content);
    EXPECT_EQ(answer.whole, GetParam().whole);
    if (!GetParam().whole) {
        EXPECT_EQ(answer.code, "stream_cut");
        EXPECT_EQ(answer.execution, "may_have_run");
    }
    keeper_->awaitBills(1);
    EXPECT_LE(keeper_->bills()[0].completion_tokens(), 4U);
}

INSTANTIATE_TEST_SUITE_P(Scripts, RudeEngineTest, testing::ValuesIn(RudeAnswers),
                         [](const auto &row) { return std::string(row.param.name); });

struct Refusal
{
    const char *name;
    const char *key;
    const char *model;
    int status;
    const char *code;
};

constexpr Refusal Refusals[] = {
        {"WrongKey", "key-of-nobody", "chat", 401, "unauthenticated"},
        {"NoKey", "", "chat", 401, "unauthenticated"},
        {"ForeignService", Key, "secret", 403, "not_allowed"},
        {"UnknownService", Key, "nothing-offers-this", 404, "unknown_service"},
};

class Refused : public RouterTest, public testing::WithParamInterface<Refusal>
{};

TEST_P(Refused, SaysWhyAndThatNothingRan)
{
    ChatCall call = chatCall("r1");
    call.key = GetParam().key;
    call.model = GetParam().model;
    const CallerAnswer answer = caller_.chat(call);
    EXPECT_EQ(answer.status, GetParam().status);
    EXPECT_EQ(answer.code, GetParam().code);
    EXPECT_EQ(answer.execution, "not_run");
    EXPECT_TRUE(keeper_->bills().empty());
}

INSTANTIATE_TEST_SUITE_P(Callers, Refused, testing::ValuesIn(Refusals),
                         [](const auto &row) { return std::string(row.param.name); });

TEST_F(RouterTest, PassesTheKeepersRefusalOn)
{
    wire::ReserveReply reply;
    reply.mutable_refused()->set_reason("budget_spent");
    reply.mutable_refused()->set_execution(wire::NOT_RUN);
    keeper_->answerReserves(reply);
    const CallerAnswer answer = caller_.chat(chatCall("r1"));
    EXPECT_EQ(answer.status, 402);
    EXPECT_EQ(answer.execution, "not_run");
}

// The caller is told that nothing ran: each engine refuses before its first
// chunk, so the router may say so, and the reservation is given back unspent.
TEST_F(RouterTest, EngineThatRefusesDidNotRun)
{
    setFaults(engine_.address(), {{"refuse", true}});
    const CallerAnswer answer = caller_.chat(chatCall("r1"));
    EXPECT_EQ(answer.status, 503);
    EXPECT_EQ(answer.code, "no_endpoint");
    EXPECT_EQ(answer.execution, "not_run");
    keeper_->awaitBills(1);
    EXPECT_EQ(keeper_->bills()[0].completion_tokens(), 0U);
}

// A caller loses its connection after a few chunks and comes back at another
// router with the last event id it saw. It gets the rest, and nothing twice; the
// stream runs on meanwhile, and whichever router bills first is the one that counts.
TEST_F(RouterTest, StreamIsTakenUpAtAnotherRouter)
{
    ChatCall call = chatCall("r1", 60);
    call.hangUpAfter = 5;
    const CallerAnswer first = caller_.chat(call);
    ASSERT_FALSE(first.whole);
    call.hangUpAfter = 0;
    call.router = router2_->address();
    call.lastEventId = first.lastEventId;
    const CallerAnswer rest = caller_.chat(call);
    EXPECT_TRUE(rest.whole) << rest.code;
    EXPECT_EQ(first.content + rest.content, expectedAnswer("r1", 60));
    keeper_->awaitBills(1);
    EXPECT_EQ(keeper_->bills().size(), 1U);
}

struct BadEventId
{
    const char *name;
    std::string (*make)(const std::string &genuine);
    const char *key;
};

/// What a caller could build who knows the id's form, but not the secret.
std::string signedByAnotherKey(const std::string &genuine)
{
    return ResumeSigner("made up by a caller").sign(*ResumeSigner(ResumeKey).verify(genuine));
}

std::string atAnotherPosition(const std::string &genuine)
{
    const std::size_t position = genuine.find('.') + 1;
    return genuine.substr(0, position) + "0" + genuine.substr(genuine.rfind('.'));
}

const BadEventId BadEventIds[] = {
        {"NotAnId", [](const std::string &) { return std::string("AAAA.BBBB"); }, Key},
        {"SignedByAnotherKey", signedByAnotherKey, Key},
        {"AtAnotherPosition", atAnotherPosition, Key},
        {"AnotherWorkspaces", [](const std::string &genuine) { return genuine; }, "key-of-w2"},
};

class EventIdRefused : public RouterTest, public testing::WithParamInterface<BadEventId>
{};

// Another workspace's caller, or one who makes ids up, gets no chunk of the stream.
TEST_P(EventIdRefused, GivesNoChunk)
{
    const std::string genuine = caller_.chat(chatCall("r1")).lastEventId;
    ChatCall call = chatCall("r1");
    call.key = GetParam().key;
    call.lastEventId = GetParam().make(genuine);
    const CallerAnswer answer = caller_.chat(call);
    EXPECT_EQ(answer.status, 400);
    EXPECT_EQ(answer.content, "");
}

INSTANTIATE_TEST_SUITE_P(Ids, EventIdRefused, testing::ValuesIn(BadEventIds),
                         [](const auto &row) { return std::string(row.param.name); });

// Two callers, or one that retries, send the same request at once. Both get the
// whole answer of the one run; it is billed once.
TEST_F(RouterTest, SameRequestAttachesToTheOpenRun)
{
    CallerAnswer second;
    std::thread other([&] { second = caller_.chat(chatCall("r1", 60)); });
    const CallerAnswer first = caller_.chat(chatCall("r1", 60));
    other.join();
    EXPECT_EQ(first.content, expectedAnswer("r1", 60));
    EXPECT_EQ(second.content, expectedAnswer("r1", 60));
    EXPECT_EQ(keeper_->reservations(), 1U);
}

// A caller hangs up for good. After the grace the engine is told to stop, and
// what it generated until then is billed, not the ceiling.
TEST_F(RouterTest, HungUpStreamIsCancelledAndBilled)
{
    ChatCall call = chatCall("r1", 100'000);
    call.maxTokens = 8000;
    call.hangUpAfter = 3;
    caller_.chat(call);
    keeper_->awaitBills(1);
    const wire::Bill bill = keeper_->bills()[0];
    EXPECT_GE(bill.completion_tokens(), 3U);
    EXPECT_LT(bill.completion_tokens(), 8000U);
    EXPECT_FALSE(bill.in_doubt());
}

// The service took the call and its answer is lost: the caller is told that it
// may have run. Its retry under the same key is told the same, and isn't sent.
TEST_F(RouterTest, CallWithALostAnswerIsNeverSentAgain)
{
    setFaults(service_.address(), {{"lose_answers", 1}});
    const PlainCall call = plainCall(uuidV7());
    for (int i = 0; i < 2; ++i) {
        const CallerAnswer answer = caller_.plain(call);
        EXPECT_EQ(answer.execution, "may_have_run");
        keeper_->awaitOutcomes(1);
    }
    const CallerAnswer next = caller_.plain(plainCall(uuidV7()));
    EXPECT_EQ(next.status, 200);
    EXPECT_EQ(nlohmann::json::parse(next.content).value("run", 0), 2);
}

// The same booking is sent twice, to two routers: it runs once, and the second
// caller gets the recorded answer of the first.
TEST_F(RouterTest, SameKeyAtTwoRoutersRunsOnce)
{
    PlainCall call = plainCall(uuidV7());
    const CallerAnswer first = caller_.plain(call);
    EXPECT_EQ(first.status, 200) << first.content;
    keeper_->awaitOutcomes(1);
    call.router = router2_->address();
    const CallerAnswer second = caller_.plain(call);
    EXPECT_EQ(second.status, 200);
    EXPECT_EQ(second.content, first.content);
    call.body = R"({"another": "body"})";
    EXPECT_EQ(caller_.plain(call).code, "body_mismatch");
}

// The keeper made a reservation, and its answer got lost: the caller is told that
// nothing ran. The router goes back for the reservation and ends it; else its tokens
// would be set aside for as long as the router lives.
TEST_F(RouterTest, ReservationWithALostAnswerIsEnded)
{
    keeper_->loseReserveAnswers(1);
    const CallerAnswer answer = caller_.chat(chatCall("r1"));
    EXPECT_EQ(answer.code, "keeper_unreachable");
    EXPECT_EQ(answer.execution, "not_run");
    EXPECT_EQ(keeper_->reservations(), 1U);
    EXPECT_TRUE(keeper_->awaitNothingOpen());
}

struct RunRow
{
    const char *name;
    int answersToLose;
    const char *key; ///< of the caller who asks
    int status;
    const char *state;
};

constexpr RunRow RunRows[] = {
        {"Ran", 0, Key, 200, "ran"},
        {"Pending", 1, Key, 200, "may_have_run"},
        {"AnotherWorkspaces", 0, "key-of-w2", 200, "unknown"},
        {"NoKey", 0, "", 401, ""},
};

class RunState : public RouterTest, public testing::WithParamInterface<RunRow>
{};

// A caller asks what became of its booking, and is told what is known of it, without
// running it. Of another workspace's key it learns nothing.
TEST_P(RunState, IsToldToItsWorkspaceAlone)
{
    const std::string key = uuidV7();
    setFaults(service_.address(), {{"lose_answers", GetParam().answersToLose}});
    caller_.plain(plainCall(key));
    keeper_->awaitOutcomes(1);
    httplib::Client client("http://" + router_->address());
    const httplib::Headers headers = {{"Authorization", std::string("Bearer ") + GetParam().key}};
    const httplib::Result result = client.Get("/v1/runs/" + key, headers);
    ASSERT_TRUE(result);
    EXPECT_EQ(result->status, GetParam().status);
    const nlohmann::json answer = nlohmann::json::parse(result->body);
    EXPECT_EQ(answer.value("state", ""), GetParam().state);
}

INSTANTIATE_TEST_SUITE_P(Askers, RunState, testing::ValuesIn(RunRows),
                         [](const auto &row) { return std::string(row.param.name); });

// A claim that the keeper made and whose answer got lost: nothing was sent, which
// the router knows for certain, so "not run" is true.
TEST_F(RouterTest, LostClaimAnswerSendsNothing)
{
    keeper_->loseClaimAnswers(true);
    const CallerAnswer answer = caller_.plain(plainCall(uuidV7()));
    EXPECT_EQ(answer.code, "keeper_unreachable");
    EXPECT_EQ(answer.execution, "not_run");
    keeper_->loseClaimAnswers(false);
    const CallerAnswer next = caller_.plain(plainCall(uuidV7()));
    EXPECT_EQ(nlohmann::json::parse(next.content).value("run", 0), 1);
}

// A planned stop comes while a stream is open: the stream ends whole, a new
// request is told that it wasn't run and when to come back.
TEST_F(RouterTest, DrainCutsNothingOff)
{
    setFaults(engine_.address(), {{"token_ms", 5}});
    CallerAnswer open;
    std::thread streaming([&] { open = caller_.chat(chatCall("r1", 60)); });
    httplib::Client client("http://" + router_->address());
    while (client.Get("/metrics")->body.find("sequoia_router_open_streams 1")
           == std::string::npos) {
        std::this_thread::yield();
    }
    std::thread draining([&] { router_->drain(); });
    while (client.Get("/readyz")->status != 503) {
        std::this_thread::yield();
    }
    const CallerAnswer refused = caller_.chat(chatCall("r2"));
    EXPECT_EQ(refused.code, "draining");
    EXPECT_EQ(refused.execution, "not_run");
    EXPECT_GT(refused.retryAfterMs, 0U);
    streaming.join();
    draining.join();
    EXPECT_TRUE(open.whole);
    EXPECT_EQ(keeper_->bills().size(), 1U);
}

/// A keeper on the router's own host, which holds all reservations, and one on another.
class TwoKeepers : public RouterTest
{
protected:
    TwoKeepers()
    {
        // The router asks the first choice for its view, and that is to be its own host's.
        const std::string router = log_.identity().incarnation.text();
        if (rendezvousWeight(router, own_->address())
            < rendezvousWeight(router, other_->address())) {
            std::swap(own_, other_);
        }
        own_->entry.set_host("h1");
        own_->entry.set_incarnation("incarnation-1");
        other_->entry.set_host("h3");
        other_->entry.set_incarnation("incarnation-2");
        other_->others = {own_->entry};
    }

    /// Chats through a router that has both as its seeds.
    CallerAnswer chat(const std::string &request)
    {
        if (!ownRouter_) {
            ownRouter_ = startRouter({own_->address(), other_->address()});
        }
        ChatCall call = chatCall(request);
        call.router = ownRouter_->address();
        return caller_.chat(call);
    }

    std::unique_ptr<FakeKeeper> own_ = std::make_unique<FakeKeeper>(config_);
    std::unique_ptr<FakeKeeper> other_ = std::make_unique<FakeKeeper>(config_);
    std::unique_ptr<Router> ownRouter_;
};

struct SecondKeeperRow
{
    const char *name;
    bool listed;
    bool draining;
};

constexpr SecondKeeperRow SecondKeeperRows[] = {
        {"Serving", true, false},
        {"Draining", true, true},
        {"NotHeardOfByTheFirst", false, false},
};

class SecondKeeper : public TwoKeepers, public testing::WithParamInterface<SecondKeeperRow>
{};

// The host is lost right after a whole answer: the bill is at a keeper on another host by then.
TEST_P(SecondKeeper, HasTheBillBeforeTheAnswerIsWhole)
{
    other_->entry.set_draining(GetParam().draining);
    if (GetParam().listed) {
        own_->others = {other_->entry};
    }
    EXPECT_TRUE(chat("r1").whole);
    EXPECT_EQ(other_->bills().size(), 1U);
    EXPECT_EQ(own_->reservations(), 1U);
}

INSTANTIATE_TEST_SUITE_P(Known, SecondKeeper, testing::ValuesIn(SecondKeeperRows),
                         [](const auto &row) { return std::string(row.param.name); });

// Each answer waits for a keeper that is gone: it is asked until it fails, and not again.
TEST_F(TwoKeepers, UnlistedOneThatFailsIsNotAskedAgain)
{
    other_->failSettles(true);
    EXPECT_TRUE(chat("r1").whole);
    EXPECT_TRUE(other_->sawSettleOf("r1"));
    EXPECT_TRUE(chat("r2").whole);
    EXPECT_FALSE(other_->sawSettleOf("r2"));
    own_->awaitBills(2);
}

// A workspace's tokens are set aside for as long as the router lives: the keeper that holds the
// reservation was missing from a view when the router came to end it.
TEST_F(TwoKeepers, ReservationAtOneThatAViewLacksIsEnded)
{
    constexpr Millis UntilNextTry{3000};
    // The other one is the workspace's home, and the router's own host is asked for its views.
    const std::string router = log_.identity().incarnation.text();
    const auto weighsMore = [&](const std::string &key) {
        return rendezvousWeight(key, other_->entry.host()) > rendezvousWeight(key, "h1");
    };
    for (int host = 3; !weighsMore("w1") || weighsMore(router); ++host) {
        other_->entry.set_host(fmt::format("h{}", host));
    }
    own_->others = {other_->entry};
    other_->failSettles(true);
    other_->loseReserveAnswers(1);
    EXPECT_TRUE(chat("r1").whole);
    EXPECT_EQ(other_->reservations(), 1U);
    ASSERT_TRUE(own_->show({}));
    // The router tries to end it while its view lacks the keeper.
    std::this_thread::sleep_for(UntilNextTry);
    other_->failSettles(false);
    ASSERT_TRUE(own_->show({other_->entry}));
    EXPECT_TRUE(other_->awaitNothingOpen());
}

} // namespace
