#pragma once

// Event-driven, single-threaded HTTP/1.1 server.
//
//   AsyncHttpServer server(context, {.address = address}, [](auto exchange, HttpRequest request) {
//       exchange->respond(200, {}, "hello");
//   });
//   server.start();
//
// Each connection handles one request at a time; pipelined requests stay buffered until the current
// response is complete. The handler may respond asynchronously, on the same thread, and can
// register a callback for when the caller disconnects.

#include "base/clock.h"
#include "base/error.h"
#include "http/address.h"
#include "net/answerroom.h"
#include "net/parser.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cicadafork {

/// Why the server closed a caller's connection, or stopped using it.
enum class ConnectionEnd {
    ByCaller,          ///< The caller closed it, or it broke.
    Idle,              ///< No request arrived within the idle timeout.
    IncompleteRequest, ///< A request did not arrive in full within the header timeout.
    AfterLastAnswer,   ///< The answer said that it is the last one of the connection.
    Draining,          ///< It was idle when the server closed its idle connections.
    OverLimit,         ///< There were too many connections; a request on it was refused.
    Aborted,           ///< The handler aborted the response, or the server closed all connections.
};

const char *toString(ConnectionEnd end);

/// A request that the server answers itself.
struct ServerAnswer
{
    int status = 0;
    const HttpRequest &head; ///< Empty unless the request's head is complete.
    /// When room for the body can be expected; unset unless the request is refused for lack of it.
    std::optional<Millis> roomIn = std::nullopt;
};

