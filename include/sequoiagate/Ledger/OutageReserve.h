#ifndef SEQUOIAGATE_LEDGER_OUTAGERESERVE_H
#define SEQUOIAGATE_LEDGER_OUTAGERESERVE_H

/// How many tokens of a workspace a process holds while the store responds, so that requests can be
/// served while it doesn't. Pure: observed demand -> number of tokens.
///
/// All holders together hold at most about `maxIdleTokens`, since these tokens are lost if all
/// hosts lose power. Within that bound there are two policies:
///
/// - `MeanDemand`: each holder holds the mean demand of the horizon. In a fleet of 65 hosts these
///   were 9% to 17% of the budgets, while an outage of 8 s with doubled demand needs up to 30%.
/// - `PeakDemand`: each holder holds the highest recent demand of the horizon and a burst in it,
///   and before demand is known, as much as the bound allows. Its part of the bound is its part of
///   the tokens that the fleet used, so that tokens are in the failure domain where they are
///   requested. The parts of all holders add up to the bound only if they are taken from the same
///   data, so they are taken from the rows in the store, not from each holder's own demand. Holders
///   that aren't homes hold the mean demand.

#include <cstdint>
#include <optional>

#include "sequoiagate/Base/Time.h"
#include "sequoiagate/Ledger/DemandRate.h"

namespace sequoiagate {

/// The demand that the held tokens are computed from.
enum class ReservePolicy { MeanDemand, PeakDemand };

struct OutageReserveSettings
{
    ReservePolicy policy = ReservePolicy::MeanDemand;
    /// Period of demand for which tokens are held while there are plenty: the outage of the store
    /// that can be bridged. With a lower value callers are refused during an outage; with a higher
    /// one more is lost with a process whose end can't be dated.
    Interval horizon = std::chrono::seconds(9);
    /// All holders together hold at most about this part of the remaining budget idle, and a
    /// smaller part as less remains: these tokens are lost if all hosts lose power.
    double maxIdleShare = 0.6;
    /// When less than this part of a budget remains, that bound falls with the cube of the
    /// remaining part instead of in proportion to it.
    double lowBudgetShare = 0.5;
    /// Tokens below this part of the target are replenished.
    double refillBelow = 0.7;
    /// Tokens above this multiple of the target are returned.
    double returnAbove = 2.5;
    /// Part of the budget held by all hosts together until demand is known.
    double initialShare = 0.15;
    /// Time constant for averaging demand: short enough to follow a workspace whose load rises
    /// within seconds.
    Interval demandTimeConstant = std::chrono::seconds(4);
    /// Time constant for averaging the use of all holders: a budget that lasts long must not seem
    /// scarce because of a burst.
    Interval fleetUseTimeConstant = std::chrono::seconds(8);
    /// A host that isn't a home holds its own tokens if its demand over the horizon is at least
    /// this many typical requests: with less, it would mostly hold a part of a request.
    double minOwnRequests = 2.0;

    // ---- PeakDemand ----
    /// Held tokens, as a multiple of the horizon's demand: demand doubles for up to 7 s of the 9 s.
    double burstFactor = 16.0 / 9.0;
    /// Time constant with which a peak decays: long enough to last until the next burst or outage
    /// of a busy minute, short enough that an idle workspace returns its tokens within a minute.
    Interval peakDecay = std::chrono::seconds(20);
    /// Part of a holder's share of the bound up to which tokens are claimed. The rest is for what
    /// this holder doesn't know yet of the others' use.
    double filledShare = 0.95;
    /// Tokens above this multiple of a holder's share of the bound are returned by a row of their
    /// own; above the share itself, by a row that is written anyway. The bound falls faster than
    /// tokens are used while most of the budget remains, which must not cost a row each time.
    double returnAboveBound = 1.1;
    /// Tokens below this part of the target are replenished by a row that is written anyway. It
    /// needs no further call of the store, so tokens are close to the target when an outage begins.
    double topUpBelow = 0.98;
    /// Time constant for averaging the shares of the holders, whose rows follow their use in steps
    /// of about 2 s.
    Interval shareTimeConstant = std::chrono::seconds(20);
    /// Use, as part of the budget, that is counted as if it were distributed equally over the
    /// homes, so that a few requests of a workspace that is seldom used don't determine the shares.
    double equalUseShare = 0.05;
};

/// What a reserve is computed from, apart from demand.
struct ReserveContext
{
    uint64_t prepaid = 0;
    uint64_t used = 0;               ///< upper bound for all holders, according to their rows
    uint64_t ownUsed = 0;            ///< by this holder
    uint64_t ownRowUsed = 0;         ///< the part of `used` that this holder's row states
    uint64_t typicalReservation = 0; ///< 0: there was none yet
    uint32_t holderCount = 1;        ///< processes that share the budget
    uint32_t homes = 0;              ///< 0: each process holds its own tokens
    bool isHome = false;
};

/// The reserve of one workspace at one holder. Not thread safe.
class OutageReserve
{
public:
    explicit OutageReserve(const OutageReserveSettings &settings);

