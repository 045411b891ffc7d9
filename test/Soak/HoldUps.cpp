#include "HoldUps.h"

#include <utility>

namespace sequoiagate::soak {

namespace {

constexpr std::chrono::milliseconds Poll(10);
constexpr std::chrono::milliseconds Noticed(200);

} // namespace

HoldUps::HoldUps() : thread_([this] { watch(); }) {}

HoldUps::~HoldUps()
{
    if (thread_.joinable()) {
        stop();
    }
}

std::vector<PlayedStep> HoldUps::stop()
{
    stopping_ = true;
    thread_.join();
    return std::move(found_);
}

void HoldUps::watch()
{
    Instant last = std::chrono::steady_clock::now();
    while (!stopping_) {
        std::this_thread::sleep_for(Poll);
        const Instant now = std::chrono::steady_clock::now();
        if (now - last > Poll + Noticed) {
            found_.push_back({"held up", true, PlayedStep::TestItself, last, now});
        }
        last = now;
    }
}

} // namespace sequoiagate::soak
