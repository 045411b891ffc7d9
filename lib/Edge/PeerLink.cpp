#include "sequoiagate/Edge/PeerLink.h"

#include <algorithm>

#include <boost/asio/buffer.hpp>

#include "Addresses.h"
#include "sequoiagate/Base/BootClock.h"

namespace sequoiagate {

using boost::asio::ip::udp;

namespace {

/// Peers asked at once. A handful finds tokens if most have some; asking 75 each time
/// would cost more than the request that waits.
constexpr std::size_t AskedAtOnce = 8;

/// A round trip between failure domains takes some milliseconds; a lost datagram costs this.
constexpr Interval ResendAfter = std::chrono::milliseconds(80);

/// Longest cut between hosts that a move outlasts. Past it the tokens are lost.
constexpr Interval MoveLasts = std::chrono::seconds(20);

/// A home that hasn't answered within this time may have ended; tokens moved to it would be lost.
constexpr Interval HomeAnswerMaxAge = std::chrono::seconds(5);

} // namespace

PeerLink::PeerLink(boost::asio::io_context &io, const udp::endpoint &listen, Incarnation self,
                   DomainId domain, EventLog &log, Handlers handlers)
    : socket_(io, listen), self_(std::move(self)), domain_(std::move(domain)), log_(log),
      handlers_(std::move(handlers))
{
    socket_.non_blocking(true);
    receive();
}

void PeerLink::setPeers(std::vector<Peer> peers)
{
    nearFirst(peers);
    peers_ = std::move(peers);
}

void PeerLink::setHomes(const WorkspaceId &workspace, std::vector<Peer> homes)
{
    nearFirst(homes);
    homes_[workspace] = std::move(homes);
}

void PeerLink::nearFirst(std::vector<Peer> &peers) const
{
    // The own failure domain is near, and on this side of most cuts.
    std::stable_partition(peers.begin(), peers.end(),
                          [this](const Peer &peer) { return peer.domain == domain_; });
}

std::vector<udp::endpoint> PeerLink::addressees(const TokenRequest &ask)
{
    std::vector<udp::endpoint> chosen;
    const auto homes = homes_.find(ask.workspace);
    const bool hasHomes = homes != homes_.end() && !homes->second.empty();
    if (hasHomes && ask.need > 0 && ask.round == 0) {
        return {homes->second.front().address};
    }
    if (hasHomes && ask.need > 0 && ask.round == 1) {
        for (const Peer &home : homes->second) {
            chosen.push_back(home.address);
        }
        return chosen;
    }
    const std::size_t count = std::min(AskedAtOnce, peers_.size());
    for (std::size_t i = 0; i < count; ++i) {
        chosen.push_back(peers_[nextPeer_ % peers_.size()].address);
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
                                   // An error here tells of an earlier datagram that nobody
                                   // received.
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
    constexpr Kind Kinds[] = {{"ask", &PeerLink::onAsk},
                              {"move", &PeerLink::onMove},
                              {"ack", &PeerLink::onAck},
                              {"ask_clocks", &PeerLink::onClockAsk},
                              {"clocks", &PeerLink::onClock}};
    try {
        const nlohmann::json message = nlohmann::json::parse(text);
        const auto name = message.at("kind").get<std::string>();
        for (const Kind &kind : Kinds) {
            if (kind.name == name) {
                (this->*kind.handle)(message);
            }
        }
    } catch (const nlohmann::json::exception &error) {
        log_.write(Event("peer.malformed").with("why", error.what()));
    }
}

void PeerLink::ask(const TokenRequest &ask)
{
    const nlohmann::json message = {
            {"kind", "ask"},     {"from", self_.text()}, {"workspace", ask.workspace.text()},
            {"need", ask.need},  {"usable", ask.usable}, {"per_second", ask.demandPerSecond},
            {"round", ask.round}};
    const std::string text = message.dump();
    for (const udp::endpoint &to : addressees(ask)) {
        send(text, to);
    }
}

void PeerLink::onAsk(const nlohmann::json &message)
{
    TokenRequest ask;
    ask.workspace = WorkspaceId(message.at("workspace").get<std::string>());
    ask.need = message.at("need").get<uint64_t>();
    ask.usable = message.at("usable").get<uint64_t>();
    ask.demandPerSecond = message.at("per_second").get<uint64_t>();
    ask.round = message.value("round", 0U);
    const auto from = message.at("from").get<std::string>();
    const uint64_t tokens = handlers_.onAsk(ask);
    sendMove(ask.workspace, tokens, from, sender_, std::chrono::steady_clock::now());
}

void PeerLink::sendMove(const WorkspaceId &workspace, uint64_t tokens, const std::string &to,
                        const udp::endpoint &address, Instant now)
{
    const uint64_t id = tokens > 0 ? ++lastMove_ : 0;
    const HeldTokens held = handlers_.held(workspace);
    const nlohmann::json message = {{"kind", "move"},
                                    {"from", self_.text()},
                                    {"to", to},
                                    {"id", id},
                                    {"workspace", workspace.text()},
                                    {"tokens", tokens},
                                    {"usable", held.usable},
                                    {"reserved", held.reserved + underWay(workspace)},
                                    {"settling", held.settling}};
    const std::string text = message.dump();
    if (tokens > 0) {
        unacknowledged_[id] = {address,           text,           workspace, tokens,
                               now + ResendAfter, now + MoveLasts};
        log_.write(Event("tokens.given")
                           .with("workspace", workspace)
                           .with("tokens", tokens)
                           .with("to", to)
                           .with("id", id));
    }
    send(text, address);
}

bool PeerLink::homeAnsweredRecently(const WorkspaceId &workspace, Instant now) const
{
    const auto homes = homes_.find(workspace);
    const auto told = told_.find(workspace);
    if (homes == homes_.end() || homes->second.empty() || told == told_.end()) {
        return false;
    }
    const auto found = told->second.find(homes->second.front().incarnation);
    return found != told->second.end() && now < found->second.at + HomeAnswerMaxAge;
}

void PeerLink::moveToHome(const WorkspaceId &workspace, uint64_t tokens, Instant now)
{
    const Peer &home = homes_.at(workspace).front();
    sendMove(workspace, tokens, home.incarnation.text(), home.address, now);
}

void PeerLink::onMove(const nlohmann::json &message)
{
    const WorkspaceId workspace(message.at("workspace").get<std::string>());
    const Incarnation from(message.at("from").get<std::string>());
    const auto tokens = message.at("tokens").get<uint64_t>();
    const auto id = message.at("id").get<uint64_t>();
    const HeldTokens held{message.at("usable").get<uint64_t>(),
                          message.value("reserved", uint64_t{0}), message.value("settling", false)};
    told_[workspace][from] = {held, std::chrono::steady_clock::now()};
    if (tokens == 0) {
        return;
    }
    // It was meant for a process that this host ran before: its moves ended with it.
    if (message.at("to").get<std::string>() != self_.text()) {
        return;
    }
    const nlohmann::json ack = {{"kind", "ack"}, {"from", self_.text()}, {"id", id}};
    send(ack.dump(), sender_);
    if (!taken_[from].insert(id).second) {
        return;
    }
    log_.write(Event("tokens.taken")
                       .with("workspace", workspace)
                       .with("tokens", tokens)
                       .with("from", from)
                       .with("id", id));
    handlers_.onTokens(workspace, tokens);
}

void PeerLink::onAck(const nlohmann::json &message)
{
    unacknowledged_.erase(message.at("id").get<uint64_t>());
}

void PeerLink::askClock(const udp::endpoint &address, Millis asked)
{
    const nlohmann::json message = {{"kind", "ask_clocks"},
                                    {"from", self_.text()},
                                    {"about", addressText(address)},
                                    {"asked_ms", asked.count()}};
    send(message.dump(), address);
}

void PeerLink::onClockAsk(const nlohmann::json &message)
{
    const nlohmann::json answer = {{"kind", "clocks"},
                                   {"from", self_.text()},
                                   {"to", message.at("from")},
                                   {"about", message.at("about")},
                                   {"since_boot_ms", sinceBoot().count()},
                                   // Earlier builds ask for these, and believe neither.
                                   {"boot", ""},
                                   {"time_ms", -1},
                                   {"asked_ms", message.at("asked_ms")}};
    send(answer.dump(), sender_);
}

void PeerLink::onClock(const nlohmann::json &message)
{
    const auto address = parseUdpAddress(message.at("about").get<std::string>());
    // The process before this one on the address may have asked: its answer was read before
    // this one started, and would make the time that passed seem shorter.
    if (!address || message.at("to").get<std::string>() != self_.text()) {
        return;
    }
    handlers_.onClock({*address, Incarnation(message.at("from").get<std::string>()),
                       Millis(message.at("since_boot_ms").get<int64_t>()),
                       Millis(message.at("asked_ms").get<int64_t>())});
}

void PeerLink::tick(Instant now)
{
    for (auto move = unacknowledged_.begin(); move != unacknowledged_.end();) {
        if (now >= move->second.giveUpAt) {
            log_.write(Event("tokens.lost")
                               .with("workspace", move->second.workspace)
                               .with("tokens", move->second.tokens)
                               .with("id", move->first));
            move = unacknowledged_.erase(move);
            continue;
        }
        if (now >= move->second.nextAt) {
            move->second.nextAt = now + ResendAfter;
            send(move->second.text, move->second.to);
        }
        ++move;
    }
}

uint64_t PeerLink::underWay(const WorkspaceId &workspace) const
{
    uint64_t total = 0;
    for (const auto &[id, move] : unacknowledged_) {
        total += move.workspace == workspace ? move.tokens : 0;
    }
    return total;
}

std::optional<uint64_t> PeerLink::heldElsewhere(const WorkspaceId &workspace, Instant since) const
{
    const auto told = told_.find(workspace);
    uint64_t total = 0;
    for (const Peer &peer : peers_) {
        if (told == told_.end()) {
            return std::nullopt;
        }
        const auto found = told->second.find(peer.incarnation);
        if (found == told->second.end() || found->second.at < since) {
            return std::nullopt;
        }
        const HeldTokens &held = found->second.held;
        if (held.settling) {
            return std::nullopt;
        }
        total += held.usable + held.reserved;
    }
    return total;
}

void PeerLink::send(const std::string &text, const udp::endpoint &to)
{
    // A datagram that the kernel doesn't take is as good as lost on the way.
    boost::system::error_code lost;
    socket_.send_to(boost::asio::buffer(text), to, 0, lost);
}

} // namespace sequoiagate
