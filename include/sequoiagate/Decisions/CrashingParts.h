#ifndef SEQUOIAGATE_DECISIONS_CRASHINGPARTS_H
#define SEQUOIAGATE_DECISIONS_CRASHINGPARTS_H

/// Finds the parts of prompts that crash endpoints, and quarantines them. Pure: messages, probes
/// and deadlines are the caller's.
///
/// A query of death crashes each endpoint that begins to write an answer on it, and its callers
/// carry it to the next one. Requests that share the caller or other parts are innocent, and so are
/// those that were open at the same endpoint. This is group testing (Dorfman, 1943) with one-sided
/// evidence: each crash names the parts of the requests that the endpoint had just begun or was
/// about to begin, and an answer that was written clears all parts of its prompt. Crashes are those
/// of processes: an endpoint that starts again under its id may crash again.
///
/// Each host sees only its own requests. It reports the suspects of a crash to hosts that
/// rendezvous hashing selects for each part (ReplicaPlacement), which count crashes by part. A part
/// that was suspected in several crashes, one after the other, is inquired about at all hosts; if
/// none has had an answer on it since the first of these crashes, it is quarantined at all hosts.
/// Nothing is sent while no endpoint crashes.
///
/// Crashes for other reasons: a part has to explain most of the crashes of its service since the
/// first one, at several times; sound requests must hardly be lost as often in a row and as soon
/// after they were sent (LossStatistics); an endpoint that still accepts connections hasn't
/// crashed; a service that serves no prompt at all is at fault itself.

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "sequoiagate/Base/Ids.h"
#include "sequoiagate/Base/Time.h"
#include "sequoiagate/Decisions/EndpointProcess.h"
#include "sequoiagate/Decisions/LossStatistics.h"
#include "sequoiagate/Decisions/ReplicaPlacement.h"

namespace sequoiagate {

/// Identifies a part of prompts at one service.
using PartKey = uint64_t;

PartKey partKey(const ServiceId &service, uint64_t part);

/// A part that may have crashed an endpoint.
struct SuspectPart
{
    PartKey key = 0;
    uint32_t depth = 0; ///< its position in its prompt
    /// The class of the age of the oldest request with it that was lost.
    std::size_t ageClass = OutcomeCounts::AgeClasses - 1;
};

/// What one host had open at an endpoint that crashed.
struct CrashReport
{
    uint64_t service = 0; ///< stable hash of its name
    EndpointProcess process;
    std::vector<SuspectPart> parts;
    Instant at{};
};

/// Asks whether an answer on a part was written since a time, how requests for its service ended,
/// and which of its endpoints crashed.
struct PartInquiry
{
    PartKey part = 0;
    uint64_t service = 0;
    Instant since{};
};

struct InquiryResponse
{
    PartKey part = 0;
    uint64_t service = 0;
    std::optional<Instant> servedAt;
    std::vector<EndpointProcess> crashed;
    OutcomeCounts outcomes;
};

struct Quarantine
{
    PartKey part = 0;
    uint32_t level = 0; ///< the number of quarantines before it
    Instant until{};
    std::vector<EndpointProcess> crashed;
    HostId decidedBy;
};

struct CrashingPartsSettings
{
    HostId host;
    DomainId domain;
};

/// Not thread safe.
class CrashingParts
{
public:
    /// Crashes after which a part is quarantined, and after a quarantine that was lifted.
    static constexpr std::size_t CrashesToQuarantine = 3;
    /// How likely a sound part may be to be lost that often in a row: with a hundred crashes a day
    /// and ten parts that explain most of them each time, one is quarantined in a hundred days.
    static constexpr double MaxChance = 1e-5;
    /// How long before the first crash of a part outcomes of requests count for that.
    static constexpr Interval BaselineTime = std::chrono::seconds(2);
    static constexpr std::size_t CrashesAfterQuarantine = 1;
    /// Crashes within this time of each other count as one towards CrashesToQuarantine.
    static constexpr Interval CrashSpacing = std::chrono::milliseconds(300);
    /// The least time between two inquiries about a part.
    static constexpr Interval InquirySpacing = std::chrono::milliseconds(300);
    /// The share of the crashes of its service that a part has to explain.
    static constexpr double MostCrashes = 0.5;
    /// A smaller share that is enough after more crashes, of parts that crash endpoints among
    /// others.
    static constexpr double ManyCrashes = 0.25;
    static constexpr std::size_t CrashesAmongOthers = 6;
    /// A crash longer ago doesn't count.
    static constexpr Interval CrashLifetime = std::chrono::minutes(5);
    /// How long other hosts have to say that a part was served.
    static constexpr Interval InquiryTime = std::chrono::milliseconds(100);
    /// Each quarantine of a part lasts four times as long as the one before.
    static constexpr Interval FirstQuarantine = std::chrono::minutes(30);
    static constexpr Interval MaxQuarantine = std::chrono::hours(24);
    static constexpr Interval ResendDelay = std::chrono::milliseconds(100);
    /// How long a process that was replaced may have been the cause of a loss: as long as endpoints
    /// take to start again, and their rows to be read.
    static constexpr Interval ReplacementTime = std::chrono::seconds(6);
    /// Bound memory and the size of a message.
    static constexpr std::size_t MaxServedParts = 32'768;
    static constexpr std::size_t MaxSuspects = 4'096;
    static constexpr std::size_t MaxQuarantines = 1'024;
    static constexpr std::size_t MaxReportedParts = 32;
    static constexpr std::size_t MaxNamedEndpoints = 32;

