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
                                  point.reservation.text(), point.router, point.position,
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
    point.router = fields.at(7).get<std::string>();
    point.position = fields.at(8).get<uint64_t>();
    point.promptTokens = fields.at(9).get<uint64_t>();
    point.outputCeiling = fields.at(10).get<uint64_t>();
    return point;
}

} // namespace

std::string ResumeSigner::sign(const ResumePoint &point) const
{
    const std::vector<uint8_t> bytes = nlohmann::json::to_cbor(fieldsOf(point));
    const std::string payload(bytes.begin(), bytes.end());
    return absl::WebSafeBase64Escape(payload) + Separator
           + absl::WebSafeBase64Escape(macOf(payload));
}

std::optional<ResumePoint> ResumeSigner::verify(const std::string &token) const
{
    const std::size_t separator = token.find(Separator);
    if (separator == std::string::npos) {
        return std::nullopt;
    }
    std::string payload;
    std::string mac;
    const bool readable = absl::WebSafeBase64Unescape(token.substr(0, separator), &payload)
                          && absl::WebSafeBase64Unescape(token.substr(separator + 1), &mac);
    if (!readable || mac.size() != MacBytes) {
        return std::nullopt;
    }
    // Compared in constant time: else a caller learns a valid code byte by byte.
    if (CRYPTO_memcmp(mac.data(), macOf(payload).data(), MacBytes) != 0) {
        return std::nullopt;
    }
    try {
        return pointOf(nlohmann::json::from_cbor(payload));
    } catch (const nlohmann::json::exception &) {
        return std::nullopt; // signed by a router of another version
    }
}

std::string ResumeSigner::macOf(const std::string &payload) const
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    HMAC(EVP_sha256(), key_.data(), static_cast<int>(key_.size()),
         reinterpret_cast<const unsigned char *>(payload.data()), payload.size(), digest.data(),
         &size);
    return std::string(reinterpret_cast<const char *>(digest.data()), MacBytes);
}

} // namespace sequoiagate
