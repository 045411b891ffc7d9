#ifndef SEQUOIAGATE_DECISIONS_DOMAINEVACUATIONS_H
#define SEQUOIAGATE_DECISIONS_DOMAINEVACUATIONS_H

/// The failure domains that an operator evacuates: their endpoints get no requests until the
/// operator takes the domain back. Pure.
///
/// An evacuation holds from the moment its record is read until the record is known to be gone.
/// It doesn't expire, since a host that has lost the store can't tell whether it still stands.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "sequoiagate/Base/Ids.h"
#include "sequoiagate/Base/Time.h"

namespace sequoiagate {

/// Not thread safe.
class DomainEvacuations
{
public:
    /// Records an evacuation of \p domain, whose record is row \p offset of the store.
    /// \returns whether the domain wasn't evacuated before
    bool begin(const DomainId &domain, uint64_t offset, Instant now);
    /// Records that the operator takes \p domain back. \returns whether it was evacuated
    bool end(const DomainId &domain) { return evacuations_.erase(domain) > 0; }
    bool isEvacuated(const DomainId &domain) const
    {
        return !evacuations_.empty() && evacuations_.count(domain) > 0;
    }
    std::size_t count() const { return evacuations_.size(); }
    /// The evacuated domains, in their order.
    std::vector<DomainId> domains() const;
    /// The evacuations in force, their records and how long ago they were read, for logs; empty if
    /// there is none.
    std::string describe(Instant now) const;

private:
    struct Evacuation
    {
        uint64_t offset = 0;
        Instant readAt{};
    };

    std::map<DomainId, Evacuation> evacuations_;
};

} // namespace sequoiagate

#endif
