#pragma once

// An HTTP server on its own thread, with the settings that cpp-httplib 0.11.4 needs for many
// concurrent streams.
//
//   HttpServer server({.address = {"127.0.1.1", 8080}, .threads = 64});
//   server.routes().Get("/healthz", handler);
//   auto started = capture([&] { return server.start(); });
//   ...
//   server.stop(); // returns after the last response has been written

#include "base/clock.h"
#include "base/error.h"
#include "http/address.h"

#include <httplib.h>

#include <memory>
#include <thread>

namespace cicadafork {

struct HttpServerOptions
{
    Address address;
    /// Connections served at the same time; a streamed response holds a thread for its whole life.
    std::size_t threads = 16;
    /// Larger request bodies are answered with 413.
    std::size_t maxBodyBytes = 16 * 1024 * 1024;
    Millis readTimeout{5000};
    Millis writeTimeout{5000};
    Millis keepAliveTimeout{5000};
};

class HttpServer
{
public:
    explicit HttpServer(HttpServerOptions options);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Add the routes before start().
    httplib::Server &routes() { return server_; }

    /// Binds and serves on a thread of its own. Fails with Unavailable when the address is in use.
    Result<void> start();

    /// Stops accepting, waits for the responses in progress and joins the thread. Idempotent.
    void stop();

private:
    HttpServerOptions options_;
    httplib::Server server_;
    int listenSocket_ = -1;
    std::thread thread_;
};

} // namespace cicadafork
