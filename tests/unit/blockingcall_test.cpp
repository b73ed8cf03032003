// Blocking HTTP calls over loopback, to a server whose bytes the test writes.

#include "http/blockingcall.h"
#include "http/client.h"
#include "net/sockets.h"

#include <CppUTest/TestHarness.h>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>

#include <functional>
#include <string>
#include <thread>

using namespace cicadafork;

namespace {

using Socket = asio::ip::tcp::socket;

constexpr HttpTimeouts kTimeouts{Millis(500), Millis(100), Millis(100)};
// More than the buffers of both ends of a connection take.
constexpr std::size_t kUploadBytes = 16 * 1024 * 1024;

std::string readHead(Socket &socket)
{
    std::string text;
    asio::error_code ignored;
    asio::read_until(socket, asio::dynamic_buffer(text), "\r\n\r\n", ignored);
    return text;
}

void write(Socket &socket, const std::string &text)
{
    asio::error_code ignored;
    asio::write(socket, asio::buffer(text), ignored);
}

/// Waits until the caller has ended the connection.
void awaitEnd(Socket &socket)
{
    asio::error_code error;
    char byte = 0;
    while (!error)
        socket.read_some(asio::buffer(&byte, 1), error);
}

} // namespace

TEST_GROUP(BlockingCall)
{
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor{context, {asio::ip::address_v4::loopback(), 0}};
    Address address{"127.0.0.1", acceptor.local_endpoint().port()};
};

// Guards against a call whose end misleads about what its server has received or answered.
TEST(BlockingCall, endsAsTheConnectionShows)
{
    struct Case
    {
        const char *name;
        std::size_t upload;
        std::function<void(Socket &)> serve;
        CallEnd end;
        const char *body;
    };
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const std::string length = ok + "Content-Length: 6\r\n\r\nanswer";
    const std::string closing = ok + "Connection: close\r\n\r\nanswer";
    const Case cases[] = {
            {"length", 0, [&](Socket &socket) { write(socket, length); }, CallEnd::Answered,
             "answer"},
            {"no length", 2, [&](Socket &socket) { write(socket, closing); }, CallEnd::Answered,
             "answer"},
            {"cut", 0, [&](Socket &socket) { write(socket, length.substr(0, length.size() - 2)); },
             CallEnd::Broken, "answ"},
            {"nothing", 0, [&](Socket &) {}, CallEnd::Broken, ""},
            {"status without a body", 0,
             [&](Socket &socket) { write(socket, "HTTP/1.1 204 No Content\r\n\r\n"); },
             CallEnd::Answered, ""},
            {"amid the upload", kUploadBytes,
             [&](Socket &socket) {
                 write(socket, length);
                 std::this_thread::sleep_for(Millis(20));
             },
             CallEnd::Answered, "answer"},
            {"amid the upload, no length", kUploadBytes,
             [&](Socket &socket) {
                 write(socket, closing);
                 socket.shutdown(Socket::shutdown_send);
                 std::this_thread::sleep_for(Millis(20));
             },
             CallEnd::Answered, "answer"},
            {"silent", 0, awaitEnd, CallEnd::TimedOut, ""},
            {"silent amid its answer", 0,
             [&](Socket &socket) {
                 write(socket, length.substr(0, length.size() - 2));
                 awaitEnd(socket);
             },
             CallEnd::TimedOut, "answ"},
            {"reads nothing", kUploadBytes,
             [&](Socket &) { std::this_thread::sleep_for(3 * kTimeouts.write); }, CallEnd::Broken,
             ""},
    };
    for (const Case &row : cases) {
        std::thread server([&] {
            Socket socket = acceptor.accept();
            readHead(socket);
            row.serve(socket);
        });
        const std::string upload(row.upload, 'x');
        std::string body;
        BlockingCall call(address, kTimeouts);
        const CallEnd end = call.run(
                {.method = upload.empty() ? "GET" : "POST", .path = "/x", .body = upload},
                {.body = [&](std::string_view bytes) {
                    body += bytes;
                    return true;
                }});
        LONGS_EQUAL_TEXT(static_cast<int>(row.end), static_cast<int>(end), row.name);
        STRCMP_EQUAL_TEXT(row.body, body.c_str(), row.name);
        call.interrupt();
        server.join();
    }
}

// Guards against a request that has run although its caller was told that it was not sent.
TEST(BlockingCall, sendsNothingUnlessItMay)
{
    std::string received = "unset";
    std::thread server([&] {
        Socket socket = acceptor.accept();
        received = readHead(socket);
    });
    {
        BlockingCall call(address, kTimeouts);
        const CallEnd end = call.run({.method = "POST", .path = "/x", .body = "{}"},
                                     {.beforeSend = [] { return false; }});
        LONGS_EQUAL(static_cast<int>(CallEnd::NotSent), static_cast<int>(end));
    }
    server.join();
    STRCMP_EQUAL("", received.c_str());
    acceptor.close();
    BlockingCall refused(address, kTimeouts);
    LONGS_EQUAL(static_cast<int>(CallEnd::NotConnected),
                static_cast<int>(refused.run({.path = "/x"}, {})));
}

// Guards against ids of callers that end the line of a request.
TEST(BlockingCall, encodesPaths)
{
    std::string received;
    std::thread server([&] {
        Socket socket = acceptor.accept();
        received = readHead(socket);
        write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    });
    const auto reply = capture([&] {
        return httpGet(address, "/v1/streams/a b+c\r\nX: y\xc3\xa9?from=1&to=%41", Millis(1000));
    });
    server.join();
    CHECK_TRUE(static_cast<bool>(reply));
    const std::string line
            = "GET /v1/streams/a%20b%2Bc%0D%0AX:%20y%C3%A9?from=1&to=%41 HTTP/1.1\r\n";
    STRCMP_EQUAL(line.c_str(), received.substr(0, line.size()).c_str());
}

// Guards against an answer of the log, of the list of VMs or to an order that is none.
TEST(BlockingCall, damagedAnswersAreErrors)
{
    struct Case
    {
        const char *name;
        std::string text;
        bool sound;
    };
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const std::string rest = "Content-Length: 2\r\n\r\n{}";
    const Case cases[] = {
            {"sound", ok + rest, true},
            {"status 000", "HTTP/1.1 000 OK\r\n" + rest, false},
            {"blank in a name", ok + "X A: y\r\n" + rest, false},
            {"blank in a name without a value", ok + "X A:\r\n" + rest, false},
            {"blank in place of the colon", ok + "X y\r\n" + rest, false},
            {"control byte in a name without a value", ok + "X\x01:\r\n" + rest, false},
            {"line feed in a name", ok + "X\nA: y\r\n" + rest, false},
            {"encoded", ok + "Content-Encoding: gzip\r\n" + rest, false},
    };
    for (const Case &row : cases) {
        std::thread server([&] {
            Socket socket = acceptor.accept();
            readHead(socket);
            write(socket, row.text);
        });
        const auto json = capture([&] { return getJson(address, "/x", Millis(1000)); });
        server.join();
        CHECK_EQUAL_TEXT(row.sound, static_cast<bool>(json), row.name);
    }
}
