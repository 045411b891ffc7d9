#include "TreePaths.h"

namespace sequoiagate {

std::filesystem::path sourceFolder()
{
    return SEQUOIAGATE_SOURCE_DIR;
}

std::filesystem::path buildFolder()
{
    return SEQUOIAGATE_BINARY_DIR;
}

} // namespace sequoiagate
