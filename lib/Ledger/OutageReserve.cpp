#include "sequoiagate/Ledger/OutageReserve.h"

#include <algorithm>
#include <cmath>

namespace sequoiagate {

namespace {

using FloatSeconds = std::chrono::duration<double>;

/// Assumed maximum number of holders per home that claim a workspace's tokens: the home itself and
/// hosts with enough demand of their own.
constexpr uint32_t MaxHoldersPerHome = 4;

uint64_t scaled(uint64_t tokens, double factor)
{
    return static_cast<uint64_t>(static_cast<double>(tokens) * factor);
}

/// The number of holders that hold tokens before any request.
uint32_t firstHolders(const ReserveContext &context)
{
    return context.homes > 0 ? context.homes : context.holderCount;
}

bool holdsFirstTokens(const ReserveContext &context)
{
    return context.homes == 0 || context.isHome;
}

} // namespace

OutageReserve::OutageReserve(const OutageReserveSettings &settings)
    : settings_(settings), demand_(settings.demandTimeConstant),
      fleetUse_(settings.fleetUseTimeConstant), ownRows_(settings.shareTimeConstant),
      fleetRows_(settings.shareTimeConstant)
{}

void OutageReserve::addDemand(uint64_t tokens, Instant now)
{
    demand_.add(tokens, now);
    raise(peakDemand_, demand_, settings_.demandTimeConstant, now);
}

void OutageReserve::removeDemand(uint64_t tokens, Instant now)
{
    demand_.remove(tokens, now);
}

void OutageReserve::onFleetUse(uint64_t before, uint64_t after, bool isOwnRow, Instant now)
{
    const auto apply = [&](DemandRate &rate) {
        if (after > before) {
            rate.add(after - before, now);
        } else {
            rate.remove(before - after, now);
        }
    };
    apply(fleetUse_);
    // A holder's first row also states what it may use in the following seconds. Counted as use, it
    // raised the share of a home that had just started from 0.33 to 0.44.
    if (observedFor(settings_.demandTimeConstant, now)) {
        apply(fleetRows_);
        if (isOwnRow) {
            apply(ownRows_);
        }
    }
    raise(peakFleetUse_, fleetUse_, settings_.fleetUseTimeConstant, now);
}

void OutageReserve::forgetObservation()
{
    observedSince_.reset();
    ownRows_ = DemandRate(settings_.shareTimeConstant);
    fleetRows_ = DemandRate(settings_.shareTimeConstant);
}

bool OutageReserve::observedFor(Interval span, Instant now) const
{
    return observedSince_ && now >= *observedSince_ + span;
}

void OutageReserve::observe(Instant now)
{
    if (!observedSince_) {
        observedSince_ = now;
    }
}

void OutageReserve::raise(Peak &peak, const DemandRate &rate, Interval timeConstant,
                          Instant now) const
{
    const auto current = static_cast<double>(rate.expectedTokens(timeConstant, now));
    if (current >= decayed(peak, now)) {
        peak = {current, now};
    }
}

double OutageReserve::decayed(const Peak &peak, Instant now) const
{
    const double age = std::max(FloatSeconds(now - peak.at).count(), 0.0);
    return peak.tokens * std::exp(-age / FloatSeconds(settings_.peakDecay).count());
}

double OutageReserve::peakPerSecond(const Peak &peak, const DemandRate &rate, Interval timeConstant,
                                    Instant now) const
{
    const auto current = static_cast<double>(rate.expectedTokens(timeConstant, now));
    return std::max(current, decayed(peak, now)) / FloatSeconds(timeConstant).count();
}

bool OutageReserve::holdsPeak(const ReserveContext &context) const
{
    return settings_.policy == ReservePolicy::PeakDemand && holdsFirstTokens(context);
}

uint32_t OutageReserve::maxHolders(const ReserveContext &context)
{
    return context.homes == 0 ? context.holderCount
                              : std::min(context.holderCount, context.homes * MaxHoldersPerHome);
}

bool OutageReserve::inUse(const ReserveContext &context, Instant now) const
{
    // After three time constants a twentieth of a request's tokens is left.
    return demand(settings_.demandTimeConstant, now) > context.typicalReservation / 20;
}

bool OutageReserve::reliesOnHomes(const ReserveContext &context, Instant now) const
{
    if (holdsFirstTokens(context)) {
        return false;
    }
    const uint64_t own = scaled(context.typicalReservation, settings_.minOwnRequests);
    if (context.typicalReservation == 0 || demand(coveredPeriod(context, now), now) < own) {
        return true;
    }
    // Limits the number of holders: if not every host may be one, a host must have at least an
    // equal share of the workspace's demand among them.
    const uint64_t holders = maxHolders(context);
    const uint64_t ownDemand = demand(settings_.fleetUseTimeConstant, now);
    return holders < context.holderCount
           && ownDemand * holders < fleetUse(settings_.fleetUseTimeConstant, now);
}

uint64_t OutageReserve::maxIdleTokens(const ReserveContext &context) const
{
    const uint64_t left = context.prepaid - std::min(context.prepaid, context.used);
    const double remainingShare =
            static_cast<double>(left) / static_cast<double>(std::max<uint64_t>(context.prepaid, 1));
    const double low = std::min(1.0, remainingShare / settings_.lowBudgetShare);
    return scaled(left, settings_.maxIdleShare * remainingShare * low * low);
}

Interval OutageReserve::coveredPeriod(const ReserveContext &context, Instant now) const
{
    const uint64_t fleetDemand =
            std::max(fleetUse(settings_.horizon, now), demand(settings_.horizon, now));
    const uint64_t idle = maxIdleTokens(context);
    if (idle >= fleetDemand) {
        return settings_.horizon;
    }
    const double part = static_cast<double>(idle) / static_cast<double>(fleetDemand);
    return std::chrono::duration_cast<Interval>(settings_.horizon * part);
}

bool OutageReserve::isNew(const ReserveContext &context) const
{
    return context.used < scaled(context.prepaid, settings_.initialShare);
}

uint64_t OutageReserve::initialTokens(const ReserveContext &context) const
{
    const uint64_t all =
            std::min(maxIdleTokens(context), scaled(context.prepaid, settings_.initialShare));
    return holdsFirstTokens(context) ? all / firstHolders(context) : 0;
}

uint64_t OutageReserve::target(const ReserveContext &context, Instant now) const
{
    if (reliesOnHomes(context, now)) {
        return 0;
    }
    // Where the workspace is in use, its next request needn't wait for the store.
    const bool allMayHoldOne =
            context.typicalReservation * maxHolders(context) <= maxIdleTokens(context);
    const uint64_t next = allMayHoldOne && inUse(context, now) ? context.typicalReservation : 0;
    const uint64_t byDemand =
            holdsPeak(context) ? byPeakDemand(context, now) : byMeanDemand(context, now);
    return std::max(byDemand, next);
}

uint64_t OutageReserve::byMeanDemand(const ReserveContext &context, Instant now) const
{
    const uint64_t expected = demand(coveredPeriod(context, now), now);
    // Once the workspace is in use anywhere, demand determines where its tokens belong. Minimum
    // holdings at all hosts amounted to twenty seconds of demand of a small workspace, which were
    // lost when all hosts terminated.
    return std::max(expected, isNew(context) ? initialTokens(context) : 0);
}

double OutageReserve::shareOfUse(const ReserveContext &context, Instant now) const
{
    const double equalShare = 1.0 / firstHolders(context);
    if (isNew(context)) {
        return equalShare;
    }
    const double equal = settings_.equalUseShare * static_cast<double>(context.prepaid);
    const auto own = static_cast<double>(ownRows_.expectedTokens(settings_.shareTimeConstant, now));
    const auto fleet =
            static_cast<double>(fleetRows_.expectedTokens(settings_.shareTimeConstant, now));
    return std::min((std::min(own, fleet) + equal * equalShare) / std::max(fleet + equal, 1.0),
                    1.0);
}

uint64_t OutageReserve::shareOfBound(const ReserveContext &context, Instant now) const
{
    const double share = shareOfUse(context, now);
    if (share <= 0) {
        return 0;
    }
    // Rows state more than was used while the store responds, and less after an outage. The rows of
    // the others are assumed to be as far off as this holder's, in proportion to their use.
    const double misstated =
            (static_cast<double>(context.ownUsed) - static_cast<double>(context.ownRowUsed))
            / share;
    const auto prepaid = static_cast<double>(context.prepaid);
    ReserveContext estimated = context;
    estimated.used = static_cast<uint64_t>(
            std::clamp(static_cast<double>(context.used) + misstated, 0.0, prepaid));
    return scaled(maxIdleTokens(estimated), share);
}

uint64_t OutageReserve::byPeakDemand(const ReserveContext &context, Instant now) const
{
    const uint64_t bound = scaled(shareOfBound(context, now), settings_.filledShare);
    // A process that has just started or become a home knows nothing of the demand, even if most of
    // the budget is used. Without this, it would hold nothing while a home restarts.
    if (isNew(context) || !observedFor(settings_.horizon, now)) {
        return bound;
    }
    const double own = peakPerSecond(peakDemand_, demand_, settings_.demandTimeConstant, now);
    const double fleet =
            peakPerSecond(peakFleetUse_, fleetUse_, settings_.fleetUseTimeConstant, now);
    const double needed = std::max(own, fleet * shareOfUse(context, now))
                          * FloatSeconds(settings_.horizon).count() * settings_.burstFactor;
    return static_cast<uint64_t>(std::min(needed, static_cast<double>(bound)));
}

bool OutageReserve::needsRefill(const ReserveContext &context, uint64_t usable, uint64_t wanted,
                                bool writesRow) const
{
    const bool topsUp = writesRow && holdsPeak(context);
    return usable < scaled(wanted, topsUp ? settings_.topUpBelow : settings_.refillBelow);
}

uint64_t OutageReserve::excess(const ReserveContext &context, uint64_t usable, bool writesRow,
                               Instant now) const
{
    const uint64_t wanted = target(context, now);
    if (usable > scaled(wanted, settings_.returnAbove)) {
        return usable - wanted;
    }
    if (!holdsPeak(context)) {
        return 0;
    }
    // A multiple of the target may exceed this holder's share of the bound.
    const uint64_t bound = std::max(wanted, shareOfBound(context, now));
    const uint64_t limit = writesRow ? bound : scaled(bound, settings_.returnAboveBound);
    return usable > limit ? usable - bound : 0;
}

} // namespace sequoiagate
