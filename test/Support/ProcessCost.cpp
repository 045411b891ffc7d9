#include "test/Support/ProcessCost.h"

#include <fstream>
#include <iterator>
#include <sstream>
#include <string>

#include <fmt/format.h>
#include <unistd.h>

namespace sequoiagate {

std::chrono::microseconds processorTime(pid_t id)
{
    std::ifstream file(fmt::format("/proc/{}/stat", id));
    const std::string text(std::istreambuf_iterator<char>(file), {});
    const std::size_t nameEnd = text.rfind(')');
    if (nameEnd == std::string::npos) {
        return {};
    }
    std::istringstream fields(text.substr(nameEnd + 1));
    std::string skipped;
    constexpr int FieldsBeforeTimes = 11;
    for (int field = 0; field < FieldsBeforeTimes; ++field) {
        fields >> skipped;
    }
    int64_t user = 0;
    int64_t system = 0;
    fields >> user >> system;
    return std::chrono::microseconds((user + system) * 1'000'000 / sysconf(_SC_CLK_TCK));
}

int64_t residentBytes(pid_t id)
{
    std::ifstream file(fmt::format("/proc/{}/statm", id));
    int64_t size = 0;
    int64_t resident = 0;
    file >> size >> resident;
    return resident * sysconf(_SC_PAGESIZE);
}

} // namespace sequoiagate
