#ifndef SEQUOIAGATE_STANDINS_HTTPSTANDIN_H
#define SEQUOIAGATE_STANDINS_HTTPSTANDIN_H

/// What all stand-ins share: an HTTP server on a port that the kernel chooses,
/// with its own threads. docs/Platform.md gives the protocols.

#include <memory>
#include <string>
#include <thread>

#include <httplib.h>
#include <nlohmann/json.hpp>

namespace sequoiagate {

/// A server that listens from start() to stop(). start and stop: one thread.
class HttpStandin
{
public:
    /// \param workers threads that serve; an open stream holds one.
    HttpStandin(const std::string &ip, int port, std::size_t workers);
    ~HttpStandin();

    httplib::Server &server() { return server_; }
    /// \throws std::runtime_error if the address can't be bound.
    void start();
    void stop();
    /// IP:port as bound. \pre started.
    const std::string &address() const { return address_; }

private:
    std::string ip_;
    int port_;
    std::string address_;
    httplib::Server server_;
    std::thread thread_;
};

/// Answers \p status with a JSON body.
void answerJson(httplib::Response &response, const nlohmann::json &body, int status = 200);
/// The request's JSON object; an empty object if the body is none.
nlohmann::json jsonBody(const httplib::Request &request);

} // namespace sequoiagate

#endif
