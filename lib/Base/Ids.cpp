#include "sequoiagate/Base/Ids.h"

#include <array>
#include <cstdint>
#include <random>

#include <fmt/format.h>

namespace sequoiagate {

std::string randomHex128()
{
    std::random_device device;
    std::string text;
    constexpr int Words = 4;
    for (int i = 0; i < Words; ++i) {
        const uint32_t word = device();
        text += fmt::format("{:08x}", word);
    }
    return text;
}

} // namespace sequoiagate
