/// Random schedules of holders, a store that loses and delays answers or is silent, moves that
/// are lost or come twice, kills, losses of power of one host and of all, times of day that are
/// set, and processes that seal their predecessors by what their peers' clocks say. They start
/// late, ask when the store is back, and get answers that are late, doubled, lost, of a peer that
/// was paused or replaced, or for the process before. What was spent must never exceed the budget,
/// whatever happens in whatever order.

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>

#include <gtest/gtest.h>

#include "sequoiagate/Ledger/ElapsedBound.h"
#include "sequoiagate/Ledger/TokenHolder.h"

using namespace sequoiagate;

namespace {

const WorkspaceId W("w");

/// A safeguard to be left out, to see that the model would find it missing.
enum class LeftOut {
    Nothing,
    SealOnlyYoungBatches, ///< a predecessor is sealed as if its last batch were of just now
    ClocksThatNobodySets, ///< a predecessor is sealed by the times of day of all hosts
    RowsFollowTheTime,    ///< a predecessor is sealed without what its rows allow a second
    PeersThatLivedOn,     ///< a peer's clock counts though another process reads it
    AnswersToItself,      ///< answers to the process before are taken as well
    TimeUntilAsked,       ///< the time until the answer comes is deducted, not that until the ask
    MoveOnce,             ///< a move that comes twice is taken twice
    BatchesInOrder,       ///< an old batch that the store executes late counts as the newest
};

/// A host's clocks.
struct Clocks
{
    Millis sinceBoot{};
    Millis timeOfDay{};
};

/// What a batch says of clocks: the own ones, and each peer's as read before.
struct Batch
{
    Clocks own;
    struct Peer
    {
        std::size_t host;
        Incarnation process;
        Clocks clocks;
    };
    std::vector<Peer> peers;
};

/// A process that ended, unless another one ended on its host before it was sealed.
struct Ended
{
    Incarnation process;
    uint64_t used = 0; ///< of what its rows say it had
};

/// How a process seals the one before it.
struct Sealing
{
    Ended ended;
    std::optional<Batch> last; ///< of the ended process, once it was looked up
    std::map<std::size_t, PeerClockReadings> answers;
    Millis largestByTimeOfDay{};    ///< of the same readings
    std::vector<AllotmentRow> rows; ///< to go with the next batch
    bool decided = false;
};

struct Host
{
    std::unique_ptr<TokenHolder> holder;
    Incarnation incarnation;
    std::deque<uint64_t> open; ///< reservations
    std::vector<AllotmentRow> flight;
    bool hasFlight = false;
    Batch flightBatch; ///< what the batch in flight says of clocks
    std::optional<Sealing> sealing;
    Instant startedAt{}; ///< until then it is dark
    Instant pausedUntil{};
    Millis startedAtTimeOfDay{};
    Millis bootedAt{}; ///< the model's time at which the clock since boot was zero
    Millis setBy{};    ///< how far the time of day is off
    uint64_t read = 0; ///< offset in the log
    bool cut = false;
    uint64_t given = 0; ///< to peers
    uint64_t got = 0;   ///< from peers
    std::map<uint64_t, bool> taken;
};

constexpr std::size_t Hosts = 4;
constexpr uint64_t Seeds = 2000;
constexpr int Steps = 1500;

struct LogRow
{
    AllotmentRow row;
};

/// The newest clocks that the store has of a host's process.
struct ToldClocks
{
    bool told = false;
    Incarnation process;
    Clocks clocks;
};

/// A peer is asked for its clocks, or answers.
struct ClockMessage
{
    std::size_t asker;
    Incarnation askingProcess;
    std::size_t peer;
    Millis askedAfterStart{};
    bool answered = false;
    Incarnation answeringProcess;
    Clocks clocks;
};

/// A batch that the store executes after its writer's end.
struct Straggler
{
    Incarnation process;
    std::vector<AllotmentRow> rows;
    Batch batch;
};

struct Move
{
    uint64_t id;
    std::size_t to;
    Incarnation incarnation;
    uint64_t tokens;
};

class World
{
public:
    World(uint64_t seed, LeftOut leftOut)
        : random_(seed), homesRandom_(static_cast<unsigned>(seed)), leftOut_(leftOut),
          homes_(seed > Seeds / 2)
    {
        // Some runs without deaths: what those strand would hide tokens that came from nowhere.
        deaths_ = seed % 2 == 0;
        prepaid_ = seed % 4 < 2 ? 6'000 : 400'000;
        hosts_.resize(Hosts);
        told_.resize(Hosts);
        for (Host &host : hosts_) {
            start(host, now_);
        }
    }

