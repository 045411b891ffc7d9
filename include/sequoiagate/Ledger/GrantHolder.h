#ifndef SEQUOIAGATE_LEDGER_GRANTHOLDER_H
#define SEQUOIAGATE_LEDGER_GRANTHOLDER_H

/// One workspace's escrow in one keeper: claims grants from the log, takes
/// windows from their witnesses, and reserves and settles requests out of the
/// windows. Pure: (event, now) -> actions.

#include <cstdint>
#include <optional>
#include <set>
#include <variant>
#include <vector>

#include "sequoiagate/Base/Ids.h"
#include "sequoiagate/Base/Time.h"
#include "sequoiagate/Base/Verdict.h"
#include "sequoiagate/Ledger/GrantActions.h"
#include "sequoiagate/Ledger/LedgerFold.h"

namespace sequoiagate {

/// In which the two users differ. docs/Settings.md gives the defaults' reasons.
struct GrantSettings
{
    Interval grantHorizon = std::chrono::hours(2);     ///< demand that one grant should cover
    Interval windowHorizon = std::chrono::seconds(30); ///< demand that one window should cover
    Interval logSilentAfter = std::chrono::seconds(5); ///< when the witness starts to open up
    Interval openFullAfter = std::chrono::minutes(5);  ///< when it has opened to the whole
    uint64_t minimumGrant = 20'000;                    ///< tokens
    double shareOfRemainder = 0.25; ///< the most one claim takes of what is unallocated
};

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
struct ReserveLater
{
    Instant until;
};

using ReserveOutcome = std::variant<ReservationDraws, ReserveLater, Verdict>;

/// Not thread safe.
class GrantHolder
{
public:
    GrantHolder(WorkspaceId workspace, Incarnation self, GrantSettings settings);

    /// Sets \p tokens aside if the windows cover them. \p witnesses are keepers
    /// believed live, best first; none: grants are claimed without a witness.
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
    /// The fold moved on: grants may have been accepted, sealed, rewitnessed.
    void onFold(const LedgerFold &fold, Instant now);
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
    Instant nextDeadline() const;

    uint64_t reservedTokens() const;
    uint64_t availableTokens() const; ///< in windows, not reserved nor spent
    std::vector<wire::HeldGrant> describe() const;

private:
    WorkspaceId workspace_;
    Incarnation self_;
    GrantSettings settings_;
    GrantActions actions_;
};

} // namespace sequoiagate

#endif
