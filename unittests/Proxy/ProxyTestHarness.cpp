#include "ProxyTestHarness.h"

#include <algorithm>

#include <absl/strings/str_replace.h>
#include <boost/asio/write.hpp>
#include <fmt/format.h>

#include "sequoiagate/Service/Program.h"

namespace sequoiagate {

using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

tcp::endpoint loopback()
{
    return {boost::asio::ip::address_v4::loopback(), 0};
}

std::shared_ptr<ServingConfig> makeConfig(Interval idleTimeout)
{
    auto config = std::make_shared<ServingConfig>();
    config->version = 1;
    config->limits.idleTimeout = idleTimeout;
    config->limits.maxHeaderBytes = 2 * 1024;
    const auto route = [](const char *name, RouteKind kind) {
        Route result;
        result.name = name;
        result.host = "h.example";
        result.pathPrefix = fmt::format("/{}/", name);
        result.kind = kind;
        result.services = {{ServiceId("s"), 1}};
        result.timeout = std::chrono::seconds(5);
        // Long, so that no result depends on the speed of the machine.
        result.latencyTarget = std::chrono::seconds(2);
        result.eventGapTarget = std::chrono::seconds(2);
        result.maxAttempts = 2;
        return result;
    };
    config->routes = {route("get", RouteKind::Idempotent), route("once", RouteKind::NonIdempotent),
                      route("stream", RouteKind::Stream), route("resume", RouteKind::Stream),
                      route("short", RouteKind::NonIdempotent)};
    config->routes[3].resumable = true;
    config->routes[4].timeout = std::chrono::milliseconds(50);
    ServiceSpec service;
    service.name = ServiceId("s");
    service.isModelEngine = true;
    service.tokensPerEvent = 4;
    config->services = {service};
    WorkspaceSpec workspace;
    workspace.name = WorkspaceId("w");
    workspace.keys = {"key"};
    workspace.isPrepaid = true;
    workspace.prepaidTokens = 1'000'000;
    config->workspaces = {workspace};
    config->buildIndexes();
    return config;
}

} // namespace

struct ScriptedEndpoint::Connection
{
    explicit Connection(tcp::socket accepted)
        : socket(std::move(accepted)), reader(HttpReaderLimits())
    {}

    tcp::socket socket;
    RequestReader reader;
    std::array<char, 4096> buffer;
};

ScriptedEndpoint::ScriptedEndpoint(boost::asio::io_context &io, std::vector<Reply> replies)
    : acceptor_(io, loopback()), replies_(std::move(replies))
{
    accept();
}

ScriptedEndpoint::~ScriptedEndpoint()
{
    *isAlive_ = false;
}

void ScriptedEndpoint::accept()
{
    acceptor_.async_accept([this](const error_code &error, tcp::socket socket) {
        if (error) {
            return;
        }
        connections_.push_back(std::make_shared<Connection>(std::move(socket)));
        read(connections_.back());
        accept();
    });
}

void ScriptedEndpoint::read(const std::shared_ptr<Connection> &connection)
{
    connection->socket.async_read_some(
            boost::asio::buffer(connection->buffer),
            [this, connection, isAlive = isAlive_](const error_code &error, std::size_t bytes) {
                if (!*isAlive) {
                    return;
                }
                if (error) {
                    closedByPeer_ += error != boost::asio::error::operation_aborted ? 1 : 0;
                    return;
                }
                connection->reader.feed(std::string_view(connection->buffer.data(), bytes));
                if (connection->reader.done()) {
                    answer(connection);
                }
                if (connection->socket.is_open()) {
                    read(connection);
                }
            });
}

void ScriptedEndpoint::answer(const std::shared_ptr<Connection> &connection)
{
    CallerRequest request;
    request.head = connection->reader.head();
    request.body = connection->reader.takeBody();
    connection->reader.~RequestReader();
    new (&connection->reader) RequestReader(HttpReaderLimits());
    received_.push_back(request);
    if (replies_.empty()) {
        return;
    }
    const Reply reply = replies_.front();
    replies_.erase(replies_.begin());
    const std::string *id = findField(request.head.fields, "Request-Id");
    const std::string bytes =
            absl::StrReplaceAll(reply.bytes, {{"{id}", id == nullptr ? "" : *id}});
    error_code ignored;
    boost::asio::write(connection->socket, boost::asio::buffer(bytes), ignored);
    if (!reply.later.empty()) {
        sendLater(connection,
                  absl::StrReplaceAll(reply.later, {{"{id}", id == nullptr ? "" : *id}}),
                  std::chrono::steady_clock::now() + reply.silence);
    }
    if (reply.then == AfterReply::Exit) {
        stopListening();
        connection->socket.close(ignored);
    }
    if (reply.then == AfterReply::Reset) {
        connection->socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    }
    if (reply.then == AfterReply::Reset || reply.then == AfterReply::Close) {
        connection->socket.close(ignored);
    }
}