struct ServerOptions
{
    Address address;
    RequestLimits limits = {};
    /// From the first byte of a request to the end of its head, and for each pause within its body.
    Millis headerTimeout{3000};
    Millis requestTimeout{15'000};     ///< From the first byte of a request to the end of its body.
    Millis idleTimeout{15'000};        ///< Limit for a connection without a request.
    std::size_t maxConnections = 3500; ///< Requests of further ones are refused with 503.
    /// Connections that are refused at a time; further ones wait to be accepted.
    std::size_t maxRefusedConnections = 32;
    /// Descriptors that are kept for refusing connections when the process has no others left.
    std::size_t spareDescriptors = 0;
    /// If false, a streamed response has no length and ends with its connection.
    bool chunksStreams = true;
    /// Called for each connection that ends, with the number of bytes received on it that belong to
    /// no complete request.
    std::function<void(ConnectionEnd end, std::size_t unusedBytes)> connectionEnded = {};
    /// Called when the server itself answers a request that the handler does not get; returns the
    /// header fields of the answer.
    std::function<HeaderList(const ServerAnswer &answer)> serverAnswers = {};
    /// Requests whose body finds no room are refused with 503. Must outlive the server and all
    /// requests; null: unlimited.
    BodyRoom *bodyRoom = nullptr;
    /// Room for answers that callers have not taken; a connection that has to give its answer up is
    /// aborted. Must outlive the server; null: unlimited.
    AnswerRoom *answerRoom = nullptr;
    /// Called when accepting begins to fail, for example for lack of descriptors.
    std::function<void(const std::string &error)> acceptFailed = {};
};

class AsyncHttpServer;

/// A caller's connection and the request/response exchange on it. Kept alive by its pending
/// asynchronous operations and by the handler of the current request.
class HttpServerConnection : public std::enable_shared_from_this<HttpServerConnection>
{
public:
    enum class Role { Serve, Refuse };

    HttpServerConnection(AsyncHttpServer &server, asio::ip::tcp::socket socket, std::uint64_t id,
                         Role role);

    void start();

    /// Sends a complete response. Does nothing if the connection is closed.
    void respond(int status, HeaderList headers, std::string_view body);
    /// Sends the head of a streamed response; write() sends the body and finish() ends it.
    void beginStream(int status, HeaderList headers);
    void write(std::string_view bytes);
    void finish();
    /// Sends bytes without any HTTP framing, for stand-ins that simulate malformed responses.
    void sendRaw(std::string_view bytes);
    /// Closes the connection in such a way that the caller detects a truncated response.
    void abort();

    /// Sets a handler that is called once if the caller disconnects before the response is
    /// complete.
    void onDisconnect(std::function<void()> handler) { disconnectHandler_ = std::move(handler); }
    /// Response bytes that are buffered here and not yet written to the socket.
    std::size_t unsentBytes() const { return output_.size() - written_; }
    bool open() const { return socket_.is_open(); }
    /// True if a request is in progress or arrives, if the first one may be on its way, or if the
    /// caller may not have received the last answer yet.
    bool inUse() const;
    /// Closes the connection if it is not in use.
    void closeWhenIdle();
    /// IP address of the caller; empty if the connection has ended.
    std::string remoteIp() const;
    /// When parsing of the current request began.
    TimePoint requestStart() const { return requestStart_; }

private:
    void armRead();
    void onReadable();
    void consume();
    /// Answers a request that has not arrived in full, and closes the connection.
    void failRequest(int status, std::optional<Millis> roomIn = std::nullopt);
    /// Takes room for the body that arrives. Returns false if there is none.
    bool takeRoom();
    /// When the part of a request that is awaited has to be here.
    TimePoint inputDeadline() const;
    void awaitInput();
    void armTimer(Millis timeout);
    void onTimer();
    void sendOutput();
    void finishExchange();
    void shutdownAndLinger();
    void close(ConnectionEnd end);
    void notifyDisconnect();
    /// Whether a close ends the connection with a TCP reset. After an orderly close, a response
    /// that ends with its connection looks complete.
    void resetOnClose(bool resets);
    /// Ends the connection, as its caller takes the answer too slowly.
    void giveUpAnswer();
    bool hasUnreadInput() const;
    /// True if the connection is to end with the answer that begins now.
    bool mustClose() const;

    AsyncHttpServer &server_;
    asio::ip::tcp::socket socket_;
    std::uint64_t id_;
    Role role_;
    asio::steady_timer timer_;
    TimePoint inputAwaitedSince_{};
    RequestParser parser_;
    std::shared_ptr<const BodyHold> hold_; ///< Room for the body that arrives.
    std::string input_;                    ///< Received bytes that are not parsed yet.
    std::string output_;                   ///< Begins with the bytes that are written.
    std::size_t written_ = 0;
    std::optional<AnswerHold> outputHold_; ///< Unset until start().
    std::function<void()> disconnectHandler_;
    TimePoint requestStart_{};
    bool handlingRequest_ = false; ///< The response to the current request is not complete.
    bool chunked_ = false;         ///< The current response uses chunked encoding.
    bool keepAlive_ = true; ///< Whether the connection stays open after the current response.
    bool acceptsChunked_ = true;
    bool readArmed_ = false;
    bool writing_ = false;
    bool awaitsFirstRequest_ = true;
    bool closing_ = false;        ///< Close once all output is written.
    bool lingering_ = false;      ///< All output is written; waiting for the caller to close.
    ConnectionEnd lastAnswerEnd_; ///< Why the connection ends after its last answer.
};

class AsyncHttpServer
{
public:
    using Handler = std::function<void(std::shared_ptr<HttpServerConnection>, HttpRequest)>;

    AsyncHttpServer(asio::io_context &context, ServerOptions options, Handler handler);
    ~AsyncHttpServer();
    AsyncHttpServer(const AsyncHttpServer &) = delete;
    AsyncHttpServer &operator=(const AsyncHttpServer &) = delete;

    /// Starts listening. Fails with Unavailable if the address cannot be bound.
    Result<void> start();
    /// Stops accepting connections; open ones continue.
    void stopListening();
    /// Adds "Connection: close" to all further responses.
    void beginDrain() { draining_ = true; }
    /// Closes all connections that are not in use.
    void closeIdleConnections();
    /// Stops listening and aborts all connections.
    void closeAll();

    /// Changes the options. `limits` applies to the next request of each connection, a longer
    /// timeout to all at once, and a shorter one to all the next time that it is started.
    void setLimits(RequestLimits limits, Millis headerTimeout, Millis idleTimeout);
    std::size_t connections() const { return connections_.size(); }
    /// Connections with response bytes that are not yet written to the socket.
    std::size_t connectionsWithUnsentBytes() const;
    /// True if a connection is in use or waits to be accepted.
    bool inUse();
    bool draining() const { return draining_; }
    const ServerOptions &options() const { return options_; }

private:
    friend class HttpServerConnection;

    void accept();
    void onAcceptFailed(const asio::error_code &error);
    void add(asio::ip::tcp::socket socket);
    void onConnectionClosed(std::uint64_t id, HttpServerConnection::Role role);
    void keepSpares();
    bool mustRefuse() const;
    bool hasUnacceptedConnection();

    ServerOptions options_;
    Handler handler_;
    asio::ip::tcp::acceptor acceptor_;
    asio::steady_timer acceptRetry_;
    std::unordered_map<std::uint64_t, std::weak_ptr<HttpServerConnection>> connections_;
    std::size_t refused_ = 0; ///< Number of connections that are being refused.
    std::vector<asio::ip::tcp::socket> spares_;
    std::uint64_t nextId_ = 0;
    bool acceptPaused_ = false;  ///< Until a connection ends, or acceptRetry_.
    bool acceptFailing_ = false; ///< Accepting has failed, and spares are still missing.
    bool draining_ = false;
    /// Shared by all connections, so that idle connections need no read buffer of their own.
    std::array<char, 64 * 1024> readBuffer_;
};

} // namespace cicadafork
