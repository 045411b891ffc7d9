# Writes OUTPUT, a C++ source that holds each file of FOLDER whose path relative to it is in FILES.
# Usage: cmake -DFOLDER=... -DFILES=a;b -DOUTPUT=... -P EmbedFiles.cmake

set(delimiter "embedded")
set(entries "")
foreach(path ${FILES})
    file(READ "${FOLDER}/${path}" text)
    string(FIND "${text}" ")${delimiter}\"" end)
    if(NOT end EQUAL -1)
        message(FATAL_ERROR "'${path}' holds the end of a raw string")
    endif()
    string(APPEND entries "        {\"${path}\", R\"${delimiter}(${text})${delimiter}\"},\n")
endforeach()
file(WRITE "${OUTPUT}" "#include \"Service/ShareFiles.h\"

namespace sequoiagate {

std::span<const ShareFile> shareFiles()
{
    static constexpr ShareFile Files[] = {
${entries}    };
    return Files;
}

} // namespace sequoiagate
")
