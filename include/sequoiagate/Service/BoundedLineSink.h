#ifndef SEQUOIAGATE_SERVICE_BOUNDEDLINESINK_H
#define SEQUOIAGATE_SERVICE_BOUNDEDLINESINK_H

/// Log lines to a descriptor that may stall, without ever waiting for it. A reader that
/// stops reading would otherwise stop the process with its next line, and every request
/// with it. Lines above a rate, or that find the buffer full, are dropped; a line that says
/// how many is written as soon as there is room.

#include <cstdint>
#include <string>
#include <string_view>

#include "sequoiagate/Base/Time.h"
#include "sequoiagate/Service/EventLog.h"

namespace sequoiagate {

struct LineLimits
{
    /// Five lines a request at 80 requests a second, twice the load of a host today.
    double linesPerSecond = 400.0;
    /// Lines at once: those of a start, or of a fault that touches all open requests.
    double burst = 1000.0;
    /// The same for essential lines, beyond the others.
    double essentialPerSecond = 200.0;
    double essentialBurst = 400.0;
    /// Kept while the reader is slow; a tenth of a second's lines and more.
    std::size_t bufferBytes = 64 * 1024;
};

/// Not thread safe by itself; the EventLog that owns it sees to that.
class BoundedLineSink : public LineSink
{
public:
    /// Makes \p descriptor non-blocking. \pre it is open for writing
    explicit BoundedLineSink(int descriptor, LineLimits limits = {});

    void write(std::string_view line) override;
    void writeEssential(std::string_view line) override;
    /// Lines that were not written, since the start.
    uint64_t dropped() const { return dropped_; }

private:
    /// Lines that may be written at once, filled up at a rate.
    struct Allowance
    {
        double lines = 0.0;
        Instant at{};

        bool take(Instant now, double perSecond, double most);
    };

    bool admit(Instant now);
    bool admitEssential(Instant now);
    void writeIf(bool admitted, std::string_view line);
    void append(std::string_view line);
    void flush();
    void tellDropped();

    int descriptor_;
    LineLimits limits_;
    Allowance all_;
    Allowance essential_;
    std::string buffer_;
    uint64_t dropped_ = 0;
    uint64_t told_ = 0;
};

} // namespace sequoiagate

#endif
