#include "Callers.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "Endpoint.h"
#include "sequoiagate/Base/Rendezvous.h"

namespace sequoiagate::soak {

namespace {

constexpr std::chrono::seconds ConnectWithin(1);
constexpr std::chrono::seconds Patience(4);
/// Longer than its patience: what the system says at the deadline is waited for.
constexpr std::chrono::seconds ReadWithin(6);
constexpr std::chrono::milliseconds Pause(15);
constexpr std::chrono::milliseconds SlowRead(60); // for each part of an answer
constexpr uint64_t HangsUpAfter = 3;              // events

/// What one caller sends, by chance of a hundred.
struct Share
{
    int below;
    const char *route;
    const char *workspace;
};
constexpr Share Shares[] = {{20, "once", "large"}, {35, "read", "large"}, {55, "chat", "large"},
                            {65, "talk", "large"}, {80, "chat", "small"}, {100, "probe", "large"}};

/// A prompt whose first two parts are shared by others. A short one has none to share.
std::string promptOf(const Attempt &attempt)
{
    constexpr uint64_t Least = 8;
    constexpr uint64_t SharedParts = 6;
    const uint64_t tokens = attempt.promptTokens;
    if (tokens < Least) {
        return fmt::format("a1:{}", tokens);
    }
    const uint64_t hash = stableHash(attempt.id);
    const std::string second =
            attempt.crashesEndpoints ? CrashingPart : fmt::format("b{}", hash % SharedParts);
    return fmt::format("a1:{},{}:{},{:x}:{}", tokens / 2, second, tokens / 4, hash,
                       tokens - tokens / 2 - tokens / 4);
}

bool streams(const std::string &route)
{
    return route == "chat" || route == "talk";
}

} // namespace

Caller::Caller(const FleetView &fleet, Record &record, std::string name)
    : fleet_(fleet), record_(record), name_(std::move(name))
{}

httplib::Client &Caller::client(int host)
{
    std::unique_ptr<httplib::Client> &client = clients_[host];
    if (!client) {
        client = std::make_unique<httplib::Client>("http://" + fleet_.address(host));
        client->set_keep_alive(true);
        client->set_tcp_nodelay(true);
        client->set_connection_timeout(ConnectWithin);
        client->set_read_timeout(ReadWithin);
    }
    return *client;
}

httplib::Request Caller::request(const Attempt &attempt) const
{
    httplib::Request request;
    request.method = "POST";
    const bool probe = attempt.probes > 0;
    request.path = probe ? fmt::format("/v{}/a", attempt.probes) : "/" + attempt.route + "/a";
    const std::string key =
            probe ? fmt::format("key-{}", attempt.probes) : "key-" + attempt.workspace;
    const auto patience = std::chrono::duration_cast<std::chrono::milliseconds>(Patience);
    request.headers = {{"Host", "h.example"},
                       {"Request-Id", attempt.id},
                       {"Authorization", "Token " + key},
                       {"Deadline-Ms", std::to_string(patience.count())},
                       {"Content-Type", "text/plain"}};
    if (attempt.promptTokens > 0) {
        request.headers.emplace("Token-Count",
                                fmt::format("{},{}", attempt.promptTokens,
                                            streamLength(attempt.stream) * TokensPerEvent));
        request.headers.emplace("Prompt-Prefix", promptOf(attempt));
    }
    if (attempt.resumedAt > 0) {
        request.headers.emplace("Last-Event-Id", std::to_string(attempt.resumedAt - 1));
        request.headers.emplace("Resumes", attempt.stream);
    }
    request.body = "body";
    return request;
}

bool Caller::send(const std::string &route, int host, const std::string &workspace, uint64_t probes,
                  bool hangsUp, uint64_t promptTokens)
{
    Attempt attempt;
    attempt.id = fmt::format("{}-{}", name_, ++sent_);
    attempt.route = route;
    attempt.workspace = workspace;
    attempt.probes = probes;
    attempt.promptTokens = streams(route) ? promptTokens : 0;
    attempt.stream = attempt.id;
    perform(std::move(attempt), host, hangsUp);
    return last_.whole;
}

void Caller::sendCrashing(int host)
{
    Attempt attempt;
    attempt.id = fmt::format("{}-{}", name_, ++sent_);
    attempt.route = sent_ % 2 == 0 ? "chat" : "talk";
    attempt.workspace = "large";
    attempt.promptTokens = UsualPrompt;
    attempt.stream = attempt.id;
    attempt.crashesEndpoints = true;
    perform(std::move(attempt), host, false);
}

void Caller::takeUp(int host)
{
    const bool isBroken =
            last_.route == "talk" && last_.events > 0 && !last_.whole && !last_.leftByCaller;
    if (!isBroken || !last_.wrong.empty()) {
        return;
    }
    Attempt attempt;
    attempt.id = fmt::format("{}-{}", name_, ++sent_);
    attempt.route = last_.route;
    attempt.workspace = last_.workspace;
    attempt.promptTokens = last_.promptTokens;
    attempt.stream = last_.stream;
    attempt.resumedAt = last_.events;
    attempt.events = last_.events;
    perform(std::move(attempt), host, false);
}

void Caller::perform(Attempt attempt, int host, bool hangsUp)
{
    attempt.sentTo = {host, fleet_.incarnation(host)};
    std::string body;
    httplib::Request request = this->request(attempt);
    request.response_handler = [&attempt](const httplib::Response &) {
        attempt.answerBegan = true;
        return true;
    };
    constexpr uint64_t SlowReaders = 5; // one request of so many
    const bool readsSlowly = fleet_.hasSlowReaders && stableHash(attempt.id) % SlowReaders == 0;
    request.content_receiver = [&body, hangsUp, readsSlowly](const char *bytes, std::size_t size,
                                                             uint64_t, uint64_t) {
        body.append(bytes, size);
        if (readsSlowly) {
            std::this_thread::sleep_for(SlowRead);
        }
        const std::string enough = fmt::format("id: {}\n", HangsUpAfter);
        return !hangsUp || body.find(enough) == std::string::npos;
    };
    attempt.sentAt = std::chrono::steady_clock::now();
    const httplib::Result result = client(host).send(request);
    attempt.endedAt = std::chrono::steady_clock::now();
    judge(attempt, result, body);
    last_ = attempt;
    record_.add(std::move(attempt));
}

void Caller::judge(Attempt &attempt, const httplib::Result &result, const std::string &body) const
{
    const bool timedOut = !result && attempt.endedAt - attempt.sentAt >= ReadWithin;
    const bool hungUp = !result && result.error() == httplib::Error::Canceled;
    attempt.leftByCaller = timedOut || hungUp;
    attempt.status = result ? result->status : 0;
    attempt.error = result ? std::string() : httplib::to_string(result.error());
    if (streams(attempt.route) && (!result || result->status == 200)) {
        judgeStream(attempt, static_cast<bool>(result), body);
        return;
    }
    if (!result) {
        return;
    }
    if (result->status == 200) {
        attempt.whole = body == plainBody(attempt.id);
        if (!attempt.whole) {
            attempt.wrong = "a body that isn't its own whole one: " + body.substr(0, 60);
        } else if (result->get_header_value("Response-Stamp") != "stamp-" + attempt.id) {
            attempt.wrong = "another answer's stamp";
        }
        return;
    }
    const nlohmann::json refusal = nlohmann::json::parse(body, nullptr, false);
    attempt.notRun = refusal.is_object() && refusal.value("execution", "") == "not_run";
    attempt.reason = refusal.is_object() ? refusal.value("reason", "") : "";
}

void Caller::judgeStream(Attempt &attempt, bool ended, const std::string &body) const
{
    std::size_t at = 0;
    for (;;) {
        const std::size_t end = body.find("\n\n", at);
        if (end == std::string::npos) {
            break;
        }
        const std::string event = body.substr(at, end - at);
        const std::string expected = fmt::format("id: {}\ndata: {}\ndata: v", attempt.events,
                                                 eventData(attempt.stream, attempt.events));
        if (event.rfind(expected, 0) != 0) {
            attempt.wrong = fmt::format("\"{}\" in place of event {}", event, attempt.events);
            return;
        }
        attempt.versions.insert(event.substr(event.rfind(' ') + 1));
        ++attempt.events;
        at = end + 2;
    }
    const bool all = attempt.events == streamLength(attempt.stream);
    attempt.whole = ended && all;
    if (ended && !all) {
        attempt.wrong =
                fmt::format("a stream of {} events that ended as if it were whole", attempt.events);
    }
}

Callers::Callers(const FleetView &fleet, Record &record, int count, uint64_t seed,
                 std::chrono::milliseconds idleLimit)
    : fleet_(fleet), record_(record)
{
    if (fleet.hasCrashingPart) {
        threads_.emplace_back([this, seed] { runCrashing(seed); });
    }
    for (int i = 0; i < count; ++i) {
        threads_.emplace_back([this, i, seed] { run(i, seed); });
        if (idleLimit > std::chrono::milliseconds::zero()) {
            threads_.emplace_back([this, i, seed, idleLimit] { runIdle(i, seed, idleLimit); });
        }
    }
}

Callers::~Callers()
{
    stop();
}

void Callers::stop()
{
    stopping_ = true;
    for (std::thread &thread : threads_) {
        thread.join();
    }
    threads_.clear();
}

void Callers::run(int number, uint64_t seed)
{
    constexpr int Hundred = 100;
    constexpr int HangUpPercent = 8;
    constexpr int TakeUps = 2;
    constexpr uint64_t OldestProbe = 3; // versions back: the key and the route are gone then
    std::mt19937_64 random(seed * 1000 + static_cast<uint64_t>(number));
    std::mt19937_64 hosts(seed); // that are asked to go on; apart from the requests' choices
    Caller caller(fleet_, record_, fmt::format("c{}", number));
    while (!stopping_) {
        const int chance = static_cast<int>(random() % Hundred);
        const Share *share = std::begin(Shares);
        while (chance >= share->below) {
            ++share;
        }
        const int host = static_cast<int>(random() % static_cast<uint64_t>(fleet_.hosts));
        const std::string route = share->route;
        const bool probe = route == "probe";
        const uint64_t newest = fleet_.newestVersion();
        const uint64_t back = random() % (OldestProbe + 1);
        const uint64_t version = probe ? newest - std::min(newest - 1, back) : 0;
        const bool hangsUp = static_cast<int>(random() % Hundred) < HangUpPercent;
        caller.send(route, host, share->workspace, version, hangsUp && streams(route));
        for (int take = 0; take < TakeUps; ++take) {
            caller.takeUp(static_cast<int>(hosts() % static_cast<uint64_t>(fleet_.hosts)));
        }
        std::this_thread::sleep_for(Pause);
    }
}

void Callers::runCrashing(uint64_t seed)
{
    constexpr std::chrono::milliseconds Between(250);
    std::mt19937_64 random(~seed);
    Caller caller(fleet_, record_, "x");
    while (!stopping_) {
        caller.sendCrashing(static_cast<int>(random() % static_cast<uint64_t>(fleet_.hosts)));
        std::this_thread::sleep_for(Between);
    }
}

void Callers::runIdle(int number, uint64_t seed, std::chrono::milliseconds idleLimit)
{
    constexpr std::chrono::milliseconds Spread(20);
    std::mt19937_64 random(~seed * 1000 + static_cast<uint64_t>(number));
    Caller caller(fleet_, record_, fmt::format("i{}", number));
    const int host = number % fleet_.hosts;
    while (!stopping_) {
        caller.send(random() % 2 == 0 ? "once" : "read", host, "large");
        // All wake within the spread of common moments, some just before their connection's limit
        // and some just behind it.
        const auto now = std::chrono::steady_clock::now() + Spread;
        const Instant next =
                now - now.time_since_epoch() % (idleLimit + Spread) + idleLimit + Spread;
        std::this_thread::sleep_until(next - std::chrono::milliseconds(random() % Spread.count()));
    }
}

} // namespace sequoiagate::soak
