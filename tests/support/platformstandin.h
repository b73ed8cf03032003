#pragma once

// In-process fakes of the platform: its record store, and endpoints whose responses the test
// scripts. They implement the platform's published HTTP interface.
//
//   StoreStandin store(context, addresses.next());
//   store.put("keyed.op", "config", text);
//   EndpointStandin endpoint(context, addresses.next(), "i-1");
//   endpoint.script = {EndpointBehaviour::NotRun, EndpointBehaviour::Answer};

#include "http/address.h"
#include "net/server.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cicadafork::test {

class StoreStandin
{
public:
    StoreStandin(asio::io_context &context, const Address &address);

    /// Appends a record and completes the waiting reads of the topic. An empty value deletes the
    /// key.
    void put(const std::string &topic, const std::string &key, std::optional<std::string> value);
    /// Loses what was written within the last `age`, as a store restored from a copy of that age
    /// does: the offsets of the lost records are given out again and the era rises by one. Waiting
    /// reads beyond the new end get 410.
    void restoreCopy(Millis age);
    std::uint64_t era() const { return era_; }
    /// Value of the newest record of a key; nothing if there is none or it was deleted.
    std::optional<std::string> value(const std::string &topic, const std::string &key) const;
    /// Keys that have a value.
    std::vector<std::string> keys(const std::string &topic) const;
    /// Offset of the topic's next record.
    std::size_t end(const std::string &topic) { return topics_[topic].size(); }
    /// Answers the reads that wait for records with 503, as a store that goes away does.
    void refuseWaitingReads();

    bool refuses = false; ///< Answers every request with 503.
    unsigned calls = 0;
    std::map<std::string, unsigned> callsByTopic;

private:
    struct Record
    {
        std::string key;
        std::optional<std::string> value;
        TimePoint writtenAt{};
    };
    struct PendingRead
    {
        std::string topic;
        std::size_t from = 0;
        std::shared_ptr<HttpServerConnection> caller;
        std::unique_ptr<asio::steady_timer> timer;
    };

    void onRequest(const std::shared_ptr<HttpServerConnection> &caller, const HttpRequest &request);
    void answerRead(const std::shared_ptr<HttpServerConnection> &caller, const std::string &topic,
                    std::size_t from);
    void answerNewest(const std::shared_ptr<HttpServerConnection> &caller,
                      const std::string &topic);
    void append(const std::string &topic, std::string_view body);
    /// Answers with the era in the header, as the store does in all its answers.
    void respond(const std::shared_ptr<HttpServerConnection> &caller, int status,
                 const std::string &body);

    asio::io_context &context_;
    std::map<std::string, std::vector<Record>> topics_;
    std::vector<PendingRead> pending_;
    std::uint64_t era_ = 1;
    AsyncHttpServer server_;
};

/// How an endpoint handles one request.
enum class EndpointBehaviour {
    Answer,       ///< Complete response, or a stream of kStreamEvents events.
    NotRun,       ///< 503 with the Not-Run header.
    Fails,        ///< 500 with the Response-Seal header.
    Unsigned,     ///< 200 without the Response-Seal header.
    Resets,       ///< Records the run, then closes without a response.
    BreaksStream, ///< Closes in the middle of the fourth event.
    StrayFirst,   ///< Response to another request before the right one.
    Cut,          ///< Closes in the middle of the body.
    Silent,       ///< Never responds.
    Endless,      ///< The head and then bytes without end, both from `endless`.
};

/// An answer that goes on until its connection is closed.
struct EndlessAnswer
{
    std::string head;  ///< The request id takes the place of each `$`.
    std::string piece; ///< Sent again and again.
    std::size_t bytesPerSecond = 0;
    std::size_t maxUnsentBytes = 1024 * 1024; ///< Of one answer, held by the endpoint.
};

/// What becomes of the open connections of a daemon that is cut off from an endpoint.
enum class OpenConnections { Reset, Silent, LiveOn };

class EndpointStandin
{
public:
    static constexpr unsigned kStreamEvents = 6;

