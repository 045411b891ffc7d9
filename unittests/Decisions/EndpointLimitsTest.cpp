/// Limits that endpoints name for all hosts together, kept by fleets of various sizes.

#include <algorithm>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <random>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "sequoiagate/Decisions/EndpointLimits.h"

using namespace sequoiagate;

namespace {

const EndpointId Endpoint("e");
constexpr uint64_t FirstProcess = 1;

EndpointNotice requestLimit(double perSecond)
{
    EndpointNotice notice;
    notice.maxRequestsPerSecond = perSecond;
    return notice;
}

EndpointNotice rejectionLimit(uint32_t perSecond, bool rejected)
{
    EndpointNotice notice;
    notice.maxRejectionsPerSecond = perSecond;
    notice.rejected = rejected;
    return notice;
}

std::vector<HostId> hostNames(int count)
{
    std::vector<HostId> hosts;
    for (int i = 0; i < count; ++i) {
        hosts.emplace_back(fmt::format("host-{}", i));
    }
    return hosts;
}

/// A fleet of hosts that would send to one endpoint as often as they may. Messages between hosts
/// take a millisecond or two, and some are lost.
class LimitedFleet
{
public:
    explicit LimitedFleet(int hosts) : names_(hostNames(hosts))
    {
        for (int i = 0; i < hosts; ++i) {
            nodes_.emplace_back();
            restart(i);
        }
        at(now_, [this] { gossip(); });
    }

    Instant now() const { return now_; }
    /// The limit that responses name from now on.
    std::optional<double> limit;
    double lossShare = 0.1;
    Interval maxSlotDelay{};
    /// Whether each request is rejected, and sent again once if the limits allow it.
    bool rejects = false;

    /// Starts the process of \p host anew, which knows nothing.
    void restart(int host)
    {
        Node &node = nodes_[index(host)];
        node.limits = std::make_unique<EndpointLimits>(names_[index(host)]);
        node.limits->setHosts(names_);
        node.limits->setEndpoint(Endpoint, FirstProcess, 8);
        ++node.process;
    }

    /// Adds a host. The others learn of it one after another, within \p within.
    void join(Interval within)
    {
        names_.emplace_back(fmt::format("host-{}", names_.size()));
        nodes_.emplace_back();
        const int host = static_cast<int>(nodes_.size()) - 1;
        restart(host);
        for (std::size_t i = 0; i + 1 < nodes_.size(); ++i) {
            const auto delay = Interval(
                    static_cast<int64_t>(random_() % static_cast<uint64_t>(within.count())));
            at(now_ + delay, [this, i] { nodes_[i].limits->setHosts(names_); });
        }
        call(host, 10.0);
    }

    /// Removes the endpoint's entry at all hosts, each within \p spread, and lists the same process
    /// again after \p away.
    void delist(Interval away, Interval spread)
    {
        for (Node &node : nodes_) {
            const Instant from = now_ + randomUpTo(spread);
            at(from, [this, &node] {
                node.isListed = false;
                node.limits->removeEndpoint(Endpoint, now_);
            });
            at(from + away, [&node] {
                node.isListed = true;
                node.limits->setEndpoint(Endpoint, FirstProcess, 8);
            });
        }
    }

    /// Kills \p count hosts, of which the others learn within \p spread, and starts them again
    /// after \p away.
    void replace(int count, Interval away, Interval spread)
    {
        std::vector<HostId> left(names_.begin() + count, names_.end());
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            const Instant from = now_ + randomUpTo(spread);
            at(from, [this, i, left] { nodes_[i].limits->setHosts(left); });
            at(from + away, [this, i] { nodes_[i].limits->setHosts(names_); });
        }
        for (int i = 0; i < count; ++i) {
            nodes_[index(i)].isListed = false;
            at(now_ + away, [this, i] {
                restart(i);
                nodes_[index(i)].isListed = true;
            });
        }
    }

    /// Lets all hosts read a row of an earlier start of the endpoint, each within \p spread, and
    /// the row of its present process again after \p away.
    void rereadEarlierRow(Interval away, Interval spread)
    {
        for (Node &node : nodes_) {
            const Instant from = now_ + randomUpTo(spread);
            at(from, [&node] {
                node.listedProcess = FirstProcess - 1;
                node.limits->setEndpoint(Endpoint, node.listedProcess, 8);
            });
            at(from + away, [&node] {
                node.listedProcess = FirstProcess;
                node.limits->setEndpoint(Endpoint, node.listedProcess, 8);
            });
        }
    }

    /// Replaces \p count hosts one after another by new ones. The first \p stale hosts learn of it
    /// at the end, the others within half a second each.
    void replaceInSeries(int stale, int count, Interval gap)
    {
        std::vector<HostId> listed = names_;
        const Instant end = now_ + count * gap;
        for (int i = 0; i < count; ++i) {
            const Instant from = now_ + i * gap;
            const std::size_t leaving = index(stale + i);
            at(from, [this, leaving] { nodes_[leaving].isListed = false; });
            names_.emplace_back(fmt::format("new-{}", names_.size()));
            nodes_.emplace_back();
            const int joined = static_cast<int>(nodes_.size()) - 1;
            restart(joined);
            listed[leaving] = names_.back();
            at(from, [this, joined, listed] {
                nodes_[index(joined)].limits->setHosts(listed);
                call(joined, 2.0);
            });
            for (std::size_t node = 0; node < index(joined); ++node) {
                const bool isStale = node < index(stale);
                at((isStale ? end : from) + randomUpTo(std::chrono::milliseconds(500)),
                   [this, node, listed] { nodes_[node].limits->setHosts(listed); });
            }
        }
    }

