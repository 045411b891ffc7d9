#ifndef UNITTESTS_SUPPORT_ESCROWWORLD_H
#define UNITTESTS_SUPPORT_ESCROWWORLD_H

/// A few keepers around one log, with every message under the test's hand: it may
/// be lost, late or doubled. Each step is one command, so that a run can be replayed
/// and shrunk.

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

#include "sequoiagate/Ledger/GrantHolder.h"
#include "sequoiagate/Ledger/GrantWitness.h"

namespace sequoiagate {

enum class EscrowOp : uint8_t {
    Reserve,
    Settle,
    Tick,
    Append,
    AppendAnswerLost,
    LandLateCopy,
    Read,
    DeliverAsk,
    DeliverReply,
    DoubleReply,
    SuspectHolder,
    SuspectWitness,
    LogAway,
    LogBack,
    TopUp,
    Restart,
    Drain,
    Count,
};

/// One step; the numbers pick among what there is at that moment.
struct EscrowCommand
{
    EscrowOp op = EscrowOp::Tick;
    uint8_t node = 0;
    uint8_t choice = 0;
};

std::ostream &operator<<(std::ostream &out, const EscrowCommand &command);

/// Not thread safe.
class EscrowWorld
{
public:
    static constexpr std::size_t Nodes = 3;
    static constexpr uint64_t FirstTotal = 60;

    explicit EscrowWorld(GrantSafeguards grants = {}, LedgerSafeguards ledger = {});

    void run(const EscrowCommand &command);
    /// All that holders, past ones too, have spent or could spend now without another
    /// word from anyone.
    uint64_t spentOrSpendable() const;
    uint64_t total() const { return total_; }
    /// What the log, up to its end, holds as given out. All else can be claimed and
    /// spent by anyone.
    uint64_t allocated() const;
    /// More is spent or spendable than is given out: whoever claims the rest brings
    /// the spend above the total.
    bool overspent() const { return spentOrSpendable() > allocated() || allocated() > total_; }
    /// Lets every message arrive and every record be read, until nothing moves.
    void quiesce();
    /// Settles and closes everything. \returns what the log then holds as allocated.
    uint64_t drainAll();
    uint64_t spent() const;

private:
    struct Node
    {
        Incarnation id;
        GrantHolder holder;
        GrantWitness witness;
        LedgerFold fold;
        std::deque<wire::Record> outbox;
        std::vector<ReservationDraws> open;
        uint64_t sequence = 0;
        uint64_t spent = 0;
        Instant logHeardAt{};
        bool logReachable = true;
        bool draining = false;
    };
    struct Ask
    {
        std::size_t from = 0;
        Incarnation sender;
        RequestWindowAction action;
    };
    struct Reply
    {
        Incarnation to;
        Incarnation witness;
        GrantId grant;
        SignOutcome outcome;
    };
    using Step = void (EscrowWorld::*)(Node &node, uint8_t choice);
    static const Step Steps[];

    std::unique_ptr<Node> makeNode();
    void collect(Node &node);
    void queue(Node &node, wire::Record record);
    void land(const wire::Record &record);
    std::vector<Incarnation> others(const Node &node, uint8_t choice) const;
    Node *find(const Incarnation &id);

    void reserve(Node &node, uint8_t choice);
    void settle(Node &node, uint8_t choice);
    void tick(Node &node, uint8_t choice);
    void append(Node &node, uint8_t choice);
    void appendAnswerLost(Node &node, uint8_t choice);
    void landLateCopy(Node &node, uint8_t choice);
    void read(Node &node, uint8_t choice);
    void deliverAsk(Node &node, uint8_t choice);
    void deliverReply(Node &node, uint8_t choice);
    void doubleReply(Node &node, uint8_t choice);
    void suspectHolder(Node &node, uint8_t choice);
    void suspectWitness(Node &node, uint8_t choice);
    void logAway(Node &node, uint8_t choice);
    void logBack(Node &node, uint8_t choice);
    void topUp(Node &node, uint8_t choice);
    void restart(Node &node, uint8_t choice);
    void drain(Node &node, uint8_t choice);
    void give(const Reply &reply);

    GrantSafeguards grants_;
    LedgerSafeguards ledger_;
    std::vector<std::unique_ptr<Node>> nodes_;
    std::vector<wire::Record> log_;
    LedgerFold atLogEnd_;
    std::vector<wire::Record> lateCopies_;
    std::deque<Ask> asks_;
    std::deque<Reply> replies_;
    uint64_t lost_ = 0; ///< spent or spendable by incarnations that are gone
    uint64_t total_ = FirstTotal;
    uint64_t version_ = 1;
    uint64_t made_ = 0; ///< incarnations, reservations
    Instant now_{};
};

} // namespace sequoiagate

#endif
