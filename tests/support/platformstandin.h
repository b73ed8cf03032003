#pragma once

// Stand-ins of the users' platform inside the test program: its store, and replicas whose answers
// the test chooses. They speak what the users publish.
//
//   StoreStandin store(context, addresses.next());
//   store.put("keyed.op", "config", text);
//   EndpointStandin replica(context, addresses.next(), "i-1");
//   replica.script = {EndpointBehaviour::NotRun, EndpointBehaviour::Answer};   // then Answer

#include "http/address.h"
#include "net/server.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cicadafork::test {

class StoreStandin
{
public:
    StoreStandin(asio::io_context &context, const Address &address);

    /// Writes a record; without a value the key is dropped.
    void put(const std::string &topic, const std::string &key, std::optional<std::string> value);

    bool refuses = false; ///< Answers 503, as to machines that are turned away.
    unsigned calls = 0;
    std::map<std::string, unsigned> callsByTopic;

private:
    struct Record
    {
        std::string key;
        std::optional<std::string> value;
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

    asio::io_context &context_;
    std::map<std::string, std::vector<Record>> topics_;
    std::vector<PendingRead> pending_;
    AsyncHttpServer server_;
};

/// How a replica treats one request.
enum class EndpointBehaviour {
    Answer,       ///< A whole answer, or a stream of kStreamEvents events.
    NotRun,       ///< 503 with the statement that it did not run.
    Fails,        ///< 500, signed.
    Unsigned,     ///< 200 without its signature.
    Resets,       ///< Runs it and closes without an answer.
    BreaksStream, ///< Three events and half of the fourth.
    StrayFirst,   ///< An answer of another request before the right one.
    Cut,          ///< Half of the body.
    Silent,       ///< Never answers.
};

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

    EndpointStandin(asio::io_context &context, const Address &address, std::string id);

    const Address address;
    const std::string id;
    std::deque<EndpointBehaviour> script; ///< Of the next requests; Answer when it is empty.
    std::vector<Run> runs;                ///< Requests that it began to work on.
    unsigned arrivals = 0;
    Millis eventGap{3};

private:
    void onRequest(const std::shared_ptr<HttpServerConnection> &caller, HttpRequest request);
    void stream(const std::shared_ptr<HttpServerConnection> &caller, unsigned next, bool breaks);
    HeaderList signedHeaders(const std::string &requestId) const;

    asio::io_context &context_;
    AsyncHttpServer server_;
};

} // namespace cicadafork::test
