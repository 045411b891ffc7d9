#include "sequoiagate/Base/RegionRestriction.h"

#include <algorithm>
#include <iterator>

namespace sequoiagate {

bool RegionRestriction::allows(const RegionId &region) const
{
    if (!allowed_) {
        return true;
    }
    return !region.empty()
           && std::find(allowed_->begin(), allowed_->end(), region) != allowed_->end();
}

RegionRestriction RegionRestriction::combinedWith(const RegionRestriction &other) const
{
    if (!allowed_) {
        return other;
    }
    std::vector<RegionId> both;
    std::copy_if(allowed_->begin(), allowed_->end(), std::back_inserter(both),
                 [&other](const RegionId &region) { return other.allows(region); });
    return RegionRestriction(std::move(both));
}

std::string RegionRestriction::describe() const
{
    if (!allowed_) {
        return "any region";
    }
    std::string text;
    for (const RegionId &region : *allowed_) {
        text += (text.empty() ? "" : ", ") + region.text();
    }
    return text.empty() ? "no region" : text;
}

} // namespace sequoiagate
