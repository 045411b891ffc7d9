#include "Endpoint.h"

#include <algorithm>
#include <chrono>
#include <thread>

#include <fmt/format.h>

#include "sequoiagate/Base/Rendezvous.h"

namespace sequoiagate::soak {

namespace {

constexpr std::chrono::milliseconds EventPause(10);
constexpr std::chrono::milliseconds PlainWork(5);
constexpr std::chrono::milliseconds UntilCrash(30);
constexpr std::chrono::milliseconds LateBy(2500); // past the silence that a sound route bears

/// How an answer is spoilt: the remainder of the request's hash by SpoiltOf.
enum Spoilt { Refused, CutOff, Late, Failed, Foreign, Kinds };
constexpr uint64_t SpoiltOf = 30;
constexpr int Sound = Kinds;

/// What a limited endpoint names, and how many requests it lets run. Streams aren't counted.
constexpr double RequestLimit = 3.0;
constexpr int RejectionLimit = 4;
constexpr int MaxOpen = 4;
constexpr std::chrono::seconds LimitSettling(3);
constexpr std::chrono::seconds LimitWindow(4);

/// What an endpoint asks a host for.
constexpr std::chrono::seconds Backoff(2);

/// Counts a request that runs.
class Occupied
{
public:
    explicit Occupied(std::atomic<int> &open) : open_(open) { ++open_; }
    ~Occupied() { --open_; }
    Occupied(const Occupied &) = delete;
    Occupied &operator=(const Occupied &) = delete;

private:
    std::atomic<int> &open_;
};

int spoiltKind(const std::string &id)
{
    const uint64_t remainder = stableHash(id) % SpoiltOf;
    return remainder < Kinds ? static_cast<int>(remainder) : Sound;
}

} // namespace

std::string plainBody(const std::string &request)
{
    constexpr uint64_t MostFiller = 2000;
    const std::string filler(stableHash(request) % MostFiller, 'x');
    return fmt::format("{} {} end", request, filler);
}

uint64_t streamLength(const std::string &request)
{
    constexpr uint64_t Least = 5;
    constexpr uint64_t Spread = 25;
    return Least + stableHash(request) % Spread;
}

std::string eventData(const std::string &request, uint64_t event)
{
    const bool last = event + 1 == streamLength(request);
    return fmt::format("{} {}", request, last ? "end" : "goes on");
}

Endpoint::Endpoint(const std::string &ip, std::string id, std::string version, Record &record,
                   std::size_t workers)
    : record_(record), id_(std::move(id)), version_(std::move(version)), http_(ip, 0, workers)
{
    http_.server().Post(".*",
                        [this](const auto &request, auto &response) { serve(request, response); });
    http_.start();
}

std::string Endpoint::id()
{
    const std::lock_guard lock(mutex_);
    return id_;
}

std::string Endpoint::version()
{
    const std::lock_guard lock(mutex_);
    return version_;
}

void Endpoint::restart(const std::string &id, const std::string &version)
{
    const std::lock_guard lock(mutex_);
    id_ = id;
    version_ = version;
    saysLeaving_ = false;
    coldArrivals_.clear();
    if (isColdAfterStart_) {
        coldUntil_ = std::chrono::steady_clock::now() + ColdTime;
    }
}

void Endpoint::countWhileCold()
{
    const std::lock_guard lock(mutex_);
    const Instant now = std::chrono::steady_clock::now();
    if (now >= coldUntil_) {
        return;
    }
    constexpr double Tolerance = 1.5;
    constexpr double Extra = 5.0;
    coldArrivals_.push_back(now);
    noteExcess(coldArrivals_, std::chrono::seconds(1), Tolerance * ColdPerSecond + Extra,
               "requests in 1 s while it was cold");
}

bool Endpoint::applyNotices(const std::string &request, httplib::Response &response)
{
    const bool asksForBackoff = asksForBackoff_;
    const bool saysLeaving = saysLeaving_;
    if (asksForBackoff) {
        response.set_header("Retry-After", std::to_string(Backoff.count()));
    }
    if (saysLeaving) {
        response.set_header("Server-Leaving", "1");
    }
    record_.add(Arrival{request, id(), std::chrono::steady_clock::now(),
                        asksForBackoff ? Backoff : Interval::zero(), saysLeaving});
    return asksForBackoff;
}

void Endpoint::limitRequests(bool limits)
{
    const std::lock_guard lock(mutex_);
    requestsLimitedAt_ = limits ? std::chrono::steady_clock::now() : Never;
    arrivals_.clear();
}

void Endpoint::limitRejections(bool limits)
{
    const std::lock_guard lock(mutex_);
    rejectionsLimitedAt_ = limits ? std::chrono::steady_clock::now() : Never;
    rejections_.clear();
}

void Endpoint::noteExcess(const std::vector<Instant> &times, std::chrono::seconds window,
                          double allowed, const char *what)
{
    const Instant from = times.back() - window;
    const auto count = std::count_if(times.begin(), times.end(),
                                     [from](Instant time) { return time >= from; });
    if (static_cast<double>(count) > allowed) {
        const std::lock_guard lock(record_.mutex);
        record_.excesses.push_back(
                fmt::format("{} got {} {}, allowed {:.1f}", id_, count, what, allowed));
    }
}

bool Endpoint::applyLimits(httplib::Response &response)
{
    const std::lock_guard lock(mutex_);
    const Instant now = std::chrono::steady_clock::now();
    if (requestsLimitedAt_ != Never) {
        response.set_header("Server-Limit", fmt::format("{}", RequestLimit));
        arrivals_.push_back(now);
        // Only what came after the hosts had time to learn the limit.
        std::erase_if(arrivals_,
                      [this](Instant time) { return time < requestsLimitedAt_ + LimitSettling; });
        constexpr double Tolerance = 1.5;
        constexpr double Extra = 5.0;
        if (!arrivals_.empty()) {
            noteExcess(arrivals_, LimitWindow,
                       Tolerance * RequestLimit * static_cast<double>(LimitWindow.count()) + Extra,
                       "requests in 4 s");
        }
    }
    if (rejectionsLimitedAt_ == Never) {
        return false;
    }
    response.set_header("Server-Brittle", std::to_string(RejectionLimit));
    if (open_ < MaxOpen) {
        return false;
    }
    if (now >= rejectionsLimitedAt_ + LimitSettling) {
        rejections_.push_back(now);
        noteExcess(rejections_, std::chrono::seconds(1), RejectionLimit, "rejections in 1 s");
    }
    return true;
}

std::size_t Endpoint::begin(const httplib::Request &request, bool spoilt)
{
    const std::lock_guard lock(record_.mutex);
    record_.runs.push_back({request.get_header_value("Request-Id"),
                            request.get_header_value("Tenant"),
                            request.get_header_value("Expect-Instance"), 0, spoilt,
                            std::chrono::steady_clock::now()});
    return record_.runs.size() - 1;
}

void Endpoint::noteEvent(std::size_t run)
{
    const std::lock_guard lock(record_.mutex);
    ++record_.runs[run].events;
}

void Endpoint::serve(const httplib::Request &request, httplib::Response &response)
{
    const std::string id = request.get_header_value("Request-Id");
    record_.addReceived(id);
    const int spoilt = spoils_ ? spoiltKind(id) : Sound;
    response.set_header("Request-Id", spoilt == Foreign ? "another" : id);
    if (request.get_header_value("Expect-Instance") != this->id()) {
        response.status = 421;
        return;
    }
    countWhileCold();
    const bool backsOff = applyNotices(id, response);
    if (applyLimits(response) || backsOff || spoilt == Refused) {
        response.status = 503;
        response.set_header("Not-Executed", "1");
        return;
    }
    const std::size_t run = begin(request, spoilt != Sound);
    const Occupied occupied(open_);
    const std::string prompt = request.get_header_value("Prompt-Prefix");
    if (onCrash && prompt.find(fmt::format(",{}:", CrashingPart)) != std::string::npos) {
        std::this_thread::sleep_for(UntilCrash);
        onCrash();
        return;
    }
    if (spoilt == Failed) {
        response.status = 500;
        return;
    }
    if (spoilt == Late) {
        std::this_thread::sleep_for(LateBy);
    }
    response.set_header("Response-Stamp", "stamp-" + id);
    const bool streams =
            request.path.rfind("/chat/", 0) == 0 || request.path.rfind("/talk/", 0) == 0;
    if (!streams) {
        servePlain(id, run, spoilt, response);
        return;
    }
    const std::string behind = request.get_header_value("Last-Event-Id");
    const std::string stream =
            request.has_header("Resumes") ? request.get_header_value("Resumes") : id;
    serveStream(stream, behind.empty() ? 0 : std::stoull(behind) + 1, run, spoilt, response);
}

void Endpoint::servePlain(const std::string &id, std::size_t, int spoilt,
                          httplib::Response &response)
{
    std::this_thread::sleep_for(taking(PlainWork));
    const std::string body = plainBody(id);
    if (spoilt != CutOff) {
        response.set_content(body, "text/plain");
        return;
    }
    response.set_content_provider(body.size(), "text/plain",
                                  [body](std::size_t, std::size_t, httplib::DataSink &sink) {
                                      sink.write(body.data(), body.size() / 2);
                                      return false;
                                  });
}

void Endpoint::serveStream(const std::string &stream, uint64_t first, std::size_t run, int spoilt,
                           httplib::Response &response)
{
    const uint64_t length = streamLength(stream);
    const std::string version = this->version();
    const uint64_t cutAt = spoilt == CutOff ? first + 2 : length;
    response.set_chunked_content_provider(
            "text/event-stream", [this, stream, version, first, length, cutAt,
                                  run](std::size_t, httplib::DataSink &sink) {
                for (uint64_t i = first; i < length; ++i) {
                    const std::string event = fmt::format("id: {}\ndata: {}\ndata: {}\n\n", i,
                                                          eventData(stream, i), version);
                    const bool cut = i >= cutAt;
                    if (!sink.write(event.data(), cut ? event.size() / 2 : event.size()) || cut) {
                        return false;
                    }
                    noteEvent(run);
                    std::this_thread::sleep_for(taking(EventPause));
                }
                sink.done();
                return true;
            });
}

} // namespace sequoiagate::soak
