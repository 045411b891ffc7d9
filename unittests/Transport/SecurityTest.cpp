#include "sequoiagate/Transport/Security.h"

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <memory>
#include <thread>
#include <vector>

#include <fmt/format.h>
#include <grpc/grpc.h>
#include <gtest/gtest.h>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509.h>
#include <openssl/x509v3.h>

#include "proto/keeper.grpc.pb.h"

#include "sequoiagate/Service/Settings.h"

using namespace sequoiagate;

namespace {

constexpr Seconds PatienceLimit{30};

/// Ends gRPC's threads before the process exits. One that ends behind OpenSSL's exit handler leaks
/// its random generator.
class GrpcThreads : public testing::Environment
{
public:
    void SetUp() override { grpc_init(); }
    void TearDown() override { grpc_shutdown_blocking(); }
};

const auto *const Threads = testing::AddGlobalTestEnvironment(new GrpcThreads);

/// A certificate and its key, made in the test.
struct Identity
{
    std::shared_ptr<EVP_PKEY> key;
    std::shared_ptr<X509> certificate;
};

/// Makes a certificate for \p name, signed by \p signer or by itself.
Identity makeIdentity(const std::string &name, const Identity *signer, long serial)
{
    constexpr long Day = 24 * 3600;
    const Identity made{{EVP_EC_gen("P-256"), EVP_PKEY_free}, {X509_new(), X509_free}};
    X509 *const certificate = made.certificate.get();
    X509_set_version(certificate, 2);
    ASN1_INTEGER_set(X509_get_serialNumber(certificate), serial);
    X509_gmtime_adj(X509_getm_notBefore(certificate), -Day);
    X509_gmtime_adj(X509_getm_notAfter(certificate), Day);
    X509_set_pubkey(certificate, made.key.get());
    X509_NAME *subject = X509_get_subject_name(certificate);
    const auto *text = reinterpret_cast<const unsigned char *>(name.c_str());
    X509_NAME_add_entry_by_txt(subject, "CN", MBSTRING_UTF8, text, -1, -1, 0);
    if (signer == nullptr) {
        X509_EXTENSION *mark =
                X509V3_EXT_conf_nid(nullptr, nullptr, NID_basic_constraints, "critical,CA:TRUE");
        X509_add_ext(certificate, mark, -1);
        X509_EXTENSION_free(mark);
    }
    const Identity &by = signer == nullptr ? made : *signer;
    X509_set_issuer_name(certificate, X509_get_subject_name(by.certificate.get()));
    X509_sign(certificate, by.key.get(), EVP_sha256());
    return made;
}

/// Writes a file whole, by rename, as operators are asked to.
template <typename Write>
void replaceFile(const std::string &path, const Write &write)
{
    const std::string draft = path + ".new";
    std::FILE *file = std::fopen(draft.c_str(), "w");
    write(file);
    std::fclose(file);
    std::filesystem::rename(draft, path);
}

/// The three files of one process.
class TlsFolder
{
public:
    explicit TlsFolder(const std::string &name) : path_(testing::TempDir() + "/tls-" + name)
    {
        std::filesystem::create_directories(path_);
    }

    void install(const Identity &authority, const Identity &own) const
    {
        install(std::vector<Identity>{authority}, own);
    }

    void install(const std::vector<Identity> &authorities, const Identity &own) const
    {
        replaceFile(file("authority.pem"), [&](std::FILE *f) {
            for (const Identity &authority : authorities) {
                PEM_write_X509(f, authority.certificate.get());
            }
        });
        replaceFile(file("key.pem"), [&](std::FILE *f) {
            PEM_write_PrivateKey(f, own.key.get(), nullptr, nullptr, 0, nullptr, nullptr);
        });
        replaceFile(file("certificate.pem"),
                    [&](std::FILE *f) { PEM_write_X509(f, own.certificate.get()); });
    }

    nlohmann::json settings() const
    {
        return {{"tls",
                 {{"authority", file("authority.pem")},
                  {"key", file("key.pem")},
                  {"certificate", file("certificate.pem")},
                  {"reload_s", 1}}}};
    }

    std::string file(const std::string &name) const { return path_ + "/" + name; }

private:
    std::string path_;
};

/// What stands in a log so far.
class LogFile
{
public:
    explicit LogFile(const std::string &name)
        : path_(testing::TempDir() + "/" + name), file_(std::fopen(path_.c_str(), "w")),
          log_({"test", HostId("h1"), DomainId("d1"), Incarnation("i1")}, file_)
    {}
    ~LogFile() { std::fclose(file_); }
    LogFile(const LogFile &) = delete;
    LogFile &operator=(const LogFile &) = delete;

