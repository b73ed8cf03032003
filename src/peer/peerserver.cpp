// GCC 12 takes the unset alternative of kj's ExceptionOr for an uninitialised variant.
#ifndef __clang__
    #pragma GCC diagnostic ignored "-Wmaybe-uninitialized"
#endif

#include "peer/peerserver.h"

#include "base/log.h"
#include "peer/convert.h"
#include "peer/countedstream.h"

#include <asio/post.hpp>
#include <asio/thread_pool.hpp>
#include <capnp/rpc-twoparty.h>
#include <fmt/format.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <atomic>
#include <map>

namespace cicadafork {

namespace {

/// Words of 8 bytes that one message may hold: 16 MB, above any snapshot within the memory budget.
constexpr std::uint64_t kMaxMessageWords = 2 * 1024 * 1024;
constexpr Millis kSweepInterval{1000};

/// Threads for handlers that may block.
class WorkerPool
{
public:
    WorkerPool(std::size_t threads, std::size_t maxPending)
        : pool_(threads)
        , maxPending_(maxPending)
    {
    }

    void join() { pool_.join(); }

    /// Runs the work on a thread; the promise belongs to the calling event loop.
    template <class Value>
    kj::Promise<Value> submit(std::function<Value()> work)
    {
        if (pending_->load() >= maxPending_)
            return KJ_EXCEPTION(FAILED, "too many pending calls");
        auto result = kj::newPromiseAndCrossThreadFulfiller<Value>();
        ++*pending_;
        // std::function needs a copyable closure.
        auto fulfiller = std::make_shared<kj::Own<kj::CrossThreadPromiseFulfiller<Value>>>(
                kj::mv(result.fulfiller));
        asio::post(pool_, [work = std::move(work), fulfiller, pending = pending_] {
            KJ_IF_MAYBE (exception,
                         kj::runCatchingExceptions([&] { (*fulfiller)->fulfill(work()); }))
                (*fulfiller)->reject(kj::mv(*exception));
            --*pending;
        });
        return kj::mv(result.promise);
    }

private:
    asio::thread_pool pool_;
    const std::size_t maxPending_;
    std::shared_ptr<std::atomic<std::size_t>> pending_
            = std::make_shared<std::atomic<std::size_t>>(0);
};

/// What the two RPC interfaces of a connection share.
struct ConnectionContext
{
    std::shared_ptr<const PeerHandlers> handlers;
    std::shared_ptr<WorkerPool> workers;
    PeerIdentity self;
    std::string ip;
    std::string memberId; ///< Empty before the hello.
    TimePoint lastCall;
};

using ContextPointer = std::shared_ptr<ConnectionContext>;

class PeerInterface final : public wire::Peer::Server
{
public:
    explicit PeerInterface(ContextPointer context)
        : context_(std::move(context))
    {
    }

    kj::Promise<void> heartbeat(HeartbeatContext call) override
    {
        touch();
        const Digest digest = readDigest(call.getParams().getDigest());
        require(digest.memberId == context_->memberId, "digest of another member");
        writeReply(handlers().heartbeat(digest), call.getResults().initReply());
        return kj::READY_NOW;
    }

    kj::Promise<void> pushConfig(PushConfigContext call) override
    {
        touch();
        return work<Offset>([handlers = context_->handlers,
                             update = fromKj(call.getParams().getUpdate())] {
                   return handlers->pushConfig(update);
               })
                .then([call](Offset next) mutable { call.getResults().setNextOffset(next); });
    }

    kj::Promise<void> pullConfig(PullConfigContext call) override
    {
        touch();
        return work<std::string>(
                       [handlers = context_->handlers, from = call.getParams().getFrom()] {
                           return handlers->pullConfig(from);
                       })
                .then([call](std::string update) mutable {
                    call.getResults().setUpdate(toKj(update));
                });
    }

    kj::Promise<void> claim(ClaimContext call) override
    {
        touch();
        const auto batch = call.getParams().getBatch();
        return work<Expected<std::string>>(
                       [handlers = context_->handlers,
                        bytes = std::string(batch.asChars().begin(), batch.size())] {
                           return handlers->claim(bytes);
                       })
                .then([call](Expected<std::string> outcome) mutable {
                    writeOutcome(outcome, call.getResults().initOutcome());
                });
    }

