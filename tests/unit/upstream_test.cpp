// Tests of the HTTP client and its pool of connections over loopback.

#include "net/server.h"
#include "net/upstream.h"
#include "support/eventually.h"
#include "support/network.h"

#include <CppUTest/TestHarness.h>
#include <asio/read_until.hpp>
#include <asio/write.hpp>

#include <optional>
#include <string>
#include <thread>

using namespace cicadafork;
using namespace cicadafork::test;

namespace {

constexpr Millis kWaitLimit{3000};

} // namespace

TEST_GROUP(Upstream)
{
    asio::io_context context;
    asio::io_context serverContext; ///< Runs only while the test says so.
    AddressPool addresses;
    Address address = addresses.next();
    UpstreamPool pool{context, {}};
    asio::ip::tcp::acceptor acceptor{serverContext,
                                     {asio::ip::make_address_v4(address.ip), address.port}};

    struct Call
    {
        std::unique_ptr<UpstreamCall> handle;
        std::string body;
        std::optional<UpstreamOutcome> outcome;
    };

    std::unique_ptr<Call> begin()
    {
        auto call = std::make_unique<Call>();
        Call &target = *call;
        call->handle = pool.call(address, {.head = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"},
                                 {.head = [](HttpResponseHead &&) { return HeadAction::Accept; },
                                  .body = [&](std::string_view bytes) { target.body += bytes; },
                                  .end = [&](UpstreamOutcome end) { target.outcome = end; }});
        return call;
    }

    bool ended(const Call &call)
    {
        return eventually(context, kWaitLimit, [&] { return call.outcome.has_value(); });
    }

    asio::ip::tcp::socket accept()
    {
        eventually(context, Millis(50), [] { return false; });
        return acceptor.accept();
    }

    void answer(asio::ip::tcp::socket & server)
    {
        std::string request;
        asio::read_until(server, asio::dynamic_buffer(request), "\r\n\r\n");
        asio::write(server,
                    asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")));
    }
};

// Guards against giving up a request that may run only once and of which nothing was sent.
TEST(Upstream, callOnAConnectionThatTheServerHasResetUsesANewOne)
{
    const auto first = begin();
    auto kept = accept();
    answer(kept);
    CHECK_TRUE(ended(*first));
    kept.set_option(asio::socket_base::linger(true, 0));
    kept.close();
    std::this_thread::sleep_for(Millis(20));
    const auto second = begin();
    eventually(context, Millis(50), [] { return false; });
    CHECK_FALSE_TEXT(second->outcome.has_value(), "the call goes on");
    auto fresh = accept();
    answer(fresh);
    CHECK_TRUE(ended(*second));
    CHECK_TRUE(second->outcome == UpstreamOutcome::Complete);
    STRCMP_EQUAL("ok", second->body.c_str());
}
