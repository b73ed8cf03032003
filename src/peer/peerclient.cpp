// GCC 12 takes the unset alternative of kj's ExceptionOr for an uninitialised variant.
#ifndef __clang__
    #pragma GCC diagnostic ignored "-Wmaybe-uninitialized"
#endif

#include "peer/peerclient.h"

#include "base/log.h"
#include "peer/convert.h"
#include "peer/countedstream.h"

#include <capnp/rpc-twoparty.h>
#include <kj/io.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <unordered_map>

namespace cicadafork {

namespace {

/// Allowance for the RPC frame, the reply and the TCP/IP headers of one heartbeat.
constexpr std::size_t kFrameBytes = 300;
constexpr std::uint64_t kMaxMessageWords = 2 * 1024 * 1024;

struct Connection : kj::Refcounted
{
    Connection(kj::Own<kj::AsyncIoStream> connected, capnp::ReaderOptions options)
        : stream(kj::mv(connected))
        , network(*stream, capnp::rpc::twoparty::Side::CLIENT, options)
        , rpc(capnp::makeRpcClient(network))
    {
    }

    wire::Bootstrap::Client bootstrap()
    {
        capnp::MallocMessageBuilder message(4);
        auto id = message.getRoot<capnp::rpc::twoparty::VatId>();
        id.setSide(capnp::rpc::twoparty::Side::SERVER);
        return rpc.bootstrap(id).castAs<wire::Bootstrap>();
    }

    kj::Own<kj::AsyncIoStream> stream;
    capnp::TwoPartyVatNetwork network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpc;
    wire::Peer::Client peer = nullptr;
    TimePoint lastAnswer{};
};

enum class LinkState { Idle, Connecting, Ready };

struct Link
{
    Address address;
    LinkState state = LinkState::Idle;
    std::uint64_t generation = 0; ///< Tells a late result of an abandoned attempt.
    kj::Maybe<kj::ForkedPromise<void>> connecting;
    kj::Maybe<kj::Own<Connection>> connection;
    TimePoint retryAt{};
    Millis backoff{0};
};

sockaddr_in toSockaddr(const std::string &ip, std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    require(inet_pton(AF_INET, ip.c_str(), &address.sin_addr) == 1, "not an IPv4 address");
    return address;
}

/// A socket that is bound to the source address, so that the peer can check it.
kj::AutoCloseFd makeSocket(const std::string &sourceIp)
{
    kj::AutoCloseFd fd(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    require(fd.get() >= 0, "no socket");
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    // The port is chosen at connect, so that many connections from one address do not use up
    // the ports.
    setsockopt(fd, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &on, sizeof on);
    const sockaddr_in source = toSockaddr(sourceIp, 0);
    require(bind(fd, reinterpret_cast<const sockaddr *>(&source), sizeof source) == 0,
            "cannot bind the source address");
    return fd;
}

} // namespace

class PeerClient::State final : private kj::TaskSet::ErrorHandler
{
public:
    State(kj::AsyncIoContext &io, const PeerClientOptions &options)
        : io_(io)
        , options_(options)
        , tasks_(*this)
    {
    }

    /// Makes a call on a connection to the target; never throws and ends within the timeout.
    template <class Value, class Call>
    kj::Promise<Expected<Value>> start(const PeerTarget &target, Millis timeout, Call call)
    {
        const TimePoint began = steadyNow();
        auto work = kj::evalNow([&] {
            return connection(target).then(
                    [call = kj::mv(call)](kj::Own<Connection> used) mutable -> kj::Promise<Value> {
                        auto answer = call(used->peer);
                        return answer.then([used = kj::mv(used)](Value value) mutable {
                            used->lastAnswer = steadyNow();
                            return value;
                        });
                    });
        });
        return io_.provider->getTimer()
                .timeoutAfter(timeout.count() * kj::MILLISECONDS, kj::mv(work))
                .then([](Value value) -> Expected<Value> { return value; },
                      [this, id = target.id, began](kj::Exception &&e) -> Expected<Value> {
                          noteFailure(id, e, began);
                          return toError(e, id);
                      });
    }

