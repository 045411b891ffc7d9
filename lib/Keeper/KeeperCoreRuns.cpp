// KeeperCore's answers about calls that run at most once.

#include <algorithm>

#include "sequoiagate/Keeper/KeeperCore.h"
#include "sequoiagate/Service/Events.h"
#include "sequoiagate/Transport/WireVerdict.h"

namespace sequoiagate {

static constexpr Millis ComeBackSoon{1000};
/// How long an attempt that must never run is remembered; a claimer asks within seconds.
static constexpr std::chrono::hours RememberAttempt{1};
/// How far a key's time may be ahead of this host's clock.
static constexpr std::chrono::minutes ClockSkew{10};

static wire::ClaimRunReply refusal(Execution execution, Reason reason, std::string detail,
                                   std::optional<Instant> comeBackAt, Instant now)
{
    wire::ClaimRunReply reply;
    *reply.mutable_refused() =
            verdictToWire({execution, reason, std::move(detail), comeBackAt}, now);
    return reply;
}

static wire::ClaimRunReply logUnavailable(Instant now)
{
    return refusal(Execution::NotRun, Reason::LogUnavailable,
                   "the claim could not be recorded in time; it was not run", now + ComeBackSoon,
                   now);
}

/// Past the retention a claim for the key may have stood and been forgotten: that the key
/// is unknown says nothing, and running it could be the second time. Only the caller can
/// tell, so the answer is "may have run".
std::optional<wire::ClaimRunReply> KeeperCore::refuseKey(const wire::RunClaim &claim, Instant now,
                                                         WallTime wall) const
{
    const std::optional<WallTime> made = uuid7Time(claim.key());
    if (!made || *made > wall + ClockSkew) {
        return refusal(Execution::NotRun, Reason::BadRequest,
                       "the key is not a UUIDv7 of the present time", {}, now);
    }
    if (*made + settings_.claimsRetention <= wall) {
        return refusal(Execution::MayHaveRun, Reason::KeyTooOld,
                       "the key is older than the claims that are kept", {}, now);
    }
    return std::nullopt;
}

static wire::RunState runState(const LedgerRun &run)
{
    wire::RunState state;
    *state.mutable_claim() = run.claim;
    state.set_writer(run.writer.text());
    state.set_offset(run.offset);
    if (run.outcome) {
        *state.mutable_outcome() = *run.outcome;
    }
    return state;
}

wire::ReadRunReply KeeperCore::readRun(const WorkspaceId &workspace, const RunKey &key) const
{
    wire::ReadRunReply reply;
    if (const LedgerRun *run = shardOf(workspace).fold.run(workspace, key)) {
        *reply.mutable_run() = runState(*run);
    }
    return reply;
}

wire::ClaimRunReply KeeperCore::standingRun(const wire::RunClaim &claim, const LedgerRun &run) const
{
    wire::ClaimRunReply reply;
    *reply.mutable_taken() = runState(run);
    if (run.claim.body_hash() != claim.body_hash()) {
        // Says nothing of the standing claim's own run.
        return refusal(Execution::NotRun, Reason::BodyMismatch, "the key came with another body",
                       {}, Instant());
    }
    return reply;
}

Step<wire::ClaimRunReply> KeeperCore::claimRun(const wire::ClaimRunRequest &request, Instant now,
                                               WallTime wall)
{
    wall_ = wall;
    heardRouter(request.router(), now);
    const wire::RunClaim &claim = request.claim();
    const auto found = claims_.find(AttemptId(claim.attempt()));
    if (found != claims_.end()) {
        return followClaim(found->second, now, wall);
    }
    if (std::optional<wire::ClaimRunReply> refused = refuseKey(claim, now, wall)) {
        return *refused;
    }
    const WorkspaceId workspace(claim.workspace());
    Shard &shard = shardOf(workspace);
    const LedgerRun *run = shard.fold.run(workspace, RunKey(claim.key()));
    if (run != nullptr && !run->keyAvailable()) {
        return standingRun(claim, *run);
    }
    if (draining()) {
        return refusal(Execution::NotRun, Reason::Draining, "this keeper is stopping: ask another",
                       now + Millis(1), now);
    }
    if (claim.attempt().empty()) {
        return refusal(Execution::NotRun, Reason::BadRequest, "a claim names its attempt", {}, now);
    }
    if (!reachable(shard.place, now)) {
        return logUnavailable(now);
    }
    wire::Record record;
    *record.mutable_run_claim() = claim;
    PendingClaim pending;
    pending.claim = claim;
    pending.giveUpAt = now + settings_.claimWait;
    pending.sequence = push(shard.queue, std::move(record), now);
    const Instant giveUpAt = pending.giveUpAt;
    events_.push_back(Event("run.claiming")
                              .with("workspace", workspace)
                              .with("key", claim.key())
                              .with("attempt", claim.attempt()));
    claims_.emplace(AttemptId(claim.attempt()), std::move(pending));
    return AskAgain{giveUpAt};
}

Step<wire::ClaimRunReply> KeeperCore::followClaim(PendingClaim &pending, Instant now, WallTime wall)
{
    const AttemptId attempt(pending.claim.attempt());
    const WorkspaceId workspace(pending.claim.workspace());
    const LedgerFold &fold = shardOf(workspace).fold;
    // The deadline goes before what the log says: a claimer paused past it has been given
    // up by its router, which has told its caller "not run". Were the claim then answered
    // "may run", that would be a lie as soon as anything ran.
    if (!pending.withdrawn && now >= pending.giveUpAt) {
        withdrawClaim(attempt, now, wall);
    }
    if (pending.withdrawn) {
        return logUnavailable(now);
    }
    if (!fold.folded(self_, pending.sequence)) {
        return AskAgain{pending.giveUpAt};
    }
    const LedgerRun *run = fold.run(workspace, RunKey(pending.claim.key()));
    const wire::RunClaim claim = pending.claim;
    claims_.erase(attempt);
    if (run == nullptr) {
        return refusal(Execution::NotRun, Reason::Internal, "the log refused the claim",
                       now + ComeBackSoon, now);
    }
    // Only the first claim in the log's order may run, and only if it is this very try's:
    // any other answer here would let two claimers of one key both send the call.
    const bool first = run->claim.attempt() == attempt.text() && run->writer == self_;
    if (!first) {
        return standingRun(claim, *run);
    }
    events_.push_back(Event(events::RunClaimed)
                              .with("workspace", workspace)
                              .with("key", claim.key())
                              .with("attempt", attempt)
                              .with("offset", run->offset));
    wire::ClaimRunReply reply;
    reply.set_may_run(true);
    return reply;
}

void KeeperCore::withdrawClaim(const AttemptId &attempt, Instant now, WallTime wall)
{
    wall_ = wall;
    const auto found = claims_.find(attempt);
    if (found == claims_.end() || found->second.withdrawn) {
        return;
    }
    PendingClaim &pending = found->second;
    pending.withdrawn = true;
    pending.forgetAt = now + RememberAttempt;
    // No copy of it is sent from now on. One that is under way may stand all the same.
    shardOf(WorkspaceId(pending.claim.workspace())).queue.withdraw(pending.sequence);
    undoClaim(pending, now);
    events_.push_back(Event("run.withdrawn")
                              .with("workspace", pending.claim.workspace())
                              .with("key", pending.claim.key())
                              .with("attempt", attempt));
}

/// A claim that its claimer gave up may turn up on the log all the same, and would say
/// "may have run" for ever, though it surely did not. Its outcome says so.
void KeeperCore::undoClaim(PendingClaim &pending, Instant now)
{
    const WorkspaceId workspace(pending.claim.workspace());
    Shard &shard = shardOf(workspace);
    const LedgerRun *run = shard.fold.run(workspace, RunKey(pending.claim.key()));
    const bool stands =
            run != nullptr && run->claim.attempt() == pending.claim.attempt() && !run->outcome;
    if (pending.undone || !stands) {
        return;
    }
    pending.undone = true;
    wire::Record record;
    wire::RunOutcome &outcome = *record.mutable_run_outcome();
    outcome.set_workspace(pending.claim.workspace());
    outcome.set_key(pending.claim.key());
    outcome.set_attempt(pending.claim.attempt());
    outcome.set_execution(wire::NOT_RUN);
    push(shard.queue, std::move(record), now);
}

wire::FinishRunReply KeeperCore::finishRun(const wire::FinishRunRequest &request, Instant now,
                                           WallTime wall)
{
    wall_ = wall;
    const wire::RunOutcome &outcome = request.outcome();
    const WorkspaceId workspace(outcome.workspace());
    const AttemptId attempt(outcome.attempt());
    Shard &shard = shardOf(workspace);
    const LedgerRun *run = shard.fold.run(workspace, RunKey(outcome.key()));
    wire::FinishRunReply reply;
    reply.set_held(true);
    const auto found = outcomes_.find(attempt);
    const bool readBack =
            found != outcomes_.end() && shard.fold.folded(self_, found->second.sequence);
    if (readBack || (run != nullptr && run->outcome)) {
        reply.set_durable_offset(shard.fold.nextOffset());
        return reply;
    }
    if (found == outcomes_.end()) {
        wire::Record record;
        *record.mutable_run_outcome() = outcome;
        const uint64_t sequence = push(shard.queue, std::move(record), now);
        outcomes_.emplace(attempt, OutcomeOnWay{sequence, now + RememberAttempt});
    }
    return reply;
}

} // namespace sequoiagate
