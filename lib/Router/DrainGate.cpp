#include "sequoiagate/Router/DrainGate.h"

#include <cassert>

namespace sequoiagate {

bool DrainGate::enter()
{
    absl::MutexLock lock(&mutex_);
    if (!serving()) {
        return false;
    }
    ++inside_;
    return true;
}

void DrainGate::enterAlways()
{
    absl::MutexLock lock(&mutex_);
    ++inside_;
}

void DrainGate::leave()
{
    absl::MutexLock lock(&mutex_);
    assert(inside_ > 0 && "more left than came in");
    --inside_;
    left_.SignalAll();
}

void DrainGate::close()
{
    absl::MutexLock lock(&mutex_);
    position_.handle("stop");
}

void DrainGate::awaitEmpty()
{
    absl::MutexLock lock(&mutex_);
    while (inside_ > 0) {
        left_.Wait(&mutex_);
    }
    position_.handle("empty");
}

bool DrainGate::closed() const
{
    absl::MutexLock lock(&mutex_);
    return !serving();
}

std::size_t DrainGate::inside() const
{
    absl::MutexLock lock(&mutex_);
    return inside_;
}

} // namespace sequoiagate
