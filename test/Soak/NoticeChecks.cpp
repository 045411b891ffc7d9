#include "NoticeChecks.h"

#include <algorithm>
#include <map>

#include <fmt/format.h>

#include "Checks.h"

namespace sequoiagate::soak {

namespace {

/// From when on after an answer a backoff must hold, and how many requests may reach the endpoint.
constexpr Interval BackoffSettling = std::chrono::milliseconds(500);
constexpr std::ptrdiff_t MaxInBackoff = 2;

/// After it nothing more that its callers sent may reach an endpoint that says that it is leaving.
constexpr Interval LeavingSettling = std::chrono::seconds(2);

/// After its caller left a request may still be on its way for so long; a few may be later.
constexpr Interval MaxDelay = std::chrono::milliseconds(500);
constexpr std::size_t MaxLate = 3;

/// An arrival at an endpoint, with the attempt of the caller that led to it.
struct Sent
{
    const Arrival *arrival;
    const Attempt *attempt;
};

/// The arrivals by endpoint and by the process that the caller had sent its request to, in the
/// order of time.
std::map<std::pair<std::string, ProcessOf>, std::vector<Sent>> byProcess(const Record &record)
{
    std::map<std::string, const Attempt *> attempts;
    for (const Attempt &attempt : record.attempts) {
        attempts[attempt.id] = &attempt;
    }
    std::map<std::pair<std::string, ProcessOf>, std::vector<Sent>> sorted;
    for (const Arrival &arrival : record.arrivals) {
        const auto attempt = attempts.find(arrival.request);
        if (attempt != attempts.end()) {
            sorted[{arrival.endpoint, attempt->second->sentTo}].push_back(
                    {&arrival, attempt->second});
        }
    }
    for (auto &[key, sent] : sorted) {
        std::sort(sent.begin(), sent.end(),
                  [](const Sent &a, const Sent &b) { return a.arrival->at < b.arrival->at; });
    }
    return sorted;
}

/// What keeps an endpoint's answer from a host, or a host from acting on it. All else, such as a
/// silent store, excuses nothing.
bool keepsFromActing(const Disturbance &disturbance, int host)
{
    const std::string &what = disturbance.what;
    const bool isOfLinks = what.rfind("endpoint", 0) == 0 || what.rfind("links", 0) == 0;
    const bool isOfProcess = what == "kill" || what == "pause" || what == "power lost";
    return (isOfLinks || isOfProcess)
           && (disturbance.host == host || disturbance.host == Disturbance::AllHosts);
}

/// Whether a failure may have kept the answer from its host, or the host from acting.
bool isExcused(const Record &record, const Sent &sent, Instant until)
{
    const int host = sent.attempt->sentTo.host;
    const Instant end = std::max(sent.attempt->endedAt, until);
    return sent.attempt->status == 0
           || std::any_of(record.unplanned.begin(), record.unplanned.end(),
                          [&](const Disturbance &disturbance) {
                              return keepsFromActing(disturbance, host) && disturbance.from <= end
                                     && sent.attempt->sentAt <= disturbance.until;
                          });
}

} // namespace

void checkBackoffs(const Record &record, std::vector<std::string> &findings)
{
    for (const auto &[key, sent] : byProcess(record)) {
        for (const Sent &asked : sent) {
            if (asked.arrival->backoff == Interval::zero()) {
                continue;
            }
            const Instant from = asked.arrival->at + BackoffSettling;
            const Instant until = asked.arrival->at + asked.arrival->backoff;
            const auto count = std::count_if(sent.begin(), sent.end(), [&](const Sent &later) {
                return later.arrival->at > from && later.arrival->at < until;
            });
            if (count > MaxInBackoff && !isExcused(record, asked, until)) {
                findings.push_back(
                        fmt::format("a backoff holds: {} got {} requests of host {} in one",
                                    key.first, count, key.second.host));
                break;
            }
        }
    }
}

void checkLeavingByAnswer(const Record &record, std::vector<std::string> &findings)
{
    for (const auto &[key, sent] : byProcess(record)) {
        Instant toldAt = Never;
        for (const Sent &one : sent) {
            if (toldAt != Never && one.attempt->sentAt > toldAt + LeavingSettling) {
                findings.push_back(
                        fmt::format("a leaving endpoint gets no new work: {} got {} of host "
                                    "{}, which it had told",
                                    key.first, one.attempt->id, key.second.host));
                break;
            }
            const bool isTold =
                    one.arrival->saidLeaving && !isExcused(record, one, one.attempt->endedAt);
            if (isTold) {
                toldAt = std::min(toldAt, one.attempt->endedAt);
            }
        }
    }
}

void checkEvacuations(const Record &record, std::vector<std::string> &findings)
{
    std::map<std::string, const Attempt *> attempts;
    for (const Attempt &attempt : record.attempts) {
        attempts[attempt.id] = &attempt;
    }
    for (const Run &run : record.runs) {
        const auto attempt = attempts.find(run.id);
        const auto domain = record.domains.find(run.endpoint);
        if (attempt == attempts.end() || domain == record.domains.end()) {
            continue;
        }
        for (const Evacuation &evacuation : record.evacuations) {
            const auto acted = evacuation.actedOn.find(attempt->second->sentTo);
            if (evacuation.domain == domain->second && acted != evacuation.actedOn.end()
                && attempt->second->sentAt > acted->second && run.at < evacuation.until) {
                findings.push_back(fmt::format("an evacuated endpoint gets no new work: {} of {} "
                                               "ran {}, which host {} got after it knew",
                                               run.endpoint, domain->second, run.id,
                                               attempt->second->sentTo.host));
            }
        }
    }
}

void checkCallersThatLeft(const Record &record, std::vector<std::string> &findings)
{
    std::map<std::string, const Attempt *> left;
    for (const Attempt &attempt : record.attempts) {
        if (attempt.leftByCaller && undisturbed(record, attempt)) {
            left[attempt.id] = &attempt;
        }
    }
    std::vector<std::string> late;
    for (const Run &run : record.runs) {
        const auto attempt = left.find(run.id);
        if (attempt != left.end() && run.at > attempt->second->endedAt + MaxDelay) {
            late.push_back(run.id);
        }
    }
    if (late.size() > MaxLate) {
        findings.push_back(fmt::format("nothing is sent on for callers that left: {} requests, the "
                                       "first {}",
                                       late.size(), late.front()));
    }
}

} // namespace sequoiagate::soak
