#pragma once

// What the gateway needs of the language that callers, endpoints and the platform's store speak.
// The adapter supplies these functions; nothing else knows the names on the wire.
//
//   CallerFields caller = protocol.readCaller(request);
//   protocol.prepareForEndpoint(headers, dispatch);

#include "gateway/model.h"
#include "net/message.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace cicadafork::gateway {

/// What a caller states about its request.
struct CallerFields
{
    std::string requestId;           ///< Empty when absent or given twice.
    std::string apiKey;              ///< Empty when absent.
    Millis deadline = Millis::max(); ///< How long the caller waits, from the sending.
    std::uint64_t promptTokens = 0;
    std::uint64_t maxAnswerTokens = 0;
    std::optional<std::uint64_t> answerHint;  ///< The caller's estimate of the answer's tokens.
    std::optional<std::uint64_t> lastEventId; ///< The stream goes on after this event.
};

struct DispatchHelper
{
    Address address;
    std::string ticket; ///< Of memory that is reserved there; may be empty.
};

/// What an endpoint is told besides the caller's own fields.
struct DispatchFields
{
    std::string endpointId; ///< Any other endpoint at the address refuses the request.
    std::string workspace;  ///< Empty on routes without one.
    Millis deadline{0};
    std::vector<DispatchHelper> helpers; ///< Endpoints that read parts, holders of memory first.
    std::optional<std::uint64_t> lastEventId;
    std::optional<int> urgency; ///< 0 is the most urgent.
};

/// What an endpoint states about its answer.
struct ReplyFields
{
    std::string requestId;
    bool sealed = false;        ///< Carries the endpoint's signature.
    bool notRun = false;        ///< The endpoint states that it did not run the request.
    std::string instance;       ///< Id of the endpoint that answered; empty when not stated.
    std::string faultyEndpoint; ///< Helper that made the request fail; empty when not stated.
};

struct WireProtocol
{
    CallerFields (*readCaller)(const HttpRequest &request);
    /// Removes what callers may not set and adds the fields of the dispatch.
    void (*prepareForEndpoint)(HeaderList &headers, const DispatchFields &fields);
    ReplyFields (*readReply)(const HttpResponseHead &head);
    /// Fields of an answer of our own.
    HeaderList (*ownAnswer)(const std::string &requestId, std::optional<Millis> retryAfter);
    const char *readinessPath;
};

struct StoreRecord
{
    std::string key;
    std::optional<std::string> value; ///< Absent when the key was dropped.
    std::uint64_t offset = 0;
};

struct StorePage
{
    std::vector<StoreRecord> records;
    std::uint64_t next = 0; ///< Where the following read begins.
    bool more = false;      ///< Of newest(): continue after the last key.
};

enum class StoreFailure { None, NoAnswer, Refused, Expired };

/// Calls to one keyed topic of the platform's store. Callbacks run later, exactly once.
struct StoreCalls
{
    using PageCallback = std::function<void(StoreFailure, StorePage)>;
    /// The newest record of each key, page by page.
    std::function<void(const std::string &topic, const std::string &afterKey, Millis timeout,
                       PageCallback done)>
            newest;
    /// Records from an offset; waits up to the given time for one. Expired: they are deleted.
    std::function<void(const std::string &topic, std::uint64_t from, Millis wait, Millis timeout,
                       PageCallback done)>
            read;
    std::function<void(const std::string &topic, const std::string &key, const std::string &value,
                       Millis timeout, std::function<void(StoreFailure)> done)>
            put;
};

enum class OrderOutcome {
    Done,
    Refused,
    Unknown, ///< No answer: it may have been carried out, or may be later.
};

/// Orders to endpoints. Callbacks run later, exactly once.
struct OrderCalls
{
    /// Sets memory aside under a ticket, or renews it.
    std::function<void(const Address &address, const std::string &endpointId,
                       const std::string &ticket, std::uint64_t tokens, Millis lease,
                       Millis timeout, std::function<void(OrderOutcome)> done)>
            reserve;
    std::function<void(const Address &address, const std::string &endpointId,
                       const std::string &ticket, Millis timeout)>
            release;
};

/// Meaning of the store's topics and records.
struct StoreLayout
{
    std::string configTopic;
    std::string configKey;
    std::string endpointsTopic;
    std::string membersTopic; ///< The gateway's own.
    /// Fails with InvalidArgument on a record that cannot be read.
    Result<RoutingConfig> (*readConfig)(const std::string &text);
    Result<EndpointRecord> (*readEndpoint)(const std::string &id, const std::string &text);
};

} // namespace cicadafork::gateway
