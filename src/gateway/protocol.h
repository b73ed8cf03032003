#pragma once

// Interface between the gateway and the protocol of the callers, the endpoints and the platform's
// store. The platform adapter implements these functions; only the adapter knows the names of
// header fields and the format of records.
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

using PromptPartId = std::uint64_t;

/// What a caller states about its request.
struct CallerFields
{
    std::string requestId;           ///< Empty when absent or present more than once.
    std::string apiKey;              ///< Empty when absent.
    Millis deadline = Millis::max(); ///< How long the caller waits after sending.
    std::uint64_t promptTokens = 0;
    std::uint64_t maxAnswerTokens = 0;
    std::optional<std::uint64_t> answerHint;  ///< The caller's estimate of the answer's tokens.
    std::optional<std::uint64_t> lastEventId; ///< Resume the stream after this event.
    /// The parts of the prompt that other requests may share, in order: all but the last one.
    std::vector<PromptPartId> sharedPromptParts;
    /// Tokens of each shared part; absent where the caller states none that can be read.
    std::vector<std::optional<std::uint64_t>> sharedPromptTokens;
    std::string prompt; ///< All parts of the prompt, as the caller names them.
};

/// Endpoint that computes a part of the prompt for another endpoint.
struct DispatchHelper
{
    Address address;
    std::string ticket; ///< Id of the memory reserved there; empty if none is.
};

/// What the gateway tells an endpoint in addition to the caller's own fields.
struct DispatchFields
{
    std::string endpointId; ///< An endpoint with another id at the address refuses the request.
    std::string workspace;  ///< Empty on routes without one.
    Millis deadline{0};
    std::vector<DispatchHelper> helpers; ///< Those that hold reserved memory come first.
    std::optional<std::uint64_t> lastEventId;
    std::optional<int> priority; ///< 0 is the most urgent.
};

/// What an endpoint states about itself, in an answer of any kind.
struct EndpointStatement
{
    bool leaving = false;           ///< It shuts down; new requests must not be sent to it.
    std::optional<Millis> quietFor; ///< With a refusal: it wants no requests for this time.
    /// Requests a second that it takes from all daemons together, for as long as it states it.
    std::optional<double> requestsPerSecond;
    /// It is cold for this time, or no longer if it is 0; absent if it does not say.
    std::optional<Millis> coldFor;
    bool answered = false; ///< False without an answer, or if another instance answered.
    /// Field with a value that has no meaning and was ignored, for the log; empty when there is
    /// none.
    std::string unreadable;
};

/// What an endpoint states about its answer.
struct ReplyFields
{
    std::string requestId;
    bool sealed = false;        ///< The answer carries the endpoint's signature.
    bool notRun = false;        ///< The endpoint states that it did not run the request.
    std::string instance;       ///< Id of the endpoint that answered; empty when not stated.
    std::string faultyEndpoint; ///< Helper that caused the failure; empty when not stated.
    EndpointStatement statement;
};

struct WireProtocol
{
    CallerFields (*readCaller)(const HttpRequest &request);
    /// Removes the header fields that callers may not set and adds those of the dispatch.
    void (*prepareForEndpoint)(HeaderList &headers, const DispatchFields &fields);
    /// Removes the header fields of the caller's connection and adds what another daemon must know
    /// of the dispatch: the deadline and the last event.
    void (*prepareForPeer)(HeaderList &headers, const DispatchFields &fields);
    ReplyFields (*readReply)(const HttpResponseHead &head);
    /// Header fields of an answer that the gateway itself produces.
    HeaderList (*ownAnswerHeaders)(const std::string &requestId, std::optional<Millis> retryAfter);
    const char *readinessPath;
};

struct StoreRecord
{
    std::string key;
    std::optional<std::string> value; ///< Absent when the key was deleted.
    std::uint64_t offset = 0;
    /// For a deletion: the last value before it, if it was read together with the deletion.
    std::optional<std::string> deletedValue = {};
};

struct StorePage
{
    std::vector<StoreRecord> records;
    std::uint64_t next = 0; ///< Offset at which the next read begins.
    bool more = false;      ///< For newest(): there are further keys after the last one.
    /// Of the store that answered, whether or not the call failed; absent if it stated none.
    std::optional<std::uint64_t> era = {};
};

enum class StoreFailure {
    None,
    NoAnswer,
    Refused,
    Expired ///< There are no records at the offset: they were deleted, or lost and not yet
            ///< replaced.
};

/// Calls to the keyed topics of the platform's store. The store may come back from an older copy of
/// itself, which lacks the newest records and gives out their offsets again; its era rises by one
/// each time, and every answer states it. Each callback runs exactly once, and never
/// before the call has returned.
struct StoreCalls
{
    using PageCallback = std::function<void(StoreFailure, StorePage)>;
    using PutCallback = std::function<void(StoreFailure, std::optional<std::uint64_t> era)>;
    /// Reads one page of the newest record of each key, after the given key.
    std::function<void(const std::string &topic, const std::string &afterKey, Millis timeout,
                       PageCallback done)>
            newest;
    /// Reads records from an offset; if there is none, waits up to the given time for one.
    std::function<void(const std::string &topic, std::uint64_t from, Millis wait, Millis timeout,
                       PageCallback done)>
            read;
    std::function<void(const std::string &topic, const std::string &key, const std::string &value,
                       Millis timeout, PutCallback done)>
            put;
};

enum class OrderOutcome {
    Done,
    Refused,
    Unknown, ///< No answer: it may have been carried out, or may still be.
};

struct OrderReply
{
    OrderOutcome outcome = OrderOutcome::Unknown;
    EndpointStatement statement;
};

/// Whether a request uses memory that is reserved under a ticket.
enum class MemoryUse {
    Unknown, ///< The endpoint did not answer, or does not list the ticket.
    Unused,
    Used,
};

/// Orders to endpoints. Each callback runs exactly once, and never before the call has returned.
struct OrderCalls
{
    /// Reserves memory for the given tokens under a ticket, or renews the lease of the ticket.
    std::function<void(const Address &address, const std::string &endpointId,
                       const std::string &ticket, std::uint64_t tokens, Millis lease,
                       Millis timeout, std::function<void(const OrderReply &)> done)>
            reserve;
    std::function<void(const Address &address, const std::string &endpointId,
                       const std::string &ticket, Millis timeout,
                       std::function<void(const OrderReply &)> done)>
            release;
    /// Asks for the use of a ticket. The answer may be some hundred milliseconds old.
    std::function<void(const Address &address, const std::string &ticket, Millis timeout,
                       std::function<void(MemoryUse)> done)>
            askUse;
};

/// Topics of the store and parsers for their records.
struct StoreLayout
{
    std::string configTopic;
    std::string configKey;
    /// In the topic of the configuration; the rest of the key is a failure domain.
    std::string evacuationPrefix;
    std::string endpointsTopic;
    std::string membersTopic; ///< Written by the gateway daemons themselves.
    /// Both fail with InvalidArgument on a record that cannot be parsed.
    Result<RoutingConfig> (*readConfig)(const std::string &text);
    Result<EndpointRecord> (*readEndpoint)(const std::string &id, const std::string &text);
};

} // namespace cicadafork::gateway