    /// Lets the first \p count hosts act and read late, by up to \p lag.
    void slowDown(int count, Interval lag)
    {
        for (int i = 0; i < count; ++i) {
            nodes_[index(i)].lag = lag;
        }
    }

    /// Lets \p host try to send \p perSecond requests a second, at random times.
    void call(int host, double perSecond)
    {
        std::exponential_distribution<double> gap(perSecond);
        const auto delay =
                std::chrono::duration_cast<Interval>(std::chrono::duration<double>(gap(random_)));
        at(now_ + delay, [this, host, perSecond] {
            trySend(host);
            call(host, perSecond);
        });
    }

    void run(Interval length)
    {
        const Instant end = now_ + length;
        while (!events_.empty() && events_.top().at <= end) {
            const Event event = events_.top();
            events_.pop();
            now_ = event.at;
            event.act();
        }
        now_ = end;
    }

    /// The largest number of requests that arrived in 4 s that began at \p from or later.
    std::size_t mostInWindow(Instant from) const
    {
        constexpr Interval Window = std::chrono::seconds(4);
        std::size_t most = 0;
        auto first = std::lower_bound(arrivals_.begin(), arrivals_.end(), from);
        for (auto last = first; last != arrivals_.end(); ++last) {
            while (*last - *first > Window) {
                ++first;
            }
            most = std::max(most, static_cast<std::size_t>(last - first) + 1);
        }
        return most;
    }
    std::size_t arrivalsSince(Instant from) const
    {
        return static_cast<std::size_t>(
                arrivals_.end() - std::lower_bound(arrivals_.begin(), arrivals_.end(), from));
    }

private:
    struct Node
    {
        std::unique_ptr<EndpointLimits> limits;
        int process = 0;
        bool isListed = true;                  ///< the endpoint, at this host
        uint64_t listedProcess = FirstProcess; ///< of the endpoint
        Interval lag{};                        ///< by which it acts late at most
    };

    struct Event
    {
        Instant at;
        uint64_t order;
        std::function<void()> act;
        bool operator<(const Event &other) const
        {
            return std::pair(at, order) > std::pair(other.at, other.order);
        }
    };

    static std::size_t index(int host) { return static_cast<std::size_t>(host); }
    void at(Instant when, std::function<void()> act)
    {
        events_.push({when, ++order_, std::move(act)});
    }

    void trySend(int host, bool isRetry = false)
    {
        Node &node = nodes_[index(host)];
        if (!node.isListed) {
            return;
        }
        if (!node.limits->isAvailable(Endpoint, now_)) {
            requestSlot(host);
            return;
        }
        node.limits->onSent(Endpoint, now_);
        const Instant arrivesAt = now_ + lagOf(node);
        at(arrivesAt, [this] { arrivals_.push_back(now_); });
        EndpointNotice notice;
        notice.maxRequestsPerSecond = limit;
        constexpr Interval Work = std::chrono::milliseconds(20);
        const bool retries = rejects && !isRetry;
        at(arrivesAt + Work + lagOf(node), [this, host, notice, retries, sentAt = now_,
                                            process = node.process, listed = node.listedProcess] {
            Node &answered = nodes_[index(host)];
            if (answered.process != process || answered.listedProcess != listed) {
                return;
            }
            if (retries) {
                trySend(host, true);
            }
            if (answered.limits->onNotice(Endpoint, notice, sentAt, now_)) {
                for (std::size_t i = 0; i < nodes_.size(); ++i) {
                    tell(i, *answered.limits->recordOf(Endpoint));
                }
            }
        });
    }

    Interval randomUpTo(Interval most)
    {
        return most == Interval::zero() ? most
                                        : Interval(static_cast<int64_t>(
                                                random_() % static_cast<uint64_t>(most.count())));
    }
    Interval lagOf(const Node &node) { return randomUpTo(node.lag); }

    bool isLost() { return std::uniform_real_distribution<double>()(random_) < lossShare; }

    void requestSlot(int host)
    {
        const auto request = nodes_[index(host)].limits->requestSlot(Endpoint, maxSlotDelay, now_);
        const auto holder =
                request ? std::find(names_.begin(), names_.end(), request->holder) : names_.end();
        if (holder == names_.end() || isLost()) {
            return;
        }
        const auto holderIndex = static_cast<std::size_t>(holder - names_.begin());
        const Interval toHolder = std::chrono::milliseconds(2) + lagOf(nodes_[holderIndex]);
        at(now_ + toHolder, [this, host, holderIndex, request] {
            const SlotResponse response = nodes_[holderIndex].limits->lendSlot(*request, now_);
            if (isLost()) {
                return;
            }
            const Interval back = std::chrono::milliseconds(2) + lagOf(nodes_[index(host)]);
            at(now_ + back, [this, host, response] {
                nodes_[index(host)].limits->onSlotResponse(response, now_);
            });
        });
    }

