#include "Checks.h"

#include <algorithm>
#include <set>
#include <unordered_map>

#include <fmt/format.h>

#include "NoticeChecks.h"

namespace sequoiagate::soak {

namespace {

/// A disturbance's effects last a little: a connection that it reset is found so later.
constexpr Interval Aftermath = std::chrono::seconds(3);

/// Events that a cut stream may have had on the way; they are counted as delivered.
constexpr uint64_t OverrunEvents = 8;

using Findings = std::vector<std::string>;

/// The record, with the runs of each request at hand.
struct View
{
    explicit View(const Record &of) : record(of)
    {
        for (const Run &run : of.runs) {
            runs[run.id].push_back(&run);
        }
    }

    const std::vector<const Run *> &runsOf(const std::string &id) const
    {
        static const std::vector<const Run *> None;
        const auto found = runs.find(id);
        return found == runs.end() ? None : found->second;
    }

    const Record &record;
    std::unordered_map<std::string, std::vector<const Run *>> runs;
};

bool runsOnce(const Attempt &attempt)
{
    return attempt.route == "once" || attempt.route == "chat";
}

bool reaches(const Disturbance &disturbance, const Attempt &attempt)
{
    const bool here =
            disturbance.host == Disturbance::AllHosts || disturbance.host == attempt.sentTo.host;
    return here && disturbance.from <= attempt.endedAt
           && attempt.sentAt <= disturbance.until + Aftermath;
}

bool closedFromOutside(const Record &record, const Attempt &attempt)
{
    return std::any_of(record.unplanned.begin(), record.unplanned.end(),
                       [&attempt](const Disturbance &disturbance) {
                           return disturbance.closesCallers && reaches(disturbance, attempt);
                       });
}

void checkOwnAnswers(const View &view, Findings &findings)
{
    for (const Attempt &attempt : view.record.attempts) {
        if (!attempt.wrong.empty()) {
            findings.push_back(fmt::format("own whole answer: {} ({}) got {}", attempt.id,
                                           attempt.route, attempt.wrong));
        }
        if (attempt.whole && view.runsOf(attempt.id).empty()) {
            findings.push_back(
                    fmt::format("own whole answer: {} was answered and never ran", attempt.id));
        }
    }
}

void checkAtMostOnce(const View &view, Findings &findings)
{
    for (const Attempt &attempt : view.record.attempts) {
        const std::size_t runs = view.runsOf(attempt.id).size();
        if (runsOnce(attempt) && runs > 1) {
            findings.push_back(fmt::format("at most once: {} ({}) ran {} times", attempt.id,
                                           attempt.route, runs));
        }
    }
}

void checkNotRun(const View &view, Findings &findings)
{
    for (const Attempt &attempt : view.record.attempts) {
        const bool promised = attempt.notRun || attempt.status == 429 || attempt.status == 503;
        if (promised && !view.runsOf(attempt.id).empty()) {
            findings.push_back(fmt::format("not run is true: {} ({}) was told {} and ran",
                                           attempt.id, attempt.route, attempt.status));
        }
    }
}

void checkWorkspaces(const View &view, Findings &findings)
{
    for (const Attempt &attempt : view.record.attempts) {
        for (const Run *run : view.runsOf(attempt.id)) {
            if (run->workspace != attempt.workspace) {
                findings.push_back(fmt::format("own workspace: {} of {} ran for {}", attempt.id,
                                               attempt.workspace, run->workspace));
            }
        }
    }
}

/// Tokens that callers were served, and the most that may be billed, by workspace.
struct Usage
{
    std::map<std::string, uint64_t> served;
    std::map<std::string, uint64_t> most;
};

Usage usageOf(const View &view)
{
    Usage usage;
    for (const Attempt &attempt : view.record.attempts) {
        const std::vector<const Run *> &runs = view.runsOf(attempt.id);
        if (attempt.promptTokens == 0 || runs.empty()) {
            continue;
        }
        uint64_t written = 0;
        for (const Run *run : runs) {
            written += run->events + OverrunEvents;
        }
        const uint64_t events = attempt.events - attempt.resumedAt;
        usage.served[attempt.workspace] += attempt.promptTokens + events * TokensPerEvent;
        usage.most[attempt.workspace] += attempt.promptTokens + written * TokensPerEvent;
    }
    return usage;
}

void checkSpend(const View &view, Findings &findings)
{
    const Usage usage = usageOf(view);
    for (const auto &[workspace, served] : usage.served) {
        const auto prepaid = view.record.prepaid.find(workspace);
        if (prepaid != view.record.prepaid.end() && served > prepaid->second) {
            findings.push_back(fmt::format("spend within the budget: {} was served {} of {}",
                                           workspace, served, prepaid->second));
        }
        const auto allotted = view.record.allotted.find(workspace);
        if (allotted == view.record.allotted.end()) {
            continue;
        }
        if (allotted->second < served) {
            findings.push_back(fmt::format("billed once: {} was served {}, and {} is accounted for",
                                           workspace, served, allotted->second));
        }
        if (view.record.exact && allotted->second > usage.most.at(workspace)) {
            findings.push_back(fmt::format("billed once: {} used {} at most, and {} is taken",
                                           workspace, usage.most.at(workspace), allotted->second));
        }
    }
}

/// Whether the process had acted on \p published when the request was sent to it.
bool knew(const Published &published, const Attempt &attempt)
{
    const auto acted = published.actedOn.find(attempt.sentTo);
    return acted != published.actedOn.end() && attempt.sentAt > acted->second;
}

void checkLeaving(const View &view, Findings &findings)
{
    std::map<std::string, const Published *> leaving;
    for (const Published &published : view.record.published) {
        if (!published.leaving.empty()) {
            leaving[published.leaving] = &published;
        }
    }
    for (const Attempt &attempt : view.record.attempts) {
        for (const Run *run : view.runsOf(attempt.id)) {
            const auto left = leaving.find(run->endpoint);
            if (left != leaving.end() && knew(*left->second, attempt)) {
                findings.push_back(
                        fmt::format("a leaving endpoint gets no new work: {} ran {}, which host {} "
                                    "got after it knew",
                                    run->endpoint, attempt.id, attempt.sentTo.host));
            }
        }
    }
}

/// Each version has a route and a key of its own and keeps those of the version before.
bool allowedBy(uint64_t version, uint64_t probe)
{
    return probe <= version && probe + 1 >= version;
}

void checkConfiguration(const View &view, Findings &findings)
{
    for (const Attempt &attempt : view.record.attempts) {
        // A refusal for now follows no configuration, as long as it is true.
        const bool refusedForNow =
                attempt.status == 503 && attempt.notRun && view.runsOf(attempt.id).empty();
        if (attempt.probes == 0 || attempt.status == 0 || refusedForNow) {
            continue;
        }
        uint64_t known = 0;
        uint64_t newest = 0; // that the host may have had before it answered
        for (const Published &published : view.record.published) {
            known = std::max(known, knew(published, attempt) ? published.version : 0);
            newest = std::max(newest, published.at <= attempt.endedAt ? published.version : 0);
        }
        if (known == 0) {
            continue;
        }
        const bool denied = attempt.status == 401 || attempt.status == 404;
        const bool older = attempt.probes + 1 < known;
        const bool allowed = allowedBy(known, attempt.probes) && allowedBy(newest, attempt.probes);
        const bool wrong = denied ? allowed : older;
        if (wrong) {
            findings.push_back(fmt::format(
                    "a configuration in force stays: {} for version {} got {} at host "
                    "{}, which had version {}",
                    attempt.id, attempt.probes, attempt.status, attempt.sentTo.host, known));
        }
    }
}

void checkCutOff(const View &view, Findings &findings)
{
    for (const Attempt &attempt : view.record.attempts) {
        const std::vector<const Run *> &runs = view.runsOf(attempt.id);
        const bool sound =
                std::none_of(runs.begin(), runs.end(), [](const Run *run) { return run->spoilt; });
        const bool cut = !attempt.whole && !attempt.leftByCaller
                         && (attempt.status == 0 || attempt.status == 200);
        if (cut && !runs.empty() && sound && undisturbed(view.record, attempt)) {
            findings.push_back(fmt::format("nothing is cut off: {} ({}) ran, and host {} closed",
                                           attempt.id, attempt.route, attempt.sentTo.host));
        }
    }
}

/// Unlike a cut-off, this is excused by no failure that leaves the process and its callers'
/// connections up.
void checkAnswered(const View &view, Findings &findings)
{
    for (const Attempt &attempt : view.record.attempts) {
        const bool closed = attempt.status == 0 && !attempt.answerBegan && !attempt.leftByCaller;
        const bool received = view.record.received.count(attempt.id) > 0;
        if (closed && received && !closedFromOutside(view.record, attempt)) {
            findings.push_back(fmt::format("nothing is closed unanswered: {} ({}) reached an "
                                           "endpoint, and host {} closed",
                                           attempt.id, attempt.route, attempt.sentTo.host));
        }
    }
}

void checkVersions(const View &view, Findings &findings)
{
    std::map<std::string, std::set<std::string>> versions;
    for (const Attempt &attempt : view.record.attempts) {
        std::set<std::string> &seen = versions[attempt.stream];
        const std::size_t before = seen.size();
        seen.insert(attempt.versions.begin(), attempt.versions.end());
        if (seen.size() > 1 && seen.size() > before) {
            findings.push_back(fmt::format("a stream keeps its version: {} of {} holds events of "
                                           "{} versions",
                                           attempt.id, attempt.stream, seen.size()));
        }
    }
}

void checkLimits(const View &view, Findings &findings)
{
    for (const std::string &excess : view.record.excesses) {
        findings.push_back("limits of endpoints hold: " + excess);
    }
}

/// Whether the process that got the request was up and undisturbed for long enough to know what all
/// hosts know, crashes of endpoints aside.
bool isInTouch(const Record &record, const Attempt &attempt)
{
    const bool isDisturbed = std::any_of(record.unplanned.begin(), record.unplanned.end(),
                                         [&attempt](const Disturbance &disturbance) {
                                             return disturbance.what != Disturbance::EndpointCrash
                                                    && reaches(disturbance, attempt);
                                         });
    const bool isNew = std::any_of(
            record.played.begin(), record.played.end(), [&attempt](const PlayedStep &step) {
                return step.what == "stop" && step.target == attempt.sentTo.host
                       && step.at <= attempt.endedAt && attempt.sentAt <= step.doneAt + Aftermath;
            });
    return !isDisturbed && !isNew;
}

void checkCrashingPart(const View &view, Findings &findings)
{
    constexpr std::size_t Learnt = 5;
    constexpr int MaxLate = 3;
    std::vector<Instant> crashes = view.record.partCrashes;
    std::sort(crashes.begin(), crashes.end());
    int late = 0;
    for (const Attempt &attempt : view.record.attempts) {
        if (!attempt.crashesEndpoints) {
            if (attempt.reason == "prompt_quarantined") {
                findings.push_back("sound prompts are let through: " + attempt.id + " wasn't");
            }
            continue;
        }
        for (const Run *run : view.runsOf(attempt.id)) {
            const bool isLate =
                    crashes.size() >= Learnt && run->at > crashes[Learnt - 1] + Aftermath;
            late += isLate && isInTouch(view.record, attempt) ? 1 : 0;
        }
    }
    if (late > MaxLate) {
        findings.push_back(fmt::format("a crashing part is quarantined: {} requests with it ran "
                                       "later than 3 s after the fifth of {} crashes",
                                       late, crashes.size()));
    }
}

void checkStops(const View &view, Findings &findings)
{
    for (const StopOf &stop : view.record.stops) {
        if (stop.exitCode != 0) {
            findings.push_back(fmt::format("a planned stop: host {} ended with {}",
                                           stop.process.host, stop.exitCode));
        }
    }
    for (const std::string &host : view.record.unserved) {
        findings.push_back(fmt::format("served again after the faults: not by {}", host));
    }
}

using Check = void (*)(const View &, Findings &);

constexpr Check AllChecks[] = {
        checkOwnAnswers, checkAtMostOnce,    checkNotRun,      checkWorkspaces, checkSpend,
        checkLeaving,    checkConfiguration, checkCutOff,      checkAnswered,   checkStops,
        checkLimits,     checkVersions,      checkCrashingPart};

} // namespace

bool undisturbed(const Record &record, const Attempt &attempt)
{
    return std::none_of(
            record.unplanned.begin(), record.unplanned.end(),
            [&attempt](const Disturbance &disturbance) { return reaches(disturbance, attempt); });
}

std::vector<std::string> brokenPromises(const Record &record)
{
    const View view(record);
    Findings findings;
    for (const Check check : AllChecks) {
        check(view, findings);
    }
    checkBackoffs(record, findings);
    checkLeavingByAnswer(record, findings);
    checkEvacuations(record, findings);
    checkCallersThatLeft(record, findings);
    return findings;
}

} // namespace sequoiagate::soak
