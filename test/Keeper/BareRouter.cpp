#include "test/Keeper/BareRouter.h"

#include <stdexcept>
#include <thread>

#include <fmt/format.h>
#include <grpcpp/grpcpp.h>
#include <httplib.h>

namespace sequoiagate {

static constexpr Seconds CallLimit{10};
static constexpr Seconds GenerateLimit{30};
static constexpr Millis PollPeriod{20};

template <typename Request, typename Reply, typename Method>
static Reply call(wire::KeeperService::Stub &stub, Method method, const Request &request)
{
    grpc::ClientContext context;
    context.set_deadline(std::chrono::system_clock::now() + CallLimit);
    Reply reply;
    const grpc::Status status = (stub.*method)(&context, request, &reply);
    if (!status.ok()) {
        throw std::runtime_error("call to a keeper failed: " + status.error_message());
    }
    return reply;
}

/// A channel of its own: one that is shared through gRPC's pool may still be connected to a
/// killed keeper whose address a new one has taken.
static std::shared_ptr<grpc::Channel> ownChannel(const std::string &keeper)
{
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    return grpc::CreateCustomChannel("ipv4:" + keeper, grpc::InsecureChannelCredentials(),
                                     arguments);
}

BareRouter::BareRouter(const std::string &keeper, std::string engine)
    : stub_(wire::KeeperService::NewStub(ownChannel(keeper))), engine_(std::move(engine)),
      incarnation_(randomHex128())
{}

wire::ReserveReply BareRouter::reserve(const BareRequest &request, const std::string &attempt)
{
    wire::ReserveRequest message;
    message.set_workspace(request.workspace);
    message.set_request(request.request);
    message.set_body_hash(request.body);
    message.set_attempt(attempt.empty() ? randomHex128() : attempt);
    message.set_prompt_tokens(PromptTokens);
    message.set_output_ceiling(request.ceiling);
    message.set_router(incarnation_);
    message.set_router_address(ownAddress);
    message.set_model("chat");
    return call<wire::ReserveRequest, wire::ReserveReply>(
            *stub_, &wire::KeeperService::Stub::Reserve, message);
}

static nlohmann::json chatBody(const BareRequest &request, bool stream)
{
    nlohmann::json message = {{"role", "user"},
                              {"content", fmt::format("tokens={}", request.ceiling)}};
    return {{"model", "chat"},
            {"stream", stream},
            {"max_tokens", request.ceiling},
            {"messages", nlohmann::json::array({message})}};
}

static httplib::Headers chatHeaders(const BareRequest &request)
{
    return {{"X-Request-Id", request.request},
            {"X-Workspace", request.workspace},
            {"X-Attempt", randomHex128()}};
}

std::string BareRouter::startStream(const BareRequest &request)
{
    httplib::Client client("http://" + engine_);
    client.set_read_timeout(GenerateLimit);
    std::string stream;
    httplib::Request message;
    message.method = "POST";
    message.path = "/v1/chat/completions";
    message.headers = chatHeaders(request);
    message.set_header("Content-Type", "application/json");
    message.body = chatBody(request, true).dump();
    message.response_handler = [&](const httplib::Response &response) {
        stream = response.get_header_value("X-Stream-Id");
        return false;
    };
    client.send(message);
    if (stream.empty()) {
        throw std::runtime_error("the engine named no stream");
    }
    return stream;
}

uint64_t BareRouter::generate(const BareRequest &request)
{
    httplib::Client client("http://" + engine_);
    client.set_read_timeout(GenerateLimit);
    const httplib::Result result = client.Post("/v1/chat/completions", chatHeaders(request),
                                               chatBody(request, false).dump(), "application/json");
    if (!result || result->status != 200) {
        throw std::runtime_error("the engine didn't answer");
    }
    return nlohmann::json::parse(result->body).at("usage").at("completion_tokens").get<uint64_t>();
}

wire::SettleRequest BareRouter::settleRequest(const wire::Reservation &reservation,
                                              const BareRequest &request,
                                              uint64_t completionTokens) const
{
    wire::SettleRequest message;
    message.set_reservation(reservation.id());
    message.set_router(incarnation_);
    message.set_execution(wire::RAN);
    wire::Bill &bill = *message.mutable_bill();
    bill.set_workspace(request.workspace);
    bill.set_request(request.request);
    bill.set_model("chat");
    bill.set_prompt_tokens(PromptTokens);
    bill.set_completion_tokens(completionTokens);
    *bill.mutable_draws() = reservation.draws();
    return message;
}

wire::SettleReply BareRouter::settle(const wire::SettleRequest &request)
{
    return call<wire::SettleRequest, wire::SettleReply>(*stub_, &wire::KeeperService::Stub::Settle,
                                                        request);
}

wire::SettleReply BareRouter::settle(const wire::Reservation &reservation,
                                     const BareRequest &request, uint64_t completionTokens)
{
    return settle(settleRequest(reservation, request, completionTokens));
}

wire::SettleReply BareRouter::settleNotRun(const wire::Reservation &reservation)
{
    wire::SettleRequest message;
    message.set_reservation(reservation.id());
    message.set_router(incarnation_);
    message.set_execution(wire::NOT_RUN);
    return settle(message);
}

void BareRouter::settleDurably(const wire::Reservation &reservation, const BareRequest &request,
                               uint64_t completionTokens)
{
    const Instant giveUpAt = std::chrono::steady_clock::now() + GenerateLimit;
    while (settle(reservation, request, completionTokens).durable_offset() == 0) {
        if (std::chrono::steady_clock::now() > giveUpAt) {
            throw std::runtime_error("the bill never became durable");
        }
        std::this_thread::sleep_for(PollPeriod);
    }
}

bool BareRouter::serve(const BareRequest &request)
{
    const wire::ReserveReply reply = reserve(request);
    if (!reply.has_reservation()) {
        return false;
    }
    settle(reply.reservation(), request, generate(request));
    return true;
}

int BareRouter::serveUntilRefused(const std::string &workspace, const std::string &prefix,
                                  uint64_t ceiling)
{
    int served = 0;
    while (serve({workspace, fmt::format("{}-{}", prefix, served), ceiling})) {
        ++served;
    }
    return served;
}

wire::ReadRunReply BareRouter::readRun(const std::string &workspace, const std::string &key)
{
    wire::ReadRunRequest message;
    message.set_workspace(workspace);
    message.set_key(key);
    return call<wire::ReadRunRequest, wire::ReadRunReply>(
            *stub_, &wire::KeeperService::Stub::ReadRun, message);
}

wire::ClaimRunReply BareRouter::claim(const std::string &workspace, const std::string &key,
                                      const std::string &attempt)
{
    wire::ClaimRunRequest message;
    message.mutable_claim()->set_workspace(workspace);
    message.mutable_claim()->set_key(key);
    message.mutable_claim()->set_attempt(attempt);
    message.mutable_claim()->set_body_hash("body");
    message.set_router(incarnation_);
    return call<wire::ClaimRunRequest, wire::ClaimRunReply>(
            *stub_, &wire::KeeperService::Stub::ClaimRun, message);
}

wire::FinishRunReply BareRouter::finish(const wire::RunOutcome &outcome)
{
    wire::FinishRunRequest message;
    *message.mutable_outcome() = outcome;
    return call<wire::FinishRunRequest, wire::FinishRunReply>(
            *stub_, &wire::KeeperService::Stub::FinishRun, message);
}

wire::ReadViewReply BareRouter::readView()
{
    wire::ReadViewRequest message;
    message.set_router(incarnation_);
    return call<wire::ReadViewRequest, wire::ReadViewReply>(
            *stub_, &wire::KeeperService::Stub::ReadView, message);
}

wire::ReadStatusReply BareRouter::status()
{
    wire::ReadStatusRequest message;
    message.set_with_members(true);
    return call<wire::ReadStatusRequest, wire::ReadStatusReply>(
            *stub_, &wire::KeeperService::Stub::ReadStatus, message);
}

} // namespace sequoiagate