void ScriptedEndpoint::sendLater(const std::shared_ptr<Connection> &connection,
                                 const std::string &bytes, Instant at)
{
    const auto timer = std::make_shared<boost::asio::steady_timer>(acceptor_.get_executor(), at);
    const auto sent = std::make_shared<std::string>(bytes);
    timer->async_wait([connection, sent, timer, isAlive = isAlive_](const error_code &error) {
        if (!error && *isAlive) {
            // Not at once: the proxy reads on the same thread.
            boost::asio::async_write(connection->socket, boost::asio::buffer(*sent),
                                     [connection, sent](const error_code &, std::size_t) {});
        }
    });
}

PlacementResult OrderedPlacement::place(const WorkItem &item, const std::vector<PromptPart> &,
                                        const std::vector<EndpointId> &tried, Instant now)
{
    for (const PlacementTarget &placed : endpoints) {
        const bool isSuitable = !item.version || *item.version == placed.version;
        if (isSuitable && std::find(tried.begin(), tried.end(), placed.endpoint) == tried.end()) {
            return placed;
        }
    }
    return Verdict{Execution::NotRun, Reason::NoEndpoint, "none is left", now};
}

ReservationTicket
FakeTokenReservations::reserve(const ReservationRequest &request,
                               std::function<void(std::optional<Verdict>)> handler)
{
    last = request;
    if (isDelayed) {
        isDelayed = false;
        delayed = [this, request, handler] {
            reserve(request, handler);
        };
        return 1;
    }
    if (request.tokens > usable) {
        handler(Verdict{Execution::NotRun, Reason::BudgetSpent, "spent", request.deadline});
        return 0;
    }
    usable -= request.tokens;
    reserved += request.tokens;
    handler(std::nullopt);
    return 0;
}

std::optional<Verdict> FakePromptGuard::refusal(const ServiceId &,
                                                const std::vector<PromptPart> &prompt, Instant now)
{
    const bool isKnown =
            quarantined != 0
            && std::any_of(prompt.begin(), prompt.end(),
                           [this](const PromptPart &part) { return part.id == quarantined; });
    if (!isKnown || refuseAfter-- > 0) {
        return std::nullopt;
    }
    return Verdict{Execution::NotRun, Reason::PromptQuarantined, "quarantined",
                   now + std::chrono::minutes(1)};
}

std::optional<Verdict> FakeRequestGuard::refusal(const RequestIdentity &identity, Instant now)
{
    asked.push_back(identity);
    if (lost.size() < lossesToRefuse) {
        return std::nullopt;
    }
    return Verdict{Execution::NotRun, Reason::RequestQuarantined, "lost",
                   now + std::chrono::minutes(1)};
}

void FakeStreamOrigins::find(const ServiceId &, const RequestId &first, Instant,
                             std::function<void(const StreamOrigin &)> handler)
{
    const auto known = origins.find(first);
    StreamOrigin origin;
    if (known != origins.end()) {
        origin.source = OriginSource::Own;
        origin.version = known->second;
    }
    handler(origin);
}

void FakeTokenReservations::settle(const WorkspaceId &, uint64_t reservedTokens,
                                   uint64_t spentTokens)
{
    reserved -= reservedTokens;
    usable += reservedTokens - spentTokens;
    spent += spentTokens;
    ++settled;
}

ProxyTestHarness::ProxyTestHarness(std::vector<std::vector<Reply>> scripts,
                                   ProxyTestSettings settings)
    : config(makeConfig(settings.idleTimeout)),
      chart_(Statechart::parse(readShareFile("statecharts/exchange.json"))),
      logFile_(std::tmpfile()),
      log_({"test", HostId("h"), DomainId("d"), Incarnation("i")}, logFile_),
      pool_(io, {}), context_{io,
                              dialect,
                              chart_,
                              pool_,
                              placement,
                              tokenReservations,
                              streamOrigins,
                              prompts,
                              requests,
                              link,
                              log_,
                              metrics_,
                              [this] { return ServingConfigPtr(config); },
                              [this] { return config && configIsCurrent; },
                              [this] {
                                  return stopping;
                              }},
      caller_(io)
{
    if (settings.memoryBytes > 0) {
        buffers.emplace(BufferBudgetSettings::forProcess(settings.memoryBytes));
        context_.buffers = &*buffers;
    }
    for (std::size_t i = 0; i < scripts.size(); ++i) {
        endpoints.push_back(std::make_unique<ScriptedEndpoint>(io, std::move(scripts[i])));
        placement.endpoints.push_back(
                {EndpointId(fmt::format("e{}", i)), endpoints[i]->address(), "order"});
    }
    tcp::socket accepted = connectCaller(caller_, settings.isCallerSlow);
    boost::asio::write(caller_, boost::asio::buffer(settings.sentBefore));
    connection_ = std::make_shared<CallerConnection>(
            context_, std::move(accepted), [](const std::shared_ptr<CallerConnection> &) {});
    connection_->start();
    if (!settings.isCallerSlow) {
        readAsCaller();
    }
}

