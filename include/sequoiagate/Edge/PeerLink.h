#ifndef SEQUOIAGATE_EDGE_PEERLINK_H
#define SEQUOIAGATE_EDGE_PEERLINK_H

/// The UDP protocol between the fleet's processes: token requests and token transfers.
///
/// A transfer is retransmitted until it is acknowledged, and its receiver applies it once. The
/// tokens of a transfer that is never acknowledged are lost: the sender can't know whether they
/// arrived, and tokens that both sides have could be spent twice.

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <nlohmann/json.hpp>

#include "sequoiagate/Base/Ids.h"
#include "sequoiagate/Base/Time.h"
#include "sequoiagate/Decisions/EndpointLimits.h"
#include "sequoiagate/Ledger/TokenHolder.h"
#include "sequoiagate/Service/EventLog.h"

namespace sequoiagate {

/// A process of another host, as listed in the store.
struct Peer
{
    HostId host;
    DomainId domain;
    Incarnation incarnation;
    boost::asio::ip::udp::endpoint address;       ///< datagrams to the process are sent here
    boost::asio::ip::udp::endpoint listenAddress; ///< bound by this process alone while it runs
    /// Where the process relays requests; nullopt for earlier versions, which don't.
    std::optional<boost::asio::ip::tcp::endpoint> relayAddress;
};

/// The tokens of a workspace that a process holds.
struct HeldTokens
{
    uint64_t usable = 0;
    uint64_t reserved = 0; ///< for open requests, which may use fewer
    /// Whether unused tokens of the previous process on its host may still be returned.
    bool predecessorPending = false;
    bool mayClaim = false; ///< whether the process can claim more of the store
};

/// A peer's response to a request for its clock since boot.
struct ClockResponse
{
    boost::asio::ip::udp::endpoint address; ///< the address the request was sent to
    Incarnation process;                    ///< the process that responded
    Millis sinceBoot{};
    Millis requestedAfterStart{}; ///< time from the start of this process to the request
};

/// Single-threaded.
class PeerLink
{
public:
    struct Handlers
    {
        /// A peer requests tokens. \returns how many to transfer to it, already released by the
        /// TokenHolder, so no longer counted there.
        std::function<uint64_t(const TokenRequest &)> onTokenRequest;
        std::function<HeldTokens(const WorkspaceId &)> held;
        std::function<void(const WorkspaceId &, uint64_t tokens)> onTokensReceived;
        /// A peer responded to a clock request of this process.
        std::function<void(const ClockResponse &)> onClockResponse;
        /// A peer observed limits of endpoints; of a single one, perhaps a rejected request.
        std::function<void(const std::vector<EndpointLimitRecord> &, bool rejected)> onLimits;
        /// A peer requests a slot of this host's share of an endpoint's limit.
        std::function<SlotResponse(const SlotRequest &)> onSlotRequest;
        std::function<void(const SlotResponse &)> onSlotResponse;
    };

    /// \throws boost::system::system_error if the address can't be bound
    PeerLink(boost::asio::io_context &io, const boost::asio::ip::udp::endpoint &listen,
             Incarnation self, DomainId domain, EventLog &log, Handlers handlers);

