#include "sequoiagate/Operate/KeeperClient.h"

#include <algorithm>
#include <future>

#include <fmt/format.h>

#include "sequoiagate/Base/Verdict.h"

namespace sequoiagate {

namespace {

/// gRPC takes deadlines on the wall clock.
std::chrono::system_clock::time_point wallDeadline(Instant deadline)
{
    const auto left = deadline - std::chrono::steady_clock::now();
    return std::chrono::system_clock::now()
           + std::chrono::duration_cast<std::chrono::system_clock::duration>(left);
}

bool runs(const wire::MemberEntry &member)
{
    return member.health() == wire::MEMBER_ALIVE || member.health() == wire::MEMBER_SUSPECT;
}

bool asked(const std::vector<KeeperStatus> &statuses, const std::string &address)
{
    return std::any_of(statuses.begin(), statuses.end(),
                       [&](const KeeperStatus &status) { return status.address == address; });
}

/// Members that some keeper believes live and that weren't asked yet.
std::vector<KeeperStatus> unasked(const std::vector<KeeperStatus> &statuses)
{
    std::vector<KeeperStatus> found;
    for (const KeeperStatus &status : statuses) {
        for (const wire::MemberEntry &member : status.reply.members()) {
            const bool isNew = runs(member) && !member.address().empty()
                               && !asked(statuses, member.address())
                               && !asked(found, member.address());
            if (isNew) {
                found.push_back({member.address(), member.host(), false, "", {}});
            }
        }
    }
    return found;
}

} // namespace

GrpcKeeperClient::GrpcKeeperClient(std::vector<std::string> addresses, Security &security)
    : addresses_(std::move(addresses)), security_(security)
{}

std::vector<KeeperStatus> GrpcKeeperClient::readAll(const std::string &workspace, Instant deadline)
{
    std::vector<KeeperStatus> next;
    for (const std::string &address : addresses_) {
        if (!asked(next, address)) {
            next.push_back({address, "", false, "", {}});
        }
    }
    wire::ReadStatusRequest request;
    request.set_workspace(workspace);
    request.set_with_members(true);
    std::vector<KeeperStatus> statuses;
    while (!next.empty()) {
        std::vector<std::future<KeeperStatus>> answers;
        for (const KeeperStatus &status : next) {
            answers.push_back(std::async(std::launch::async, [this, status, request, deadline] {
                KeeperStatus answer = readOne(status.address, request, deadline);
                if (!answer.heard) {
                    answer.host = status.host;
                }
                return answer;
            }));
        }
        for (std::future<KeeperStatus> &answer : answers) {
            statuses.push_back(answer.get());
        }
        next = unasked(statuses);
        request.set_with_members(false);
    }
    return statuses;
}

KeeperStatus GrpcKeeperClient::readOne(const std::string &address,
                                       const wire::ReadStatusRequest &request, Instant deadline)
{
    KeeperStatus status;
    status.address = address;
    const auto stub = wire::KeeperService::NewStub(security_.channel(address));
    grpc::ClientContext context;
    context.set_deadline(wallDeadline(deadline));
    const grpc::Status answer = stub->ReadStatus(&context, request, &status.reply);
    status.heard = answer.ok();
    status.fault = answer.error_message();
    status.host = status.reply.self().host();
    return status;
}

wire::DrainReply GrpcKeeperClient::drain(const std::string &address, const std::string &reason,
                                         Instant deadline)
{
    const auto stub = wire::KeeperService::NewStub(security_.channel(address));
    grpc::ClientContext context;
    context.set_deadline(wallDeadline(deadline));
    wire::DrainRequest request;
    request.set_reason(reason);
    wire::DrainReply reply;
    const grpc::Status answer = stub->Drain(&context, request, &reply);
    if (!answer.ok()) {
        throw VerdictError(
                Verdict{Execution::MayHaveRun, Reason::KeeperUnreachable,
                        fmt::format("keeper {} didn't answer: {}", address, answer.error_message()),
                        std::nullopt});
    }
    return reply;
}

} // namespace sequoiagate
