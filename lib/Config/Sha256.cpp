#include "sequoiagate/Config/Sha256.h"

#include <stdexcept>

#include <fmt/format.h>
#include <openssl/evp.h>

namespace sequoiagate {

std::string sha256Hex(std::string_view text)
{
    unsigned char digest[EVP_MAX_MD_SIZE];
    unsigned int size = 0;
    if (EVP_Digest(text.data(), text.size(), digest, &size, EVP_sha256(), nullptr) != 1) {
        throw std::runtime_error("SHA-256 can't be computed");
    }
    std::string hex;
    for (unsigned int i = 0; i < size; ++i) {
        hex += fmt::format("{:02x}", digest[i]);
    }
    return hex;
}

} // namespace sequoiagate
