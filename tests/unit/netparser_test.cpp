// HTTP/1.1 framing: which messages are accepted or rejected, and where a message ends.

#include "net/parser.h"
#include "net/sockets.h"
#include "net/upstream.h"

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include <cctype>
#include <string>
#include <vector>

using namespace cicadafork;

namespace {

struct RequestCase
{
    const char *name;
    std::string text;
    ParseState state;
    int failureStatus = 0;
    std::string body = {};
};

std::string withHeaders(const std::string &headers, const std::string &body = {})
{
    return "POST /a/b?c=d HTTP/1.1\r\nHost: h\r\n" + headers + "\r\n" + body;
}

/// Feeds the text in pieces of the given size, as it arrives from a slow caller.
template <class Parser>
std::size_t feedInPieces(Parser &parser, const std::string &text, std::size_t pieceSize)
{
    std::size_t used = 0;
    while (used < text.size() && parser.state() == ParseState::Reading)
        used += parser.feed(std::string_view(text).substr(used, pieceSize));
    return used;
}

struct ReceivedResponse
{
    int status = 0;
    std::string body;
    bool complete = false;
};

ResponseEvents recordInto(ReceivedResponse &response)
{
    return {.head = [&response](HttpResponseHead &&head) { response.status = head.status; },
            .body = [&response](std::string_view bytes) { response.body += bytes; },
            .complete = [&response] { response.complete = true; }};
}

} // namespace

TEST_GROUP(RequestParser){};

