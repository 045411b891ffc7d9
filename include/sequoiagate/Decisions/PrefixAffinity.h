#ifndef SEQUOIAGATE_DECISIONS_PREFIXAFFINITY_H
#define SEQUOIAGATE_DECISIONS_PREFIXAFFINITY_H

/// Which endpoints are believed to hold a prompt prefix in their cache.
///
/// Answers callers or prefix keys that take most of the load. Work spread without
/// regard to prefixes prefills the same tokens at every endpoint, and the first token
/// comes later by the whole prefill. The prefix's home is the rendezvous choice, so
/// that routers agree on it without a word; this table adds what the hash can't know:
/// where a prefix went when its home was full or away.
///
/// Engines publish cache events late and with gaps, and their memory is limited: an
/// eviction may never be heard of. A belief therefore ends by itself.

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "sequoiagate/Base/Time.h"

namespace sequoiagate {

/// Endpoints go by their stable hash here. Not thread safe.
class PrefixAffinity
{
public:
    /// A belief that isn't renewed by work or an event ends after this. A wrong belief
    /// costs one prefill, a forgotten one as much; a minute is some five times what an
    /// event may be late and as long as a conversation pauses.
    static constexpr Interval BeliefLifetime = std::chrono::seconds(60);
    /// Holders kept for one prefix: at 25% of the load and a bound of 1.25 times the
    /// mean a hot prefix needs a fifth of the endpoints.
    static constexpr std::size_t MostHolders = 32;

    /// \p endpoint was sent work with that prefix, or published that it stored it.
    void learn(uint64_t prefix, uint64_t endpoint, Instant seenAt);
    /// \p endpoint published that it evicted the prefix.
    void forget(uint64_t prefix, uint64_t endpoint);
    bool believes(uint64_t prefix, uint64_t endpoint, Instant now) const;
    std::size_t prefixes() const { return holders_.size(); }

private:
    struct Holder
    {
        uint64_t endpoint;
        Instant believedUntil;
    };

    void sweep(Instant now);

    std::unordered_map<uint64_t, std::vector<Holder>> holders_;
    std::size_t sweepAbove_ = 1024;
};

/// The weight of an endpoint for a prefix; the highest is the prefix's home. A mix of
/// two hashes that were computed before, as there are 140 of them in each choice.
inline uint64_t affinityWeight(uint64_t prefix, uint64_t endpoint)
{
    // The finalizer of SplitMix64 (Steele, Lea and Flood, 2014).
    uint64_t mixed = prefix ^ (endpoint * 0x9E3779B97F4A7C15ULL);
    mixed = (mixed ^ (mixed >> 30)) * 0xBF58476D1CE4E5B9ULL;
    mixed = (mixed ^ (mixed >> 27)) * 0x94D049BB133111EBULL;
    return mixed ^ (mixed >> 31);
}

} // namespace sequoiagate

#endif