ProxyTestHarness::~ProxyTestHarness()
{
    connection_->forceClose();
    for (const std::shared_ptr<CallerConnection> &connection : unreadConnections_) {
        connection->forceClose();
    }
    error_code ignored;
    caller_.close(ignored);
    endpoints.clear();
    io.restart();
    io.poll();
    std::fclose(logFile_);
}

tcp::socket ProxyTestHarness::connectCaller(tcp::socket &caller, bool isSlow)
{
    tcp::acceptor acceptor(io, loopback());
    caller.open(tcp::v4());
    constexpr int SmallBufferBytes = 4096;
    if (isSlow) {
        caller.set_option(boost::asio::socket_base::receive_buffer_size(SmallBufferBytes));
    }
    caller.connect(acceptor.local_endpoint());
    tcp::socket accepted = acceptor.accept();
    if (isSlow) {
        accepted.set_option(boost::asio::socket_base::send_buffer_size(SmallBufferBytes));
    }
    return accepted;
}

tcp::socket &ProxyTestHarness::addUnreadCaller(const std::string &bytes)
{
    tcp::socket &caller = *unreadCallers_.emplace_back(std::make_unique<tcp::socket>(io));
    tcp::socket accepted = connectCaller(caller, true);
    unreadConnections_.push_back(std::make_shared<CallerConnection>(
            context_, std::move(accepted), [](const std::shared_ptr<CallerConnection> &) {}));
    unreadConnections_.back()->start();
    boost::asio::write(caller, boost::asio::buffer(bytes));
    return caller;
}

void ProxyTestHarness::send(const std::string &bytes)
{
    boost::asio::write(caller_, boost::asio::buffer(bytes));
}

std::size_t ProxyTestHarness::sendWhileTaken(std::size_t limit)
{
    constexpr Interval MaxPause = std::chrono::milliseconds(200);
    const std::string piece(64 * 1024, 'x');
    caller_.non_blocking(true);
    std::size_t sent = 0;
    Instant pausesUntil = std::chrono::steady_clock::now() + MaxPause;
    while (sent < limit && std::chrono::steady_clock::now() < pausesUntil) {
        error_code error;
        const std::size_t bytes = caller_.write_some(
                boost::asio::buffer(piece.data(), std::min(piece.size(), limit - sent)), error);
        sent += bytes;
        if (bytes > 0) {
            pausesUntil = std::chrono::steady_clock::now() + MaxPause;
        }
        io.restart();
        io.run_one_for(std::chrono::milliseconds(1));
    }
    return sent;
}

void ProxyTestHarness::readAsCaller()
{
    caller_.async_read_some(boost::asio::buffer(buffer_),
                            [this](const error_code &error, std::size_t bytes) {
                                if (error) {
                                    closed_ = true;
                                    wasReset_ = error == boost::asio::error::connection_reset;
                                    return;
                                }
                                callerReceived_.append(buffer_.data(), bytes);
                                readAsCaller();
                            });
}

bool ProxyTestHarness::waitUntil(const std::function<bool()> &condition)
{
    // Only ends a test that has failed already; no result depends on it.
    const Instant limit = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!condition()) {
        if (std::chrono::steady_clock::now() > limit) {
            return false;
        }
        io.restart();
        io.run_one_for(std::chrono::milliseconds(50));
    }
    return true;
}

bool ProxyTestHarness::waitFor(const std::string &text)
{
    // Only what is new is searched: a search of megabytes after each read outlasts the request's
    // deadline under a sanitizer.
    std::size_t searched = 0;
    bool isFound = false;
    const auto search = [this, &text, &searched, &isFound] {
        isFound = isFound || callerReceived_.find(text, searched) != std::string::npos;
        searched = callerReceived_.size() - std::min(callerReceived_.size(), text.size());
        return isFound;
    };
    waitUntil([this, &search] { return search() || closed_; });
    return isFound;
}

bool ProxyTestHarness::waitForClose()
{
    return waitUntil([this] { return closed_; });
}

void ProxyTestHarness::closeCaller()
{
    error_code ignored;
    caller_.close(ignored);
    closed_ = true;
}

void ProxyTestHarness::reset()
{
    error_code ignored;
    caller_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    closeCaller();
}

std::size_t ProxyTestHarness::countLogLines(const std::string &text) const
{
    std::size_t count = 0;
    std::rewind(logFile_);
    std::array<char, 4096> line{};
    while (std::fgets(line.data(), static_cast<int>(line.size()), logFile_) != nullptr) {
        count += std::string_view(line.data()).find(text) != std::string_view::npos ? 1 : 0;
    }
    std::fseek(logFile_, 0, SEEK_END);
    return count;
}

std::string ProxyTestHarness::request(const std::string &path, const std::string &id,
                                      const std::string &extra)
{
    return fmt::format("POST {} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {}\r\n"
                       "Deadline-Ms: 4000\r\nAuthorization: Token key\r\nToken-Count: 100,40\r\n"
                       "{}Content-Length: 2\r\n\r\nhi",
                       path, id, extra);
}

} // namespace sequoiagate