    void tell(std::size_t host, EndpointLimitRecord record)
    {
        if (isLost()) {
            return;
        }
        const Interval age = now_ - record.observedAt;
        at(now_ + std::chrono::milliseconds(2) + lagOf(nodes_[host]),
           [this, host, record, age]() mutable {
               record.observedAt = now_ - age;
               nodes_[host].limits->onRecord(record, now_);
           });
    }

    void gossip()
    {
        constexpr int Peers = 3;
        for (const Node &node : nodes_) {
            for (const EndpointLimitRecord &record : node.limits->records(now_)) {
                for (int i = 0; i < Peers; ++i) {
                    tell(random_() % nodes_.size(), record);
                }
            }
        }
        at(now_ + std::chrono::milliseconds(500), [this] { gossip(); });
    }

    std::vector<HostId> names_;
    std::vector<Node> nodes_;
    std::vector<Instant> arrivals_;
    std::priority_queue<Event> events_;
    uint64_t order_ = 0;
    std::mt19937_64 random_{7};
    Instant now_{std::chrono::hours(1)};
};

double allowedInWindow(double limit)
{
    constexpr double Tolerance = 1.5;
    constexpr double Seconds = 4.0;
    constexpr double Extra = 5.0;
    return Tolerance * limit * Seconds + Extra;
}

constexpr Interval Settling = std::chrono::seconds(3);

struct FleetLimitCase
{
    const char *name;
    int hosts;
    int hostsWithCallers;
    double perSecond; ///< requests that each of them would send
    double limit;
};

class FleetLimit : public testing::TestWithParam<FleetLimitCase>
{};

// Guards against a limit that each host applies alone: the endpoint then gets a multiple of it.
TEST_P(FleetLimit, HoldsForAllHostsTogether)
{
    const FleetLimitCase &row = GetParam();
    LimitedFleet fleet(row.hosts);
    for (int host = 0; host < row.hostsWithCallers; ++host) {
        fleet.call(host, row.perSecond);
    }
    fleet.run(std::chrono::seconds(2));
    fleet.limit = row.limit;
    const Instant named = fleet.now();
    fleet.run(std::chrono::seconds(30));
    EXPECT_LE(static_cast<double>(fleet.mostInWindow(named + Settling)),
              allowedInWindow(row.limit));
}

const FleetLimitCase FleetLimitCases[] = {
        {"One", 1, 1, 50.0, 2.1},
        {"Six", 6, 6, 20.0, 2.1},
        {"SixWithAllCallersAtOne", 6, 1, 100.0, 2.1},
        {"SixWithCallersAtTwo", 6, 2, 40.0, 3.3},
        {"SixAtALargerLimit", 6, 6, 30.0, 12.0},
        {"SixAtLessThanOne", 6, 6, 20.0, 0.4},
        {"SixAtNone", 6, 6, 20.0, 0.0},
        {"Forty", 40, 40, 5.0, 2.1},
        {"FortyAtALargerLimit", 40, 40, 5.0, 20.0},
        {"SeventyFive", 75, 75, 3.0, 1.0},
        {"Many", 195, 195, 3.0, 2.1},
        {"ManyAtALargerLimit", 195, 195, 3.0, 60.0},
        {"ManyWithCallersAtTen", 195, 10, 30.0, 5.0},
};

INSTANTIATE_TEST_SUITE_P(Fleets, FleetLimit, testing::ValuesIn(FleetLimitCases),
                         [](const auto &row) { return row.param.name; });

struct FleetEvent
{
    const char *name;
    int hosts;
    double limit;
    std::function<void(LimitedFleet &)> play; ///< 10 s after the limit was named
};

class FleetLimitDuring : public testing::TestWithParam<FleetEvent>
{};

// Guards against exceeding a limit while hosts differ in what they know.
TEST_P(FleetLimitDuring, Holds)
{
    const FleetEvent &row = GetParam();
    LimitedFleet fleet(row.hosts);
    for (int host = 0; host < row.hosts; ++host) {
        fleet.call(host, 120.0 / row.hosts);
    }
    fleet.run(std::chrono::seconds(2));
    fleet.limit = row.limit;
    const Instant named = fleet.now();
    fleet.run(std::chrono::seconds(10));
    row.play(fleet);
    fleet.run(std::chrono::seconds(15));
    EXPECT_LE(static_cast<double>(fleet.mostInWindow(named + Settling)),
              allowedInWindow(row.limit));
}

void returnTwice(LimitedFleet &fleet)
{
    fleet.delist(std::chrono::milliseconds(500), std::chrono::milliseconds(50));
    fleet.run(std::chrono::seconds(1));
    fleet.delist(std::chrono::milliseconds(500), std::chrono::milliseconds(50));
}

