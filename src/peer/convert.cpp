#include "peer/convert.h"

#include <algorithm>
#include <limits>

namespace cicadafork {

namespace {

std::uint32_t toWireAge(Millis age)
{
    constexpr std::int64_t kMax = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(age.count(), 0, kMax));
}

void writeStatus(const EndpointStatus &status, wire::EndpointStatus::Builder out)
{
    // An absent text takes no room and reads as empty.
    if (!status.incarnation.empty())
        out.setIncarnation(toKj(status.incarnation));
    out.setLeaving(status.leaving);
    if (!status.role.empty())
        out.setRole(toKj(status.role));
    if (!status.models.empty()) {
        auto models = out.initModels(status.models.size());
        for (std::size_t i = 0; i < status.models.size(); ++i)
            models.set(i, toKj(status.models[i]));
    }
    out.setRunning(status.running);
    out.setWaiting(status.waiting);
    out.setWaitingTokens(status.waitingTokens);
    out.setKvUsedTokens(status.kvUsedTokens);
    out.setKvCapacityTokens(status.kvCapacityTokens);
    out.setReportedAtMs(status.reportedAtMs);
}

EndpointStatus readStatus(wire::EndpointStatus::Reader in)
{
    EndpointStatus status;
    status.incarnation = fromKj(in.getIncarnation());
    status.leaving = in.getLeaving();
    status.role = fromKj(in.getRole());
    for (auto model : in.getModels())
        status.models.push_back(fromKj(model));
    status.running = in.getRunning();
    status.waiting = in.getWaiting();
    status.waitingTokens = in.getWaitingTokens();
    status.kvUsedTokens = in.getKvUsedTokens();
    status.kvCapacityTokens = in.getKvCapacityTokens();
    status.reportedAtMs = in.getReportedAtMs();
    return status;
}

} // namespace

void writeDigest(const Digest &digest, wire::Digest::Builder out)
{
    out.setMemberId(toKj(digest.memberId));
    out.setIncarnation(toKj(digest.incarnation));
    out.setSequence(digest.sequence);
    out.setLeaving(digest.leaving);
    out.setIntervalMs(toWireAge(digest.interval));
    out.setConfigOffset(digest.configOffset);
    out.setRequestsInProgress(digest.requestsInProgress);
    out.setEchoIncarnation(toKj(digest.echoIncarnation));
    out.setEchoClockMs(digest.echoClock.count());
    out.setEchoAgeMs(toWireAge(digest.echoAge));
    auto reports = out.initReports(digest.reports.size());
    for (std::size_t i = 0; i < digest.reports.size(); ++i) {
        reports[i].setEndpointId(toKj(digest.reports[i].endpointId));
        reports[i].setAgeMs(toWireAge(digest.reports[i].age));
        writeStatus(digest.reports[i].status, reports[i].initStatus());
        reports[i].setBrief(digest.reports[i].brief);
        reports[i].setDetailsHash(digest.reports[i].detailsHash);
    }
    auto sent = out.initSent(digest.sent.size());
    for (std::size_t i = 0; i < digest.sent.size(); ++i) {
        sent[i].setEndpointId(toKj(digest.sent[i].endpointId));
        sent[i].setRequests(digest.sent[i].requests);
        sent[i].setTokens(digest.sent[i].tokens);
    }
    auto members = out.initMembers(digest.members.size());
    for (std::size_t i = 0; i < digest.members.size(); ++i) {
        members[i].setId(toKj(digest.members[i].id));
        members[i].setIncarnation(toKj(digest.members[i].incarnation));
        members[i].setAgeMs(toWireAge(digest.members[i].age));
        members[i].setLeaving(digest.members[i].leaving);
        members[i].setConfigOffset(digest.members[i].configOffset);
    }
}

Digest readDigest(wire::Digest::Reader in)
{
    Digest digest;
    digest.memberId = fromKj(in.getMemberId());
    digest.incarnation = fromKj(in.getIncarnation());
    digest.sequence = in.getSequence();
    digest.leaving = in.getLeaving();
    digest.interval = Millis(in.getIntervalMs());
    digest.configOffset = in.getConfigOffset();
    digest.requestsInProgress = in.getRequestsInProgress();
    digest.echoIncarnation = fromKj(in.getEchoIncarnation());
    digest.echoClock = Millis(in.getEchoClockMs());
    digest.echoAge = Millis(in.getEchoAgeMs());
    for (auto report : in.getReports()) {
        digest.reports.push_back({fromKj(report.getEndpointId()), Millis(report.getAgeMs()),
                                  readStatus(report.getStatus()), report.getBrief(),
                                  report.getDetailsHash()});
    }
    for (auto sent : in.getSent()) {
        digest.sent.push_back({fromKj(sent.getEndpointId()), sent.getRequests(), sent.getTokens()});
    }
    for (auto member : in.getMembers()) {
        digest.members.push_back({fromKj(member.getId()), fromKj(member.getIncarnation()),
                                  Millis(member.getAgeMs()), member.getLeaving(),
                                  member.getConfigOffset()});
    }
    return digest;
}

void writeReply(const DigestReply &reply, wire::DigestReply::Builder out)
{
    out.setIncarnation(toKj(reply.incarnation));
    out.setClockMs(reply.clock.count());
    out.setConfigOffset(reply.configOffset);
}

DigestReply readReply(wire::DigestReply::Reader in)
{
    return {fromKj(in.getIncarnation()), Millis(in.getClockMs()), in.getConfigOffset()};
}

void writeOutcome(const Expected<std::string> &outcome, wire::Outcome::Builder out)
{
    if (outcome) {
        const auto *bytes = reinterpret_cast<const kj::byte *>(outcome->data());
        out.setValue(kj::arrayPtr(bytes, outcome->size()));
        return;
    }
    auto error = out.initError();
    error.setCode(static_cast<std::uint16_t>(outcome.error().code));
    error.setMessage(toKj(outcome.error().message));
    error.setRemedy(toKj(outcome.error().remedy));
}

Expected<std::string> readOutcome(wire::Outcome::Reader in)
{
    if (in.isValue()) {
        const auto value = in.getValue();
        return std::string(reinterpret_cast<const char *>(value.begin()), value.size());
    }
    const auto error = in.getError();
    const bool known = error.getCode() <= static_cast<std::uint16_t>(ErrorCode::Internal);
    return Error{known ? static_cast<ErrorCode>(error.getCode()) : ErrorCode::Internal,
                 fromKj(error.getMessage()), fromKj(error.getRemedy())};
}

Error toError(const kj::Exception &exception, const std::string &peerId)
{
    const std::string text = "peer " + peerId + ": " + exception.getDescription().cStr();
    switch (exception.getType()) {
    case kj::Exception::Type::OVERLOADED:
        return {ErrorCode::DeadlineExceeded, text, "check that the peer runs and can be reached"};
    case kj::Exception::Type::DISCONNECTED:
        return {ErrorCode::Unavailable, text, "check that the peer runs and can be reached"};
    case kj::Exception::Type::UNIMPLEMENTED:
        return {ErrorCode::Unavailable, text, "update the older of the two daemons"};
    case kj::Exception::Type::FAILED:
        break;
    }
    return {ErrorCode::Internal, text, "look at the peer's log"};
}

} // namespace cicadafork
