/// How requests end: settled by their router, billed elsewhere, or found out about when
/// the router is gone.

#include <algorithm>

#include <fmt/format.h>

#include "sequoiagate/Keeper/KeeperCore.h"
#include "sequoiagate/Service/Events.h"

namespace sequoiagate {

/// How long, and how often, a settle is handed to the keeper that holds its reservation.
static constexpr Seconds ForwardFor{30};
static constexpr Millis ForwardAgain{300};
/// What a settle answers when there is nothing to wait for.
static constexpr uint64_t NothingToWaitFor = 1;

static bool saysNotRun(const wire::SettleRequest &request)
{
    const bool nothingSpent =
            request.bill().prompt_tokens() == 0 && request.bill().completion_tokens() == 0;
    return request.execution() == wire::NOT_RUN
           || (request.execution() == wire::EXECUTION_UNSPECIFIED && nothingSpent);
}

static wire::SettleReply settled(uint64_t durableOffset)
{
    wire::SettleReply reply;
    reply.set_held(true);
    reply.set_durable_offset(durableOffset);
    return reply;
}

void KeeperCore::releaseUnheard(const ReservationId &id, Instant now)
{
    if (OpenReservation *open = reservations_.find(id); open != nullptr) {
        endReservation(*open, wire::Bill(), 0, now);
    }
}

/// A lost host takes its router and its keeper with it. When that keeper was the home of
/// a request that the router served, nobody would be left who knows of the stream, and what
/// the engine did for it would never be billed. So a keeper on another host knows of it, too,
/// and does what the home would do when the router is gone; if both do it, the fold takes
/// the first bill. \returns whether it is noted.
bool KeeperCore::openBackup(const wire::SettleRequest &request)
{
    const RequestKey key{WorkspaceId(request.bill().workspace()),
                         RequestId(request.bill().request())};
    // The note may come later than the bill that ended the request.
    const bool ended = bills_.find(key) != nullptr
                       || shardOf(key.workspace).fold.billed(key.workspace, key.request);
    if (draining() || ended || reservations_.find(key) != nullptr) {
        return false;
    }
    OpenReservation open;
    open.id = ReservationId(request.reservation());
    open.key = key;
    open.bodyHash = request.body_hash();
    open.model = request.bill().model();
    open.promptTokens = request.prompt_bound();
    open.tokens = request.reserved_tokens();
    open.routerAddress = request.router_address();
    open.backup = true;
    reservations_.open(std::move(open));
    return true;
}

wire::SettleReply KeeperCore::noteOpen(const wire::SettleRequest &request)
{
    const ReservationId id(request.reservation());
    wire::SettleReply reply;
    if (request.backup() && reservations_.find(id) == nullptr) {
        openBackup(request);
    }
    OpenReservation *open = reservations_.find(id);
    reply.set_held(open != nullptr);
    if (open != nullptr) {
        open->router = Incarnation(request.router());
        open->endpoint = request.bill().endpoint();
        open->endpointAddress = request.endpoint_address();
        open->engineStream = request.engine_stream();
    }
    return reply;
}

wire::SettleReply KeeperCore::settle(const wire::SettleRequest &request, bool byRouter, Instant now,
                                     WallTime wall)
{
    wall_ = wall;
    heardRouter(request.router(), now);
    OpenReservation *open = reservations_.find(ReservationId(request.reservation()));
    if (request.still_open()) {
        return noteOpen(request);
    }
    if (open != nullptr) {
        return settleOpen(*open, request, now);
    }
    // The reservation was another keeper's, or has been ended here already. The bill is
    // taken all the same: a keeper that died can't append it, and a request without a
    // bill was served for nothing. The fold takes the first of several.
    const RequestKey key{WorkspaceId(request.bill().workspace()),
                         RequestId(request.bill().request())};
    if (byRouter && !request.backup()) {
        forwardSettle(request, now);
    }
    if (saysNotRun(request) || key.request.empty()) {
        return settled(NothingToWaitFor);
    }
    holdBill(key, request.bill(), "", now);
    return billState(key);
}

/// The bill of a reservation, never above it: the invoice must not exceed what was
/// debited, or the sum of invoices could exceed the budget.
static wire::Bill boundedBill(const wire::Bill &asked, const OpenReservation &reservation)
{
    wire::Bill bill = asked;
    bill.set_workspace(reservation.key.workspace.text());
    bill.set_request(reservation.key.request.text());
    if (bill.model().empty()) {
        bill.set_model(reservation.model);
    }
    bill.set_prompt_tokens(std::min(bill.prompt_tokens(), reservation.tokens));
    bill.set_completion_tokens(
            std::min(bill.completion_tokens(), reservation.tokens - bill.prompt_tokens()));
    return bill;
}

wire::SettleReply KeeperCore::settleOpen(OpenReservation &reservation,
                                         const wire::SettleRequest &request, Instant now)
{
    const RequestKey key = reservation.key;
    if (saysNotRun(request)) {
        endReservation(reservation, wire::Bill(), 0, now);
        return settled(NothingToWaitFor);
    }
    const uint64_t asked = request.bill().prompt_tokens() + request.bill().completion_tokens();
    if (asked == 0 && request.execution() == wire::MAY_HAVE_RUN) {
        // The router doesn't know how far the stream got: the engine is asked.
        reservation.routerGaveUp = true;
        if (!request.engine_stream().empty()) {
            reservation.endpointAddress = request.endpoint_address();
            reservation.engineStream = request.engine_stream();
        }
        inquire(reservation);
        return settled(0);
    }
    const wire::Bill bill = boundedBill(request.bill(), reservation);
    const uint64_t billed = bill.prompt_tokens() + bill.completion_tokens();
    if (billed < asked) {
        events_.push_back(Event("bill.bounded")
                                  .with("workspace", key.workspace)
                                  .with("request", key.request)
                                  .with("asked", asked)
                                  .with("billed", billed));
    }
    // Where nobody knows how far a stream got it may still be running: all that was set
    // aside counts as spent, or its tokens would be spent a second time by others.
    const uint64_t spent = bill.in_doubt() ? reservation.tokens : billed;
    endReservation(reservation, bill, spent, now);
    return billState(key);
}

void KeeperCore::endReservation(OpenReservation &reservation, wire::Bill bill, uint64_t spent,
                                Instant now)
{
    const RequestKey key = reservation.key;
    Shard &shard = shardOf(key.workspace);
    GrantHolder &holder = holderOf(key.workspace);
    const std::vector<Draw> draws = holder.settle(reservation.id, spent, now);
    events_.push_back(Event(events::ReservationSettled)
                              .with("workspace", key.workspace)
                              .with("request", key.request)
                              .with("reservation", reservation.id)
                              .with("spent", spent));
    const std::string bodyHash = reservation.bodyHash;
    const bool backup = reservation.backup;
    reservations_.close(ReservationId(reservation.id));
    if (bill.prompt_tokens() + bill.completion_tokens() > 0) {
        if (!backup) {
            bill.clear_draws();
        }
        for (const Draw &draw : draws) {
            wire::GrantDraw &entry = *bill.add_draws();
            entry.set_grant(draw.grant.text());
            entry.set_tokens(draw.tokens);
        }
        bill.set_domain(view_.self().domain());
        holdBill(key, std::move(bill), bodyHash, now);
    }
    pump(shard, holder, now);
    ++progress_;
}

/// A bill that draws on an open reservation's own grants ends it, whoever appended it: the
/// router settled with another keeper, and a forward may have been lost. A bill of the same
/// request that draws on others' grants is of a second run, cut off from this one, which
/// goes on.
void KeeperCore::closeBilledElsewhere(const RequestKey &key, const wire::Bill &bill, Instant now)
{
    OpenReservation *open = reservations_.find(key);
    if (open == nullptr) {
        return;
    }
    if (open->backup) {
        endReservation(*open, wire::Bill(), 0, now);
        return;
    }
    if (bill.draws().empty()) {
        return;
    }
    for (const wire::GrantDraw &draw : bill.draws()) {
        const bool own = std::any_of(open->draws.begin(), open->draws.end(), [&](const Draw &had) {
            return had.grant.text() == draw.grant();
        });
        if (!own) {
            return;
        }
    }
    const uint64_t billed = bill.prompt_tokens() + bill.completion_tokens();
    const uint64_t spent = bill.in_doubt() ? open->tokens : std::min(billed, open->tokens);
    endReservation(*open, wire::Bill(), spent, now);
}

void KeeperCore::holdBill(const RequestKey &key, wire::Bill bill, const std::string &bodyHash,
                          Instant now)
{
    Shard &shard = shardOf(key.workspace);
    if (bills_.find(key) != nullptr || shard.fold.billed(key.workspace, key.request)) {
        return;
    }
    wire::Record record;
    *record.mutable_bill() = bill;
    bills_.hold(key, std::move(bill), bodyHash);
    push(shard.queue, std::move(record), now + settings_.billFlush);
}

wire::SettleReply KeeperCore::billState(const RequestKey &key)
{
    if (const HeldBill *held = bills_.find(key)) {
        return settled(held->durableOffset);
    }
    const LedgerFold &fold = shardOf(key.workspace).fold;
    return settled(fold.billed(key.workspace, key.request) ? fold.nextOffset() : 0);
}

// ---- routers that went silent ----

void KeeperCore::askAfterSilentRouters(Instant now)
{
    for (OpenReservation *reservation : reservations_.all()) {
        const auto silentAt =
                routerSilentAt_.try_emplace(reservation->router, now + settings_.routerSilent);
        if (!reservation->inquiryOpen && silentAt.first->second <= now) {
            inquire(*reservation);
        }
    }
    if (reservations_.size() == 0) {
        std::erase_if(routerSilentAt_, [&](const auto &entry) { return entry.second <= now; });
    }
}

void KeeperCore::inquire(OpenReservation &reservation)
{
    if (reservation.inquiryOpen) {
        return;
    }
    reservation.inquiryOpen = true;
    StreamInquiry inquiry;
    inquiry.reservation = reservation.id;
    inquiry.key = reservation.key;
    inquiry.routerAddress = reservation.routerAddress;
    inquiry.routerGaveUp = reservation.routerGaveUp;
    const auto serving = routerAt_.find(reservation.routerAddress);
    inquiry.routerSuperseded = serving != routerAt_.end() && serving->second != reservation.router;
    inquiry.endpointAddress = reservation.endpointAddress;
    inquiry.engineStream = reservation.engineStream;
    for (const wire::EndpointChange &endpoint : config_.state().endpoints()) {
        const auto &services = endpoint.services();
        const bool offers =
                reservation.model.empty()
                || std::find(services.begin(), services.end(), reservation.model) != services.end();
        if (endpoint.kind() != wire::PLAIN_SERVICE && offers) {
            inquiry.candidates.push_back(endpoint.address());
        }
    }
    inquiries_.push_back(std::move(inquiry));
    addWork(WorkKind::Inquire);
}

bool KeeperCore::inquiryNeeded(const StreamInquiry &inquiry, Instant now)
{
    OpenReservation *open = reservations_.find(inquiry.reservation);
    if (open == nullptr) {
        return false;
    }
    const bool heardAgain = routerSilentAt_[open->router] > now;
    if (heardAgain && !inquiry.routerGaveUp) {
        open->inquiryOpen = false;
        return false;
    }
    return true;
}

std::optional<StreamInquiry> KeeperCore::takeInquiry(Instant now)
{
    while (!inquiries_.empty()) {
        StreamInquiry next = std::move(inquiries_.front());
        inquiries_.pop_front();
        if (inquiryNeeded(next, now)) {
            return next;
        }
    }
    return std::nullopt;
}

/// The grant that a settle's reservation draws on; nullptr: this fold doesn't know it (yet).
const LedgerGrant *KeeperCore::grantDrawnOn(const wire::SettleRequest &request) const
{
    const LedgerFold &fold = shardOf(WorkspaceId(request.bill().workspace())).fold;
    return request.bill().draws().empty() ? nullptr
                                          : fold.grant(GrantId(request.bill().draws(0).grant()));
}

/// Hands a settle to the keeper that holds the reservation: the one whose grants it draws
/// on. Routers settle with the workspace's home, which moves when a keeper drains or is
/// suspected. Without this the old home would keep the tokens set aside, and its planned
/// stop would wait in vain for a request that has long ended. It is tried for a while: the
/// router says "not run" once only, and the grant's claim or its holder may not be known
/// here yet.
void KeeperCore::forwardSettle(const wire::SettleRequest &request, Instant now)
{
    const bool queued = std::any_of(forwards_.begin(), forwards_.end(), [&](const auto &forward) {
        return forward.request.reservation() == request.reservation();
    });
    if (!queued && !request.bill().draws().empty()) {
        forwards_.push_back({request, now, now + ForwardFor, {}});
        addWork(WorkKind::Forward);
    }
}

std::optional<SettleForward> KeeperCore::takeForward(Instant now)
{
    std::erase_if(forwards_, [&](const SettleForward &forward) {
        const LedgerGrant *grant = grantDrawnOn(forward.request);
        return forward.giveUpAt <= now || (grant != nullptr && grant->holder == self_);
    });
    for (auto next = forwards_.begin(); next != forwards_.end(); ++next) {
        const LedgerGrant *grant = grantDrawnOn(next->request);
        const wire::MemberEntry *holder = grant == nullptr ? nullptr : view_.member(grant->holder);
        const bool live = holder != nullptr && !view_.suspected(grant->holder, now);
        if (next->notBefore <= now && live) {
            SettleForward forward = std::move(*next);
            forward.keeper = *holder;
            forwards_.erase(next);
            return forward;
        }
    }
    return std::nullopt;
}

void KeeperCore::returnForward(SettleForward forward, Instant now)
{
    forward.notBefore = now + ForwardAgain;
    forwards_.push_back(std::move(forward));
}

void KeeperCore::onStreamAnswer(const StreamInquiry &inquiry, const StreamAnswer &answer,
                                Instant now, WallTime wall)
{
    wall_ = wall;
    OpenReservation *open = reservations_.find(inquiry.reservation);
    if (open == nullptr) {
        return;
    }
    open->inquiryOpen = false;
    if (answer.routerAlive) {
        heardRouter(open->router.text(), now);
        return;
    }
    const bool heardAgain = routerSilentAt_[open->router] > now;
    if (heardAgain && !open->routerGaveUp) {
        return;
    }
    events_.push_back(Event("reservation.recovered")
                              .with("workspace", open->key.workspace)
                              .with("request", open->key.request)
                              .with("generated", answer.usage
                                                         ? fmt::to_string(answer.usage->generated)
                                                         : "unknown")
                              .with("router_gone", answer.routerGone));
    wire::Bill bill;
    bill.set_endpoint(open->endpoint);
    if (answer.usage) {
        bill.set_prompt_tokens(answer.usage->promptTokens.value_or(open->promptTokens));
        bill.set_completion_tokens(answer.usage->generated);
    } else if (!answer.unknownEverywhere) {
        bill.set_prompt_tokens(open->promptTokens);
        bill.set_completion_tokens(open->tokens - open->promptTokens);
        bill.set_in_doubt(true);
    }
    bill = boundedBill(bill, *open);
    // A router that is only paused may wake and send the request again under this
    // reservation. Unless its process is known to be gone, all that was set aside counts
    // as spent; the bill says what the engine generated.
    const uint64_t billed = bill.prompt_tokens() + bill.completion_tokens();
    const bool surelyOver = answer.routerGone && !bill.in_doubt();
    endReservation(*open, bill, surelyOver ? billed : open->tokens, now);
}

} // namespace sequoiagate
