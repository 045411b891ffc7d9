/// Guards against requests being refused for lack of tokens while the store has plenty: in a large
/// fleet, claims that queue behind the batches of all hosts take longer than a request waits.

#include <algorithm>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <utility>
#include <vector>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "sequoiagate/Ledger/TokenHolder.h"
#include "sequoiagate/Ledger/TokenHomes.h"

using namespace sequoiagate;

namespace {

constexpr Interval Tick = std::chrono::milliseconds(25);
constexpr Interval Patience = std::chrono::milliseconds(200);
constexpr Interval OneWayDelay = std::chrono::milliseconds(1);
constexpr Interval StoreAnswerTime = std::chrono::milliseconds(4);
constexpr Interval AppendTime = std::chrono::milliseconds(2); ///< per batch, one at a time
constexpr Interval RequestDuration = std::chrono::milliseconds(400);
constexpr std::size_t AskedAtOnce = 8;
constexpr std::size_t Workspaces = 12;
constexpr std::size_t BusiestWorkspaceHost = 3;
constexpr uint64_t LeastTokens = 1'000; // of a request
constexpr uint64_t TokensSpread = 12'000;
constexpr uint64_t RequestsPerSecondPerHost = 2;

/// Simulates hosts that send datagrams to each other, and a store that appends one batch at a time.
class Fleet
{
public:
    Fleet(std::size_t hosts, std::size_t domains, bool busiestOnOneHost)
        : hostCount_(hosts), busiestOnOneHost_(busiestOnOneHost)
    {
        std::vector<HostLocation> locations;
        for (std::size_t i = 0; i < hosts; ++i) {
            locations.push_back({HostId(fmt::format("host-{}", i)),
                                 DomainId(fmt::format("domain-{}", i % domains))});
        }
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
            hosts_.push_back({std::make_unique<TokenHolder>(Incarnation(locations[i].host.text())),
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

    void play(Interval span)
    {
        const Instant until = now_ + span;
        while (!events_.empty() && events_.top().at <= until) {
            const Event event = events_.top();
            events_.pop();
            now_ = event.at;
            event.run();
        }
        now_ = until;
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

    struct Waiting
    {
        std::size_t workspace;
        uint64_t tokens;
        Instant until;
    };

    struct Host
    {
        std::unique_ptr<TokenHolder> holder;
        std::size_t domain;
        std::deque<Waiting> waiting;
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
        const uint64_t tokens = LeastTokens + random_() % TokensSpread;
        ++arrived_;
        if (!start(host, w, tokens)) {
            hosts_[host].waiting.push_back({w, tokens, now_ + Patience});
            updateShortOf(host, w);
            write(host);
            ask(host);
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
        std::deque<Waiting> &waiting = hosts_[host].waiting;
        for (auto next = waiting.begin(); next != waiting.end();) {
            const bool started = start(host, next->workspace, next->tokens);
            const bool expired = !started && now_ >= next->until;
            refused_ += expired ? 1 : 0;
            if (!started && !expired) {
                ++next;
                continue;
            }
            const std::size_t w = next->workspace;
            next = waiting.erase(next);
            updateShortOf(host, w);
        }
    }

    void updateShortOf(std::size_t host, std::size_t w)
    {
        uint64_t tokens = 0;
        for (const Waiting &waiting : hosts_[host].waiting) {
            tokens += waiting.workspace == w ? waiting.tokens : 0;
        }
        hosts_[host].holder->setRequiredTokens(workspace(w), tokens);
    }

    void tick(std::size_t host)
    {
        write(host);
        ask(host);
        returnLeftovers(host);
        serve(host);
        at(now_ + Tick, [this, host] { tick(host); });
    }

    void write(std::size_t host)
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
        at(storeFreeAt_ + StoreAnswerTime, [this, host] { hosts_[host].holder->onBatchWritten(); });
        at(storeFreeAt_ + 2 * StoreAnswerTime, [this, host] {
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

    std::size_t nearHome(std::size_t host, std::size_t w) const
    {
        for (const std::size_t home : homes_[w]) {
            if (hosts_[home].domain == hosts_[host].domain) {
                return home;
            }
        }
        return homes_[w].front();
    }

    std::vector<std::size_t> addressees(std::size_t host, std::size_t w, const TokenRequest &ask)
    {
        if (ask.need > 0 && ask.round == 0) {
            return {nearHome(host, w)};
        }
        if (ask.need > 0 && ask.round == 1) {
            return homes_[w];
        }
        std::vector<std::size_t> chosen;
        for (std::size_t i = 0; i < AskedAtOnce; ++i) {
            chosen.push_back(next_++ % hosts_.size());
        }
        return chosen;
    }

    void ask(std::size_t host)
    {
        for (const TokenRequest &ask : hosts_[host].holder->peerRequests(now_)) {
            std::size_t w = 0;
            while (workspace(w) != ask.workspace) {
                ++w;
            }
            for (const std::size_t to : addressees(host, w, ask)) {
                if (to != host) {
                    at(now_ + OneWayDelay, [this, host, to, ask] { give(to, host, ask); });
                }
            }
        }
    }

    void give(std::size_t from, std::size_t to, const TokenRequest &ask)
    {
        const uint64_t tokens = hosts_[from].holder->transferOut(ask, now_);
        if (tokens < ask.need) {
            write(from);
        }
        move(to, ask.workspace, tokens);
    }

    void move(std::size_t to, const WorkspaceId &workspace, uint64_t tokens)
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
            move(nearHome(host, w), workspace(w),
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
    std::size_t next_ = 0;
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

class TokenHolderFleet : public testing::TestWithParam<FleetSize>
{};

TEST_P(TokenHolderFleet, NoRequestIsRefusedWhileStoreHasTokens)
{
    constexpr Interval WarmUp = std::chrono::seconds(5);
    constexpr Interval MeasuredTime = std::chrono::seconds(5);
    Fleet fleet(GetParam().hosts, GetParam().domains, GetParam().busiestOnOneHost);
    fleet.play(WarmUp);
    const uint64_t refused = fleet.refused();
    const std::size_t batches = fleet.batches();
    fleet.play(MeasuredTime);
    EXPECT_EQ(fleet.refused() - refused, 0U);
    // Half the capacity of the store.
    EXPECT_LE(fleet.batches() - batches, MeasuredTime / AppendTime / 2);
}

INSTANTIATE_TEST_SUITE_P(FleetSizes, TokenHolderFleet, testing::ValuesIn(FleetSizes),
                         [](const auto &row) {
                             return fmt::format("{}Hosts{}", row.param.hosts,
                                                row.param.busiestOnOneHost ? "BusiestOnOneHost"
                                                                           : "");
                         });

} // namespace
