#include "sequoiagate/Ledger/DemandRate.h"

#include <algorithm>
#include <cmath>

namespace sequoiagate {

using FloatSeconds = std::chrono::duration<double>;

double DemandRate::weightedAt(Instant now) const
{
    const double age = FloatSeconds(now - updatedAt_).count();
    return weighted_ * std::exp(-std::max(age, 0.0) / FloatSeconds(timeConstant_).count());
}

void DemandRate::add(uint64_t tokens, Instant now)
{
    weighted_ = weightedAt(now) + static_cast<double>(tokens);
    updatedAt_ = std::max(updatedAt_, now);
}

void DemandRate::remove(uint64_t tokens, Instant now)
{
    weighted_ = std::max(weightedAt(now) - static_cast<double>(tokens), 0.0);
    updatedAt_ = std::max(updatedAt_, now);
}

uint64_t DemandRate::expectedTokens(Interval span, Instant now) const
{
    const double share = FloatSeconds(span).count() / FloatSeconds(timeConstant_).count();
    // Rates derive from token counts sent by callers: keep the product in range.
    constexpr double MaxTokens = 1e18;
    return static_cast<uint64_t>(std::min(weightedAt(now) * share, MaxTokens));
}

} // namespace sequoiagate
