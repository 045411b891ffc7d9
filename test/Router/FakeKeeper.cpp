#include "test/Router/FakeKeeper.h"

#include <fmt/format.h>

namespace sequoiagate {

FakeKeeper::FakeKeeper(wire::ConfigState config) : config_(std::move(config))
{
    int port = 0;
    grpc::ServerBuilder builder;
    builder.AddListeningPort("127.0.0.1:0", grpc::InsecureServerCredentials(), &port);
    builder.RegisterService(this);
    server_ = builder.BuildAndStart();
    address_ = fmt::format("127.0.0.1:{}", port);
    entry.set_host("fake");
    entry.set_incarnation("fake");
    entry.set_address(address_);
}

FakeKeeper::~FakeKeeper()
{
    {
        absl::MutexLock lock(&mutex_);
        stopping_ = true;
    }
    server_->Shutdown(std::chrono::system_clock::now());
}

bool FakeKeeper::show(std::vector<wire::KeeperEntry> newOthers)
{
    const auto isRead = [&] {
        mutex_.AssertHeld();
        return viewSerialRead_ == viewSerial_;
    };
    absl::MutexLock lock(&mutex_);
    others = std::move(newOthers);
    ++viewSerial_;
    return mutex_.AwaitWithTimeout(absl::Condition(&isRead), absl::Seconds(30));
}

void FakeKeeper::failSettles(bool fail)
{
    absl::MutexLock lock(&mutex_);
    failSettles_ = fail;
}

bool FakeKeeper::sawSettleOf(const std::string &request) const
{
    absl::MutexLock lock(&mutex_);
    return settledRequests_.count(request) > 0;
}

void FakeKeeper::answerReserves(wire::ReserveReply reply)
{
    absl::MutexLock lock(&mutex_);
    reserveReply_ = std::move(reply);
}

void FakeKeeper::loseReserveAnswers(int count)
{
    absl::MutexLock lock(&mutex_);
    reserveAnswersToLose_ = count;
}

bool FakeKeeper::awaitNothingOpen() const
{
    const auto nothingOpen = [&] {
        mutex_.AssertHeld();
        return open_.empty();
    };
    absl::MutexLock lock(&mutex_);
    return mutex_.AwaitWithTimeout(absl::Condition(&nothingOpen), absl::Seconds(30));
}

void FakeKeeper::loseClaimAnswers(bool lose)
{
    absl::MutexLock lock(&mutex_);
    loseClaimAnswers_ = lose;
}

uint64_t FakeKeeper::reservations() const
{
    absl::MutexLock lock(&mutex_);
    return reservations_;
}

std::vector<wire::Bill> FakeKeeper::bills() const
{
    absl::MutexLock lock(&mutex_);
    std::vector<wire::Bill> bills;
    for (const auto &[key, bill] : bills_) {
        bills.push_back(bill);
    }
    return bills;
}

std::vector<wire::RunOutcome> FakeKeeper::outcomes() const
{
    absl::MutexLock lock(&mutex_);
    return outcomes_;
}

void FakeKeeper::awaitBills(std::size_t count) const
{
    const auto there = [&] {
        mutex_.AssertHeld();
        return bills_.size() >= count;
    };
    absl::MutexLock lock(&mutex_);
    mutex_.Await(absl::Condition(&there));
}

void FakeKeeper::awaitOutcomes(std::size_t count) const
{
    const auto there = [&] {
        mutex_.AssertHeld();
        return outcomes_.size() >= count;
    };
    absl::MutexLock lock(&mutex_);
    mutex_.Await(absl::Condition(&there));
}

grpc::Status FakeKeeper::Reserve(grpc::ServerContext *, const wire::ReserveRequest *request,
                                 wire::ReserveReply *reply)
{
    absl::MutexLock lock(&mutex_);
    if (reserveReply_.outcome_case() != wire::ReserveReply::OUTCOME_NOT_SET) {
        *reply = reserveReply_;
        return grpc::Status::OK;
    }
    const auto [open, isNew] = open_.try_emplace(request->attempt());
    if (isNew) {
        open->second = fmt::format("reservation-{}", ++reservations_);
    }
    if (reserveAnswersToLose_ > 0) {
        --reserveAnswersToLose_;
        return grpc::Status(grpc::StatusCode::UNAVAILABLE, "the answer is lost");
    }
    reply->mutable_reservation()->set_id(open->second);
    reply->mutable_reservation()->set_tokens(request->prompt_tokens() + request->output_ceiling());
    reply->mutable_reservation()->set_keeper(entry.incarnation());
    return grpc::Status::OK;
}

grpc::Status FakeKeeper::Settle(grpc::ServerContext *, const wire::SettleRequest *request,
                                wire::SettleReply *reply)
{
    absl::MutexLock lock(&mutex_);
    settledRequests_.insert(request->bill().request());
    if (failSettles_) {
        return grpc::Status(grpc::StatusCode::UNAVAILABLE, "told to fail");
    }
    reply->set_held(true);
    if (request->still_open()) {
        return grpc::Status::OK;
    }
    std::erase_if(open_, [&](const auto &open) { return open.second == request->reservation(); });
    if (!request->has_bill()) {
        reply->set_durable_offset(1);
        return grpc::Status::OK;
    }
    const wire::Bill &bill = request->bill();
    bills_.emplace(bill.workspace() + '/' + bill.request(), bill);
    reply->set_durable_offset(bills_.size());
    return grpc::Status::OK;
}

grpc::Status FakeKeeper::ClaimRun(grpc::ServerContext *, const wire::ClaimRunRequest *request,
                                  wire::ClaimRunReply *reply)
{
    absl::MutexLock lock(&mutex_);
    const wire::RunClaim &claim = request->claim();
    wire::RunState state;
    *state.mutable_claim() = claim;
    const auto [run, isFirst] = runs_.emplace(claim.workspace() + '/' + claim.key(), state);
    if (loseClaimAnswers_) {
        return grpc::Status(grpc::StatusCode::UNAVAILABLE, "the answer is lost");
    }
    if (isFirst) {
        reply->set_may_run(true);
    } else {
        *reply->mutable_taken() = run->second;
    }
    return grpc::Status::OK;
}

grpc::Status FakeKeeper::FinishRun(grpc::ServerContext *, const wire::FinishRunRequest *request,
                                   wire::FinishRunReply *reply)
{
    absl::MutexLock lock(&mutex_);
    const wire::RunOutcome &outcome = request->outcome();
    outcomes_.push_back(outcome);
    const auto run = runs_.find(outcome.workspace() + '/' + outcome.key());
    if (run != runs_.end()) {
        *run->second.mutable_outcome() = outcome;
    }
    reply->set_held(true);
    reply->set_durable_offset(outcomes_.size());
    return grpc::Status::OK;
}

grpc::Status FakeKeeper::ReadRun(grpc::ServerContext *, const wire::ReadRunRequest *request,
                                 wire::ReadRunReply *reply)
{
    absl::MutexLock lock(&mutex_);
    const auto run = runs_.find(request->workspace() + '/' + request->key());
    if (run != runs_.end()) {
        *reply->mutable_run() = run->second;
    }
    return grpc::Status::OK;
}

grpc::Status FakeKeeper::ReadView(grpc::ServerContext *, const wire::ReadViewRequest *request,
                                  wire::ReadViewReply *reply)
{
    absl::MutexLock lock(&mutex_);
    viewSerialRead_ = request->have_view_serial();
    const auto isOver = [&] {
        mutex_.AssertHeld();
        return stopping_ || request->have_view_serial() < viewSerial_;
    };
    if (request->have_config_version() >= config_.version() && request->have_view_serial() > 0) {
        mutex_.AwaitWithTimeout(absl::Condition(&isOver),
                                absl::Milliseconds(static_cast<int64_t>(request->wait_ms())));
    }
    *reply->mutable_config() = config_;
    reply->set_config_version(config_.version());
    reply->set_view_serial(viewSerial_);
    *reply->add_keepers() = entry;
    for (const wire::KeeperEntry &other : others) {
        *reply->add_keepers() = other;
    }
    return grpc::Status::OK;
}

} // namespace sequoiagate
