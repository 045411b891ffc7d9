#ifndef TEST_SUPPORT_RELAY_H
#define TEST_SUPPORT_RELAY_H

/// Relays on loopback between the programs and what they talk to. They delay, hold back one
/// or both directions, reset and lose, and know nothing of what they carry.

#include <array>
#include <atomic>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "sequoiagate/Base/Time.h"

namespace sequoiagate::soak {

/// The thread on which all relays of a soak run.
class RelayLoop
{
public:
    RelayLoop();
    ~RelayLoop();

    boost::asio::io_context &io() { return io_; }

private:
    boost::asio::io_context io_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    std::thread thread_;
};

/// What a relay does to what it carries. Set from any thread.
struct RelayFaults
{
    std::atomic<int> delayMs{0};
    std::atomic<bool> holdForth{false}; ///< from who connected; held bytes come later
    std::atomic<bool> holdBack{false};
    std::atomic<int> lossPercent{0}; ///< of datagrams
};

/// How a relay cuts those who connect to it off from its target.
enum class RelayCut {
    None,
    Hang,      ///< open connections carry nothing, new ones aren't established
    Reset,     ///< open connections are reset, new ones refused
    RefuseNew, ///< open connections go on, new ones are refused
};

class TcpRelay
{
public:
    /// Listens at \p ip on a port of the kernel's choice and carries to \p target, "IP:port".
    TcpRelay(RelayLoop &loop, const std::string &ip, const std::string &target);
    ~TcpRelay();

    std::string address() const;
    RelayFaults &faults() { return faults_; }
    /// New connections to the target come from \p ip. Thread safe.
    void setSource(const std::string &ip);
    /// Resets all connections. Thread safe.
    void resetAll();
    /// Begins a cut, or ends it with RelayCut::None. Thread safe.
    void setCut(RelayCut cut);

private:
    struct Pair;

    void accept();
    void listen();
    void fillBacklog();
    void pump(const std::shared_ptr<Pair> &pair, bool forth);
    void forward(const std::shared_ptr<Pair> &pair, bool forth, std::size_t bytes);
    void carry(const std::shared_ptr<Pair> &pair, bool forth, std::size_t bytes);
    static void reset(const std::shared_ptr<Pair> &pair);

    RelayLoop &loop_;
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::ip::tcp::endpoint listen_;
    RelayCut cut_ = RelayCut::None;
    std::list<boost::asio::ip::tcp::socket> backlog_; ///< fill the queue of new connections
    boost::asio::ip::tcp::endpoint target_;
    boost::asio::ip::address source_;
    std::list<std::weak_ptr<Pair>> pairs_;
    RelayFaults faults_;
};

class UdpRelay
{
public:
    /// Carries what comes to an address at \p ip on to \p target, and answers back.
    UdpRelay(RelayLoop &loop, const std::string &ip, const std::string &target);
    ~UdpRelay();

    std::string address() const;
    RelayFaults &faults() { return faults_; }

private:
    /// Stands for one sender towards the target.
    struct Way;

    void receive();
    void receiveBack(const std::shared_ptr<Way> &way);
    /// \returns whether a datagram is to be carried now; it is lost else.
    bool passes(bool forth);

    boost::asio::io_context &io_;
    boost::asio::ip::udp::socket socket_;
    boost::asio::ip::udp::endpoint target_;
    boost::asio::ip::udp::endpoint sender_;
    std::array<char, 65536> buffer_{};
    std::map<boost::asio::ip::udp::endpoint, std::shared_ptr<Way>> ways_;
    std::minstd_rand random_{1};
    RelayFaults faults_;
};

} // namespace sequoiagate::soak

#endif
