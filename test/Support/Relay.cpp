#include "test/Support/Relay.h"

#include <fcntl.h>

#include <future>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>

namespace sequoiagate::soak {

using boost::asio::ip::tcp;
using boost::asio::ip::udp;
using boost::system::error_code;

namespace {

/// How often a direction that is held looks whether it still is.
constexpr std::chrono::milliseconds HeldPoll(10);

template <typename Endpoint>
Endpoint parseAddress(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    return Endpoint(boost::asio::ip::make_address(text.substr(0, colon)),
                    static_cast<unsigned short>(std::stoi(text.substr(colon + 1))));
}

template <typename Endpoint>
std::string addressText(const Endpoint &endpoint)
{
    return fmt::format("{}:{}", endpoint.address().to_string(), endpoint.port());
}

/// Runs \p job on the loop's thread and waits for it.
template <typename Job>
void runOn(boost::asio::io_context &io, Job job)
{
    std::promise<void> done;
    boost::asio::post(io, [&job, &done] {
        job();
        done.set_value();
    });
    done.get_future().wait();
}

/// A child that inherits a socket would keep it open when this process closes it.
template <typename Socket>
void keepFromChildren(Socket &socket)
{
    ::fcntl(socket.native_handle(), F_SETFD, FD_CLOEXEC);
}

} // namespace

RelayLoop::RelayLoop() : work_(io_.get_executor()), thread_([this] { io_.run(); }) {}

RelayLoop::~RelayLoop()
{
    io_.stop();
    thread_.join();
}

/// A caller's connection and the one that was made for it.
struct TcpRelay::Pair
{
    explicit Pair(tcp::socket accepted)
        : near(std::move(accepted)), far(near.get_executor()), forthTimer(near.get_executor()),
          backTimer(near.get_executor())
    {}

    tcp::socket near;
    tcp::socket far;
    boost::asio::steady_timer forthTimer;
    boost::asio::steady_timer backTimer;
    std::array<char, 16384> forthBytes{};
    std::array<char, 16384> backBytes{};

    tcp::socket &from(bool forth) { return forth ? near : far; }
    tcp::socket &to(bool forth) { return forth ? far : near; }
    boost::asio::steady_timer &timer(bool forth) { return forth ? forthTimer : backTimer; }
    std::array<char, 16384> &bytes(bool forth) { return forth ? forthBytes : backBytes; }
};

TcpRelay::TcpRelay(RelayLoop &loop, const std::string &ip, const std::string &target)
    : loop_(loop), acceptor_(loop.io(), tcp::endpoint(boost::asio::ip::make_address(ip), 0)),
      listen_(acceptor_.local_endpoint()), target_(parseAddress<tcp::endpoint>(target))
{
    keepFromChildren(acceptor_);
    runOn(loop_.io(), [this] { accept(); });
}

TcpRelay::~TcpRelay()
{
    resetAll();
    runOn(loop_.io(), [this] { acceptor_.close(); });
    runOn(loop_.io(), [] {}); // the handlers that this cancelled have run
}

std::string TcpRelay::address() const
{
    return addressText(listen_);
}

void TcpRelay::listen()
{
    acceptor_ = tcp::acceptor(loop_.io());
    acceptor_.open(tcp::v4());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    keepFromChildren(acceptor_);
    acceptor_.bind(listen_);
    acceptor_.listen();
    accept();
}

void TcpRelay::fillBacklog()
{
    // The kernel drops the opening packets of further connections once the queue is full.
    error_code ignored;
    acceptor_.cancel(ignored);
    acceptor_.listen(0, ignored);
    constexpr int MoreThanFit = 4;
    for (int i = 0; i < MoreThanFit; ++i) {
        tcp::socket &socket = backlog_.emplace_back(loop_.io());
        socket.open(tcp::v4());
        socket.async_connect(listen_, [](const error_code &) {});
    }
}

void TcpRelay::setCut(RelayCut cut)
{
    if (cut == RelayCut::Reset) {
        resetAll();
    }
    faults_.holdForth = cut == RelayCut::Hang;
    faults_.holdBack = cut == RelayCut::Hang;
    runOn(loop_.io(), [this, cut] {
        const RelayCut before = std::exchange(cut_, cut);
        if (before == cut) {
            return;
        }
        backlog_.clear();
        error_code ignored;
        if (cut == RelayCut::Hang) {
            fillBacklog();
        } else if (cut == RelayCut::None && before == RelayCut::Hang) {
            acceptor_.listen(boost::asio::socket_base::max_listen_connections, ignored);
            accept();
        } else if (cut == RelayCut::None) {
            listen();
        } else {
            acceptor_.close(ignored);
        }
    });
}

void TcpRelay::setSource(const std::string &ip)
{
    runOn(loop_.io(), [this, &ip] { source_ = boost::asio::ip::make_address(ip); });
}

void TcpRelay::resetAll()
{
    runOn(loop_.io(), [this] {
        for (const std::weak_ptr<Pair> &weak : pairs_) {
            if (const std::shared_ptr<Pair> pair = weak.lock()) {
                reset(pair);
            }
        }
        pairs_.clear();
    });
}

void TcpRelay::reset(const std::shared_ptr<Pair> &pair)
{
    error_code ignored;
    for (tcp::socket *socket : {&pair->near, &pair->far}) {
        socket->set_option(boost::asio::socket_base::linger(true, 0), ignored);
        socket->close(ignored);
    }
    pair->forthTimer.cancel();
    pair->backTimer.cancel();
}

void TcpRelay::accept()
{
    acceptor_.async_accept([this](const error_code &error, tcp::socket socket) {
        if (error) {
            return;
        }
        const auto pair = std::make_shared<Pair>(std::move(socket));
        pairs_.remove_if([](const std::weak_ptr<Pair> &old) { return old.expired(); });
        pairs_.push_back(pair);
        error_code ignored;
        pair->far.open(tcp::v4(), ignored);
        keepFromChildren(pair->near);
        keepFromChildren(pair->far);
        if (!source_.is_unspecified()) {
            pair->far.bind(tcp::endpoint(source_, 0), ignored);
        }
        pair->far.async_connect(target_, [this, pair](const error_code &failed) {
            if (failed) {
                reset(pair);
                return;
            }
            pair->near.set_option(tcp::no_delay(true));
            pair->far.set_option(tcp::no_delay(true));
            pump(pair, true);
            pump(pair, false);
        });
        accept();
    });
}

void TcpRelay::pump(const std::shared_ptr<Pair> &pair, bool forth)
{
    pair->from(forth).async_read_some(
            boost::asio::buffer(pair->bytes(forth)),
            [this, pair, forth](const error_code &error, std::size_t bytes) {
                if (error == boost::asio::error::operation_aborted) {
                    return;
                }
                if (error && error != boost::asio::error::eof) {
                    reset(pair);
                    return;
                }
                // An end of the stream is carried like bytes: held, or later.
                const std::chrono::milliseconds delay(faults_.delayMs);
                pair->timer(forth).expires_after(delay);
                pair->timer(forth).async_wait([this, pair, forth, bytes](const error_code &ended) {
                    if (!ended) {
                        forward(pair, forth, bytes);
                    }
                });
            });
}

void TcpRelay::forward(const std::shared_ptr<Pair> &pair, bool forth, std::size_t bytes)
{
    const bool held = forth ? faults_.holdForth : faults_.holdBack;
    if (!held) {
        carry(pair, forth, bytes);
        return;
    }
    pair->timer(forth).expires_after(HeldPoll);
    pair->timer(forth).async_wait([this, pair, forth, bytes](const error_code &ended) {
        if (!ended) {
            forward(pair, forth, bytes);
        }
    });
}

void TcpRelay::carry(const std::shared_ptr<Pair> &pair, bool forth, std::size_t bytes)
{
    if (bytes == 0) {
        error_code ignored;
        pair->to(forth).shutdown(tcp::socket::shutdown_send, ignored);
        return;
    }
    boost::asio::async_write(pair->to(forth), boost::asio::buffer(pair->bytes(forth), bytes),
                             [this, pair, forth](const error_code &error, std::size_t) {
                                 if (error == boost::asio::error::operation_aborted) {
                                     return;
                                 }
                                 if (error) {
                                     reset(pair);
                                     return;
                                 }
                                 pump(pair, forth);
                             });
}

struct UdpRelay::Way
{
    Way(boost::asio::io_context &io, const std::string &ip, udp::endpoint of)
        : socket(io, udp::endpoint(boost::asio::ip::make_address(ip), 0)), sender(std::move(of))
    {}