    kj::Promise<void> noteStream(NoteStreamContext call) override
    {
        touch();
        const auto params = call.getParams();
        handlers().noteStream(fromKj(params.getRequestId()), fromKj(params.getEndpointId()));
        return kj::READY_NOW;
    }

    kj::Promise<void> findStream(FindStreamContext call) override
    {
        touch();
        const auto endpoint = handlers().findStream(fromKj(call.getParams().getRequestId()));
        call.getResults().setEndpointId(toKj(endpoint.value_or("")));
        return kj::READY_NOW;
    }

    kj::Promise<void> runQuery(RunQueryContext call) override
    {
        touch();
        return work<Expected<std::string>>(
                       [handlers = context_->handlers, text = fromKj(call.getParams().getText())] {
                           return handlers->runQuery(text);
                       })
                .then([call](Expected<std::string> outcome) mutable {
                    writeOutcome(outcome, call.getResults().initOutcome());
                });
    }

    kj::Promise<void> dump(DumpContext call) override
    {
        touch();
        return work<Expected<std::string>>(
                       [handlers = context_->handlers] { return handlers->dump(); })
                .then([call](Expected<std::string> outcome) mutable {
                    writeOutcome(outcome, call.getResults().initOutcome());
                });
    }

private:
    const PeerHandlers &handlers() const { return *context_->handlers; }

    /// A member that left the list loses its access also on an open connection.
    void touch()
    {
        context_->lastCall = steadyNow();
        require(handlers().accept(context_->memberId, context_->ip), "not a known member");
    }

    template <class Value>
    kj::Promise<Value> work(std::function<Value()> function)
    {
        return context_->workers->submit<Value>(std::move(function));
    }

    ContextPointer context_;
};

class BootstrapInterface final : public wire::Bootstrap::Server
{
public:
    explicit BootstrapInterface(ContextPointer context)
        : context_(std::move(context))
    {
    }

    kj::Promise<void> hello(HelloContext call) override
    {
        const auto params = call.getParams();
        const std::string memberId = fromKj(params.getMemberId());
        require(params.getVersion() >= wire::OLDEST_VERSION, "protocol version is too old");
        require(context_->memberId.empty(), "a second hello on one connection");
        if (!context_->handlers->accept(memberId, context_->ip)) {
            logEvent(LogLevel::Warning, "peer_refused", {{"peer", memberId}, {"ip", context_->ip}});
            require(false, "not a known member at this address");
        }
        context_->memberId = memberId;
        context_->lastCall = steadyNow();
        auto results = call.getResults();
        results.setVersion(wire::PROTOCOL_VERSION);
        results.setMemberId(toKj(context_->self.memberId));
        results.setIncarnation(toKj(context_->self.incarnation));
        results.setPeer(kj::heap<PeerInterface>(context_));
        return kj::READY_NOW;
    }

private:
    ContextPointer context_;
};

struct ServerConnection
{
    ServerConnection(kj::Own<kj::AsyncIoStream> connected, ContextPointer shared,
                     capnp::ReaderOptions options)
        : context(std::move(shared))
        , stream(kj::mv(connected))
        , network(*stream, capnp::rpc::twoparty::Side::SERVER, options)
        , rpc(capnp::makeRpcServer(network, kj::heap<BootstrapInterface>(context)))
    {
    }

    ContextPointer context;
    kj::Own<kj::AsyncIoStream> stream;
    capnp::TwoPartyVatNetwork network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpc;
};

} // namespace

class PeerServer::State final : private kj::TaskSet::ErrorHandler
{
public:
    State(kj::AsyncIoContext &io, const PeerServerOptions &options,
          std::shared_ptr<const PeerHandlers> handlers)
        : io_(io)
        , options_(options)
        , handlers_(std::move(handlers))
        , workers_(std::make_shared<WorkerPool>(options.threads, options.maxPending))
        , tasks_(*this)
    {
    }

    void listen()
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(options_.address.port);
        inet_pton(AF_INET, options_.address.ip.c_str(), &address.sin_addr);
        listener_ = io_.provider->getNetwork().getSockaddr(&address, sizeof address)->listen();
        tasks_.add(acceptNext());
        tasks_.add(sweepLater());
    }

