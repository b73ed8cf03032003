#include "support/platformstandin.h"

#include "platform/names.h"
#include "platform/storeclient.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <openssl/evp.h>

#include <cstdlib>
#include <stdexcept>
#include <utility>

namespace cicadafork::test {

namespace {

std::string queryParameter(const std::string &target, const std::string &name)
{
    for (const char separator : {'?', '&'}) {
        const std::size_t at = target.find(separator + name + "=");
        if (at == std::string::npos)
            continue;
        const std::size_t begin = at + name.size() + 2;
        return target.substr(begin, target.find('&', begin) - begin);
    }
    return {};
}

std::string base64(const std::string &bytes)
{
    std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
    const int size = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),
                                     reinterpret_cast<const unsigned char *>(bytes.data()),
                                     static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(size));
    return text;
}

std::string bigEndian(std::uint64_t value)
{
    std::string bytes;
    for (int shift = 56; shift >= 0; shift -= 8)
        bytes += static_cast<char>((value >> shift) & 0xff);
    return bytes;
}

void startServer(AsyncHttpServer &server)
{
    const auto started = capture([&] { return server.start(); });
    if (!started)
        throw std::runtime_error(started.error().message);
}

} // namespace

StoreStandin::StoreStandin(asio::io_context &context, const Address &address)
    : context_(context)
    , server_(context, {.address = address},
              [this](const auto &caller, const HttpRequest &request) {
                  onRequest(caller, request);
              })
{
    startServer(server_);
}

void StoreStandin::put(const std::string &topic, const std::string &key,
                       std::optional<std::string> value)
{
    topics_[topic].push_back({key, std::move(value), steadyNow()});
    auto pending = std::move(pending_);
    pending_.clear();
    for (PendingRead &read : pending) {
        if (read.topic == topic)
            answerRead(read.caller, read.topic, read.from);
        else
            pending_.push_back(std::move(read));
    }
}

void StoreStandin::restoreCopy(Millis age)
{
    ++era_;
    const TimePoint copied = steadyNow() - age;
    for (auto &[topic, records] : topics_)
        std::erase_if(records, [&](const Record &record) { return record.writtenAt > copied; });
    auto pending = std::move(pending_);
    pending_.clear();
    for (PendingRead &read : pending) {
        if (read.from > topics_[read.topic].size())
            answerRead(read.caller, read.topic, read.from);
        else
            pending_.push_back(std::move(read));
    }
}

std::optional<std::string> StoreStandin::value(const std::string &topic,
                                               const std::string &key) const
{
    std::optional<std::string> newest;
    const auto records = topics_.find(topic);
    if (records == topics_.end())
        return newest;
    for (const Record &record : records->second) {
        if (record.key == key)
            newest = record.value;
    }
    return newest;
}

std::vector<std::string> StoreStandin::keys(const std::string &topic) const
{
    std::map<std::string, bool> hasValue;
    if (const auto records = topics_.find(topic); records != topics_.end()) {
        for (const Record &record : records->second)
            hasValue[record.key] = record.value.has_value();
    }
    std::vector<std::string> keys;
    for (const auto &[key, exists] : hasValue) {
        if (exists)
            keys.push_back(key);
    }
    return keys;
}

void StoreStandin::refuseWaitingReads()
{
    for (const PendingRead &read : std::exchange(pending_, {}))
        respond(read.caller, 503, {});
}

void StoreStandin::respond(const std::shared_ptr<HttpServerConnection> &caller, int status,
                           const std::string &body)
{
    HeaderList headers;
    headers.add(platform::kStoreEra, std::to_string(era_));
    caller->respond(status, std::move(headers), body);
}

