#ifndef SEQUOIAGATE_DECISIONS_PLACEMENTCOST_H
#define SEQUOIAGATE_DECISIONS_PLACEMENTCOST_H

/// The expected time from sending a request to an endpoint to its first event, and the delay that
/// the request causes to others there. Pure functions; thread safe.

#include <cstdint>
#include <string>

#include "sequoiagate/Base/Time.h"
#include "sequoiagate/Decisions/EndpointRate.h"

namespace sequoiagate {

struct PlacementCostSettings
{
    /// Prompt tokens that the median endpoint prefills per second, and the time before the first.
    double prefillTokensPerSecond = 40'000.0;
    Interval prefillBase = std::chrono::milliseconds(20);
    /// Weight of prefilling a cacheable prefix, as a multiple of the time that it takes: it delays
    /// the endpoint's other requests, and evicts prefixes that others need.
    double prefixMissWeight = 3.0;
    /// Delay for each request in flight at the median endpoint, which shares its steps.
    Interval perRequest = std::chrono::milliseconds(20);
    /// Expected wait for each request beyond an endpoint's slots.
    Interval perOverflow = std::chrono::milliseconds(100);
};

/// A request, as far as its cost depends on it.
struct PlacementRequest
{
    uint64_t promptTokens = 0;
    uint64_t sharedTokens = 0; ///< prompt tokens that an endpoint may have cached
};

/// What is known of an endpoint that a request may be sent to.
struct PlacementState
{
    EndpointRate rate;     ///< as trustedRate returns it
    Interval queued{};     ///< prefill of the prompts without a first event, at the median endpoint
    Interval waited{};     ///< of this host's oldest request there without a first event
    double requests = 0.0; ///< in flight, of all hosts
    double slots = 1.0;
    bool holdsPrefix = false;
    Interval roundTrip{};
};

/// The parts of the cost of one endpoint.
struct PlacementCost
{
    Interval queue{};   ///< until the prompts before it are prefilled and a slot is free
    Interval prefill{}; ///< of the tokens that aren't cached
    Interval path{};    ///< to the endpoint and back
    Interval delay{};   ///< of the endpoint's other requests

    Interval firstEvent() const { return queue + prefill + path; }
    Interval total() const { return firstEvent() + delay; }
};

/// The prefill time of \p tokens at the median endpoint.
Interval prefillTime(uint64_t tokens, const PlacementCostSettings &settings);

PlacementCost placementCost(const PlacementRequest &request, const PlacementState &state,
                            const PlacementCostSettings &settings);

/// \p rate, with the factors shrunk towards 1 as far as they rest on few or old samples. A factor
/// that isn't a positive number counts as 1, and extreme ones are limited.
EndpointRate trustedRate(const EndpointRate &rate);

/// The share of requests that an endpoint of this rate should get, relative to the median endpoint:
/// in inverse proportion to the time it takes, and less beyond twice the usual time, so that few
/// callers wait for an endpoint whose fault is temporary.
double shareOfRequests(const EndpointRate &rate);

/// A factor, rounded to steps of 1.35. It follows a change at once if that is larger than two steps
/// or if the factor was 1 until two seconds ago, and otherwise when the factor has been outside of
/// the step, by a quarter of one, for two seconds: a factor that varies by chance, or around the
/// border of two steps, doesn't move prefixes to and fro. Not thread safe.
class SteppedFactor
{
public:
    /// \pre \p factor is positive
    void update(double factor, Instant now);
    double value() const { return value_; }

private:
    double value_ = 1.0;
    Instant changeAt_ = Never;  ///< if the factor stays outside of the step until then
    Instant settledAt_ = Never; ///< changes are followed at once until then
};

/// The parts of \p cost and the rate that it rests on, for logs.
std::string describe(const PlacementCost &cost, const EndpointRate &rate);

} // namespace sequoiagate

#endif
