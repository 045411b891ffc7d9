#include "Gossip.h"

#include <algorithm>
#include <cerrno>
#include <system_error>

#include <arpa/inet.h>
#include <fmt/format.h>
#include <httplib.h>
#include <netinet/in.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace sequoiagate {

static constexpr std::size_t DatagramLimit = 65507;
/// Looks at endpoints in one datagram: with the members it stays below the usual 1,500 bytes.
static constexpr std::size_t EndpointsPerDatagram = 8;
static constexpr Millis ReceiveWait{20};
static constexpr Millis HostListTimeout{1000};

// ---- socket ----

static std::optional<sockaddr_in> parseAddress(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    sockaddr_in address{};
    address.sin_family = AF_INET;
    if (colon == std::string::npos
        || inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr) != 1) {
        return std::nullopt;
    }
    address.sin_port = htons(static_cast<uint16_t>(std::atoi(text.c_str() + colon + 1)));
    return address;
}

DatagramSocket::DatagramSocket(const std::string &address)
{
    std::optional<sockaddr_in> wanted = parseAddress(address);
    if (!wanted) {
        throw std::runtime_error(fmt::format("'{}' is not an IP:port", address));
    }
    descriptor_ = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    auto *raw = reinterpret_cast<sockaddr *>(&*wanted);
    socklen_t length = sizeof *wanted;
    if (descriptor_ < 0 || bind(descriptor_, raw, length) != 0
        || getsockname(descriptor_, raw, &length) != 0) {
        const std::error_code error(errno, std::generic_category());
        if (descriptor_ >= 0) {
            close(descriptor_);
        }
        throw std::runtime_error(fmt::format("can't bind UDP {}: {}", address, error.message()));
    }
    address_ = fmt::format("{}:{}", address.substr(0, address.rfind(':')), ntohs(wanted->sin_port));
}

DatagramSocket::~DatagramSocket()
{
    close(descriptor_);
}

void DatagramSocket::send(const std::string &address, const std::string &data) const
{
    const std::optional<sockaddr_in> target = parseAddress(address);
    if (target) {
        sendto(descriptor_, data.data(), data.size(), MSG_DONTWAIT,
               reinterpret_cast<const sockaddr *>(&*target), sizeof *target);
    }
}

bool DatagramSocket::receive(std::string &data, Millis wait) const
{
    pollfd ready{descriptor_, POLLIN, 0};
    if (poll(&ready, 1, static_cast<int>(wait.count())) <= 0) {
        return false;
    }
    data.resize(DatagramLimit);
    const ssize_t length = recv(descriptor_, data.data(), data.size(), MSG_DONTWAIT);
    data.resize(length > 0 ? static_cast<std::size_t>(length) : 0);
    return length > 0;
}

// ---- membership ----

Gossip::Gossip(Keeper &keeper, DatagramSocket &socket, const LinkFilter &filter,
               const wire::MemberEntry &self, const MembershipSettings &settings,
               std::vector<std::string> seeds)
    : keeper_(keeper), socket_(socket), filter_(filter), seeds_(std::move(seeds)),
      membership_(self, settings, std::chrono::steady_clock::now()),
      worker_([this] { return step(); })
{
    addSeeds({});
}

void Gossip::addSeeds(const std::vector<std::string> &addresses)
{
    std::vector<std::string> all = seeds_;
    all.insert(all.end(), addresses.begin(), addresses.end());
    absl::MutexLock lock(&mutex_);
    membership_.seed(all);
}

/// A keeper that can't read the ledger refuses every request and can't sign for a grant,
/// since it hasn't read the grant's claim. Named as witness it would starve the holder, and
/// as a home it would cost each caller a second try. So it says of itself what one that
/// drains says: no new work here.
void Gossip::announceFitness()
{
    const bool fit =
            keeper_.run([](KeeperCore &core, Instant, WallTime) { return core.fitForWork(); });
    if (fit == fit_) {
        return;
    }
    fit_ = fit;
    absl::MutexLock lock(&mutex_);
    membership_.setDraining(!fit);
}

void Gossip::leave()
{
    {
        absl::MutexLock lock(&mutex_);
        membership_.leave(std::chrono::steady_clock::now());
    }
    flush();
}