    EventLog &log() { return log_; }
    std::string text() const
    {
        std::ifstream file(path_);
        return std::string(std::istreambuf_iterator<char>(file), {});
    }

private:
    std::string path_;
    std::FILE *file_;
    EventLog log_;
};

/// A server that answers each call with "unimplemented": that it was reached.
class Server
{
public:
    explicit Server(Security &security)
    {
        grpc::ServerBuilder builder;
        int port = 0;
        builder.AddListeningPort("127.0.0.1:0", security.serverCredentials("127.0.0.1:0"), &port);
        builder.RegisterService(&service_);
        security.prepareServer(builder);
        server_ = builder.BuildAndStart();
        address_ = fmt::format("127.0.0.1:{}", port);
    }
    ~Server() { server_->Shutdown(); }
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;
    const std::string &address() const { return address_; }

private:
    wire::KeeperService::Service service_;
    std::unique_ptr<grpc::Server> server_;
    std::string address_;
};

/// Whether a call by \p security reaches the server at \p address.
bool reaches(Security &security, const std::string &address)
{
    const auto stub = wire::KeeperService::NewStub(security.channel(address));
    grpc::ClientContext context;
    context.set_deadline(std::chrono::system_clock::now() + PatienceLimit);
    wire::ReadConfigReply reply;
    const grpc::Status status = stub->ReadConfig(&context, {}, &reply);
    return status.error_code() == grpc::StatusCode::UNIMPLEMENTED;
}

/// Polls; the limit is for a run that has failed already.
template <typename Done>
bool eventually(const Done &done)
{
    const Instant giveUpAt = std::chrono::steady_clock::now() + PatienceLimit;
    while (!done()) {
        if (std::chrono::steady_clock::now() > giveUpAt) {
            return false;
        }
        std::this_thread::sleep_for(Millis(50));
    }
    return true;
}

class MutualTls : public testing::Test
{
protected:
    MutualTls()
    {
        serverFiles_.install(authority_, makeIdentity("server", &authority_, 2));
        friendFiles_.install(authority_, makeIdentity("friend", &authority_, 3));
        strangerFiles_.install(other_, makeIdentity("stranger", &other_, 4));
    }

