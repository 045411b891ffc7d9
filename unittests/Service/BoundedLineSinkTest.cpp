/// Logs to a reader that has stopped reading.

#include <fcntl.h>
#include <unistd.h>

#include <gtest/gtest.h>

#include "sequoiagate/Service/BoundedLineSink.h"

using namespace sequoiagate;

namespace {

class StalledPipe : public testing::Test
{
protected:
    StalledPipe() { EXPECT_EQ(::pipe(ends_), 0); }
    ~StalledPipe() override
    {
        ::close(ends_[0]);
        ::close(ends_[1]);
    }

    std::string readAll()
    {
        ::fcntl(ends_[0], F_SETFL, O_NONBLOCK);
        std::string text;
        char buffer[4096];
        for (ssize_t got = ::read(ends_[0], buffer, sizeof(buffer)); got > 0;
             got = ::read(ends_[0], buffer, sizeof(buffer))) {
            text.append(buffer, static_cast<std::size_t>(got));
        }
        return text;
    }

    int ends_[2];
};

// Every request stops: whoever reads the log has stopped, the pipe is full, and the next
// line waits for it. Here no line waits; what doesn't fit is counted.
TEST_F(StalledPipe, NeverBlocks)
{
    LineLimits limits;
    limits.linesPerSecond = 1e9;
    limits.burst = 1e9;
    BoundedLineSink sink(ends_[1], limits);
    const std::string line(1000, 'x');
    for (int i = 0; i < 1000; ++i) {
        sink.write(line + "\n");
    }
    EXPECT_GT(sink.dropped(), 0U);
    const uint64_t dropped = sink.dropped();
    std::string text = readAll();
    sink.write("after\n");
    text += readAll();
    EXPECT_NE(text.find("\"lines\":" + std::to_string(dropped)), std::string::npos);
    EXPECT_NE(text.find("after\n"), std::string::npos);
}

TEST_F(StalledPipe, LinesAboveTheRateAreCounted)
{
    LineLimits limits;
    limits.linesPerSecond = 0.0;
    limits.burst = 10.0;
    BoundedLineSink sink(ends_[1], limits);
    for (int i = 0; i < 25; ++i) {
        sink.write("line\n");
    }
    EXPECT_EQ(sink.dropped(), 15U);
}

TEST_F(StalledPipe, EssentialLinesOutlastAFloodOfOthers)
{
    LineLimits limits;
    limits.linesPerSecond = 0.0;
    limits.burst = 10.0;
    limits.essentialPerSecond = 0.0;
    limits.essentialBurst = 3.0;
    BoundedLineSink sink(ends_[1], limits);
    for (int i = 0; i < 20; ++i) {
        sink.write("line\n");
    }
    for (int i = 0; i < 5; ++i) {
        sink.writeEssential("essential\n");
    }
    EXPECT_EQ(sink.dropped(), 12U) << "10 others and 2 essential lines";
    const std::string text = readAll();
    std::size_t essential = 0;
    for (std::size_t at = text.find("essential"); at != std::string::npos;
         at = text.find("essential", at + 1)) {
        ++essential;
    }
    EXPECT_EQ(essential, 3U);
}

} // namespace