    /// \returns tokens spent beyond the budget, or given back though a dead holder had used
    /// them: what other deaths strand would hide those.
    uint64_t play(int steps)
    {
        for (int i = 0; i < steps; ++i) {
            now_ += std::chrono::milliseconds(pick(60));
            step();
            if (spent_ > prepaid_) {
                return spent_ - prepaid_;
            }
            if (givenTwice_ > 0) {
                return givenTwice_;
            }
        }
        return 0;
    }

private:
    uint64_t pick(uint64_t below) { return random_() % below; }
    bool chance(double share) { return static_cast<double>(pick(10'000)) < share * 10'000; }

    TokenHolderSettings settings() const
    {
        TokenHolderSettings settings;
        settings.initialShare = 0.5;
        // Shorter than the longest outages of the model, so that holders go on beyond their rows.
        settings.batchValidity = std::chrono::milliseconds(2400);
        settings.leftoverRetention = Interval::zero();
        return settings;
    }

    Millis modelTime() const { return std::chrono::duration_cast<Millis>(now_.time_since_epoch()); }

    /// Long after the epoch, so that set back it is still a time.
    Clocks clocksOf(const Host &host) const
    {
        return {modelTime() - host.bootedAt,
                Millis(std::chrono::hours(9000)) + modelTime() + host.setBy};
    }

    std::optional<Interval> elapsedOf(const Host &host) const
    {
        const Sealing &sealing = *host.sealing;
        if (leftOut_ == LeftOut::SealOnlyYoungBatches) {
            return Interval::zero();
        }
        if (leftOut_ == LeftOut::ClocksThatNobodySets) {
            const Millis own = host.startedAtTimeOfDay - sealing.last->own.timeOfDay;
            return std::max({own, sealing.largestByTimeOfDay, Millis::zero()});
        }
        std::vector<PeerClockReadings> spans;
        for (const auto &[peer, span] : sealing.answers) {
            spans.push_back(span);
        }
        const std::optional<Millis> bound = elapsedBound(spans);
        return bound ? std::optional<Interval>(*bound + Millis(1)) : std::nullopt;
    }

    /// Ends the host's process, if it has one. The next one starts at \p at.
    void start(Host &host, Instant at)
    {
        const Host before = std::exchange(host, Host());
        host.bootedAt = before.bootedAt;
        host.setBy = before.setBy;
        host.startedAt = at;
        host.startedAtTimeOfDay =
                clocksOf(host).timeOfDay + std::chrono::duration_cast<Millis>(at - now_);
        host.incarnation = Incarnation("i" + std::to_string(++incarnations_));
        host.holder = std::make_unique<TokenHolder>(host.incarnation, settings());
        host.holder->setBudgets({{W, prepaid_}}, now_);
        host.holder->setHolderCount(Hosts);
        host.holder->setStoreReachable(true);
        if (homes_) {
            // Hosts may disagree on who is a home: it must cost nothing but time.
            host.holder->setHomes(W, 2, homesRandom_() % 2 == 0);
        }
        if (before.hasFlight && chance(0.3)) {
            stragglers_.push_back({before.incarnation, before.flight, before.flightBatch});
        }
        if (stored_.count(before.incarnation) > 0) {
            const uint64_t out =
                    before.given + before.holder->spent(W) + before.holder->reserved(W);
            host.sealing = Sealing();
            host.sealing->ended = {before.incarnation, out - std::min(out, before.got)};
        } else if (before.sealing && !before.sealing->decided) {
            // It wasn't listed yet, so that the next one finds the same predecessor.
            host.sealing = Sealing();
            host.sealing->ended = before.sealing->ended;
        }
    }

    /// Asks the peers that the last batch names, or decides by what they answered.
    void seal(Host &host)
    {
        if (!host.sealing || host.sealing->decided || host.cut
            || stored_.count(host.incarnation) == 0) {
            return;
        }
        Sealing &sealing = *host.sealing;
        if (!sealing.last) {
            sealing.last = stored_.at(sealing.ended.process);
        }
        const bool all = sealing.answers.size() == sealing.last->peers.size();
        if (!all && !chance(0.1)) {
            for (const Batch::Peer &peer : sealing.last->peers) {
                const auto asked = std::chrono::duration_cast<Millis>(now_ - host.startedAt);
                clockMessages_.push_back(
                        {indexOf(host), host.incarnation, peer.host, asked, false, {}, {}});
            }
            return;
        }
        readAll(host);
        sealing.rows = host.holder->sealRows(sealing.ended.process, elapsedOf(host));
        const Allotment last = lastRow(sealing.ended.process);
        for (AllotmentRow &row : sealing.rows) {
            if (leftOut_ == LeftOut::RowsFollowTheTime && row.allotment.tokens < last.tokens) {
                row.allotment.tokens = std::min(last.tokens, last.maxUsed);
            }
        }
        sealing.decided = true;
    }

    void writeSeals(Host &host)
    {
        if (!host.sealing) {
            return;
        }
        for (const AllotmentRow &row : std::exchange(host.sealing->rows, {})) {
            const uint64_t used = host.sealing->ended.used;
            givenTwice_ += used - std::min(used, row.allotment.tokens);
            append(row);
        }
    }

    /// A peer reads its clocks for an answer, or an answer arrives, both in any order.
    void carryClocks()
    {
        for (int i = 0; i < 3 && !clockMessages_.empty(); ++i) {
            const auto at = clockMessages_.begin()
                            + static_cast<std::ptrdiff_t>(pick(clockMessages_.size()));
            ClockMessage &message = *at;
            const Host &peer = hosts_[message.peer];
            const Host &reader = message.answered ? hosts_[message.asker] : peer;
            if (now_ < reader.pausedUntil) {
                continue;
            }
            const bool lost = chance(0.1) || (!message.answered && now_ < peer.startedAt);
            if (!lost && !message.answered) {
                message.answered = true;
                message.answeringProcess = peer.incarnation;
                message.clocks = clocksOf(peer);
                continue;
            }
            if (!lost) {
                onClocks(message);
            }
            if (lost || chance(0.4)) {
                clockMessages_.erase(at); // else it comes again
            }
        }
    }

    void onClocks(const ClockMessage &message)
    {
        Host &host = hosts_[message.asker];
        const bool forItself = message.askingProcess == host.incarnation;
        if (!host.sealing || !host.sealing->last || now_ < host.startedAt
            || (!forItself && leftOut_ != LeftOut::AnswersToItself)) {
            return;
        }
        for (const Batch::Peer &peer : host.sealing->last->peers) {
            if (peer.host != message.peer) {
                continue;
            }
            const bool untilNow = leftOut_ == LeftOut::TimeUntilAsked;
            const Millis asked = untilNow
                                         ? std::chrono::duration_cast<Millis>(now_ - host.startedAt)
                                         : message.askedAfterStart;
            const bool anyProcess = leftOut_ == LeftOut::PeersThatLivedOn;
            const PeerClockReadings span{peer.process,
                                         anyProcess ? peer.process : message.answeringProcess,
                                         peer.clocks.sinceBoot, message.clocks.sinceBoot, asked};
            if (host.sealing->answers.emplace(peer.host, span).second) {
                host.sealing->largestByTimeOfDay =
                        std::max(host.sealing->largestByTimeOfDay,
                                 message.clocks.timeOfDay - peer.clocks.timeOfDay - asked);
            }
        }
    }

    Allotment lastRow(const Incarnation &process) const
    {
        for (auto entry = log_.rbegin(); entry != log_.rend(); ++entry) {
            if (entry->row.holder == process) {
                return entry->row.allotment;
            }
        }
        return {};
    }

    bool runs(const Host &host) const { return now_ >= host.startedAt && now_ >= host.pausedUntil; }

    std::size_t indexOf(const Host &host) const
    {
        return static_cast<std::size_t>(&host - hosts_.data());
    }

    void append(const AllotmentRow &row) { log_.push_back({row}); }

    void readAll(Host &host)
    {
        while (host.read < log_.size()) {
            host.holder->onRow(log_[host.read].row, host.read, now_);
            ++host.read;
        }
        if (host.holder->onReadUpTo(host.read)) {
            host.hasFlight = false;
        }
    }

    void step()
    {
        const std::size_t index = pick(hosts_.size());
        Host &host = hosts_[index];
        if (!runs(host)) {
            return;
        }
        constexpr uint64_t Weights = 15;
        const uint64_t action = pick(Weights);
        if (action < 4) {
            reserve(host);
        } else if (action < 5) {
            settle(host);
        } else if (action < 8) {
            sync(host);
        } else if (action < 9) {
            ask(index);
        } else if (action < 10) {
            deliver();
        } else if (action < 12) {
            seal(host);
        } else if (action < 14) {
            carryClocks();
        } else {
            disturb(host);
        }
    }

    void reserve(Host &host)
    {
        const uint64_t tokens = 20 + pick(400);
        if (host.holder->reserve(W, tokens, now_)) {
            host.open.push_back(tokens);
            // The worst case: all of it is spent, and the process may die at any time.
            spent_ += tokens;
        }
    }

    void settle(Host &host)
    {
        if (host.open.empty()) {
            return;
        }
        const uint64_t tokens = host.open.front();
        host.open.pop_front();
        const uint64_t used = pick(tokens + 1);
        host.holder->settle(W, tokens, used, now_);
        spent_ -= tokens - used;
    }

    void sync(Host &host)
    {
        if (host.cut) {
            return;
        }
        readAll(host);
        if (host.hasFlight) {
            // Its answer was lost: it is written again as it is.
            write(host);
            return;
        }
        const auto rows = host.holder->nextBatch(now_);
        if (!rows) {
            return;
        }
        host.flight = *rows;
        host.hasFlight = true;
        host.flightBatch = {clocksOf(host), {}};
        for (std::size_t peer = 0; peer < Hosts; ++peer) {
            if (peer == indexOf(host)) {
                continue;
            }
            // Names either the current clocks of a running peer or those from its last batch.
            if (runs(hosts_[peer]) && homesRandom_() % 2 == 0) {
                host.flightBatch.peers.push_back(
                        {peer, hosts_[peer].incarnation, clocksOf(hosts_[peer])});
            } else if (told_[peer].told) {
                host.flightBatch.peers.push_back({peer, told_[peer].process, told_[peer].clocks});
            }
        }
        write(host);
    }

    void write(Host &host)
    {
        if (chance(0.2)) {
            return; // it never arrives
        }
        for (const AllotmentRow &row : host.flight) {
            append(row);
        }
        stored_[host.incarnation] = host.flightBatch;
        writeSeals(host);
        told_[indexOf(host)] = {true, host.incarnation, host.flightBatch.own};
        if (leftOut_ == LeftOut::BatchesInOrder && chance(0.3)) {
            late_.push_back(host.flight);
        }
        if (host.flight.empty()) {
            host.holder->onBatchWritten();
            host.hasFlight = false;
        } else if (chance(0.7)) {
            readAll(host);
        }
    }

    void ask(std::size_t index)
    {
        const std::size_t other = pick(hosts_.size());
        if (other == index || !runs(hosts_[other])) {
            return;
        }
        for (const TokenRequest &ask : hosts_[index].holder->peerRequests(now_)) {
            move(other, index, hosts_[other].holder->transferOut(ask, now_));
        }
        if (homes_ && homesRandom_() % 2 == 0) {
            hosts_[index].holder->noLongerShort(W);
            move(index, other, hosts_[index].holder->releaseLeftover(W, now_));
        }
    }

    void move(std::size_t from, std::size_t to, uint64_t tokens)
    {
        hosts_[from].given += tokens;
        if (tokens > 0) {
            moves_.push_back({++lastMove_, to, hosts_[to].incarnation, tokens});
        }
    }

    void deliver()
    {
        if (!late_.empty() && chance(0.5)) {
            for (const AllotmentRow &row : late_.front()) {
                append(row);
            }
            late_.pop_front();
        }
        if (!stragglers_.empty() && chance(0.3)) {
            const Straggler &straggler = stragglers_.front();
            for (const AllotmentRow &row : straggler.rows) {
                append(row);
            }
            stored_[straggler.process] = straggler.batch;
            stragglers_.pop_front();
        }
        if (moves_.empty()) {
            return;
        }
        const Move move = moves_.front();
        if (chance(0.6)) {
            moves_.pop_front(); // else it comes again
        }
        Host &host = hosts_[move.to];
        if (host.incarnation != move.incarnation || chance(0.1)) {
            return;
        }
        const bool first = host.taken.emplace(move.id, true).second;
        if (first || leftOut_ == LeftOut::MoveOnce) {
            host.holder->transferIn(W, move.tokens, now_);
            host.got += move.tokens;
        }
    }

    void disturb(Host &host)
    {
        if (deaths_ && chance(0.25)) {
            // What it reserved may be spent: it stays in spent_.
            now_ += std::chrono::milliseconds(pick(1500));
            end(host, chance(0.3));
        } else if (chance(0.1)) {
            outage();
        } else if (chance(0.5)) {
            host.cut = !host.cut;
            host.holder->setStoreReachable(!host.cut);
            now_ += std::chrono::milliseconds(host.cut ? pick(4000) : 0);
        } else if (chance(0.3)) {
            host.pausedUntil = now_ + std::chrono::milliseconds(pick(6000));
        } else if (chance(0.4)) {
            setClocks(host, chance(0.5));
        }
    }

    /// Sets the time of day of one host or of all, by the same or by other amounts.
    void setClocks(Host &host, bool all)
    {
        const auto offset = [this] {
            return Millis(pick(12'000)) - Millis(6000);
        };
        const bool together = chance(0.5);
        const Millis shared = offset();
        for (Host &other : hosts_) {
            if (all || &other == &host) {
                other.setBy = together ? shared : offset();
            }
        }
    }

    /// The store is silent for all, who go on from what they have; then some or none die.
    void outage()
    {
        setCut(true);
        for (uint64_t i = pick(100); i > 0; --i) {
            now_ += std::chrono::milliseconds(pick(120));
            Host &other = hosts_[pick(hosts_.size())];
            if (runs(other)) {
                reserve(other);
            }
        }
        if (chance(0.5)) {
            setClocks(hosts_.front(), true);
        }
        if (deaths_ && chance(0.5)) {
            end(hosts_[pick(hosts_.size())], chance(0.5));
        }
        // It may stay away beyond the start, and all may be dark again before it answers.
        if (chance(0.3)) {
            now_ += std::chrono::milliseconds(pick(4000));
            if (deaths_ && chance(0.3)) {
                end(hosts_.front(), true);
            }
        }
        setCut(false);
    }

    void setCut(bool cut)
    {
        for (Host &host : hosts_) {
            host.cut = cut;
            host.holder->setStoreReachable(!cut);
        }
    }

    void end(Host &host, bool all)
    {
        const bool power = all || chance(0.5);
        for (Host &other : hosts_) {
            if (!all && &other != &host) {
                continue;
            }
            // At worst it has used what it may, a moment before.
            for (uint64_t i = chance(0.5) ? 100 : 0; i > 0 && runs(other); --i) {
                reserve(other);
            }
            if (power) {
                // Half the time so that its reading can pass for a little later one of before.
                const Millis back(pick(12'000));
                other.bootedAt =
                        chance(0.5) ? other.bootedAt + back : modelTime() - Millis(pick(100'000));
            }
            start(other, now_ + std::chrono::milliseconds(chance(0.5) ? pick(3000) : 0));
        }
    }

    std::mt19937_64 random_;
    std::minstd_rand homesRandom_; ///< apart, so that it changes no other choice
    LeftOut leftOut_;
    bool homes_;
    Instant now_{std::chrono::hours(1)};
    uint64_t prepaid_ = 0;
    bool deaths_ = false;
    uint64_t spent_ = 0;
    uint64_t givenTwice_ = 0;
    uint64_t incarnations_ = 0;
    uint64_t lastMove_ = 0;
    std::vector<LogRow> log_;
    std::deque<std::vector<AllotmentRow>> late_;
    std::deque<Move> moves_;
    std::vector<Host> hosts_;
    std::vector<ToldClocks> told_;
    std::deque<ClockMessage> clockMessages_;
    std::deque<Straggler> stragglers_;
    std::map<Incarnation, Batch> stored_; ///< each process's last batch that the store has
};

int overspentRuns(LeftOut leftOut)
{
    int overspent = 0;
    for (uint64_t seed = 1; seed <= Seeds; ++seed) {
        overspent += World(seed, leftOut).play(Steps) > 0 ? 1 : 0;
    }
    return overspent;
}

TEST(TokenHolderModel, NeverOverspends)
{
    EXPECT_EQ(overspentRuns(LeftOut::Nothing), 0);
}

class WithoutSafeguard : public testing::TestWithParam<LeftOut>
{};

TEST_P(WithoutSafeguard, Overspends)
{
    EXPECT_GT(overspentRuns(GetParam()), 0);
}

INSTANTIATE_TEST_SUITE_P(Rows, WithoutSafeguard,
                         testing::Values(LeftOut::SealOnlyYoungBatches,
                                         LeftOut::ClocksThatNobodySets, LeftOut::RowsFollowTheTime,
                                         LeftOut::PeersThatLivedOn, LeftOut::AnswersToItself,
                                         LeftOut::TimeUntilAsked, LeftOut::MoveOnce,
                                         LeftOut::BatchesInOrder));

} // namespace
