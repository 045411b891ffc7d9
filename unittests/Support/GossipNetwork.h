#ifndef UNITTESTS_SUPPORT_GOSSIPNETWORK_H
#define UNITTESTS_SUPPORT_GOSSIPNETWORK_H

/// Many memberships in one process over a network in virtual time, with loss,
/// delay, cuts, pauses and kills. The same seed gives the same run.

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "sequoiagate/Members/Membership.h"

namespace sequoiagate {

class GossipNetwork
{
public:
    struct Options
    {
        std::size_t members = 3;
        double loss = 0.0; ///< share of datagrams that are lost
        uint64_t seed = 1;
        MembershipSettings membership;
    };

    struct Traffic
    {
        uint64_t datagrams = 0;
        uint64_t bytes = 0; ///< with 28 bytes of IP and UDP headers each
        uint64_t largest = 0;
    };

    /// One change of belief, as a member saw it.
    struct Observation
    {
        std::size_t by = 0;
        Instant at;
        MemberChange change;
    };

    explicit GossipNetwork(Options options);

    /// Runs for \p duration of virtual time.
    void run(Interval duration);
    /// Runs until \p done, asked every \p checkPeriod, or for \p limit. \returns the
    /// time until done, else nullopt.
    std::optional<Interval> runUntil(const std::function<bool()> &done, Interval limit,
                                     Interval checkPeriod = std::chrono::milliseconds(50));

    void kill(std::size_t index);
    /// A new process of the same host, at the same address. \pre it was killed.
    void restart(std::size_t index);
    void setPaused(std::size_t index, bool paused);
    /// Cuts members below \p boundary from the others; 0 heals.
    void cutAt(std::size_t boundary);
    void setLoss(double loss) { options_.loss = loss; }

    Membership &at(std::size_t index) { return *nodes_[index].membership; }
    Instant now() const { return now_; }
    Incarnation incarnation(std::size_t index) const;
    /// Whether all running members believe exactly the running ones live.
    bool converged() const;
    std::size_t believersIn(std::size_t index) const;

    const std::vector<Observation> &observations() const { return observations_; }
    void clearObservations() { observations_.clear(); }
    /// Sent since the last call, over all members.
    Traffic takeTraffic();

private:
    struct Node
    {
        std::unique_ptr<Membership> membership;
        bool running = true;
        bool paused = false;
        uint32_t lives = 0;
        Instant deadline;
        std::vector<wire::GossipMessage> inbox; ///< what a paused process' socket holds
    };
    struct Delivery
    {
        Instant at;
        std::size_t to = 0;
        wire::GossipMessage message;
    };

    void start(std::size_t index);
    void step();
    void drain(std::size_t index);
    void post(std::size_t from, const OutgoingGossip &send);
    bool cutOff(std::size_t a, std::size_t b) const;

    Options options_;
    Instant now_;
    std::mt19937_64 random_;
    std::vector<Node> nodes_;
    std::vector<Delivery> deliveries_;
    std::vector<Observation> observations_;
    Traffic traffic_;
    std::size_t boundary_ = 0;
};

} // namespace sequoiagate

#endif
