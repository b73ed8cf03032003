#pragma once

// Internal: checks the events of one completion stream.
//
//   EngineStreamCheck check("request-7", 1, 0);
//   std::optional<EngineEvent> event = check.accept(sseEvent); // nothing: mismatch
//   bool whole = check.whole();

#include "endpoint/engineclient.h"
#include "endpoint/sseparser.h"

#include <optional>
#include <string>

namespace cicadafork {

class EngineStreamCheck
{
public:
    EngineStreamCheck(std::string requestId, std::optional<std::uint32_t> attempt,
                      std::uint64_t firstSeq);

    /// The decoded event, or nothing when it does not belong to this stream at this place. The
    /// reason is in fault().
    std::optional<EngineEvent> accept(const SseEvent &event);

    bool whole() const { return whole_; }
    std::uint64_t nextSeq() const { return nextSeq_; }
    const std::string &fault() const { return fault_; }

private:
    std::optional<EngineEvent> reject(std::string fault);

    std::string requestId_;
    std::optional<std::uint32_t> attempt_;
    std::uint64_t nextSeq_;
    bool whole_ = false;
    std::string fault_;
};

} // namespace cicadafork
