#ifndef SEQUOIAGATE_EDGE_ACCEPTRETRY_H
#define SEQUOIAGATE_EDGE_ACCEPTRETRY_H

/// The wait before the next try of an accept that failed, for want of descriptors mostly. The
/// connection stays in the listener's queue: trying again at once would keep the event loop busy.

#include <chrono>
#include <utility>

#include "sequoiagate/Base/Time.h"
#include "sequoiagate/Service/DeadlineTimer.h"

namespace sequoiagate {

/// Single-threaded: all calls from the io_context's thread.
class AcceptRetry
{
public:
    explicit AcceptRetry(boost::asio::io_context &io) : timer_(io) {}

    /// Calls \p accept after the wait, unless this object is gone by then.
    template <typename Accept>
    void arm(Accept accept)
    {
        timer_.arm(std::chrono::steady_clock::now() + Wait, std::move(accept));
    }

private:
    static constexpr Interval Wait = std::chrono::milliseconds(100);

    DeadlineTimer timer_;
};

} // namespace sequoiagate

#endif