Interval Gossip::step()
{
    std::string data;
    const bool received = socket_.receive(data, ReceiveWait);
    const Instant now = std::chrono::steady_clock::now();
    if (received) {
        receive(data, now);
    }
    announceFitness();
    std::vector<MemberChange> changes;
    std::vector<wire::MemberEntry> members;
    {
        absl::MutexLock lock(&mutex_);
        membership_.onTick(now);
        changes = membership_.takeChanges();
        if (!changes.empty()) {
            members = membership_.members();
        }
    }
    flush();
    for (const MemberChange &change : changes) {
        keeper_.log().write(Event("member.changed")
                                    .with("member", change.member.host())
                                    .with("member_incarnation", change.member.incarnation())
                                    .with("health", wire::MemberHealth_Name(change.member.health()))
                                    .with("draining", change.member.draining()));
    }
    if (!changes.empty()) {
        keeper_.run([&](KeeperCore &core, Instant at, WallTime) { core.onMembers(members, at); });
    }
    return Interval::zero();
}

void Gossip::receive(const std::string &data, Instant now)
{
    wire::GossipMessage message;
    if (!message.ParseFromString(data) || filter_.blocked(HostId(message.from().host()))) {
        return;
    }
    {
        absl::MutexLock lock(&mutex_);
        membership_.onMessage(message, now);
    }
    keeper_.run([&](KeeperCore &core, Instant, WallTime) {
        core.onVersionSeen(message.config_version());
        for (const wire::EndpointObservation &observation : message.endpoints()) {
            core.onObservation(observation);
        }
    });
}

bool Gossip::blockedAddress(const std::string &address) const
{
    for (const wire::MemberEntry &member : membership_.members()) {
        if (member.gossip_address() == address && filter_.blocked(HostId(member.host()))) {
            return true;
        }
    }
    return false;
}

void Gossip::flush()
{
    std::vector<OutgoingGossip> sends;
    {
        absl::MutexLock lock(&mutex_);
        for (OutgoingGossip &send : membership_.takeOutgoing()) {
            if (!blockedAddress(send.address)) {
                sends.push_back(std::move(send));
            }
        }
    }
    for (OutgoingGossip &send : sends) {
        addExtras(send.message);
        socket_.send(send.address, send.message.SerializeAsString());
    }
}

/// What is leaving or unreachable goes first: routers must stop sending work there within
/// seconds, whereas a late load report costs only a worse choice.
void Gossip::addExtras(wire::GossipMessage &message)
{
    keeper_.run([&](KeeperCore &core, Instant, WallTime) {
        message.set_config_version(core.configVersion());
        std::vector<wire::EndpointObservation> endpoints = core.view().endpoints();
        std::stable_partition(endpoints.begin(), endpoints.end(), [](const auto &observation) {
            return observation.leaving() || !observation.reachable();
        });
        const std::size_t first = std::min(endpoints.size(), EndpointsPerDatagram / 2);
        for (std::size_t index = 0; index < first; ++index) {
            *message.add_endpoints() = endpoints[index];
        }
        const std::size_t rest = std::min(endpoints.size() - first, EndpointsPerDatagram / 2);
        for (std::size_t count = 0; count < rest; ++count) {
            *message.add_endpoints() = endpoints[nextEndpoint_++ % endpoints.size()];
        }
    });
}

// ---- host list ----

HostListReader::HostListReader(Gossip &gossip, std::string address, Interval period)
    : gossip_(gossip), address_(std::move(address)), period_(period),
      worker_([this] { return step(); })
{}

Interval HostListReader::step()
{
    if (!address_.empty()) {
        httplib::Client client("http://" + address_);
        client.set_connection_timeout(HostListTimeout);
        client.set_read_timeout(HostListTimeout);
        const httplib::Result result = client.Get("/v1/hosts");
        const nlohmann::json list = result && result->status == 200
                                            ? nlohmann::json::parse(result->body, nullptr, false)
                                            : nlohmann::json();
        std::vector<std::string> addresses;
        for (const nlohmann::json &host : list.value("hosts", nlohmann::json::array())) {
            if (host.value("state", "") == "live") {
                addresses.push_back(host.value("gossip_address", ""));
            }
        }
        std::erase(addresses, "");
        gossip_.addSeeds(addresses);
    }
    return period_;
}

} // namespace sequoiagate