    Identity authority_ = makeIdentity("authority", nullptr, 1);
    Identity other_ = makeIdentity("other authority", nullptr, 1);
    TlsFolder serverFiles_{"server"};
    TlsFolder friendFiles_{"friend"};
    TlsFolder strangerFiles_{"stranger"};
    LogFile log_{"SecurityTest.log"};
};

TEST_F(MutualTls, TakesAPeerOfTheSameAuthority)
{
    Security security(serverFiles_.settings(), log_.log());
    Server server(security);
    Security peer(friendFiles_.settings(), log_.log());
    EXPECT_TRUE(reaches(peer, server.address()));
    EXPECT_EQ(log_.text().find("security."), std::string::npos) << log_.text();
}

// A process of another installation, or an intruder with a certificate of his own
// making, connects to a keeper. It must get no answer, and operators must see it.
TEST_F(MutualTls, RefusesAPeerOfAnotherAuthorityAndLogsIt)
{
    Security security(serverFiles_.settings(), log_.log());
    Server server(security);
    Security stranger(strangerFiles_.settings(), log_.log());
    EXPECT_FALSE(reaches(stranger, server.address()));
    EXPECT_NE(log_.text().find("security.refused"), std::string::npos) << log_.text();
}

// The stranger trusts the right authority, but holds a certificate of another:
// only the server can refuse him.
TEST_F(MutualTls, RefusesACertificateOfAnotherAuthorityOnTheServersSide)
{
    Security security(serverFiles_.settings(), log_.log());
    Server server(security);
    strangerFiles_.install(authority_, makeIdentity("stranger", &other_, 5));
    Security stranger(strangerFiles_.settings(), log_.log());
    EXPECT_FALSE(reaches(stranger, server.address()));
    EXPECT_NE(log_.text().find("security.refused"), std::string::npos) << log_.text();
}

TEST_F(MutualTls, RefusesPlaintext)
{
    Security security(serverFiles_.settings(), log_.log());
    Server server(security);
    Security plain(nlohmann::json::object(), log_.log());
    EXPECT_FALSE(reaches(plain, server.address()));
}

// The authority is replaced while the server runs. New files must be taken in
// without a restart, or every rotation would cost a drain of the whole fleet.
TEST_F(MutualTls, TakesReplacedFilesWithoutARestart)
{
    Security security(serverFiles_.settings(), log_.log());
    Server server(security);
    Security friendOfOld(friendFiles_.settings(), log_.log());
    Security friendOfNew(strangerFiles_.settings(), log_.log());
    ASSERT_TRUE(reaches(friendOfOld, server.address()));
    ASSERT_FALSE(reaches(friendOfNew, server.address()));
    serverFiles_.install(other_, makeIdentity("server", &other_, 6));
    EXPECT_TRUE(eventually([&] { return reaches(friendOfNew, server.address()); }));
    EXPECT_FALSE(reaches(friendOfOld, server.address()));
}

// An authority is being replaced: some hosts have certificates of the old one and some
// of the new. While all hosts' files hold both authorities, all must reach each other.
TEST_F(MutualTls, TakesBothAuthoritiesWhileOneReplacesTheOther)
{
    serverFiles_.install({authority_, other_}, makeIdentity("server", &other_, 7));
    friendFiles_.install({authority_, other_}, makeIdentity("friend", &authority_, 8));
    Security security(serverFiles_.settings(), log_.log());
    Server server(security);
    Security peer(friendFiles_.settings(), log_.log());
    EXPECT_TRUE(reaches(peer, server.address()));
}

struct BadTls
{
    const char *name;
    void (*spoil)(nlohmann::json &tls);
    const char *complaint;
};

class TlsSettings : public testing::TestWithParam<BadTls>
{};

TEST_P(TlsSettings, RefuseWithOneLine)
{
    const Identity authority = makeIdentity("authority", nullptr, 1);
    const TlsFolder files("bad");
    files.install(authority, makeIdentity("own", &authority, 2));
    LogFile log("TlsSettings.log");
    nlohmann::json settings = files.settings();
    GetParam().spoil(settings["tls"]);
    try {
        const Security security(settings, log.log());
        FAIL() << "the settings were taken";
    } catch (const SettingsError &error) {
        EXPECT_NE(std::string(error.what()).find(GetParam().complaint), std::string::npos)
                << error.what();
    }
}

constexpr BadTls BadTlsRows[] = {
        {"MissingKey", [](nlohmann::json &tls) { tls.erase("key"); }, "key 'key' is missing"},
        {"UnknownKey", [](nlohmann::json &tls) { tls["ca"] = "x"; }, "unknown key 'ca'"},
        {"NoFile", [](nlohmann::json &tls) { tls["authority"] = "/none"; },
         "key 'tls.authority' is \"/none\"; allowed: a readable PEM file"},
        {"NotACertificate", [](nlohmann::json &tls) { tls["certificate"] = tls["key"]; },
         "a PEM file that holds a certificate"},
        {"OtherKey", [](nlohmann::json &tls) { tls["certificate"] = tls["authority"]; },
         "the private key of tls.certificate"},
};

INSTANTIATE_TEST_SUITE_P(Rows, TlsSettings, testing::ValuesIn(BadTlsRows),
                         [](const auto &row) { return std::string(row.param.name); });

TEST(Plaintext, IsServedOnLoopbackOnlyAndSaidOnce)
{
    LogFile log("Plaintext.log");
    Security security(nlohmann::json::object(), log.log());
    Server server(security);
    EXPECT_TRUE(reaches(security, server.address()));
    EXPECT_THROW(security.serverCredentials("10.0.0.1:7000"), SettingsError);
    EXPECT_THROW(security.serverCredentials("0.0.0.0:7000"), SettingsError);
    EXPECT_FALSE(reaches(security, "10.0.0.1:7000"));
    const std::string text = log.text();
    EXPECT_EQ(text.find("security.plaintext"), text.rfind("security.plaintext")) << text;
}

/// Answers with a configuration of 6 MB.
class LargeConfig : public wire::KeeperService::Service
{
public:
    grpc::Status ReadConfig(grpc::ServerContext * /*context*/,
                            const wire::ReadConfigRequest * /*request*/,
                            wire::ReadConfigReply *reply) override
    {
        constexpr std::size_t Bytes = 6 * 1024 * 1024;
        reply->mutable_config()->add_workspaces()->set_name(std::string(Bytes, 'x'));
        return grpc::Status::OK;
    }
};

// The configuration has grown past the library's limit of 4 MB. A router would be
// refused it for ever, and never be ready.
TEST(Channel, TakesALargeConfiguration)
{
    LogFile log("LargeConfig.log");
    Security security(nlohmann::json::object(), log.log());
    LargeConfig service;
    grpc::ServerBuilder builder;
    int port = 0;
    builder.AddListeningPort("127.0.0.1:0", security.serverCredentials("127.0.0.1:0"), &port);
    builder.RegisterService(&service);
    const std::unique_ptr<grpc::Server> server = builder.BuildAndStart();
    const auto stub =
            wire::KeeperService::NewStub(security.channel(fmt::format("127.0.0.1:{}", port)));
    grpc::ClientContext context;
    wire::ReadConfigReply reply;
    const grpc::Status status = stub->ReadConfig(&context, {}, &reply);
    EXPECT_TRUE(status.ok()) << status.error_message();
}

// The caller's clock is an hour ahead. What the server logs because of the call must
// sort after the call all the same.
TEST(Clock, TravelsWithACall)
{
    LogFile ahead("ClockAhead.log");
    LogFile behind("ClockBehind.log");
    const auto inAnHour = std::chrono::system_clock::now() + std::chrono::hours(1);
    const auto wall =
            std::chrono::duration_cast<std::chrono::microseconds>(inAnHour.time_since_epoch());
    ahead.log().clock().observe(fmt::format("{:017}.000007", wall.count()));
    Security client(nlohmann::json::object(), ahead.log());
    Security serverSide(nlohmann::json::object(), behind.log());
    Server server(serverSide);
    const std::string before = ahead.log().clock().tick();
    ASSERT_TRUE(reaches(client, server.address()));
    EXPECT_GT(behind.log().clock().tick(), before);
}

} // namespace
