/// Guards against requests being refused for lack of tokens while the store has plenty: in a large
/// fleet, claims that queue behind the batches of all hosts take longer than a request waits.

#include <algorithm>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <tuple>
#include <utility>
#include <vector>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "sequoiagate/Ledger/TokenHolder.h"
#include "sequoiagate/Ledger/TokenHomes.h"

using namespace sequoiagate;

namespace {

constexpr Interval Tick = std::chrono::milliseconds(25);
constexpr Interval RequestTimeout = std::chrono::milliseconds(200);
constexpr Interval OneWayDelay = std::chrono::milliseconds(1);
constexpr Interval StoreResponseTime = std::chrono::milliseconds(4);
constexpr Interval AppendTime = std::chrono::milliseconds(2); ///< per batch, one at a time
constexpr Interval RequestDuration = std::chrono::milliseconds(400);
constexpr std::size_t PeersPerRequest = 8;
constexpr std::size_t Workspaces = 12;
constexpr std::size_t BusiestWorkspaceHost = 3;
constexpr uint64_t MinTokens = 1'000; // of a request
constexpr uint64_t TokensSpread = 12'000;
constexpr uint64_t RequestsPerSecondPerHost = 2;

/// Simulates hosts that send datagrams to each other, and a store that appends one batch at a time.
class Fleet
{
public:
    Fleet(std::size_t hosts, std::size_t domains, bool busiestOnOneHost, ReservePolicy policy)
        : hostCount_(hosts), busiestOnOneHost_(busiestOnOneHost)
    {
        std::vector<HostLocation> locations;
        for (std::size_t i = 0; i < hosts; ++i) {
            locations.push_back({HostId(fmt::format("host-{}", i)),
                                 DomainId(fmt::format("domain-{}", i % domains))});
        }
        TokenHolderSettings settings;
        settings.policy = policy;
        TokenHomes homes;
        homes.setHosts(locations);
        // Covers several minutes of demand.
        const uint64_t prepaid = 300 * RequestsPerSecondPerHost * hosts * TokensSpread / Workspaces;
        std::vector<WorkspaceBudget> budgets;
        for (std::size_t w = 0; w < Workspaces; ++w) {
            budgets.push_back({workspace(w), prepaid});
            homes_.push_back(indexes(homes.homesOf(workspace(w)), locations));
        }
        for (std::size_t i = 0; i < hosts; ++i) {
            hosts_.push_back(
                    {std::make_unique<TokenHolder>(Incarnation(locations[i].host.text()), settings),
                     i % domains,
                     {},
                     0,
                     false});
            TokenHolder &holder = *hosts_[i].holder;
            holder.setBudgets(budgets, now_);
            holder.setHolderCount(static_cast<uint32_t>(hosts));
            holder.setStoreReachable(true);
            for (std::size_t w = 0; w < Workspaces; ++w) {
                const std::vector<std::size_t> &workspaceHomes = homes_[w];
                holder.setHomes(workspace(w), static_cast<uint32_t>(workspaceHomes.size()),
                                std::count(workspaceHomes.begin(), workspaceHomes.end(), i) > 0);
            }
            read(i);
            // Staggers the timers of the hosts.
            at(now_ + Tick * i / hosts, [this, i] { tick(i); });
            at(now_ + readInterval() * i / hosts, [this, i] { readPeriodically(i); });
        }
        addRequest();
    }

    void simulate(Interval span)
    {
        const Instant deadline = now_ + span;
        while (!events_.empty() && events_.top().at <= deadline) {
            const Event event = events_.top();
            events_.pop();
            now_ = event.at;
            event.run();
        }
        now_ = deadline;
    }

    uint64_t arrived() const { return arrived_; }
    uint64_t refused() const { return refused_; }
    std::size_t batches() const { return batches_; }

private:
    struct Event
    {
        Instant at;
        uint64_t order;
        std::function<void()> run;
        bool operator<(const Event &other) const
        {
            return std::pair(at, order) > std::pair(other.at, other.order);
        }
    };

    struct PendingRequest
    {
        std::size_t workspace;
        uint64_t tokens;
        Instant deadline;
    };

    struct Host
    {
        std::unique_ptr<TokenHolder> holder;
        std::size_t domain;
        std::deque<PendingRequest> pending;
        std::size_t read; ///< number of log rows read
        bool appending;
    };

    static WorkspaceId workspace(std::size_t index)
    {
        return WorkspaceId(fmt::format("workspace-{}", index));
    }

