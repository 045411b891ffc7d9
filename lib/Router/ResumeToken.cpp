#include "sequoiagate/Router/ResumeToken.h"

#include <array>
#include <vector>

#include <absl/strings/escaping.h>
#include <nlohmann/json.hpp>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace sequoiagate {

namespace {

/// Half of SHA-256's output: 128 bits can't be guessed, and the id rides on
/// every chunk.
constexpr std::size_t MacBytes = 16;
constexpr char Separator = '.';

nlohmann::json fieldsOf(const ResumePoint &point)
{
    return nlohmann::json::array({point.workspace.text(), point.request.text(), point.model.text(),
                                  point.endpoint.text(), point.endpointAddress, point.engineStream,
                                  point.reservation.text(), point.keeper.text(), point.router,
                                  point.promptTokens, point.outputCeiling});
}

ResumePoint pointOf(const nlohmann::json &fields)
{
    ResumePoint point;
    point.workspace = WorkspaceId(fields.at(0).get<std::string>());
    point.request = RequestId(fields.at(1).get<std::string>());
    point.model = ServiceId(fields.at(2).get<std::string>());
    point.endpoint = EndpointId(fields.at(3).get<std::string>());
    point.endpointAddress = fields.at(4).get<std::string>();
    point.engineStream = fields.at(5).get<std::string>();
    point.reservation = ReservationId(fields.at(6).get<std::string>());
    point.keeper = Incarnation(fields.at(7).get<std::string>());
    point.router = fields.at(8).get<std::string>();
    point.promptTokens = fields.at(9).get<uint64_t>();
    point.outputCeiling = fields.at(10).get<uint64_t>();
    return point;
}

} // namespace

std::string ResumeSigner::sign(const ResumePoint &point) const
{
    return StreamSigner(*this, point).sign(point.position);
}

std::optional<ResumePoint> ResumeSigner::verify(const std::string &token) const
{
    const std::size_t positionAt = token.find(Separator) + 1;
    const std::size_t macAt = token.rfind(Separator) + 1;
    if (positionAt == 0 || macAt <= positionAt) {
        return std::nullopt;
    }
    std::string mac;
    if (!absl::WebSafeBase64Unescape(token.substr(macAt), &mac) || mac.size() != MacBytes) {
        return std::nullopt;
    }
    // Compared in constant time: else a caller learns a valid code byte by byte.
    const std::string signedText = token.substr(0, macAt - 1);
    if (CRYPTO_memcmp(mac.data(), macOf(signedText).data(), MacBytes) != 0) {
        return std::nullopt;
    }
    std::string payload;
    if (!absl::WebSafeBase64Unescape(token.substr(0, positionAt - 1), &payload)) {
        return std::nullopt;
    }
    try {
        ResumePoint point = pointOf(nlohmann::json::from_cbor(payload));
        point.position = std::stoull(signedText.substr(positionAt));
        return point;
    } catch (const std::exception &) {
        return std::nullopt; // signed by a router of another version
    }
}

StreamSigner::StreamSigner(const ResumeSigner &signer, const ResumePoint &source) : signer_(signer)
{
    const std::vector<uint8_t> bytes = nlohmann::json::to_cbor(fieldsOf(source));
    prefix_ = absl::WebSafeBase64Escape(std::string(bytes.begin(), bytes.end())) + Separator;
}

std::string StreamSigner::sign(uint64_t position) const
{
    std::string token = prefix_ + std::to_string(position);
    const std::string mac = signer_.macOf(token);
    token += Separator;
    token += absl::WebSafeBase64Escape(mac);
    return token;
}

std::string ResumeSigner::macOf(const std::string &text) const
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    HMAC(EVP_sha256(), key_.data(), static_cast<int>(key_.size()),
         reinterpret_cast<const unsigned char *>(text.data()), text.size(), digest.data(), &size);
    return std::string(reinterpret_cast<const char *>(digest.data()), MacBytes);
}

} // namespace sequoiagate
