#ifndef BENCH_ESCROW_TRIAL_H
#define BENCH_ESCROW_TRIAL_H

/// One day under one strategy, with the real holders, witnesses and fold, and small
/// fakes of time, log and network: messages arrive within a step, or not at all.

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "bench/Escrow/Workload.h"
#include "sequoiagate/Ledger/GrantHolder.h"
#include "sequoiagate/Ledger/GrantWitness.h"

namespace sequoiagate::bench {

/// How tokens get to where they are asked for.
struct Strategy
{
    std::string name;
    bool staticSplit = false; ///< no log: each host has its share from the start
    bool witnessed = false;
    GrantSettings settings;
};

struct Outcome
{
    uint64_t demand = 0;  ///< tokens asked for, by what they would have spent
    uint64_t refused = 0; ///< of these, though budget remained
    uint64_t budget = 0;
    uint64_t inDoubt = 0;   ///< at the day's end: given out, and nobody can say if spent
    uint64_t overspent = 0; ///< beyond any workspace's budget
    uint64_t appends = 0;

    void add(const Outcome &other);
};

/// Not thread safe.
class Trial
{
public:
    /// \param budgetFactor the budgets, as a multiple of the day's demand.
    Trial(const Shape &shape, const Strategy &strategy, const Day &day, double budgetFactor);
    Outcome run();

private:
    struct Host
    {
        std::size_t domain = 0;
        Incarnation id;
        bool alive = true;
        Instant backAt = Never;
        LedgerFold fold;
        std::vector<std::unique_ptr<GrantHolder>> holders; ///< by workspace
        std::unique_ptr<GrantWitness> witness;
        std::deque<wire::Record> outbox;
        uint64_t sequence = 0;
        Instant logHeardAt{};
        std::vector<uint64_t> share; ///< by workspace, under a static split
    };
    /// What one host thinks of another.
    struct Sight
    {
        Instant unheardSince = Never;
        bool suspected = false;
    };
    /// A request that is running.
    struct Running
    {
        std::size_t request = 0;
        std::size_t host = 0;
        Incarnation incarnation;
    };

    void startHost(std::size_t index);
    void startDay();
    void applyFaults();
    void kill(std::size_t index);
    bool cutOff(std::size_t domain) const;
    bool reaches(const Host &from, const Host &to) const;
    Host *findHost(const Incarnation &id);

    void exchange();
    bool exchangeOnce();
    bool perform(Host &host, GrantAction &action);
    void askWitness(Host &host, const RequestWindowAction &ask);
    bool appendAll(Host &host);
    bool readAll(Host &host);
    void tick();
    void watch();
    void suspect(std::size_t watcher, std::size_t other);
    std::vector<Incarnation> witnessesFor(std::size_t index) const;

    void serve(std::size_t index);
    bool reserveAt(std::size_t hostIndex, std::size_t index);
    bool reserveFromShare(Host &host, const Request &request);
    std::vector<std::size_t> hostsOf(const Request &request) const;
    void accept(const Request &request, std::size_t index, std::size_t hostIndex);
    void settleEnded();
    void measureDoubt();

    const Shape &shape_;
    const Strategy &strategy_;
    const Day &day_;
    std::vector<WorkspaceId> workspaces_;
    std::vector<uint64_t> budgets_;
    std::vector<uint64_t> spent_; ///< by workspace, running requests with their whole spend
    std::vector<Host> hosts_;
    std::vector<wire::Record> log_;
    std::multimap<Instant, Running> running_; ///< by end
    std::vector<std::vector<Sight>> sights_;  ///< of each host, by the host that looks
    uint64_t incarnations_ = 0;
    Instant now_{};
    Outcome outcome_;
};

} // namespace sequoiagate::bench

#endif
