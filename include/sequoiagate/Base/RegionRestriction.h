#ifndef SEQUOIAGATE_BASE_REGIONRESTRICTION_H
#define SEQUOIAGATE_BASE_REGIONRESTRICTION_H

/// The regions to which the body of a request may be sent.

#include <optional>
#include <string>
#include <vector>

#include "sequoiagate/Base/Ids.h"

namespace sequoiagate {

/// Value type. Thread safe while it isn't changed.
class RegionRestriction
{
public:
    /// Any region is allowed.
    RegionRestriction() = default;
    /// Only \p allowed are; none, if there are none.
    explicit RegionRestriction(std::vector<RegionId> allowed) : allowed_(std::move(allowed)) {}

    bool isRestricted() const { return allowed_.has_value(); }
    /// \param region empty if it isn't known, which only a request without a restriction allows
    bool allows(const RegionId &region) const;
    /// The restriction that keeps to both.
    RegionRestriction combinedWith(const RegionRestriction &other) const;
    /// The allowed regions, for logs.
    std::string describe() const;

    friend bool operator==(const RegionRestriction &, const RegionRestriction &) = default;

private:
    std::optional<std::vector<RegionId>> allowed_;
};

} // namespace sequoiagate

#endif
