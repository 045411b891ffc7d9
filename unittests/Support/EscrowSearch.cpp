#include "unittests/Support/EscrowSearch.h"

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <memory>
#include <unordered_map>

#include <fmt/format.h>

#include "sequoiagate/Base/Rendezvous.h"
#include "sequoiagate/Ledger/GrantAccount.h"
#include "sequoiagate/Ledger/GrantWitness.h"
#include "unittests/Support/LedgerRecords.h"

namespace sequoiagate {

namespace {

/// The processes; the holder is also the first of the writers.
enum Process : std::size_t { Holder, WitnessA, WitnessB, Processes };

constexpr std::array<const char *, Processes> Names = {"holder", "A", "B"};
constexpr uint64_t GrantTokens = 4;
/// Windows and returns come in halves of the grant: finer steps make more states and no
/// other orders.
constexpr uint64_t Unit = 2;

/// The funding and the claim.
constexpr std::size_t RecordsAtStart = 2;

using Log = std::vector<std::string>; ///< serialized records

/// One moment of one run.
struct State
{
    GrantAccount account;
    std::vector<GrantWitness> witnesses; ///< A, B
    Log log;
    std::array<Log, Processes> outbox;
    std::array<uint64_t, Processes> sequence{};
    std::array<std::size_t, Processes> position{}; ///< records of the log that are read
    std::array<uint64_t, Processes> signedTotal{}; ///< on its way to the holder, for ever
    std::array<bool, Processes> suspects{};
    int witnessChanges = 0;
    int returns = 0;
    int lostAnswers = 0;
};

struct Successor
{
    std::string move;
    State state;
};

const GrantId &theGrant()
{
    static const GrantId Id("g");
    return Id;
}

Incarnation idOf(Process process)
{
    return Incarnation(Names[process]);
}

/// The fold of a log is the same for every process that has read as far.
class Folds
{
public:
    explicit Folds(LedgerSafeguards safeguards) : safeguards_(safeguards) {}

    const LedgerFold &at(const Log &log, std::size_t length)
    {
        std::string key;
        for (std::size_t index = 0; index < length; ++index) {
            key += log[index];
            key += '|';
        }
        const auto [place, isNew] = folds_.emplace(key, LedgerFold(safeguards_));
        if (isNew) {
            for (std::size_t index = 0; index < length; ++index) {
                wire::Record record;
                record.ParseFromString(log[index]);
                place->second.apply(record, index);
            }
        }
        return place->second;
    }

private:
    LedgerSafeguards safeguards_;
    std::unordered_map<std::string, LedgerFold> folds_;
};

class Search
{
public:
    Search(const EscrowSearchBounds &bounds, GrantSafeguards grants, LedgerSafeguards ledger)
        : bounds_(bounds), grants_(grants), folds_(ledger)
    {}

    EscrowSearchResult run()
    {
        EscrowSearchResult result;
        add(firstState(), {}, 0);
        for (std::size_t index = 0; index < queue_.size(); ++index) {
            const State state = std::move(*queue_[index]);
            queue_[index].reset();
            if (overspent(state)) {
                result.trace = traceTo(index);
                break;
            }
            for (Successor &next : successors(state)) {
                add(std::move(next.state), std::move(next.move), index);
            }
        }
        result.states = queue_.size();
        return result;
    }

private:
    struct Origin
    {
        std::size_t parent = 0;
        std::string move;
    };

    State firstState()
    {
        GrantSettings settings;
        State state{GrantAccount(theGrant(), GrantTokens, idOf(WitnessA), Instant{}),
                    {GrantWitness(idOf(WitnessA), settings, grants_),
                     GrantWitness(idOf(WitnessB), settings, grants_)},
                    {},
                    {}};
        state.log.push_back(records::from("operator", 1, records::funding("w", 1, GrantTokens))
                                    .SerializeAsString());
        state.sequence[Holder] = 1;
        state.log.push_back(
                records::from("holder", 1, records::claim("g", "w", GrantTokens, "holder", "A"))
                        .SerializeAsString());
        state.position.fill(state.log.size());
        state.account.updateFromLog(foldOf(state, Holder).grant(theGrant()));
        return state;
    }

