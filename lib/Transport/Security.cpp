#include "sequoiagate/Transport/Security.h"

#include <cstdio>
#include <mutex>
#include <string_view>

#include <fmt/format.h>
#include <grpc/support/log.h>
#include <grpcpp/security/tls_certificate_provider.h>
#include <grpcpp/security/tls_certificate_verifier.h>
#include <grpcpp/security/tls_credentials_options.h>
#include <openssl/pem.h>
#include <openssl/x509.h>

#include "Transport/ClockInterceptor.h"
#include "sequoiagate/Service/Program.h"
#include "sequoiagate/Service/Settings.h"

namespace sequoiagate {

namespace {

namespace tls = grpc::experimental;

/// How long a channel waits at most before it tries again to connect. The library's
/// own two minutes would keep hosts apart long after a partition has healed.
constexpr Millis MaximumReconnectWait{2000};
constexpr Millis FirstReconnectWait{200};
/// A connection cut by a partition gives no error: calls on it would fail until TCP
/// gives up, minutes after the partition has healed. Probes find it in seconds.
constexpr Millis KeepaliveTime{10'000};
constexpr Millis KeepaliveTimeout{3000};

/// The library refuses answers above 4 MB. A configuration of hundreds of thousands of
/// workspaces is larger, and a router that can't take it is never ready.
constexpr int LargestAnswer = 512 * 1024 * 1024;

struct FileCloser
{
    void operator()(std::FILE *file) const { std::fclose(file); }
};
struct X509Freer
{
    void operator()(X509 *certificate) const { X509_free(certificate); }
};
struct KeyFreer
{
    void operator()(EVP_PKEY *key) const { EVP_PKEY_free(key); }
};

using File = std::unique_ptr<std::FILE, FileCloser>;
using Certificate = std::unique_ptr<X509, X509Freer>;
using PrivateKey = std::unique_ptr<EVP_PKEY, KeyFreer>;

File openFile(const std::string &setting, const std::string &path)
{
    File file(std::fopen(path.c_str(), "r"));
    if (!file) {
        throw SettingsError(
                fmt::format("key 'tls.{}' is \"{}\"; allowed: a readable PEM file", setting, path));
    }
    return file;
}

Certificate readCertificate(const std::string &setting, const std::string &path)
{
    const File file = openFile(setting, path);
    Certificate certificate(PEM_read_X509(file.get(), nullptr, nullptr, nullptr));
    if (!certificate) {
        throw SettingsError(
                fmt::format("key 'tls.{}' is \"{}\"; allowed: a PEM file that holds a certificate",
                            setting, path));
    }
    return certificate;
}

/// Bad files would otherwise only show as handshakes that fail, one by one.
void checkFiles(const TlsFiles &files)
{
    readCertificate("authority", files.authority);
    const Certificate certificate = readCertificate("certificate", files.certificate);
    const File file = openFile("key", files.key);
    const PrivateKey key(PEM_read_PrivateKey(file.get(), nullptr, nullptr, nullptr));
    const bool fits = key && X509_check_private_key(certificate.get(), key.get()) == 1;
    if (!fits) {
        throw SettingsError(fmt::format("key 'tls.key' is \"{}\"; allowed: a PEM file with the "
                                        "private key of tls.certificate",
                                        files.key));
    }
}

std::optional<TlsFiles> filesFrom(const nlohmann::json &settings)
{
    if (!settings.contains("tls")) {
        return std::nullopt;
    }
    const nlohmann::json schema = nlohmann::json::parse(readShareFile("schemas/tls.json"));
    const nlohmann::json checked =
            checkSettings(settings.at("tls"), schema, "settings object 'tls'");
    TlsFiles files;
    files.certificate = checked.at("certificate").get<std::string>();
    files.key = checked.at("key").get<std::string>();
    files.authority = checked.at("authority").get<std::string>();
    files.reloadPeriod = Seconds(checked.at("reload_s").get<int64_t>());
    checkFiles(files);
    return files;
}

bool isLoopback(const std::string &address)
{
    return address.rfind("127.", 0) == 0;
}

std::shared_ptr<tls::FileWatcherCertificateProvider> watch(const TlsFiles &files)
{
    return std::make_shared<tls::FileWatcherCertificateProvider>(
            files.key, files.certificate, files.authority,
            static_cast<unsigned>(files.reloadPeriod.count()));
}

/// gRPC's errors go to the event log, where a refused peer is seen. The library has
/// one log function a process, so this is where it finds the log.
std::mutex logMutex;
EventLog *logInUse = nullptr;
int logUsers = 0;

/// The library compares a certificate's names with the address called, in vain and
/// without effect here (see Security), and calls that an error at each handshake.
bool isNoise(std::string_view message)
{
    return message.find("No match found for server name") != std::string_view::npos;
}

bool isRefusal(std::string_view message)
{
    return message.find("andshake") != std::string_view::npos;
}

void logFromGrpc(gpr_log_func_args *arguments)
{
    if (arguments->severity != GPR_LOG_SEVERITY_ERROR || isNoise(arguments->message)) {
        return;
    }
    std::lock_guard lock(logMutex);
    if (logInUse == nullptr) {
        return;
    }
    const std::string_view name = isRefusal(arguments->message) ? "security.refused" : "grpc.error";
    logInUse->write(Event(name).with("detail", std::string(arguments->message)));
}

void useLog(EventLog &log)
{
    std::lock_guard lock(logMutex);
    ++logUsers;
    logInUse = &log;
    gpr_set_log_function(logFromGrpc);
}

void leaveLog()
{
    std::lock_guard lock(logMutex);
    --logUsers;
    if (logUsers == 0) {
        logInUse = nullptr;
    }
}

} // namespace

Security::Security(const nlohmann::json &settings, EventLog &log)
    : log_(log), files_(filesFrom(settings))
{
    useLog(log_);
    if (files_) {
        certificates_ = watch(*files_);
    }
}

Security::~Security()
{
    leaveLog();
}

void Security::announcePlaintext()
{
    if (!announced_.exchange(true)) {
        log_.write(Event("security.plaintext").with("detail", "no tls settings: loopback only"));
    }
}

std::shared_ptr<grpc::ServerCredentials> Security::serverCredentials(const std::string &address)
{
    if (!files_) {
        if (!isLoopback(address)) {
            throw SettingsError(fmt::format(
                    "plaintext would be served at {}; allowed: loopback, or any with 'tls'",
                    address));
        }
        announcePlaintext();
        return grpc::InsecureServerCredentials();
    }
    tls::TlsServerCredentialsOptions options(certificates_);
    options.watch_root_certs();
    options.watch_identity_key_cert_pairs();
    options.set_cert_request_type(GRPC_SSL_REQUEST_AND_REQUIRE_CLIENT_CERTIFICATE_AND_VERIFY);
    options.set_certificate_verifier(std::make_shared<tls::NoOpCertificateVerifier>());
    options.set_check_call_host(false);
    return tls::TlsServerCredentials(options);
}

void Security::prepareServer(grpc::ServerBuilder &builder)
{
    builder.experimental().SetInterceptorCreators(serverClock(log_));
    const auto shortestPing = static_cast<int>(KeepaliveTime.count() / 2);
    builder.AddChannelArgument(GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS, shortestPing);
    builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_TIME_MS, static_cast<int>(KeepaliveTime.count()));
    builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_TIMEOUT_MS,
                               static_cast<int>(KeepaliveTimeout.count()));
}

