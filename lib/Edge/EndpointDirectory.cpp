#include "sequoiagate/Edge/EndpointDirectory.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include <boost/asio/ip/address_v4.hpp>
#include <fmt/format.h>

#include "Addresses.h"
#include "sequoiagate/Base/Rendezvous.h"

namespace sequoiagate {

namespace {

/// Settings for selecting endpoints by this process's own requests alone. Reports of the endpoints'
/// load cost extra, arrive late and add no information.
EndpointSelectorSettings selectorSettings(EndpointPlacement placement)
{
    EndpointSelectorSettings settings;
    settings.placement = placement;
    settings.boundExemptShare = 0.6;
    settings.prefixHomes = 2;
    settings.prefillBacklogLimit = std::chrono::milliseconds(400);
    return settings;
}

/// How often a connection is tried during a partition.
constexpr Interval PartitionProbeInterval = std::chrono::milliseconds(300);

/// Entries of a process to be read after a failed connection until its version is certain again:
/// the first one may have been written before.
constexpr int EntriesToConfirm = 2;

struct RemovalReasonName
{
    RemovalReason reason;
    const char *name;
};

constexpr RemovalReasonName RemovalReasonNames[] = {{RemovalReason::Removed, "removed"},
                                                    {RemovalReason::Missing, "missing"},
                                                    {RemovalReason::Malformed, "malformed"}};

const char *nameOf(RemovalReason reason)
{
    for (const RemovalReasonName &row : RemovalReasonNames) {
        if (row.reason == reason) {
            return row.name;
        }
    }
    return "";
}

uint64_t sharedPromptTokens(const std::vector<PromptPart> &prompt)
{
    uint64_t tokens = 0;
    for (std::size_t i = 0; i + 1 < prompt.size(); ++i) {
        tokens += prompt[i].tokens;
    }
    return tokens;
}

} // namespace

uint64_t sharedPromptHash(const std::vector<PromptPart> &prompt)
{
    uint64_t hash = 0;
    for (std::size_t i = 0; i + 1 < prompt.size(); ++i) {
        hash = affinityWeight(hash, prompt[i].id);
    }
    return hash;
}

EndpointDirectory::EndpointDirectory(const HostId &host, const DomainId &self,
                                     DistributedRetryBudgetSettings retries, EventLog &log,
                                     EndpointPlacement placement)
    : log_(log), selector_(self, selectorSettings(placement)), limits_(host),
      eligibility_(limits_, withdrawals_, evacuations_), relaySelector_(stableHash(host.text())),
      retryBudget_(retries)
{}

void EndpointDirectory::update(const EndpointEntry &entry, Instant now, EntrySource source)
{
    const std::optional<boost::asio::ip::tcp::endpoint> address = parseTcpAddress(entry.address);
    if (!address) {
        log_.write(Event("endpoint.malformed").with("endpoint", entry.id).with("why", "address"));
        remove(entry.id, RemovalReason::Malformed, now);
        return;
    }
    const EntryVerdict verdict =
            entryOrder_.onEntry({entry.id, entry.startedAtMillis}, entry.sequence, source, now);
    if (verdict != EntryVerdict::Holds) {
        if (verdict == EntryVerdict::Deferred) {
            deferred_[entry.id] = entry;
        }
        log_.write(Event("endpoint.older_entry")
                           .with("endpoint", entry.id)
                           .with("started_at", entry.startedAtMillis)
                           .with("sequence", entry.sequence)
                           .with("draining", entry.draining)
                           .with("deferred", verdict == EntryVerdict::Deferred));
        return;
    }
    apply(entry, *address, now);
}

void EndpointDirectory::apply(const EndpointEntry &entry,
                              const boost::asio::ip::tcp::endpoint &address, Instant now)
{
    reportReplaced(entry, address);
    const auto [found, added] = entries_.try_emplace(entry.id);
    ListedEndpoint &listed = found->second;
    const EndpointEntry &known = listed.entry;
    cold_.onEntry({entry.id, entry.service, entry.startedAtMillis, entry.coldLeft}, now);
    const bool restarted = !added && known.startedAtMillis != entry.startedAtMillis;
    const bool isUnchanged = !added && !restarted && known.address == entry.address
                             && known.service == entry.service && known.domain == entry.domain
                             && known.slots == entry.slots && known.draining == entry.draining
                             && known.version == entry.version && listed.removeAt == Never;
    if (restarted) {
        listed.entriesToConfirm = 0;
    } else if (entry.sequence > known.sequence && listed.entriesToConfirm > 0) {
        --listed.entriesToConfirm;
    }
    if (isUnchanged) {
        listed.entry.sequence = entry.sequence;
        limitWhileCold(entry.id, now);
        return;
    }
    listed.entry = entry;
    listed.address = address;
    listed.region = regionOf(entry.domain);
    listed.removeAt = Never;
    if (restarted) {
        listed.excludedUntil = Instant();
    }
    limits_.setEndpoint(entry.id, entry.startedAtMillis, entry.slots);
    limitWhileCold(entry.id, now);
    withdrawals_.setEndpoint(entry.id, entry.startedAtMillis);
    if (rates_ != nullptr) {
        rates_->setEndpoint({entry.id, entry.startedAtMillis}, entry.service);
    }
    changed_ = true;
    log_.write(Event(added ? "endpoint.listed" : "endpoint.changed")
                       .with("endpoint", entry.id)
                       .with("service", entry.service)
                       .with("version", entry.version)
                       .with("draining", entry.draining)
                       .with("started_at", entry.startedAtMillis)
                       .with("sequence", entry.sequence)
                       .with("reborn", restarted));
}

void EndpointDirectory::applyDeferred(Instant now)
{
    std::erase_if(deferred_, [this, now](const auto &deferred) {
        const EndpointEntry &entry = deferred.second;
        const EndpointProcess process{entry.id, entry.startedAtMillis};
        const bool isDue = entryOrder_.takeDue(process, now);
        if (isDue) {
            apply(entry, *parseTcpAddress(entry.address), now);
        }
        return isDue || !entryOrder_.isDeferred(process);
    });
}

void EndpointDirectory::updateSuspects(Instant now)
{
    if (!hadSuspects_ && !entryOrder_.hasSuspects(now)) {
        return;
    }
    struct Count
    {
        std::size_t endpoints = 0;
        std::size_t suspects = 0;
    };
    std::map<ServiceId, Count> counts;
    for (const auto &[id, listed] : entries_) {
        Count &count = counts[listed.entry.service];
        ++count.endpoints;
        count.suspects += entryOrder_.isSuspect(id, now) ? 1 : 0;
    }
    hadSuspects_ = false;
    for (auto &[id, listed] : entries_) {
        // Late writes are few. Most endpoints of a service come back where their entries expired in
        // an outage that this host didn't see.
        const Count &count = counts.at(listed.entry.service);
        const bool isSuspect =
                2 * count.suspects <= count.endpoints && entryOrder_.isSuspect(id, now);
        hadSuspects_ = hadSuspects_ || isSuspect;
        if (isSuspect != listed.isSuspect) {
            listed.isSuspect = isSuspect;
            log_.write(Event(isSuspect ? "endpoint.suspected" : "endpoint.confirmed")
                               .with("endpoint", id));
        }
    }
}

std::size_t EndpointDirectory::suspects() const
{
    return static_cast<std::size_t>(
            std::count_if(entries_.begin(), entries_.end(),
                          [](const auto &entry) { return entry.second.isSuspect; }));
}

void EndpointDirectory::reportReplaced(const EndpointEntry &entry,
                                       const boost::asio::ip::tcp::endpoint &address)
{
    const auto known = entries_.find(entry.id);
    if (!onProcessReplaced
        || (known != entries_.end()
            && known->second.entry.startedAtMillis == entry.startedAtMillis)) {
        return;
    }
    for (const auto &[id, listed] : entries_) {
        const bool isEarlier = listed.entry.startedAtMillis < entry.startedAtMillis;
        if (isEarlier && (id == entry.id || listed.address == address)) {
            onProcessReplaced({id, listed.entry.startedAtMillis});
        }
    }
}

void EndpointDirectory::remove(const EndpointId &id, RemovalReason reason, Instant now)
{
    entryOrder_.onRemoved(id, now);
    const auto found = entries_.find(id);
    if (found == entries_.end() || found->second.removeAt != Never) {
        return;
    }
    const Instant graceEnd = storeReachableSince_ + ExpiredEntryGrace;
    const bool mayHaveExpired = !storeReachable_ || now < graceEnd;
    found->second.removeAt = mayHaveExpired ? std::max(graceEnd, now) : now;
    log_.write(Event("endpoint.delisted")
                       .with("endpoint", id)
                       .with("service", found->second.entry.service)
                       .with("why", nameOf(reason))
                       .with("kept_ms",
                             std::chrono::duration_cast<Millis>(found->second.removeAt - now)
                                     .count()));
    tick(now);
}

void EndpointDirectory::keepOnly(const std::vector<EndpointId> &present, Instant now)
{
    std::vector<EndpointId> missing;
    for (const auto &[id, listed] : entries_) {
        if (std::find(present.begin(), present.end(), id) == present.end()) {
            missing.push_back(id);
        }
    }
    for (const EndpointId &id : missing) {
        remove(id, RemovalReason::Missing, now);
    }
}

void EndpointDirectory::setStoreReachable(bool reachable, Instant now)
{
    if (reachable && !storeReachable_) {
        storeReachableSince_ = now;
    }
    storeReachable_ = reachable;
    entryOrder_.setStoreReachable(reachable, now);
}

void EndpointDirectory::tick(Instant now)
{
    const std::size_t before = entries_.size();
    std::erase_if(entries_, [this, now](const auto &entry) {
        const bool isOver = now >= entry.second.removeAt;
        if (isOver) {
            limits_.removeEndpoint(entry.first, now);
            cold_.removeEndpoint(entry.first);
            withdrawals_.removeEndpoint(entry.first, now);
            if (rates_ != nullptr) {
                rates_->removeEndpoint(entry.first);
            }
        }
        return isOver;
    });
    if (entries_.size() != before) {
        changed_ = true;
    }
    applyDeferred(now);
    entryOrder_.dropExpired(now);
    limits_.dropExpired(now);
    withdrawals_.dropExpired(now);
    // Those that are still here belong to callers who left while they waited.
    std::erase_if(waiting_,
                  [now](const auto &entry) { return now >= entry.second.until + MaxSlotWait; });
    publish(now);
}

void EndpointDirectory::publish(Instant now)
{
    updateSuspects(now);
    if (!changed_) {
        return;
    }
    changed_ = false;
    std::vector<EndpointSpec> specs;
    specs.reserve(entries_.size());
    for (auto &[id, listed] : entries_) {
        listed.isLeaving = isLeaving(listed.entry);
        EndpointSpec spec;
        spec.id = id;
        spec.domain = listed.entry.domain;
        spec.services = {listed.entry.service};
        spec.slots = listed.entry.slots;
        spec.leaving = listed.isLeaving;
        spec.startedAtMillis = listed.entry.startedAtMillis;
        const auto kvTokens = kvTokens_.find(listed.entry.service);
        spec.kvTokens = kvTokens == kvTokens_.end() ? 0 : kvTokens->second;
        specs.push_back(std::move(spec));
    }
    // Sorted by id, so that the choice doesn't depend on the order of the hash table.
    std::sort(specs.begin(), specs.end(),
              [](const EndpointSpec &a, const EndpointSpec &b) { return a.id < b.id; });
    selector_.setEndpoints(specs, now);
    partition_.setEndpointCount(specs.size());
    logServiceChanges();
}

void EndpointDirectory::logServiceChanges()
{
    std::set<ServiceId> served;
    for (const auto &[id, listed] : entries_) {
        if (!isLeaving(listed.entry)) {
            served.insert(listed.entry.service);
        }
    }
    const auto logNew = [this](const char *event, const std::set<ServiceId> &services,
                               const std::set<ServiceId> &known) {
        for (const ServiceId &service : services) {
            if (known.count(service) == 0) {
                log_.write(Event(event).with("service", service));
            }
        }
    };
    logNew("service.served", served, servedServices_);
    logNew("service.unserved", servedServices_, served);
    servedServices_ = std::move(served);
}

void EndpointDirectory::setHosts(const std::vector<HostId> &hosts)
{
    const auto count = static_cast<uint32_t>(hosts.size());
    selector_.setRouterCount(count);
    retryBudget_.setProcessCount(count);
    limits_.setHosts(hosts);
}

std::size_t EndpointDirectory::usable() const
{
    return static_cast<std::size_t>(
            std::count_if(entries_.begin(), entries_.end(),
                          [this](const auto &entry) { return !isLeaving(entry.second.entry); }));
}

std::vector<ListedVersion> EndpointDirectory::listedVersions() const
{
    std::vector<ListedVersion> versions;
    versions.reserve(entries_.size());
    for (const auto &[id, listed] : entries_) {
        versions.push_back({listed.entry.service, listed.entry.version});
    }
    return versions;
}

SelectionOutcome EndpointDirectory::selectEndpoint(const WorkItem &item,
                                                   const std::vector<EndpointId> &tried,
                                                   const ExcludedEndpoints &excluded, Instant now)
{
    const std::vector<EndpointId> always = excluded.of(Strictness::Always);
    const std::vector<EndpointId> avoided = excluded.of(Strictness::WhileOthersCanBeUsed);
    std::vector<EndpointId> unavailable = always;
    unavailable.insert(unavailable.end(), avoided.begin(), avoided.end());
    SelectionOutcome outcome = selector_.select(item, tried, unavailable, now);
    if (std::holds_alternative<Verdict>(outcome) && !avoided.empty()) {
        // No other endpoint can be used: one that was unreachable a moment ago is better than
        // none.
        outcome = selector_.select(item, tried, always, now);
    }
    return outcome;
}

PlacementResult EndpointDirectory::place(const WorkItem &item,
                                         const std::vector<PromptPart> &prompt,
                                         const std::vector<EndpointId> &tried, Instant now)
{
    WorkItem work = item;
    work.prefixHash = sharedPromptHash(prompt);
    work.cacheablePrefixTokens = sharedPromptTokens(prompt);
    const ExcludedEndpoints excluded = excludedFor(item, now);
    if (excluded.suitable() == 0 && !excluded.of(Exclusion::OtherRegion).empty()) {
        return refuseByRegion(item, now);
    }
    if (item.version && excluded.suitable() == 0) {
        return Verdict{Execution::NotRun, Reason::StreamNotResumable,
                       "no endpoint of software version " + item.version->text() + " is left",
                       std::nullopt};
    }
    SelectionOutcome outcome = selectEndpoint(work, tried, excluded, now);
    if (const std::vector<EndpointId> &limited = excluded.of(Exclusion::Limited);
        !limited.empty()) {
        ++limitedRequests_;
        prefetchSlot(item.service, limited, now);
    }
    if (auto *verdict = std::get_if<Verdict>(&outcome)) {
        return delayOrRefuse(item, tried, excluded, std::move(*verdict), now);
    }
    const SelectedEndpoint &chosen = std::get<SelectedEndpoint>(outcome);
    waiting_.erase(item.request);
    const bool isShared = limits_.sharePerSecond(chosen.endpoint).has_value();
    if (isShared && yieldsToMoreUrgent(item, now)) {
        return refuseByLimits(item, {chosen.endpoint}, now);
    }
    if (rates_ != nullptr) {
        rates_->onSent(chosen.endpoint, work, now);
    }
    const ListedEndpoint &listed = entries_.at(chosen.endpoint);
    return PlacementTarget{chosen.endpoint,
                           listed.address,
                           chosen.detail.empty() ? chosen.reason
                                                 : chosen.reason + " " + chosen.detail,
                           relayFor(item, chosen.endpoint, now),
                           describeLimitsOf(chosen.endpoint, excluded, now),
                           listed.entry.version,
                           listed.entry.startedAtMillis,
                           listed.entriesToConfirm == 0};
}

PlacementResult EndpointDirectory::delayOrRefuse(const WorkItem &item,
                                                 const std::vector<EndpointId> &tried,
                                                 const ExcludedEndpoints &excluded, Verdict verdict,
                                                 Instant now)
{
    if (const auto returnAt = returnTime(item, excluded, now)) {
        waiting_.erase(item.request);
        return refuseWithoutTakers(excluded, *returnAt, now);
    }
    const std::vector<EndpointId> &limited = excluded.of(Exclusion::Limited);
    if (limited.empty()) {
        return verdict;
    }
    return awaitSlotOrRefuse(item, tried, limited, now);
}

std::optional<RelayRoute> EndpointDirectory::relayFor(const WorkItem &item,
                                                      const EndpointId &endpoint, Instant now)
{
    const bool isPartitioned = partition_.isPartitioned();
    if (!isPartitioned && !(item.connectFailed && partition_.isSuspect(now))) {
        return std::nullopt;
    }
    const auto isAllowed = [this, &item](const HostId &host) {
        return !item.regions.isRestricted()
               || item.regions.allows(regionOf(relays_.at(host).domain));
    };
    const std::optional<HostId> host = relaySelector_.select(isAllowed, now);
    if (!host) {
        return std::nullopt;
    }
    const bool isOpenSound = !isPartitioned || partition_.hasRespondedSince(endpoint);
    return RelayRoute{*host, relays_.at(*host).address, isOpenSound};
}

void EndpointDirectory::setRelays(std::map<HostId, RelayHost> relays)
{
    relays_ = std::move(relays);
    std::vector<HostId> hosts;
    for (const auto &[host, relay] : relays_) {
        hosts.push_back(host);
    }
    relaySelector_.setHosts(std::move(hosts));
}

std::optional<boost::asio::ip::tcp::endpoint>
EndpointDirectory::addressOf(const EndpointId &endpoint) const
{
    const auto found = entries_.find(endpoint);
    if (found == entries_.end() || isLeaving(found->second.entry)) {
        return std::nullopt;
    }
    return found->second.address;
}

uint64_t EndpointDirectory::startedAtMillis(const EndpointId &endpoint) const
{
    const auto found = entries_.find(endpoint);
    return found == entries_.end() ? 0 : found->second.entry.startedAtMillis;
}

std::optional<std::pair<EndpointId, boost::asio::ip::tcp::endpoint>>
EndpointDirectory::probeTarget(Instant now)
{
    if (!partition_.isPartitioned() || now < nextProbeAt_ || entries_.empty()) {
        return std::nullopt;
    }
    nextProbeAt_ = now + PartitionProbeInterval;
    for (std::size_t i = 0; i < entries_.size(); ++i) {
        auto probed = entries_.begin();
        std::advance(probed, static_cast<std::ptrdiff_t>(nextProbed_++ % entries_.size()));
        if (!evacuations_.isEvacuated(probed->second.entry.domain)) {
            return std::pair(probed->first, probed->second.address);
        }
    }
    return std::nullopt;
}

void EndpointDirectory::onConnected(const EndpointId &endpoint, Instant now)
{
    const Instant since = partition_.partitionedSince();
    partition_.onConnected(now);
    cold_.onConnected(endpoint, now);
    limitWhileCold(endpoint, now);
    if (since != Never) {
        log_.write(
                Event("path.restored")
                        .with("endpoint", endpoint)
                        .with("after_ms", std::chrono::duration_cast<Millis>(now - since).count())
                        .essential());
    }
}

void EndpointDirectory::onConnectFailed(const EndpointId &endpoint, Instant now)
{
    const bool wasPartitioned = partition_.isPartitioned();
    partition_.onConnectFailed(endpoint, now);
    // Also in a partition: endpoints that all start again at once look the same.
    cold_.onConnectFailed(endpoint, now);
    limitWhileCold(endpoint, now);
    awaitConfirmation(endpoint);
    if (!partition_.isPartitioned()) {
        onStaleEndpoint(endpoint, now);
        return;
    }
    if (wasPartitioned) {
        return;
    }
    // The endpoints weren't at fault.
    for (auto &[id, listed] : entries_) {
        listed.excludedUntil = Instant();
    }
    log_.write(Event("path.partitioned")
                       .with("failed_endpoints", partition_.failedEndpoints())
                       .with("relays", relays_.size())
                       .essential());
}

void EndpointDirectory::onResponse(const EndpointId &endpoint, Instant now)
{
    partition_.onResponse(endpoint, now);
}

void EndpointDirectory::onRelayResult(const HostId &host, RelayResult result, Instant now)
{
    if (result == RelayResult::Connected) {
        relaySelector_.onConnected();
        return;
    }
    const bool refused = result == RelayResult::Refused;
    if (refused) {
        relaySelector_.onRefused(host, now);
    } else {
        relaySelector_.onUnreachable(host, now);
    }
    log_.write(Event("relay.failed").with("host", host).with("refused", refused));
}

void EndpointDirectory::onSent(const EndpointId &endpoint, const WorkItem &item, Instant now)
{
    selector_.onSent(endpoint, item, now);
    limits_.onSent(endpoint, now);
    withdrawals_.onSent(endpoint, now);
}

void EndpointDirectory::onFirstToken(const EndpointId &endpoint, const RequestId &request,
                                     Instant now)
{
    selector_.onFirstToken(endpoint, request, now);
    if (rates_ != nullptr) {
        rates_->onFirstEvent(endpoint, request, now);
    }
}

void EndpointDirectory::onStreamProgress(const EndpointId &endpoint, const RequestId &request,
                                         uint64_t events, Instant now)
{
    if (rates_ != nullptr) {
        rates_->onProgress(endpoint, request, events, now);
    }
}

void EndpointDirectory::onAttemptEnd(const AttemptResult &result, Instant now)
{
    selector_.onEnd(result, now);
    limits_.onEnd(result.endpoint, now);
    if (rates_ != nullptr) {
        rates_->onEnd(result.request);
    }
}

void EndpointDirectory::awaitConfirmation(const EndpointId &endpoint)
{
    const auto found = entries_.find(endpoint);
    if (found != entries_.end() && found->second.entry.sequence != 0) {
        found->second.entriesToConfirm = EntriesToConfirm;
    }
}

void EndpointDirectory::onStaleEndpoint(const EndpointId &endpoint, Instant now)
{
    const auto found = entries_.find(endpoint);
    if (found == entries_.end()) {
        return;
    }
    // A relay that couldn't connect shows the same as a failed connection of this host.
    awaitConfirmation(endpoint);
    found->second.excludedUntil = now + UnreachableRetryDelay;
    log_.write(Event("endpoint.unreachable").with("endpoint", endpoint));
}

bool EndpointDirectory::mayRetry(const ServiceId &service, Instant now)
{
    return retryBudget_.mayRetry(service, now);
}

void EndpointDirectory::onRequest(const ServiceId &service, Instant now)
{
    retryBudget_.onRequest(service, now);
}

bool EndpointDirectory::isLeaving(const EndpointId &endpoint) const
{
    const auto found = entries_.find(endpoint);
    return found == entries_.end() || isLeaving(found->second.entry);
}

} // namespace sequoiagate
