#ifndef SEQUOIAGATE_ROUTER_CHATDRIVER_H
#define SEQUOIAGATE_ROUTER_CHATDRIVER_H

/// Takes one chat request through its life, share/statecharts/request.json:
/// admission, reservation, an engine's stream with what it takes to have it whole,
/// and the bill.

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "sequoiagate/Router/ChatRun.h"
#include "sequoiagate/Router/ChunkSequencer.h"
#include "sequoiagate/Router/EngineClient.h"
#include "sequoiagate/Router/RouterContext.h"

namespace sequoiagate {

/// Lives on one thread. Not thread safe.
class ChatDriver
{
public:
    /// \pre \p run was made for this driver alone.
    ChatDriver(RouterContext &context, std::shared_ptr<ChatRun> run);

    /// Serves a new request to its end. Throws nothing.
    void serve();
    /// Takes up a stream that another router began. Throws nothing.
    void takeUp(const ResumePoint &point);

private:
    using Step = void (ChatDriver::*)();

    void conclude(Step step);
    void serveSteps();
    void takeUpSteps();

    void reserve();
    wire::ReserveReply askForReservation(const wire::ReserveRequest &request);
    void sendUntilWhole();
    void stream(const EndpointId &endpoint);
    void openStream();
    void followStream();
    void resumeOnce();
    bool findStream();
    bool onEvent(const std::string &data);
    bool deliver(std::vector<EngineChunk> ready);
    void sawStream(const std::string &streamId);
    void finishAtCeiling();

    bool over() const { return sequencer_.ended() || atCeiling_ || abandoned_; }
    EngineClient engine() const;
    Verdict failureNow(Reason reason, std::string detail) const;
    Execution execution() const;
    uint64_t contentTokens() const;

    void settle(const std::optional<Verdict> &failure);
    wire::SettleRequest openNote(const std::string &streamId) const;
    std::vector<std::string> backupKeepers() const;
    void tellBackup(const std::string &streamId);
    void settleWithBackup(wire::SettleRequest request);
    wire::Bill billOf(const std::optional<Verdict> &failure);
    void logOutcome(const std::optional<Verdict> &failure);

    RouterContext &context_;
    std::shared_ptr<ChatRun> run_;
    const ChatOrder &order_;
    WorkItem item_;
    AttemptId attempt_;
    StatechartInstance position_;
    bool admitted_ = false;
    bool reserved_ = false;
    wire::Reservation reservation_;
    EndpointId endpoint_;
    std::string endpointAddress_;
    ChunkSequencer sequencer_;
    bool atCeiling_ = false;
    bool abandoned_ = false;
    bool brokenOff_ = false;
    std::string content_;
    std::string finishReason_;
    std::optional<uint64_t> promptTokens_;
    std::optional<uint64_t> completionTokens_;
    Instant sentAt_ = Never;
    Interval firstToken_{};
    uint64_t billedTokens_ = 0;
};

} // namespace sequoiagate

#endif
