#include "sequoiagate/Decisions/DomainEvacuations.h"

#include <fmt/format.h>

namespace sequoiagate {

bool DomainEvacuations::begin(const DomainId &domain, uint64_t offset, Instant now)
{
    const auto [found, added] = evacuations_.try_emplace(domain, Evacuation{offset, now});
    if (!added && found->second.offset != offset) {
        found->second = {offset, now};
    }
    return added;
}

std::vector<DomainId> DomainEvacuations::domains() const
{
    std::vector<DomainId> domains;
    domains.reserve(evacuations_.size());
    for (const auto &[domain, evacuation] : evacuations_) {
        domains.push_back(domain);
    }
    return domains;
}

std::string DomainEvacuations::describe(Instant now) const
{
    std::string text;
    for (const auto &[domain, evacuation] : evacuations_) {
        text += fmt::format("{}{} evacuated by row {}, read {} ms ago", text.empty() ? "" : "; ",
                            domain.text(), evacuation.offset,
                            std::chrono::duration_cast<Millis>(now - evacuation.readAt).count());
    }
    return text;
}

} // namespace sequoiagate
