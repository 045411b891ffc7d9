#ifndef SEQUOIAGATE_ROUTER_DRAINGATE_H
#define SEQUOIAGATE_ROUTER_DRAINGATE_H

/// Counts the work in progress, and closes the door at a planned stop: what is in
/// goes on to its end, nothing new comes in. Its states stand in
/// share/statecharts/drain.json.

#include <cstddef>

#include <absl/synchronization/mutex.h>

#include "sequoiagate/Base/Statechart.h"

namespace sequoiagate {

/// Thread safe.
class DrainGate
{
public:
    /// \pre \p chart is the drain chart and outlives this.
    explicit DrainGate(const Statechart &chart) : position_(chart) {}

    /// Counts a piece of new work in. \returns false when the door is closed.
    [[nodiscard]] bool enter();
    /// Counts in a part of work that is in already, closed door or not.
    void enterAlways();
    void leave();

    void close();
    /// \pre close() was called.
    void awaitEmpty();
    bool closed() const;
    std::size_t inside() const;

private:
    bool serving() const { return position_.state() == "serving"; }

    mutable absl::Mutex mutex_;
    absl::CondVar left_;
    StatechartInstance position_;
    std::size_t inside_ = 0;
};

/// Holds one place inside a gate. Movable.
class GatePass
{
public:
    GatePass() = default;
    /// \pre the place was counted in.
    explicit GatePass(DrainGate &gate) : gate_(&gate) {}
    GatePass(GatePass &&other) noexcept : gate_(std::exchange(other.gate_, nullptr)) {}
    GatePass &operator=(GatePass &&other) noexcept
    {
        std::swap(gate_, other.gate_);
        return *this;
    }
    ~GatePass()
    {
        if (gate_ != nullptr) {
            gate_->leave();
        }
    }

private:
    DrainGate *gate_ = nullptr;
};

} // namespace sequoiagate

#endif
