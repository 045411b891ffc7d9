#include "sequoiagate/Ledger/ElapsedBound.h"

#include <algorithm>
#include <set>

namespace sequoiagate {

namespace {

/// Two clocks that aren't read in one moment, one of them slewed, differ by less over seconds.
constexpr Millis OwnClocksAgree = std::chrono::milliseconds(100);

constexpr std::size_t LeastHosts = 3;
constexpr std::size_t LeastDomains = 2;

Millis timeOfDaySpan(const ClockReading &before, const ClockReading &after)
{
    return after.timeOfDay - before.timeOfDay;
}

std::optional<Millis> provenBound(const std::vector<WitnessedSpan> &peers)
{
    std::optional<Millis> largest;
    for (const WitnessedSpan &peer : peers) {
        const bool livedOn = peer.processBefore == peer.processAfter;
        // One process sees one boot: its name needn't be compared.
        const Millis span = peer.after.sinceBoot.sinceBoot - peer.before.sinceBoot.sinceBoot;
        if (livedOn) {
            largest = std::max(largest.value_or(Millis::zero()), span - peer.askedAfterStart);
        }
    }
    return largest;
}

std::optional<Millis> ownBound(const ElapsedEvidence &evidence)
{
    const Millis boot = sinceOnHost(evidence.before.sinceBoot, evidence.after.sinceBoot);
    const Millis day = timeOfDaySpan(evidence.before, evidence.after);
    const Millis apart = boot > day ? boot - day : day - boot;
    if (boot < Millis::zero() || apart > OwnClocksAgree) {
        return std::nullopt;
    }
    return std::max(boot, day);
}

std::optional<Millis> believedBound(const ElapsedEvidence &evidence)
{
    Millis largest = Millis::zero();
    std::size_t hosts = 0;
    std::set<DomainId> domains;
    const auto take = [&](const DomainId &domain, Millis span) {
        // A clock that went back tells nothing.
        if (span < Millis::zero()) {
            return;
        }
        largest = std::max(largest, span);
        ++hosts;
        domains.insert(domain);
    };
    for (const WitnessedSpan &peer : evidence.peers) {
        take(peer.domain, timeOfDaySpan(peer.before, peer.after) - peer.askedAfterStart);
    }
    take(evidence.domain, timeOfDaySpan(evidence.before, evidence.after));
    if (hosts < LeastHosts || domains.size() < LeastDomains) {
        return std::nullopt;
    }
    return largest;
}

} // namespace

std::optional<Millis> elapsedBound(const ElapsedEvidence &evidence)
{
    if (const std::optional<Millis> proven = provenBound(evidence.peers)) {
        return proven;
    }
    const std::optional<Millis> own = ownBound(evidence);
    return own ? own : believedBound(evidence);
}

} // namespace sequoiagate
