#include "TokenWaitQueue.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace sequoiagate {

namespace {

/// The longest that a request waits for tokens: enough for a claim (about 15 ms) and, if the store
/// has no tokens left, for several rounds of token requests to peers.
constexpr Interval MaxTokenWait = std::chrono::milliseconds(200);

/// For this long after a request found too few tokens, requests for as many are refused at once.
constexpr Interval ShortfallDuration = std::chrono::milliseconds(300);

/// Retry delay told to callers while the store is unreachable; it isn't known when it returns.
constexpr Interval RetryDelayWithoutStore = std::chrono::milliseconds(1000);

/// Retry delay told to callers while the store still has tokens or open requests may return some.
constexpr Interval RetryDelayWithStore = std::chrono::milliseconds(400);

} // namespace

TokenWaitQueue::TokenWaitQueue(TokenHolder &holder, Hooks hooks)
    : holder_(holder), hooks_(std::move(hooks))
{}

ReservationTicket TokenWaitQueue::reserve(const ReservationRequest &request, Handler handler,
                                          Instant now)
{
    if (holder_.reserve(request.workspace, request.tokens, now)) {
        handler(std::nullopt);
        return 0;
    }
    const auto recent = shortfalls_.find(request.workspace);
    const bool isShort =
            recent != shortfalls_.end() && now < recent->second.until
            && request.tokens >= recent->second.tokens
            && holder_.budgetState(request.workspace, request.tokens) != BudgetState::Available;
    if (isShort) {
        // The failed reservation counted this request as waiting.
        updateRequiredTokens(request.workspace);
        handler(shortfallVerdict(request, now));
        return 0;
    }
    const ReservationTicket ticket = ++lastTicket_;
    waitingRequests_.push_back(
            {ticket, request, std::min(request.deadline, now + MaxTokenWait), std::move(handler)});
    updateRequiredTokens(request.workspace);
    hooks_.obtainTokens(now);
    return ticket;
}

void TokenWaitQueue::cancel(ReservationTicket ticket)
{
    const auto found = std::find_if(
            waitingRequests_.begin(), waitingRequests_.end(),
            [ticket](const WaitingRequest &waiting) { return waiting.ticket == ticket; });
    if (found == waitingRequests_.end()) {
        return;
    }
    const WorkspaceId workspace = found->request.workspace;
    waitingRequests_.erase(found);
    updateRequiredTokens(workspace);
}

void TokenWaitQueue::serve(Instant now)
{
    std::list<WaitingRequest> served;
    for (auto waiting = waitingRequests_.begin(); waiting != waitingRequests_.end();) {
        const auto next = std::next(waiting);
        if (holder_.reserve(waiting->request.workspace, waiting->request.tokens, now)) {
            served.splice(served.end(), waitingRequests_, waiting);
        }
        waiting = next;
    }
    for (const WaitingRequest &waiting : served) {
        updateRequiredTokens(waiting.request.workspace);
        waiting.handler(std::nullopt);
    }
}

void TokenWaitQueue::expire(Instant now)
{
    std::list<WaitingRequest> expired;
    for (auto waiting = waitingRequests_.begin(); waiting != waitingRequests_.end();) {
        const auto next = std::next(waiting);
        if (now >= waiting->deadline) {
            expired.splice(expired.end(), waitingRequests_, waiting);
        }
        waiting = next;
    }
    for (const WaitingRequest &waiting : expired) {
        shortfalls_[waiting.request.workspace] = {waiting.request.tokens, now + ShortfallDuration};
        updateRequiredTokens(waiting.request.workspace);
        waiting.handler(shortfallVerdict(waiting.request, now));
    }
}

void TokenWaitQueue::updateRequiredTokens(const WorkspaceId &workspace)
{
    uint64_t tokens = 0;
    for (const WaitingRequest &waiting : waitingRequests_) {
        tokens += waiting.request.workspace == workspace ? waiting.request.tokens : 0;
    }
    holder_.setRequiredTokens(workspace, tokens);
}

Verdict TokenWaitQueue::shortfallVerdict(const ReservationRequest &request, Instant now) const
{
    const WorkspaceId &workspace = request.workspace;
    const BudgetState state = holder_.budgetState(workspace, request.tokens);
    const std::string detail =
            fmt::format("{} tokens wanted, {} at hand, {} given to nobody", request.tokens,
                        holder_.usable(workspace), holder_.unallotted(workspace));
    if (state == BudgetState::Unreachable) {
        return {Execution::NotRun, Reason::BudgetUnreachable, detail, now + RetryDelayWithoutStore};
    }
    // The budget counts as spent only if, by recent reports of all peers, the tokens that are held
    // or may be returned don't suffice.
    constexpr Interval MaxReportAge = std::chrono::milliseconds(1000);
    const std::optional<uint64_t> elsewhere = hooks_.heldByPeers(workspace, now - MaxReportAge);
    const bool spent = state == BudgetState::Exhausted && elsewhere && !hooks_.predecessorPending()
                       && *elsewhere + holder_.usable(workspace) + holder_.reserved(workspace)
                                          + holder_.unallotted(workspace)
                                  < request.tokens;
    if (spent) {
        return {Execution::NotRun, Reason::BudgetSpent, detail, std::nullopt};
    }
    return {Execution::NotRun, Reason::BudgetUnreachable, detail, now + RetryDelayWithStore};
}

} // namespace sequoiagate