std::shared_ptr<grpc::ChannelCredentials> Security::channelCredentials(const std::string &address)
{
    if (!files_) {
        announcePlaintext();
        if (isLoopback(address)) {
            return grpc::InsecureChannelCredentials();
        }
        // Without credentials the channel fails each call. Gossip names the address,
        // so it must not end this process.
        log_.write(Event("security.refused")
                           .with("detail", "plaintext beyond loopback")
                           .with("address", address));
        return nullptr;
    }
    tls::TlsChannelCredentialsOptions options;
    options.set_certificate_provider(certificates_);
    options.watch_root_certs();
    options.watch_identity_key_cert_pairs();
    options.set_verify_server_certs(true);
    options.set_certificate_verifier(std::make_shared<tls::NoOpCertificateVerifier>());
    options.set_check_call_host(false);
    return tls::TlsCredentials(options);
}

std::shared_ptr<grpc::Channel> Security::channel(const std::string &address)
{
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS,
                     static_cast<int>(FirstReconnectWait.count()));
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS,
                     static_cast<int>(MaximumReconnectWait.count()));
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS,
                     static_cast<int>(MaximumReconnectWait.count()));
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, static_cast<int>(KeepaliveTime.count()));
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, static_cast<int>(KeepaliveTimeout.count()));
    arguments.SetMaxReceiveMessageSize(LargestAnswer);
    return tls::CreateCustomChannelWithInterceptors("ipv4:" + address, channelCredentials(address),
                                                    arguments, clientClock(log_));
}

} // namespace sequoiagate