    struct Run
    {
        std::string requestId;
        HttpRequest request;
        std::shared_ptr<HttpServerConnection> connection;
    };
    /// A request that the endpoint has received, whether or not it was executed.
    struct Arrival
    {
        std::string endpoint;
        std::string requestId;
        std::string workspace;
        TimePoint at{};
        TimePoint answeredAt{}; ///< Later than `at` by the rest of a silence.
        EndpointBehaviour behaviour = EndpointBehaviour::NotRun;
        bool ran = false;
        bool saysLeaving = false;
        Millis quietFor{0}; ///< Stated in a refusal; 0 if none was.
    };

    /// Streams end with their connection if they are not sent in chunks.
    EndpointStandin(asio::io_context &context, const Address &address, std::string id,
                    bool chunksStreams = true);

    /// The open connections from the IP address are reset, or nothing is read or written on them.
    void cutOff(const std::string &ip, OpenConnections connections);
    /// Connections that were silent stay so, as what was sent on them is lost.
    void heal(const std::string &ip);
    /// Reads and writes nothing for a while, with all connections open, and then goes on.
    void fallSilent(Millis duration) { silentUntil_ = steadyNow() + duration; }

    const Address address;
    const std::string id;
    /// Asked for each request of a caller: true to take it and neither run nor answer it. Orders
    /// are carried out all the same.
    std::function<bool()> hangs;
    Millis prefillTime{0}; ///< Before the first event of a stream.
    /// Asked for each ticket that a report lists: true if a request uses its memory.
    std::function<bool(const std::string &ticket)> usesMemory;
    std::deque<EndpointBehaviour> script; ///< For the next requests; Answer once it is empty.
    std::vector<Run> runs;                ///< Requests that were executed, at least in part.
    std::vector<Arrival> log;
    unsigned arrivals = 0;
    Millis eventGap{3};
    EndlessAnswer endless;
    std::size_t padding = 0;                 ///< Bytes added to an answer that is no stream.
    bool leaving = false;                    ///< Says in all its responses that it leaves.
    std::map<std::string, TimePoint> leases; ///< End of each lease of memory, by ticket.
    /// Called when a lease ends without a release.
    std::function<void(const std::string &ticket)> onLapse;
    std::optional<Millis> quietFor; ///< Refuses every request and asks for this time without any.
    /// Named in all responses: the requests a second that it takes from all daemons together.
    std::optional<double> limit;
    std::optional<Millis> coldFor; ///< Stated in all responses.
    /// Part of a prompt on which the endpoint crashes when it begins to write an answer, unless it
    /// is the last one: it sends the head, and then all its connections end and it listens no more.
    std::string crashingPart;
    /// Body of requests under which the endpoint crashes before it answers.
    std::string crashingBody;
    Millis crashDelay{5}; ///< From the head of the answer, or from the request, to the crash.
    std::function<void()> onCrash; ///< May not destroy the endpoint.
    bool crashed = false;
    /// Before an endpoint that does not send chunks crashes, its answers end in an orderly way.
    bool closesOrderly = false;

private:
    void onRequest(const std::shared_ptr<HttpServerConnection> &caller, HttpRequest request);
    /// Reserves or releases memory. Leases run out during a silence too.
    void carryOutOrder(const std::string &body);
    void endLease(const std::string &ticket, TimePoint expected);
    std::string report() const;
    bool crashesOn(const HttpRequest &request) const;
    void crash();
    void stream(const std::shared_ptr<HttpServerConnection> &caller, unsigned next, bool breaks);
    void sendEndlessly(const std::shared_ptr<HttpServerConnection> &caller, TimePoint begin,
                       std::size_t sent);
    /// Runs the step at the given time, or when the silence ends if that is later.
    void runAt(TimePoint time, std::function<void()> step);
    HeaderList plainHeaders(const std::string &requestId) const;
    HeaderList signedHeaders(const std::string &requestId) const;

    bool isCutOff(const HttpServerConnection &caller) const;

    asio::io_context &context_;
    std::map<std::string, OpenConnections> cutOff_;           ///< By IP address.
    std::set<const HttpServerConnection *> lost_;             ///< Silent for good.
    std::vector<std::shared_ptr<HttpServerConnection>> held_; ///< Of requests that got lost.
    TimePoint silentUntil_{};
    std::shared_ptr<int> alive_ = std::make_shared<int>(0); ///< Steps end with the stand-in.
    AsyncHttpServer server_;
};

} // namespace cicadafork::test