const FleetEvent FleetEvents[] = {
        {"AJoin", 6, 2.1,
         [](LimitedFleet &fleet) {
             fleet.join(std::chrono::seconds(2));
         }},
        {"AJoinOfAManyHosts", 195, 2.1,
         [](LimitedFleet &fleet) {
             fleet.join(std::chrono::seconds(4));
         }},
        {"ARestart", 6, 2.1,
         [](LimitedFleet &fleet) {
             fleet.restart(3);
         }},
        {"ARestartOfOneOfMany", 195, 2.1,
         [](LimitedFleet &fleet) {
             fleet.restart(100);
         }},
        {"RetriesOfRejectedRequests", 6, 4.0,
         [](LimitedFleet &fleet) {
             fleet.rejects = true;
         }},
        {"RetriesInALargeFleet", 195, 4.0,
         [](LimitedFleet &fleet) {
             fleet.rejects = true;
         }},
        {"HeavyLoss", 40, 5.0,
         [](LimitedFleet &fleet) {
             fleet.lossShare = 0.6;
         }},
        // Entries that expire although their endpoints live on are back with the next heartbeat.
        {"AnEntryThatReturns", 6, 2.1,
         [](LimitedFleet &fleet) {
             fleet.delist(std::chrono::seconds(1), std::chrono::milliseconds(50));
         }},
        {"AnEntryThatReturnsInALargeFleet", 61, 2.1,
         [](LimitedFleet &fleet) {
             fleet.delist(std::chrono::seconds(1), std::chrono::milliseconds(50));
         }},
        {"AnEntryThatReturnsTwice", 6, 2.1, returnTwice},
        {"AnEntryThatReturnsTwiceInALargeFleet", 61, 2.1, returnTwice},
        {"HalfOfTheHostsKilled", 61, 4.0,
         [](LimitedFleet &fleet) {
             fleet.replace(30, std::chrono::seconds(1), std::chrono::seconds(2));
         }},
        {"SlowHosts", 61, 4.0,
         [](LimitedFleet &fleet) {
             fleet.slowDown(20, std::chrono::seconds(1));
         }},
        {"SlowHostsAndAnEntryThatReturns", 61, 4.0,
         [](LimitedFleet &fleet) {
             fleet.slowDown(20, std::chrono::seconds(1));
             fleet.run(std::chrono::seconds(3));
             fleet.delist(std::chrono::seconds(1), std::chrono::milliseconds(300));
         }},
        {"AnEarlierRowThatIsReadAgain", 61, 2.1,
         [](LimitedFleet &fleet) {
             fleet.rereadEarlierRow(Interval::zero(), std::chrono::milliseconds(300));
         }},
        {"EarlierRowsThatAreReadByTurns", 61, 2.1,
         [](LimitedFleet &fleet) {
             for (int i = 0; i < 3; ++i) {
                 fleet.rereadEarlierRow(std::chrono::milliseconds(400),
                                        std::chrono::milliseconds(300));
                 fleet.run(std::chrono::seconds(1));
             }
         }},
        {"AThirdWithTheOldListWhileOthersAreReplaced", 61, 2.1,
         [](LimitedFleet &fleet) {
             fleet.replaceInSeries(20, 18, std::chrono::milliseconds(500));
         }},
        {"OldListsAndSlowHostsWhileOthersAreReplaced", 61, 2.1,
         [](LimitedFleet &fleet) {
             fleet.slowDown(20, std::chrono::seconds(1));
             fleet.replaceInSeries(20, 36, std::chrono::milliseconds(250));
         }},
        // The bound is that of the earlier, higher limit.
        {"ALowerLimit", 6, 8.0,
         [](LimitedFleet &fleet) {
             fleet.limit = 2.0;
         }},
};

INSTANTIATE_TEST_SUITE_P(Fleets, FleetLimitDuring, testing::ValuesIn(FleetEvents),
                         [](const auto &row) { return row.param.name; });

// Guards against keeping to the higher limit after the endpoint has lowered it.
TEST(FleetLimit, LowerLimitHoldsAfterwards)
{
    LimitedFleet fleet(40);
    for (int host = 0; host < 40; ++host) {
        fleet.call(host, 5.0);
    }
    fleet.limit = 20.0;
    fleet.run(std::chrono::seconds(8));
    fleet.limit = 2.0;
    const Instant named = fleet.now();
    fleet.run(std::chrono::seconds(15));
    EXPECT_LE(static_cast<double>(fleet.mostInWindow(named + Settling)), allowedInWindow(2.0));
}

// Guards against a host that reads late and tells the others an earlier limit as the newest.
TEST(FleetLimit, LowerLimitHoldsBeforeHostsThatReadLate)
{
    LimitedFleet fleet(61);
    for (int host = 0; host < 61; ++host) {
        fleet.call(host, 2.0);
    }
    fleet.limit = 20.0;
    fleet.run(std::chrono::seconds(8));
    fleet.slowDown(20, std::chrono::milliseconds(1500));
    fleet.run(std::chrono::seconds(4));
    fleet.limit = 2.0;
    const Instant named = fleet.now();
    fleet.run(std::chrono::seconds(15));
    EXPECT_LE(static_cast<double>(fleet.mostInWindow(named + Settling)), allowedInWindow(2.0));
}

struct EndCase
{
    const char *name;
    double limit;
    std::optional<double> then;
    double least; ///< requests per second that it gets afterwards, at least
};

class FleetLimitEnd : public testing::TestWithParam<EndCase>
{};

// Guards against an endpoint that is hardly used, so that nobody learns that its limit is over.
TEST_P(FleetLimitEnd, IsNoticedByAllHosts)
{
    const EndCase &row = GetParam();
    LimitedFleet fleet(40);
    for (int host = 0; host < 40; ++host) {
        fleet.call(host, 5.0);
    }
    fleet.limit = row.limit;
    fleet.run(std::chrono::seconds(20));
    fleet.limit = row.then;
    fleet.run(std::chrono::seconds(20));
    const Instant from = fleet.now();
    fleet.run(std::chrono::seconds(10));
    EXPECT_GE(static_cast<double>(fleet.arrivalsSince(from)) / 10.0, row.least);
}

