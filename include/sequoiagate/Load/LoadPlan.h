#ifndef SEQUOIAGATE_LOAD_LOADPLAN_H
#define SEQUOIAGATE_LOAD_LOADPLAN_H

/// The loads that sequoia-load plays, as lists of requests with their moments. The
/// same five that bench-Decisions plays in virtual time.

#include <cstddef>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

#include "sequoiagate/Base/Time.h"

namespace sequoiagate {

/// The user's options can't be played; the text says which and why.
class LoadError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

struct LoadOptions
{
    double capacity = 5.0; ///< requests a second that the fleet serves
    uint32_t seconds = 30; ///< length of each load
    uint32_t mostRequests = 2000;
    uint32_t promptWords = 50;
    uint32_t outputTokens = 20; ///< mean
    std::size_t workspaces = 1;
    uint64_t seed = 1;
};

/// One request to come.
struct PlannedRequest
{
    Instant at;
    std::size_t workspace = 0; ///< index
    uint32_t prefix = 0;       ///< which of the shared prompt prefixes
    uint32_t promptWords = 0;
    uint32_t maxTokens = 0;
    bool isLong = false;
};

/// The names of the loads, in the order in which they are played.
const std::vector<std::string> &loadNames();
/// Whether the load needs an endpoint to be made slow.
bool needsSlowEndpoint(const std::string &load);
/// The requests of one load, ordered by their moments. The same seed gives the same plan.
/// \throws LoadError for an unknown load, or one of more than mostRequests requests.
std::vector<PlannedRequest> planLoad(const std::string &load, const LoadOptions &options,
                                     Instant start);

} // namespace sequoiagate

#endif
