#ifndef SEQUOIAGATE_LOAD_SSEREADER_H
#define SEQUOIAGATE_LOAD_SSEREADER_H

/// Reads an OpenAI-style stream of server-sent events as it comes, in pieces of any
/// size, and keeps what a caller would judge it by.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "sequoiagate/Base/Time.h"

namespace sequoiagate {

/// Not thread safe.
class SseReader
{
public:
    /// Takes the next bytes, which came at \p now.
    void feed(std::string_view bytes, Instant now);

    /// When the first token came; nullopt while none has.
    std::optional<Instant> firstTokenAt() const { return firstTokenAt_; }
    uint64_t tokens() const { return tokens_; } ///< chunks with content
    bool whole() const { return whole_; }       ///< the end marker came
    /// The code of an error event; empty without one.
    const std::string &errorCode() const { return errorCode_; }

private:
    void takeLine(std::string_view line, Instant now);
    void takeData(std::string_view data, Instant now);

    std::string rest_; ///< of a line that hasn't ended
    bool errorEvent_ = false;
    std::optional<Instant> firstTokenAt_;
    uint64_t tokens_ = 0;
    bool whole_ = false;
    std::string errorCode_;
};

} // namespace sequoiagate

#endif
