#include "sequoiagate/Edge/EndpointDirectory.h"

#include <algorithm>

#include <boost/asio/ip/address_v4.hpp>

#include "Addresses.h"

namespace sequoiagate {

namespace {

/// Decisions by own sends alone: endpoints' reports are priced, late, and tell no more.
EndpointSelectorSettings choiceSettings()
{
    EndpointSelectorSettings settings;
    settings.boundExemptShare = 0.6;
    settings.prefixHomes = 2;
    settings.prefillBacklogLimit = std::chrono::milliseconds(400);
    return settings;
}

struct DelistingName
{
    Delisting why;
    const char *name;
};

constexpr DelistingName DelistingNames[] = {{Delisting::Removed, "removed"},
                                            {Delisting::Missing, "missing"},
                                            {Delisting::Malformed, "malformed"}};

const char *nameOf(Delisting why)
{
    for (const DelistingName &row : DelistingNames) {
        if (row.why == why) {
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
    : log_(log), choice_(self, choiceSettings()), retries_(retries)
{}

void EndpointDirectory::update(const EndpointEntry &entry, Instant now)
{
    const std::optional<boost::asio::ip::tcp::endpoint> address = parseTcpAddress(entry.address);
    if (!address) {
        log_.write(Event("endpoint.malformed").with("endpoint", entry.id).with("why", "address"));
        remove(entry.id, Delisting::Malformed, now);
        return;
    }
    const auto [found, added] = entries_.try_emplace(entry.id);
    Listed &listed = found->second;
    const EndpointEntry &known = listed.entry;
    const bool reborn = !added && known.startedAtMillis != entry.startedAtMillis;
    const bool same = !added && !reborn && known.address == entry.address
                      && known.service == entry.service && known.domain == entry.domain
                      && known.slots == entry.slots && known.draining == entry.draining
                      && listed.goneAt == Never;
    if (same) {
        return;
    }
    listed.entry = entry;
    listed.address = *address;
    listed.goneAt = Never;
    if (reborn) {
        listed.avoidUntil = Instant();
    }
    changed_ = true;
    log_.write(Event(added ? "endpoint.listed" : "endpoint.changed")
                       .with("endpoint", entry.id)
                       .with("service", entry.service)
                       .with("draining", entry.draining)
                       .with("reborn", reborn));
}

void EndpointDirectory::remove(const EndpointId &id, Delisting why, Instant now)
{
    const auto found = entries_.find(id);
    if (found == entries_.end() || found->second.goneAt != Never) {
        return;
    }
    const Instant lapseUntil = storeBackAt_ + LapseGrace;
    const bool lapsed = !storeReachable_ || now < lapseUntil;
    found->second.goneAt = lapsed ? std::max(lapseUntil, now) : now;
    log_.write(
            Event("endpoint.delisted")
                    .with("endpoint", id)
                    .with("service", found->second.entry.service)
                    .with("why", nameOf(why))
                    .with("kept_ms",
                          std::chrono::duration_cast<Millis>(found->second.goneAt - now).count()));
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
        remove(id, Delisting::Missing, now);
    }
}

void EndpointDirectory::setStoreReachable(bool reachable, Instant now)
{
    if (reachable && !storeReachable_) {
        storeBackAt_ = now;
    }
    storeReachable_ = reachable;
}

void EndpointDirectory::tick(Instant now)
{
    const std::size_t before = entries_.size();
    std::erase_if(entries_, [now](const auto &entry) { return now >= entry.second.goneAt; });
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
    // In the order of their names: what is chosen doesn't depend on the hash table's.
    std::sort(specs.begin(), specs.end(),
              [](const EndpointSpec &a, const EndpointSpec &b) { return a.id < b.id; });
    choice_.setEndpoints(specs, now);
    logServices();
}

void EndpointDirectory::logServices()
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
    logNew("service.served", served, served_);
    logNew("service.unserved", served_, served);
    served_ = std::move(served);
}

void EndpointDirectory::setProcesses(uint32_t count)
{
    choice_.setRouterCount(count);
    retries_.setProcessCount(count);
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
    std::vector<EndpointId> left = tried;
    for (const auto &[id, listed] : entries_) {
        if (now < listed.avoidUntil) {
            left.push_back(id);
        }
    }
    WorkItem work = item;
    work.prefixHash = sharedPromptHash(prompt);
    work.cacheablePrefixTokens = sharedPromptTokens(prompt);
    SelectionOutcome outcome = choice_.select(work, left, now);
    if (std::holds_alternative<Verdict>(outcome) && left.size() > tried.size()) {
        // All others are out of reach or out of use: one that was out of reach a moment
        // ago is better than none.
        outcome = choice_.select(work, tried, now);
    }
    if (auto *verdict = std::get_if<Verdict>(&outcome)) {
        return std::move(*verdict);
    }
    const SelectedEndpoint &chosen = std::get<SelectedEndpoint>(outcome);
    return PlacementTarget{chosen.endpoint, entries_.at(chosen.endpoint).address, chosen.reason};
}

void EndpointDirectory::onSent(const EndpointId &endpoint, const WorkItem &item, Instant now)
{
    choice_.onSent(endpoint, item, now);
}

void EndpointDirectory::onFirstToken(const EndpointId &endpoint, const RequestId &request,
                                     Instant now)
{
    choice_.onFirstToken(endpoint, request, now);
}

void EndpointDirectory::onAttemptEnd(const AttemptResult &result, Instant now)
{
    choice_.onEnd(result, now);
}

void EndpointDirectory::onStaleEndpoint(const EndpointId &endpoint, Instant now)
{
    const auto found = entries_.find(endpoint);
    if (found == entries_.end()) {
        return;
    }
    found->second.avoidUntil = now + UnreachableFor;
    log_.write(Event("endpoint.unreachable").with("endpoint", endpoint));
}

bool EndpointDirectory::mayRetry(const ServiceId &service, Instant now)
{
    return retries_.mayRetry(service, now);
}

void EndpointDirectory::onRequest(const ServiceId &service, Instant now)
{
    retries_.onRequest(service, now);
}

} // namespace sequoiagate