    static std::vector<std::size_t> indexes(const std::vector<HostLocation> &chosen,
                                            const std::vector<HostLocation> &locations)
    {
        std::vector<std::size_t> found;
        for (const HostLocation &home : chosen) {
            const auto location =
                    std::find_if(locations.begin(), locations.end(),
                                 [&](const auto &other) { return other.host == home.host; });
            found.push_back(static_cast<std::size_t>(location - locations.begin()));
        }
        return found;
    }

    Interval readInterval() const
    {
        return std::chrono::milliseconds(60) + std::chrono::milliseconds(6) * hostCount_;
    }

    void at(Instant when, std::function<void()> run)
    {
        events_.push({when, ++order_, std::move(run)});
    }

    void addRequest()
    {
        const Interval between = std::chrono::duration_cast<Interval>(std::chrono::seconds(1))
                                 / (RequestsPerSecondPerHost * hosts_.size());
        at(now_ + between, [this] { addRequest(); });
        // At least a third of the requests are for one workspace.
        const std::size_t w = random_() % 3 == 0 ? 0 : random_() % Workspaces;
        const std::size_t host =
                busiestOnOneHost_ && w == 0 ? BusiestWorkspaceHost : random_() % hosts_.size();
        const uint64_t tokens = MinTokens + random_() % TokensSpread;
        ++arrived_;
        if (!start(host, w, tokens)) {
            hosts_[host].pending.push_back({w, tokens, now_ + RequestTimeout});
            updateRequiredTokens(host, w);
            writeBatch(host);
            requestTokens(host);
        }
    }

    bool start(std::size_t host, std::size_t w, uint64_t tokens)
    {
        if (!hosts_[host].holder->reserve(workspace(w), tokens, now_)) {
            return false;
        }
        const uint64_t spent = tokens * (60 + random_() % 41) / 100;
        at(now_ + RequestDuration, [this, host, w, tokens, spent] {
            hosts_[host].holder->settle(workspace(w), tokens, spent, now_);
        });
        return true;
    }

    void serve(std::size_t host)
    {
        std::deque<PendingRequest> &pending = hosts_[host].pending;
        for (auto next = pending.begin(); next != pending.end();) {
            const bool started = start(host, next->workspace, next->tokens);
            const bool expired = !started && now_ >= next->deadline;
            refused_ += expired ? 1 : 0;
            if (!started && !expired) {
                ++next;
                continue;
            }
            const std::size_t w = next->workspace;
            next = pending.erase(next);
            updateRequiredTokens(host, w);
        }
    }

    void updateRequiredTokens(std::size_t host, std::size_t w)
    {
        uint64_t tokens = 0;
        for (const PendingRequest &pending : hosts_[host].pending) {
            tokens += pending.workspace == w ? pending.tokens : 0;
        }
        hosts_[host].holder->setRequiredTokens(workspace(w), tokens);
    }

    void tick(std::size_t host)
    {
        writeBatch(host);
        requestTokens(host);
        returnLeftovers(host);
        serve(host);
        at(now_ + Tick, [this, host] { tick(host); });
    }

    void writeBatch(std::size_t host)
    {
        if (hosts_[host].appending) {
            return;
        }
        const auto rows = hosts_[host].holder->nextBatch(now_);
        if (!rows) {
            return;
        }
        ++batches_;
        hosts_[host].appending = true;
        storeFreeAt_ = std::max(storeFreeAt_, now_) + AppendTime;
        at(storeFreeAt_,
           [this, rows = *rows] { log_.insert(log_.end(), rows.begin(), rows.end()); });
        at(storeFreeAt_ + StoreResponseTime,
           [this, host] { hosts_[host].holder->onBatchWritten(); });
        at(storeFreeAt_ + 2 * StoreResponseTime, [this, host] {
            read(host);
            hosts_[host].appending = false;
            serve(host);
        });
    }

    void read(std::size_t host)
    {
        Host &reader = hosts_[host];
        for (; reader.read < log_.size(); ++reader.read) {
            reader.holder->onRow(log_[reader.read], reader.read + 1, now_);
        }
        reader.holder->onReadUpTo(log_.size() + 1);
    }

    void readPeriodically(std::size_t host)
    {
        read(host);
        at(now_ + readInterval(), [this, host] { readPeriodically(host); });
    }

    std::size_t homeInOwnDomain(std::size_t host, std::size_t w) const
    {
        for (const std::size_t home : homes_[w]) {
            if (hosts_[home].domain == hosts_[host].domain) {
                return home;
            }
        }
        return homes_[w].front();
    }