TEST(RequestParser, acceptsOrRejectsEachFraming)
{
    const RequestCase cases[] = {
            {"a body with a length", withHeaders("Content-Length: 3\r\n", "abc"),
             ParseState::Complete, 0, "abc"},
            {"a chunked body",
             withHeaders("Transfer-Encoding: chunked\r\n", "2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"),
             ParseState::Complete, 0, "abc"},
            {"trailers are dropped",
             withHeaders("Transfer-Encoding: chunked\r\n", "1\r\na\r\n0\r\nHost: x\r\n\r\n"),
             ParseState::Complete, 0, "a"},
            {"no body", withHeaders(""), ParseState::Complete},
            {"both a length and chunked coding",
             withHeaders("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n"), ParseState::Failed,
             400},
            {"two lengths", withHeaders("Content-Length: 3\r\nContent-Length: 4\r\n"),
             ParseState::Failed, 400},
            {"two equal lengths", withHeaders("Content-Length: 3\r\nContent-Length: 3\r\n"),
             ParseState::Failed, 400},
            {"a non-numeric length", withHeaders("Content-Length: x\r\n"), ParseState::Failed, 400},
            {"an unsupported transfer coding", withHeaders("Transfer-Encoding: gzip, chunked\r\n"),
             ParseState::Failed, 400},
            {"a space before the colon", withHeaders("Name : v\r\n"), ParseState::Failed, 400},
            {"a control character in a value", withHeaders("Name: a\x01z\r\n"), ParseState::Failed,
             400},
            {"a folded line", withHeaders("Name: v\r\n w\r\n"), ParseState::Failed, 400},
            {"a line without a return", withHeaders("Name: v\n"), ParseState::Failed, 400},
            {"chunks in the earlier version",
             "POST / HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
             ParseState::Failed, 400},
            {"other bytes in place of a chunk's end",
             withHeaders("Transfer-Encoding: chunked\r\n", "2\r\nabXY1\r\nc\r\n0\r\n\r\n"),
             ParseState::Failed, 400},
            {"a space in a chunk's size",
             withHeaders("Transfer-Encoding: chunked\r\n", "2 1\r\nab\r\n0\r\n\r\n"),
             ParseState::Failed, 400},
            {"a chunk's size without a line feed",
             withHeaders("Transfer-Encoding: chunked\r\n", "2\rXab\r\n0\r\n\r\n"),
             ParseState::Failed, 400},
            {"a trailer without a name",
             withHeaders("Transfer-Encoding: chunked\r\n", "0\r\na b: c\r\n\r\n"),
             ParseState::Failed, 400},
            {"empty lines first", "\r\n\r\n" + withHeaders(""), ParseState::Complete},
            {"no host", "GET / HTTP/1.1\r\n\r\n", ParseState::Failed, 400},
            {"two hosts", withHeaders("Host: other\r\n"), ParseState::Failed, 400},
            {"an absolute target", "GET http://h/ HTTP/1.1\r\nHost: h\r\n\r\n", ParseState::Failed,
             400},
            {"a body over the limit", withHeaders("Content-Length: 4097\r\n"), ParseState::Failed,
             413},
            {"chunks over the limit",
             withHeaders("Transfer-Encoding: chunked\r\n", "2000\r\n" + std::string(0x2000, 'a')),
             ParseState::Failed, 413},
            {"headers over the limit", withHeaders("Name: " + std::string(2000, 'a') + "\r\n"),
             ParseState::Failed, 431},
            {"not HTTP", "\x16\x03\x01 hello\r\n\r\n", ParseState::Failed, 400},
            {"an incomplete body", withHeaders("Content-Length: 3\r\n", "ab"), ParseState::Reading},
    };
    for (const RequestCase &row : cases) {
        for (const std::size_t pieceSize : {1UL, 7UL, 100'000UL}) {
            RequestParser parser({.maxHeaderBytes = 1024, .maxBodyBytes = 4096});
            feedInPieces(parser, row.text, pieceSize);
            const std::string text = fmt::format("{}, {} bytes at a time", row.name, pieceSize);
            LONGS_EQUAL_TEXT(static_cast<int>(row.state), static_cast<int>(parser.state()),
                             text.c_str());
            if (row.state == ParseState::Failed)
                LONGS_EQUAL_TEXT(row.failureStatus, parser.failureStatus(), text.c_str());
            if (row.state == ParseState::Complete)
                STRCMP_EQUAL_TEXT(row.body.c_str(), parser.take().body.c_str(), text.c_str());
        }
    }
}

// Guards against request smuggling and against losing a pipelined request.
TEST(RequestParser, stopsAtTheEndOfEachPipelinedRequest)
{
    const std::string first = withHeaders("Content-Length: 3\r\n", "abc");
    const std::string text = first + "GET /second HTTP/1.1\r\nHost: h\r\n\r\n";
    RequestParser parser({});
    const std::size_t used = parser.feed(text);
    LONGS_EQUAL(first.size(), used);
    STRCMP_EQUAL("abc", parser.take().body.c_str());
    LONGS_EQUAL(text.size() - used, parser.feed(std::string_view(text).substr(used)));
    STRCMP_EQUAL("/second", parser.take().target.c_str());
}

TEST(RequestParser, derivesKeepAliveFromVersionAndConnectionHeader)
{
    const std::pair<std::string, bool> cases[] = {{withHeaders(""), true},
                                                  {withHeaders("Connection: close\r\n"), false},
                                                  {"GET / HTTP/1.0\r\nHost: h\r\n\r\n", false}};
    for (const auto &[text, keepAlive] : cases) {
        RequestParser parser({});
        parser.feed(text);
        CHECK_EQUAL_TEXT(keepAlive, parser.take().keepAlive, text.c_str());
    }
}

TEST_GROUP(ResponseParser){};

TEST(ResponseParser, detectsTheEndOfAResponse)
{
    struct Case
    {
        const char *name;
        std::string text;
        bool connectionCloses;
        bool complete;
        std::string body;
        int status = 200;
    };
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const std::string closing = head + "Connection: keep-alive, Close\r\n";
    const Case cases[] = {
            {"a length", head + "Content-Length: 2\r\n\r\nab", false, true, "ab"},
            {"chunks", head + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", false, true,
             "ab"},
            {"chunks without the last chunk",
             head + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n", true, false, "ab"},
            {"a body shorter than its length", head + "Content-Length: 3\r\n\r\nab", true, false,
             "ab"},
            {"neither length nor chunks, connection open", closing + "\r\nab", false, false, "ab"},
            {"neither length nor chunks, connection closed", closing + "\r\nab", true, true, "ab"},
            {"neither length nor chunks, end not announced", head + "\r\nab", true, false, "", 0},
            {"an earlier version without a length", "HTTP/1.0 200 OK\r\n\r\nab", true, true, "ab"},
            {"chunks with an extension and trailers",
             head + "Transfer-Encoding: chunked\r\n\r\n2;a=b\r\nab\r\n0\r\nX: y\r\n\r\n", false,
             true, "ab"},
            {"an informational response first",
             "HTTP/1.1 100 Continue\r\n\r\n" + head + "Content-Length: 2\r\n\r\nab", false, true,
             "ab"},
    };
    for (const Case &row : cases) {
        ReceivedResponse response;
        ResponseParser parser(recordInto(response));
        parser.feed(row.text);
        if (row.connectionCloses)
            parser.finish(ConnectionClose::Orderly);
        CHECK_EQUAL_TEXT(row.complete, response.complete, row.name);
        STRCMP_EQUAL_TEXT(row.body.c_str(), response.body.c_str(), row.name);
        LONGS_EQUAL_TEXT(row.status, response.status, row.name);
    }
}

// Guards against passing on a response that strict recipients cannot read, or whose length two
// recipients could determine differently.
TEST(ResponseParser, rejectsDamagedHeads)
{
    struct Case
    {
        const char *name;
        std::string statusLine;
        std::string fields;
        bool sound;
    };
    const std::string status = "HTTP/1.1 200 OK";
    const Case cases[] = {
            {"sound", status, "Content-Type: a/b; c=\"d\"\r\nX: \ty\r\n", true},
            {"bytes beyond ASCII in a value", status, "X: \xc3\xa9\r\n", true},
            {"no reason phrase", "HTTP/1.1 200", "", true},
            {"earlier version", "HTTP/1.0 200 OK", "", true},
            {"space in a name", status, "Content Type: text/event-stream\r\n", false},
            {"space before the colon", status, "X : y\r\n", false},
            {"control character in a name", status, "X\x01: y\r\n", false},
            {"byte beyond ASCII in a name", status, "X\xe9: y\r\n", false},
            {"empty name", status, ": y\r\n", false},
            {"no colon", status, "X y\r\n", false},
            {"control character in a value", status, "X: a\x01y\r\n", false},
            {"zero byte in a value", status, std::string("X: a\0y\r\n", 8), false},
            {"delete character in a value", status, "X: a\x7f\r\n", false},
            {"two lengths", status, "Content-Length: 2\r\n", false},
            {"another version", "HTTP/2.0 200 OK", "", false},
            {"status of two digits", "HTTP/1.1 20 OK", "", false},
            {"status of four digits", "HTTP/1.1 2000 OK", "", false},
            {"status below 100", "HTTP/1.1 099 OK", "", false},
            {"status 000", "HTTP/1.1 000 OK", "", false},
            {"status 000 without a reason phrase", "HTTP/1.1 000", "", false},
            {"status 000 of an earlier version", "HTTP/1.0 000 OK", "", false},
            {"head with status 000 before another", "HTTP/1.1 000 OK\r\n\r\n" + status, "", false},
            {"status above 599", "HTTP/1.1 600 OK", "", false},
            {"no protocol", "HTTQ/1.1 200 OK", "", false},
            {"coding besides chunks", status, "Transfer-Encoding: gzip, chunked\r\n", false},
            {"length and chunks", status, "Transfer-Encoding: chunked\r\n", false},
            {"length with a letter", status, "Content-Length: 2x\r\n", false},
            {"folded line", status, "X: y\r\n z\r\n", false},
            {"line without a return", status, "X: y\n", false},
            {"line without a line feed", status, "X: y\rZ", false},
            {"status line without a line feed", status + "\rX", "", false},
            {"informational head with a length",
             "HTTP/1.1 103 Hints\r\nContent-Length: 2\r\n\r\n" + status, "", false},
            {"change of the protocol",
             "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n"
             "Connection: upgrade\r\n\r\n"
                     + status,
             "", false},
            {"length of a body that the status excludes", "HTTP/1.1 204 No Content", "", false},
            {"damaged informational head", "HTTP/1.1 100 Continue\r\nX Y: z\r\n\r\n" + status, "",
             false},
    };
    for (const Case &row : cases) {
        const std::string text
                = row.statusLine + "\r\n" + row.fields + "Content-Length: 2\r\n\r\nab";
        for (const std::size_t pieceSize : {std::size_t{1}, text.size()}) {
            ReceivedResponse response;
            ResponseParser parser(recordInto(response));
            feedInPieces(parser, text, pieceSize);
            CHECK_EQUAL_TEXT(row.sound, response.complete, row.name);
            LONGS_EQUAL_TEXT(row.sound ? 200 : 0, response.status, row.name);
            if (!row.sound)
                LONGS_EQUAL_TEXT(static_cast<int>(ParseState::Failed),
                                 static_cast<int>(parser.state()), row.name);
        }
    }
}

// Guards against passing on a field whose name is none, in a head or in a trailer.
TEST(ResponseParser, namesOfFieldsAreTokens)
{
    const std::string_view others = "!#$%&'*+-.^_`|~";
    const std::string status = "HTTP/1.1 200 OK\r\n";
    for (int byte = 0; byte < 256; ++byte) {
        const char character = static_cast<char>(byte);
        const bool alphanumeric = byte < 0x80 && std::isalnum(byte) != 0;
        for (const std::size_t at : {0, 1, 2}) {
            std::string name = "XA";
            name.insert(at, 1, character);
            // A colon ends a name, which may not be empty.
            const bool sound = alphanumeric || others.find(character) != std::string_view::npos
                               || (character == ':' && at > 0);
            const std::string field = name + ": y\r\n";
            const std::string texts[] = {
                    status + field + "Content-Length: 2\r\n\r\nab",
                    status + "Content-Length: 2\r\n" + field + "\r\nab",
                    status + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n" + field + "\r\n"};
            for (const std::string &text : texts) {
                ReceivedResponse response;
                ResponseParser parser(recordInto(response));
                feedInPieces(parser, text, text.size());
                CHECK_EQUAL_TEXT(sound, response.complete,
                                 fmt::format("byte {} at {} of {}", byte, at, name).c_str());
            }
        }
    }
}

// Guards against a success with another body: a damaged byte of the head or of the chunked coding
// once made the sizes of chunks a part of the body.
TEST(ResponseParser, oneDamagedByteNeverChangesAChunkedBody)
{
    struct Case
    {
        const char *name;
        std::string fields;
    };
    const Case cases[] = {{"kept connection", ""}, {"closed connection", "Connection: close\r\n"}};
    const std::string body = "id: 1\n\nid: 2\n\n";
    for (const Case &row : cases) {
        const std::string head = "HTTP/1.1 200 OK\r\n" + row.fields
                                 + "Response-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n";
        const std::string text = head + "7\r\nid: 1\n\n\r\n7\r\nid: 2\n\n\r\n0\r\n\r\n";
        for (std::size_t at = 0; at < text.size(); ++at) {
            // Nothing tells the data of a chunk from other data.
            const std::size_t inBody = at - std::min(at, head.size());
            const bool isData
                    = at >= head.size() && inBody % 12 >= 3 && inBody % 12 < 10 && inBody < 24;
            for (int byte = 0; byte < 256 && !isData; ++byte) {
                std::string damaged = text;
                damaged[at] = static_cast<char>(byte);
                ReceivedResponse response;
                ResponseParser parser(recordInto(response));
                feedInPieces(parser, damaged, damaged.size());
                parser.finish(ConnectionClose::Orderly);
                if (response.complete)
                    STRCMP_EQUAL_TEXT(body.c_str(), response.body.c_str(),
                                      fmt::format("{}, byte {} at {}", row.name, byte, at).c_str());
            }
        }
    }
}

// Guards against treating bytes after a response as its body or as the next response.
TEST(ResponseParser, ignoresBytesAfterAResponse)
{
    ReceivedResponse response;
    ResponseParser parser(recordInto(response));
    const std::string text = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab";
    LONGS_EQUAL(text.size(), parser.feed(text + "HTTP/1.1 200 OK\r\n"));
    CHECK_TRUE(response.complete);
    STRCMP_EQUAL("ab", response.body.c_str());
}

TEST_GROUP(Sockets){};

// Guards against a leak report of the bench (karri grown, bad-replicas --vary --seed 712941184389):
// an endpoint that lost power was detected only after 4.0 s, and the memory of its request stayed
// held elsewhere until then.
TEST(Sockets, detectsADeadPeerWithinThreeSeconds)
{
    const UpstreamOptions options;
    CHECK_TRUE(deadPeerDetectionTime({options.userTimeout, options.keepAliveIdle}) <= Millis(3000));
}

// A sound endpoint may neither send nor acknowledge for a second or so.
TEST(Sockets, connectionSurvivesASilenceOfItsPeer)
{
    constexpr Millis kLongestSilence{2000};
    const UpstreamOptions options;
    CHECK_TRUE(options.userTimeout > kLongestSilence);
    CHECK_TRUE(deadPeerDetectionTime({options.userTimeout, options.keepAliveIdle})
               > kLongestSilence);
}

TEST_GROUP(HeaderList){};

TEST(HeaderList, removesHopByHopFields)
{
    HeaderList headers;
    for (const char *name : {"Connection", "Keep-Alive", "TE", "Upgrade", "Host", "X-Hop", "Kept"})
        headers.add(name, equalsIgnoringCase(name, "connection") ? "close, x-hop" : "v");
    headers.removeHopByHop();
    std::string remaining;
    for (const HeaderField &field : headers.fields())
        remaining += field.name + " ";
    STRCMP_EQUAL("Host Kept ", remaining.c_str());
}

// Guards against work that grows with the product of a head's fields and the names that it lists.
TEST(HeaderList, removesManyListedFieldsAtOnce)
{
    // As many as a head of the largest size holds.
    constexpr unsigned kFields = 8000;
    constexpr Millis kLongestPause{50};
    HeaderList headers;
    std::string listed;
    for (unsigned i = 0; i < kFields; ++i) {
        headers.add(fmt::format("a{:04x}", i), {});
        listed += fmt::format("b{:04x},", i);
    }
    headers.add("Connection", listed);
    const TimePoint begin = steadyNow();
    headers.removeHopByHop();
    const auto took = std::chrono::ceil<Millis>(steadyNow() - begin);
    CHECK_TRUE_TEXT(took < kLongestPause, fmt::format("{} ms", took.count()).c_str());
    LONGS_EQUAL(kFields, headers.fields().size());
}
