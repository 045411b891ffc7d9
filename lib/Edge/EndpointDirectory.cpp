#include "sequoiagate/Edge/EndpointDirectory.h"

#include <algorithm>
#include <utility>

#include <boost/asio/ip/address_v4.hpp>

#include "Addresses.h"

namespace sequoiagate {

namespace {

/// Settings for selecting endpoints by this process's own requests alone. Reports of the endpoints'
/// load cost extra, arrive late and add no information.
EndpointSelectorSettings selectorSettings()
{
    EndpointSelectorSettings settings;
    settings.boundExemptShare = 0.6;
    settings.prefixHomes = 2;
    settings.prefillBacklogLimit = std::chrono::milliseconds(400);
    return settings;
}

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

EndpointDirectory::EndpointDirectory(const DomainId &self, DistributedRetryBudgetSettings retries,
                                     EventLog &log)
    : log_(log), selector_(self, selectorSettings()), retryBudget_(retries)
{}

void EndpointDirectory::update(const EndpointEntry &entry, Instant now)
{
    const std::optional<boost::asio::ip::tcp::endpoint> address = parseTcpAddress(entry.address);
    if (!address) {
        log_.write(Event("endpoint.malformed").with("endpoint", entry.id).with("why", "address"));
        remove(entry.id, RemovalReason::Malformed, now);
        return;
    }
    const auto [found, added] = entries_.try_emplace(entry.id);
    ListedEndpoint &listed = found->second;
    const EndpointEntry &known = listed.entry;
    const bool restarted = !added && known.startedAtMillis != entry.startedAtMillis;
    const bool isUnchanged = !added && !restarted && known.address == entry.address
                             && known.service == entry.service && known.domain == entry.domain
                             && known.slots == entry.slots && known.draining == entry.draining
                             && listed.removeAt == Never;
    if (isUnchanged) {
        return;
    }
    listed.entry = entry;
    listed.address = *address;
    listed.removeAt = Never;
    if (restarted) {
        listed.excludedUntil = Instant();
    }
    changed_ = true;
    log_.write(Event(added ? "endpoint.listed" : "endpoint.changed")
                       .with("endpoint", entry.id)
                       .with("service", entry.service)
                       .with("draining", entry.draining)
                       .with("reborn", restarted));
}

void EndpointDirectory::remove(const EndpointId &id, RemovalReason reason, Instant now)
{
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
}

void EndpointDirectory::tick(Instant now)
{
    const std::size_t before = entries_.size();
    std::erase_if(entries_, [now](const auto &entry) { return now >= entry.second.removeAt; });
    if (entries_.size() != before) {
        changed_ = true;
    }
    publish(now);
}

void EndpointDirectory::publish(Instant now)
{
    if (!changed_) {
        return;
    }
    changed_ = false;
    std::vector<EndpointSpec> specs;
    specs.reserve(entries_.size());
    for (const auto &[id, listed] : entries_) {
        EndpointSpec spec;
        spec.id = id;
        spec.domain = listed.entry.domain;
        spec.services = {listed.entry.service};
        spec.slots = listed.entry.slots;
        spec.leaving = listed.entry.draining;
        specs.push_back(std::move(spec));
    }
    // Sorted by id, so that the choice doesn't depend on the order of the hash table.
    std::sort(specs.begin(), specs.end(),
              [](const EndpointSpec &a, const EndpointSpec &b) { return a.id < b.id; });
    selector_.setEndpoints(specs, now);
    logServiceChanges();
}

void EndpointDirectory::logServiceChanges()
{
    std::set<ServiceId> served;
    for (const auto &[id, listed] : entries_) {
        if (!listed.entry.draining) {
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

void EndpointDirectory::setProcesses(uint32_t count)
{
    selector_.setRouterCount(count);
    retryBudget_.setProcessCount(count);
}

std::size_t EndpointDirectory::usable() const
{
    return static_cast<std::size_t>(
            std::count_if(entries_.begin(), entries_.end(),
                          [](const auto &entry) { return !entry.second.entry.draining; }));
}

PlacementResult EndpointDirectory::place(const WorkItem &item,
                                         const std::vector<PromptPart> &prompt,
                                         const std::vector<EndpointId> &tried, Instant now)
{
    std::vector<EndpointId> excluded = tried;
    for (const auto &[id, listed] : entries_) {
        if (now < listed.excludedUntil) {
            excluded.push_back(id);
        }
    }
    WorkItem work = item;
    work.prefixHash = sharedPromptHash(prompt);
    work.cacheablePrefixTokens = sharedPromptTokens(prompt);
    SelectionOutcome outcome = selector_.select(work, excluded, now);
    if (std::holds_alternative<Verdict>(outcome) && excluded.size() > tried.size()) {
        // No other endpoint can be used: one that was unreachable a moment ago is better than
        // none.
        outcome = selector_.select(work, tried, now);
    }
    if (auto *verdict = std::get_if<Verdict>(&outcome)) {
        return std::move(*verdict);
    }
    const SelectedEndpoint &chosen = std::get<SelectedEndpoint>(outcome);
    return PlacementTarget{chosen.endpoint, entries_.at(chosen.endpoint).address, chosen.reason};
}

void EndpointDirectory::onSent(const EndpointId &endpoint, const WorkItem &item, Instant now)
{
    selector_.onSent(endpoint, item, now);
}

void EndpointDirectory::onFirstToken(const EndpointId &endpoint, const RequestId &request,
                                     Instant now)
{
    selector_.onFirstToken(endpoint, request, now);
}

void EndpointDirectory::onAttemptEnd(const AttemptResult &result, Instant now)
{
    selector_.onEnd(result, now);
}

void EndpointDirectory::onNotice(const EndpointId &endpoint, const EndpointNotice &notice, Instant,
                                 Instant)
{
    const auto found = entries_.find(endpoint);
    if (found == entries_.end()) {
        return;
    }
    const EndpointNotice known = std::exchange(found->second.notice, notice);
    const bool changed = known.maxRequestsPerSecond != notice.maxRequestsPerSecond
                         || known.maxRejectionsPerSecond != notice.maxRejectionsPerSecond;
    if (!changed) {
        return;
    }
    constexpr double None = -1.0;
    log_.write(Event("endpoint.notice")
                       .with("endpoint", endpoint)
                       .with("max_requests_per_s", notice.maxRequestsPerSecond.value_or(None))
                       .with("max_rejections_per_s", notice.maxRejectionsPerSecond
                                                             ? *notice.maxRejectionsPerSecond
                                                             : None));
}

void EndpointDirectory::onStaleEndpoint(const EndpointId &endpoint, Instant now)
{
    const auto found = entries_.find(endpoint);
    if (found == entries_.end()) {
        return;
    }
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

} // namespace sequoiagate
