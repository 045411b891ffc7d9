/// The edge as a process of its own, before stand-ins of the platform's store and of
/// endpoints.

#include <csignal>
#include <fcntl.h>
#include <sys/inotify.h>
#include <sys/stat.h>
#include <unistd.h>

#include <filesystem>
#include <memory>
#include <system_error>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "EdgeProcess.h"
#include "sequoiagate/Operate/TokenAccount.h"
#include "unittests/Support/TreePaths.h"

using namespace sequoiagate;

namespace {

/// Tells whether any process has opened a file of a folder since the construction.
class OpenedFiles
{
public:
    explicit OpenedFiles(const std::string &folder) : descriptor_(inotify_init1(IN_NONBLOCK))
    {
        if (descriptor_ < 0 || inotify_add_watch(descriptor_, folder.c_str(), IN_OPEN) < 0) {
            throw std::system_error(errno, std::generic_category(), folder);
        }
    }
    ~OpenedFiles() { ::close(descriptor_); }
    OpenedFiles(const OpenedFiles &) = delete;
    OpenedFiles &operator=(const OpenedFiles &) = delete;

    bool any() const
    {
        alignas(inotify_event) char buffer[4096];
        const ssize_t size = ::read(descriptor_, buffer, sizeof buffer);
        for (ssize_t at = 0; at < size;) {
            const auto *event = reinterpret_cast<const inotify_event *>(buffer + at);
            // An event without a name is of the folder itself.
            if (event->len > 0) {
                return true;
            }
            at += static_cast<ssize_t>(sizeof *event);
        }
        return false;
    }

private:
    int descriptor_;
};

TEST_F(EdgeProcess, ServesAndRefuses)
{
    const auto edge = start(1, "edge");
    ASSERT_TRUE(eventually([] { return status(post(1, "r1", 100)) == 200; }));
    EXPECT_EQ(post(1, "r2", 100)->body, "e-1 ran /once/a");
    EXPECT_EQ(status(post(1, "r3", 100, "other")), 401);
    EXPECT_EQ(status(post(1, "r4", 1'000'000)), 402);
    httplib::Client metrics(ip(1), MetricsPort);
    const auto page = metrics.Get("/metrics");
    ASSERT_TRUE(page);
    EXPECT_NE(page->body.find("proxy_requests_total{outcome=\"answered\"}"), std::string::npos);
    httplib::Client ready(ip(1), ReadyPort);
    EXPECT_EQ(ready.Get("/-/ready")->status, 200);
}

// A booking that is in progress is lost when its host is stopped as planned. It ends whole,
// the balancer is told first, and the tokens that nobody used can be had by others.
TEST_F(EdgeProcess, PlannedStopCutsNothingOff)
{
    const auto edge = start(1, "edge");
    ASSERT_TRUE(eventually([] { return status(post(1, "r1", 100)) == 200; }));
    HeldRequest held(endpoint_, "r2");
    edge->signal(SIGTERM);
    edge->waitFor("process.draining");
    httplib::Client ready(ip(1), ReadyPort);
    EXPECT_EQ(ready.Get("/-/ready")->status, 503);
    held.release();
    EXPECT_EQ(held.answer(), 200);
    EXPECT_EQ(edge->wait(), 0);
    EXPECT_EQ(edge->waitFor("process.stopped").at("cut_off"), 0);
    EXPECT_EQ(allotted(), 200U);
}

struct EarlySignalRow
{
    const char *name;
    int signal;
    const char *event; ///< the process answers the signal with it
};

constexpr EarlySignalRow EarlySignalRows[] = {
        {"Terminate", SIGTERM, "process.stopped"},
        {"Interrupt", SIGINT, "process.stopped"},
        {"HangUp", SIGHUP, "process.reloaded"},
};

class EarlySignal : public EdgeProcess, public testing::WithParamInterface<EarlySignalRow>
{};

// A stop or a reload that comes while the process starts ends it at once, without a stop.
TEST_P(EarlySignal, WaitsForItsHandler)
{
    const std::string pipe = scratch_.path("settings");
    ASSERT_EQ(::mkfifo(pipe.c_str(), 0600), 0);
    Process edge(scratch_, "sequoia-edge", "edge", SettingsPath{pipe});
    int descriptor = -1;
    // It opens when the process reads its settings.
    ASSERT_TRUE(eventually([&] {
        descriptor = ::open(pipe.c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC);
        return descriptor >= 0;
    }));
    edge.signal(GetParam().signal);
    const std::string text = settings(1).dump();
    // What is read again on a reload is a plain file.
    scratch_.write("settings", text);
    std::signal(SIGPIPE, SIG_IGN);
    EXPECT_EQ(::write(descriptor, text.data(), text.size()), static_cast<ssize_t>(text.size()));
    ::close(descriptor);
    edge.waitFor(GetParam().event);
    if (GetParam().signal == SIGHUP) {
        edge.signal(SIGTERM);
    }
    EXPECT_EQ(edge.wait(), 0);
}

INSTANTIATE_TEST_SUITE_P(Signals, EarlySignal, testing::ValuesIn(EarlySignalRows),
                         [](const auto &row) { return std::string(row.param.name); });

// A request that outlasts the grace of a stop ends with a closed connection and no answer.
TEST_F(EdgeProcess, RequestThatOutlastsTheGraceOfAStopIsTold)
{
    nlohmann::json brief = settings(1);
    brief["stop_grace_ms"] = 1000;
    Process edge(scratch_, "sequoia-edge", "edge", brief);
    ASSERT_TRUE(eventually([] { return status(post(1, "r1", 100)) == 200; }));
    HeldRequest held(endpoint_, "r2");
    edge.signal(SIGTERM);
    EXPECT_EQ(held.answer(), 502);
    EXPECT_EQ(edge.wait(), 0);
    EXPECT_EQ(edge.waitFor("process.stopped").at("cut_off"), 1);
}

// A workspace is refused though nobody spent its tokens: they went with a killed process.
TEST_F(EdgeProcess, NextProcessGivesBackWhatAKilledOneDidntUse)
{
    const auto witness = start(2, "witness");
    auto edge = start(1, "first");
    ASSERT_TRUE(eventually([] { return status(post(1, "r1", 100)) == 200; }));
    EXPECT_TRUE(eventually([this] { return allotted() > 0; }));
    ASSERT_TRUE(eventually([this] { return batchesThatNamePeers() == 2; }));
    edge->kill();
    edge = start(1, "second");
    const nlohmann::json line = edge->waitFor("ledger.predecessor");
    EXPECT_GE(line.at("silent_ms").get<int64_t>(), 0);
}

// Nobody can say where a workspace's tokens went: a process is killed, and the logs don't add up.
TEST_F(EdgeProcess, AccountOfTokensAddsUpAfterAKill)
{
    const auto witness = start(2, "witness");
    auto edge = start(1, "first");
    ASSERT_TRUE(eventually([] { return status(post(1, "r1", 100)) == 200; }));
    ASSERT_TRUE(eventually([this] { return batchesThatNamePeers() == 2; }));
    edge->kill();
    const std::string first = edge->logPath();
    edge = start(1, "second");
    edge->waitFor("tokens.given_up");
    EXPECT_TRUE(eventually([&] {
        TokenAccount account;
        for (const AccountEvent &event :
             readAccountEvents({first, edge->logPath(), witness->logPath()})) {
            account.take(event);
        }
        const std::vector<WorkspaceAccount> all = account.workspaces();
        return all.size() == 1 && all.front().missing() == 0 && all.front().totalCharged() > 0
               && !all.front().givenUp.empty();
    }));
}

// A workspace gets more than it prepaid: a process that died alone is sealed by clocks of its own.
TEST_F(EdgeProcess, NextProcessGivesNothingBackWithoutAPeerThatLivedOn)
{
    auto edge = start(1, "first");
    ASSERT_TRUE(eventually([] { return status(post(1, "r1", 100)) == 200; }));
    edge->kill();
    edge = start(1, "second");
    const nlohmann::json line = edge->waitFor("ledger.predecessor");
    EXPECT_EQ(line.at("silent_ms"), -1);
    EXPECT_EQ(line.at("sealed"), false);
}

// A caller is told that its budget is spent, and gives up: an open request ends with less than it
// may have used.
TEST_F(EdgeProcess, BudgetWhoseTokensMayComeBackIsRefusedForNow)
{
    const auto edge = start(1, "edge");
    ASSERT_TRUE(eventually([] { return status(post(1, "r1", 10)) == 200; }));
    endpoint_.hold(true);
    const int before = endpoint_.runs();
    httplib::Client leaving(ip(1), CallerPort);
    std::thread caller([&leaving] { postForAnswer(leaving, "r2", 99'000); });
    EXPECT_TRUE(eventually([this, before] { return endpoint_.runs() == before + 1; }));
    const httplib::Result refused = postForAnswer(1, "r3", 50'000);
    EXPECT_EQ(status(refused), 503);
    EXPECT_EQ(status(post(1, "r4", 1'000'000)), 402);
    leaving.stop();
    caller.join();
    endpoint_.hold(false);
    EXPECT_TRUE(eventually([] { return status(postForAnswer(1, "r5", 50'000)) == 200; }));
}

// A caller gets 401 for a key that was just added: this host can't read the configuration.
TEST_F(EdgeProcess, ConfigurationThatCantBeReadIsntRefusedByTheOneBefore)
{
    const auto edge = start(1, "edge");
    ASSERT_TRUE(eventually([] { return status(post(1, "r1", 10)) == 200; }));
    ASSERT_EQ(status(post(1, "r2", 10, "added")), 401);
    store_.put("keyed.op", "config", R"({"version":2,"routes":"new"})");
    edge->waitFor("config.malformed");
    EXPECT_EQ(status(post(1, "r3", 10, "added")), 503);
    EXPECT_EQ(status(post(1, "r4", 10)), 200);
    store_.put("keyed.op", "config", configRow(3, 100'000));
    EXPECT_TRUE(eventually([] { return status(post(1, "r5", 10, "added")) == 401; }));
}

// Callers stay away from a configured route: its last endpoint's entry lapsed for a moment.
TEST_F(EdgeProcess, ServiceWhoseLastEndpointIsDelistedIsRefusedForNow)
{
    const auto edge = start(1, "edge");
    ASSERT_TRUE(eventually([] { return status(post(1, "r1", 10)) == 200; }));
    store_.put("keyed.servers", endpoint_.id(), "");
    edge->waitFor("service.unserved");
    const httplib::Result refused = post(1, "r2", 10);
    EXPECT_EQ(status(refused), 503);
    EXPECT_TRUE(refused->has_header("Retry-After"));
    list(endpoint_, "ready");
    EXPECT_TRUE(eventually([] { return status(post(1, "r3", 10)) == 200; }));
}

TEST_F(EdgeProcess, ServesOnWhileTheStoreIsAway)
{
    const auto edge = start(1, "edge");
    ASSERT_TRUE(eventually([] { return status(post(1, "r1", 100)) == 200; }));
    store_.setFault(StoreFault::Silent);
    edge->waitFor("store.lost");
    EXPECT_EQ(status(post(1, "r2", 100)), 200);
    store_.setFault(StoreFault::None);
    edge->waitFor("store.reachable");
}

// Every answer of the store to a write is lost. What was written is read back, so claims go
// on without an answer, and a batch that is written again counts once.
TEST_F(EdgeProcess, LostAnswersOfTheStoreHoldUpNothingAndClaimNothingTwice)
{
    store_.setFault(StoreFault::LoseAnswers);
    const auto edge = start(1, "edge");
    ASSERT_TRUE(eventually([] { return status(post(1, "r1", 100)) == 200; }));
    ASSERT_TRUE(eventually([] { return status(post(1, "r2", 30'000)) == 200; }));
    EXPECT_LE(allotted(), 100'000U);
    store_.setFault(StoreFault::None);
    EXPECT_TRUE(eventually([] { return status(post(1, "r3", 100)) == 200; }));
    EXPECT_LE(allotted(), 100'000U);
}

TEST_F(EdgeProcess, NewerConfigurationIsTakenAndAnOlderOneIsnt)
{
    const auto edge = start(1, "edge");
    store_.put("keyed.op", "config", configRow(5, 100'000));
    edge->waitFor("config.in_force", [](const auto &line) { return line.at("version") == 5; });
    store_.put("keyed.op", "config", configRow(3, 1));
    store_.put("keyed.op", "config", "{broken");
    edge->waitFor("config.malformed");
    EXPECT_TRUE(eventually([] { return status(post(1, "r1", 100)) == 200; }));
}

TEST_F(EdgeProcess, ConfigurationOfAForgetfulStoreIsReadWhole)
{
    const auto edge = start(1, "edge");
    store_.setFault(StoreFault::Silent);
    edge->waitFor("store.lost");
    store_.put("keyed.op", "config", configRow(8, 100'000));
    store_.forget("keyed.op");
    store_.setFault(StoreFault::None);
    edge->waitFor("config.in_force", [](const auto &line) { return line.at("version") == 8; });
}

TEST_F(EdgeProcess, LeavingEndpointGetsNothingNew)
{
    EndpointStandin other(ip(202), "e-2");
    list(other, "ready");
    const auto edge = start(1, "edge");
    ASSERT_TRUE(eventually([] { return status(post(1, "r1", 10)) == 200; }));
    list(endpoint_, "draining");
    edge->waitFor("endpoint.changed");
    const int runs = endpoint_.runs();
    for (int i = 0; i < 20; ++i) {
        EXPECT_EQ(status(post(1, fmt::format("r{}", i + 2), 10)), 200);
    }
    EXPECT_EQ(endpoint_.runs(), runs);
}

// A request is refused though the next host has tokens to spare and the store is away.
TEST_F(EdgeProcess, HostsHelpEachOtherWhileTheStoreIsAway)
{
    const auto first = start(1, "first");
    const auto second = start(2, "second");
    ASSERT_TRUE(eventually([] { return status(post(1, "r1", 5'000)) == 200; }));
    ASSERT_TRUE(eventually([] { return status(post(2, "r2", 5'000)) == 200; }));
    // The second request may be served by tokens of the first host: one must have some left.
    ASSERT_TRUE(eventually([&] { return canAnyUse({first.get(), second.get()}, 9'000); }));
    ASSERT_TRUE(eventually([this] { return batchesThatNamePeers() == 2; }));
    store_.setFault(StoreFault::Silent);
    first->waitFor("store.lost");
    second->waitFor("store.lost");
    EXPECT_TRUE(eventually([] { return status(post(1, "r3", 9'000)) == 200; }));
    store_.setFault(StoreFault::None);
}

// A program that was moved doesn't start: it reads its state charts from the source tree.
TEST_F(EdgeProcess, CopiedProgramStartsWithoutFilesOfTheSourceTree)
{
    const std::string program = scratch_.path("sequoia-edge");
    std::filesystem::copy_file(buildFolder() / "bin/sequoia-edge", program);
    // The schemas aren't watched, since other tests read them.
    const OpenedFiles opened((sourceFolder() / "share/statecharts").string());
    const Process edge(scratch_, program, "edge", settings(1));
    edge.waitFor("config.in_force");
    EXPECT_FALSE(opened.any());
}

// Settings change while callers are connected. Good ones are in force; bad ones change nothing
// and end nothing.
TEST_F(EdgeProcess, ReloadsGoodSettingsAndKeepsTheOldOnesElse)
{
    const auto edge = start(1, "edge");
    nlohmann::json changed = settings(1);
    changed["retry_ratio"] = 0.1;
    scratch_.write("edge.json", changed.dump());
    edge->signal(SIGHUP);
    edge->waitFor("process.reloaded");
    scratch_.write("edge.json", "{broken");
    edge->signal(SIGHUP);
    edge->waitFor("process.not_reloaded");
    EXPECT_TRUE(eventually([] { return status(post(1, "r1", 100)) == 200; }));
}

// A deployment gives its bounds in seconds, also in parts of them, and the template makes
// milliseconds of them by an exponent. The process must start with either.
TEST_F(EdgeProcess, StartsWithFractionsOfASecond)
{
    nlohmann::json text = settings(1);
    text["stop_grace_ms"] = "GRACE";
    std::string file = text.dump();
    file.replace(file.find("\"GRACE\""), std::string("\"GRACE\"").size(), "7.5e3");
    const std::string path = scratch_.write("fractions.json", file);
    const ProgramResult result =
            runProgram(scratch_, "sequoia-edge", {"--settings", path, "--check-settings"});
    EXPECT_EQ(result.exitCode, 0) << result.err;
}

/// Fails if a line of \p event for \p request isn't there, or lacks a field.
void expectLine(const Process &edge, const std::string &event, const std::string &request,
                const std::vector<std::string> &fields)
{
    const auto isOfRequest = [&request](const nlohmann::json &line) {
        return line.value("request", "") == request;
    };
    const nlohmann::json line = edge.waitFor(event, isOfRequest);
    for (const std::string &field : fields) {
        EXPECT_TRUE(line.contains(field)) << event << " lacks " << field;
    }
}

// The three walks of docs/OPERATIONS.md: each line that they name is written, with what it is
// read for.
TEST_F(EdgeProcess, RefusalForTokensCanBeTracedByItsId)
{
    const auto edge = start(1, "edge");
    ASSERT_TRUE(eventually([] { return status(post(1, "r1", 100)) == 200; }));
    store_.setFault(StoreFault::Silent);
    edge->waitFor("ledger.lost");
    EXPECT_EQ(status(post(1, "r2", 90'000)), 503);
    expectLine(*edge, "request.refused", "r2",
               {"workspace", "reason", "detail", "execution", "come_back_ms"});
    expectLine(*edge, "request.ended", "r2", {"outcome", "status", "took_ms", "workspace"});
    const nlohmann::json lost = edge->waitFor("ledger.lost");
    EXPECT_TRUE(lost.contains("outcome") && lost.contains("hlc"));
    const nlohmann::json state = edge->waitFor("tokens.state");
    for (const char *field : {"workspace", "prepaid", "owned", "usable", "reserved", "spent",
                              "unallotted", "current"}) {
        EXPECT_TRUE(state.contains(field)) << field;
    }
    store_.setFault(StoreFault::None);
}

TEST_F(EdgeProcess, BrokenStreamCanBeTracedByItsId)
{
    const auto edge = start(1, "edge");
    ASSERT_TRUE(eventually([] { return status(post(1, "r1", 100)) == 200; }));
    httplib::Client client(ip(1), CallerPort);
    const httplib::Headers headers = {
            {"Host", "h.example"},    {"Request-Id", "r2"}, {"Authorization", "Token key"},
            {"Deadline-Ms", "20000"}, {"X-Events", "3"},    {"X-Break", "1"}};
    client.Post("/stream/a", headers, "body", "text/plain");
    expectLine(*edge, "request.sent", "r2", {"endpoint", "why", "attempt", "left_ms", "config"});
    expectLine(*edge, "request.failed", "r2", {"reason", "detail", "execution"});
    expectLine(*edge, "request.ended", "r2", {"outcome", "events", "tokens", "attempts"});
}

TEST_F(EdgeProcess, CallThatMayHaveRunCanBeTracedByItsId)
{
    const auto edge = start(1, "edge");
    ASSERT_TRUE(eventually([] { return status(post(1, "r1", 100)) == 200; }));
    endpoint_.hold(true);
    httplib::Client client(ip(1), CallerPort);
    const httplib::Headers headers = {{"Host", "h.example"},
                                      {"Request-Id", "r2"},
                                      {"Authorization", "Token key"},
                                      {"Deadline-Ms", "300"}};
    EXPECT_EQ(status(client.Post("/once/a", headers, "body", "text/plain")), 504);
    endpoint_.hold(false);
    expectLine(*edge, "request.failed", "r2", {"reason", "detail", "execution"});
    const std::vector<nlohmann::json> lines = edge->lines();
    const auto sendings = std::count_if(lines.begin(), lines.end(), [](const auto &line) {
        return line.value("event", "") == "request.sent" && line.value("request", "") == "r2";
    });
    EXPECT_EQ(sendings, 1);
}

struct BadSettings
{
    const char *name;
    const char *key;
    nlohmann::json value;
};

class EdgeBadSettings : public EdgeProcess, public testing::WithParamInterface<BadSettings>
{};

const BadSettings BadSettingsRows[] = {{"UnknownKey", "hots", "h"},
                                       {"WrongType", "stop_grace_ms", "8000"},
                                       {"OutOfRange", "retry_ratio", 7},
                                       {"AddressWithoutPort", "listen", "127.0.0.1"},
                                       {"PortOutOfRange", "store", "127.0.0.1:99999"}};

TEST_P(EdgeBadSettings, StopTheStartWithOneLine)
{
    nlohmann::json bad = settings(1);
    bad[GetParam().key] = GetParam().value;
    const std::string file = scratch_.write("bad.json", bad.dump());
    const ProgramResult result = runProgram(scratch_, "sequoia-edge", {"--settings", file});
    EXPECT_EQ(result.exitCode, 2);
    EXPECT_NE(result.err.find(GetParam().key), std::string::npos) << result.err;
    EXPECT_EQ(std::count(result.err.begin(), result.err.end(), '\n'), 1) << result.err;
}

INSTANTIATE_TEST_SUITE_P(Rows, EdgeBadSettings, testing::ValuesIn(BadSettingsRows),
                         [](const auto &row) { return std::string(row.param.name); });

} // namespace
