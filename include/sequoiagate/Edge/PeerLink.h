#ifndef SEQUOIAGATE_EDGE_PEERLINK_H
#define SEQUOIAGATE_EDGE_PEERLINK_H

/// Datagrams between the fleet's processes: asking for tokens, and moving them.
///
/// A move is sent again until it is acknowledged, and its receiver takes it once. What is
/// never acknowledged is lost to both: its giver can't know whether it arrived, and tokens
/// that two have would be spent twice.

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <nlohmann/json.hpp>

#include "sequoiagate/Base/Ids.h"
#include "sequoiagate/Base/Time.h"
#include "sequoiagate/Ledger/TokenHolder.h"
#include "sequoiagate/Service/EventLog.h"

namespace sequoiagate {

/// Another host's process, as the store lists it.
struct Peer
{
    HostId host;
    DomainId domain;
    Incarnation incarnation;
    boost::asio::ip::udp::endpoint address; ///< to send to
    boost::asio::ip::udp::endpoint listens; ///< bound by the process, and by no other meanwhile
};

/// What a process has of a workspace's tokens.
struct HeldTokens
{
    uint64_t usable = 0;
    uint64_t reserved = 0; ///< for open requests, which may end with less
    /// Whether what the process before it on its host had is still counted as used.
    bool settling = false;
};

/// What a peer's clock since boot said when this process asked.
struct ClockAnswer
{
    boost::asio::ip::udp::endpoint address; ///< that was asked
    Incarnation process;                    ///< that answered
    Millis sinceBoot{};
    Millis askedAfterStart{}; ///< as it was asked with
};

/// Single-threaded.
class PeerLink
{
public:
    struct Handlers
    {
        /// A peer asks. \returns the tokens to move to it, which the holder has let go.
        std::function<uint64_t(const TokenRequest &)> onAsk;
        std::function<HeldTokens(const WorkspaceId &)> held;
        std::function<void(const WorkspaceId &, uint64_t tokens)> onTokens;
        /// A peer told its clock, as this process asked.
        std::function<void(const ClockAnswer &)> onClock;
    };

    /// \throws boost::system::system_error if the address can't be had
    PeerLink(boost::asio::io_context &io, const boost::asio::ip::udp::endpoint &listen,
             Incarnation self, DomainId domain, EventLog &log, Handlers handlers);

    void setPeers(std::vector<Peer> peers);
    /// The hosts that hold \p workspace's tokens for others, this one left out.
    void setHomes(const WorkspaceId &workspace, std::vector<Peer> homes);
    /// Asks for a request that waits: first the near home, then the others, then any peers.
    /// Asks some peers else, others the next time.
    void ask(const TokenRequest &ask);
    /// Whether the near home of \p workspace has answered recently enough to move tokens to it.
    bool homeAnsweredRecently(const WorkspaceId &workspace, Instant now) const;
    /// Moves \p tokens, already released by the holder, to the near home.
    /// \pre homeAnsweredRecently
    void moveToHome(const WorkspaceId &workspace, uint64_t tokens, Instant now);
    /// Asks the process that is reached at \p address for its clock since boot, \p asked after the
    /// start of this one.
    void askClock(const boost::asio::ip::udp::endpoint &address, Millis asked);
    /// Sends what isn't acknowledged again. Call some times a second.
    void tick(Instant now);
    /// What peers said they have or may get back, if all of them answered since \p since and none
    /// is settling; they may have given away or got some in the meantime.
    std::optional<uint64_t> heldElsewhere(const WorkspaceId &workspace, Instant since) const;
    std::size_t peers() const { return peers_.size(); }

private:
    struct Move
    {
        boost::asio::ip::udp::endpoint to;
        std::string text;
        WorkspaceId workspace;
        uint64_t tokens = 0;
        Instant nextAt{};
        Instant giveUpAt{};
    };

    /// What a peer said it has.
    struct Told
    {
        HeldTokens held;
        Instant at{};
    };

    void nearFirst(std::vector<Peer> &peers) const;
    void receive();
    void onDatagram(const std::string &text);
    void onAsk(const nlohmann::json &message);
    void onMove(const nlohmann::json &message);
    void onAck(const nlohmann::json &message);
    void onClockAsk(const nlohmann::json &message);
    void onClock(const nlohmann::json &message);
    uint64_t underWay(const WorkspaceId &workspace) const;
    void sendMove(const WorkspaceId &workspace, uint64_t tokens, const std::string &to,
                  const boost::asio::ip::udp::endpoint &address, Instant now);
    std::vector<boost::asio::ip::udp::endpoint> addressees(const TokenRequest &ask);
    void send(const std::string &text, const boost::asio::ip::udp::endpoint &to);

    boost::asio::ip::udp::socket socket_;
    Incarnation self_;
    DomainId domain_;
    EventLog &log_;
    Handlers handlers_;
    std::vector<Peer> peers_;
    std::map<WorkspaceId, std::vector<Peer>> homes_; ///< the own failure domain's first
    std::size_t nextPeer_ = 0;
    boost::asio::ip::udp::endpoint sender_;
    std::array<char, 2048> buffer_;
    uint64_t lastMove_ = 0;
    std::map<uint64_t, Move> unacknowledged_;
    std::map<Incarnation, std::set<uint64_t>> taken_;
    std::map<WorkspaceId, std::map<Incarnation, Told>> told_;
};

} // namespace sequoiagate

#endif
