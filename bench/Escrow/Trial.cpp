#include "bench/Escrow/Trial.h"

#include <algorithm>

#include <fmt/format.h>

#include "sequoiagate/Base/Rendezvous.h"

namespace sequoiagate::bench {

namespace {

constexpr Interval Step = std::chrono::seconds(5);
constexpr Interval DayLength = std::chrono::hours(24);
/// A host that isn't heard for so long is taken for dead.
constexpr Interval SuspectAfter = std::chrono::seconds(10);
constexpr Interval ReplacedAfter = std::chrono::minutes(5);
/// Rounds of messages that a request may wait for.
constexpr int Rounds = 6;

ReservationId reservationOf(std::size_t request)
{
    return ReservationId(std::to_string(request));
}

} // namespace

void Outcome::add(const Outcome &other)
{
    demand += other.demand;
    refused += other.refused;
    budget += other.budget;
    inDoubt += other.inDoubt;
    overspent += other.overspent;
    appends += other.appends;
}

Trial::Trial(const Shape &shape, const Strategy &strategy, const Day &day, double budgetFactor)
    : shape_(shape), strategy_(strategy), day_(day), spent_(shape.workspaces, 0)
{
    for (std::size_t index = 0; index < shape.workspaces; ++index) {
        workspaces_.emplace_back(fmt::format("w{}", index));
        budgets_.push_back(
                static_cast<uint64_t>(budgetFactor * static_cast<double>(day.demand[index])));
        outcome_.budget += budgets_.back();
    }
    hosts_.resize(shape.domains * shape.hostsPerDomain);
    sights_.assign(hosts_.size(), std::vector<Sight>(hosts_.size()));
}

void Trial::startHost(std::size_t index)
{
    ++incarnations_;
    Host &host = hosts_[index];
    host = Host{};
    host.domain = index / shape_.hostsPerDomain;
    host.id = Incarnation(fmt::format("h{}-{}", index, incarnations_));
    host.logHeardAt = now_;
    host.witness = std::make_unique<GrantWitness>(host.id, strategy_.settings);
    for (const WorkspaceId &workspace : workspaces_) {
        host.holders.push_back(
                std::make_unique<GrantHolder>(workspace, host.id, strategy_.settings));
    }
    host.share.assign(workspaces_.size(), 0);
    sights_[index].assign(hosts_.size(), Sight{});
    for (std::vector<Sight> &sight : sights_) {
        sight[index] = Sight{};
    }
}

void Trial::startDay()
{
    for (std::size_t index = 0; index < workspaces_.size(); ++index) {
        wire::Record record;
        record.set_writer("operator");
        record.set_sequence(index + 1);
        record.mutable_funding()->set_workspace(workspaces_[index].text());
        record.mutable_funding()->set_config_version(1);
        record.mutable_funding()->set_total_tokens(budgets_[index]);
        log_.push_back(std::move(record));
    }
    for (std::size_t index = 0; index < hosts_.size(); ++index) {
        startHost(index);
        for (std::size_t workspace = 0; workspace < workspaces_.size(); ++workspace) {
            hosts_[index].share[workspace] = budgets_[workspace] / hosts_.size();
        }
    }
}

Outcome Trial::run()
{
    startDay();
    std::size_t next = 0;
    for (; now_ < Instant{} + DayLength; now_ += Step) {
        applyFaults();
        settleEnded();
        exchange();
        watch();
        tick();
        exchange();
        while (next < day_.requests.size() && Instant{} + day_.requests[next].at < now_ + Step) {
            serve(next);
            ++next;
        }
    }
    settleEnded();
    exchange();
    measureDoubt();
    outcome_.appends = log_.size();
    return outcome_;
}

bool Trial::cutOff(std::size_t domain) const
{
    return std::any_of(day_.cuts.begin(), day_.cuts.end(), [this, domain](const Cut &cut) {
        return cut.domain == domain && Instant{} + cut.from <= now_ && now_ < Instant{} + cut.until;
    });
}

bool Trial::reaches(const Host &from, const Host &to) const
{
    if (!from.alive || !to.alive) {
        return false;
    }
    return from.domain == to.domain || (!cutOff(from.domain) && !cutOff(to.domain));
}

void Trial::kill(std::size_t index)
{
    Host &host = hosts_[index];
    if (!host.alive) {
        return;
    }
    host.alive = false;
    host.backAt = now_ + ReplacedAfter;
    host.outbox.clear();
    for (const uint64_t share : host.share) {
        outcome_.inDoubt += strategy_.staticSplit ? share : 0;
    }
}

void Trial::applyFaults()
{
    for (const Death &death : day_.deaths) {
        const Instant at = Instant{} + death.at;
        if (at <= now_ && now_ < at + Step) {
            kill(death.host);
        }
    }
    for (std::size_t index = 0; index < hosts_.size(); ++index) {
        // A new process needs the log to know what is given out.
        if (!hosts_[index].alive && hosts_[index].backAt <= now_ && !cutOff(hosts_[index].domain)) {
            startHost(index);
        }
    }
}

Trial::Host *Trial::findHost(const Incarnation &id)
{
    for (Host &host : hosts_) {
        if (host.id == id) {
            return &host;
        }
    }
    return nullptr;
}

void Trial::exchange()
{
    if (strategy_.staticSplit) {
        return;
    }
    while (exchangeOnce()) {
    }
}

bool Trial::exchangeOnce()
{
    bool moved = false;
    for (Host &host : hosts_) {
        if (!host.alive) {
            continue;
        }
        for (const std::unique_ptr<GrantHolder> &holder : host.holders) {
            for (GrantAction &action : holder->takeActions()) {
                moved = perform(host, action) || moved;
            }
        }
        for (GrantAction &action : host.witness->takeActions()) {
            moved = perform(host, action) || moved;
        }
        moved = appendAll(host) || moved;
    }
    for (Host &host : hosts_) {
        moved = readAll(host) || moved;
    }
    return moved;
}

bool Trial::perform(Host &host, GrantAction &action)
{
    if (auto *append = std::get_if<AppendAction>(&action)) {
        ++host.sequence;
        append->record.set_writer(host.id.text());
        append->record.set_sequence(host.sequence);
        host.outbox.push_back(std::move(append->record));
        return true;
    }
    askWitness(host, std::get<RequestWindowAction>(action));
    return true;
}

void Trial::askWitness(Host &host, const RequestWindowAction &ask)
{
    Host *witness = findHost(ask.witness);
    if (!witness || !reaches(host, *witness)) {
        return;
    }
    const SignOutcome outcome =
            witness->witness->sign(ask.grant, host.id, ask.receivedTokens, ask.wantTokens,
                                   witness->fold, witness->logHeardAt, now_);
    for (std::size_t index = 0; index < workspaces_.size(); ++index) {
        if (workspaces_[index] != ask.workspace) {
            continue;
        }
        if (const auto *total = std::get_if<uint64_t>(&outcome)) {
            host.holders[index]->onWindow(ask.grant, ask.witness, *total, now_);
        } else {
            const bool final = !std::get<Verdict>(outcome).retryAt;
            host.holders[index]->onWindowRefused(ask.grant, ask.witness, final, now_);
        }
    }
}

bool Trial::appendAll(Host &host)
{
    if (host.outbox.empty() || cutOff(host.domain)) {
        return false;
    }
    log_.insert(log_.end(), host.outbox.begin(), host.outbox.end());
    host.outbox.clear();
    return true;
}

bool Trial::readAll(Host &host)
{
    if (!host.alive || cutOff(host.domain)) {
        return false;
    }
    host.logHeardAt = now_;
    if (host.fold.nextOffset() == log_.size()) {
        return false;
    }
    while (host.fold.nextOffset() < log_.size()) {
        host.fold.apply(log_[host.fold.nextOffset()], host.fold.nextOffset());
    }
    for (const std::unique_ptr<GrantHolder> &holder : host.holders) {
        holder->onFold(host.fold, now_);
    }
    host.witness->onFold(host.fold, now_);
    return true;
}

std::vector<Incarnation> Trial::witnessesFor(std::size_t index) const
{
    std::vector<Incarnation> near;
    std::vector<Incarnation> far;
    if (!strategy_.witnessed) {
        return near;
    }
    for (std::size_t step = 1; step < hosts_.size(); ++step) {
        const std::size_t other = (index + step) % hosts_.size();
        if (sights_[index][other].suspected) {
            continue;
        }
        (hosts_[other].domain == hosts_[index].domain ? near : far).push_back(hosts_[other].id);
    }
    near.insert(near.end(), far.begin(), far.end());
    return near;
}

void Trial::tick()
{
    if (strategy_.staticSplit) {
        return;
    }
    for (std::size_t index = 0; index < hosts_.size(); ++index) {
        Host &host = hosts_[index];
        if (!host.alive) {
            continue;
        }
        const std::vector<Incarnation> witnesses = witnessesFor(index);
        for (const std::unique_ptr<GrantHolder> &holder : host.holders) {
            holder->onTick(witnesses, host.fold, !cutOff(host.domain), now_);
        }
    }
}

void Trial::watch()
{
    for (std::size_t watcher = 0; watcher < hosts_.size(); ++watcher) {
        for (std::size_t other = 0; other < hosts_.size(); ++other) {
            if (!hosts_[watcher].alive || watcher == other) {
                continue;
            }
            Sight &sight = sights_[watcher][other];
            if (reaches(hosts_[watcher], hosts_[other])) {
                sight = Sight{};
            } else if (sight.unheardSince == Never) {
                sight.unheardSince = now_;
            } else if (!sight.suspected && now_ >= sight.unheardSince + SuspectAfter) {
                sight.suspected = true;
                suspect(watcher, other);
            }
        }
    }
}

void Trial::suspect(std::size_t watcher, std::size_t other)
{
    Host &host = hosts_[watcher];
    host.witness->onHolderSuspected(hosts_[other].id, host.fold, now_);
    const std::vector<Incarnation> others = witnessesFor(watcher);
    for (const std::unique_ptr<GrantHolder> &holder : host.holders) {
        holder->onWitnessSuspected(hosts_[other].id, others, now_);
    }
}

/// The live hosts of the request's domain, its home first.
std::vector<std::size_t> Trial::hostsOf(const Request &request) const
{
    std::vector<std::size_t> order;
    for (std::size_t index = 0; index < hosts_.size(); ++index) {
        if (hosts_[index].domain == request.domain && hosts_[index].alive) {
            order.push_back(index);
        }
    }
    const std::string &key = workspaces_[request.workspace].text();
    std::sort(order.begin(), order.end(), [&key](std::size_t left, std::size_t right) {
        return rendezvousWeight(key, fmt::format("h{}", left))
               > rendezvousWeight(key, fmt::format("h{}", right));
    });
    return order;
}

void Trial::serve(std::size_t index)
{
    const Request &request = day_.requests[index];
    outcome_.demand += request.spend;
    const std::vector<std::size_t> hosts = hostsOf(request);
    // Under the split, what the home's share lacks the domain's other hosts may have.
    const std::size_t tried =
            strategy_.staticSplit ? hosts.size() : std::min<std::size_t>(hosts.size(), 1);
    for (std::size_t place = 0; place < tried; ++place) {
        if (reserveAt(hosts[place], index)) {
            accept(request, index, hosts[place]);
            return;
        }
    }
    const uint64_t budget = budgets_[request.workspace];
    if (spent_[request.workspace] + request.reserve <= budget) {
        outcome_.refused += request.spend;
    }
}

void Trial::accept(const Request &request, std::size_t index, std::size_t hostIndex)
{
    uint64_t &spent = spent_[request.workspace];
    const uint64_t over =
            spent > budgets_[request.workspace] ? 0 : budgets_[request.workspace] - spent;
    outcome_.overspent += request.spend > over ? request.spend - over : 0;
    spent += request.spend;
    running_.emplace(now_ + request.runs, Running{index, hostIndex, hosts_[hostIndex].id});
}

bool Trial::reserveFromShare(Host &host, const Request &request)
{
    uint64_t &share = host.share[request.workspace];
    if (share < request.reserve) {
        return false;
    }
    share -= request.reserve;
    return true;
}

bool Trial::reserveAt(std::size_t hostIndex, std::size_t index)
{
    const Request &request = day_.requests[index];
    Host &host = hosts_[hostIndex];
    if (strategy_.staticSplit) {
        return reserveFromShare(host, request);
    }
    const std::vector<Incarnation> witnesses = witnessesFor(hostIndex);
    GrantHolder &holder = *host.holders[request.workspace];
    for (int round = 0; round < Rounds; ++round) {
        const ReserveOutcome outcome =
                holder.reserve(reservationOf(index), request.reserve, witnesses, host.fold,
                               !cutOff(host.domain), now_);
        if (!std::holds_alternative<ReservePending>(outcome)) {
            return std::holds_alternative<ReservationDraws>(outcome);
        }
        exchange();
    }
    return false;
}

void Trial::settleEnded()
{
    while (!running_.empty() && running_.begin()->first <= now_) {
        const Running running = running_.begin()->second;
        running_.erase(running_.begin());
        Host &host = hosts_[running.host];
        if (!host.alive || host.id != running.incarnation) {
            continue;
        }
        const Request &request = day_.requests[running.request];
        if (strategy_.staticSplit) {
            host.share[request.workspace] += request.reserve - request.spend;
        } else {
            host.holders[request.workspace]->settle(reservationOf(running.request), request.spend,
                                                    now_);
        }
    }
}

void Trial::measureDoubt()
{
    if (strategy_.staticSplit) {
        return;
    }
    LedgerFold atEnd;
    for (const wire::Record &record : log_) {
        atEnd.apply(record, atEnd.nextOffset());
    }
    for (std::size_t index = 0; index < workspaces_.size(); ++index) {
        uint64_t known = spent_[index];
        for (const Host &host : hosts_) {
            known += host.alive ? host.holders[index]->unreservedTokens() : 0;
        }
        for (const auto &[end, running] : running_) {
            const Request &request = day_.requests[running.request];
            const bool held = hosts_[running.host].id == running.incarnation;
            known += request.workspace == index && held ? request.reserve - request.spend : 0;
        }
        const uint64_t allocated = atEnd.budget(workspaces_[index])->allocated;
        outcome_.inDoubt += allocated > known ? allocated - known : 0;
    }
}

} // namespace sequoiagate::bench