    void setPeers(std::vector<Peer> peers);
    /// Sets the hosts, other than this one, that hold tokens of \p workspace for the fleet.
    void setHomes(const WorkspaceId &workspace, std::vector<Peer> homes);
    /// Requests tokens from peers. For a waiting request, the first round goes to the home in this
    /// failure domain, the second to all homes. All other requests go to a few peers in rotation.
    /// If the request says so and the last report of the first home is recent and states too few
    /// tokens, the first round goes to all homes too: tokens arrive within one round trip.
    void requestTokens(const TokenRequest &request);
    /// Whether the first home of \p workspace, the one in this failure domain if any, has responded
    /// recently enough to transfer tokens to it.
    bool homeRespondedRecently(const WorkspaceId &workspace, Instant now) const;
    /// Transfers \p tokens, already released by the holder, to that home.
    /// \pre homeAnsweredRecently
    void transferToHome(const WorkspaceId &workspace, uint64_t tokens, Instant now);
    /// Requests the clock since boot of the process at \p address. \p sinceStart is the time since
    /// the start of this process; the response repeats it.
    void requestClock(const boost::asio::ip::udp::endpoint &address, Millis sinceStart);
    /// Tells all peers what this host has just observed of an endpoint.
    void broadcastLimit(const EndpointLimitRecord &record, bool rejected, Instant now);
    /// Tells a few peers, in rotation, what is known of endpoints' limits: those that missed a
    /// broadcast or started after it learn it within a few such rounds.
    void gossipLimits(const std::vector<EndpointLimitRecord> &records, Instant now);
    /// Requests a slot of the holder that \p request names. A lost request isn't sent again.
    void requestSlot(const SlotRequest &request, Instant now);
    /// Handles messages of \p kind, which this protocol doesn't know itself. The handler may throw
    /// nlohmann::json::exception for a malformed message.
    using MessageHandler = std::function<void(const nlohmann::json &message,
                                              const boost::asio::ip::udp::endpoint &from)>;
    void setHandler(const std::string &kind, MessageHandler handler);
    /// Sends a datagram, which may be lost.
    void send(const std::string &text, const boost::asio::ip::udp::endpoint &to);
    /// Retransmits unacknowledged transfers. To be called several times a second.
    void tick(Instant now);
    /// The tokens that the peers last reported as usable or reserved; nullopt unless each of them
    /// has reported since \p since and none expects tokens of a previous process. The sum may be
    /// out of date, since tokens may have been transferred after the reports.
    std::optional<uint64_t> heldByPeers(const WorkspaceId &workspace, Instant since) const;
    std::size_t peerCount() const { return peers_.size(); }

private:
    struct Transfer
    {
        boost::asio::ip::udp::endpoint destination;
        std::string datagram;
        WorkspaceId workspace;
        uint64_t tokens = 0;
        Instant resendAt{};
        Instant giveUpAt{};
    };

    /// The tokens that a peer last reported.
    struct PeerReport
    {
        HeldTokens held;
        Instant receivedAt{};
    };

    void sortOwnDomainFirst(std::vector<Peer> &peers) const;
    void receive();
    void onDatagram(const std::string &text);
    void onTokenRequest(const nlohmann::json &message);
    void onTransfer(const nlohmann::json &message);
    void onAck(const nlohmann::json &message);
    void onClockRequest(const nlohmann::json &message);
    void onClockResponse(const nlohmann::json &message);
    void onLimits(const nlohmann::json &message);
    void onSlotRequest(const nlohmann::json &message);
    void onSlotResponse(const nlohmann::json &message);
    uint64_t tokensInTransit(const WorkspaceId &workspace) const;
    void sendTransfer(const WorkspaceId &workspace, uint64_t tokens, const std::string &to,
                      const boost::asio::ip::udp::endpoint &address, Instant now);
    /// A request as one peer gets it.
    struct AddressedRequest
    {
        boost::asio::ip::udp::endpoint to;
        TokenRequest request;
    };
    std::vector<AddressedRequest> recipients(const TokenRequest &request, Instant now);
    /// The last report of the first home, unless it is too old or from another process.
    const HeldTokens *recentHomeReport(const WorkspaceId &workspace, Instant now) const;

    boost::asio::ip::udp::socket socket_;
    Incarnation self_;
    DomainId domain_;
    EventLog &log_;
    Handlers handlers_;
    std::map<std::string, MessageHandler> otherHandlers_; ///< by the kind of message
    std::vector<Peer> peers_;
    std::map<WorkspaceId, std::vector<Peer>> homes_; ///< those in this failure domain first
    std::size_t nextPeer_ = 0;
    std::size_t nextGossipPeer_ = 0;
    boost::asio::ip::udp::endpoint sender_;
    std::array<char, 2048> buffer_;
    uint64_t lastTransferId_ = 0;
    std::map<uint64_t, Transfer> unacknowledged_;
    std::map<Incarnation, std::set<uint64_t>> receivedTransfers_;
    std::map<WorkspaceId, std::map<Incarnation, PeerReport>> reports_;
};

} // namespace sequoiagate

#endif
