#include "sequoiagate/Members/Dissemination.h"

#include <algorithm>
#include <bit>

namespace sequoiagate {

namespace {

/// Copies beyond the logarithm. Without them three copies a node carry a refutation
/// among six members, and at 5% loss one now and then misses them all.
constexpr uint32_t SpareSendings = 4;

struct Candidate
{
    uint32_t sendings;
    Incarnation member;
};

bool goesFirst(const Candidate &a, const Candidate &b)
{
    return a.sendings != b.sendings ? a.sendings < b.sendings : a.member < b.member;
}

} // namespace

void Dissemination::add(const Incarnation &member)
{
    sendings_[member] = 0;
}

void Dissemination::remove(const Incarnation &member)
{
    sendings_.erase(member);
}

std::vector<Incarnation> Dissemination::take(std::size_t limit, std::size_t members)
{
    const auto maximumSendings = static_cast<uint32_t>(std::bit_width(members)) + SpareSendings;
    std::vector<Candidate> candidates;
    for (const auto &[member, sendings] : sendings_) {
        candidates.push_back({sendings, member});
    }
    const std::size_t count = std::min(limit, candidates.size());
    std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(count),
                      candidates.end(), goesFirst);
    std::vector<Incarnation> taken;
    for (std::size_t i = 0; i < count; ++i) {
        const Incarnation &member = candidates[i].member;
        taken.push_back(member);
        if (++sendings_[member] >= maximumSendings) {
            sendings_.erase(member);
        }
    }
    return taken;
}

} // namespace sequoiagate
