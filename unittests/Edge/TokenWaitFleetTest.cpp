/// A fleet whose hosts get the tokens of each request from homes, in an outage of the store of 8 s
/// during which demand doubles: what callers of each kind get, and how long refusals take. The load
/// is that of docs/design/hard-load.md for one workspace.

#include <algorithm>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <vector>

#include <gtest/gtest.h>

#include "lib/Edge/TokenWaitQueue.h"

using namespace sequoiagate;

namespace {

constexpr Instant Lost{std::chrono::hours(1)};
constexpr Interval OutageTime = std::chrono::seconds(8);
constexpr Millis Latency(2); ///< of a datagram
const WorkspaceId Space("w");
constexpr std::size_t Homes = 3;

struct Kind
{
    const char *route;
    uint32_t rank;
    double perSecond;
    uint64_t minTokens;
    uint64_t maxTokens;
    Interval deadline;
};

const Kind Kinds[] = {{"chat", 0, 14.6, 600, 1'100, std::chrono::seconds(12)},
                      {"digest", 2, 8.6, 8'000, 10'000, std::chrono::seconds(4)}};

struct FleetCase
{
    const char *name;
    std::size_t hosts;
    double supplySeconds; ///< tokens held at the start of the outage, in seconds of usual demand
    double lostDatagrams;
    double minChatShare;
};

struct KindResult
{
    int requests = 0;
    int served = 0; ///< at the first attempt
    std::vector<Interval> refusalTimes;
    double share() const { return static_cast<double>(served) / std::max(requests, 1); }
};

class Fleet
{
public:
    Fleet(const FleetCase &row, TokenAllocationPolicy policy, uint32_t seed)
        : row_(row), random_(seed), file_(std::fopen("/dev/null", "w")),
          log_({"test", HostId("h"), DomainId("d"), Incarnation("i")}, file_)
    {
        for (std::size_t i = 0; i < row.hosts; ++i) {
            hosts_.push_back(std::make_unique<Host>(*this, i, policy));
        }
        for (std::size_t i = 0; i < row.hosts; ++i) {
            tickAt(i, Lost - std::chrono::seconds(8) + Millis(i % 25));
        }
        addRequests();
        at(Lost, [this] {
            for (std::size_t i = 0; i < hosts_.size(); ++i) {
                hosts_[i]->queue.setUnreachableSince(Lost);
                if (i < Homes) {
                    hosts_[i]->holder.transferIn(Space, supply() / Homes, now_);
                }
            }
        });
    }
    ~Fleet() { std::fclose(file_); }

    std::vector<KindResult> run()
    {
        while (!events_.empty() && events_.begin()->first < Lost + OutageTime) {
            now_ = events_.begin()->first;
            const std::function<void()> event = std::move(events_.begin()->second);
            events_.erase(events_.begin());
            event();
        }
        return results_;
    }

private:
    struct Host
    {
        Host(Fleet &fleet, std::size_t index, TokenAllocationPolicy policy)
            : holder(Incarnation("p" + std::to_string(index))),
              queue(holder, policy, fleet.log_, fleet.metrics_, fleet.hooks(index))
        {
            holder.setBudgets({{Space, 1'000'000'000}}, Lost);
            holder.setHomes(Space, Homes, index < Homes);
            holder.setStoreReachable(false);
            queue.setHorizon(std::chrono::seconds(9));
            queue.setPeerCount(fleet.row_.hosts - 1);
            queue.setHomeCount(Space, index < Homes ? Homes - 1 : Homes);
        }

        TokenHolder holder;
        TokenWaitQueue queue;
    };

    uint64_t supply() const
    {
        double perSecond = 0;
        for (const Kind &kind : Kinds) {
            perSecond += kind.perSecond * static_cast<double>(kind.minTokens + kind.maxTokens) / 2;
        }
        return static_cast<uint64_t>(perSecond * row_.supplySeconds);
    }

    void at(Instant time, std::function<void()> event) { events_.insert({time, std::move(event)}); }

    void send(std::function<void()> event)
    {
        if (std::uniform_real_distribution<double>()(random_) >= row_.lostDatagrams) {
            at(now_ + Latency, std::move(event));
        }
    }

    TokenWaitQueue::Hooks hooks(std::size_t host)
    {
        TokenWaitQueue::Hooks hooks;
        hooks.obtainTokens = [this, host](Instant) {
            obtain(host);
        };
        hooks.requestTokens = [this, host](const TokenRequest &request) {
            ask(host, request);
        };
        hooks.heldByPeers = [](const WorkspaceId &, Instant) {
            return std::optional<uint64_t>();
        };
        hooks.predecessorPending = [] {
            return false;
        };
        return hooks;
    }

    void obtain(std::size_t host)
    {
        for (TokenRequest &request : hosts_[host]->holder.peerRequests(now_)) {
            if (hosts_[host]->queue.prepareRequest(request)) {
                ask(host, request);
            }
        }
    }

    void ask(std::size_t host, const TokenRequest &request)
    {
        const auto askOne = [this, host, &request](std::size_t peer) {
            send([this, host, peer, request] { onRequest(peer, host, request); });
        };
        const std::size_t near = host % Homes;
        for (std::size_t i = 0; i < Homes && request.round <= 1; ++i) {
            const std::size_t home = (near + i) % Homes;
            const bool isFirst = home != host && (i == 0 || (i == 1 && near == host));
            if (home != host && (isFirst || request.round == 1)) {
                askOne(home);
            }
        }
        for (std::size_t i = 0; i < 8 && request.round > 1; ++i) {
            const std::size_t peer =
                    std::uniform_int_distribution<std::size_t>(0, hosts_.size() - 1)(random_);
            if (peer != host) {
                askOne(peer);
            }
        }
    }

    void onRequest(std::size_t host, std::size_t from, const TokenRequest &request)
    {
        Host &asked = *hosts_[host];
        if (now_ < Lost && host < Homes && request.need > 0) {
            asked.holder.transferIn(Space, request.need, now_); // claimed of the store
        }
        uint64_t tokens = 0;
        if (asked.queue.mayTransfer(request, now_)) {
            tokens = asked.holder.transferOut(request, now_);
            asked.queue.onTransferred(request, tokens);
        }
        const TokenResponse response{Space, Incarnation("p" + std::to_string(host)), tokens,
                                     asked.holder.usable(Space), now_ < Lost};
        const auto deliver = [this, from, response] {
            Host &asking = *hosts_[from];
            if (response.tokens > 0) {
                asking.holder.transferIn(Space, response.tokens, now_);
                asking.queue.onTokensReceived(Space, response.tokens, now_);
            }
            asking.queue.onTokenResponse(response, now_);
        };
        if (tokens > 0) {
            at(now_ + Latency, deliver); // transfers are resent until acknowledged
        } else {
            send(deliver);
        }
    }

    void tickAt(std::size_t index, Instant time)
    {
        at(time, [this, index] {
            Host &host = *hosts_[index];
            obtain(index);
            const uint64_t leftover = host.holder.releaseLeftover(Space, now_);
            if (leftover > 0) {
                at(now_ + Latency, [this, index, leftover] {
                    hosts_[index % Homes]->holder.transferIn(Space, leftover, now_);
                });
            }
            host.queue.tick(now_);
            tickAt(index, now_ + Millis(25));
        });
    }

    void addRequests()
    {
        for (std::size_t k = 0; k < std::size(Kinds); ++k) {
            const Kind &kind = Kinds[k];
            double seconds = -8;
            while (seconds < 8) {
                const double rate =
                        seconds >= -1 && seconds < 4 ? 2 * kind.perSecond : kind.perSecond;
                seconds += std::exponential_distribution<double>(rate)(random_);
                const Instant time = Lost
                                     + std::chrono::duration_cast<Interval>(
                                             std::chrono::duration<double>(seconds));
                at(time, [this, k] { request(k); });
            }
        }
    }

    void request(std::size_t k)
    {
        const Kind &kind = Kinds[k];
        const uint64_t tokens =
                std::uniform_int_distribution<uint64_t>(kind.minTokens, kind.maxTokens)(random_);
        const std::size_t host =
                std::uniform_int_distribution<std::size_t>(0, hosts_.size() - 1)(random_);
        const Instant since = now_;
        const bool counts = now_ >= Lost;
        results_[k].requests += counts ? 1 : 0;
        const ReservationRequest reservation{Space, kind.route,  kind.rank,           tokens,
                                             now_,  Millis(500), now_ + kind.deadline};
        hosts_[host]->queue.reserve(
                reservation,
                [this, k, since, counts](const std::optional<Verdict> &refusal) {
                    if (counts && refusal) {
                        results_[k].refusalTimes.push_back(now_ - since);
                    } else if (counts) {
                        ++results_[k].served;
                    }
                },
                now_);
    }

    const FleetCase &row_;
    std::mt19937 random_;
    std::FILE *file_;
    EventLog log_;
    Metrics metrics_;
    Instant now_{};
    std::multimap<Instant, std::function<void()>> events_;
    std::vector<std::unique_ptr<Host>> hosts_;
    std::vector<KindResult> results_{std::size(Kinds)};
};

std::vector<KindResult> play(const FleetCase &row, TokenAllocationPolicy policy)
{
    std::vector<KindResult> total(std::size(Kinds));
    for (uint32_t seed = 1; seed <= 5; ++seed) {
        const std::vector<KindResult> results = Fleet(row, policy, seed).run();
        for (std::size_t k = 0; k < total.size(); ++k) {
            total[k].requests += results[k].requests;
            total[k].served += results[k].served;
            total[k].refusalTimes.insert(total[k].refusalTimes.end(),
                                         results[k].refusalTimes.begin(),
                                         results[k].refusalTimes.end());
        }
    }
    for (KindResult &result : total) {
        std::sort(result.refusalTimes.begin(), result.refusalTimes.end());
    }
    return total;
}

double medianMillis(const std::vector<Interval> &sorted)
{
    return sorted.empty()
                   ? 0
                   : std::chrono::duration<double, std::milli>(sorted[sorted.size() / 2]).count();
}

class TokenWaitFleet : public testing::TestWithParam<FleetCase>
{};

// Guards against hosts that wait for tokens that nobody has, against homes that give the tokens of
// urgent requests to less urgent ones, and against a kind that is starved.
TEST_P(TokenWaitFleet, ServesUrgentRequestsAndRefusesOthersSoon)
{
    const std::vector<KindResult> firstCome = play(GetParam(), TokenAllocationPolicy::FirstCome);
    const std::vector<KindResult> byRank = play(GetParam(), TokenAllocationPolicy::ByRank);
    SCOPED_TRACE(testing::Message()
                 << "chats " << byRank[0].share() << ", first come " << firstCome[0].share()
                 << "; digests " << byRank[1].share() << ", first come " << firstCome[1].share());
    EXPECT_GE(byRank[0].share(), GetParam().minChatShare);
    EXPECT_GE(byRank[1].share(), firstCome[1].share() / 4);
    // One round trip to the near home and one to all homes.
    EXPECT_LE(medianMillis(byRank[1].refusalTimes), 4.0 * Latency.count());
}

// Urgent requests are always to be served; 0.98 allows for the chance arrivals of few requests.
const FleetCase FleetCases[] = {
        {"SixtyHosts", 60, 4, 0, 0.98},  {"ThreeSecondsHeld", 60, 3, 0, 0.98},
        {"TwelveHosts", 12, 4, 0, 0.98}, {"LostDatagrams", 60, 4, 0.05, 0.98},
        {"Plenty", 60, 30, 0, 1},
};

INSTANTIATE_TEST_SUITE_P(Rows, TokenWaitFleet, testing::ValuesIn(FleetCases),
                         [](const auto &row) { return row.param.name; });

} // namespace
