// KeeperCore's dealings with other keepers, operators and a planned stop.

#include <algorithm>

#include "sequoiagate/Keeper/KeeperCore.h"
#include "sequoiagate/Service/Events.h"
#include "sequoiagate/Transport/WireVerdict.h"

namespace sequoiagate {

/// A seal or rewitness may lose a race or its reason: how soon it is thought of again.
static constexpr Seconds SuspicionAgain{5};

// ---- grants' actions ----

void KeeperCore::pump(Shard &shard, GrantHolder &holder, Instant now)
{
    for (GrantAction &action : holder.takeActions()) {
        if (auto *append = std::get_if<AppendAction>(&action)) {
            push(shard.queue, std::move(append->record), now);
        } else if (auto *ask = std::get_if<RequestWindowAction>(&action)) {
            windowAsks_.push_back(std::move(*ask));
            addWork(WorkKind::AskWindow);
        }
    }
}

void KeeperCore::pumpWitness(Shard &shard, Instant now)
{
    for (GrantAction &action : shard.witness.takeActions()) {
        if (auto *append = std::get_if<AppendAction>(&action)) {
            push(shard.queue, std::move(append->record), now);
        }
    }
}

void KeeperCore::pumpAll(Shard &shard, Instant now)
{
    for (auto &[workspace, holder] : shard.holders) {
        pump(shard, holder, now);
    }
    pumpWitness(shard, now);
}

std::optional<RequestWindowAction> KeeperCore::takeWindowAsk()
{
    if (windowAsks_.empty()) {
        return std::nullopt;
    }
    RequestWindowAction next = std::move(windowAsks_.front());
    windowAsks_.pop_front();
    return next;
}

void KeeperCore::onWindow(const RequestWindowAction &asked, uint64_t signedTotal, Instant now)
{
    Shard &shard = shardOf(asked.workspace);
    GrantHolder &holder = holderOf(asked.workspace);
    holder.onWindow(asked.grant, asked.witness, signedTotal, now);
    pump(shard, holder, now);
    ++progress_;
}

void KeeperCore::onWindowRefused(const RequestWindowAction &asked, bool final, Instant now)
{
    Shard &shard = shardOf(asked.workspace);
    GrantHolder &holder = holderOf(asked.workspace);
    holder.onWindowRefused(asked.grant, asked.witness, final, now);
    pump(shard, holder, now);
    ++progress_;
}

wire::SignWindowReply KeeperCore::signWindow(const wire::SignWindowRequest &request, Instant now)
{
    const GrantId grant(request.grant());
    Shard &shard = shardOf(WorkspaceId(request.workspace()));
    const SignOutcome outcome =
            shard.witness.sign(grant, Incarnation(request.holder()), request.received_tokens(),
                               request.want_tokens(), shard.fold, shard.place.heardAt, now);
    pumpWitness(shard, now);
    wire::SignWindowReply reply;
    if (const auto *verdict = std::get_if<Verdict>(&outcome)) {
        *reply.mutable_refused() = verdictToWire(*verdict, now);
        return reply;
    }
    reply.set_signed_total(std::get<uint64_t>(outcome));
    events_.push_back(Event(events::WindowSigned)
                              .with("grant", grant)
                              .with("workspace", request.workspace())
                              .with("holder", request.holder())
                              .with("signed_total", reply.signed_total()));
    return reply;
}

// ---- suspicion ----

/// Acts on peers believed dead, but only while the log answers. A seal or rewitness that
/// can't be appended gains nothing, and what goes before it (the witness stops signing,
/// the holder stops taking) would starve a live holder for as long as the log is away.
void KeeperCore::suspectPeers(Shard &shard, Instant now)
{
    if (!reachable(shard.place, now)) {
        return;
    }
    const auto due = [&](const GrantId &grant) {
        Instant &againAt = shard.suspicionAgainAt[grant];
        if (againAt > now) {
            return false;
        }
        againAt = now + SuspicionAgain;
        return true;
    };
    for (const LedgerGrant *grant : shard.fold.grantsWitnessedBy(self_)) {
        if (view_.suspected(grant->holder, now) && due(grant->id)) {
            shard.witness.onHolderSuspected(grant->holder, shard.fold, now);
        }
    }
    for (const LedgerGrant *grant : shard.fold.grantsHeldBy(self_)) {
        const bool suspect = !grant->witness.empty() && view_.suspected(grant->witness, now);
        const auto holder = shard.holders.find(grant->workspace);
        if (suspect && holder != shard.holders.end() && due(grant->id)) {
            holder->second.onWitnessSuspected(grant->witness, view_.witnessesFor(grant->workspace),
                                              now);
        }
    }
    std::erase_if(shard.suspicionAgainAt,
                  [&](const auto &entry) { return entry.second + SuspicionAgain < now; });
}

void KeeperCore::onMembers(std::vector<wire::MemberEntry> members, Instant now)
{
    const uint64_t before = view_.serial();
    view_.setMembers(std::move(members), now);
    if (view_.serial() != before) {
        ++progress_;
    }
}

void KeeperCore::onObservation(const wire::EndpointObservation &observation)
{
    if (view_.observe(observation)) {
        ++progress_;
    }
}

// ---- views ----

Step<wire::ReadViewReply> KeeperCore::readView(const wire::ReadViewRequest &request, Instant until,
                                               Instant now)
{
    heardRouter(request.router(), now);
    for (const wire::EndpointObservation &observation : request.observations()) {
        onObservation(observation);
    }
    onVersionSeen(request.have_config_version());
    const bool newerConfig = inForceVersion_ > request.have_config_version();
    const bool newerView = view_.serial() != request.have_view_serial();
    if (!newerConfig && !newerView && !pollsEnded_ && now < until) {
        return AskAgain{until};
    }
    wire::ReadViewReply reply;
    if (newerConfig) {
        *reply.mutable_config() = config_.state();
    }
    for (wire::EndpointObservation &observation : view_.endpoints()) {
        *reply.add_endpoints() = std::move(observation);
    }
    for (wire::KeeperEntry &keeper : view_.domainKeepers()) {
        *reply.add_keepers() = std::move(keeper);
    }
    reply.set_view_serial(view_.serial());
    reply.set_draining(draining());
    reply.set_config_version(inForceVersion_);
    return reply;
}

wire::ReadConfigReply KeeperCore::readConfig(const wire::ReadConfigRequest &request) const
{
    wire::ReadConfigReply reply;
    if (inForceVersion_ > request.have_version()) {
        *reply.mutable_config() = config_.state();
    }
    return reply;
}

wire::ReadStatusReply KeeperCore::readStatus(const wire::ReadStatusRequest &request, Instant now,
                                             WallTime wall) const
{
    wire::ReadStatusReply reply;
    wire::KeeperEntry &self = *reply.mutable_self();
    self.set_host(view_.self().host());
    self.set_incarnation(self_.text());
    self.set_domain(view_.self().domain());
    self.set_address(view_.self().address());
    self.set_draining(draining());
    reply.set_config_version(inForceVersion_);
    reply.set_config_offset(config_.state().offset());
    reply.set_open_reservations(reservations_.size());
    reply.set_pending_bills(bills_.pending());
    const bool gap = std::any_of(shards_.begin(), shards_.end(), [](const auto &shard) {
        return shard->place.state == StreamState::Gap;
    });
    reply.set_serving(!draining() && inForceVersion_ > 0 && !gap);
    if (!reply.serving()) {
        reply.set_not_serving_reason(draining() ? "draining"
                                     : gap      ? "gap in a ledger stream"
                                                : "no configuration yet");
    }
    const auto heardWall = wall.time_since_epoch() - (now - configPlace_.heardAt);
    reply.set_log_heard_wall_us(
            std::chrono::duration_cast<std::chrono::microseconds>(heardWall).count());
    for (const auto &shard : shards_) {
        describeShard(*shard, request, reply);
    }
    if (request.with_members()) {
        for (const wire::MemberEntry &member : view_.members()) {
            *reply.add_members() = member;
        }
    }
    for (wire::EndpointObservation &observation : view_.endpoints()) {
        *reply.add_endpoints() = std::move(observation);
    }
    return reply;
}

void KeeperCore::describeShard(const Shard &shard, const wire::ReadStatusRequest &request,
                               wire::ReadStatusReply &reply) const
{
    const auto wanted = [&](const std::string &workspace) {
        return request.workspace().empty() || request.workspace() == workspace;
    };
    reply.set_ledger_offset(reply.ledger_offset() + shard.fold.nextOffset());
    for (const auto &[workspace, holder] : shard.holders) {
        if (!wanted(workspace.text())) {
            continue;
        }
        for (const wire::HeldGrant &grant : holder.describe()) {
            *reply.add_grants() = grant;
        }
    }
    for (const wire::WorkspaceConfig &entry : config_.state().workspaces()) {
        const LedgerBudget *budget = shard.fold.budget(WorkspaceId(entry.workspace()));
        if (budget == nullptr || !wanted(entry.workspace())) {
            continue;
        }
        wire::BudgetState &state = *reply.add_budgets();
        state.set_workspace(entry.workspace());
        state.set_total_tokens(budget->total);
        state.set_allocated_tokens(budget->allocated);
        state.set_config_version(budget->configVersion);
        state.set_unmet_tokens(budget->unmetTokens);
        state.set_billed_tokens(budget->billed);
    }
}

// ---- planned stop ----

void KeeperCore::beginDrain()
{
    if (draining()) {
        return;
    }
    drain_.handle("stop");
    // What only backs up another keeper doesn't hold up this one's stop: the reservation
    // itself is held elsewhere.
    for (const OpenReservation *open : reservations_.all()) {
        if (open->backup) {
            reservations_.close(ReservationId(open->id));
        }
    }
    view_.setDraining();
    events_.push_back(Event(events::ProcessDraining).with("open", reservations_.size()));
    ++progress_;
}

bool KeeperCore::fitForWork() const
{
    const bool allRead = std::all_of(shards_.begin(), shards_.end(), [](const auto &shard) {
        return shard->place.state == StreamState::Current;
    });
    return allRead && !draining();
}

bool KeeperCore::drained(Instant now, WallTime wall)
{
    wall_ = wall;
    const bool claimsOpen = std::any_of(claims_.begin(), claims_.end(),
                                        [](const auto &entry) { return !entry.second.withdrawn; });
    if (reservations_.size() > 0 || claimsOpen) {
        return false;
    }
    bool done = bills_.pending() == 0 && configQueue_.empty();
    for (const auto &shard : shards_) {
        for (auto &[workspace, holder] : shard->holders) {
            done = holder.drain(now) && done;
        }
        pumpAll(*shard, now);
        done = shard->queue.empty() && done;
    }
    if (done) {
        drain_.handle("empty");
    }
    return done;
}

void KeeperCore::endPolls()
{
    pollsEnded_ = true;
    ++progress_;
}

uint64_t KeeperCore::strandedTokens() const
{
    uint64_t tokens = 0;
    for (const auto &shard : shards_) {
        for (const LedgerGrant *grant : shard->fold.grantsHeldBy(self_)) {
            tokens += grant->tokens;
        }
    }
    return tokens;
}

} // namespace sequoiagate
