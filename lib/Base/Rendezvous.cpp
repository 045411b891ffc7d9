#include "sequoiagate/Base/Rendezvous.h"

#include <cassert>
#include <cstddef>

#include <xxhash.h>

namespace sequoiagate {

uint64_t stableHash(std::string_view text, uint64_t seed)
{
    return XXH64(text.data(), text.size(), seed);
}

uint64_t rendezvousWeight(std::string_view key, std::string_view member)
{
    return stableHash(member, stableHash(key));
}

std::size_t rendezvousChoice(std::string_view key, const std::vector<std::string_view> &members)
{
    assert(!members.empty() && "a choice needs members");
    std::size_t best = 0;
    for (std::size_t i = 1; i < members.size(); ++i) {
        const uint64_t weight = rendezvousWeight(key, members[i]);
        const uint64_t bestWeight = rendezvousWeight(key, members[best]);
        const bool wins =
                weight > bestWeight || (weight == bestWeight && members[i] < members[best]);
        if (wins) {
            best = i;
        }
    }
    return best;
}

} // namespace sequoiagate
