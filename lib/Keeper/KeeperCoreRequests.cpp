/// Reservations: how requests begin.

#include <limits>

#include "sequoiagate/Keeper/KeeperCore.h"
#include "sequoiagate/Service/Events.h"
#include "sequoiagate/Transport/WireVerdict.h"

namespace sequoiagate {

/// When a caller should come back after a refusal that another keeper, or a little
/// patience, may cure.
static constexpr Millis ComeBackSoon{500};
/// How soon a holder that had nothing under way is asked again. Each ask counts as demand
/// in the holder's rates, so that it must not be many.
static constexpr Millis HolderPause{250};

static wire::ReserveReply refusal(Reason reason, std::string detail,
                                  std::optional<Instant> comeBackAt, Instant now)
{
    wire::ReserveReply reply;
    *reply.mutable_refused() = notRunOnWire(reason, std::move(detail), comeBackAt, now);
    return reply;
}

GrantHolder &KeeperCore::holderOf(const WorkspaceId &workspace)
{
    Shard &shard = shardOf(workspace);
    const auto found = shard.holders.find(workspace);
    if (found != shard.holders.end()) {
        return found->second;
    }
    return shard.holders.emplace(workspace, GrantHolder(workspace, self_, settings_.grants))
            .first->second;
}

void KeeperCore::heardRouter(const std::string &router, Instant now)
{
    if (!router.empty()) {
        routerSilentAt_[Incarnation(router)] = now + settings_.routerSilent;
    }
}

std::optional<wire::ReserveReply> KeeperCore::refuseEarly(const wire::ReserveRequest &request,
                                                          Instant now) const
{
    if (draining()) {
        return refusal(Reason::Draining, "this keeper is stopping: ask another", now + Millis(1),
                       now);
    }
    if (inForceVersion_ == 0) {
        return refusal(Reason::NotReady, "no configuration yet", now + ComeBackSoon, now);
    }
    if (config_.findWorkspace(WorkspaceId(request.workspace())) == nullptr) {
        return refusal(Reason::NotReady, "the workspace is not in the configuration that is known",
                       now + ComeBackSoon, now);
    }
    const uint64_t room = std::numeric_limits<uint64_t>::max() - request.prompt_tokens();
    const bool countable = request.output_ceiling() <= room
                           && request.prompt_tokens() + request.output_ceiling() > 0;
    if (!countable || request.request().empty()) {
        return refusal(Reason::BadRequest, "a reservation needs a request id and tokens", {}, now);
    }
    const Shard &shard = shardOf(WorkspaceId(request.workspace()));
    if (shard.place.state == StreamState::Gap) {
        return refusal(Reason::NotReady, "the ledger's records expired before they were read",
                       now + ComeBackSoon, now);
    }
    return std::nullopt;
}

const OpenReservation *KeeperCore::findOpenedBy(const wire::ReserveRequest &request,
                                                const RequestKey &key)
{
    const OpenReservation *open = reservations_.find(key);
    const bool isSame = open != nullptr && !open->attempt.empty()
                        && open->attempt == request.attempt()
                        && open->router.text() == request.router()
                        && (open->bodyHash.empty() || open->bodyHash == request.body_hash());
    return isSame ? open : nullptr;
}

std::optional<wire::ReserveReply> KeeperCore::answerKnown(const wire::ReserveRequest &request,
                                                          const RequestKey &key, Instant now)
{
    const auto mismatch = [&](const std::string &bodyHash) {
        return !bodyHash.empty() && bodyHash != request.body_hash();
    };
    wire::ReserveReply reply;
    if (const OpenReservation *open = reservations_.find(key)) {
        if (mismatch(open->bodyHash)) {
            return refusal(Reason::BodyMismatch, "the id is open with another body", {}, now);
        }
        reply.mutable_running()->set_router(open->router.text());
        reply.mutable_running()->set_router_address(open->routerAddress);
        reply.mutable_running()->set_endpoint(open->endpoint);
        return reply;
    }
    if (const HeldBill *held = bills_.find(key)) {
        if (mismatch(held->bodyHash)) {
            return refusal(Reason::BodyMismatch, "the id was billed with another body", {}, now);
        }
        *reply.mutable_billed() = held->bill;
        return reply;
    }
    // Billed by another keeper, perhaps long ago: running it again would be a second run
    // of one request, and its tokens would never be invoiced.
    if (shardOf(key.workspace).fold.billed(key.workspace, key.request)) {
        reply.mutable_billed()->set_workspace(key.workspace.text());
        reply.mutable_billed()->set_request(key.request.text());
        return reply;
    }
    return std::nullopt;
}

Step<wire::ReserveReply> KeeperCore::reserve(const wire::ReserveRequest &request,
                                             const ReservationId &id, Instant now)
{
    heardRouter(request.router(), now);
    routerAt_[request.router_address()] = Incarnation(request.router());
    const RequestKey key{WorkspaceId(request.workspace()), RequestId(request.request())};
    // The response was lost. A keeper that drains waits for this reservation, and the router can't
    // end it without its id.
    if (const OpenReservation *open = findOpenedBy(request, key)) {
        return openReservation(request, key, {open->id, open->tokens, open->draws});
    }
    if (std::optional<wire::ReserveReply> refused = refuseEarly(request, now)) {
        return *refused;
    }
    if (std::optional<wire::ReserveReply> known = answerKnown(request, key, now)) {
        return *known;
    }
    Shard &shard = shardOf(key.workspace);
    GrantHolder &holder = holderOf(key.workspace);
    const uint64_t tokens = request.prompt_tokens() + request.output_ceiling();
    const ReserveOutcome outcome = holder.reserve(id, tokens, view_.witnessesFor(key.workspace),
                                                  shard.fold, reachable(shard.place, now), now);
    pump(shard, holder, now);
    if (const auto *draws = std::get_if<ReservationDraws>(&outcome)) {
        return openReservation(request, key, *draws);
    }
    if (const auto *later = std::get_if<ReservePending>(&outcome)) {
        return AskAgain{later->until};
    }
    if (budgetOnItsWay(key.workspace, tokens, now)) {
        return AskAgain{now + HolderPause};
    }
    wire::ReserveReply reply;
    *reply.mutable_refused() = verdictToWire(std::get<Verdict>(outcome), now);
    return reply;
}

/// Whether budget for \p tokens is a moment away: a configuration in force whose total
/// isn't recorded yet, a ledger that is still being read, or a remainder that the holder
/// pauses before it claims again. To refuse now would turn a request away though budget
/// remains; the caller's wait is bounded by settings.reserveWait.
bool KeeperCore::budgetOnItsWay(const WorkspaceId &workspace, uint64_t tokens, Instant now) const
{
    const Shard &shard = shardOf(workspace);
    if (shard.place.state == StreamState::CatchingUp) {
        return true;
    }
    const LedgerBudget *budget = shard.fold.budget(workspace);
    const bool unallocated = budget != nullptr && budget->remainder() >= tokens;
    return reachable(shard.place, now) && (fundingDue_.count(workspace) > 0 || unallocated);
}

wire::ReserveReply KeeperCore::openReservation(const wire::ReserveRequest &request,
                                               const RequestKey &key, const ReservationDraws &draws)
{
    if (reservations_.find(key) == nullptr) {
        OpenReservation open;
        open.id = draws.id;
        open.key = key;
        open.bodyHash = request.body_hash();
        open.attempt = request.attempt();
        open.model = request.model();
        open.promptTokens = request.prompt_tokens();
        open.tokens = draws.tokens;
        open.draws = draws.draws;
        open.router = Incarnation(request.router());
        open.routerAddress = request.router_address();
        reservations_.open(std::move(open));
        events_.push_back(Event(events::ReservationMade)
                                  .with("workspace", key.workspace)
                                  .with("request", key.request)
                                  .with("reservation", draws.id)
                                  .with("tokens", draws.tokens));
    }
    wire::ReserveReply reply;
    wire::Reservation &reservation = *reply.mutable_reservation();
    reservation.set_id(draws.id.text());
    reservation.set_tokens(draws.tokens);
    reservation.set_keeper(self_.text());
    for (const Draw &draw : draws.draws) {
        wire::GrantDraw &entry = *reservation.add_draws();
        entry.set_grant(draw.grant.text());
        entry.set_tokens(draw.tokens);
    }
    return reply;
}

} // namespace sequoiagate
