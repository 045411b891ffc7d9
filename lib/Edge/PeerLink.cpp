#include "sequoiagate/Edge/PeerLink.h"

#include <algorithm>
#include <limits>

#include <boost/asio/buffer.hpp>

#include "Addresses.h"
#include "EndpointLimitMessage.h"
#include "MessageTime.h"
#include "sequoiagate/Base/BootClock.h"
#include "sequoiagate/Base/Rendezvous.h"

namespace sequoiagate {

using boost::asio::ip::udp;

namespace {

/// Peers that get a token request at once. A few are enough if most peers have tokens; sending to
/// all 75 each time would cost more than the waiting request.
constexpr std::size_t MaxPeersPerRequest = 8;

/// Retransmission delay after a lost datagram. A round trip between failure domains takes a few
/// milliseconds.
constexpr Interval RetransmitDelay = std::chrono::milliseconds(80);

/// How long a transfer is retransmitted: the longest network partition between two hosts that it
/// survives. The tokens are lost after that.
constexpr Interval TransferTimeout = std::chrono::seconds(20);

/// A home that hasn't responded within this time may have ended, and tokens sent to it would be
/// lost.
constexpr Interval HomeResponseMaxAge = std::chrono::seconds(5);

/// Peers that get each round of gossip; with three, a record reaches all of 200 hosts in about five
/// rounds.
constexpr std::size_t GossipPeers = 3;

} // namespace

PeerLink::PeerLink(boost::asio::io_context &io, const udp::endpoint &listen, Incarnation self,
                   DomainId domain, EventLog &log, Handlers handlers)
    : socket_(io, listen), self_(std::move(self)), domain_(std::move(domain)), log_(log),
      handlers_(std::move(handlers)),
      // Hosts that know the same peers must not all begin with the same ones.
      nextGossipPeer_(stableHash(self_.text()))
{
    socket_.non_blocking(true);
    receive();
}

void PeerLink::setPeers(std::vector<Peer> peers)
{
    sortOwnDomainFirst(peers);
    peers_ = std::move(peers);
}

void PeerLink::setHomes(const WorkspaceId &workspace, std::vector<Peer> homes)
{
    sortOwnDomainFirst(homes);
    homes_[workspace] = std::move(homes);
}

void PeerLink::sortOwnDomainFirst(std::vector<Peer> &peers) const
{
    // Peers in the same failure domain respond faster and stay reachable in most partitions.
    std::stable_partition(peers.begin(), peers.end(),
                          [this](const Peer &peer) { return peer.domain == domain_; });
}

std::vector<PeerLink::AddressedRequest> PeerLink::recipients(const TokenRequest &request,
                                                             Instant now)
{
    std::vector<AddressedRequest> chosen;
    const auto homes = homes_.find(request.workspace);
    const bool hasHomes = homes != homes_.end() && !homes->second.empty();
    if (hasHomes && request.need > 0 && request.round < 2) {
        const HeldTokens *near =
                request.asksAllIfNearIsShort ? recentHomeReport(request.workspace, now) : nullptr;
        const bool nearIsShort = near != nullptr && near->usable < request.need;
        for (const Peer &home : homes->second) {
            chosen.push_back({home.address, request});
            if (request.round > 0) {
                continue;
            }
            if (!nearIsShort) {
                break;
            }
            // The demand counts at the first home alone.
            chosen.back().request.round = chosen.size() == 1 ? 0 : 1;
            chosen.back().request.acceptsPart = true;
        }
        return chosen;
    }
    const std::size_t count = std::min(MaxPeersPerRequest, peers_.size());
    for (std::size_t i = 0; i < count; ++i) {
        chosen.push_back({peers_[nextPeer_ % peers_.size()].address, request});
        ++nextPeer_;
    }
    return chosen;
}

void PeerLink::receive()
{
    socket_.async_receive_from(boost::asio::buffer(buffer_), sender_,
                               [this](const boost::system::error_code &error, std::size_t bytes) {
                                   if (error == boost::asio::error::operation_aborted) {
                                       return;
                                   }
                                   // Errors here concern an earlier datagram that could not be
                                   // delivered.
                                   if (!error) {
                                       onDatagram(std::string(buffer_.data(), bytes));
                                   }
                                   receive();
                               });
}

void PeerLink::onDatagram(const std::string &text)
{
    struct Kind
    {
        std::string_view name;
        void (PeerLink::*handle)(const nlohmann::json &);
    };
    constexpr Kind Kinds[] = {{"ask", &PeerLink::onTokenRequest},
                              {"move", &PeerLink::onTransfer},
                              {"ack", &PeerLink::onAck},
                              {"ask_clocks", &PeerLink::onClockRequest},
                              {"clocks", &PeerLink::onClockResponse},
                              {EndpointLimitMessageKind, &PeerLink::onLimits},
                              {SlotRequestMessageKind, &PeerLink::onSlotRequest},
                              {SlotResponseMessageKind, &PeerLink::onSlotResponse}};
    try {
        const nlohmann::json message = nlohmann::json::parse(text);
        const auto name = message.at("kind").get<std::string>();
        for (const Kind &kind : Kinds) {
            if (kind.name == name) {
                (this->*kind.handle)(message);
            }
        }
        const auto other = otherHandlers_.find(name);
        if (other != otherHandlers_.end()) {
            other->second(message, sender_);
        }
    } catch (const nlohmann::json::exception &error) {
        log_.write(Event("peer.malformed").with("why", error.what()));
    }
}

void PeerLink::setHandler(const std::string &kind, MessageHandler handler)
{
    otherHandlers_[kind] = std::move(handler);
}

void PeerLink::requestTokens(const TokenRequest &request)
{
    const Instant now = std::chrono::steady_clock::now();
    for (const auto &[to, addressed] : recipients(request, now)) {
        nlohmann::json message = {{"kind", "ask"},
                                  {"from", self_.text()},
                                  {"workspace", addressed.workspace.text()},
                                  {"need", addressed.need},
                                  {"usable", addressed.usable},
                                  {"per_second", addressed.demandPerSecond},
                                  {"round", addressed.round}};
        if (addressed.priority) {
            message["priority"] = *addressed.priority;
        }
        if (addressed.acceptsPart) {
            message["part"] = true;
        }
        send(message.dump(), to);
    }
}

void PeerLink::onTokenRequest(const nlohmann::json &message)
{
    TokenRequest request;
    request.workspace = WorkspaceId(message.at("workspace").get<std::string>());
    request.need = message.at("need").get<uint64_t>();
    request.usable = message.at("usable").get<uint64_t>();
    request.demandPerSecond = message.at("per_second").get<uint64_t>();
    request.round = message.value("round", 0U);
    if (message.contains("priority")) {
        // A value beyond the type must not wrap around to the most urgent rank.
        request.priority = static_cast<uint32_t>(std::min<uint64_t>(
                message.at("priority").get<uint64_t>(), std::numeric_limits<uint32_t>::max()));
    }
    request.acceptsPart = message.value("part", false);
    const auto from = message.at("from").get<std::string>();
    const uint64_t tokens = handlers_.onTokenRequest(request);
    sendTransfer(request.workspace, tokens, from, sender_, std::chrono::steady_clock::now());
}

void PeerLink::sendTransfer(const WorkspaceId &workspace, uint64_t tokens, const std::string &to,
                            const udp::endpoint &address, Instant now)
{
    const uint64_t id = tokens > 0 ? ++lastTransferId_ : 0;
    const HeldTokens held = handlers_.held(workspace);
    const nlohmann::json message = {{"kind", "move"},
                                    {"from", self_.text()},
                                    {"to", to},
                                    {"id", id},
                                    {"workspace", workspace.text()},
                                    {"tokens", tokens},
                                    {"usable", held.usable},
                                    {"reserved", held.reserved + tokensInTransit(workspace)},
                                    {"settling", held.predecessorPending},
                                    {"claims", held.mayClaim}};
    const std::string text = message.dump();
    if (tokens > 0) {
        unacknowledged_[id] = {
                address, text, workspace, tokens, now + RetransmitDelay, now + TransferTimeout};
        log_.write(Event("tokens.given")
                           .with("workspace", workspace)
                           .with("tokens", tokens)
                           .with("to", to)
                           .with("id", id));
    }
    send(text, address);
}

const HeldTokens *PeerLink::recentHomeReport(const WorkspaceId &workspace, Instant now) const
{
    const auto homes = homes_.find(workspace);
    const auto reports = reports_.find(workspace);
    if (homes == homes_.end() || homes->second.empty() || reports == reports_.end()) {
        return nullptr;
    }
    const auto found = reports->second.find(homes->second.front().incarnation);
    const bool isRecent =
            found != reports->second.end() && now < found->second.receivedAt + HomeResponseMaxAge;
    return isRecent ? &found->second.held : nullptr;
}

bool PeerLink::homeRespondedRecently(const WorkspaceId &workspace, Instant now) const
{
    return recentHomeReport(workspace, now) != nullptr;
}

void PeerLink::transferToHome(const WorkspaceId &workspace, uint64_t tokens, Instant now)
{
    const Peer &home = homes_.at(workspace).front();
    sendTransfer(workspace, tokens, home.incarnation.text(), home.address, now);
}

void PeerLink::onTransfer(const nlohmann::json &message)
{
    const WorkspaceId workspace(message.at("workspace").get<std::string>());
    const Incarnation from(message.at("from").get<std::string>());
    const auto tokens = message.at("tokens").get<uint64_t>();
    const auto id = message.at("id").get<uint64_t>();
    const HeldTokens held{message.at("usable").get<uint64_t>(),
                          message.value("reserved", uint64_t{0}), message.value("settling", false)};
    reports_[workspace][from] = {held, std::chrono::steady_clock::now()};
    if (tokens == 0) {
        return;
    }
    // Addressed to this host's previous process, whose transfers are void since it ended.
    if (message.at("to").get<std::string>() != self_.text()) {
        return;
    }
    const nlohmann::json ack = {{"kind", "ack"}, {"from", self_.text()}, {"id", id}};
    send(ack.dump(), sender_);
    if (!receivedTransfers_[from].insert(id).second) {
        return;
    }
    log_.write(Event("tokens.taken")
                       .with("workspace", workspace)
                       .with("tokens", tokens)
                       .with("from", from)
                       .with("id", id));
    handlers_.onTokensReceived(workspace, tokens);
}

void PeerLink::onAck(const nlohmann::json &message)
{
    unacknowledged_.erase(message.at("id").get<uint64_t>());
}

void PeerLink::requestClock(const udp::endpoint &address, Millis sinceStart)
{
    const nlohmann::json message = {{"kind", "ask_clocks"},
                                    {"from", self_.text()},
                                    {"about", addressText(address)},
                                    {"asked_ms", sinceStart.count()}};
    send(message.dump(), address);
}

void PeerLink::onClockRequest(const nlohmann::json &message)
{
    const nlohmann::json response = {{"kind", "clocks"},
                                     {"from", self_.text()},
                                     {"to", message.at("from")},
                                     {"about", message.at("about")},
                                     {"since_boot_ms", sinceBoot().count()},
                                     // Earlier versions require these and ignore both values.
                                     {"boot", ""},
                                     {"time_ms", -1},
                                     {"asked_ms", message.at("asked_ms")}};
    send(response.dump(), sender_);
}

void PeerLink::onClockResponse(const nlohmann::json &message)
{
    const auto address = parseUdpAddress(message.at("about").get<std::string>());
    // This may be a response to the previous process on this address. That clock was read before
    // this process started, so the elapsed time would be underestimated.
    if (!address || message.at("to").get<std::string>() != self_.text()) {
        return;
    }
    handlers_.onClockResponse({*address, Incarnation(message.at("from").get<std::string>()),
                               parseBoundedMillis(message.at("since_boot_ms"), MaxSinceBoot),
                               parseBoundedMillis(message.at("asked_ms"), MaxSinceBoot)});
}

void PeerLink::broadcastLimit(const EndpointLimitRecord &record, bool rejected, Instant now)
{
    for (const std::string &datagram : encodeEndpointLimits({{record}, rejected}, now)) {
        for (const Peer &peer : peers_) {
            send(datagram, peer.address);
        }
    }
}

void PeerLink::gossipLimits(const std::vector<EndpointLimitRecord> &records, Instant now)
{
    const std::vector<std::string> datagrams = encodeEndpointLimits({records, false}, now);
    const std::size_t count = std::min(GossipPeers, peers_.size());
    for (std::size_t i = 0; i < count; ++i) {
        for (const std::string &datagram : datagrams) {
            send(datagram, peers_[nextGossipPeer_ % peers_.size()].address);
        }
        ++nextGossipPeer_;
    }
}

void PeerLink::onLimits(const nlohmann::json &message)
{
    const EndpointLimitMessage limits =
            decodeEndpointLimits(message, std::chrono::steady_clock::now());
    handlers_.onLimits(limits.records, limits.rejected);
}

void PeerLink::requestSlot(const SlotRequest &request, Instant now)
{
    const auto holder = std::find_if(peers_.begin(), peers_.end(), [&request](const Peer &peer) {
        return peer.host == request.holder;
    });
    if (holder != peers_.end()) {
        send(encodeSlotRequest(request, now), holder->address);
    }
}

void PeerLink::onSlotRequest(const nlohmann::json &message)
{
    const SlotRequest request = decodeSlotRequest(message, std::chrono::steady_clock::now());
    send(encodeSlotResponse(handlers_.onSlotRequest(request)), sender_);
}

void PeerLink::onSlotResponse(const nlohmann::json &message)
{
    handlers_.onSlotResponse(decodeSlotResponse(message));
}

void PeerLink::tick(Instant now)
{
    for (auto transfer = unacknowledged_.begin(); transfer != unacknowledged_.end();) {
        if (now >= transfer->second.giveUpAt) {
            log_.write(Event("tokens.lost")
                               .with("workspace", transfer->second.workspace)
                               .with("tokens", transfer->second.tokens)
                               .with("id", transfer->first));
            transfer = unacknowledged_.erase(transfer);
            continue;
        }
        if (now >= transfer->second.resendAt) {
            transfer->second.resendAt = now + RetransmitDelay;
            send(transfer->second.datagram, transfer->second.destination);
        }
        ++transfer;
    }
}

uint64_t PeerLink::tokensInTransit(const WorkspaceId &workspace) const
{
    uint64_t total = 0;
    for (const auto &[id, transfer] : unacknowledged_) {
        total += transfer.workspace == workspace ? transfer.tokens : 0;
    }
    return total;
}

std::optional<uint64_t> PeerLink::heldByPeers(const WorkspaceId &workspace, Instant since) const
{
    const auto reports = reports_.find(workspace);
    uint64_t total = 0;
    for (const Peer &peer : peers_) {
        if (reports == reports_.end()) {
            return std::nullopt;
        }
        const auto found = reports->second.find(peer.incarnation);
        if (found == reports->second.end() || found->second.receivedAt < since) {
            return std::nullopt;
        }
        const HeldTokens &held = found->second.held;
        if (held.predecessorPending) {
            return std::nullopt;
        }
        total += held.usable + held.reserved;
    }
    return total;
}

void PeerLink::send(const std::string &text, const udp::endpoint &to)
{
    // A datagram that the kernel rejects is handled like one lost in the network.
    boost::system::error_code lost;
    socket_.send_to(boost::asio::buffer(text), to, 0, lost);
}

} // namespace sequoiagate