    std::vector<std::size_t> recipients(std::size_t host, std::size_t w,
                                        const TokenRequest &request)
    {
        if (request.need > 0 && request.round == 0) {
            return {homeInOwnDomain(host, w)};
        }
        if (request.need > 0 && request.round == 1) {
            return homes_[w];
        }
        std::vector<std::size_t> chosen;
        for (std::size_t i = 0; i < PeersPerRequest; ++i) {
            chosen.push_back(nextPeer_++ % hosts_.size());
        }
        return chosen;
    }

    void requestTokens(std::size_t host)
    {
        for (const TokenRequest &request : hosts_[host].holder->peerRequests(now_)) {
            std::size_t w = 0;
            while (workspace(w) != request.workspace) {
                ++w;
            }
            for (const std::size_t to : recipients(host, w, request)) {
                if (to != host) {
                    at(now_ + OneWayDelay,
                       [this, host, to, request] { transfer(to, host, request); });
                }
            }
        }
    }

    void transfer(std::size_t from, std::size_t to, const TokenRequest &request)
    {
        const uint64_t tokens = hosts_[from].holder->transferOut(request, now_);
        if (tokens < request.need) {
            writeBatch(from);
        }
        deliver(to, request.workspace, tokens);
    }

    void deliver(std::size_t to, const WorkspaceId &workspace, uint64_t tokens)
    {
        if (tokens > 0) {
            at(now_ + OneWayDelay, [this, to, workspace, tokens] {
                hosts_[to].holder->transferIn(workspace, tokens, now_);
                serve(to);
            });
        }
    }

    void returnLeftovers(std::size_t host)
    {
        for (std::size_t w = 0; w < Workspaces; ++w) {
            deliver(homeInOwnDomain(host, w), workspace(w),
                    hosts_[host].holder->releaseLeftover(workspace(w), now_));
        }
    }

    std::minstd_rand random_{1};
    Instant now_{std::chrono::hours(1)};
    std::size_t hostCount_;
    bool busiestOnOneHost_; ///< sends all requests of the busiest workspace to one host
    std::vector<Host> hosts_;
    std::vector<std::vector<std::size_t>> homes_; ///< of each workspace
    std::vector<AllotmentRow> log_;
    std::priority_queue<Event> events_;
    uint64_t order_ = 0;
    Instant storeFreeAt_{};
    std::size_t nextPeer_ = 0;
    std::size_t batches_ = 0;
    uint64_t arrived_ = 0;
    uint64_t refused_ = 0;
};

struct FleetSize
{
    std::size_t hosts;
    std::size_t domains;
    bool busiestOnOneHost;
};

const FleetSize FleetSizes[] = {{8, 3, false}, {75, 4, false}, {195, 6, false}, {374, 6, false},
                                {8, 3, true},  {75, 4, true},  {195, 6, true},  {374, 6, true}};

class TokenHolderFleet : public testing::TestWithParam<std::tuple<FleetSize, ReservePolicy>>
{};

TEST_P(TokenHolderFleet, NoRequestIsRefusedWhileStoreHasTokens)
{
    constexpr Interval WarmUp = std::chrono::seconds(5);
    constexpr Interval MeasuredTime = std::chrono::seconds(5);
    const auto &[size, policy] = GetParam();
    Fleet fleet(size.hosts, size.domains, size.busiestOnOneHost, policy);
    fleet.simulate(WarmUp);
    const uint64_t refused = fleet.refused();
    const std::size_t batches = fleet.batches();
    fleet.simulate(MeasuredTime);
    RecordProperty("batches", static_cast<int>(fleet.batches() - batches));
    EXPECT_EQ(fleet.refused() - refused, 0U);
    // Half the capacity of the store.
    EXPECT_LE(fleet.batches() - batches, MeasuredTime / AppendTime / 2);
}

constexpr ReservePolicy Policies[] = {ReservePolicy::MeanDemand, ReservePolicy::PeakDemand};

INSTANTIATE_TEST_SUITE_P(FleetSizes, TokenHolderFleet,
                         testing::Combine(testing::ValuesIn(FleetSizes),
                                          testing::ValuesIn(Policies)),
                         [](const auto &row) {
                             const FleetSize &size = std::get<0>(row.param);
                             const bool peak = std::get<1>(row.param) == ReservePolicy::PeakDemand;
                             return fmt::format("{}Hosts{}{}", size.hosts,
                                                size.busiestOnOneHost ? "BusiestOnOneHost" : "",
                                                peak ? "PeakDemand" : "");
                         });

} // namespace
