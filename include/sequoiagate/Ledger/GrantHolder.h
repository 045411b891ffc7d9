#ifndef SEQUOIAGATE_LEDGER_GRANTHOLDER_H
#define SEQUOIAGATE_LEDGER_GRANTHOLDER_H

/// A keeper's escrow for one workspace: claims grants from the log, obtains windows from their
/// witnesses, and reserves and settles requests within the windows. Pure: (event, now) -> actions.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <variant>
#include <vector>

#include "proto/keeper.pb.h"

#include "sequoiagate/Base/Ids.h"
#include "sequoiagate/Base/Time.h"
#include "sequoiagate/Base/Verdict.h"
#include "sequoiagate/Ledger/DemandRate.h"
#include "sequoiagate/Ledger/GrantAccount.h"
#include "sequoiagate/Ledger/GrantActions.h"
#include "sequoiagate/Ledger/GrantSettings.h"
#include "sequoiagate/Ledger/LedgerFold.h"
#include "sequoiagate/Ledger/Safeguards.h"

namespace sequoiagate {

struct Draw
{
    GrantId grant;
    uint64_t tokens = 0;
};

/// Tokens reserved for a request, which may not generate more than their sum.
struct ReservationDraws
{
    ReservationId id;
    uint64_t tokens = 0;
    std::vector<Draw> draws;
};

/// The tokens aren't available yet, but a response from the log or a witness is pending: retry when
/// the holder has changed, at the latest at \p until.
struct ReservePending
{
    Instant until;
};

using ReserveOutcome = std::variant<ReservationDraws, ReservePending, Verdict>;

/// Not thread safe.
class GrantHolder
{
public:
    GrantHolder(WorkspaceId workspace, Incarnation self, GrantSettings settings,
                GrantSafeguards safeguards = {});

    /// Reserves \p tokens if the windows cover them. \p witnesses are the keepers believed to be
    /// alive, in order of preference: those of the same failure domain first, since a partition
    /// separates the holder from the others, and in a stable order, since a preferred one replaces
    /// the current witness. If it is empty, grants are claimed without a witness.
    /// Repeating the same id returns the same draws.
    ReserveOutcome reserve(const ReservationId &id, uint64_t tokens,
                           const std::vector<Incarnation> &witnesses, const LedgerFold &fold,
                           bool logReachable, Instant now);
    /// Ends a reservation: \p spent of it is spent, the rest becomes available again.
    /// \returns the spent tokens by grant, for the bill; empty if the reservation is unknown or has
    /// ended.
    /// \pre spent <= the reservation's tokens
    std::vector<Draw> settle(const ReservationId &id, uint64_t spent, Instant now);

    /// The witness has signed \p signedTotal tokens of \p grant in total.
    void onWindow(const GrantId &grant, const Incarnation &witness, uint64_t signedTotal,
                  Instant now);
    /// The witness refused to sign. If \p final, it isn't asked again for this grant; otherwise it
    /// is asked again later.
    void onWindowRefused(const GrantId &grant, const Incarnation &witness, bool final, Instant now);
    /// The fold has advanced: grants may have been accepted, sealed or rewitnessed.
    void onFold(const LedgerFold &fold, Instant now);
    /// Replaces \p witness as the witness of its grants by the first of \p others that hasn't
    /// failed; if the log is unreachable, the replacement is made later.
    void onWitnessSuspected(const Incarnation &witness, const std::vector<Incarnation> &others,
                            Instant now);
    /// Timers: claims ahead of demand, requests windows, returns idle tokens.
    void onTick(const std::vector<Incarnation> &witnesses, const LedgerFold &fold,
                bool logReachable, Instant now);
    /// Planned stop: closes every grant with its spent tokens, once no reservation is open.
    /// \returns whether nothing remains to be done but the appends.
    bool drain(Instant now);

    /// The actions requested since the last call, in order.
    GrantActions takeActions();
    /// The time at which onTick next has something to do.
    Instant nextDeadline() const { return nextTick_; }

