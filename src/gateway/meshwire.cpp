#include "gateway/meshwire.h"

#include <capnp/serialize-packed.h>
#include <kj/io.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace cicadafork::gateway {

namespace {

// A peer's job that is no longer reported expires after the longest timeout of a route.
constexpr Millis kJobLifetime{20'000};
// No request has more parts than this; further parts in a message are ignored.
constexpr std::size_t kMaxParts = 32;
// They are in every datagram. Requests for further services are not handed over.
constexpr std::size_t kMaxServicesOutOfReach = 16;
// Bounds for what a malformed datagram may state: the waiting requests of a daemon, and the time
// until the first event of one is late.
constexpr std::uint32_t kMaxWaiting = 10'000;
constexpr std::chrono::microseconds kLongestDue = std::chrono::minutes(10);
// Slack of an endpoint without pending prefills.
constexpr std::uint32_t kNoPrefill = std::numeric_limits<std::uint32_t>::max();
// Longest time that fits a message.
constexpr Millis::rep kLongestMillis = std::numeric_limits<std::uint32_t>::max();

std::uint32_t toMicros(FloatMillis value)
{
    const double micros = std::clamp(value.count() * 1000, 0.0, 4.0e9);
    return static_cast<std::uint32_t>(micros);
}

std::uint32_t millisSince(TimePoint time, TimePoint now)
{
    const auto elapsed = std::chrono::duration_cast<Millis>(now - time).count();
    return static_cast<std::uint32_t>(std::clamp<Millis::rep>(elapsed, 0, kLongestMillis));
}

std::vector<std::uint64_t> idsOf(const RequestParts &parts, RequestPartKind kind)
{
    std::vector<std::uint64_t> ids;
    for (const RequestPart &part : parts) {
        if (part.kind == kind)
            ids.push_back(part.id);
    }
    return ids;
}

void fillIds(capnp::List<std::uint64_t>::Builder target, const std::vector<std::uint64_t> &ids)
{
    for (unsigned i = 0; i < ids.size(); ++i)
        target.set(i, ids[i]);
}

RequestParts readParts(capnp::List<std::uint64_t>::Reader source, RequestPartKind kind)
{
    RequestParts parts;
    for (const std::uint64_t id : source) {
        if (parts.size() >= kMaxSuspectParts)
            break;
        parts.push_back({kind, id});
    }
    return parts;
}

} // namespace

std::string encodeDatagram(capnp::MallocMessageBuilder &message)
{
    kj::VectorOutputStream output;
    capnp::writePackedMessage(output, message);
    const auto bytes = output.getArray();
    std::string text(1, kDirect);
    text.append(reinterpret_cast<const char *>(bytes.begin()), bytes.size());
    return text;
}

void fillJob(wire::Job::Builder target, const Job &job, TimePoint now)
{
    target.setNumber(job.id.number);
    target.setPromptTokens(job.promptTokens);
    target.setAnswerTokens(job.answerTokens);
    target.setMaxEventGapMs(static_cast<std::uint32_t>(job.maxEventGap.count()));
    target.setReadInMicros(toMicros(FloatMillis(job.expectedPrefillEnd - now)));
    target.setDueInMicros(toMicros(FloatMillis(job.dueBy - now)));
    target.setStarted(job.started);
    target.setWorkspace(job.workspace);
    auto parts = target.initParts(static_cast<unsigned>(job.parts.size()));
    for (unsigned i = 0; i < job.parts.size(); ++i) {
        parts[i].setEndpoint(job.parts[i].endpoint);
        parts[i].setReadMicros(toMicros(job.parts[i].prefillTime));
        parts[i].setWrites(job.parts[i].decodes);
        parts[i].setMemoryTokens(job.parts[i].kvTokens);
    }
}

void fillDemands(wire::Datagram::Builder root, const std::vector<overload::ServiceDemand> &demands,
                 TimePoint now)
{
    const std::size_t count = std::min(demands.size(), overload::kMaxDemands);
    if (count == 0)
        return;
    auto list = root.initDemands(static_cast<unsigned>(count));
    for (unsigned i = 0; i < count; ++i) {
        const overload::ServiceDemand &demand = demands[i];
        list[i].setService(demand.service);
        list[i].setWaiting(demand.waiting);
        const std::size_t told = std::min(demand.first.size(), overload::kMaxRanks);
        auto first = list[i].initFirst(static_cast<unsigned>(told));
        for (unsigned j = 0; j < told; ++j) {
            first[j].setPriority(demand.first[j].priority);
            first[j].setTie(demand.first[j].tie);
            first[j].setDueInMicros(std::chrono::duration_cast<std::chrono::microseconds>(
                                            demand.first[j].objective - now)
                                            .count());
        }
    }
}

std::vector<overload::ServiceDemand> readDemands(wire::Datagram::Reader root, TimePoint now)
{
    std::vector<overload::ServiceDemand> demands;
    for (const auto source : root.getDemands()) {
        if (demands.size() >= overload::kMaxDemands)
            break;
        overload::ServiceDemand demand{.service = source.getService(),
                                       .waiting = std::min(source.getWaiting(), kMaxWaiting)};
        for (const auto rank : source.getFirst()) {
            if (demand.first.size() >= overload::kMaxRanks)
                break;
            const std::chrono::microseconds dueIn(
                    std::clamp(rank.getDueInMicros(), -kLongestDue.count(), kLongestDue.count()));
            demand.first.push_back({rank.getPriority(), now + dueIn, rank.getTie()});
        }
        demands.push_back(std::move(demand));
    }
    return demands;
}

void fillStatus(wire::Datagram::Builder root, const MeshOptions &options, const MeshStatus &status)
{
    root.setIp(options.ip);
    root.setIncarnation(options.incarnation);
    root.setConfigVersion(status.configVersion);
    root.setEndpointsPosition(status.endpointsPosition.offset);
    root.setEndpointsEra(status.endpointsPosition.era);
    root.setEndpointsIncomplete(status.endpointsIncomplete);
    root.setStoreEra(status.storeEra);
    root.setEndpointsDigest(status.endpointsDigest);
    root.setLeaving(status.leaving);
    root.setStoreLost(status.storeLost);
    fillDemands(root, status.demands, steadyNow());
    const std::size_t count = std::min(status.servicesOutOfReach.size(), kMaxServicesOutOfReach);
    if (count == 0)
        return;
    auto services = root.initServicesOutOfReach(static_cast<unsigned>(count));
    for (unsigned i = 0; i < count; ++i)
        services.set(i, status.servicesOutOfReach[i]);
}

std::set<std::string> readServicesOutOfReach(wire::Datagram::Reader root)
{
    std::set<std::string> services;
    for (const auto service : root.getServicesOutOfReach()) {
        if (services.size() >= kMaxServicesOutOfReach)
            break;
        services.insert(service);
    }
    return services;
}

Job readJob(wire::Job::Reader source, std::uint64_t owner, TimePoint now)
{
    Job job;
    job.id = {owner, source.getNumber()};
    job.promptTokens = source.getPromptTokens();
    job.answerTokens = source.getAnswerTokens();
    job.maxEventGap = Millis(source.getMaxEventGapMs());
    job.placed = now;
    job.expectedPrefillEnd = now + Micros(source.getReadInMicros());
    job.dueBy = now + Micros(source.getDueInMicros());
    job.started = source.getStarted();
    job.workspace = source.getWorkspace();
    job.expires = now + kJobLifetime;
    for (const auto part : source.getParts()) {
        if (job.parts.size() >= kMaxParts)
            break;
        job.parts.push_back({part.getEndpoint(), Micros(part.getReadMicros()), part.getWrites(),
                             part.getMemoryTokens()});
    }
    return job;
}

void fillLoad(wire::EndpointLoad::Builder target, const ReportedLoad &reported)
{
    const EndpointLoad &load = reported.load;
    target.setEndpoint(reported.endpoint);
    target.setSequences(load.sequences);
    target.setDecodingSequences(load.decodingSequences);
    target.setHelperPrefills(load.helperPrefills);
    target.setPendingPrefillMicros(toMicros(load.pendingPrefill));
    target.setContextTokens(load.contextTokens);
    target.setKvTokens(load.kvTokens);
    const bool streams = load.shortestEventGap != Millis::max();
    target.setShortestEventGapMs(streams ? static_cast<std::uint32_t>(load.shortestEventGap.count())
                                         : 0);
    const bool pending = load.prefillSlack != FloatMillis::max();
    target.setPrefillSlackMicros(pending ? toMicros(load.prefillSlack) : kNoPrefill);
}

ReportedLoad readLoad(wire::EndpointLoad::Reader source)
{
    ReportedLoad reported;
    reported.endpoint = source.getEndpoint();
    EndpointLoad &load = reported.load;
    load.sequences = source.getSequences();
    load.decodingSequences = source.getDecodingSequences();
    load.helperPrefills = source.getHelperPrefills();
    load.pendingPrefill = Micros(source.getPendingPrefillMicros());
    load.contextTokens = source.getContextTokens();
    load.kvTokens = source.getKvTokens();
    if (source.getShortestEventGapMs() > 0)
        load.shortestEventGap = Millis(source.getShortestEventGapMs());
    if (source.getPrefillSlackMicros() != kNoPrefill)
        load.prefillSlack = Micros(source.getPrefillSlackMicros());
    return reported;
}

std::vector<EndpointUpdate> readEndpointUpdates(capnp::List<wire::EndpointEntry>::Reader entries)
{
    std::vector<EndpointUpdate> updates;
    for (const auto entry : entries) {
        if (entry.getGone())
            updates.push_back({entry.getId(),
                               std::nullopt,
                               {entry.getBornMs(), entry.getRevision(), entry.getStoreEra()},
                               Millis(entry.getGoneMs())});
        else if (auto record = readEndpoint(entry))
            updates.push_back({entry.getId(), std::move(*record)});
    }
    return updates;
}

void fillEndpointUpdate(wire::EndpointEntry::Builder entry, const EndpointUpdate &update)
{
    if (update.record) {
        fillEndpoint(entry, *update.record);
        return;
    }
    entry.setId(update.id);
    entry.setGone(true);
    entry.setBornMs(update.last.bornMs);
    entry.setRevision(update.last.revision);
    entry.setStoreEra(update.last.storeEra);
    entry.setGoneMs(static_cast<std::uint32_t>(update.goneFor.count()));
}

void fillEvacuations(wire::Datagram::Builder root, const Evacuations &evacuations)
{
    if (evacuations.empty())
        return;
    auto list = root.initEvacuations(static_cast<unsigned>(evacuations.size()));
    unsigned index = 0;
    for (const auto &[domain, order] : evacuations) {
        auto entry = list[index++];
        entry.setFailureDomain(domain);
        entry.setEra(order.position.era);
        entry.setOffset(order.position.offset);
        entry.setInForce(order.inForce);
    }
}

std::vector<Evacuation> readEvacuations(capnp::List<wire::Evacuation>::Reader entries)
{
    std::vector<Evacuation> evacuations;
    for (const auto entry : entries) {
        if (evacuations.size() >= kMaxEvacuations)
            break;
        evacuations.push_back({entry.getFailureDomain(),
                               {entry.getEra(), entry.getOffset()},
                               entry.getInForce()});
    }
    return evacuations;
}

void fillCrash(wire::EndpointCrash::Builder target, const EndpointCrash &crash, TimePoint now)
{
    target.setEndpoint(crash.endpoint);
    target.setAgoMs(millisSince(crash.at, now));
    target.setNeededAgoMs(millisSince(crash.neededAt, now));
    const auto count = static_cast<unsigned>(crash.suspects.size());
    auto suspects = target.initSuspects(count);
    auto requests = target.initRequests(count);
    for (unsigned i = 0; i < count; ++i) {
        const std::vector<std::uint64_t> parts = idsOf(crash.suspects[i], RequestPartKind::Prompt);
        const std::vector<std::uint64_t> digests = idsOf(crash.suspects[i], RequestPartKind::Whole);
        fillIds(suspects.init(i, static_cast<unsigned>(parts.size())), parts);
        requests.set(i, digests.empty() ? 0 : digests.front());
    }
    const auto again = idsOf(crash.sentAgain, RequestPartKind::Whole);
    fillIds(target.initSentAgain(static_cast<unsigned>(again.size())), again);
}

void fillClearedParts(wire::Datagram::Builder root, const RequestParts &parts)
{
    const auto prompts = idsOf(parts, RequestPartKind::Prompt);
    const auto requests = idsOf(parts, RequestPartKind::Whole);
    if (!prompts.empty())
        fillIds(root.initClearedParts(static_cast<unsigned>(prompts.size())), prompts);
    if (!requests.empty())
        fillIds(root.initClearedRequests(static_cast<unsigned>(requests.size())), requests);
}

RequestParts readClearedParts(wire::Datagram::Reader root)
{
    RequestParts parts = readParts(root.getClearedParts(), RequestPartKind::Prompt);
    const RequestParts requests = readParts(root.getClearedRequests(), RequestPartKind::Whole);
    parts.insert(parts.end(), requests.begin(), requests.end());
    return parts;
}

EndpointCrash readCrash(wire::EndpointCrash::Reader source, TimePoint now)
{
    EndpointCrash crash;
    crash.endpoint = source.getEndpoint();
    crash.at = now - Millis(source.getAgoMs());
    crash.neededAt = now - Millis(source.getNeededAgoMs());
    const auto requests = source.getRequests();
    unsigned next = 0;
    for (const auto prompt : source.getSuspects()) {
        if (crash.suspects.size() >= kMaxCrashSuspects)
            break;
        RequestParts parts = readParts(prompt, RequestPartKind::Prompt);
        const std::uint64_t digest = next < requests.size() ? requests[next] : 0;
        ++next;
        if (digest != 0)
            parts.push_back(wholeRequest(digest));
        if (!parts.empty())
            crash.suspects.push_back(std::move(parts));
    }
    crash.sentAgain = readParts(source.getSentAgain(), RequestPartKind::Whole);
    return crash;
}

void fillCrashes(wire::Datagram::Builder root, const std::vector<EndpointCrash> &crashes,
                 TimePoint now)
{
    if (crashes.empty())
        return;
    auto list = root.initCrashes(static_cast<unsigned>(crashes.size()));
    for (unsigned i = 0; i < crashes.size(); ++i)
        fillCrash(list[i], crashes[i], now);
}

void fillLimits(wire::Datagram::Builder root, const std::vector<EndpointLimit> &limits,
                TimePoint now)
{
    if (limits.empty())
        return;
    auto list = root.initLimits(static_cast<unsigned>(limits.size()));
    for (unsigned i = 0; i < limits.size(); ++i) {
        list[i].setEndpoint(limits[i].endpoint);
        list[i].setRequestsPerSecond(limits[i].requestsPerSecond.value_or(0));
        list[i].setEnded(!limits[i].requestsPerSecond);
        list[i].setAgoMs(millisSince(limits[i].statedAt, now));
    }
}

EndpointLimit readLimit(wire::EndpointLimit::Reader source, TimePoint now)
{
    EndpointLimit limit;
    limit.endpoint = source.getEndpoint();
    limit.statedAt = now - Millis(source.getAgoMs());
    // Endpoints state no other numbers.
    const double perSecond = source.getRequestsPerSecond();
    if (!source.getEnded() && std::isfinite(perSecond) && perSecond >= 0)
        limit.requestsPerSecond = perSecond;
    return limit;
}

bool statesOnlyCold(const EndpointRecord &record)
{
    return record.revision == 0 && record.slowStartRemaining > Millis(0);
}

void fillConfigChange(wire::ConfigChange::Builder target, const ConfigChange &change)
{
    target.setBase(change.base);
    target.setVersion(change.version);
    target.setTextHash(change.textHash);
    target.setDelta(kj::arrayPtr(reinterpret_cast<const kj::byte *>(change.delta.data()),
                                 change.delta.size()));
}

ConfigChange readConfigChange(wire::ConfigChange::Reader source)
{
    const auto delta = source.getDelta();
    return {source.getBase(), source.getVersion(), source.getTextHash(),
            std::string(reinterpret_cast<const char *>(delta.begin()), delta.size())};
}

void fillEndpoint(wire::EndpointEntry::Builder entry, const EndpointRecord &record)
{
    entry.setId(record.id);
    entry.setBornMs(record.bornMs);
    entry.setService(record.service);
    entry.setAddress(toString(record.address));
    entry.setFailureDomain(record.failureDomain);
    entry.setSlots(record.slots);
    entry.setDraining(record.state == EndpointState::Draining);
    entry.setRevision(record.revision);
    entry.setStoreEra(record.storeEra);
    entry.setColdMs(static_cast<std::uint32_t>(
            std::clamp<Millis::rep>(record.slowStartRemaining.count(), 0, kLongestMillis)));
}

std::optional<EndpointRecord> readEndpoint(wire::EndpointEntry::Reader entry)
{
    EndpointRecord record;
    record.id = entry.getId();
    record.bornMs = entry.getBornMs();
    record.service = entry.getService();
    record.failureDomain = entry.getFailureDomain();
    record.slots = entry.getSlots();
    record.revision = entry.getRevision();
    record.storeEra = entry.getStoreEra();
    record.slowStartRemaining = Millis(entry.getColdMs());
    record.state = entry.getDraining() ? EndpointState::Draining : EndpointState::Ready;
    const auto address = capture([&] { return parseAddress(std::string(entry.getAddress())); });
    if (!address || record.id.empty())
        return std::nullopt;
    record.address = *address;
    return record;
}

} // namespace cicadafork::gateway