    bool hasRoom(const State &state) const
    {
        return state.log.size() < RecordsAtStart + bounds_.records;
    }

    const LedgerFold &foldOf(const State &state, Process process)
    {
        return folds_.at(state.log, state.position[process]);
    }

    bool overspent(const State &state)
    {
        const LedgerFold &end = folds_.at(state.log, state.log.size());
        return state.account.spendable() > end.budget(WorkspaceId("w"))->allocated;
    }

    /// What tells two states apart; what follows from it is left out.
    static std::string keyOf(const State &state)
    {
        const GrantAccount &account = state.account;
        std::string key = fmt::format("{}/{}/{}/{}/{}/{}/{}/", static_cast<int>(account.phase()),
                                      account.cap(), account.received(), account.spent(),
                                      account.witness().text(), account.witnessChangePending(),
                                      fmt::join(state.position, ","));
        for (std::size_t process = 0; process < Processes; ++process) {
            key += fmt::format("{},{},{};", state.signedTotal[process], state.suspects[process],
                               state.sequence[process]);
            for (const std::string &record : state.outbox[process]) {
                key += record + '|';
            }
        }
        for (const GrantWitness &witness : state.witnesses) {
            key += fmt::format("{};", witness.signedTokens(theGrant()));
        }
        for (const std::string &record : state.log) {
            key += record + '|';
        }
        return key
               + fmt::format("{},{},{}", state.witnessChanges, state.returns, state.lostAnswers);
    }

    void add(State state, std::string move, std::size_t parent)
    {
        const std::string key = keyOf(state);
        const std::pair<uint64_t, uint64_t> hash(stableHash(key, 0), stableHash(key, 1));
        if (!seen_.emplace(hash, queue_.size()).second) {
            return;
        }
        queue_.push_back(std::make_unique<State>(std::move(state)));
        origins_.push_back({parent, std::move(move)});
    }

    std::vector<std::string> traceTo(std::size_t index) const
    {
        std::vector<std::string> trace;
        for (; index != 0; index = origins_[index].parent) {
            trace.push_back(origins_[index].move);
        }
        std::reverse(trace.begin(), trace.end());
        return trace;
    }

    std::vector<Successor> successors(const State &state)
    {
        std::vector<Successor> next;
        addHolderMoves(state, next);
        for (const Process witness : {WitnessA, WitnessB}) {
            addWitnessMoves(state, witness, next);
        }
        for (const Process process : {Holder, WitnessA, WitnessB}) {
            addLogMoves(state, process, next);
        }
        return next;
    }

    static void send(State &state, Process writer, wire::Record body)
    {
        ++state.sequence[writer];
        state.outbox[writer].push_back(
                records::from(Names[writer], state.sequence[writer], std::move(body))
                        .SerializeAsString());
    }

    void addHolderMoves(const State &state, std::vector<Successor> &next) const
    {
        if (state.returns < bounds_.returns && state.account.returnable() >= Unit) {
            State after = state;
            after.account.relinquish(Unit);
            ++after.returns;
            send(after, Holder, records::giveBack("g", Unit));
            next.push_back({fmt::format("holder returns {}", Unit), std::move(after)});
        }
        if (state.account.phase() != GrantAccount::Phase::Open) {
            return;
        }
        // What is spent matters to the others only here: all that may be, or nothing.
        for (const uint64_t spent : {uint64_t{0}, state.account.available()}) {
            if (bounds_.closes == 0) {
                break;
            }
            State closed = state;
            closed.account.draw(spent);
            closed.account.settle(spent, spent);
            closed.account.close();
            send(closed, Holder, records::close("g", spent));
            next.push_back({fmt::format("holder closes with {} spent", spent), std::move(closed)});
        }
        for (const Process witness : {WitnessA, WitnessB}) {
            if (state.account.witnessChangePending() || state.account.witness() == idOf(witness)
                || state.witnessChanges == bounds_.witnessChanges) {
                continue;
            }
            State after = state;
            ++after.witnessChanges;
            after.account.changeWitness(idOf(witness), 0);
            send(after, Holder, records::rewitness("g", after.account.received(), Names[witness]));
            next.push_back(
                    {fmt::format("holder names witness {}", Names[witness]), std::move(after)});
        }
    }