    void addTask(kj::Promise<void> task) { tasks_.add(kj::mv(task)); }

private:
    kj::Promise<kj::Own<Connection>> connection(const PeerTarget &target)
    {
        Link &link = findLink(target);
        KJ_IF_MAYBE (ready, link.connection)
            return kj::addRef(**ready);
        if (link.state == LinkState::Idle) {
            if (steadyNow() < link.retryAt)
                return KJ_EXCEPTION(DISCONNECTED, "not connected; waiting before the next attempt");
            link.state = LinkState::Connecting;
            link.connecting = connect(target, ++link.generation).fork();
        }
        return KJ_ASSERT_NONNULL(link.connecting)
                .addBranch()
                .then([this, id = target.id]() -> kj::Promise<kj::Own<Connection>> {
                    const auto found = links_.find(id);
                    if (found != links_.end()) {
                        KJ_IF_MAYBE (ready, found->second.connection)
                            return kj::addRef(**ready);
                    }
                    return KJ_EXCEPTION(DISCONNECTED, "not connected");
                });
    }

    Link &findLink(const PeerTarget &target)
    {
        auto found = links_.find(target.id);
        if (found != links_.end() && found->second.address != target.address) {
            links_.erase(found);
            found = links_.end();
        }
        if (found != links_.end())
            return found->second;
        if (links_.size() >= options_.maxLinks) {
            std::erase_if(links_,
                          [](const auto &entry) { return entry.second.state == LinkState::Idle; });
        }
        require(links_.size() < options_.maxLinks, "too many peers");
        Link &link = links_[target.id];
        link.address = target.address;
        link.generation = ++lastGeneration_ << 32;
        return link;
    }

    kj::Promise<void> connect(const PeerTarget &target, std::uint64_t generation)
    {
        auto attempt = kj::evalNow([&] {
            const sockaddr_in address = toSockaddr(target.address.ip, target.address.port);
            return io_.lowLevelProvider
                    ->wrapConnectingSocketFd(makeSocket(options_.sourceIp),
                                             reinterpret_cast<const sockaddr *>(&address),
                                             sizeof address,
                                             kj::LowLevelAsyncIoProvider::ALREADY_NONBLOCK
                                                     | kj::LowLevelAsyncIoProvider::ALREADY_CLOEXEC)
                    .then([this, id = target.id](kj::Own<kj::AsyncIoStream> stream) {
                        return greet(id, kj::mv(stream));
                    });
        });
        return io_.provider->getTimer()
                .timeoutAfter(options_.connectTimeout.count() * kj::MILLISECONDS, kj::mv(attempt))
                .then(
                        [this, id = target.id, generation](kj::Own<Connection> connection) {
                            const auto found = links_.find(id);
                            if (found == links_.end() || found->second.generation != generation)
                                return;
                            found->second.state = LinkState::Ready;
                            found->second.backoff = Millis(0);
                            found->second.connection = kj::mv(connection);
                            logEvent(LogLevel::Info, "peer_connected", {{"peer", id}});
                        },
                        [this, id = target.id, generation](kj::Exception &&exception) {
                            const auto found = links_.find(id);
                            if (found != links_.end() && found->second.generation == generation)
                                backOff(found->second);
                            kj::throwFatalException(kj::mv(exception));
                        });
    }

    kj::Promise<kj::Own<Connection>> greet(const std::string &id, kj::Own<kj::AsyncIoStream> stream)
    {
        capnp::ReaderOptions limits;
        limits.traversalLimitInWords = kMaxMessageWords;
        auto connection = kj::refcounted<Connection>(
                kj::heap<CountedStream>(kj::mv(stream), options_.meters.connections), limits);
        auto hello = connection->bootstrap().helloRequest();
        hello.setVersion(wire::PROTOCOL_VERSION);
        hello.setMemberId(toKj(options_.self.memberId));
        hello.setIncarnation(toKj(options_.self.incarnation));
        return hello.send().then([id, connection = kj::mv(connection)](auto &&answer) mutable {
            require(fromKj(answer.getMemberId()) == id, "another member answered");
            require(answer.getVersion() >= wire::OLDEST_VERSION, "protocol version is too old");
            connection->peer = answer.getPeer();
            connection->lastAnswer = steadyNow();
            return kj::mv(connection);
        });
    }

