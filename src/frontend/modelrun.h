#pragma once

// Internal: runs one model request over its attempts, on a thread of the upstream pool.
//
//   ModelRun(context, *request, work).run(); // ends request->buffer() on every path

#include "endpoint/engineclient.h"
#include "frontend/requesttable.h"
#include "frontend/runcontext.h"

#include <optional>
#include <string>
#include <vector>

namespace cicadafork {

struct ModelWork
{
    std::string model;
    std::string prompt;
    std::uint32_t maxTokens = 0;
    double workspaceShare = 1;
    double workspaceRateLimit = 0;
    std::string traceparent;
};

class ModelRun
{
public:
    ModelRun(RunContext &context, ActiveRequest &request, const ModelWork &work);

    void run();

private:
    enum class Next { Done, Again };

    PlacementRequest placementRequest() const;
    Next attempt(const Placement &placement);
    AttemptResult runAt(const EndpointView &endpoint, const EngineRequest &engineRequest);
    /// Nothing when a member's memory was not free: the request is placed again.
    std::optional<AttemptResult> runGroup(const Placement &placement);
    Expected<EngineRequest> prefillGroup(const Placement &placement, const GroupHolds &holds,
                                         const std::vector<std::string> &segments);
    EngineRequest engineRequest(std::string prompt) const;
    EngineHandlers handlers(const EndpointView &endpoint);
    AttemptResult resumeBroken(const EngineClient &engine, const EngineHandlers &handlers,
                               AttemptResult result);
    Next afterFailure(const Placement &placement, const AttemptResult &result);
    void cancelAt(const Placement &placement, int tries, Millis timeout);
    void noteFinished(const Placement &placement, AttemptStatus status);
    void end(std::optional<Problem> problem);

    RunContext &context_;
    ActiveRequest &request_;
    const ModelWork &work_;
    RouteRequest route_;
    unsigned attempt_ = 0;
    unsigned knownAttempts_ = 0; ///< Attempts whose number an earlier front has used.
    bool placed_ = false;
    std::optional<Problem> lastProblem_;
    std::uint64_t delivered_ = 0;
    TimePoint sentAt_;
    std::optional<Millis> firstToken_;
    StreamEnd usage_;
};

/// Resumes a stream whose front is gone, from an event on; ends request.buffer() on every path.
void runResume(RunContext &context, ActiveRequest &request, const StreamLocation &location,
               std::uint64_t from);

} // namespace cicadafork
