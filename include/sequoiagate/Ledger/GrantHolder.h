#ifndef SEQUOIAGATE_LEDGER_GRANTHOLDER_H
#define SEQUOIAGATE_LEDGER_GRANTHOLDER_H

/// One workspace's escrow in one keeper: claims grants from the log, takes
/// windows from their witnesses, and reserves and settles requests out of the
/// windows. Pure: (event, now) -> actions.

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

/// Tokens set aside for a request: nothing beyond their sum may be generated.
struct ReservationDraws
{
    ReservationId id;
    uint64_t tokens = 0;
    std::vector<Draw> draws;
};

/// Not now, but an answer from the log or a witness is under way: ask again when
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

    /// Sets \p tokens aside if the windows cover them. \p witnesses are keepers
    /// believed live, best first: those of the own failure domain before others, since
    /// a partition separates from the others, and in an order that is stable, since a
    /// better one takes over. None: grants are claimed without a witness.
    /// The same id again gives the same draws.
    ReserveOutcome reserve(const ReservationId &id, uint64_t tokens,
                           const std::vector<Incarnation> &witnesses, const LedgerFold &fold,
                           bool logReachable, Instant now);
    /// Ends a reservation: \p spent of it is gone, the rest can be drawn again.
    /// \returns what was drawn, by grant, for the bill. Unknown or ended: empty.
    /// \pre spent <= the reservation's tokens
    std::vector<Draw> settle(const ReservationId &id, uint64_t spent, Instant now);

    /// The witness signed up to \p signedTotal of \p grant, in all.
    void onWindow(const GrantId &grant, const Incarnation &witness, uint64_t signedTotal,
                  Instant now);
    /// The witness answered that it doesn't sign. It isn't asked again for this grant
    /// if \p final; else it is asked later.
    void onWindowRefused(const GrantId &grant, const Incarnation &witness, bool final, Instant now);
    /// The fold moved on: grants may have been accepted, sealed, rewitnessed.
    void onFold(const LedgerFold &fold, Instant now);
    /// Names another witness for the grants of \p witness, the first of \p others
    /// that didn't fail us; later, if the log is out of reach now.
    void onWitnessSuspected(const Incarnation &witness, const std::vector<Incarnation> &others,
                            Instant now);
    /// Timers: claims ahead of need, asks for windows, returns what lies idle.
    void onTick(const std::vector<Incarnation> &witnesses, const LedgerFold &fold,
                bool logReachable, Instant now);
    /// Planned stop: closes every grant with what was spent, once no reservation is
    /// open. \returns whether nothing is left to do but the appends.
    bool drain(Instant now);

    /// What to do since the last call, in order.
    GrantActions takeActions();
    /// When onTick next has something to do.
    Instant nextDeadline() const { return nextTick_; }

    uint64_t reservedTokens() const;
    uint64_t availableTokens() const; ///< in windows, not reserved nor spent
    /// What of its grants is neither reserved nor spent, signed or not.
    uint64_t unreservedTokens() const;
    std::vector<wire::HeldGrant> describe() const;

private:
    /// A claim that isn't read back for so long doesn't hold up another one. It may
    /// still be accepted later, and is then used.
    static constexpr Interval ClaimGivenUpAfter = std::chrono::seconds(10);

    /// A question to a witness that isn't answered yet, or went without an answer.
    struct Ask
    {
        Instant until = Never; ///< Never: none under way
        int failures = 0;      ///< in a row
    };
    struct Held
    {
        GrantAccount account;
        Ask ask;
        Instant returnAgainAt{};
        bool refusedForGood = false; ///< its witness won't sign any more
    };
    /// What one call knows of the world around the holder.
    struct Surroundings
    {
        const std::vector<Incarnation> &witnesses;
        const LedgerFold &fold;
        bool logReachable = false;
        Instant now;
    };
    struct Waiting
    {
        uint64_t tokens = 0;
        Instant until;
    };

    ReservationDraws draw(const ReservationId &id, uint64_t tokens);
    ReserveOutcome waitOrRefuse(const ReservationId &id, uint64_t tokens,
                                const Surroundings &around);
    bool answerUnderWay(const Surroundings &around) const;
    Verdict refusal(uint64_t tokens, const Surroundings &around) const;
    bool nothingRemains(uint64_t tokens, const Surroundings &around) const;
    /// What this holder has, or can still claim, and nobody has reserved.
    uint64_t remainingTokens(const LedgerBudget &budget, Instant now) const;
    void askForWindows(uint64_t tokens, Instant now);
    void claimFor(uint64_t need, const Surroundings &around);
    uint64_t claimSize(uint64_t need, bool witnessed, uint64_t remainder, Instant now) const;
    GrantId nextGrantId();
    uint64_t windowTokens(Instant now) const;
    uint64_t claimsUnderWay(Instant now) const;
    uint64_t unsignedTokens() const;
    std::optional<Incarnation> chooseWitness(const std::vector<Incarnation> &candidates,
                                             const Incarnation &except) const;
    void replaceWitness(Held &held, const Incarnation &next, Instant now);
    void notePreferred(const Surroundings &around);
    void replaceWitnesses(const Surroundings &around);
    void claimAhead(const Surroundings &around);
    void returnIdle(const Surroundings &around);
    void giveBack(Held &held, uint64_t tokens, Instant now);
    void close(Held &held);
    void closeExhausted();
    void forgetWaiting(Instant now);
    void expireAsks(Instant now);
    Held *find(const GrantId &grant);
    wire::Record &append();

    WorkspaceId workspace_;
    Incarnation self_;
    GrantSettings settings_;
    GrantSafeguards safeguards_;
    GrantActions actions_;
    std::vector<Held> grants_; ///< oldest first; the oldest is drawn on first
    std::unordered_map<ReservationId, ReservationDraws> reservations_;
    std::map<ReservationId, Waiting> waiting_;
    std::set<Incarnation> suspected_;      ///< witnesses believed dead
    std::set<Incarnation> avoided_;        ///< witnesses that gave us up
    std::optional<Incarnation> preferred_; ///< the best witness of late
    Instant preferredFrom_ = Never;        ///< when it takes over from others
    DemandRate longRate_;
    DemandRate shortRate_;
    uint64_t grantsClaimed_ = 0;
    Instant claimAgainAt_{};
    Instant nextTick_{};
    bool logReachable_ = false;
    bool draining_ = false;
};

} // namespace sequoiagate

#endif
