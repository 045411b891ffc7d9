#include "sequoiagate/Decisions/CrashingParts.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "sequoiagate/Base/Rendezvous.h"

namespace sequoiagate {

namespace {

/// How long connections that are lost at an ended endpoint belong to its end.
constexpr Interval EndedMemory = std::chrono::seconds(2);

/// The growth of quarantines, as a power of two.
constexpr uint32_t QuarantineGrowthBits = 2;
constexpr uint32_t MaxGrowthSteps = 4;

} // namespace

PartKey partKey(const ServiceId &service, uint64_t part)
{
    return stableHash(std::to_string(part), stableHash(service.text()));
}

CrashingParts::CrashingParts(CrashingPartsSettings settings)
    : settings_(std::move(settings)), placement_(settings_.domain)
{}

void CrashingParts::onAnswerWritten(const ServiceId &service, const std::vector<uint64_t> &parts,
                                    Instant now)
{
    const uint64_t serviceKey = stableHash(service.text());
    serviceServed_[serviceKey] = now;
    outcomes_[serviceKey].onWritten(now);
    if (served_.size() >= MaxServedParts) {
        servedBefore_ = std::exchange(served_, {});
    }
    for (const uint64_t part : parts) {
        const PartKey key = partKey(service, part);
        served_[key] = now;
        const auto suspect = suspects_.find(key);
        if (suspect != suspects_.end()) {
            clear(suspect->second, now);
        }
    }
}

std::optional<Instant> CrashingParts::servedAt(PartKey part) const
{
    for (const auto *generation : {&served_, &servedBefore_}) {
        const auto found = generation->find(part);
        if (found != generation->end()) {
            return found->second;
        }
    }
    return std::nullopt;
}

bool CrashingParts::onConnectionLost(const ServiceId &service, const EndpointProcess &process,
                                     const std::vector<uint64_t> &parts, Instant sentAt,
                                     Instant now)
{
    if (parts.empty()) {
        return false;
    }
    const std::size_t age = ageClass(now - sentAt);
    Loss lost{stableHash(service.text()), {}, now};
    for (std::size_t i = 0; i < parts.size(); ++i) {
        lost.parts[partKey(service, parts[i])] = {static_cast<uint32_t>(i), age};
    }
    outcomes_[lost.service].onLost(age, now);
    std::erase_if(ended_, [now](const auto &entry) { return now >= entry.second + EndedMemory; });
    const auto ended = ended_.find(process);
    if (ended != ended_.end()) {
        report(process, lost, now);
        return false;
    }
    const auto [found, added] = losses_.try_emplace(process, lost);
    for (const auto &[key, part] : lost.parts) {
        LostPart &known = found->second.parts[key];
        known = {std::max(known.depth, part.depth), std::max(known.ageClass, part.ageClass)};
    }
    return added;
}

void CrashingParts::onEndpointProbed(const EndpointProcess &process, bool hasEnded, Instant now)
{
    const auto found = losses_.find(process);
    if (found == losses_.end()) {
        return;
    }
    const Loss loss = std::move(found->second);
    losses_.erase(found);
    if (hasEnded) {
        ended_[process] = now;
        report(process, loss, now);
        return;
    }
    std::erase_if(unconfirmed_,
                  [now](const auto &entry) { return now >= entry.second.at + ReplacementTime; });
    unconfirmed_.insert_or_assign(process, loss);
}

void CrashingParts::onProcessReplaced(const EndpointProcess &process, Instant now)
{
    const auto found = unconfirmed_.find(process);
    if (found == unconfirmed_.end()) {
        return;
    }
    const Loss loss = std::move(found->second);
    unconfirmed_.erase(found);
    if (now < loss.at + ReplacementTime) {
        report(process, loss, now);
    }
}

void CrashingParts::report(const EndpointProcess &process, const Loss &loss, Instant now)
{
    CrashReport report{loss.service, process, {}, loss.at};
    std::set<HostId> recipients;
    for (const auto &[key, part] : loss.parts) {
        // What was served since the loss can't have caused it.
        const std::optional<Instant> served = servedAt(key);
        if ((served && *served >= loss.at) || report.parts.size() >= MaxReportedParts) {
            continue;
        }
        report.parts.push_back({key, part.depth, part.ageClass});
        for (const ReplicaCandidates &hosts : placement_.candidates(key)) {
            recipients.insert(hosts.begin(), hosts.end());
        }
    }
    for (const HostId &host : recipients) {
        sendReport(host, report);
    }
    onReport(report, now);
}

void CrashingParts::clear(Suspect &suspect, Instant until)
{
    std::erase_if(suspect.crashes, [until](const auto &crash) { return crash.second.at <= until; });
}

std::size_t CrashingParts::countCrashes(const Suspect &suspect)
{
    std::vector<Instant> times;
    for (const auto &[process, crash] : suspect.crashes) {
        times.push_back(crash.at);
    }
    std::sort(times.begin(), times.end());
    std::size_t count = 0;
    Instant last{};
    for (const Instant at : times) {
        if (count == 0 || at >= last + CrashSpacing) {
            ++count;
            last = at;
        }
    }
    return count;
}

Instant CrashingParts::firstCrash(const Suspect &suspect)
{
    Instant first = Never;
    for (const auto &[process, crash] : suspect.crashes) {
        first = std::min(first, crash.at);
    }
    return first;
}

void CrashingParts::noteCrash(uint64_t service, const EndpointProcess &process, Instant at)
{
    auto &crashes = crashes_[service];
    const auto [found, added] = crashes.try_emplace(knownProcess(crashes, process), at);
    found->second = std::min(found->second, at);
}

double CrashingParts::shareExplained(const Suspect &suspect) const
{
    const auto all = crashes_.find(suspect.service);
    if (all == crashes_.end() || suspect.crashes.empty()) {
        return 1.0;
    }
    const Instant first = firstCrash(suspect);
    const auto total = std::count_if(all->second.begin(), all->second.end(),
                                     [first](const auto &crash) { return crash.second >= first; });
    return static_cast<double>(suspect.crashes.size()) / std::max(static_cast<double>(total), 1.0);
}

double CrashingParts::chance(const Suspect &suspect) const
{
    OutcomeCounts counts = suspect.outcomesElsewhere;
    const auto own = outcomes_.find(suspect.service);
    if (own != outcomes_.end()) {
        counts += own->second.since(firstCrash(suspect) - BaselineTime);
    }
    std::size_t oldest = 0;
    for (const auto &[process, crash] : suspect.crashes) {
        oldest = std::max(oldest, crash.ageClass);
    }
    const std::size_t count = suspect.crashes.size();
    return std::pow(counts.lossChance(oldest, count), static_cast<double>(count));
}

bool CrashingParts::isDue(PartKey part, const Suspect &suspect) const
{
    const std::size_t count = suspect.crashes.size();
    if (quarantines_.count(part) > 0) {
        return count >= CrashesAfterQuarantine;
    }
    const double explained = shareExplained(suspect);
    const bool explainsEnough =
            explained > MostCrashes || (explained >= ManyCrashes && count >= CrashesAmongOthers);
    return explainsEnough && countCrashes(suspect) >= CrashesToQuarantine;
}

bool CrashingParts::isSignificant(PartKey part, const Suspect &suspect) const
{
    const bool isKnown = quarantines_.count(part) > 0;
    return isDue(part, suspect) && (isKnown || chance(suspect) <= MaxChance);
}

bool CrashingParts::isQuarantined(PartKey part, Instant now) const
{
    const auto found = quarantines_.find(part);
    return found != quarantines_.end() && now < found->second.until;
}

std::vector<EndpointProcess> CrashingParts::crashedProcesses(const Suspect &suspect)
{
    std::vector<EndpointProcess> processes;
    for (const auto &[process, crash] : suspect.crashes) {
        processes.push_back(process);
    }
    return processes;
}

bool CrashingParts::isAmbiguous(PartKey part, const Suspect &suspect) const
{
    const bool isKnown = quarantines_.count(part) > 0;
    if (!isKnown && isExplainedByRequest && isExplainedByRequest(part, crashedProcesses(suspect))) {
        return true;
    }
    return std::any_of(suspects_.begin(), suspects_.end(), [&](const auto &entry) {
        const Suspect &other = entry.second;
        if (entry.first == part || other.depth < suspect.depth) {
            return false;
        }
        const auto shared = static_cast<std::size_t>(std::count_if(
                suspect.crashes.begin(), suspect.crashes.end(),
                [&other](const auto &crash) { return other.crashes.count(crash.first) > 0; }));
        return shared + 1 >= suspect.crashes.size() && shared > 0;
    });
}

void CrashingParts::onReport(const CrashReport &report, Instant now)
{
    dropOldSuspects(now);
    noteCrash(report.service, report.process, report.at);
    for (const SuspectPart &part : report.parts) {
        if (suspects_.size() >= MaxSuspects && suspects_.count(part.key) == 0) {
            continue;
        }
        Suspect &suspect = suspects_[part.key];
        suspect.service = report.service;
        suspect.depth = std::max(suspect.depth, part.depth);
        const Crash reported{report.at, part.ageClass};
        const EndpointProcess process = knownProcess(suspect.crashes, report.process);
        Crash &crash = suspect.crashes.try_emplace(process, reported).first->second;
        crash.at = std::min(crash.at, reported.at);
        crash.ageClass = std::max(crash.ageClass, reported.ageClass);
        if (const auto served = servedAt(part.key)) {
            clear(suspect, *served);
        }
    }
    for (const SuspectPart &part : report.parts) {
        const auto found = suspects_.find(part.key);
        if (found != suspects_.end()) {
            review(part.key, found->second, now);
        }
    }
}

void CrashingParts::review(PartKey part, Suspect &suspect, Instant now)
{
    const bool isRunning = suspect.decideAt != Never || now < suspect.nextInquiryAt;
    if (isRunning || isQuarantined(part, now) || !isDue(part, suspect)) {
        return;
    }
    suspect.decideAt = now + InquiryTime;
    suspect.nextInquiryAt = now + InquirySpacing;
    suspect.outcomesElsewhere = {};
    broadcastInquiry({part, suspect.service, firstCrash(suspect)});
}

void CrashingParts::decide(PartKey part, Instant now)
{
    Suspect &suspect = suspects_.at(part);
    suspect.decideAt = Never;
    const bool isFound = isSignificant(part, suspect);
    if (!isFound || isQuarantined(part, now)) {
        return;
    }
    const auto served = serviceServed_.find(suspect.service);
    const bool isServiceSound =
            served != serviceServed_.end() && served->second >= firstCrash(suspect);
    if (!isServiceSound || isAmbiguous(part, suspect)) {
        suspect.decideAt = now + InquiryTime;
        return;
    }
    const auto known = quarantines_.find(part);
    Quarantine quarantine;
    quarantine.part = part;
    quarantine.level = known == quarantines_.end() ? 0 : known->second.level + 1;
    quarantine.until = now + quarantineTime(quarantine.level);
    quarantine.decidedBy = settings_.host;
    quarantine.crashed = crashedProcesses(suspect);
    broadcastQuarantine(quarantine);
    if (onDecided) {
        onDecided(quarantine);
    }
    resends_[part] = now + ResendDelay;
    onQuarantine(quarantine, now);
}

Interval CrashingParts::quarantineTime(uint32_t level)
{
    const uint32_t factor = 1U << (QuarantineGrowthBits * std::min(level, MaxGrowthSteps));
    return std::min<Interval>(FirstQuarantine * factor, MaxQuarantine);
}

void CrashingParts::onQuarantine(const Quarantine &quarantine, Instant now)
{
    const auto known = quarantines_.find(quarantine.part);
    const bool isNew = known == quarantines_.end() || now >= known->second.until;
    if (now >= quarantine.until
        || (known == quarantines_.end() && quarantines_.size() >= MaxQuarantines)) {
        return;
    }
    if (!isNew && known->second.level >= quarantine.level) {
        return;
    }
    quarantines_[quarantine.part] = quarantine;
    suspects_.erase(quarantine.part);
    // Other parts that were at these endpoints didn't crash them.
    for (const EndpointProcess &process : quarantine.crashed) {
        for (auto &[part, suspect] : suspects_) {
            suspect.crashes.erase(knownProcess(suspect.crashes, process));
        }
        for (auto &[service, crashed] : crashes_) {
            crashed.erase(knownProcess(crashed, process));
        }
    }
    if (isNew && onQuarantined) {
        onQuarantined(quarantine);
    }
}

std::optional<InquiryResponse> CrashingParts::onInquiry(const PartInquiry &inquiry) const
{
    InquiryResponse response{inquiry.part, inquiry.service, servedAt(inquiry.part), {}, {}};
    if (response.servedAt && *response.servedAt < inquiry.since) {
        response.servedAt.reset();
    }
    const auto all = crashes_.find(inquiry.service);
    if (all != crashes_.end()) {
        for (const auto &[process, at] : all->second) {
            if (at >= inquiry.since && response.crashed.size() < MaxNamedEndpoints) {
                response.crashed.push_back(process);
            }
        }
    }
    const auto outcomes = outcomes_.find(inquiry.service);
    if (outcomes != outcomes_.end()) {
        response.outcomes = outcomes->second.since(inquiry.since - BaselineTime);
    }
    if (!response.servedAt && response.crashed.empty() && response.outcomes.isEmpty()) {
        return std::nullopt;
    }
    return response;
}

void CrashingParts::onInquiryResponse(const InquiryResponse &response, Instant now)
{
    for (const EndpointProcess &process : response.crashed) {
        noteCrash(response.service, process, now);
    }
    const auto found = suspects_.find(response.part);
    if (found == suspects_.end()) {
        return;
    }
    if (found->second.decideAt != Never) {
        found->second.outcomesElsewhere += response.outcomes;
    }
    if (response.servedAt) {
        clear(found->second, *response.servedAt);
    }
}

const Quarantine *CrashingParts::find(const ServiceId &service, const std::vector<uint64_t> &parts,
                                      Instant now) const
{
    if (quarantines_.empty()) {
        return nullptr;
    }
    for (const uint64_t part : parts) {
        const auto found = quarantines_.find(partKey(service, part));
        if (found != quarantines_.end() && now < found->second.until) {
            return &found->second;
        }
    }
    return nullptr;
}

std::vector<Quarantine> CrashingParts::quarantines(Instant now) const
{
    std::vector<Quarantine> active;
    for (const auto &[part, quarantine] : quarantines_) {
        if (now < quarantine.until) {
            active.push_back(quarantine);
        }
    }
    return active;
}

void CrashingParts::dropOldSuspects(Instant now)
{
    for (auto &[part, suspect] : suspects_) {
        std::erase_if(suspect.crashes,
                      [now](const auto &crash) { return now >= crash.second.at + CrashLifetime; });
    }
    std::erase_if(suspects_, [](const auto &entry) { return entry.second.crashes.empty(); });
    for (auto &[service, crashed] : crashes_) {
        std::erase_if(crashed,
                      [now](const auto &crash) { return now >= crash.second + CrashLifetime; });
    }
}

void CrashingParts::tick(Instant now)
{
    std::vector<PartKey> due;
    for (const auto &[part, suspect] : suspects_) {
        if (now >= suspect.decideAt) {
            due.push_back(part);
        }
    }
    for (const PartKey part : due) {
        // A quarantine of another part may have cleared it.
        if (suspects_.count(part) > 0) {
            decide(part, now);
        }
    }
    std::erase_if(resends_, [this, now](const auto &resend) {
        if (now < resend.second) {
            return false;
        }
        broadcastQuarantine(quarantines_.at(resend.first));
        return true;
    });
}

Instant CrashingParts::nextDeadline() const
{
    Instant next = Never;
    for (const auto &[part, suspect] : suspects_) {
        next = std::min(next, suspect.decideAt);
    }
    for (const auto &[part, at] : resends_) {
        next = std::min(next, at);
    }
    return next;
}

} // namespace sequoiagate