INSTANTIATE_TEST_SUITE_P(Rows, FleetLimitEnd,
                         testing::Values(EndCase{"Ended", 2.0, std::nullopt, 180.0},
                                         EndCase{"EndedAfterNone", 0.0, std::nullopt, 180.0},
                                         EndCase{"Raised", 2.0, 40.0, 35.0}),
                         [](const auto &row) { return row.param.name; });

// Guards against leaving most of a limit unused: callers that other endpoints can't serve lose it.
TEST(FleetLimit, IsUsedWhereDemandIsEven)
{
    LimitedFleet fleet(6);
    for (int host = 0; host < 6; ++host) {
        fleet.call(host, 20.0);
    }
    fleet.limit = 10.0;
    fleet.run(std::chrono::seconds(5));
    const Instant from = fleet.now();
    fleet.run(std::chrono::seconds(20));
    EXPECT_GE(static_cast<double>(fleet.arrivalsSince(from)) / 20.0, 9.0);
}

struct BrittleCase
{
    const char *name;
    int hosts;
    uint32_t slots;
    uint32_t queue;    ///< further requests that an endpoint lets wait
    uint32_t limit;    ///< rejections per second
    double overload;   ///< demand over capacity
    double leastShare; ///< of the smaller of demand and capacity that is served
};

/// A fleet before a few endpoints that fail if they must reject too many requests in a second.
class BrittleFleet
{
public:
    explicit BrittleFleet(const BrittleCase &row)
        : row_(row), names_(hostNames(row.hosts)), open_(Endpoints), rejections_(Endpoints)
    {
        for (const HostId &name : names_) {
            nodes_.emplace_back(name);
            nodes_.back().setHosts(names_);
            for (std::size_t e = 0; e < Endpoints; ++e) {
                nodes_.back().setEndpoint(id(e), FirstProcess, row.slots);
            }
        }
    }

    void run(std::chrono::seconds length)
    {
        constexpr std::chrono::milliseconds Step(1);
        std::poisson_distribution<int> arrivals(row_.overload * capacityPerSecond() / 1000.0);
        for (const Instant end = now_ + length; now_ < end; now_ += Step) {
            while (!pending_.empty() && pending_.top().at <= now_) {
                const Pending due = pending_.top();
                pending_.pop();
                due.act();
            }
            for (int i = arrivals(random_); i > 0; --i) {
                place(random_() % nodes_.size());
            }
        }
    }

    uint64_t demanded() const { return demanded_; }
    uint64_t served() const { return served_; }
    std::size_t failures() const { return failures_; }
    double capacityPerSecond() const
    {
        return Endpoints * row_.slots / std::chrono::duration<double>(Work).count();
    }

private:
    static constexpr std::size_t Endpoints = 3;
    static constexpr std::chrono::milliseconds Work{60};
    static constexpr std::chrono::milliseconds Hop{2};

    struct Pending
    {
        Instant at;
        uint64_t order;
        std::function<void()> act;
        bool operator<(const Pending &other) const
        {
            return std::pair(at, order) > std::pair(other.at, other.order);
        }
    };

    static EndpointId id(std::size_t endpoint) { return EndpointId(fmt::format("e{}", endpoint)); }

    void after(Interval delay, std::function<void()> act)
    {
        pending_.push({now_ + delay, ++order_, std::move(act)});
    }

    void place(std::size_t host)
    {
        ++demanded_;
        tryPlace(host, now_ + std::chrono::milliseconds(200));
    }

    /// Sends a request, or waits for capacity.
    void tryPlace(std::size_t host, Instant giveUpAt)
    {
        const std::size_t first = random_() % Endpoints;
        for (std::size_t i = 0; i < Endpoints; ++i) {
            const std::size_t endpoint = (first + i) % Endpoints;
            if (nodes_[host].isAvailable(id(endpoint), now_)) {
                nodes_[host].onSent(id(endpoint), now_);
                after(Hop,
                      [this, host, endpoint, sentAt = now_] { arrive(host, endpoint, sentAt); });
                return;
            }
        }
        requestSlot(host, first, giveUpAt);
        constexpr std::chrono::milliseconds Poll(10);
        if (now_ + Poll < giveUpAt) {
            after(Poll, [this, host, giveUpAt] { tryPlace(host, giveUpAt); });
        }
    }

    void requestSlot(std::size_t host, std::size_t endpoint, Instant giveUpAt)
    {
        const auto request = nodes_[host].requestSlot(id(endpoint), giveUpAt - now_, now_);
        if (!request) {
            return;
        }
        after(Hop, [this, host, request] {
            const auto holder = std::find(names_.begin(), names_.end(), request->holder);
            const SlotResponse response =
                    nodes_[static_cast<std::size_t>(holder - names_.begin())].lendSlot(*request,
                                                                                       now_);
            after(Hop, [this, host, response] { nodes_[host].onSlotResponse(response, now_); });
        });
    }

