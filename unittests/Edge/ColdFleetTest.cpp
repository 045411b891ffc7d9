/// A fleet of hosts before endpoints that turn cold, in virtual time: what each endpoint gets in
/// any second, and how many callers are served.

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "sequoiagate/Edge/EndpointDirectory.h"

using namespace sequoiagate;

namespace {

const ServiceId Service("model");
constexpr double ColdPerSecond = 8.0;
constexpr Interval ColdTime = std::chrono::seconds(3);
/// Requests that a cold endpoint may get in any second.
constexpr std::size_t Allowed = 17;
constexpr int Domains = 4;

struct ColdFleetCase
{
    const char *name;
    int hosts;
    int endpoints;
    double perSecond; ///< requests of all callers
    double hotShare;  ///< of them that share one prompt
    void (*disturb)(class ColdFleetModel &fleet);
    double servedShare; ///< of the requests of the first ColdTime, at least
};

/// Hosts and endpoints are spread evenly over failure domains; a message takes 1.4 ms.
class ColdFleetModel
{
public:
    ColdFleetModel(const ColdFleetCase &row, uint64_t seed)
        : row_(row), file_(std::tmpfile()),
          log_({"test", HostId("h"), DomainId("d"), Incarnation("i")}, file_), random_(seed)
    {
        for (int i = 0; i < row.hosts; ++i) {
            names_.emplace_back(fmt::format("host-{}", i));
        }
        hosts_.resize(names_.size());
        endpoints_.resize(static_cast<std::size_t>(row.endpoints));
        for (std::size_t i = 0; i < hosts_.size(); ++i) {
            startHost(i, names_);
        }
        everyTick();
        nextRequest();
    }
    ~ColdFleetModel() { std::fclose(file_); }

    Instant now() const { return now_; }
    std::size_t hostCount() const { return hosts_.size(); }
    const std::vector<HostId> &names() const { return names_; }
    std::size_t endpointCount() const { return endpoints_.size(); }
    static bool isInDomain(std::size_t endpoint, int domain)
    {
        return static_cast<int>(endpoint) % Domains == domain;
    }
    Interval randomUpTo(Interval most)
    {
        return Interval(static_cast<int64_t>(random_() % static_cast<uint64_t>(most.count())));
    }