    std::shared_ptr<WorkerPool> workers() { return workers_; }
    std::size_t connections() const { return connections_.size(); }

private:
    kj::Promise<void> acceptNext()
    {
        return listener_->accept()
                .then([this](kj::Own<kj::AsyncIoStream> stream) { add(kj::mv(stream)); })
                // Also failures of add(): a client that closed at once has no peer name, and that
                // ended the loop, so that the daemon accepted no peer any more.
                .catch_([](kj::Exception &&exception) {
                    logEvent(LogLevel::Warning, "peer_accept_failed",
                             {{"error", exception.getDescription().cStr()}});
                })
                .then([this] { return acceptNext(); });
    }

    void add(kj::Own<kj::AsyncIoStream> stream)
    {
        if (connections_.size() >= options_.maxConnections)
            return;
        sockaddr_in address{};
        kj::uint length = sizeof address;
        stream->getpeername(reinterpret_cast<sockaddr *>(&address), &length);
        char ip[INET_ADDRSTRLEN] = "";
        inet_ntop(AF_INET, &address.sin_addr, ip, sizeof ip);
        int on = 1;
        stream->setsockopt(IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        auto context = std::make_shared<ConnectionContext>(
                ConnectionContext{handlers_, workers_, options_.self, ip, "", steadyNow()});
        capnp::ReaderOptions limits;
        limits.traversalLimitInWords = kMaxMessageWords;
        const std::uint64_t id = ++lastId_;
        auto connection = kj::heap<ServerConnection>(
                kj::heap<CountedStream>(kj::mv(stream), options_.meter), context, limits);
        tasks_.add(connection->network.onDisconnect().then([this, id] { connections_.erase(id); }));
        connections_.emplace(id, kj::mv(connection));
    }

    kj::Promise<void> sweepLater()
    {
        return io_.provider->getTimer()
                .afterDelay(kSweepInterval.count() * kj::MILLISECONDS)
                .then([this] {
                    const TimePoint oldest = steadyNow() - options_.idleTimeout;
                    std::erase_if(connections_, [&](const auto &entry) {
                        return entry.second->context->lastCall < oldest;
                    });
                    return sweepLater();
                });
    }

    void taskFailed(kj::Exception &&exception) override
    {
        logEvent(LogLevel::Warning, "peer_connection_failed",
                 {{"error", exception.getDescription().cStr()}});
    }

    kj::AsyncIoContext &io_;
    const PeerServerOptions &options_;
    std::shared_ptr<const PeerHandlers> handlers_;
    std::shared_ptr<WorkerPool> workers_;
    kj::Own<kj::ConnectionReceiver> listener_;
    std::uint64_t lastId_ = 0;
    std::map<std::uint64_t, kj::Own<ServerConnection>> connections_;
    kj::TaskSet tasks_; ///< Cancelled first, because its tasks use the members above.
};

PeerServer::PeerServer(PeerLoop &loop, PeerServerOptions options, PeerHandlers handlers)
    : loop_(loop)
    , options_(std::move(options))
    , handlers_(std::make_shared<const PeerHandlers>(std::move(handlers)))
{
}

PeerServer::~PeerServer()
{
    stop();
}

Result<void> PeerServer::start()
{
    std::string problem;
    loop_.run([&] {
        state_ = kj::heap<State>(loop_.io(), options_, handlers_);
        KJ_IF_MAYBE (exception, kj::runCatchingExceptions([&] { state_->listen(); }))
            problem = exception->getDescription().cStr();
    });
    if (problem.empty())
        return {};
    stop();
    return fail(ErrorCode::Unavailable,
                fmt::format("cannot listen on {}: {}", toString(options_.address), problem),
                "check that the peer address is this machine's and not in use");
}

void PeerServer::stop()
{
    if (!state_)
        return;
    std::shared_ptr<WorkerPool> workers;
    loop_.run([&] {
        workers = state_->workers();
        state_ = nullptr;
    });
    workers->join();
}

std::size_t PeerServer::connections()
{
    return state_ ? loop_.run([&] { return state_->connections(); }) : 0;
}

} // namespace cicadafork