    udp::socket socket;
    udp::endpoint sender;
    udp::endpoint answerer;
    std::array<char, 65536> buffer{};
};

UdpRelay::UdpRelay(RelayLoop &loop, const std::string &ip, const std::string &target)
    : io_(loop.io()), socket_(loop.io(), udp::endpoint(boost::asio::ip::make_address(ip), 0)),
      target_(parseAddress<udp::endpoint>(target))
{
    runOn(io_, [this] { receive(); });
}

UdpRelay::~UdpRelay()
{
    runOn(io_, [this] {
        socket_.close();
        for (const auto &[sender, way] : ways_) {
            way->socket.close();
        }
    });
    runOn(io_, [] {});
}

std::string UdpRelay::address() const
{
    return addressText(socket_.local_endpoint());
}

bool UdpRelay::passes(bool forth)
{
    const bool held = forth ? faults_.holdForth : faults_.holdBack;
    constexpr unsigned Hundred = 100;
    return !held && static_cast<int>(random_() % Hundred) >= faults_.lossPercent;
}

void UdpRelay::receive()
{
    socket_.async_receive_from(
            boost::asio::buffer(buffer_), sender_,
            [this](const error_code &error, std::size_t bytes) {
                if (error == boost::asio::error::operation_aborted || !socket_.is_open()) {
                    return;
                }
                if (!error && passes(true)) {
                    std::shared_ptr<Way> &way = ways_[sender_];
                    if (!way) {
                        way = std::make_shared<Way>(
                                io_, socket_.local_endpoint().address().to_string(), sender_);
                        receiveBack(way);
                    }
                    error_code lost;
                    way->socket.send_to(boost::asio::buffer(buffer_, bytes), target_, 0, lost);
                }
                receive();
            });
}

void UdpRelay::receiveBack(const std::shared_ptr<Way> &way)
{
    way->socket.async_receive_from(
            boost::asio::buffer(way->buffer), way->answerer,
            [this, way](const error_code &error, std::size_t bytes) {
                if (error == boost::asio::error::operation_aborted || !way->socket.is_open()) {
                    return;
                }
                if (!error && passes(false)) {
                    error_code lost;
                    socket_.send_to(boost::asio::buffer(way->buffer, bytes), way->sender, 0, lost);
                }
                receiveBack(way);
            });
}

} // namespace sequoiagate::soak
