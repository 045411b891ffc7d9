#include "unittests/Support/GossipNetwork.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace sequoiagate {

namespace {

constexpr Interval Step = std::chrono::milliseconds(5);
constexpr uint64_t HeaderBytes = 28;
constexpr int MaximumDelaySteps = 3;
constexpr std::size_t Seeds = 3;

std::string gossipAddress(std::size_t index)
{
    return fmt::format("10.20.{}.{}:7946", index / 250, index % 250 + 1);
}

std::size_t indexOf(const std::string &address)
{
    const std::size_t third = address.find('.', 3) + 1;
    const std::size_t fourth = address.find('.', third) + 1;
    return std::stoul(address.substr(third)) * 250 + std::stoul(address.substr(fourth)) - 1;
}

} // namespace

GossipNetwork::GossipNetwork(Options options)
    : options_(options), now_(std::chrono::hours(1)), random_(options.seed), nodes_(options.members)
{
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
        start(i);
    }
}

void GossipNetwork::start(std::size_t index)
{
    Node &node = nodes_[index];
    ++node.lives;
    wire::MemberEntry self;
    self.set_host(fmt::format("host-{:03}", index));
    self.set_incarnation(fmt::format("{:08x}{:08x}{:016x}", index, node.lives, random_()));
    self.set_domain(fmt::format("domain-{}", index % 6));
    self.set_address(fmt::format("10.20.{}.{}:7000", index / 250, index % 250 + 1));
    self.set_gossip_address(gossipAddress(index));
    MembershipSettings settings = options_.membership;
    settings.seed = options_.seed;
    // Hosts don't start at the same instant; neither do their probe periods.
    const Interval offset = Step * (random_() % (settings.probePeriod / Step));
    node.membership = std::make_unique<Membership>(self, settings, now_ + offset);
    std::vector<std::string> seeds;
    for (std::size_t i = 0; i < std::min(Seeds, nodes_.size()); ++i) {
        seeds.push_back(gossipAddress(i * nodes_.size() / Seeds));
    }
    node.membership->seed(seeds);
    node.deadline = node.membership->nextDeadline();
    node.running = true;
    node.paused = false;
}

void GossipNetwork::run(Interval duration)
{
    const Instant end = now_ + duration;
    while (now_ < end) {
        step();
    }
}

std::optional<Interval> GossipNetwork::runUntil(const std::function<bool()> &done, Interval limit,
                                                Interval checkPeriod)
{
    const Instant begin = now_;
    while (!done()) {
        if (now_ - begin >= limit) {
            return std::nullopt;
        }
        run(checkPeriod);
    }
    return now_ - begin;
}

void GossipNetwork::step()
{
    now_ += Step;
    std::vector<Delivery> due;
    const auto later = std::stable_partition(deliveries_.begin(), deliveries_.end(),
                                             [&](const Delivery &d) { return d.at > now_; });
    std::move(later, deliveries_.end(), std::back_inserter(due));
    deliveries_.erase(later, deliveries_.end());
    for (Delivery &delivery : due) {
        Node &node = nodes_[delivery.to];
        if (node.paused) {
            node.inbox.push_back(std::move(delivery.message));
        } else if (node.running) {
            node.membership->onMessage(delivery.message, now_);
            drain(delivery.to);
        }
    }
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
        Node &node = nodes_[i];
        if (node.running && !node.paused && node.deadline <= now_) {
            node.membership->onTick(now_);
            drain(i);
        }
    }
}

void GossipNetwork::drain(std::size_t index)
{
    Membership &membership = *nodes_[index].membership;
    for (const OutgoingGossip &send : membership.takeOutgoing()) {
        post(index, send);
    }
    for (MemberChange &change : membership.takeChanges()) {
        observations_.push_back({index, now_, std::move(change)});
    }
    nodes_[index].deadline = membership.nextDeadline();
}

void GossipNetwork::post(std::size_t from, const OutgoingGossip &send)
{
    const std::size_t to = indexOf(send.address);
    const uint64_t size = send.message.ByteSizeLong() + HeaderBytes;
    ++traffic_.datagrams;
    traffic_.bytes += size;
    traffic_.largest = std::max(traffic_.largest, size);
    const bool lost = std::uniform_real_distribution<double>(0, 1)(random_) < options_.loss;
    if (lost || cutOff(from, to)) {
        return;
    }
    const auto delay = std::uniform_int_distribution<int>(1, MaximumDelaySteps)(random_);
    deliveries_.push_back({now_ + delay * Step, to, send.message});
}

void GossipNetwork::kill(std::size_t index)
{
    nodes_[index].running = false;
}

void GossipNetwork::restart(std::size_t index)
{
    start(index);
}

void GossipNetwork::setPaused(std::size_t index, bool paused)
{
    Node &node = nodes_[index];
    node.paused = paused;
    if (paused) {
        return;
    }
    // A woken process' timers run before it has read its socket: the worst order.
    node.membership->onTick(now_);
    drain(index);
    for (const wire::GossipMessage &message : std::exchange(node.inbox, {})) {
        node.membership->onMessage(message, now_);
        drain(index);
    }
}

void GossipNetwork::cutAt(std::size_t boundary)
{
    boundary_ = boundary;
}

bool GossipNetwork::cutOff(std::size_t a, std::size_t b) const
{
    return (a < boundary_) != (b < boundary_);
}

Incarnation GossipNetwork::incarnation(std::size_t index) const
{
    return Incarnation(nodes_[index].membership->self().incarnation());
}

bool GossipNetwork::converged() const
{
    const auto runningCount = static_cast<std::size_t>(
            std::count_if(nodes_.begin(), nodes_.end(), [](const Node &n) { return n.running; }));
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
        const std::size_t expected = nodes_[i].running ? runningCount : 0;
        if (believersIn(i) != expected) {
            return false;
        }
    }
    return true;
}

std::size_t GossipNetwork::believersIn(std::size_t index) const
{
    const Incarnation incarnation(nodes_[index].membership->self().incarnation());
    return static_cast<std::size_t>(
            std::count_if(nodes_.begin(), nodes_.end(), [&](const Node &node) {
                return node.running && node.membership->alive(incarnation);
            }));
}

GossipNetwork::Traffic GossipNetwork::takeTraffic()
{
    return std::exchange(traffic_, {});
}

} // namespace sequoiagate
