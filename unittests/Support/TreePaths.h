#ifndef UNITTESTS_SUPPORT_TREEPATHS_H
#define UNITTESTS_SUPPORT_TREEPATHS_H

/// Where the source tree and the build folder are.

#include <filesystem>

namespace sequoiagate {

/// Thread safe, as is the following.
std::filesystem::path sourceFolder();
std::filesystem::path buildFolder();

} // namespace sequoiagate

#endif
