#include "unittests/Support/EscrowWorld.h"

#include <algorithm>
#include <iterator>

#include "unittests/Support/LedgerRecords.h"

namespace sequoiagate {

namespace {

GrantSettings smallSettings()
{
    GrantSettings settings;
    settings.minimumGrant = 12;
    settings.shareOfRemainder = 0.5;
    return settings;
}

constexpr const char *OpNames[] = {
        "Reserve",       "Settle",         "Tick",       "Append",       "AppendAnswerLost",
        "LandLateCopy",  "Read",           "DeliverAsk", "DeliverReply", "DoubleReply",
        "SuspectHolder", "SuspectWitness", "LogAway",    "LogBack",      "TopUp",
        "Restart",       "Drain",
};

const WorkspaceId &workspace()
{
    static const WorkspaceId Name("w");
    return Name;
}

} // namespace

std::ostream &operator<<(std::ostream &out, const EscrowCommand &command)
{
    return out << OpNames[static_cast<std::size_t>(command.op)] << '('
               << static_cast<int>(command.node) << ',' << static_cast<int>(command.choice) << ')';
}

const EscrowWorld::Step EscrowWorld::Steps[] = {
        &EscrowWorld::reserve,
        &EscrowWorld::settle,
        &EscrowWorld::tick,
        &EscrowWorld::append,
        &EscrowWorld::appendAnswerLost,
        &EscrowWorld::landLateCopy,
        &EscrowWorld::read,
        &EscrowWorld::deliverAsk,
        &EscrowWorld::deliverReply,
        &EscrowWorld::doubleReply,
        &EscrowWorld::suspectHolder,
        &EscrowWorld::suspectWitness,
        &EscrowWorld::logAway,
        &EscrowWorld::logBack,
        &EscrowWorld::topUp,
        &EscrowWorld::restart,
        &EscrowWorld::drain,
};

EscrowWorld::EscrowWorld(GrantSafeguards grants, LedgerSafeguards ledger)
    : grants_(grants), ledger_(ledger)
{
    land(records::from("operator", 1, records::funding("w", 1, FirstTotal)));
    for (std::size_t index = 0; index < Nodes; ++index) {
        nodes_.push_back(makeNode());
    }
}

void EscrowWorld::land(const wire::Record &record)
{
    atLogEnd_.apply(record, atLogEnd_.nextOffset());
    log_.push_back(record);
}

uint64_t EscrowWorld::allocated() const
{
    return atLogEnd_.budget(workspace())->allocated;
}

std::unique_ptr<EscrowWorld::Node> EscrowWorld::makeNode()
{
    ++made_;
    const Incarnation id("k" + std::to_string(made_));
    const GrantSettings settings = smallSettings();
    return std::unique_ptr<Node>(new Node{id,
                                          GrantHolder(workspace(), id, settings, grants_),
                                          GrantWitness(id, settings, grants_),
                                          LedgerFold(ledger_),
                                          {},
                                          {},
                                          0,
                                          0,
                                          now_,
                                          true,
                                          false});
}

void EscrowWorld::run(const EscrowCommand &command)
{
    Node &node = *nodes_[command.node % Nodes];
    (this->*Steps[static_cast<std::size_t>(command.op)])(node, command.choice);
    for (const std::unique_ptr<Node> &each : nodes_) {
        collect(*each);
    }
}

void EscrowWorld::queue(Node &node, wire::Record record)
{
    ++node.sequence;
    node.outbox.push_back(records::from(node.id.text(), node.sequence, std::move(record)));
}

void EscrowWorld::collect(Node &node)
{
    GrantActions actions = node.holder.takeActions();
    GrantActions more = node.witness.takeActions();
    std::move(more.begin(), more.end(), std::back_inserter(actions));
    for (GrantAction &action : actions) {
        if (auto *append = std::get_if<AppendAction>(&action)) {
            queue(node, std::move(append->record));
        } else {
            asks_.push_back({0, node.id, std::get<RequestWindowAction>(action)});
        }
    }
}

std::vector<Incarnation> EscrowWorld::others(const Node &node, uint8_t choice) const
{
    std::vector<Incarnation> result;
    for (std::size_t step = 0; step < Nodes; ++step) {
        const Incarnation &id = nodes_[(choice + step) % Nodes]->id;
        if (id != node.id) {
            result.push_back(id);
        }
    }
    return result;
}

EscrowWorld::Node *EscrowWorld::find(const Incarnation &id)
{
    for (const std::unique_ptr<Node> &node : nodes_) {
        if (node->id == id) {
            return node.get();
        }
    }
    return nullptr;
}

void EscrowWorld::reserve(Node &node, uint8_t choice)
{
    ++made_;
    const ReservationId id("r" + std::to_string(made_));
    const uint64_t tokens = 1 + choice % 6;
    const std::vector<Incarnation> witnesses =
            choice % 16 == 15 ? std::vector<Incarnation>() : others(node, choice);
    const ReserveOutcome outcome =
            node.holder.reserve(id, tokens, witnesses, node.fold, node.logReachable, now_);
    if (const auto *draws = std::get_if<ReservationDraws>(&outcome)) {
        node.open.push_back(*draws);
    }
}

void EscrowWorld::settle(Node &node, uint8_t choice)
{
    if (node.open.empty()) {
        return;
    }
    const ReservationDraws draws = node.open.back();
    node.open.pop_back();
    const uint64_t spent = choice % 3 == 0 ? draws.tokens / 2 : draws.tokens;
    node.holder.settle(draws.id, spent, now_);
    node.spent += spent;
}

void EscrowWorld::tick(Node &node, uint8_t choice)
{
    now_ += std::chrono::milliseconds(200) * (1 + choice % 16);
    node.holder.onTick(others(node, choice), node.fold, node.logReachable, now_);
}

void EscrowWorld::append(Node &node, uint8_t choice)
{
    // One batch a writer, in order; what stands in the log is not sent again.
    if (!node.logReachable) {
        return;
    }
    if (choice % 4 == 0) {
        lateCopies_.insert(lateCopies_.end(), node.outbox.begin(), node.outbox.end());
    }
    for (const wire::Record &record : node.outbox) {
        land(record);
    }
    node.outbox.clear();
}

void EscrowWorld::appendAnswerLost(Node &node, uint8_t /*choice*/)
{
    if (!node.logReachable) {
        return;
    }
    for (const wire::Record &record : node.outbox) {
        land(record);
    }
}

void EscrowWorld::landLateCopy(Node & /*node*/, uint8_t choice)
{
    if (!lateCopies_.empty()) {
        land(lateCopies_[choice % lateCopies_.size()]);
    }
}

void EscrowWorld::read(Node &node, uint8_t choice)
{
    if (!node.logReachable) {
        return;
    }
    node.logHeardAt = now_;
    const uint64_t end = std::min<uint64_t>(log_.size(), node.fold.nextOffset() + 1 + choice % 4);
    while (node.fold.nextOffset() < end) {
        node.fold.apply(log_[node.fold.nextOffset()], node.fold.nextOffset());
    }
    node.holder.onFold(node.fold, now_);
    node.witness.onFold(node.fold, now_);
}

void EscrowWorld::deliverAsk(Node & /*node*/, uint8_t choice)
{
    if (asks_.empty()) {
        return;
    }
    const Ask ask = asks_[choice % asks_.size()];
    if (choice % 2 == 0) {
        asks_.erase(asks_.begin() + choice % static_cast<std::ptrdiff_t>(asks_.size()));
    }
    Node *witness = find(ask.action.witness);
    if (!witness) {
        return;
    }
    SignOutcome outcome =
            witness->witness.sign(ask.action.grant, ask.sender, ask.action.receivedTokens,
                                  ask.action.wantTokens, witness->fold, witness->logHeardAt, now_);
    replies_.push_back({ask.sender, witness->id, ask.action.grant, std::move(outcome)});
}

void EscrowWorld::give(const Reply &reply)
{
    Node *holder = find(reply.to);
    if (!holder) {
        return;
    }
    if (const auto *total = std::get_if<uint64_t>(&reply.outcome)) {
        holder->holder.onWindow(reply.grant, reply.witness, *total, now_);
        return;
    }
    const bool final = !std::get<Verdict>(reply.outcome).retryAt;
    holder->holder.onWindowRefused(reply.grant, reply.witness, final, now_);
}

void EscrowWorld::deliverReply(Node & /*node*/, uint8_t choice)
{
    if (replies_.empty()) {
        return;
    }
    const auto place = choice % static_cast<std::ptrdiff_t>(replies_.size());
    give(replies_[static_cast<std::size_t>(place)]);
    replies_.erase(replies_.begin() + place);
}

void EscrowWorld::doubleReply(Node & /*node*/, uint8_t choice)
{
    if (!replies_.empty()) {
        give(replies_[choice % replies_.size()]);
    }
}

void EscrowWorld::suspectHolder(Node &node, uint8_t choice)
{
    node.witness.onHolderSuspected(others(node, choice).front(), node.fold, now_);
}

void EscrowWorld::suspectWitness(Node &node, uint8_t choice)
{
    const std::vector<Incarnation> candidates = others(node, choice);
    node.holder.onWitnessSuspected(candidates.front(), candidates, now_);
}

void EscrowWorld::logAway(Node &node, uint8_t /*choice*/)
{
    node.logReachable = false;
}

void EscrowWorld::logBack(Node &node, uint8_t /*choice*/)
{
    node.logReachable = true;
}

void EscrowWorld::topUp(Node & /*node*/, uint8_t choice)
{
    if (choice % 8 != 0 || version_ > 3) {
        return;
    }
    ++version_;
    total_ += 10;
    land(records::from("operator", version_, records::funding("w", version_, total_)));
}

void EscrowWorld::restart(Node &node, uint8_t choice)
{
    if (choice % 8 != 0) {
        return;
    }
    // What it sent may still land.
    lateCopies_.insert(lateCopies_.end(), node.outbox.begin(), node.outbox.end());
    lost_ += node.spent + node.holder.reservedTokens() + node.holder.availableTokens();
    for (std::unique_ptr<Node> &each : nodes_) {
        if (each.get() == &node) {
            each = makeNode();
            return;
        }
    }
}

void EscrowWorld::drain(Node &node, uint8_t choice)
{
    if (choice % 16 == 0) {
        node.draining = true;
        node.holder.drain(now_);
    }
}

uint64_t EscrowWorld::spentOrSpendable() const
{
    uint64_t sum = lost_;
    for (const std::unique_ptr<Node> &node : nodes_) {
        sum += node->spent + node->holder.reservedTokens() + node->holder.availableTokens();
    }
    return sum;
}

uint64_t EscrowWorld::spent() const
{
    uint64_t sum = 0;
    for (const std::unique_ptr<Node> &node : nodes_) {
        sum += node->spent;
    }
    return sum;
}

void EscrowWorld::quiesce()
{
    constexpr int EnoughRounds = 40;
    constexpr uint8_t ReadAll = 3;
    for (int round = 0; round < EnoughRounds; ++round) {
        for (const std::unique_ptr<Node> &node : nodes_) {
            node->logReachable = true;
            collect(*node);
            append(*node, 1);
            while (node->fold.nextOffset() < log_.size()) {
                read(*node, ReadAll);
            }
        }
        while (!asks_.empty()) {
            deliverAsk(*nodes_[0], 0);
        }
        while (!replies_.empty()) {
            deliverReply(*nodes_[0], 0);
        }
    }
}

uint64_t EscrowWorld::drainAll()
{
    constexpr uint8_t AllOfIt = 1;
    for (const std::unique_ptr<Node> &node : nodes_) {
        while (!node->open.empty()) {
            settle(*node, AllOfIt);
        }
        node->holder.drain(now_);
    }
    quiesce();
    return nodes_[0]->fold.budget(workspace())->allocated;
}

} // namespace sequoiagate
