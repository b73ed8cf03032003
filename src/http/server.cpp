#include "http/server.h"

#include "base/threadpool.h"

#include <fmt/format.h>
#include <sys/socket.h>

namespace cicadafork {

namespace {

// The library compiles in a backlog of 5: of 60 simultaneous connections 27 failed. Calling
// listen() again after binding raises it.
constexpr int kListenBacklog = 4096;

// A connection is reused for any number of requests; the idle timeout ends it.
constexpr std::size_t kKeepAliveMaxCount = 1'000'000;

class ServerThreads : public httplib::TaskQueue
{
public:
    explicit ServerThreads(std::size_t threads)
        : pool_(threads)
    {
    }

    void enqueue(std::function<void()> task) override { pool_.post(std::move(task)); }
    void shutdown() override { pool_.join(); }

private:
    ThreadPool pool_;
};

} // namespace

HttpServer::HttpServer(HttpServerOptions options)
    : options_(std::move(options))
{
    const std::size_t threads = options_.threads;
    server_.new_task_queue = [threads] { return new ServerThreads(threads); };
    server_.set_socket_options([this](socket_t socket) {
        listenSocket_ = socket;
        // The library's default adds SO_REUSEPORT, which lets a second server bind the same port.
        const int on = 1;
        setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    });
    server_.set_tcp_nodelay(true);
    server_.set_payload_max_length(options_.maxBodyBytes);
    server_.set_read_timeout(options_.readTimeout);
    server_.set_write_timeout(options_.writeTimeout);
    server_.set_keep_alive_timeout(
            std::chrono::duration_cast<std::chrono::seconds>(options_.keepAliveTimeout).count());
    server_.set_keep_alive_max_count(kKeepAliveMaxCount);
}

HttpServer::~HttpServer()
{
    stop();
}

Result<void> HttpServer::start()
{
    if (!server_.bind_to_port(options_.address.ip, options_.address.port)) {
        return fail(ErrorCode::Unavailable,
                    fmt::format("cannot listen on {}", toString(options_.address)),
                    "choose an address of this machine and a port that no other process uses");
    }
    listen(listenSocket_, kListenBacklog);
    thread_ = std::thread([this] { server_.listen_after_bind(); });
    // stop() has no effect before the accept loop runs.
    while (!server_.is_running())
        std::this_thread::sleep_for(Millis(1));
    return {};
}

void HttpServer::stop()
{
    if (!thread_.joinable())
        return;
    server_.stop();
    thread_.join();
}

} // namespace cicadafork
