/// What a reservation costs its keeper in processor time and on the wire, as unary calls,
/// and what 1,000 requests cost the log. One router's calls for a request: reserve, one
/// word while the stream is open, settle, and settle again until the bill is on the log.
/// Usage: bench-Keeper [requests a second] [requests] [bill_flush_ms]

#include <atomic>
#include <thread>

#include <arpa/inet.h>
#include <fmt/format.h>
#include <grpcpp/grpcpp.h>
#include <httplib.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "proto/keeper.grpc.pb.h"

#include "test/Support/Fleet.h"
#include "test/Support/ProcessCost.h"

using namespace sequoiagate;

namespace {

constexpr const char *Workspace = "fretwise";
constexpr uint64_t Prompt = 200;
constexpr uint64_t Ceiling = 400;
constexpr uint64_t Generated = 330;
constexpr Seconds IdleTime{5};
/// How long a stream would run; the router asks again after its bill that much later.
constexpr Millis SettleAgain{500};

/// Passes one connection's bytes on and counts them.
class CountingRelay
{
public:
    explicit CountingRelay(const std::string &target)
    {
        listener_ = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in own{};
        own.sin_family = AF_INET;
        own.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof own;
        bind(listener_, reinterpret_cast<sockaddr *>(&own), length);
        listen(listener_, 1);
        getsockname(listener_, reinterpret_cast<sockaddr *>(&own), &length);
        address_ = fmt::format("127.0.0.1:{}", ntohs(own.sin_port));
        thread_ = std::thread([this, target] { serve(target); });
    }
    ~CountingRelay()
    {
        shutdown(listener_, SHUT_RDWR);
        shutdown(near_, SHUT_RDWR);
        shutdown(far_, SHUT_RDWR);
        thread_.join();
        close(listener_);
    }

    const std::string &address() const { return address_; }
    uint64_t toKeeper() const { return toKeeper_; }
    uint64_t fromKeeper() const { return fromKeeper_; }

private:
    void serve(const std::string &target)
    {
        near_ = accept(listener_, nullptr, nullptr);
        far_ = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in peer{};
        peer.sin_family = AF_INET;
        peer.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        peer.sin_port =
                htons(static_cast<uint16_t>(std::stoi(target.substr(target.find(':') + 1))));
        connect(far_, reinterpret_cast<sockaddr *>(&peer), sizeof peer);
        std::thread back([this] { pump(far_, near_, fromKeeper_); });
        pump(near_, far_, toKeeper_);
        shutdown(far_, SHUT_RDWR);
        back.join();
        close(near_);
        close(far_);
    }
    static void pump(int from, int to, std::atomic<uint64_t> &count)
    {
        char buffer[16384];
        for (;;) {
            const ssize_t length = read(from, buffer, sizeof buffer);
            if (length <= 0) {
                return;
            }
            count += static_cast<uint64_t>(length);
            for (ssize_t sent = 0; sent < length;) {
                const ssize_t part = write(to, buffer + sent, static_cast<size_t>(length - sent));
                if (part <= 0) {
                    return;
                }
                sent += part;
            }
        }
    }

    int listener_ = -1;
    std::atomic<int> near_ = -1;
    std::atomic<int> far_ = -1;
    std::string address_;
    std::atomic<uint64_t> toKeeper_ = 0;
    std::atomic<uint64_t> fromKeeper_ = 0;
    std::thread thread_;
};

nlohmann::json logCounts(const std::string &address)
{
    httplib::Client client("http://" + address);
    const httplib::Result result = client.Get("/admin/counts");
    return nlohmann::json::parse(result->body);
}

class Driver
{
public:
    Driver(const std::string &address, std::string endpoint)
        : stub_(wire::KeeperService::NewStub(
                grpc::CreateChannel("ipv4:" + address, grpc::InsecureChannelCredentials()))),
          endpoint_(std::move(endpoint)), router_(randomHex128())
    {}

    /// \returns whether a reservation was had.
    bool open(int index)
    {
        wire::ReserveRequest request;
        request.set_workspace(Workspace);
        request.set_request(randomHex128());
        request.set_body_hash(randomHex128() + randomHex128());
        request.set_attempt(randomHex128());
        request.set_prompt_tokens(Prompt);
        request.set_output_ceiling(Ceiling);
        request.set_router(router_);
        request.set_model("chat");
        request.set_router_address(endpoint_);
        wire::ReserveReply reply;
        grpc::ClientContext context;
        if (!stub_->Reserve(&context, request, &reply).ok() || !reply.has_reservation()) {
            return false;
        }
        wire::SettleRequest settle;
        settle.set_reservation(reply.reservation().id());
        settle.set_router(router_);
        settle.set_endpoint_address(endpoint_);
        settle.set_engine_stream(fmt::format("stream-{}", index));
        settle.mutable_bill()->set_workspace(Workspace);
        settle.mutable_bill()->set_request(request.request());
        settle.mutable_bill()->set_model("chat");
        settle.mutable_bill()->set_endpoint("engine1");
        settle.set_still_open(true);
        send(settle);
        settle.set_still_open(false);
        settle.set_execution(wire::RAN);
        settle.mutable_bill()->set_prompt_tokens(Prompt);
        settle.mutable_bill()->set_completion_tokens(Generated);
        *settle.mutable_bill()->mutable_draws() = reply.reservation().draws();
        send(settle);
        again_.push_back({std::chrono::steady_clock::now() + SettleAgain, settle});
        return true;
    }
    void settleDue(Instant now)
    {
        while (!again_.empty() && again_.front().at <= now) {
            if (!send(again_.front().settle)) {
                again_.push_back({now + SettleAgain, again_.front().settle});
            }
            again_.pop_front();
        }
    }
    bool done() const { return again_.empty(); }

private:
    struct Again
    {
        Instant at;
        wire::SettleRequest settle;
    };

