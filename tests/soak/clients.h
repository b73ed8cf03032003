#pragma once

// A caller of the soak. It keeps one connection and sends its requests on it, one after the other,
// for as long as the connection is open and the daemon has not announced its close.
//
//   SoakClient client(context, seed, {.pickTarget = ..., .connected = ..., .newCall = ...});
//   client.start();
//   context.run_for(Millis(10'000));
//   client.stop();

#include "base/clock.h"
#include "http/address.h"
#include "net/parser.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <string_view>

namespace cicadafork::test {

// A daemon that runs answers within the deadline; this covers the machine's own delays.
inline constexpr Millis kAnswerMargin{1500};

struct SoakRoute
{
    const char *name;
    const char *kind;    ///< As in the configuration.
    const char *service; ///< Streams go to engines.
    unsigned maxAttempts = 1;
};

/// Every version of the configuration has these routes. The routes with one attempt show whether a
/// sound endpoint's answer is waited for, as no other endpoint can take over.
inline constexpr SoakRoute kSoakRoutes[] = {
        {"safe", "safe", "plain", 2},
        {"safe-single", "safe", "plain", 1},
        {"once", "unsafe", "plain", 2},
        {"stream", "streaming", "pool", 2},
        {"stream-single", "streaming", "pool", 1},
};

/// The version of the configuration that revokes a key, for keys that have it in their name; every
/// earlier version has the key. 0 for the key that is never revoked.
using RevokedBy = unsigned;

inline constexpr RevokedBy kRevokeEvery = 5; ///< Versions.
inline constexpr RevokedBy kLastRevoked = 1000;

std::string keyName(RevokedBy version);

inline bool isStream(const SoakRoute &route)
{
    return std::string_view(route.kind) == "streaming";
}

inline bool runsOnceAtMost(const SoakRoute &route)
{
    return std::string_view(route.kind) == "unsafe";
}

enum class CallEnd {
    Pending,
    Complete,  ///< A whole response, of any status.
    NoAnswer,  ///< The connection ended before the first byte of a response.
    Cut,       ///< The connection ended within the response, or it was not HTTP.
    Abandoned, ///< Nothing by the deadline and its margin; the client has closed.
};

struct SoakCall
{
    std::string id;
    const SoakRoute *route = nullptr;
    RevokedBy revokedBy = 0; ///< Of its key.
    std::size_t daemon = 0;
    unsigned incarnation = 0; ///< Of the daemon's process that accepted the connection.
    Millis deadline{0};
    TimePoint begun{};
    TimePoint ended{};
    CallEnd end = CallEnd::Pending;
    int status = 0;
    std::string body;
    bool sealed = false;
};

struct SoakTarget
{
    std::size_t daemon = 0;
    Address address;
};

struct SoakClientHooks
{
    std::function<SoakTarget()> pickTarget;
    /// A connection is established; returns the incarnation of the daemon.
    std::function<unsigned(std::size_t daemon)> connected;
    /// A new record with its id; it must stay where it is.
    std::function<SoakCall &()> newCall;
    std::function<RevokedBy()> pickKey;
    /// Bytes arrived while no request was waiting.
    std::function<void(std::size_t daemon)> unsolicited;
};

class SoakClient
{
public:
    SoakClient(asio::io_context &context, std::uint64_t seed, SoakClientHooks hooks);
    SoakClient(const SoakClient &) = delete;
    SoakClient &operator=(const SoakClient &) = delete;

    void start() { think(); }
    /// Begins no further request; the one in progress goes on.
    void stop() { stopped_ = true; }
    bool busy() const { return call_ != nullptr; }

private:
    void think();
    void next();
    void connect();
    void send();
    void armRead();
    void onReadable();
    void onBytes(std::string_view bytes);
    void endCall(CallEnd end);
    void closeConnection();
    bool isOpen();

    SoakClientHooks hooks_;
    std::mt19937_64 random_;
    asio::ip::tcp::socket socket_;
    asio::steady_timer timer_;
    ResponseParser parser_;
    SoakTarget target_;
    unsigned incarnation_ = 0;
    std::uint64_t connection_ = 0; ///< Number of the connection, to ignore events of earlier ones.
    SoakCall *call_ = nullptr;
    bool stopped_ = false;
    std::array<char, 16 * 1024> buffer_;
};

} // namespace cicadafork::test
