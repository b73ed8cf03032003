#include "support/fakeengine.h"

#include "base/hash.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdlib>

namespace cicadafork::test {

namespace {

std::string fakeToken(const std::string &prompt, std::uint64_t index)
{
    return hex64(fnv1a64(std::to_string(index), fnv1a64(prompt))) + " ";
}

std::string sseEvent(std::uint64_t id, const nlohmann::json &data)
{
    return "id: " + std::to_string(id) + "\ndata: " + data.dump() + "\n\n";
}

} // namespace

std::uint16_t freePort()
{
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    auto *generic = reinterpret_cast<sockaddr *>(&address);
    if (fd < 0 || bind(fd, generic, length) != 0 || getsockname(fd, generic, &length) != 0)
        std::abort();
    close(fd);
    return ntohs(address.sin_port);
}

std::string fakeAnswer(const std::string &prompt, std::uint64_t tokens)
{
    std::string answer;
    for (std::uint64_t i = 0; i < tokens; ++i)
        answer += fakeToken(prompt, i);
    return answer;
}

FakeEngine::FakeEngine(std::size_t threads)
    : address_{"127.0.0.1", freePort()}
    , server_({.address = address_, .threads = threads, .maxBodyBytes = 64 << 20})
{
    addRoutes();
    addHoldRoutes();
    if (!capture([&] { return server_.start(); }))
        std::abort();
}

FakeEngine::~FakeEngine()
{
    stop();
}

void FakeEngine::stop()
{
    {
        const std::lock_guard lock(mutex_);
        for (auto &[id, stream] : streams_)
            stream.cancelled = true;
    }
    server_.stop();
}

void FakeEngine::set(FakeBehaviour behaviour)
{
    const std::lock_guard lock(mutex_);
    behaviour_ = behaviour;
}

FakeBehaviour FakeEngine::behaviour() const
{
    const std::lock_guard lock(mutex_);
    return behaviour_;
}

std::size_t FakeEngine::executions() const
{
    const std::lock_guard lock(mutex_);
    return executions_;
}

std::vector<std::string> FakeEngine::cancelled() const
{
    const std::lock_guard lock(mutex_);
    return cancelled_;
}

std::size_t FakeEngine::holdCount() const
{
    const std::lock_guard lock(mutex_);
    return holds_.size();
}

std::size_t FakeEngine::holdsReserved() const
{
    const std::lock_guard lock(mutex_);
    return holdsReserved_;
}

std::size_t FakeEngine::holdRenewals() const
{
    const std::lock_guard lock(mutex_);
    return renewals_;
}

std::size_t FakeEngine::prefills() const
{
    const std::lock_guard lock(mutex_);
    return prefills_;
}

std::vector<httplib::Headers> FakeEngine::callHeaders() const
{
    const std::lock_guard lock(mutex_);
    return callHeaders_;
}

bool FakeEngine::isCancelled(const std::string &id) const
{
    const std::lock_guard lock(mutex_);
    const auto found = streams_.find(id);
    return found == streams_.end() || found->second.cancelled;
}

bool FakeEngine::refuse(httplib::Response &response)
{
    const FakeBehaviour now = behaviour();
    if (now.refuseStatus == 0)
        return false;
    response.status = now.refuseStatus;
    response.set_header("Retry-After", "2");
    response.set_content(now.executedFalse ? R"({"executed":false})" : R"({"error":"x"})",
                         "application/json");
    return true;
}

void FakeEngine::addRoutes()
{
    auto &routes = server_.routes();
    routes.Post("/v1/completions",
                [this](const auto &request, auto &response) { complete(request, response); });
    routes.Get(R"(/v1/streams/(.+))", [this](const auto &request, auto &response) {
        const std::string id = request.matches[1];
        if (!behaviour().resumable || isCancelled(id)) {
            response.status = 404;
            return;
        }
        stream(response, id, std::stoull(request.get_param_value("from")), true);
    });
    routes.Post("/v1/cancel", [this](const auto &request, auto &response) {
        const auto body = nlohmann::json::parse(request.body);
        const std::lock_guard lock(mutex_);
        cancelled_.push_back(body["request_id"]);
        if (const auto found = streams_.find(cancelled_.back()); found != streams_.end())
            found->second.cancelled = true;
        response.set_content("{}", "application/json");
    });
    routes.Post(R"(/v1/call/(.+))",
                [this](const auto &request, auto &response) { call(request, response); });
    routes.Get("/v1/status", [](const auto &, auto &response) {
        response.set_content(R"({"endpoint_id":"fake","incarnation":"i1","state":"leaving",)"
                             R"("models":["m"],"running":3,"kv_capacity_tokens":1000})",
                             "application/json");
    });
    routes.Post("/v1/orders", [](const auto &request, auto &response) {
        const auto body = nlohmann::json::parse(request.body);
        response.status = body["fencing"].template get<int>() < 5 ? 409 : 200;
        response.set_content("{}", "application/json");
    });
}

void FakeEngine::addHoldRoutes()
{
    auto &routes = server_.routes();
    routes.Post("/v1/holds", [this](const auto &request, auto &response) {
        const auto body = nlohmann::json::parse(request.body);
        const std::lock_guard lock(mutex_);
        if (behaviour_.refuseHolds) {
            response.status = 409;
        } else {
            holds_[body["hold_id"]] = body;
            ++holdsReserved_;
        }
        response.set_content("{}", "application/json");
    });
    routes.Post(R"(/v1/holds/([^/]+)/renew)", [this](const auto &request, auto &response) {
        const std::lock_guard lock(mutex_);
        ++renewals_;
        response.status = holds_.count(request.matches[1]) ? 200 : 404;
    });
    routes.Delete(R"(/v1/holds/([^/]+))", [this](const auto &request, auto &response) {
        const std::lock_guard lock(mutex_);
        response.status = holds_.erase(request.matches[1]) ? 200 : 404;
    });
    routes.Get("/v1/holds", [this](const auto &, auto &response) {
        nlohmann::json list = nlohmann::json::array();
        const std::lock_guard lock(mutex_);
        for (const auto &[id, hold] : holds_)
            list.push_back(hold);
        response.set_content(nlohmann::json{{"holds", list}}.dump(), "application/json");
    });
    routes.Post("/v1/prefill", [this](const auto &, auto &response) {
        const FakeBehaviour now = behaviour();
        std::this_thread::sleep_for(now.acceptDelay);
        const std::lock_guard lock(mutex_);
        ++prefills_;
        response.status = now.failPrefill ? 500 : 200;
        response.set_content(R"({"digest":12345678901234567890})", "application/json");
    });
}

void FakeEngine::call(const httplib::Request &request, httplib::Response &response)
{
    const FakeBehaviour now = behaviour();
    {
        const std::lock_guard lock(mutex_);
        callHeaders_.push_back(request.headers);
        if (now.refuseStatus == 0 || !now.executedFalse)
            ++executions_;
    }
    std::this_thread::sleep_for(now.acceptDelay);
    if (!refuse(response))
        response.set_content(R"({"opened":true})", "application/json");
}

void FakeEngine::complete(const httplib::Request &request, httplib::Response &response)
{
    const auto body = nlohmann::json::parse(request.body);
    if (refuse(response))
        return;
    if (body["attempt"].get<unsigned>() <= behaviour().knownAttempts) {
        response.status = 409;
        return response.set_content(R"({"error":"known"})", "application/json");
    }
    const std::string id = body["request_id"];
    {
        const std::lock_guard lock(mutex_);
        ++executions_;
        streams_[id] = {id, body["attempt"], body["prompt"], body["max_tokens"], false};
    }
    const TimePoint until = steadyNow() + behaviour().acceptDelay;
    while (steadyNow() < until && !isCancelled(id))
        std::this_thread::sleep_for(Millis(5));
    stream(response, id, 0, false);
}

void FakeEngine::stream(httplib::Response &response, const std::string &id, std::uint64_t from,
                        bool resumed)
{
    const FakeBehaviour now = behaviour();
    Stream source;
    {
        const std::lock_guard lock(mutex_);
        source = streams_[id];
    }
    const bool faulty = now.fault != StreamFault::None && (!resumed || now.faultOnResume);
    auto next = std::make_shared<std::uint64_t>(from);
    response.set_chunked_content_provider(
            "text/event-stream", [=, this](std::size_t, httplib::DataSink &sink) {
                const std::uint64_t seq = (*next)++;
                std::this_thread::sleep_for(now.tokenDelay);
                if (isCancelled(id))
                    return false;
                nlohmann::json data = {{"request_id", id},
                                       {"attempt", source.attempt},
                                       {"seq", seq},
                                       {"text", fakeToken(source.prompt, seq)},
                                       {"done", false}};
                const bool last = seq + 1 == source.tokens;
                if (last) {
                    data["done"] = true;
                    data["total"] = source.tokens;
                    data["usage"] = {{"prompt_tokens", (source.prompt.size() + 3) / 4},
                                     {"completion_tokens", source.tokens}};
                }
                std::uint64_t idLine = seq;
                std::string event;
                if (faulty && seq == now.faultAt) {
                    switch (now.fault) {
                    case StreamFault::Truncated:
                        return false;
                    case StreamFault::OtherRequest:
                        data["request_id"] = "someone-else";
                        break;
                    case StreamFault::OtherAttempt:
                        data["attempt"] = source.attempt + 1;
                        break;
                    case StreamFault::Duplicate:
                        event = sseEvent(seq, data);
                        break;
                    case StreamFault::Gap:
                        data["seq"] = seq + 1;
                        idLine = seq + 1;
                        break;
                    case StreamFault::WrongId:
                        idLine = seq + 7;
                        break;
                    case StreamFault::NotJson:
                        data = "text";
                        break;
                    case StreamFault::Freeze:
                        for (int i = 0; i < 500 && !isCancelled(id); ++i)
                            std::this_thread::sleep_for(Millis(10));
                        break;
                    default:
                        break;
                    }
                }
                if (faulty && last && now.fault == StreamFault::WrongTotal)
                    data["total"] = source.tokens + 1;
                event += sseEvent(idLine, data);
                sink.write(event.data(), event.size());
                if (last)
                    sink.done();
                return true;
            });
}

} // namespace cicadafork::test