    void arrive(std::size_t host, std::size_t endpoint, Instant sentAt)
    {
        const bool rejected = open_[endpoint] >= row_.slots + row_.queue;
        if (rejected) {
            reject(endpoint);
        } else {
            ++open_[endpoint];
        }
        const Interval busy = rejected ? Interval() : Interval(Work);
        after(busy, [this, host, endpoint, sentAt, rejected] {
            open_[endpoint] -= rejected ? 0 : 1;
            served_ += rejected ? 0 : 1;
            after(Hop, [this, host, endpoint, sentAt, rejected] {
                respond(host, endpoint, sentAt, rejected);
            });
        });
    }

    void reject(std::size_t endpoint)
    {
        std::deque<Instant> &rejections = rejections_[endpoint];
        rejections.push_back(now_);
        while (rejections.front() + std::chrono::seconds(1) < now_) {
            rejections.pop_front();
        }
        const bool mayFail = now_ > start_ + Settling;
        if (mayFail && rejections.size() > row_.limit) {
            ++failures_;
            rejections.clear();
        }
    }

    void respond(std::size_t host, std::size_t endpoint, Instant sentAt, bool rejected)
    {
        nodes_[host].onEnd(id(endpoint), now_);
        if (!nodes_[host].onNotice(id(endpoint), rejectionLimit(row_.limit, rejected), sentAt,
                                   now_)) {
            return;
        }
        const EndpointLimitRecord record = *nodes_[host].recordOf(id(endpoint));
        after(Hop, [this, host, record, rejected] {
            for (std::size_t i = 0; i < nodes_.size(); ++i) {
                if (i == host) {
                    continue;
                }
                nodes_[i].onRecord(record, now_);
                if (rejected) {
                    nodes_[i].onPeerRejection(record.endpoint, record.startedAtMillis, now_);
                }
            }
        });
    }

    const BrittleCase &row_;
    std::vector<HostId> names_;
    std::vector<EndpointLimits> nodes_;
    std::vector<uint32_t> open_;
    std::vector<std::deque<Instant>> rejections_;
    std::priority_queue<Pending> pending_;
    uint64_t order_ = 0;
    std::mt19937_64 random_{11};
    Instant start_{std::chrono::hours(1)};
    Instant now_ = start_;
    uint64_t demanded_ = 0;
    uint64_t served_ = 0;
    std::size_t failures_ = 0;
};

class BrittleEndpoints : public testing::TestWithParam<BrittleCase>
{};

// Guards against hosts that go on sending to endpoints which fail from the rejections.
TEST_P(BrittleEndpoints, DoNotFail)
{
    const BrittleCase &row = GetParam();
    constexpr std::chrono::seconds Length(20);
    BrittleFleet fleet(row);
    fleet.run(Length);
    EXPECT_EQ(fleet.failures(), 0U);
    const double possible =
            std::min(static_cast<double>(fleet.demanded()),
                     fleet.capacityPerSecond() * static_cast<double>(Length.count()));
    EXPECT_GE(static_cast<double>(fleet.served()), row.leastShare * possible);
}

const BrittleCase BrittleCases[] = {
        // Callers lose next to nothing where there is room.
        {"SixHostsWithRoom", 6, 6, 2, 4, 0.3, 0.95},
        {"SixHostsAtCapacity", 6, 6, 2, 4, 1.0, 0.5},
        {"SixHostsOverloaded", 6, 6, 0, 4, 3.0, 0.5},
        {"SixHostsManySlots", 6, 64, 4, 6, 2.0, 0.5},
        {"ManyHostsWithRoom", 195, 6, 2, 4, 0.3, 0.95},
        {"ManyHostsOverloaded", 195, 6, 1, 4, 3.0, 0.5},
        {"FewRejections", 6, 6, 1, 2, 1.5, 0.5},
};

INSTANTIATE_TEST_SUITE_P(Fleets, BrittleEndpoints, testing::ValuesIn(BrittleCases),
                         [](const auto &row) { return row.param.name; });

struct UnevenCase
{
    const char *name;
    int hosts;
    int hostsWithCallers;
    Interval maxSlotDelay;
};

class UnevenDemand : public testing::TestWithParam<UnevenCase>
{};

// Guards against holders without callers that leave their shares unused while others lack them.
TEST_P(UnevenDemand, UsesTheSharesOfHoldersWithoutCallers)
{
    const UnevenCase &row = GetParam();
    constexpr double Limit = 10.0;
    LimitedFleet fleet(row.hosts);
    fleet.lossShare = 0.0;
    fleet.maxSlotDelay = row.maxSlotDelay;
    for (int host = 0; host < row.hostsWithCallers; ++host) {
        fleet.call(host, 200.0 / row.hostsWithCallers);
    }
    fleet.limit = Limit;
    const Instant named = fleet.now();
    fleet.run(std::chrono::seconds(5));
    const Instant from = fleet.now();
    fleet.run(std::chrono::seconds(20));
    EXPECT_GE(static_cast<double>(fleet.arrivalsSince(from)) / 20.0, 0.9 * Limit);
    EXPECT_LE(static_cast<double>(fleet.mostInWindow(named + Settling)), allowedInWindow(Limit));
}

