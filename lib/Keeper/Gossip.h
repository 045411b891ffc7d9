#ifndef LIB_KEEPER_GOSSIP_H
#define LIB_KEEPER_GOSSIP_H

/// Moves membership's datagrams, and what rides on them: the configuration's version
/// and looks at endpoints.

#include <string>

#include <absl/synchronization/mutex.h>

#include "sequoiagate/Keeper/Keeper.h"
#include "sequoiagate/Members/Membership.h"

#include "LinkFilter.h"
#include "Worker.h"

namespace sequoiagate {

/// A UDP socket bound to one address. Thread safe but for its making and closing.
class DatagramSocket
{
public:
    /// \param address IP:port; port 0: the kernel chooses.
    /// \throws std::runtime_error if it can't be bound.
    explicit DatagramSocket(const std::string &address);
    ~DatagramSocket();
    DatagramSocket(const DatagramSocket &) = delete;
    DatagramSocket &operator=(const DatagramSocket &) = delete;

    /// IP:port, with the real port.
    const std::string &address() const { return address_; }
    /// Sends, or loses, one datagram.
    void send(const std::string &address, const std::string &data) const;
    /// \returns whether one came within \p wait.
    bool receive(std::string &data, Millis wait) const;

private:
    int descriptor_ = -1;
    std::string address_;
};

class Gossip
{
public:
    /// \pre all outlive this.
    Gossip(Keeper &keeper, DatagramSocket &socket, const LinkFilter &filter,
           const wire::MemberEntry &self, const MembershipSettings &settings,
           std::vector<std::string> seeds);

    /// Further addresses to join through, from the host list. Thread safe.
    void addSeeds(const std::vector<std::string> &addresses);
    /// Says goodbye, so that peers needn't find out by probing.
    void leave();

private:
    Interval step();
    /// Tells peers whether to count on this keeper, once that has changed.
    void announceFitness();
    void receive(const std::string &data, Instant now);
    void flush();
    void addExtras(wire::GossipMessage &message);
    bool blockedAddress(const std::string &address) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

    Keeper &keeper_;
    DatagramSocket &socket_;
    const LinkFilter &filter_;
    std::vector<std::string> seeds_;
    absl::Mutex mutex_;
    Membership membership_ ABSL_GUARDED_BY(mutex_);
    std::size_t nextEndpoint_ = 0;
    bool fit_ = true; ///< as last announced
    Worker worker_;
};

/// Reads the platform's host list for seeds. It lags, so that it is a place to start
/// from and nothing more.
class HostListReader
{
public:
    /// \param address empty: there is none.
    /// \pre gossip outlives this.
    HostListReader(Gossip &gossip, std::string address, Interval period);

private:
    Interval step();

    Gossip &gossip_;
    std::string address_;
    Interval period_;
    Worker worker_;
};

} // namespace sequoiagate

#endif