    uint64_t reservedTokens() const;
    uint64_t availableTokens() const; ///< in windows, neither reserved nor spent
    /// Tokens of its grants that are neither reserved nor spent, signed or not.
    uint64_t unreservedTokens() const;
    std::vector<wire::HeldGrant> describe() const;

private:
    /// A claim that isn't confirmed by the log within this time no longer delays another one. It
    /// may still be accepted later, and is then used.
    static constexpr Interval ClaimTimeout = std::chrono::seconds(10);

    /// The state of the window requests to a grant's witness.
    struct WindowRequest
    {
        Instant deadline = Never; ///< Never: none is pending
        int failures = 0;         ///< consecutive
    };
    struct HeldGrant
    {
        GrantAccount account;
        WindowRequest windowRequest;
        Instant nextReturnAt{};
        bool permanentlyRefused = false; ///< the witness will not sign any more
    };
    /// The holder's environment during one call.
    struct Context
    {
        const std::vector<Incarnation> &witnesses;
        const LedgerFold &fold;
        bool logReachable = false;
        Instant now;
    };
    struct PendingRequest
    {
        uint64_t tokens = 0;
        Instant deadline;
    };

    ReservationDraws draw(const ReservationId &id, uint64_t tokens);
    ReserveOutcome waitOrRefuse(const ReservationId &id, uint64_t tokens, const Context &context);
    bool isResponsePending(const Context &context) const;
    Verdict makeRefusal(uint64_t tokens, const Context &context) const;
    bool isBudgetExhausted(uint64_t tokens, const Context &context) const;
    /// Tokens that this holder has or can still claim, and that aren't reserved.
    uint64_t remainingTokens(const LedgerBudget &budget, Instant now) const;
    void requestWindows(uint64_t tokens, Instant now);
    void submitClaim(uint64_t need, const Context &context);
    uint64_t claimSize(uint64_t need, bool witnessed, uint64_t remainder, Instant now) const;
    GrantId nextGrantId();
    uint64_t windowTokens(Instant now) const;
    uint64_t pendingClaimTokens(Instant now) const;
    uint64_t unsignedTokens() const;
    std::optional<Incarnation> chooseWitness(const std::vector<Incarnation> &candidates,
                                             const Incarnation &except) const;
    void replaceWitness(HeldGrant &held, const Incarnation &next, Instant now);
    void updatePreferredWitness(const Context &context);
    void replaceWitnesses(const Context &context);
    void claimAheadOfDemand(const Context &context);
    void returnIdleTokens(const Context &context);
    void returnTokens(HeldGrant &held, uint64_t tokens, Instant now);
    void close(HeldGrant &held);
    void closeExhausted();
    void removeExpiredRequests(Instant now);
    void expireWindowRequests(Instant now);
    HeldGrant *find(const GrantId &grant);
    wire::Record &append();

    WorkspaceId workspace_;
    Incarnation self_;
    GrantSettings settings_;
    GrantSafeguards safeguards_;
    GrantActions actions_;
    std::vector<HeldGrant> grants_; ///< oldest first; the oldest is drawn on first
    std::unordered_map<ReservationId, ReservationDraws> reservations_;
    std::map<ReservationId, PendingRequest> pendingRequests_;
    std::set<Incarnation> suspectedWitnesses_;    ///< believed to have failed
    std::set<Incarnation> excludedWitnesses_;     ///< have stopped signing for this holder
    std::optional<Incarnation> preferredWitness_; ///< the most recent best witness
    Instant preferredEffectiveAt_ = Never;        ///< when it replaces other witnesses
    DemandRate grantDemand_;
    DemandRate windowDemand_;
    uint64_t grantsClaimed_ = 0;
    Instant nextClaimAt_{};
    Instant nextTick_{};
    bool logReachable_ = false;
    bool draining_ = false;
};

} // namespace sequoiagate

#endif
