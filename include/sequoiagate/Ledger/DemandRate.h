#ifndef SEQUOIAGATE_LEDGER_DEMANDRATE_H
#define SEQUOIAGATE_LEDGER_DEMANDRATE_H

/// The rate at which tokens are reserved, as an exponentially weighted moving average.

#include <cstdint>

#include "sequoiagate/Base/Time.h"

namespace sequoiagate {

/// Not thread safe.
class DemandRate
{
public:
    /// \pre timeConstant > 0: tokens reserved that long ago have a weight of 1/e.
    explicit DemandRate(Interval timeConstant) : timeConstant_(timeConstant) {}

    void add(uint64_t tokens, Instant now);
    /// Subtracts tokens that were reserved but not used.
    void remove(uint64_t tokens, Instant now);
    /// Tokens that will be needed during \p span at the current rate.
    uint64_t expectedTokens(Interval span, Instant now) const;

private:
    double weightedAt(Instant now) const;

    Interval timeConstant_;
    double weighted_ = 0; ///< tokens, decayed to updatedAt_
    Instant updatedAt_{};
};

} // namespace sequoiagate

#endif