void StoreStandin::onRequest(const std::shared_ptr<HttpServerConnection> &caller,
                             const HttpRequest &request)
{
    ++calls;
    ++callsByTopic[queryParameter(request.target, "topic")];
    if (refuses) {
        respond(caller, 503, {});
        return;
    }
    const std::string topic = queryParameter(request.target, "topic");
    if (request.target.starts_with(platform::kNewestPath)) {
        answerNewest(caller, topic);
    } else if (request.target.starts_with(platform::kReadPath)) {
        const std::size_t from
                = std::strtoull(queryParameter(request.target, "from").c_str(), nullptr, 10);
        const long wait
                = std::strtol(queryParameter(request.target, "waitMs").c_str(), nullptr, 10);
        if (from != topics_[topic].size() || wait == 0) {
            answerRead(caller, topic, from);
            return;
        }
        auto timer = std::make_unique<asio::steady_timer>(context_, Millis(wait));
        timer->async_wait([this, caller, topic, from](const asio::error_code &error) {
            if (error)
                return;
            std::erase_if(pending_, [&](const PendingRead &read) { return read.caller == caller; });
            answerRead(caller, topic, from);
        });
        pending_.push_back({topic, from, caller, std::move(timer)});
    } else {
        append(topic, request.body);
        respond(caller, 200, R"({"offset":0,"end":1})");
    }
}

void StoreStandin::answerRead(const std::shared_ptr<HttpServerConnection> &caller,
                              const std::string &topic, std::size_t from)
{
    const auto &records = topics_[topic];
    if (from > records.size()) {
        respond(caller, 410, R"({"first":0})");
        return;
    }
    std::string body = bigEndian(records.size()) + bigEndian(0);
    for (std::size_t i = from; i < records.size(); ++i)
        body += platform::frameRecord(records[i].key, records[i].value.value_or(std::string()));
    respond(caller, 200, body);
}

void StoreStandin::answerNewest(const std::shared_ptr<HttpServerConnection> &caller,
                                const std::string &topic)
{
    std::map<std::string, std::optional<std::string>> newest;
    for (const Record &record : topics_[topic])
        newest[record.key] = record.value;
    nlohmann::json items = nlohmann::json::array();
    for (const auto &[key, value] : newest) {
        if (value)
            items.push_back({{"key", key}, {"value", base64(*value)}, {"offset", 0}});
    }
    const nlohmann::json body
            = {{"items", items}, {"hasMore", false}, {"end", topics_[topic].size()}};
    respond(caller, 200, body.dump());
}

void StoreStandin::append(const std::string &topic, std::string_view body)
{
    const auto page = platform::readRecords(std::string(16, '\0') + std::string(body), 0);
    if (!page)
        return;
    for (const auto &record : page->records)
        put(topic, record.key, record.value);
}

EndpointStandin::EndpointStandin(asio::io_context &context, const Address &listenAddress,
                                 std::string replicaId, bool chunksStreams)
    : address(listenAddress)
    , id(std::move(replicaId))
    , context_(context)
    , server_(context, {.address = listenAddress, .chunksStreams = chunksStreams},
              [this](const auto &caller, HttpRequest request) {
                  onRequest(caller, std::move(request));
              })
{
    startServer(server_);
}

HeaderList EndpointStandin::plainHeaders(const std::string &requestId) const
{
    HeaderList headers;
    headers.add(platform::kRequestId, requestId);
    if (leaving)
        headers.add(platform::kLeaving, "1");
    if (coldFor)
        headers.add(platform::kCold, std::to_string(coldFor->count()));
    if (limit)
        headers.add(platform::kLimit, fmt::format("{}", *limit));
    return headers;
}

HeaderList EndpointStandin::signedHeaders(const std::string &requestId) const
{
    HeaderList headers = plainHeaders(requestId);
    headers.add(platform::kSeal, "seal-of-" + id);
    return headers;
}

void EndpointStandin::cutOff(const std::string &ip, OpenConnections connections)
{
    cutOff_[ip] = connections;
    for (const Run &run : runs) {
        if (run.connection->remoteIp() != ip)
            continue;
        if (connections == OpenConnections::Reset)
            run.connection->abort();
        else if (connections == OpenConnections::Silent)
            lost_.insert(run.connection.get());
    }
}

void EndpointStandin::heal(const std::string &ip)
{
    cutOff_.erase(ip);
}

bool EndpointStandin::isCutOff(const HttpServerConnection &caller) const
{
    const auto cut = cutOff_.find(caller.remoteIp());
    return lost_.contains(&caller)
           || (cut != cutOff_.end() && cut->second != OpenConnections::LiveOn);
}