    /// \returns whether the bill is on the log.
    bool send(const wire::SettleRequest &settle)
    {
        wire::SettleReply reply;
        grpc::ClientContext context;
        return stub_->Settle(&context, settle, &reply).ok() && reply.durable_offset() > 0;
    }

    std::unique_ptr<wire::KeeperService::Stub> stub_;
    std::string endpoint_;
    std::string router_;
    std::deque<Again> again_;
};

FleetShape shapeOfOneDomain(int billFlushMillis)
{
    FleetShape shape;
    shape.hosts = {{"h1", "d1"}, {"h2", "d1"}};
    shape.endpoints = {{"engine1", "d1"}};
    shape.workspaces = {{Workspace, 1'000'000'000}};
    shape.withRouters = false;
    shape.keeperSettings = {{"bill_flush_ms", billFlushMillis}};
    return shape;
}

} // namespace

int main(int argc, char **argv)
{
    const int rate = argc > 1 ? std::atoi(argv[1]) : 24;
    const int requests = argc > 2 ? std::atoi(argv[2]) : 1000;
    const int billFlushMillis = argc > 3 ? std::atoi(argv[3]) : 250;
    Fleet fleet(shapeOfOneDomain(billFlushMillis));
    fleet.waitInForce(0, 1);
    fleet.waitInForce(1, 1);
    CountingRelay relay(fleet.keeper(0).address());
    Driver driver(relay.address(), fleet.endpointAddress("engine1"));
    const pid_t keeper = fleet.keeper(0).id();
    while (!driver.open(0)) {
    }
    const auto idleFrom = processorTime(keeper);
    std::this_thread::sleep_for(IdleTime);
    const auto idle = processorTime(keeper) - idleFrom;
    driver.settleDue(std::chrono::steady_clock::now());

    const nlohmann::json logBefore = logCounts(fleet.logAddress());
    const uint64_t toBefore = relay.toKeeper();
    const uint64_t fromBefore = relay.fromKeeper();
    const auto busyFrom = processorTime(keeper);
    const Instant start = std::chrono::steady_clock::now();
    int refused = 0;
    for (int index = 1; index <= requests; ++index) {
        std::this_thread::sleep_until(start + Interval(Seconds(1)) * index / rate);
        refused += driver.open(index) ? 0 : 1;
        driver.settleDue(std::chrono::steady_clock::now());
    }
    while (!driver.done()) {
        driver.settleDue(std::chrono::steady_clock::now());
        std::this_thread::sleep_for(Millis(20));
    }
    const Interval took = std::chrono::steady_clock::now() - start;
    const auto busy = processorTime(keeper) - busyFrom;
    const nlohmann::json logAfter = logCounts(fleet.logAddress());
    const auto counted = [&](const char *key) {
        return (logAfter[key].get<double>() - logBefore[key].get<double>()) * 1000 / requests;
    };
    const double seconds = std::chrono::duration<double>(took).count();
    using FineMillis = std::chrono::duration<double, std::milli>;
    const double idleShare = FineMillis(idle) / FineMillis(IdleTime);
    const double busyMillis = FineMillis(busy).count() - idleShare * seconds * 1000;
    fmt::print("requests {} at {}/s in {:.1f} s, refused {}\n", requests, rate, seconds, refused);
    fmt::print("keeper idle: {:.2f}% of a core; resident {} KB\n", idleShare * 100,
               residentBytes(keeper) / 1024);
    fmt::print("keeper a request: {:.3f} ms of processor time beyond idle\n",
               busyMillis / requests);
    fmt::print("wire a request: {:.0f} bytes to the keeper, {:.0f} back\n",
               static_cast<double>(relay.toKeeper() - toBefore) / requests,
               static_cast<double>(relay.fromKeeper() - fromBefore) / requests);
    fmt::print("log per 1,000 requests: {:.0f} appends, {:.0f} bytes\n", counted("append_calls"),
               counted("append_bytes"));
    return refused == 0 ? 0 : 1;
}