INSTANTIATE_TEST_SUITE_P(Fleets, UnevenDemand,
                         testing::Values(UnevenCase{"OneOfSix", 6, 1, Interval::zero()},
                                         UnevenCase{"OneOfMany", 195, 1, Interval::zero()},
                                         UnevenCase{"TenOfManyThatWait", 195, 10,
                                                    std::chrono::milliseconds(200)}),
                         [](const auto &row) { return row.param.name; });

class EndpointLimitsOfOne : public testing::Test
{
protected:
    EndpointLimitsOfOne()
    {
        limits_.setHosts({HostId("h")});
        limits_.setEndpoint(Endpoint, FirstProcess, 8);
    }

    Instant now_{std::chrono::hours(1)};
    EndpointLimits limits_{HostId("h")};
};

// Guards against taking a response that left before the limit was named for the limit's end.
TEST_F(EndpointLimitsOfOne, ResponseToAnEarlierRequestDoesNotEndALimit)
{
    const Instant earlier = now_ - std::chrono::seconds(1);
    EXPECT_TRUE(limits_.onNotice(Endpoint, requestLimit(2.0), earlier, now_));
    EXPECT_FALSE(limits_.onNotice(Endpoint, {}, earlier, now_ + Millis(1)));
    EXPECT_EQ(limits_.limitedCount(), 1U);
    EXPECT_TRUE(limits_.onNotice(Endpoint, {}, now_ + Millis(5), now_ + Millis(9)));
    EXPECT_TRUE(limits_.isEmpty());
}

// Guards against applying a limit to the next process that listens as the endpoint.
TEST_F(EndpointLimitsOfOne, LimitEndsWithTheEndpointsProcess)
{
    limits_.onNotice(Endpoint, requestLimit(2.0), now_, now_);
    EndpointLimitRecord record = *limits_.recordOf(Endpoint);
    limits_.setEndpoint(Endpoint, FirstProcess + 1, 8);
    EXPECT_TRUE(limits_.isEmpty());
    record.observedAt = now_ + Millis(50);
    EXPECT_FALSE(limits_.onRecord(record, now_ + Millis(60)));
    EXPECT_TRUE(limits_.isEmpty());
}

// Guards against forgetting the limit of an endpoint that lives on while its entry is missing, and
// against keeping it for good.
TEST_F(EndpointLimitsOfOne, LimitOutlivesTheEndpointsEntryForATime)
{
    limits_.onNotice(Endpoint, requestLimit(2.0), now_, now_);
    limits_.onSent(Endpoint, now_);
    limits_.removeEndpoint(Endpoint, now_);
    const Instant returned = now_ + Millis(100);
    limits_.setEndpoint(Endpoint, FirstProcess, 8);
    EXPECT_FALSE(limits_.isAvailable(Endpoint, returned));
    limits_.dropExpired(returned + EndpointLimits::DelistedLifetime);
    EXPECT_EQ(limits_.limitedCount(), 1U);
    limits_.removeEndpoint(Endpoint, returned);
    limits_.dropExpired(returned + EndpointLimits::DelistedLifetime - Millis(1));
    EXPECT_EQ(limits_.limitedCount(), 1U);
    limits_.dropExpired(returned + EndpointLimits::DelistedLifetime);
    EXPECT_TRUE(limits_.isEmpty());
    EXPECT_TRUE(limits_.isAvailable(Endpoint, returned));
}

TEST_F(EndpointLimitsOfOne, OlderRecordIsIgnored)
{
    limits_.onNotice(Endpoint, requestLimit(2.0), now_, now_);
    EndpointLimitRecord record = *limits_.recordOf(Endpoint);
    record.maxRequestsPerSecond = 50.0;
    record.observedAt = now_ - Millis(1);
    EXPECT_FALSE(limits_.onRecord(record, now_));
    EXPECT_EQ(limits_.sharePerSecond(Endpoint), 2.0);
}

// Guards against a process that doesn't know the other hosts yet and takes the whole limit.
TEST_F(EndpointLimitsOfOne, HasNoShareBeforeTheHostsAreKnown)
{
    EndpointLimits limits{HostId("h")};
    limits.setEndpoint(Endpoint, FirstProcess, 8);
    limits.onNotice(Endpoint, requestLimit(50.0), now_, now_);
    EXPECT_FALSE(limits.isAvailable(Endpoint, now_));
    limits.setHosts({HostId("h"), HostId("i")});
    EXPECT_TRUE(limits.isAvailable(Endpoint, now_));
    EXPECT_EQ(limits.sharePerSecond(Endpoint), 25.0);
}

// Guards against a pause of seconds where an endpoint that named a rejection limit alone names a
// request limit later.
TEST_F(EndpointLimitsOfOne, RequestLimitAfterARejectionLimitIsUsedAtOnce)
{
    limits_.onNotice(Endpoint, rejectionLimit(4, false), now_, now_);
    limits_.onSent(Endpoint, now_);
    limits_.onEnd(Endpoint, now_ + Millis(50));
    now_ += std::chrono::seconds(1);
    EndpointNotice both = rejectionLimit(4, false);
    both.maxRequestsPerSecond = 2.0;
    limits_.onNotice(Endpoint, both, now_, now_);
    EXPECT_TRUE(limits_.isAvailable(Endpoint, now_));
}

