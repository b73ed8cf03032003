#pragma once

// A gateway with its own clients, as it runs in its own process, for tests of several daemons on
// one event loop.
//
//   Daemon daemon(context, settings);
//   daemon.storeAccess = StoreAccess::Refused;

#include "base/json.h"
#include "gateway/gateway.h"
#include "platform/headers.h"
#include "platform/orderclient.h"
#include "platform/records.h"
#include "platform/storeclient.h"
#include "support/cutlinks.h"

#include <CppUTest/TestHarness.h>
#include <asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>

namespace cicadafork::test {

using namespace gateway;

/// How the store treats the calls of one daemon.
enum class StoreAccess { Served, Refused, Silent };

/// The store as a daemon with the given access sees it. An answer that arrives when the store no
/// longer serves the daemon is lost.
inline StoreCalls limitedCalls(asio::io_context &context, const StoreCalls &calls,
                               const StoreAccess &access)
{
    using Read = std::function<void(StoreCalls::PageCallback)>;
    const auto limit = [&context, &access](Millis timeout, const StoreCalls::PageCallback &done,
                                           const Read &read) {
        if (access == StoreAccess::Served) {
            read([&access, done](StoreFailure failure, StorePage page) {
                const bool served = access == StoreAccess::Served;
                done(served ? failure : StoreFailure::NoAnswer, served ? page : StorePage{});
            });
            return;
        }
        const bool silent = access == StoreAccess::Silent;
        const auto timer
                = std::make_shared<asio::steady_timer>(context, silent ? timeout : Millis(0));
        timer->async_wait([timer, done, silent](const asio::error_code &) {
            done(silent ? StoreFailure::NoAnswer : StoreFailure::Refused, {});
        });
    };
    StoreCalls limited = calls;
    limited.newest = [=](const std::string &topic, const std::string &afterKey, Millis timeout,
                         const StoreCalls::PageCallback &done) {
        limit(timeout, done, [&](const StoreCalls::PageCallback &answered) {
            calls.newest(topic, afterKey, timeout, answered);
        });
    };
    limited.read = [=](const std::string &topic, std::uint64_t from, Millis wait, Millis timeout,
                       const StoreCalls::PageCallback &done) {
        limit(timeout, done, [&](const StoreCalls::PageCallback &answered) {
            calls.read(topic, from, wait, timeout, answered);
        });
    };
    return limited;
}

/// One gateway with its own clients, as it would run in its own process.
struct Daemon
{
    Daemon(asio::io_context &context, const GatewaySettings &settings)
        : ip(settings.peers.ip)
        , callers(settings.callers)
        , handovers(settings.peers)
        , pool(context, {.answerRoom = answerRoomOf(settings)},
               cuttableDialer(settings.peers.ip, links))
        , calls(context, pool)
        , store(calls, settings.store)
        , orders(calls)
        , gateway(context, settings, platform::wireProtocol(), platform::storeLayout(),
                  limitedCalls(context, store.calls(), storeAccess), orders.calls(), pool)
    {
        const auto started = capture([&] { return gateway.start(); });
        CHECK_TRUE(static_cast<bool>(started));
    }

    nlohmann::json state() const { return parseJson(gateway.dump()); }
    std::uint64_t configVersion() const { return state()["config_version"].get<std::uint64_t>(); }
    std::size_t endpoints() const
    {
        const auto json = state();
        return json.contains("endpoints") ? json["endpoints"].size() : 0;
    }

    const std::string ip;
    const Address callers;
    const Address handovers; ///< Where peers hand requests over.
    StoreAccess storeAccess = StoreAccess::Served;
    CutLinks links;
    UpstreamPool pool;
    platform::HttpCallClient calls;
    platform::StoreClient store;
    platform::OrderClient orders;
    Gateway gateway;
};

} // namespace cicadafork::test
