#include "EvacuationRows.h"

#include <set>

namespace sequoiagate {

void applyEvacuationRows(const std::vector<StoreRow> &rows, bool whole, const EdgeAdapter &adapter,
                         EndpointDirectory &endpoints, Instant now)
{
    std::set<DomainId> present;
    for (const StoreRow &row : rows) {
        const std::optional<DomainId> domain = adapter.decodeEvacuationKey(row.key);
        if (!domain) {
            continue;
        }
        if (row.value.empty()) {
            present.erase(*domain);
            endpoints.endEvacuation(*domain, now);
        } else {
            present.insert(*domain);
            endpoints.beginEvacuation(*domain, row.offset, now);
        }
    }
    if (!whole) {
        return;
    }
    for (const DomainId &domain : endpoints.evacuatedDomains()) {
        if (present.count(domain) == 0) {
            endpoints.endEvacuation(domain, now);
        }
    }
}

} // namespace sequoiagate
