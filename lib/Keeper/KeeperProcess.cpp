#include "sequoiagate/Keeper/KeeperProcess.h"

#include <thread>

#include <fmt/format.h>

#include "sequoiagate/Keeper/Keeper.h"
#include "sequoiagate/Platform/HttpLogService.h"
#include "sequoiagate/Service/Events.h"
#include "sequoiagate/Service/Settings.h"
#include "sequoiagate/Transport/Security.h"

#include "Endpoints.h"
#include "Gossip.h"
#include "KeeperServer.h"
#include "LogDrivers.h"
#include "Peers.h"

namespace sequoiagate {

/// How often the link filter's file is read, and a drain looks whether it is done.
static constexpr Millis PollPeriod{100};
/// Peers get this long to hear the goodbye.
static constexpr Millis GoodbyeTime{200};
static constexpr Millis ServerStopTime{500};

namespace {

struct ListeningServer
{
    std::unique_ptr<grpc::Server> server;
    std::string address;
};

ListeningServer listen(const std::string &wanted, Security &security, grpc::Service &service)
{
    grpc::ServerBuilder builder;
    int port = 0;
    // Two processes on one port would each get some of the calls.
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.AddListeningPort(wanted, security.serverCredentials(wanted), &port);
    security.prepareServer(builder);
    builder.RegisterService(&service);
    ListeningServer listening;
    listening.server = builder.BuildAndStart();
    if (!listening.server || port == 0) {
        throw std::runtime_error(fmt::format("can't listen on {}", wanted));
    }
    listening.address = fmt::format("{}:{}", wanted.substr(0, wanted.rfind(':')), port);
    return listening;
}

MembershipSettings membershipSettings(const nlohmann::json &settings)
{
    MembershipSettings membership;
    membership.probePeriod = millisOf(settings, "probe_period_ms");
    membership.probeTimeout = millisOf(settings, "probe_timeout_ms");
    membership.suspicionTime = millisOf(settings, "suspicion_ms");
    membership.seed = std::random_device()();
    return membership;
}

wire::MemberEntry memberEntry(const ProcessIdentity &identity, const std::string &address,
                              const std::string &gossipAddress)
{
    wire::MemberEntry self;
    self.set_host(identity.host.text());
    self.set_incarnation(identity.incarnation.text());
    self.set_domain(identity.domain.text());
    self.set_address(address);
    self.set_gossip_address(gossipAddress);
    return self;
}

/// The threads that feed the core; made in one go and stopped in the reverse order.
struct Drivers
{
    Drivers(Keeper &keeper, LogService &log, Peers &peers, const KeeperSettings &settings)
        : windows(keeper, peers), settles(keeper, peers),
          configs(keeper, peers, settings.configPeerPeriod), prober(keeper, settings.endpointProbe),
          inquirer(keeper)
    {
        const std::size_t streams =
                keeper.run([](KeeperCore &core, Instant, WallTime) { return core.streamCount(); });
        for (std::size_t stream = 0; stream < streams; ++stream) {
            tails.push_back(std::make_unique<LogTail>(keeper, log, stream, settings));
            writers.push_back(std::make_unique<LogWriter>(keeper, log, stream, settings));
        }
    }

    std::vector<std::unique_ptr<LogTail>> tails;
    std::vector<std::unique_ptr<LogWriter>> writers;
    WindowClient windows;
    SettleForwarder settles;
    ConfigClient configs;
    EndpointProber prober;
    StreamInquirer inquirer;
};

bool drainUntil(Keeper &keeper, Instant giveUpAt)
{
    while (std::chrono::steady_clock::now() < giveUpAt) {
        const bool done = keeper.run([](KeeperCore &core, Instant now, WallTime wall) {
            return core.drained(now, wall);
        });
        if (done) {
            return true;
        }
        std::this_thread::sleep_for(PollPeriod);
    }
    return false;
}

int stopKeeper(Keeper &keeper, Gossip &gossip, Interval limit)
{
    keeper.run([](KeeperCore &core, Instant, WallTime) { core.beginDrain(); });
    const bool done = drainUntil(keeper, std::chrono::steady_clock::now() + limit);
    gossip.leave();
    std::this_thread::sleep_for(GoodbyeTime);
    const uint64_t stranded =
            keeper.run([](KeeperCore &core, Instant, WallTime) { return core.strandedTokens(); });
    keeper.log().write(Event(events::ProcessStopped)
                               .with("stranded_tokens", stranded)
                               .with("cut_off", 0)
                               .with("drained", done));
    return done ? ExitOk : ExitUnavailable;
}

} // namespace

int runKeeper(DaemonContext &context)
{
    const KeeperSettings settings = keeperSettingsFrom(context.settings);
    const ProcessIdentity &identity = context.log.identity();
    const Statechart drainChart = Statechart::parse(readShareFile("statecharts/drain.json"));
    LinkFilter filter(settings.testLinkFilter);
    Security security(context.settings, context.log);
    KeeperServer service(filter, settings.core);
    DatagramSocket socket(settings.gossipListen);
    ListeningServer listening = listen(settings.listen, security, service);

    const wire::MemberEntry self = memberEntry(identity, listening.address, socket.address());
    Keeper keeper(settings.core, self, drainChart, context.log);
    service.serve(keeper);
    HttpLogService httpLog(settings.logService, identity.host);
    FilteredLogService log(httpLog, filter);
    Peers peers(security, filter, identity.host);
    Gossip gossip(keeper, socket, filter, self, membershipSettings(context.settings),
                  settings.seeds);
    HostListReader hostList(gossip, settings.hostList, settings.hostListPeriod);
    Drivers drivers(keeper, log, peers, settings);
    Worker timer([&] {
        keeper.run([](KeeperCore &core, Instant now, WallTime wall) { core.onTick(now, wall); });
        return settings.tick;
    });
    Worker filterReader([&] {
        if (filter.reload()) {
            context.log.write(Event("links.filtered").with("blocked", filter.blockedHosts()));
        }
        return Interval(PollPeriod);
    });
    context.log.write(Event(events::ProcessStarted)
                              .with("address", listening.address)
                              .with("gossip_address", socket.address()));
    context.stop.wait();
    const int code = stopKeeper(keeper, gossip, settings.drainLimit);
    keeper.run([](KeeperCore &core, Instant, WallTime) { core.endPolls(); });
    listening.server->Shutdown(std::chrono::system_clock::now() + ServerStopTime);
    return code;
}

} // namespace sequoiagate
