#ifndef SEQUOIAGATE_DECISIONS_PREFIXAFFINITY_H
#define SEQUOIAGATE_DECISIONS_PREFIXAFFINITY_H

/// Which endpoints are expected to have a prompt prefix in their cache.
///
/// Guards against callers or prefix keys that make up most of the load. Requests spread
/// without regard to prefixes prefill the same tokens at every endpoint, and the first
/// token is late by the whole prefill. A prefix's home is the endpoint that rendezvous
/// hashing ranks first, so that routers agree on it without communicating. This table adds
/// what the hash can't tell: where a prefix was sent when its home was full or unavailable.
///
/// Engines publish cache events late and with gaps, and their memory is limited, so an
/// eviction may never be reported. Entries therefore expire.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "sequoiagate/Base/Time.h"

namespace sequoiagate {

/// Identifies endpoints by their stable hash. Not thread safe.
class PrefixAffinity
{
public:
    /// An entry that isn't renewed by a request or an event expires after this time. A stale
    /// entry costs one prefill, and so does a missing one; a minute is about five times the
    /// delay of an event and as long as a conversation pauses.
    static constexpr Interval EntryLifetime = std::chrono::seconds(60);
    /// Holders kept for one prefix: at 25% of the load and a bound of 1.25 times the
    /// mean a hot prefix needs a fifth of the endpoints.
    static constexpr std::size_t MaxHolders = 32;

    /// Records that \p endpoint was sent a request with the prefix, or published that it
    /// stored it.
    void addHolder(uint64_t prefix, uint64_t endpoint, Instant seenAt);
    /// Records that \p endpoint published that it evicted the prefix.
    void removeHolder(uint64_t prefix, uint64_t endpoint);
    /// Records a request with the prefix, wherever it is sent.
    void recordRequest(uint64_t prefix, Instant now);
    /// The rate of requests with the prefix over the last seconds, without one that is just being
    /// placed.
    double requestsPerSecond(uint64_t prefix, Instant now) const;
    /// When \p endpoint was last sent the prefix or published that it stored it; nullopt if it
    /// isn't known to have it.
    std::optional<Instant> lastUse(uint64_t prefix, uint64_t endpoint) const;
    /// Whether \p endpoint is expected to have the prefix in its cache.
    bool hasHolder(uint64_t prefix, uint64_t endpoint, Instant now) const;
    std::size_t prefixCount() const { return prefixes_.size(); }

private:
    struct Holder
    {
        uint64_t endpoint;
        Instant expiresAt;
    };

    /// What is known of one prefix.
    struct Prefix
    {
        std::vector<Holder> holders;
        double recentRequests = 0.0; ///< decaying, until countedAt
        Instant countedAt;
    };

    void dropExpired(Instant now);

    std::unordered_map<uint64_t, Prefix> prefixes_;
    std::size_t sweepThreshold_ = 1024; ///< number of prefixes above which expired ones are dropped
};

/// An endpoint among which the homes of a prefix are chosen.
struct HomeCandidate
{
    uint64_t hash = 0;
    double inverseWeight = 1.0; ///< of the share of prefixes that it is home to
};

/// The distance of an endpoint from a prefix, by its position among the candidates.
struct HomeDistance
{
    double distance = 0.0;
    uint32_t position = 0;
};

/// Writes the \p count candidates nearest to \p prefix to \p nearest, the first home first. Each
/// candidate is first home to a share of the prefixes in proportion to its weight, and a weight
/// that changes moves only prefixes to or from its endpoint (weighted rendezvous hashing,
/// Schindelhauer and Schomaker, 2005). \pre \p count is positive
void nearestHomes(uint64_t prefix, const std::vector<HomeCandidate> &candidates, std::size_t count,
                  std::vector<HomeDistance> &nearest);

/// Rendezvous weight of an endpoint for a prefix; the endpoint with the highest weight is
/// the prefix's home. Mixes two precomputed hashes, as each selection computes 140 weights.
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