    explicit CrashingParts(CrashingPartsSettings settings);

    // Called to send messages. Set before any other call.
    std::function<void(const HostId &to, const CrashReport &)> sendReport;
    std::function<void(const PartInquiry &)> broadcastInquiry;
    std::function<void(const Quarantine &)> broadcastQuarantine;
    /// Called when this host decides on a quarantine, to have it outlive the hosts.
    std::function<void(const Quarantine &)> onDecided;
    /// Whether the crashes of these processes may all be those of one request with the part. May
    /// stay empty.
    std::function<bool(PartKey, const std::vector<EndpointProcess> &)> isExplainedByRequest;
    /// Called when a part is quarantined here for the first time.
    std::function<void(const Quarantine &)> onQuarantined;

    void setHosts(const std::vector<HostPlace> &others) { placement_.setHosts(others); }

    /// An answer on a prompt with these shared parts was written, or has been for a while.
    void onAnswerWritten(const ServiceId &service, const std::vector<uint64_t> &parts, Instant now);
    /// The connection of a request was lost that had no answer yet, or an answer that had just
    /// begun. \returns whether to find out if \p process has ended, and to call onEndpointProbed
    /// \pre \p sentAt isn't later than \p now
    bool onConnectionLost(const ServiceId &service, const EndpointProcess &process,
                          const std::vector<uint64_t> &parts, Instant sentAt, Instant now);
    void onEndpointProbed(const EndpointProcess &process, bool hasEnded, Instant now);
    /// Another process is listed at the address of \p process, which has ended therefore, also if
    /// probes found that something listens there.
    void onProcessReplaced(const EndpointProcess &process, Instant now);
    /// The quarantine of one of these parts; nullptr if none is quarantined.
    const Quarantine *find(const ServiceId &service, const std::vector<uint64_t> &parts,
                           Instant now) const;

    // ---- messages of other hosts ----
    void onReport(const CrashReport &report, Instant now);
    /// \returns std::nullopt if this host knows nothing that matters
    std::optional<InquiryResponse> onInquiry(const PartInquiry &inquiry) const;
    void onInquiryResponse(const InquiryResponse &response, Instant now);
    void onQuarantine(const Quarantine &quarantine, Instant now);
    /// Those in force, for hosts that missed them.
    std::vector<Quarantine> quarantines(Instant now) const;

    /// To be called at nextDeadline().
    void tick(Instant now);
    Instant nextDeadline() const;

private:
    struct LostPart
    {
        uint32_t depth = 0;
        std::size_t ageClass = 0;
    };

    struct Loss
    {
        uint64_t service = 0;
        std::map<PartKey, LostPart> parts;
        Instant at{};
    };

    struct Crash
    {
        Instant at{};
        std::size_t ageClass = 0;
    };

    struct Suspect
    {
        uint64_t service = 0;
        uint32_t depth = 0;
        std::map<EndpointProcess, Crash> crashes;
        OutcomeCounts outcomesElsewhere; ///< that other hosts answered to the last inquiry
        Instant decideAt = Never;
        Instant nextInquiryAt{};
    };

    void report(const EndpointProcess &process, const Loss &loss, Instant now);
    std::optional<Instant> servedAt(PartKey part) const;
    static void clear(Suspect &suspect, Instant until);
    static std::size_t countCrashes(const Suspect &suspect);
    static Instant firstCrash(const Suspect &suspect);
    /// How likely a sound part is to be lost that often in a row and as early, as requests of its
    /// service were lost since.
    double chance(const Suspect &suspect) const;
    /// Whether enough crashes name a part to ask other hosts about it.
    bool isDue(PartKey part, const Suspect &suspect) const;
    bool isSignificant(PartKey part, const Suspect &suspect) const;
    bool isQuarantined(PartKey part, Instant now) const;
    void noteCrash(uint64_t service, const EndpointProcess &process, Instant at);
    /// The share of the endpoints of its service that crashed since its first crash, at which
    /// \p suspect was.
    double shareExplained(const Suspect &suspect) const;
    /// Whether another part, as deep in the prompts or deeper, was at all but one of the same
    /// endpoints, or one request was, so that it can't be told which of the two crashed them.
    bool isAmbiguous(PartKey part, const Suspect &suspect) const;
    static std::vector<EndpointProcess> crashedProcesses(const Suspect &suspect);
    void review(PartKey part, Suspect &suspect, Instant now);
    void decide(PartKey part, Instant now);
    void dropOldSuspects(Instant now);
    static Interval quarantineTime(uint32_t level);

    CrashingPartsSettings settings_;
    ReplicaPlacement placement_;
    // Two generations, so that old entries go without a search.
    std::unordered_map<PartKey, Instant> served_;
    std::unordered_map<PartKey, Instant> servedBefore_;
    std::map<uint64_t, Instant> serviceServed_;
    std::map<uint64_t, LossStatistics> outcomes_;
    std::map<EndpointProcess, Loss> losses_;      ///< until the endpoint is probed
    std::map<EndpointProcess, Loss> unconfirmed_; ///< at processes that were found to listen
    std::map<EndpointProcess, Instant> ended_;    ///< when they were found to have ended
    /// When endpoints crashed, by service, without those that quarantined parts crashed.
    std::map<uint64_t, std::map<EndpointProcess, Instant>> crashes_;
    std::map<PartKey, Suspect> suspects_;
    std::map<PartKey, Quarantine> quarantines_; ///< including those that were lifted
    std::map<PartKey, Instant> resends_;
};

} // namespace sequoiagate

#endif
