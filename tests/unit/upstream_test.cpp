// Tests of the HTTP client and its pool of connections over loopback.

#include "net/server.h"
#include "net/upstream.h"
#include "support/eventually.h"
#include "support/network.h"

#include <CppUTest/TestHarness.h>
#include <asio/post.hpp>
#include <asio/read.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>
#include <fmt/format.h>

#include <optional>
#include <string>
#include <string_view>
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

    std::unique_ptr<Call> begin(std::string_view upload = {})
    {
        auto call = std::make_unique<Call>();
        Call &target = *call;
        const std::string head = fmt::format(
                "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: {}\r\n\r\n", upload.size());
        call->handle = pool.call(address, {.head = head, .borrowedBody = upload},
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
        readHead(server);
        write(server, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    }

    void readHead(asio::ip::tcp::socket & server)
    {
        std::string request;
        asio::read_until(server, asio::dynamic_buffer(request), "\r\n\r\n");
    }

    /// Reads the head and a body of a known size while the pool sends them.
    void readRequest(asio::ip::tcp::socket & server, std::size_t bodyBytes)
    {
        requestRead = false;
        std::thread reader([&] {
            std::string request;
            asio::error_code ignored;
            const std::size_t head
                    = asio::read_until(server, asio::dynamic_buffer(request), "\r\n\r\n", ignored);
            const std::size_t rest = head + bodyBytes - request.size();
            asio::read(server, asio::dynamic_buffer(request), asio::transfer_exactly(rest),
                       ignored);
            asio::post(context, [this] { requestRead = true; });
        });
        eventually(context, kWaitLimit, [this] { return requestRead; });
        reader.join();
    }

    static void write(asio::ip::tcp::socket & server, std::string_view bytes)
    {
        asio::write(server, asio::buffer(bytes));
    }

    bool requestRead = false;
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

// Guards against an answer that breaks off and passes for a whole one: a failed write of the
// request takes the error of the connection, after which its end looks orderly.
TEST(Upstream, answersWithoutALengthAreWholeOnlyAfterAnOrderlyEnd)
{
    enum class End { Reset, Orderly, OrderlyThenReset };
    struct Case
    {
        const char *name;
        bool kept;       ///< The connection has served a call before.
        bool readsAll;   ///< The answer begins after the whole request has been read.
        bool partIsRead; ///< The caller has the part of the answer before the connection ends.
        End end;
        bool pauses = false; ///< Reading is paused while the connection ends.
    };
    const Case cases[] = {
            {"amid the upload", false, false, true, End::Reset},
            {"amid the upload, at once", false, false, false, End::Reset},
            {"amid the upload, kept", true, false, true, End::Reset},
            {"amid the upload, kept, at once", true, false, false, End::Reset},
            {"amid the upload, reading paused", false, false, true, End::Reset, true},
            {"after the upload", false, true, true, End::Reset},
            {"after the upload, at once", false, true, false, End::Reset},
            {"after the upload, kept", true, true, true, End::Reset},
            {"amid the upload, orderly", false, false, true, End::Orderly},
            {"amid the upload, kept, orderly", true, false, false, End::Orderly},
            {"amid the upload, orderly, then reset", false, false, true, End::OrderlyThenReset},
            {"amid the upload, kept, orderly, then reset", true, false, false,
             End::OrderlyThenReset},
            {"after the upload, orderly", false, true, true, End::Orderly},
            {"after the upload, kept, orderly", true, true, false, End::Orderly},
    };
    // More than the buffers of both sides take.
    const std::string upload(32 * 1024 * 1024, 'x');
    for (const Case &row : cases) {
        std::unique_ptr<Call> call;
        std::optional<asio::ip::tcp::socket> server;
        if (row.kept) {
            const auto first = begin();
            server.emplace(accept());
            answer(*server);
            CHECK_TRUE_TEXT(ended(*first), row.name);
            call = begin(upload);
            eventually(context, Millis(50), [] { return false; });
        } else {
            call = begin(upload);
            server.emplace(accept());
        }
        if (row.readsAll)
            readRequest(*server, upload.size());
        else
            readHead(*server);
        write(*server, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart");
        if (row.partIsRead)
            CHECK_TRUE_TEXT(eventually(context, kWaitLimit, [&] { return call->body == "part"; }),
                            row.name);
        call->handle->pauseReading(row.pauses);
        if (row.end != End::Reset)
            server->shutdown(asio::ip::tcp::socket::shutdown_send);
        if (row.end != End::Orderly) {
            server->set_option(asio::socket_base::linger(true, 0));
            server->close();
        }
        if (row.pauses) {
            eventually(context, Millis(50), [] { return false; });
            call->handle->pauseReading(false);
        }
        CHECK_TRUE_TEXT(ended(*call), row.name);
        const auto expected
                = row.end == End::Reset ? UpstreamOutcome::Broken : UpstreamOutcome::Complete;
        LONGS_EQUAL_TEXT(static_cast<int>(expected), static_cast<int>(*call->outcome), row.name);
    }
}