    void setHorizon(Interval horizon) { settings_.horizon = horizon; }
    void setPolicy(ReservePolicy policy) { settings_.policy = policy; }

    void addDemand(uint64_t tokens, Instant now);
    /// Subtracts tokens that were reserved but not used.
    void removeDemand(uint64_t tokens, Instant now);
    /// The tokens used by all holders changed from \p before to \p after by a row that this holder
    /// wrote or another one.
    void onFleetUse(uint64_t before, uint64_t after, bool isOwnRow, Instant now);
    /// The holder has just become a home, and doesn't know the demand for it.
    void forgetObservation();
    /// To be called at least once before demand counts as known.
    void observe(Instant now);

    /// Tokens that will be needed here during \p span at the current mean demand.
    uint64_t demand(Interval span, Instant now) const { return demand_.expectedTokens(span, now); }
    /// The same for all holders, according to their rows.
    uint64_t fleetUse(Interval span, Instant now) const
    {
        return fleetUse_.expectedTokens(span, now);
    }
    /// Whether there were requests recently.
    bool inUse(const ReserveContext &context, Instant now) const;
    /// Whether this holder asks a home for each request instead of holding tokens.
    bool reliesOnHomes(const ReserveContext &context, Instant now) const;

    /// Bound on the tokens that all holders together hold idle.
    uint64_t maxIdleTokens(const ReserveContext &context) const;
    /// The tokens that a holder has before any request, as `initialShare` states.
    uint64_t initialTokens(const ReserveContext &context) const;
    /// The number of tokens to hold.
    uint64_t target(const ReserveContext &context, Instant now) const;
    /// Whether \p usable tokens of \p wanted are so few that more are claimed.
    /// \p writesRow: a row of this workspace is written in any case
    bool needsRefill(const ReserveContext &context, uint64_t usable, uint64_t wanted,
                     bool writesRow) const;
    /// The tokens of \p usable that are returned to the store.
    /// \p writesRow: as for needsRefill
    uint64_t excess(const ReserveContext &context, uint64_t usable, bool writesRow,
                    Instant now) const;

    /// Assumed maximum number of holders that claim tokens of the workspace.
    static uint32_t maxHolders(const ReserveContext &context);

private:
    /// The highest value of a demand, decayed since then.
    struct Peak
    {
        double tokens = 0;
        Instant at{};
    };

    void raise(Peak &peak, const DemandRate &rate, Interval timeConstant, Instant now) const;
    double decayed(const Peak &peak, Instant now) const;
    double peakPerSecond(const Peak &peak, const DemandRate &rate, Interval timeConstant,
                         Instant now) const;
    Interval coveredPeriod(const ReserveContext &context, Instant now) const;
    /// Whether this holder holds tokens for the peak of demand: if the policy says so, and the
    /// holder is a home or there are none. Other holders hold few tokens and claim them often: as
    /// their part of the bound changes with each of their rows, 75 hosts wrote 20% more batches.
    bool holdsPeak(const ReserveContext &context) const;
    bool observedFor(Interval span, Instant now) const;
    /// Whether demand isn't known yet: little of the budget was used.
    bool isNew(const ReserveContext &context) const;
    double shareOfUse(const ReserveContext &context, Instant now) const;
    uint64_t shareOfBound(const ReserveContext &context, Instant now) const;
    uint64_t byMeanDemand(const ReserveContext &context, Instant now) const;
    uint64_t byPeakDemand(const ReserveContext &context, Instant now) const;

    OutageReserveSettings settings_;
    DemandRate demand_;
    DemandRate fleetUse_;  ///< of all holders, according to their rows
    DemandRate ownRows_;   ///< averaged over `shareTimeConstant`
    DemandRate fleetRows_; ///< the same for all holders
    Peak peakDemand_;
    Peak peakFleetUse_;
    std::optional<Instant> observedSince_;
};

} // namespace sequoiagate

#endif
