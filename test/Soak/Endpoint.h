#ifndef TEST_SOAK_ENDPOINT_H
#define TEST_SOAK_ENDPOINT_H

/// An endpoint that notes each request that it runs, and now and then spoils an answer.

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

#include "Record.h"
#include "sequoiagate/Standins/HttpStandin.h"

namespace sequoiagate::soak {

/// The body of the answer to a plain request.
std::string plainBody(const std::string &request);
/// The part of prompts that crashes endpoints, as prompts name it.
constexpr const char *CrashingPart = "bad";
/// How long an endpoint is cold, and the requests per second that it then bears.
constexpr std::chrono::seconds ColdTime(2);
constexpr double ColdPerSecond = 6.0;
/// Events of the answer to a streamed request, and the data of each.
uint64_t streamLength(const std::string &request);
std::string eventData(const std::string &request, uint64_t event);

/// Thread safe.
class Endpoint
{
public:
    Endpoint(const std::string &ip, std::string id, std::string version, Record &record,
             std::size_t workers);

    const std::string &address() const { return http_.address(); }
    std::string id();
    std::string version();
    /// It was started anew: requests for the id that it had are refused.
    void restart(const std::string &id, const std::string &version);
    /// Called from a thread of its own when a request with the part that crashes endpoints has
    /// begun to run; the request isn't answered before it returns. Set before any request arrives.
    std::function<void()> onCrash;

    /// One answer in six is refused, cut in the middle, late, a failure or another request's.
    void setSpoils(bool spoils) { spoils_ = spoils; }
    /// Names a limit of requests per second from now on, and notes requests beyond it.
    void limitRequests(bool limits);
    /// Lets it be cold for ColdTime after each start under another id, and note what it gets then
    /// beyond what it bears. Set before any request arrives.
    void setColdAfterStart(bool isCold) { isColdAfterStart_ = isCold; }
    /// Sets what its work takes in percent of the usual. Set before any request arrives.
    void setSlowness(int percent) { slownessPercent_ = percent; }
    /// Rejects requests beyond a few at a time from now on, names the rejections that it bears, and
    /// notes when there are more.
    void limitRejections(bool limits);

    /// Rejects all requests and asks each host for some time without any.
    void askForBackoff(bool asks) { asksForBackoff_ = asks; }
    /// Says in all answers that it is leaving, until it is started anew.
    void sayLeaving() { saysLeaving_ = true; }

private:
    /// Adds what the endpoint says of itself. \returns whether it rejects the request
    bool applyNotices(const std::string &request, httplib::Response &response);
    /// Counts a request against what a cold endpoint bears.
    void countWhileCold();
    /// Counts a request against the limits. \returns whether it is rejected
    bool applyLimits(httplib::Response &response);
    void noteExcess(const std::vector<Instant> &times, std::chrono::seconds window, double allowed,
                    const char *what);
    void serve(const httplib::Request &request, httplib::Response &response);
    void servePlain(const std::string &id, std::size_t run, int spoilt,
                    httplib::Response &response);
    void serveStream(const std::string &stream, uint64_t first, std::size_t run, int spoilt,
                     httplib::Response &response);
    /// How long work takes here that usually takes \p usual.
    std::chrono::milliseconds taking(std::chrono::milliseconds usual) const
    {
        return usual * slownessPercent_ / 100;
    }
    std::size_t begin(const httplib::Request &request, bool spoilt);
    void noteEvent(std::size_t run);

    Record &record_;
    std::mutex mutex_;
    std::string id_;
    std::string version_;
    std::atomic<bool> spoils_{false};
    std::atomic<bool> asksForBackoff_{false};
    std::atomic<bool> saysLeaving_{false};
    std::atomic<int> open_{0};
    Instant requestsLimitedAt_ = Never;
    Instant rejectionsLimitedAt_ = Never;
    int slownessPercent_ = 100;
    bool isColdAfterStart_ = false;
    Instant coldUntil_{};
    std::vector<Instant> coldArrivals_;
    std::vector<Instant> arrivals_;   ///< while requests are limited
    std::vector<Instant> rejections_; ///< while rejections are
    HttpStandin http_;
};

} // namespace sequoiagate::soak

#endif