void EndpointStandin::onRequest(const std::shared_ptr<HttpServerConnection> &caller,
                                HttpRequest request)
{
    if (isCutOff(*caller)) {
        const auto cut = cutOff_.find(caller->remoteIp());
        if (cut != cutOff_.end() && cut->second == OpenConnections::Reset)
            caller->abort();
        else
            held_.push_back(caller);
        return;
    }
    if (steadyNow() < silentUntil_) {
        const auto held = std::make_shared<HttpRequest>(std::move(request));
        runAt(silentUntil_, [this, caller, held] { onRequest(caller, std::move(*held)); });
        return;
    }
    const bool isOrder = request.target == platform::kOrderPath;
    if (request.target == platform::kReportPath) {
        caller->respond(200, plainHeaders({}), report());
        return;
    }
    // An order that its sender has given up may not be carried out.
    if (isOrder && !caller->open())
        return;
    ++arrivals;
    const std::string *requestId = request.headers.find(platform::kRequestId);
    const std::string *expected = request.headers.find(platform::kExpectInstance);
    const std::string name = requestId ? *requestId : std::string();
    HeaderList plain = plainHeaders(name);
    const std::string *workspace = request.headers.find(platform::kTenant);
    log.push_back({.endpoint = id,
                   .requestId = name,
                   .workspace = workspace ? *workspace : std::string(),
                   .at = caller->requestStart(),
                   .answeredAt = steadyNow(),
                   .saysLeaving = leaving});
    if (expected && *expected != id) {
        caller->respond(421, std::move(plain), {});
        return;
    }
    if (!isOrder && hangs && hangs()) {
        held_.push_back(caller);
        return;
    }
    const EndpointBehaviour behaviour = script.empty() ? EndpointBehaviour::Answer : script.front();
    if (!script.empty())
        script.pop_front();
    const bool refused = behaviour == EndpointBehaviour::NotRun || quietFor;
    log.back().behaviour = behaviour;
    log.back().ran = !refused;
    log.back().quietFor = quietFor.value_or(Millis(0));
    if (refused) {
        plain.add(platform::kNotRun, "1");
        if (quietFor)
            plain.add(platform::kRetryAfter,
                      fmt::format("{}", std::chrono::duration<double>(*quietFor).count()));
        caller->respond(503, std::move(plain), {});
        return;
    }
    const std::string *lastEvent = request.headers.find(platform::kLastEventId);
    const unsigned next = lastEvent ? static_cast<unsigned>(std::stoul(*lastEvent)) + 1 : 1;
    const bool streams = request.headers.find(platform::kTokenCount) != nullptr;
    runs.push_back({name, std::move(request), caller});
    if (!crashingBody.empty() && runs.back().request.body == crashingBody) {
        runAt(steadyNow() + crashDelay, [this] { crash(); });
        return;
    }
    switch (behaviour) {
    case EndpointBehaviour::Fails:
        caller->respond(500, signedHeaders(name), "failed");
        return;
    case EndpointBehaviour::Unsigned:
        caller->respond(200, std::move(plain), "unsigned");
        return;
    case EndpointBehaviour::Resets:
        caller->abort();
        return;
    case EndpointBehaviour::Silent:
        return;
    case EndpointBehaviour::Cut:
        caller->beginStream(200, signedHeaders(name));
        caller->write("answer of ");
        caller->abort();
        return;
    case EndpointBehaviour::StrayFirst:
        caller->beginStream(200, signedHeaders("another"));
        caller->write("stray");
        caller->write("");
        caller->sendRaw("0\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: " + name
                        + "\r\nResponse-Seal: s\r\nContent-Length: "
                        + std::to_string(name.size() + 10) + "\r\n\r\nanswer of " + name);
        return;
    case EndpointBehaviour::Endless: {
        std::string head = endless.head;
        for (std::size_t at = head.find('$'); at != std::string::npos; at = head.find('$', at))
            head.replace(at, 1, name);
        caller->sendRaw(head);
        sendEndlessly(caller, steadyNow(), 0);
        return;
    }
    case EndpointBehaviour::Answer:
    case EndpointBehaviour::BreaksStream:
    case EndpointBehaviour::NotRun:
        break;
    }
    if (isOrder)
        carryOutOrder(runs.back().request.body);
    if (!streams) {
        caller->respond(200, signedHeaders(name), "answer of " + name + std::string(padding, '.'));
        return;
    }
    caller->beginStream(200, signedHeaders(name));
    if (crashesOn(runs.back().request)) {
        runAt(steadyNow() + crashDelay, [this] { crash(); });
        return;
    }
    const bool breaks = behaviour == EndpointBehaviour::BreaksStream;
    if (prefillTime == Millis(0)) {
        stream(caller, next, breaks);
        return;
    }
    runAt(steadyNow() + prefillTime,
          [this, caller, next, breaks] { stream(caller, next, breaks); });
}