    void at(Instant when, std::function<void()> act)
    {
        events_.push({when, ++order_, std::move(act)});
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

    /// Starts a host anew, which reads all entries.
    void startHost(std::size_t number, const std::vector<HostId> &known)
    {
        Host &host = hosts_[number];
        ++host.process;
        host.connected.clear();
        host.directory = std::make_unique<EndpointDirectory>(
                names_[number], domainOf(number), DistributedRetryBudgetSettings(), log_);
        host.directory->onSlotNeeded = [this, number](const SlotRequest &request) {
            requestSlot(number, request);
        };
        host.directory->setStoreReachable(true, now_);
        host.directory->setHosts(known);
        ServiceSpec service;
        service.name = Service;
        service.coldDuration = ColdTime;
        service.coldRequestsPerSecond = ColdPerSecond;
        host.directory->setServices({service}, now_);
        for (std::size_t i = 0; i < endpoints_.size(); ++i) {
            host.directory->update(entryOf(i), now_);
        }
        host.directory->publish(now_);
    }

    /// Lets all hosts read the entry of \p endpoint, each within \p spread.
    void write(std::size_t endpoint, Interval spread)
    {
        const EndpointEntry entry = entryOf(endpoint);
        for (Host &host : hosts_) {
            at(now_ + randomUpTo(spread), [this, &host, entry] {
                host.directory->update(entry, now_);
                host.directory->publish(now_);
            });
        }
    }

    /// Lets all hosts do \p act, each within \p spread.
    void atAllHosts(Interval spread, const std::function<void(EndpointDirectory &)> &act)
    {
        for (Host &host : hosts_) {
            at(now_ + randomUpTo(spread), [&host, act] { act(*host.directory); });
        }
    }

    void setDown(std::size_t endpoint, bool down) { endpoints_[endpoint].isDown = down; }
    /// Lets \p endpoint be a new process under its id.
    void restart(std::size_t endpoint) { ++endpoints_[endpoint].startedAt; }
    /// Lets \p endpoint be cold from now on, for ColdTime. The checks cover that time.
    void turnCold(std::size_t endpoint)
    {
        endpoints_[endpoint].coldFrom = now_;
        endpoints_[endpoint].checkedFrom = now_;
    }
    /// Lets the checks of \p endpoint begin now.
    void checkFromNow(std::size_t endpoint) { endpoints_[endpoint].checkedFrom = now_; }
    /// No messages pass between the first half of the hosts and the others.
    void separate() { isSeparated_ = true; }

    /// The most requests that a cold endpoint got in any second.
    std::size_t mostInASecond() const
    {
        std::size_t most = 0;
        for (const Endpoint &endpoint : endpoints_) {
            const auto begin = std::lower_bound(endpoint.arrivals.begin(), endpoint.arrivals.end(),
                                                endpoint.checkedFrom);
            const auto end = std::lower_bound(
                    begin, endpoint.arrivals.end(),
                    endpoint.coldFrom == Never ? Never : endpoint.coldFrom + ColdTime);
            auto first = begin;
            for (auto last = begin; last != end; ++last) {
                while (*last - *first > std::chrono::seconds(1)) {
                    ++first;
                }
                most = std::max(most, static_cast<std::size_t>(last - first) + 1);
            }
        }
        return most;
    }
    std::size_t arrivalsWhileCold() const
    {
        std::size_t count = 0;
        for (const Endpoint &endpoint : endpoints_) {
            if (endpoint.coldFrom != Never) {
                count += static_cast<std::size_t>(
                        std::count_if(endpoint.arrivals.begin(), endpoint.arrivals.end(),
                                      [&endpoint](Instant arrival) {
                                          return arrival >= endpoint.coldFrom
                                                 && arrival < endpoint.coldFrom + ColdTime;
                                      }));
            }
        }
        return count;
    }

    void countFromNow() { sent = served = 0; }
    int sent = 0;
    int served = 0;

private:
    struct Host
    {
        std::unique_ptr<EndpointDirectory> directory;
        int process = 0;
        std::map<std::size_t, uint64_t> connected; ///< endpoints, and their processes then
    };

    struct Endpoint
    {
        bool isDown = false;
        uint64_t startedAt = 1;
        Instant coldFrom = Never;
        Instant checkedFrom = Never;
        std::vector<Instant> arrivals;
    };

    struct Request
    {
        std::size_t host;
        WorkItem item;
        std::vector<PromptPart> prompt;
        std::vector<EndpointId> tried;
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

    static constexpr Interval MessageDelay = std::chrono::microseconds(1400);
    static constexpr Interval Work = std::chrono::milliseconds(200);

    static DomainId domainOf(std::size_t number)
    {
        return DomainId(fmt::format("d{}", number % Domains));
    }
    static EndpointId idOf(std::size_t endpoint)
    {
        return EndpointId(fmt::format("endpoint-{}", endpoint));
    }
    static std::size_t numberOf(const EndpointId &id)
    {
        return std::stoul(id.text().substr(id.text().rfind('-') + 1));
    }

    EndpointEntry entryOf(std::size_t number) const
    {
        const Endpoint &endpoint = endpoints_[number];
        EndpointEntry entry;
        entry.id = idOf(number);
        entry.service = Service;
        entry.domain = domainOf(number);
        entry.address = "127.0.0.1:9";
        entry.slots = 64;
        entry.startedAtMillis = endpoint.startedAt;
        const bool isCold = endpoint.coldFrom != Never && now_ < endpoint.coldFrom + ColdTime;
        entry.coldLeft = isCold ? endpoint.coldFrom + ColdTime - now_ : Interval::zero();
        return entry;
    }

    void everyTick()
    {
        for (Host &host : hosts_) {
            host.directory->tick(now_);
        }
        at(now_ + std::chrono::milliseconds(100), [this] { everyTick(); });
    }

    void nextRequest()
    {
        std::exponential_distribution<double> gap(row_.perSecond);
        at(now_ + std::chrono::duration_cast<Interval>(std::chrono::duration<double>(gap(random_))),
           [this] {
               begin();
               nextRequest();
           });
    }

    void begin()
    {
        constexpr uint64_t HotPart = 1;
        constexpr uint64_t Parts = 40;
        std::bernoulli_distribution isHot(row_.hotShare);
        const uint64_t first = isHot(random_) ? HotPart : HotPart + 1 + random_() % Parts;
        Request request{random_() % hosts_.size(), {}, {{first, 2500}, {random_(), 100}}, {}};
        request.item.request = RequestId(fmt::format("r{}", ++sent));
        request.item.service = Service;
        request.item.promptTokens = 2600;
        request.item.arrivedAt = now_;
        request.item.deadline = now_ + std::chrono::seconds(5);
        place(request);
    }

    void place(const Request &request)
    {
        EndpointDirectory &directory = *hosts_[request.host].directory;
        const PlacementResult placed =
                directory.place(request.item, request.prompt, request.tried, now_);
        if (const auto *delay = std::get_if<PlacementDelay>(&placed)) {
            at(delay->until, [this, request] { place(request); });
        } else if (const auto *target = std::get_if<PlacementTarget>(&placed)) {
            send(request, target->endpoint);
        }
    }

    void send(Request request, const EndpointId &id)
    {
        Host &host = hosts_[request.host];
        const std::size_t number = numberOf(id);
        Endpoint &endpoint = endpoints_[number];
        host.directory->onSent(id, request.item, now_);
        if (endpoint.isDown) {
            host.connected.erase(number);
            at(now_ + MessageDelay, [this, request, id]() mutable {
                EndpointDirectory &directory = *hosts_[request.host].directory;
                directory.onConnectFailed(id, now_);
                directory.onAttemptEnd({id, request.item.request}, now_);
                request.tried.push_back(id);
                constexpr std::size_t MaxAttempts = 3;
                if (request.tried.size() < MaxAttempts) {
                    place(request);
                }
            });
            return;
        }
        if (host.connected[number] != endpoint.startedAt) {
            host.connected[number] = endpoint.startedAt;
            host.directory->onConnected(id, now_);
        }
        at(now_ + MessageDelay, [this, number] { endpoints_[number].arrivals.push_back(now_); });
        ++served;
        at(now_ + Work, [this, request, id, process = host.process] {
            Host &sender = hosts_[request.host];
            if (sender.process == process) {
                sender.directory->onAttemptEnd({id, request.item.request, true, Work}, now_);
            }
        });
    }

    void requestSlot(std::size_t from, const SlotRequest &request)
    {
        const auto holder = std::find(names_.begin(), names_.end(), request.holder);
        if (holder == names_.end()) {
            return;
        }
        const auto to = static_cast<std::size_t>(holder - names_.begin());
        const std::size_t half = hosts_.size() / 2;
        if (isSeparated_ && (from < half) != (to < half)) {
            return;
        }
        at(now_ + MessageDelay, [this, from, to, request] {
            const SlotResponse response = hosts_[to].directory->lendSlot(request, now_);
            at(now_ + MessageDelay,
               [this, from, response] { hosts_[from].directory->onSlotResponse(response, now_); });
        });
    }

    ColdFleetCase row_;
    std::FILE *file_;
    EventLog log_;
    std::vector<HostId> names_;
    std::vector<Host> hosts_;
    std::vector<Endpoint> endpoints_;
    bool isSeparated_ = false;
    std::priority_queue<Event> events_;
    uint64_t order_ = 0;
    std::mt19937_64 random_;
    Instant now_{std::chrono::hours(1)};
};

/// How long the last host takes to read a row.
constexpr Interval ReadSpread = std::chrono::milliseconds(600);

void nothingHappens(ColdFleetModel &) {}

/// All endpoints are down for two seconds and start again under their ids.
void allStartAgain(ColdFleetModel &fleet)
{
    for (std::size_t i = 0; i < fleet.endpointCount(); ++i) {
        fleet.setDown(i, true);
    }
    fleet.run(std::chrono::seconds(2));
    for (std::size_t i = 0; i < fleet.endpointCount(); ++i) {
        fleet.setDown(i, false);
        fleet.restart(i);
        fleet.turnCold(i);
        fleet.write(i, ReadSpread);
    }
}

/// A domain is taken back after an evacuation, and no entry says yet that its endpoints are cold.
void domainIsTakenBack(ColdFleetModel &fleet)
{
    const DomainId domain("d1");
    fleet.atAllHosts(ReadSpread, [&fleet, domain](EndpointDirectory &directory) {
        directory.beginEvacuation(domain, 1, fleet.now());
    });
    fleet.run(std::chrono::seconds(4));
    for (std::size_t i = 0; i < fleet.endpointCount(); ++i) {
        if (ColdFleetModel::isInDomain(i, 1)) {
            fleet.turnCold(i);
        }
    }
    fleet.atAllHosts(ReadSpread, [&fleet, domain](EndpointDirectory &directory) {
        directory.endEvacuation(domain, fleet.now());
    });
}

/// The endpoints of a domain can't be reached for some seconds and return cold, and no entry tells.
void domainReturnsWhileTheStoreIsSilent(ColdFleetModel &fleet)
{
    const auto setDown = [&fleet](bool down) {
        for (std::size_t i = 0; i < fleet.endpointCount(); ++i) {
            if (ColdFleetModel::isInDomain(i, 1)) {
                fleet.setDown(i, down);
                if (!down) {
                    fleet.turnCold(i);
                }
            }
        }
    };
    setDown(true);
    fleet.run(std::chrono::milliseconds(4500));
    setDown(false);
}

/// The same, while half of the hosts don't hear the others.
void domainReturnsInACut(ColdFleetModel &fleet)
{
    fleet.separate();
    domainReturnsWhileTheStoreIsSilent(fleet);
}

/// All endpoints turn cold while they run, and hosts read that in their entries.
void allTurnCold(ColdFleetModel &fleet)
{
    for (std::size_t i = 0; i < fleet.endpointCount(); ++i) {
        fleet.turnCold(i);
        fleet.write(i, ReadSpread);
    }
    fleet.run(ReadSpread);
    for (std::size_t i = 0; i < fleet.endpointCount(); ++i) {
        fleet.checkFromNow(i);
    }
}

/// All endpoints start again, a tenth of the hosts as well, and the others learn late of that.
void hostsAndEndpointsStartAgain(ColdFleetModel &fleet)
{
    allStartAgain(fleet);
    const std::size_t count = fleet.hostCount() / 10 + 1;
    const std::vector<HostId> left(fleet.names().begin() + static_cast<std::ptrdiff_t>(count),
                                   fleet.names().end());
    fleet.atAllHosts(ReadSpread,
                     [left](EndpointDirectory &directory) { directory.setHosts(left); });
    for (std::size_t i = 0; i < count; ++i) {
        fleet.at(fleet.now() + std::chrono::milliseconds(700),
                 [&fleet, i] { fleet.startHost(i, fleet.names()); });
    }
    fleet.at(fleet.now() + std::chrono::seconds(1), [&fleet] {
        fleet.atAllHosts(ReadSpread, [&fleet](EndpointDirectory &directory) {
            directory.setHosts(fleet.names());
        });
    });
}

class ColdFleet : public testing::TestWithParam<std::tuple<ColdFleetCase, uint64_t>>
{};

// Guards against a fleet that crashes endpoints which have just started, since each host sends them
// what it likes, and against refusing callers whom they could serve.
TEST_P(ColdFleet, SendsEachEndpointWhatItBears)
{
    const auto &[row, seed] = GetParam();
    ColdFleetModel fleet(row, seed);
    fleet.run(std::chrono::seconds(5));
    row.disturb(fleet);
    fleet.countFromNow();
    fleet.run(ColdTime);
    const double share = static_cast<double>(fleet.served) / fleet.sent;
    RecordProperty("most", static_cast<int>(fleet.mostInASecond()));
    RecordProperty("served", fmt::format("{:.3f}", share));
    RecordProperty("arrivals", static_cast<int>(fleet.arrivalsWhileCold()));
    EXPECT_LE(fleet.mostInASecond(), Allowed);
    EXPECT_GE(share, row.servedShare);
}

const ColdFleetCase ColdFleetCases[] = {
        {"AllAreWarm", 63, 60, 260.0, 0.0, nothingHappens, 1.0},
        {"AllStartAgain", 63, 60, 260.0, 0.0, allStartAgain, 0.9},
        {"AllStartAgainInABurstWithAHotPrefix", 63, 60, 440.0, 0.28, allStartAgain, 0.9},
        {"AllTurnCold", 63, 60, 260.0, 0.28, allTurnCold, 0.9},
        {"DomainIsTakenBack", 63, 60, 440.0, 0.28, domainIsTakenBack, 1.0},
        {"DomainReturnsWhileTheStoreIsSilent", 63, 60, 260.0, 0.28,
         domainReturnsWhileTheStoreIsSilent, 1.0},
        {"DomainReturnsInACut", 63, 60, 260.0, 0.28, domainReturnsInACut, 1.0},
        {"HostsStartAgainToo", 63, 60, 260.0, 0.0, hostsAndEndpointsStartAgain, 0.9},
        {"FewHosts", 6, 12, 80.0, 0.28, allStartAgain, 0.9},
        {"ManyHosts", 195, 60, 260.0, 0.28, allStartAgain, 0.9},
};

INSTANTIATE_TEST_SUITE_P(Rows, ColdFleet,
                         testing::Combine(testing::ValuesIn(ColdFleetCases), testing::Values(11U)),
                         [](const auto &row) {
                             return fmt::format("{}Seed{}", std::get<0>(row.param).name,
                                                std::get<1>(row.param));
                         });

} // namespace
