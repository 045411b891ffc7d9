#include "ConnectProbe.h"

#include <memory>
#include <utility>

#include "sequoiagate/Service/DeadlineTimer.h"

namespace sequoiagate {

using boost::asio::ip::tcp;
using boost::system::error_code;

void probeConnection(boost::asio::io_context &io, const tcp::endpoint &address, Instant deadline,
                     std::function<void(bool connected)> handler)
{
    struct Probe
    {
        explicit Probe(boost::asio::io_context &context) : socket(context), timer(context) {}
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
                                    handler(!error);
                                });
}

} // namespace sequoiagate