void EndpointStandin::sendEndlessly(const std::shared_ptr<HttpServerConnection> &caller,
                                    TimePoint begin, std::size_t sent)
{
    constexpr Millis kInterval{10};
    if (!caller->open())
        return;
    const std::chrono::duration<double> elapsed = steadyNow() - begin;
    const auto due = static_cast<std::size_t>(elapsed.count()
                                              * static_cast<double>(endless.bytesPerSecond));
    std::string pieces;
    while (sent + pieces.size() < due && pieces.size() < endless.maxUnsentBytes)
        pieces += endless.piece;
    if (caller->unsentBytes() < endless.maxUnsentBytes) {
        caller->sendRaw(pieces);
        sent += pieces.size();
    }
    runAt(steadyNow() + kInterval,
          [this, caller, begin, sent] { sendEndlessly(caller, begin, sent); });
}

bool EndpointStandin::crashesOn(const HttpRequest &request) const
{
    const std::string *parts = request.headers.find(platform::kPromptParts);
    if (crashingPart.empty() || !parts)
        return false;
    const std::size_t at = parts->find(crashingPart + ":");
    return at != std::string::npos && parts->find(',', at) != std::string::npos;
}

void EndpointStandin::crash()
{
    if (std::exchange(crashed, true))
        return;
    for (const Run &run : runs) {
        if (closesOrderly)
            run.connection->finish();
        else
            run.connection->abort();
    }
    server_.closeAll();
    if (onCrash)
        onCrash();
}

void EndpointStandin::carryOutOrder(const std::string &body)
{
    const nlohmann::json order = nlohmann::json::parse(body);
    const std::string ticket = order.at("id");
    if (order.at("operation") == "release") {
        leases.erase(ticket);
        return;
    }
    const TimePoint end = steadyNow() + Millis(order.at("holdMs").get<Millis::rep>());
    leases[ticket] = end;
    const auto timer = std::make_shared<asio::steady_timer>(context_, end);
    timer->async_wait([this, timer, ticket, end,
                       alive = std::weak_ptr<int>(alive_)](const asio::error_code &error) {
        if (!error && !alive.expired())
            endLease(ticket, end);
    });
}

std::string EndpointStandin::report() const
{
    nlohmann::json tickets = nlohmann::json::array();
    for (const auto &[ticket, end] : leases) {
        const bool used = usesMemory && usesMemory(ticket);
        tickets.push_back({{"id", ticket}, {"state", used ? "used" : "held"}});
    }
    return nlohmann::json{{"tickets", tickets}}.dump();
}

void EndpointStandin::endLease(const std::string &ticket, TimePoint expected)
{
    const auto found = leases.find(ticket);
    if (found == leases.end() || found->second != expected)
        return; // It was renewed or released.
    leases.erase(found);
    if (onLapse)
        onLapse(ticket);
}

void EndpointStandin::stream(const std::shared_ptr<HttpServerConnection> &caller, unsigned next,
                             bool breaks)
{
    if (!caller->open() || isCutOff(*caller))
        return;
    if (next > kStreamEvents) {
        caller->finish();
        return;
    }
    if (breaks && next == 4) {
        caller->write("id: 4\nda");
        caller->abort();
        return;
    }
    caller->write(fmt::format("id: {}\ndata: event {}\n\n", next, next));
    runAt(steadyNow() + eventGap,
          [this, caller, next, breaks] { stream(caller, next + 1, breaks); });
}

void EndpointStandin::runAt(TimePoint time, std::function<void()> step)
{
    const auto timer = std::make_shared<asio::steady_timer>(context_, std::max(time, silentUntil_));
    timer->async_wait([this, timer, alive = std::weak_ptr<int>(alive_),
                       step = std::move(step)](const asio::error_code &error) {
        if (error || alive.expired())
            return;
        if (steadyNow() < silentUntil_)
            runAt(silentUntil_, step);
        else
            step();
    });
}

} // namespace cicadafork::test
