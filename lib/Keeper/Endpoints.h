#ifndef LIB_KEEPER_ENDPOINTS_H
#define LIB_KEEPER_ENDPOINTS_H

/// What a keeper asks of endpoints: their load reports, and how far a stream got
/// whose router is gone.

#include "sequoiagate/Keeper/Keeper.h"
#include "sequoiagate/Keeper/KeeperSettings.h"

#include "Worker.h"

namespace sequoiagate {

/// Looks at the load reports of the endpoints that this host is home to: one host of the
/// endpoint's domain asks, and gossip spreads the answer, so that an endpoint's reports
/// cost the same however many hosts there are.
class EndpointProber
{
public:
    /// \pre keeper outlives this.
    EndpointProber(Keeper &keeper, Interval period);

private:
    Interval step();
    void probe(const wire::EndpointChange &endpoint);

    Keeper &keeper_;
    Interval period_;
    Worker worker_;
};

/// Asks engines after the streams of silent routers, and cancels them.
class StreamInquirer
{
public:
    /// \pre keeper outlives this.
    explicit StreamInquirer(Keeper &keeper);

private:
    Interval step();

    Keeper &keeper_;
    Worker worker_;
};

} // namespace sequoiagate

#endif
