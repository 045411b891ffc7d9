#include "Peers.h"

namespace sequoiagate {

static constexpr std::size_t WindowThreads = 3;
static constexpr Millis CallTimeout{800};
static constexpr Millis LongestIdle{500};

Peers::Peers(Security &security, const LinkFilter &filter, HostId self)
    : security_(security), filter_(filter), self_(std::move(self))
{}

std::shared_ptr<wire::KeeperService::Stub> Peers::stub(const std::string &address)
{
    absl::MutexLock lock(&mutex_);
    std::shared_ptr<wire::KeeperService::Stub> &kept = stubs_[address];
    if (!kept) {
        kept = wire::KeeperService::NewStub(security_.channel(address));
    }
    return kept;
}

template <typename Request, typename Reply>
std::optional<Reply> Peers::call(Method<Request, Reply> method, const wire::MemberEntry &peer,
                                 const Request &request, Instant deadline)
{
    if (filter_.blocked(HostId(peer.host()))) {
        return std::nullopt;
    }
    grpc::ClientContext context;
    context.AddMetadata(SenderKey, self_.text());
    // gRPC takes deadlines on the wall clock only.
    context.set_deadline(std::chrono::system_clock::now()
                         + (deadline - std::chrono::steady_clock::now()));
    Reply reply;
    const auto target = stub(peer.address());
    if (!((*target).*method)(&context, request, &reply).ok()) {
        return std::nullopt;
    }
    return reply;
}

std::optional<wire::SignWindowReply> Peers::signWindow(const wire::MemberEntry &peer,
                                                       const wire::SignWindowRequest &request,
                                                       Instant deadline)
{
    return call<wire::SignWindowRequest, wire::SignWindowReply>(
            &wire::KeeperService::Stub::SignWindow, peer, request, deadline);
}

std::optional<wire::ReadConfigReply> Peers::readConfig(const wire::MemberEntry &peer,
                                                       const wire::ReadConfigRequest &request,
                                                       Instant deadline)
{
    return call<wire::ReadConfigRequest, wire::ReadConfigReply>(
            &wire::KeeperService::Stub::ReadConfig, peer, request, deadline);
}

std::optional<wire::SettleReply> Peers::settle(const wire::MemberEntry &peer,
                                               const wire::SettleRequest &request, Instant deadline)
{
    return call<wire::SettleRequest, wire::SettleReply>(&wire::KeeperService::Stub::Settle, peer,
                                                        request, deadline);
}

// ---- windows ----

WindowClient::WindowClient(Keeper &keeper, Peers &peers) : keeper_(keeper), peers_(peers)
{
    for (std::size_t count = 0; count < WindowThreads; ++count) {
        workers_.push_back(std::make_unique<Worker>([this] { return step(); }));
    }
}

Interval WindowClient::step()
{
    std::optional<wire::MemberEntry> witness;
    uint64_t seen = 0;
    const std::optional<RequestWindowAction> ask =
            keeper_.run([&](KeeperCore &core, Instant, WallTime) {
                seen = core.work(WorkKind::AskWindow);
                std::optional<RequestWindowAction> next = core.takeWindowAsk();
                const wire::MemberEntry *known = next ? core.view().member(next->witness) : nullptr;
                if (known != nullptr) {
                    witness = *known;
                }
                return next;
            });
    const Instant now = std::chrono::steady_clock::now();
    if (!ask) {
        keeper_.waitForWork(WorkKind::AskWindow, seen, now + LongestIdle);
        return Interval::zero();
    }
    // An ask that can't be made is dropped: the holder asks again by its own timer.
    if (!witness) {
        return Interval::zero();
    }
    wire::SignWindowRequest request;
    request.set_grant(ask->grant.text());
    request.set_workspace(ask->workspace.text());
    request.set_holder(keeper_.log().identity().incarnation.text());
    request.set_received_tokens(ask->receivedTokens);
    request.set_want_tokens(ask->wantTokens);
    request.set_given_up_tokens(ask->returnedTokens);
    const auto reply = peers_.signWindow(*witness, request, now + CallTimeout);
    if (!reply) {
        return Interval::zero();
    }
    keeper_.run([&](KeeperCore &core, Instant answeredAt, WallTime) {
        if (reply->has_signed_total()) {
            core.onWindow(*ask, reply->signed_total(), answeredAt);
        } else {
            core.onWindowRefused(*ask, reply->refused().retry_after_ms() == 0, answeredAt);
        }
    });
    return Interval::zero();
}

// ---- settles ----

SettleForwarder::SettleForwarder(Keeper &keeper, Peers &peers)
    : keeper_(keeper), peers_(peers), worker_([this] { return step(); })
{}

Interval SettleForwarder::step()
{
    uint64_t seen = 0;
    const std::optional<SettleForward> forward =
            keeper_.run([&](KeeperCore &core, Instant at, WallTime) {
                seen = core.work(WorkKind::Forward);
                return core.takeForward(at);
            });
    const Instant now = std::chrono::steady_clock::now();
    if (!forward) {
        keeper_.waitForWork(WorkKind::Forward, seen, now + LongestIdle);
        return Interval::zero();
    }
    if (!peers_.settle(forward->keeper, forward->request, now + CallTimeout)) {
        keeper_.run([&](KeeperCore &core, Instant failedAt, WallTime) {
            core.returnForward(*forward, failedAt);
        });
    }
    return Interval::zero();
}

// ---- configuration ----

ConfigClient::ConfigClient(Keeper &keeper, Peers &peers, Interval period)
    : keeper_(keeper), peers_(peers), period_(period), worker_([this] { return step(); })
{}

Interval ConfigClient::step()
{
    std::vector<wire::MemberEntry> others;
    wire::ReadConfigRequest request;
    keeper_.run([&](KeeperCore &core, Instant now, WallTime) {
        if (!core.configLogSilent(now)) {
            return;
        }
        request.set_have_version(core.configVersion());
        for (const wire::MemberEntry &member : core.view().members()) {
            const bool other = member.incarnation() != core.view().self().incarnation();
            if (other && member.health() == wire::MEMBER_ALIVE) {
                others.push_back(member);
            }
        }
    });
    if (!others.empty()) {
        const wire::MemberEntry &peer = others[nextPeer_++ % others.size()];
        const Instant deadline = std::chrono::steady_clock::now() + CallTimeout;
        const auto reply = peers_.readConfig(peer, request, deadline);
        if (reply && reply->has_config()) {
            keeper_.run([&](KeeperCore &core, Instant now, WallTime) {
                core.onPeerConfig(reply->config(), now);
            });
        }
    }
    return period_;
}

} // namespace sequoiagate
