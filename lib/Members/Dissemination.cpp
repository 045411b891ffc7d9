#include "sequoiagate/Members/Dissemination.h"

#include <algorithm>
#include <bit>

namespace sequoiagate {

namespace {

/// Transmissions in addition to the logarithmic number. Without them, each of six
/// members sends only three copies of a refutation, and at 5% loss a member
/// occasionally misses all of them.
constexpr uint32_t ExtraTransmissions = 4;

struct Candidate
{
    uint32_t transmissions;
    Incarnation member;
};

bool sentLessOften(const Candidate &a, const Candidate &b)
{
    return a.transmissions != b.transmissions ? a.transmissions < b.transmissions
                                              : a.member < b.member;
}

} // namespace

void Dissemination::add(const Incarnation &member)
{
    transmissions_[member] = 0;
}

void Dissemination::remove(const Incarnation &member)
{
    transmissions_.erase(member);
}

std::vector<Incarnation> Dissemination::take(std::size_t limit, std::size_t members)
{
    const auto maxTransmissions =
            static_cast<uint32_t>(std::bit_width(members)) + ExtraTransmissions;
    std::vector<Candidate> candidates;
    for (const auto &[member, transmissions] : transmissions_) {
        candidates.push_back({transmissions, member});
    }
    const std::size_t count = std::min(limit, candidates.size());
    std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(count),
                      candidates.end(), sentLessOften);
    std::vector<Incarnation> taken;
    for (std::size_t i = 0; i < count; ++i) {
        const Incarnation &member = candidates[i].member;
        taken.push_back(member);
        if (++transmissions_[member] >= maxTransmissions) {
            transmissions_.erase(member);
        }
    }
    return taken;
}

} // namespace sequoiagate
