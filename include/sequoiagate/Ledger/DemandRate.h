#ifndef SEQUOIAGATE_LEDGER_DEMANDRATE_H
#define SEQUOIAGATE_LEDGER_DEMANDRATE_H

/// How fast tokens are drawn, as an exponentially weighted moving average.

#include <cstdint>

#include "sequoiagate/Base/Time.h"

namespace sequoiagate {

/// Not thread safe.
class DemandRate
{
public:
    /// \pre timeConstant > 0: what was drawn that long ago weighs 1/e.
    explicit DemandRate(Interval timeConstant) : timeConstant_(timeConstant) {}

    void add(uint64_t tokens, Instant now);
    /// Takes back what was drawn and then not used.
    void remove(uint64_t tokens, Instant now);
    /// Tokens that \p span will ask for at the present rate.
    uint64_t over(Interval span, Instant now) const;

private:
    double weightedAt(Instant now) const;

    Interval timeConstant_;
    double weighted_ = 0; ///< tokens, decayed to updatedAt_
    Instant updatedAt_{};
};

} // namespace sequoiagate

#endif