// Guards against asking a holder that has ended again and again.
struct KnownLimitCase
{
    const char *name;
    std::optional<double> named; ///< by a response
    double known;
    Interval spacing; ///< between two requests of a fleet of one host
};

class KnownLimits : public testing::TestWithParam<KnownLimitCase>
{};

// Guards against a burst of requests for an endpoint whose limit is known in advance, and against
// a limit that holds on after its time.
TEST_P(KnownLimits, HoldUntilTheirTime)
{
    const KnownLimitCase &row = GetParam();
    Instant now{std::chrono::hours(1)};
    EndpointLimits limits(HostId("h"));
    limits.setHosts({HostId("h")});
    limits.setEndpoint(Endpoint, FirstProcess, 8);
    if (row.named) {
        limits.onNotice(Endpoint, requestLimit(*row.named), now, now);
    }
    limits.setKnownLimit(Endpoint, {row.known, now + std::chrono::seconds(3)}, now);
    EXPECT_TRUE(limits.hasKnownLimit(Endpoint));
    EXPECT_EQ(limits.limitedCount(), 1U);
    EXPECT_EQ(limits.records(now).size(), row.named ? 1U : 0U) << "other hosts know it themselves";
    EXPECT_TRUE(limits.isAvailable(Endpoint, now));
    limits.onSent(Endpoint, now);
    EXPECT_EQ(limits.availableAt(Endpoint, now), now + row.spacing);
    now += std::chrono::seconds(3);
    limits.dropExpired(now);
    EXPECT_FALSE(limits.hasKnownLimit(Endpoint));
    EXPECT_EQ(limits.limitedCount(), row.named ? 1U : 0U);
}

INSTANTIATE_TEST_SUITE_P(
        Rows, KnownLimits,
        testing::Values(KnownLimitCase{"Alone", std::nullopt, 2.0, Millis(500)},
                        KnownLimitCase{"LowerThanTheNamedOne", 10.0, 2.0, Millis(500)},
                        KnownLimitCase{"HigherThanTheNamedOne", 2.0, 10.0, Millis(500)}),
        [](const auto &row) { return row.param.name; });

TEST_F(EndpointLimitsOfOne, KnownLimitMayEndEarlierOrLater)
{
    EndpointLimits limits(HostId("h"));
    limits.setEndpoint(Endpoint, FirstProcess, 8);
    limits.setKnownLimit(Endpoint, {2.0, now_ + Millis(500)}, now_);
    limits.setKnownLimit(Endpoint, {2.0, now_ + Millis(900)}, now_);
    limits.dropExpired(now_ + Millis(600));
    EXPECT_TRUE(limits.hasKnownLimit(Endpoint));
    limits.setKnownLimit(Endpoint, {2.0, now_}, now_);
    EXPECT_FALSE(limits.hasKnownLimit(Endpoint));
    EXPECT_TRUE(limits.isEmpty());
    limits.setKnownLimit(EndpointId("other"), {2.0, now_ + Millis(500)}, now_);
    EXPECT_TRUE(limits.isEmpty());
}

TEST_F(EndpointLimitsOfOne, UnresponsiveHolderIsNotAskedForAWhile)
{
    limits_.setHosts({HostId("h"), HostId("i"), HostId("j")});
    limits_.onNotice(Endpoint, requestLimit(2.0), now_, now_);
    const auto first = limits_.requestSlot(Endpoint, Interval::zero(), now_);
    ASSERT_TRUE(first);
    EXPECT_FALSE(limits_.requestSlot(Endpoint, Interval::zero(), now_));
    now_ += EndpointLimits::SlotResponseTimeout;
    const auto second = limits_.requestSlot(Endpoint, Interval::zero(), now_);
    ASSERT_TRUE(second);
    EXPECT_NE(first->holder, second->holder);
    now_ += EndpointLimits::SlotResponseTimeout;
    EXPECT_FALSE(limits_.requestSlot(Endpoint, Interval::zero(), now_));
}

TEST_F(EndpointLimitsOfOne, SlotsAreUsedOnceAndExpire)
{
    limits_.onNotice(Endpoint, requestLimit(2.0), now_, now_);
    EXPECT_TRUE(limits_.bookOwnSlot(Endpoint, Interval::zero(), now_));
    EXPECT_FALSE(limits_.bookOwnSlot(Endpoint, Millis(100), now_));
    EXPECT_TRUE(limits_.bookOwnSlot(Endpoint, Millis(500), now_));
    EXPECT_EQ(limits_.pendingSlots(Endpoint, now_), 2U);
    EXPECT_TRUE(limits_.isAvailable(Endpoint, now_));
    limits_.onSent(Endpoint, now_);
    EXPECT_FALSE(limits_.isAvailable(Endpoint, now_));
    EXPECT_TRUE(limits_.isAvailable(Endpoint, now_ + Millis(500)));
    EXPECT_EQ(limits_.pendingSlots(Endpoint, now_ + Millis(500) + EndpointLimits::SlotLifetime),
              0U);
}

TEST_F(EndpointLimitsOfOne, DescribesLimitAgeAndShare)
{
    limits_.onNotice(Endpoint, requestLimit(2.5), now_, now_);
    EXPECT_EQ(limits_.describe(Endpoint, now_ + Millis(40)),
              "e: 2.5 requests/s, share 2.5, observed 40 ms ago");
}

} // namespace
