#include "Endpoints.h"

#include <algorithm>

#include <fmt/format.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

namespace sequoiagate {

static constexpr Millis ProbeTimeout{300};
static constexpr Millis InquiryTimeout{1000};
static constexpr Millis LongestIdle{500};

static httplib::Client connect(const std::string &address, Millis timeout)
{
    httplib::Client client("http://" + address);
    client.set_keep_alive(false);
    client.set_connection_timeout(timeout);
    client.set_read_timeout(timeout);
    client.set_write_timeout(timeout);
    return client;
}

// ---- load reports ----

EndpointProber::EndpointProber(Keeper &keeper, Interval period)
    : keeper_(keeper), period_(period), worker_([this] { return step(); })
{}

Interval EndpointProber::step()
{
    const Instant nextAt = std::chrono::steady_clock::now() + period_;
    const auto homed = keeper_.run([](KeeperCore &core, Instant, WallTime) {
        std::vector<wire::EndpointChange> endpoints;
        for (const wire::EndpointChange &endpoint : core.config().endpoints()) {
            if (core.view().chosen(endpoint.endpoint(), DomainId(endpoint.domain()))) {
                endpoints.push_back(endpoint);
            }
        }
        return endpoints;
    });
    for (const wire::EndpointChange &endpoint : homed) {
        probe(endpoint);
    }
    return std::max(Interval::zero(), nextAt - std::chrono::steady_clock::now());
}

void EndpointProber::probe(const wire::EndpointChange &endpoint)
{
    wire::EndpointObservation observation;
    observation.set_endpoint(endpoint.endpoint());
    observation.set_leaving(endpoint.leaving());
    httplib::Client client = connect(endpoint.address(), ProbeTimeout);
    const httplib::Result result = client.Get("/v1/load");
    nlohmann::json report;
    if (result && result->status == 200) {
        report = nlohmann::json::parse(result->body, nullptr, false);
    }
    if (report.is_object()) {
        observation.set_reachable(true);
        observation.set_leaving(endpoint.leaving() || report.value("leaving", false));
        observation.set_running(report.value("running", 0U));
        observation.set_waiting(report.value("waiting", 0U));
        observation.set_kv_used(report.value("kv_used", 0.0));
    }
    keeper_.run([&](KeeperCore &core, Instant, WallTime wall) {
        // Another host may become home to the endpoint: its newer look must replace this
        // one, so that the serial can't be a count of this process.
        const auto micros =
                std::chrono::duration_cast<std::chrono::microseconds>(wall.time_since_epoch());
        observation.set_observed_wall_us(micros.count());
        observation.set_serial(static_cast<uint64_t>(micros.count()));
        core.onObservation(observation);
    });
}

// ---- streams of routers that are gone ----

StreamInquirer::StreamInquirer(Keeper &keeper) : keeper_(keeper), worker_([this] { return step(); })
{}

/// What an engine says of a stream after it was cancelled.
static std::optional<StreamUsage> cancelStream(const std::string &address,
                                               const std::string &stream)
{
    httplib::Client client = connect(address, InquiryTimeout);
    const std::string path = fmt::format("/v1/streams/{}", stream);
    // Cancel first: its answer is the state after which nothing more is generated.
    const httplib::Result result = client.Delete(path.c_str());
    if (!result || result->status != 200) {
        return std::nullopt;
    }
    const nlohmann::json status = nlohmann::json::parse(result->body, nullptr, false);
    if (!status.is_object() || !status.contains("generated")) {
        return std::nullopt;
    }
    StreamUsage usage;
    usage.generated = status.value("generated", uint64_t{0});
    if (status.contains("prompt_tokens")) {
        usage.promptTokens = status.value("prompt_tokens", uint64_t{0});
    }
    return usage;
}

/// The streams that an engine has of a request; nullopt: it couldn't say.
static std::optional<std::vector<std::string>> streamsOf(const std::string &address,
                                                         const RequestKey &key)
{
    httplib::Client client = connect(address, InquiryTimeout);
    const std::string path = httplib::append_query_params(
            "/v1/streams", {{"request", key.request.text()}, {"workspace", key.workspace.text()}});
    const httplib::Result result = client.Get(path.c_str());
    if (!result || result->status != 200) {
        return std::nullopt;
    }
    const nlohmann::json answer = nlohmann::json::parse(result->body, nullptr, false);
    if (!answer.is_object() || !answer.contains("streams")) {
        return std::nullopt;
    }
    std::vector<std::string> streams;
    for (const nlohmann::json &stream : answer["streams"]) {
        streams.push_back(stream.value("stream_id", ""));
    }
    return streams;
}

/// Looks for the request at every endpoint that could have got it.
static StreamAnswer searchEngines(const StreamInquiry &inquiry)
{
    StreamAnswer answer;
    answer.unknownEverywhere = true;
    StreamUsage sum;
    sum.promptTokens = 0;
    bool found = false;
    for (const std::string &address : inquiry.candidates) {
        const auto streams = streamsOf(address, inquiry.key);
        if (!streams) {
            answer.unknownEverywhere = false;
            continue;
        }
        for (const std::string &stream : *streams) {
            const std::optional<StreamUsage> usage = cancelStream(address, stream);
            found = true;
            answer.unknownEverywhere = false;
            if (!usage) {
                return answer;
            }
            sum.generated += usage->generated;
            if (sum.promptTokens && usage->promptTokens) {
                *sum.promptTokens += *usage->promptTokens;
            } else {
                sum.promptTokens = std::nullopt;
            }
        }
    }
    if (found) {
        answer.usage = sum;
    }
    return answer;
}

namespace {
enum class RouterState {
    Alive,
    Gone,
    Unknown,
};
} // namespace

/// What the router's own address says. A paused process still accepts connections, by its
/// kernel, and a host that is cut off answers nothing: only a refusal says that the process
/// is gone. One that answers is well, and silent only because nothing made it call: its
/// streams must be left alone.
static RouterState stateOfRouter(const StreamInquiry &inquiry)
{
    if (inquiry.routerSuperseded) {
        return RouterState::Gone;
    }
    if (inquiry.routerAddress.empty()) {
        return RouterState::Unknown;
    }
    httplib::Client client = connect(inquiry.routerAddress, ProbeTimeout);
    const Instant before = std::chrono::steady_clock::now();
    const httplib::Result result = client.Get("/healthz");
    if (result) {
        return RouterState::Alive;
    }
    const bool atOnce = std::chrono::steady_clock::now() - before < ProbeTimeout;
    return result.error() == httplib::Error::Connection && atOnce ? RouterState::Gone
                                                                  : RouterState::Unknown;
}

static void askEngine(const StreamInquiry &inquiry, StreamAnswer &answer)
{
    if (!inquiry.endpointAddress.empty() && !inquiry.engineStream.empty()) {
        answer.usage = cancelStream(inquiry.endpointAddress, inquiry.engineStream);
        return;
    }
    const StreamAnswer found = searchEngines(inquiry);
    answer.usage = found.usage;
    answer.unknownEverywhere = found.unknownEverywhere;
}

Interval StreamInquirer::step()
{
    uint64_t seen = 0;
    const std::optional<StreamInquiry> inquiry =
            keeper_.run([&](KeeperCore &core, Instant now, WallTime) {
                seen = core.work(WorkKind::Inquire);
                return core.takeInquiry(now);
            });
    if (!inquiry) {
        keeper_.waitForWork(WorkKind::Inquire, seen,
                            std::chrono::steady_clock::now() + LongestIdle);
        return Interval::zero();
    }
    StreamAnswer answer;
    // Asked before the engine: a router that dies in between is only thought paused, and
    // one that is gone can't send the request once more.
    const RouterState router = stateOfRouter(*inquiry);
    answer.routerGone = router == RouterState::Gone;
    answer.routerAlive = router == RouterState::Alive && !inquiry->routerGaveUp;
    if (!answer.routerAlive) {
        askEngine(*inquiry, answer);
    }
    keeper_.run([&](KeeperCore &core, Instant now, WallTime wall) {
        core.onStreamAnswer(*inquiry, answer, now, wall);
    });
    return Interval::zero();
}

} // namespace sequoiagate