    void backOff(Link &link)
    {
        link.state = LinkState::Idle;
        link.backoff
                = std::clamp(2 * link.backoff, options_.backoffMinimum, options_.backoffMaximum);
        link.retryAt = steadyNow() + link.backoff;
    }

    /// Gives up a connection that is closed, or on which nothing was answered since the call began.
    void noteFailure(const std::string &id, const kj::Exception &exception, TimePoint began)
    {
        const auto found = links_.find(id);
        if (found == links_.end())
            return;
        Link &link = found->second;
        KJ_IF_MAYBE (connection, link.connection) {
            const bool silent = exception.getType() == kj::Exception::Type::OVERLOADED
                                && (*connection)->lastAnswer < began;
            if (exception.getType() != kj::Exception::Type::DISCONNECTED && !silent)
                return;
            logEvent(LogLevel::Info, "peer_disconnected",
                     {{"peer", id}, {"error", exception.getDescription().cStr()}});
            link.connection = nullptr;
            backOff(link);
        }
    }

    void taskFailed(kj::Exception &&exception) override
    {
        logEvent(LogLevel::Warning, "peer_call_failed",
                 {{"error", exception.getDescription().cStr()}});
    }

    kj::AsyncIoContext &io_;
    const PeerClientOptions &options_;
    std::uint64_t lastGeneration_ = 0;
    std::unordered_map<std::string, Link> links_;
    kj::TaskSet tasks_;
};

namespace {

template <class Value>
Result<Value> toResult(Expected<Value> outcome)
{
    if (!outcome)
        return fail(outcome.error());
    return std::move(*outcome);
}

Result<std::string> flatten(Expected<Expected<std::string>> outcome)
{
    if (!outcome)
        return fail(outcome.error());
    return toResult(std::move(*outcome));
}

kj::Promise<Offset> sendUpdate(wire::Peer::Client &peer, const std::string &update)
{
    auto request = peer.pushConfigRequest();
    request.setUpdate(toKj(update));
    return request.send().then([](auto &&answer) -> Offset { return answer.getNextOffset(); });
}

} // namespace

PeerClient::PeerClient(PeerLoop &loop, PeerClientOptions options)
    : loop_(loop)
    , options_(std::move(options))
{
    loop_.run([&] { state_ = kj::heap<State>(loop_.io(), options_); });
}

PeerClient::~PeerClient()
{
    loop_.run([&] { state_ = nullptr; });
}

void PeerClient::heartbeats(const std::vector<HeartbeatDue> &due, Millis timeout,
                            HeartbeatCallback done)
{
    if (due.empty())
        return;
    loop_.run([&] {
        for (const HeartbeatDue &one : due) {
            options_.meters.heartbeats.addMessage();
            // Only what an answer needs is kept, not the digest.
            const HeartbeatDue sent{one.peerId, one.address, {}, one.builtAt};
            auto call = [digest = one.digest](wire::Peer::Client &peer) {
                auto request = peer.heartbeatRequest();
                writeDigest(digest, request.initDigest());
                const std::size_t bytes
                        = request.getDigest().totalSize().wordCount * 8 + kFrameBytes;
                return request.send().then([bytes](auto &&answer) {
                    return HeartbeatAnswer{readReply(answer.getReply()), bytes};
                });
            };
            state_->addTask(
                    state_->start<HeartbeatAnswer>({one.peerId, one.address}, timeout, kj::mv(call))
                            .then([done, sent](const Expected<HeartbeatAnswer> &answer) {
                                done(sent, answer);
                            }));
        }
    });
}

void PeerClient::pushConfigAsync(const PeerTarget &target, const std::string &update,
                                 Millis timeout, std::function<void(const Expected<Offset> &)> done)
{
    options_.meters.configuration.addMessage();
    loop_.run([&] {
        auto call = [update](wire::Peer::Client &peer) { return sendUpdate(peer, update); };
        state_->addTask(
                state_->start<Offset>(target, timeout, kj::mv(call))
                        .then([done = std::move(done)](Expected<Offset> answer) { done(answer); }));
    });
}

Result<Offset> PeerClient::pushConfig(const PeerTarget &target, const std::string &update,
                                      Millis timeout)
{
    options_.meters.configuration.addMessage();
    return toResult(loop_.run([&] {
        return state_->start<Offset>(target, timeout, [update](wire::Peer::Client &peer) {
            return sendUpdate(peer, update);
        });
    }));
}

Result<std::string> PeerClient::pullConfig(const PeerTarget &target, Offset from, Millis timeout)
{
    options_.meters.configuration.addMessage();
    return toResult(loop_.run([&] {
        return state_->start<std::string>(target, timeout, [from](wire::Peer::Client &peer) {
            auto request = peer.pullConfigRequest();
            request.setFrom(from);
            return request.send().then([](auto &&answer) { return fromKj(answer.getUpdate()); });
        });
    }));
}

Result<std::string> PeerClient::claim(const PeerTarget &target, const std::string &batch,
                                      Millis timeout)
{
    options_.meters.claims.addMessage();
    return flatten(loop_.run([&] {
        return state_->start<Expected<std::string>>(
                target, timeout, [batch](wire::Peer::Client &peer) {
                    auto request = peer.claimRequest();
                    request.setBatch(kj::arrayPtr(reinterpret_cast<const kj::byte *>(batch.data()),
                                                  batch.size()));
                    return request.send().then(
                            [](auto &&answer) { return readOutcome(answer.getOutcome()); });
                });
    }));
}

Result<void> PeerClient::noteStream(const PeerTarget &target, const std::string &requestId,
                                    const std::string &endpointId, Millis timeout)
{
    options_.meters.streams.addMessage();
    auto outcome = loop_.run([&] {
        return state_->start<Done>(target, timeout,
                                   [requestId, endpointId](wire::Peer::Client &peer) {
                                       auto request = peer.noteStreamRequest();
                                       request.setRequestId(toKj(requestId));
                                       request.setEndpointId(toKj(endpointId));
                                       return request.send().then([](auto &&) { return Done{}; });
                                   });
    });
    if (!outcome)
        return fail(outcome.error());
    return {};
}

Result<std::optional<std::string>>
PeerClient::findStream(const PeerTarget &target, const std::string &requestId, Millis timeout)
{
    options_.meters.streams.addMessage();
    auto outcome = loop_.run([&] {
        return state_->start<std::string>(target, timeout, [requestId](wire::Peer::Client &peer) {
            auto request = peer.findStreamRequest();
            request.setRequestId(toKj(requestId));
            return request.send().then(
                    [](auto &&answer) { return fromKj(answer.getEndpointId()); });
        });
    });
    if (!outcome)
        return fail(outcome.error());
    return outcome->empty() ? std::nullopt : std::optional(*outcome);
}

Result<std::string> PeerClient::runQuery(const PeerTarget &target, const std::string &text,
                                         Millis timeout)
{
    options_.meters.queries.addMessage();
    return flatten(loop_.run([&] {
        return state_->start<Expected<std::string>>(
                target, timeout, [text](wire::Peer::Client &peer) {
                    auto request = peer.runQueryRequest();
                    request.setText(toKj(text));
                    return request.send().then(
                            [](auto &&answer) { return readOutcome(answer.getOutcome()); });
                });
    }));
}

Result<std::string> PeerClient::dump(const PeerTarget &target, Millis timeout)
{
    options_.meters.queries.addMessage();
    return flatten(loop_.run([&] {
        return state_->start<Expected<std::string>>(target, timeout, [](wire::Peer::Client &peer) {
            return peer.dumpRequest().send().then(
                    [](auto &&answer) { return readOutcome(answer.getOutcome()); });
        });
    }));
}

} // namespace cicadafork
