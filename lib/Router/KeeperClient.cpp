#include "sequoiagate/Router/KeeperClient.h"

#include <algorithm>

#include <fmt/format.h>

#include "sequoiagate/Base/Rendezvous.h"

namespace sequoiagate {

namespace {

/// A keeper that didn't answer is asked last for so long. Long enough that a dead
/// home doesn't cost each request a timeout, short enough that a keeper back from
/// a pause gets its workspaces back before their grants elsewhere have grown.
constexpr Millis AvoidFor{2000};
/// Many probe periods of the keepers: a live keeper is in each view again by then.
constexpr Millis ForgetUnlistedAfter{10'000};
constexpr Millis ComeBackAfter{1000};
/// Longer than the keeper holds a view, by what an answer may take.
constexpr Millis ViewSlack{1000};

/// Whether the keeper passes the request on to another by its answer.
bool passesOn(const wire::WireVerdict &refused)
{
    const std::optional<Reason> reason = reasonFromName(refused.reason());
    return reason == Reason::Draining || reason == Reason::NotReady;
}

template <typename Reply>
bool passesOn(const Reply &reply)
{
    if constexpr (requires { reply.refused(); }) {
        return reply.has_refused() && passesOn(reply.refused());
    } else {
        return false;
    }
}

} // namespace

KeeperClient::KeeperClient(const std::vector<std::string> &seeds, Security &security,
                           Millis timeout, Millis claimTimeout)
    : security_(security), timeout_(timeout), claimTimeout_(claimTimeout)
{
    for (const std::string &address : seeds) {
        keepers_.push_back(keeperAt(address, address));
    }
}

void KeeperClient::setKeepers(const std::vector<wire::KeeperEntry> &entries)
{
    if (entries.empty()) {
        return;
    }
    absl::MutexLock lock(&mutex_);
    std::vector<KeeperPtr> next;
    for (const wire::KeeperEntry &entry : entries) {
        const auto known =
                std::find_if(keepers_.begin(), keepers_.end(), [&](const KeeperPtr &keeper) {
                    return keeper->name == entry.host() && keeper->address == entry.address();
                });
        next.push_back(known != keepers_.end() ? *known : keeperAt(entry.host(), entry.address()));
        next.back()->incarnation = Incarnation(entry.incarnation());
        next.back()->draining = entry.draining();
    }
    keepUnlisted(next);
    keepers_ = std::move(next);
}

void KeeperClient::keepUnlisted(const std::vector<KeeperPtr> &listed)
{
    const Instant now = std::chrono::steady_clock::now();
    for (const KeeperPtr &keeper : keepers_) {
        keeper->forgetAt = now + ForgetUnlistedAfter;
    }
    unlisted_.insert(unlisted_.end(), keepers_.begin(), keepers_.end());
    std::erase_if(unlisted_, [&](const KeeperPtr &keeper) {
        const bool isListed =
                std::any_of(listed.begin(), listed.end(), [&](const KeeperPtr &other) {
                    return other->name == keeper->name || other->address == keeper->address;
                });
        return isListed || keeper->avoidUntil > now || keeper->forgetAt <= now;
    });
}

wire::ReserveReply KeeperClient::reserve(const wire::ReserveRequest &request,
                                         std::vector<std::string> &unanswered)
{
    return callEach<wire::ReserveRequest, wire::ReserveReply>(
            &wire::KeeperService::Stub::Reserve, orderFor(request.workspace(), Incarnation()),
            timeout_, [&] { return request; }, unanswered);
}

bool KeeperClient::release(const std::string &name, const wire::ReserveRequest &request)
{
    const KeeperPtr keeper = find(name);
    if (!keeper) {
        // Out of the view isn't gone: one that was paused or cut off comes back with its
        // reservations.
        return false;
    }
    // The same attempt again is answered with the reservation it made before, or makes
    // one now; either is ended at once.
    grpc::ClientContext reserveContext;
    reserveContext.set_deadline(std::chrono::system_clock::now() + timeout_);
    wire::ReserveReply reserved;
    if (!keeper->stub->Reserve(&reserveContext, request, &reserved).ok()) {
        return false;
    }
    if (!reserved.has_reservation()) {
        return true;
    }
    grpc::ClientContext settleContext;
    settleContext.set_deadline(std::chrono::system_clock::now() + timeout_);
    wire::SettleRequest settle;
    settle.set_reservation(reserved.reservation().id());
    settle.set_execution(wire::NOT_RUN);
    settle.set_router(request.router());
    wire::SettleReply settled;
    return keeper->stub->Settle(&settleContext, settle, &settled).ok();
}

wire::ClaimRunReply KeeperClient::claimRun(wire::ClaimRunRequest request,
                                           std::vector<AttemptId> &attempts)
{
    const std::string workspace = request.claim().workspace();
    std::vector<std::string> unanswered;
    return callEach<wire::ClaimRunRequest, wire::ClaimRunReply>(
            &wire::KeeperService::Stub::ClaimRun, orderFor(workspace, Incarnation()), claimTimeout_,
            [&] {
                attempts.push_back(randomId<AttemptId>());
                request.mutable_claim()->set_attempt(attempts.back().text());
                return request;
            },
            unanswered);
}

wire::SettleReply KeeperClient::settle(const wire::SettleRequest &request)
{
    return call(&wire::KeeperService::Stub::Settle, request.bill().workspace(), request, timeout_);
}

std::vector<std::string> KeeperClient::backupsFor(const std::string &workspace,
                                                  const Incarnation &holder,
                                                  const HostId &host) const
{
    const std::vector<KeeperPtr> order = orderFor(workspace, Incarnation());
    const Instant now = std::chrono::steady_clock::now();
    std::vector<std::string> backups;
    std::string silent;
    absl::MutexLock lock(&mutex_);
    for (const KeeperPtr &keeper : order) {
        if (keeper->name == host.text()) {
            continue;
        }
        if (keeper->incarnation == holder) {
            return {};
        }
        if (keeper->avoidUntil <= now) {
            backups.push_back(keeper->name);
        } else if (silent.empty()) {
            silent = keeper->name;
        }
    }
    for (const KeeperPtr &keeper : unlisted_) {
        if (keeper->name != host.text() && keeper->forgetAt > now) {
            backups.push_back(keeper->name);
        }
    }
    // At most one that has just given no answer: each may cost the caller the whole timeout.
    if (backups.empty() && !silent.empty()) {
        backups.push_back(std::move(silent));
    }
    return backups;
}

wire::SettleReply KeeperClient::settleWith(const std::string &name,
                                           const wire::SettleRequest &request)
{
    std::vector<KeeperPtr> order;
    KeeperPtr keeper = find(name);
    if (!keeper) {
        keeper = findUnlisted(name);
    }
    if (keeper) {
        order.push_back(std::move(keeper));
    }
    std::vector<std::string> unanswered;
    return callEach<wire::SettleRequest, wire::SettleReply>(
            &wire::KeeperService::Stub::Settle, order, timeout_, [&] { return request; },
            unanswered);
}

wire::FinishRunReply KeeperClient::finishRun(const wire::FinishRunRequest &request)
{
    return call(&wire::KeeperService::Stub::FinishRun, request.outcome().workspace(), request,
                timeout_);
}

wire::ReadRunReply KeeperClient::readRun(const wire::ReadRunRequest &request)
{
    return call(&wire::KeeperService::Stub::ReadRun, request.workspace(), request, timeout_);
}

wire::ReadViewReply KeeperClient::readView(const wire::ReadViewRequest &request, Millis wait)
{
    return call(&wire::KeeperService::Stub::ReadView, request.router(), request, wait + ViewSlack);
}

std::string KeeperClient::viewSource() const
{
    absl::MutexLock lock(&mutex_);
    return viewSource_;
}

KeeperClient::KeeperPtr KeeperClient::keeperAt(const std::string &name, const std::string &address)
{
    auto keeper = std::make_shared<Keeper>();
    keeper->name = name;
    keeper->address = address;
    keeper->stub = wire::KeeperService::NewStub(security_.channel(address));
    return keeper;
}

KeeperClient::KeeperPtr KeeperClient::find(const std::string &name) const
{
    absl::MutexLock lock(&mutex_);
    const auto found = std::find_if(keepers_.begin(), keepers_.end(),
                                    [&](const KeeperPtr &keeper) { return keeper->name == name; });
    return found == keepers_.end() ? nullptr : *found;
}

KeeperClient::KeeperPtr KeeperClient::findUnlisted(const std::string &name) const
{
    absl::MutexLock lock(&mutex_);
    const auto found = std::find_if(unlisted_.begin(), unlisted_.end(),
                                    [&](const KeeperPtr &keeper) { return keeper->name == name; });
    return found == unlisted_.end() ? nullptr : *found;
}

std::vector<KeeperClient::KeeperPtr> KeeperClient::orderFor(const std::string &key,
                                                            const Incarnation &holder) const
{
    const Instant now = std::chrono::steady_clock::now();
    absl::MutexLock lock(&mutex_);
    std::vector<KeeperPtr> order = keepers_;
    const auto rank = [&](const KeeperPtr &keeper) {
        if (!holder.empty() && keeper->incarnation == holder) {
            return keeper->avoidUntil > now ? 1 : -1;
        }
        return (keeper->draining ? 2 : 0) + (keeper->avoidUntil > now ? 1 : 0);
    };
    std::sort(order.begin(), order.end(), [&](const KeeperPtr &a, const KeeperPtr &b) {
        if (rank(a) != rank(b)) {
            return rank(a) < rank(b);
        }
        const uint64_t weightA = rendezvousWeight(key, a->name);
        const uint64_t weightB = rendezvousWeight(key, b->name);
        return weightA != weightB ? weightA > weightB : a->name < b->name;
    });
    return order;
}

void KeeperClient::avoid(Keeper &keeper)
{
    absl::MutexLock lock(&mutex_);
    keeper.avoidUntil = std::chrono::steady_clock::now() + AvoidFor;
    std::erase_if(unlisted_, [&](const KeeperPtr &other) { return other.get() == &keeper; });
}

void KeeperClient::setOpenView(grpc::ClientContext *context)
{
    absl::MutexLock lock(&mutex_);
    openView_ = context;
    if (context != nullptr && viewCancelled_) {
        context->TryCancel();
    }
}

void KeeperClient::cancelReadView()
{
    absl::MutexLock lock(&mutex_);
    viewCancelled_ = true;
    if (openView_ != nullptr) {
        openView_->TryCancel();
    }
}

template <typename Request, typename Reply>
Reply KeeperClient::call(Method<Request, Reply> method, const std::string &key,
                         const Request &request, Millis timeout)
{
    Incarnation holder;
    if constexpr (requires { request.keeper(); }) {
        holder = Incarnation(request.keeper());
    }
    std::vector<std::string> unanswered;
    return callEach<Request, Reply>(
            method, orderFor(key, holder), timeout, [&] { return request; }, unanswered);
}

template <typename Request, typename Reply>
Reply KeeperClient::callEach(Method<Request, Reply> method, const std::vector<KeeperPtr> &order,
                             Millis timeout, const std::function<Request()> &prepare,
                             std::vector<std::string> &unanswered)
{
    std::string failure = "no keeper is known";
    std::optional<Reply> passedOn;
    for (const KeeperPtr &keeper : order) {
        grpc::ClientContext context;
        context.set_deadline(std::chrono::system_clock::now() + timeout);
        Reply reply;
        constexpr bool IsView = std::is_same_v<Reply, wire::ReadViewReply>;
        if (IsView) {
            setOpenView(&context);
        }
        const grpc::Status status = (keeper->stub.get()->*method)(&context, prepare(), &reply);
        if (IsView) {
            setOpenView(nullptr);
        }
        if (!status.ok()) {
            avoid(*keeper);
            unanswered.push_back(keeper->name);
            failure = fmt::format("keeper {}: {}", keeper->name, status.error_message());
            continue;
        }
        if (passesOn(reply)) {
            passedOn = std::move(reply);
            continue;
        }
        if (IsView) {
            absl::MutexLock lock(&mutex_);
            viewSource_ = keeper->name;
        }
        return reply;
    }
    if (passedOn) {
        return *passedOn;
    }
    throw VerdictError(Verdict{Execution::NotRun, Reason::KeeperUnreachable, failure,
                               std::chrono::steady_clock::now() + ComeBackAfter});
}

} // namespace sequoiagate
