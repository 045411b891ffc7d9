#include "sequoiagate/Base/JsonDepth.h"

namespace sequoiagate {

bool isNestedTooDeeply(std::string_view text)
{
    std::size_t depth = 0;
    bool isInString = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        if (c == '"') {
            isInString = !isInString;
        } else if (isInString) {
            i += c == '\\' ? 1 : 0; // skips the escaped character
        } else if (c == '[' || c == '{') {
            ++depth;
        } else if ((c == ']' || c == '}') && depth > 0) {
            --depth;
        }
        if (depth > MaxJsonDepth) {
            return true;
        }
    }
    return false;
}

} // namespace sequoiagate
