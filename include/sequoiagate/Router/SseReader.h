#ifndef SEQUOIAGATE_ROUTER_SSEREADER_H
#define SEQUOIAGATE_ROUTER_SSEREADER_H

/// Server-sent events (WHATWG HTML, section 9.2) out of the pieces in which a
/// connection delivers them. The HTTP library has no reader for them.

#include <string>
#include <string_view>
#include <vector>

namespace sequoiagate {

/// Not thread safe.
class SseReader
{
public:
    /// Takes more bytes. \returns the data fields of the events they complete.
    std::vector<std::string> feed(std::string_view bytes);

private:
    void takeLine(std::string_view line, std::vector<std::string> &events);

    std::string partial_;
    std::string data_;
    bool hasData_ = false;
};

} // namespace sequoiagate

#endif
