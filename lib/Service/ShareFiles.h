#ifndef SEQUOIAGATE_LIB_SERVICE_SHAREFILES_H
#define SEQUOIAGATE_LIB_SERVICE_SHAREFILES_H

/// The files of share/, as the build embedded them (cmake/EmbedFiles.cmake).

#include <span>
#include <string_view>

namespace sequoiagate {

struct ShareFile
{
    std::string_view path; ///< relative to share/
    std::string_view text;
};

/// All of them. Thread safe; no preconditions.
std::span<const ShareFile> shareFiles();

} // namespace sequoiagate

#endif
