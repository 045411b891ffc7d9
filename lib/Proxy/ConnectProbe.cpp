#include "sequoiagate/Proxy/ConnectProbe.h"

#include <memory>
#include <utility>

#include <boost/asio/error.hpp>

#include "sequoiagate/Service/DeadlineTimer.h"

namespace sequoiagate {

using boost::asio::ip::tcp;
using boost::system::error_code;

static ProbeOutcome outcomeOf(const error_code &error)
{
    if (!error) {
        return ProbeOutcome::Connected;
    }
    return error == boost::asio::error::connection_refused ? ProbeOutcome::Refused
                                                           : ProbeOutcome::Unknown;
}

void probeConnection(const boost::asio::any_io_executor &io, const tcp::endpoint &address,
                     Instant deadline, std::function<void(ProbeOutcome)> handler)
{
    struct Probe
    {
        explicit Probe(const boost::asio::any_io_executor &executor)
            : socket(executor), timer(executor)
        {}
        tcp::socket socket;
        DeadlineTimer timer;
    };
    const auto probe = std::make_shared<Probe>(io);
    probe->timer.arm(deadline, [probe] {
        error_code ignored;
        probe->socket.close(ignored);
    });
    probe->socket.async_connect(address,
                                [probe, handler = std::move(handler)](const error_code &error) {
                                    probe->timer.disarm();
                                    handler(outcomeOf(error));
                                });
}

} // namespace sequoiagate
