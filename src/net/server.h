#pragma once

// Event-driven HTTP/1.1 server on one thread.
//
//   AsyncHttpServer server(context, {.address = address}, [](auto exchange, HttpRequest request) {
//       exchange->respond(200, {}, "hello");
//   });
//   server.start();
//
// A connection reads one request at a time; bytes of the next one wait until the answer is written.
// The handler may answer later, from the same thread, and learns of a caller that leaves.

#include "base/clock.h"
#include "base/error.h"
#include "http/address.h"
#include "net/parser.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace cicadafork {

struct ServerOptions
{
    Address address;
    RequestLimits limits = {};
    Millis headerTimeout{3000}; ///< From the first byte of a request to its end of head and body.
    Millis idleTimeout{15'000}; ///< Between two requests.
    std::size_t maxConnections = 3500;
};

class AsyncHttpServer;

/// One connection of a caller, and the exchange on it. Held by pending operations and by the
/// request that it carries.
class HttpServerConnection : public std::enable_shared_from_this<HttpServerConnection>
{
public:
    HttpServerConnection(AsyncHttpServer &server, asio::ip::tcp::socket socket, std::uint64_t id);

    void start();

    /// Sends a whole answer. Does nothing when the caller has gone.
    void respond(int status, HeaderList headers, std::string_view body);
    /// Sends the head of a streamed answer; the body follows with write() and finish().
    void beginStream(int status, HeaderList headers);
    void write(std::string_view bytes);
    void finish();
    /// Sends bytes as they are, outside any framing; for stand-ins that answer wrongly.
    void sendRaw(std::string_view bytes);
    /// Ends the connection so that the answer looks incomplete.
    void abort();

    /// Called once when the caller leaves before its answer is complete.
    void onDisconnect(std::function<void()> gone) { disconnectHandler_ = std::move(gone); }
    /// Bytes that the caller has not taken yet.
    std::size_t unsentBytes() const { return output_.size() - written_; }
    bool open() const { return socket_.is_open(); }
    /// Closes after the exchange in progress, at once when there is none.
    void closeWhenIdle();
    /// When the first byte of the current request arrived.
    TimePoint requestStart() const { return requestStart_; }

private:
    void armRead();
    void onReadable();
    void consume();
    void failRequest(int status);
    void armTimer(Millis timeout);
    void sendOutput();
    void exchangeDone();
    void closeAfterCaller();
    void close();
    void notifyDisconnect();

    AsyncHttpServer &server_;
    asio::ip::tcp::socket socket_;
    std::uint64_t id_;
    asio::steady_timer timer_;
    RequestParser parser_;
    std::string input_; ///< Bytes that arrived and are not parsed yet.
    std::string output_;
    std::size_t written_ = 0;
    std::function<void()> disconnectHandler_;
    TimePoint requestStart_{};
    bool handlingRequest_ = false; ///< A request is at the handler.
    bool chunked_ = false;         ///< The answer in progress is sent in chunks.
    bool keepAlive_ = true;        ///< Of the request in progress.
    bool acceptsChunked_ = true;
    bool readArmed_ = false;
    bool writing_ = false;
    bool closing_ = false;   ///< Close after the output is written.
    bool lingering_ = false; ///< All is written; waits for the caller to close.
};

class AsyncHttpServer
{
public:
    using Handler = std::function<void(std::shared_ptr<HttpServerConnection>, HttpRequest)>;

    AsyncHttpServer(asio::io_context &context, ServerOptions options, Handler handler);
    ~AsyncHttpServer();
    AsyncHttpServer(const AsyncHttpServer &) = delete;
    AsyncHttpServer &operator=(const AsyncHttpServer &) = delete;

    /// Fails with Unavailable when the address cannot be bound.
    Result<void> start();
    /// Takes no further connections.
    void stopListening();
    /// New answers carry "Connection: close".
    void beginDrain() { draining_ = true; }
    /// Closes every connection that carries no request.
    void closeIdleConnections();
    /// Closes everything at once.
    void closeAll();

    /// Limits of new connections.
    void setLimits(RequestLimits limits, Millis headerTimeout, Millis idleTimeout);
    std::size_t connections() const { return connections_.size(); }
    bool draining() const { return draining_; }
    const ServerOptions &options() const { return options_; }

private:
    friend class HttpServerConnection;

    void accept();

    ServerOptions options_;
    Handler handler_;
    asio::ip::tcp::acceptor acceptor_;
    asio::steady_timer acceptRetry_;
    std::unordered_map<std::uint64_t, std::weak_ptr<HttpServerConnection>> connections_;
    std::uint64_t nextId_ = 0;
    bool draining_ = false;
    /// Shared by all connections, so that an idle connection holds no buffer.
    std::array<char, 64 * 1024> scratch_;
};

} // namespace cicadafork