    void addWitnessMoves(const State &state, Process witness, std::vector<Successor> &next)
    {
        const std::size_t place = witness - WitnessA;
        for (const uint64_t want : {Unit, GrantTokens}) {
            State after = state;
            const SignOutcome outcome =
                    after.witnesses[place].sign(theGrant(), idOf(Holder), after.account.received(),
                                                want, foldOf(state, witness), Instant{}, Instant{});
            if (const auto *total = std::get_if<uint64_t>(&outcome)) {
                after.signedTotal[witness] = std::max(after.signedTotal[witness], *total);
                next.push_back({fmt::format("{} signs up to {}", Names[witness], *total),
                                std::move(after)});
            }
        }
        // What was signed may arrive now, later, in part, twice or never.
        for (uint64_t total = Unit; total <= state.signedTotal[witness]; total += Unit) {
            State after = state;
            if (total > state.account.received()
                && after.account.acceptWindow(idOf(witness), total,
                                              !grants_.holderStopsWindowsFirst)) {
                next.push_back(
                        {fmt::format("holder takes {}'s window up to {}", Names[witness], total),
                         std::move(after)});
            }
        }
        const LedgerGrant *known = foldOf(state, witness).grant(theGrant());
        const bool maySeal = known && !known->ended && known->witness == idOf(witness);
        if (maySeal && !state.suspects[witness]) {
            State after = state;
            after.suspects[witness] = true;
            after.witnesses[place].onHolderSuspected(idOf(Holder), foldOf(state, witness),
                                                     Instant{});
            sendSeals(after, witness);
            next.push_back({fmt::format("{} takes the holder for dead", Names[witness]),
                            std::move(after)});
        }
    }

    static void sendSeals(State &state, Process witness)
    {
        for (GrantAction &action : state.witnesses[witness - WitnessA].takeActions()) {
            send(state, witness, std::move(std::get<AppendAction>(action).record));
        }
    }

    void addLogMoves(const State &state, Process process, std::vector<Successor> &next)
    {
        const Log &outbox = state.outbox[process];
        if (!outbox.empty() && hasRoom(state)) {
            State after = state;
            after.log.push_back(outbox.front());
            after.outbox[process].erase(after.outbox[process].begin());
            next.push_back({fmt::format("{}'s append stands", Names[process]), std::move(after)});
        }
        if (!outbox.empty() && hasRoom(state) && state.lostAnswers < bounds_.lostAnswers) {
            State after = state;
            ++after.lostAnswers;
            after.log.push_back(outbox.front());
            next.push_back({fmt::format("{}'s append stands, its answer is lost", Names[process]),
                            std::move(after)});
        }
        if (state.position[process] == state.log.size()) {
            return;
        }
        State after = state;
        ++after.position[process];
        if (process == Holder) {
            after.account.updateFromLog(foldOf(after, Holder).grant(theGrant()));
        } else {
            after.witnesses[process - WitnessA].onFold(foldOf(after, process), Instant{});
            sendSeals(after, process);
        }
        next.push_back({fmt::format("{} reads", Names[process]), std::move(after)});
    }

    EscrowSearchBounds bounds_;
    GrantSafeguards grants_;
    Folds folds_;
    std::vector<std::unique_ptr<State>> queue_;
    std::vector<Origin> origins_;
    std::map<std::pair<uint64_t, uint64_t>, std::size_t> seen_;
};

} // namespace

EscrowSearchResult searchEscrow(const EscrowSearchBounds &bounds, GrantSafeguards grants,
                                LedgerSafeguards ledger)
{
    return Search(bounds, grants, ledger).run();
}

} // namespace sequoiagate
