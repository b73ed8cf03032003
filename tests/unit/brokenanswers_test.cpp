// Answers of endpoints and peers that break off or whose head is no HTTP, and what callers get.

#include "support/gatewayfleet.h"
#include "support/rawserver.h"

#include <asio/steady_timer.hpp>

using namespace cicadafork;
using namespace cicadafork::gateway;
using namespace cicadafork::test;

namespace {

constexpr const char *kFirstEvent = "id: 1\ndata: event 1\n\n";
constexpr const char *kSecondEvent = "id: 2\ndata: event 2\n\n";
// More than the buffers of both ends of a connection take.
constexpr std::size_t kUploadBytes = 16 * 1024 * 1024;
// A part of an answer that arrives this long before a reset has been read before it.
constexpr Millis kReadTime{20};

/// How the connection ends after the answer.
enum class Ending { None, Close, Reset, LateReset };

struct BrokenAnswer
{
    std::string name;
    std::string head; ///< Status line and fields; the request id takes the place of `$`.
    std::string body;
    Ending ending = Ending::None;
    bool amidUpload = false; ///< Sent when only the head of a large request has been read.
};

std::string fields(const std::string &others)
{
    return "Request-Id: $\r\nResponse-Seal: s\r\n" + others + "\r\n";
}

const std::string kOk = "HTTP/1.1 200 OK\r\n";
const std::string kClosing = "Connection: close\r\n";
const std::string kChunked = "Transfer-Encoding: chunked\r\n";

std::string lengthField(const std::string &body)
{
    return fmt::format("Content-Length: {}\r\n", body.size());
}

std::string inChunks(const std::string &body)
{
    return fmt::format("{:x}\r\n{}\r\n0\r\n\r\n", body.size(), body);
}

/// Answers that have no length, which a reset follows.
std::vector<BrokenAnswer> resetAnswers(const std::string &body)
{
    const std::string cut = body.substr(0, body.size() - 1);
    const std::string head = kOk + fields(kClosing);
    return {
            {"amid the upload", head, body, Ending::LateReset, true},
            {"amid the upload, cut", head, cut, Ending::LateReset, true},
            {"amid the upload, at once", head, body, Ending::Reset, true},
            {"amid the upload, earlier version", "HTTP/1.0 200 OK\r\n" + fields(""), body,
             Ending::LateReset, true},
            {"error, amid the upload", "HTTP/1.1 500 Failed\r\n" + fields(kClosing), body,
             Ending::LateReset, true},
            {"after the request", head, body, Ending::LateReset},
    };
}

std::vector<BrokenAnswer> answersWithStatusZero(const std::string &body)
{
    const std::string status = "HTTP/1.1 000 OK\r\n";
    const std::string length = lengthField(body);
    return {
            {"length", status + fields(length), body},
            {"chunks", status + fields(kChunked), inChunks(body)},
            {"no length", status + fields(kClosing), body, Ending::Close},
            {"no reason", "HTTP/1.1 000\r\n" + fields(length), body},
            {"earlier version", "HTTP/1.0 000 OK\r\n" + fields(""), body, Ending::Close},
            {"not run", status + fields("Not-Run: 1\r\nContent-Length: 0\r\n"), ""},
            {"before a sound answer", status + "\r\n" + kOk + fields(length), body},
            {"amid the upload", status + fields(length), body, Ending::None, true},
    };
}

/// Answers with a blank or a control byte in the name of a field, or that hides how the body ends.
std::vector<BrokenAnswer> answersWithMalformedNames(const std::string &body)
{
    const std::string chunks = inChunks(body);
    std::vector<BrokenAnswer> answers = {
            {"blank in a length", kOk + fields("Content Length: 4\r\n" + kClosing), body,
             Ending::Close},
            {"blank in a coding", kOk + fields("Transfer Encoding: chunked\r\n" + kClosing), chunks,
             Ending::Close},
            {"control byte in a coding",
             kOk
                     + fields("Transfer\x01"
                              "Encoding: chunked\r\n"
                              + kClosing),
             chunks, Ending::Close},
            {"blank in a trailer", kOk + fields(kChunked),
             chunks.substr(0, chunks.size() - 2) + "X A: y\r\n\r\n"},
            {"blank in an error",
             "HTTP/1.1 500 Failed\r\n" + fields("X A: y\r\n" + lengthField(body)), body},
            {"blank in an informational head",
             "HTTP/1.1 103 Hints\r\nX A: y\r\n\r\n" + kOk + fields(lengthField(body)), body},
            {"blank, amid the upload", kOk + fields("X A: y\r\n" + lengthField(body)), body,
             Ending::None, true},
    };
    const std::string names[]
            = {"X A",   " X",    "X ",   "X\tA", "\tX", "X\x01",    "\x01X",
               "X\x1f", "X\x7f", "X\rA", "X\nA", "\nX", "X\r\nA B", std::string("X\0A", 3)};
    for (const std::string &name : names) {
        std::string shown;
        for (const char character : name)
            shown += fmt::format("{:02x} ", character);
        answers.push_back(
                {"bytes " + shown, kOk + fields(name + ": y\r\n" + lengthField(body)), body});
        answers.push_back({"first field, bytes " + shown, kOk + name + ": y\r\n" + fields(kClosing),
                           body, Ending::Close});
    }
    return answers;
}

struct Target
{
    const char *name;
    const char *path;
    const char *service;
    bool streams;
    bool repeatable;
};

const Target kTargets[] = {{"stream", "/r/x", kPool, true, true},
                           {"call, repeatable", "/safe/x", kPlain, false, true},
                           {"call", "/once/x", kPlain, false, false}};

} // namespace

TEST_GROUP_BASE(BrokenAnswers, GatewayFleet)
{
    Address rawAddress = addresses.next();
    RawServer raw{context, rawAddress};
    const std::string upload = std::string(kUploadBytes, 'x');
    unsigned attempts = 0; ///< Of the current request, at the server whose bytes the test writes.

    void setup() override
    {
        GatewayFleet::setup();
        const std::string limits
                = fmt::format(R"("limits":{{"maxBodyBytes":{}}},"tenants")", kUploadBytes);
        config.replace(config.find(R"("tenants")"), 9, limits);
    }

    static std::string soundBody(const Target &target)
    {
        return target.streams ? std::string(kFirstEvent) + kSecondEvent : "answer";
    }

    /// The first attempt gets the broken answer, and a further one a sound one.
    void answerBrokenOnce(const BrokenAnswer &broken, const Target &target)
    {
        attempts = 0;
        raw.onRequest = [this, &broken, &target](const RawServer::Received &request) {
            if (request.text.starts_with("GET ")) {
                // Peers ask each other for their state.
                RawServer::write(request.connection, RawServer::answer({}, {}, "503 Busy", false));
                return;
            }
            if (++attempts > 1) {
                raw.readsBodies = true;
                const bool resumes = request.text.find("Last-Event-Id: 1\r\n") != std::string::npos;
                RawServer::write(request.connection,
                                 RawServer::answer(request.requestId,
                                                   resumes ? kSecondEvent : soundBody(target)));
                return;
            }
            raw.readsBodies = !broken.amidUpload;
            std::string head = broken.head;
            head.replace(head.find('$'), 1, request.requestId);
            RawServer::write(request.connection, head + broken.body);
            end(request.connection, broken.ending);
        };
    }

    void end(const Socket &connection, Ending ending)
    {
        if (ending == Ending::Close)
            connection->close();
        if (ending == Ending::Reset)
            RawServer::reset(connection);
        if (ending != Ending::LateReset)
            return;
        const auto timer = std::make_shared<asio::steady_timer>(context, kReadTime);
        timer->async_wait(
                [timer, connection](const asio::error_code &) { RawServer::reset(connection); });
    }

    /// Sends a request of which the first attempt gets the broken answer.
    void checkThatItReachesNoCaller(const Daemon &daemon, const BrokenAnswer &broken,
                                    const Target &target)
    {
        const std::string name = fmt::format("{}, {}", target.name, broken.name);
        answerBrokenOnce(broken, target);
        const Answer &answer = sendRequest(daemon, target.path, broken.amidUpload ? upload : "body",
                                           target.streams ? "a:10" : "");
        CHECK_TRUE_TEXT(runUntil([&] { return answer.ended; }), name.c_str());
        LONGS_EQUAL_TEXT(target.repeatable ? 2 : 1, attempts, name.c_str());
        CHECK_TRUE_TEXT(answer.complete, name.c_str());
        // A request that may have run and may not be repeated fails without a promise.
        LONGS_EQUAL_TEXT(target.repeatable ? 200 : 502, answer.status, name.c_str());
        STRCMP_EQUAL_TEXT(target.repeatable ? soundBody(target).c_str() : "", answer.body.c_str(),
                          name.c_str());
        CHECK_FALSE_TEXT(answer.headers.find("X"), name.c_str());
    }

    /// A whole answer, also to keep a connection for the next request.
    void checkThatSoundAnswersPass(const Daemon &daemon, const Target &target)
    {
        attempts = 0;
        raw.onRequest = [&](const RawServer::Received &request) {
            ++attempts;
            raw.readsBodies = true;
            RawServer::write(request.connection,
                             RawServer::answer(request.requestId, soundBody(target)));
        };
        const Answer &answer
                = sendRequest(daemon, target.path, "body", target.streams ? "a:10" : "");
        CHECK_TRUE_TEXT(runUntil([&] { return answer.ended; }), target.name);
        LONGS_EQUAL_TEXT(200, answer.status, target.name);
        STRCMP_EQUAL_TEXT(soundBody(target).c_str(), answer.body.c_str(), target.name);
        LONGS_EQUAL_TEXT(1, attempts, target.name);
    }

    using Answers = std::vector<BrokenAnswer> (*)(const std::string &body);

    static std::vector<BrokenAnswer> brokenOnes(Answers answersFor, const Target &target)
    {
        return answersFor(target.streams ? kFirstEvent : "part");
    }

    void checkAnswersOfEndpoints(Answers answersFor)
    {
        for (const Target &target : kTargets) {
            reset();
            start(1, 0);
            store.put(kEndpointsTopic, "raw",
                      fmt::format(R"({{"service":"{}","address":"{}","zone":"east","slots":4,
                          "state":"ready","seq":1,"born":1}})",
                                  target.service, toString(rawAddress)));
            CHECK_TRUE(runUntil([&] { return daemons[0]->endpoints() == 1; }));
            for (const BrokenAnswer &broken : brokenOnes(answersFor, target)) {
                checkThatItReachesNoCaller(*daemons[0], broken, target);
                checkThatSoundAnswersPass(*daemons[0], target);
                checkThatItReachesNoCaller(*daemons[0], broken, target); // On a kept connection.
                checkThatSoundAnswersPass(*daemons[0], target);
            }
            store.put(kEndpointsTopic, "raw", std::nullopt);
        }
    }

    /// The same for requests that a daemon hands over, as it reaches no endpoint.
    void checkAnswersOfPeers(Answers answersFor)
    {
        for (const Target &target : kTargets) {
            reset();
            start(3, 1, target.service);
            Daemon &cutOffDaemon = *daemons[0];
            for (unsigned i = 1; i < daemons.size(); ++i)
                cutOffDaemon.links.redirected[toString(daemons[i]->handovers)] = rawAddress;
            cutOff(cutOffDaemon, OpenConnections::Reset, true);
            raw.onRequest = [&](const RawServer::Received &request) {
                RawServer::write(request.connection,
                                 RawServer::answer(request.requestId, soundBody(target)));
            };
            CHECK_TRUE(runUntil([&] {
                if (cutOffDaemon.state()["requests"].get<int>() == 0)
                    sendRequest(cutOffDaemon, target.path, "body", target.streams ? "a:10" : "");
                return cutOffDaemon.state()["services_out_of_reach"].size() == 1;
            }));
            CHECK_TRUE(runUntil([&] {
                return std::ranges::all_of(answers,
                                           [](const auto &answer) { return answer->ended; });
            }));
            for (const auto &daemon : daemons)
                cutOffDaemon.pool.closeIdle(daemon->handovers);
            checkThatSoundAnswersPass(cutOffDaemon, target);
            for (const BrokenAnswer &broken : brokenOnes(answersFor, target)) {
                checkThatItReachesNoCaller(cutOffDaemon, broken, target);
                checkThatSoundAnswersPass(cutOffDaemon, target);
            }
        }
    }
};

// Guards against a part of an answer that passes for all of it: only the end of the connection
// tells whether an answer without a length is whole.
TEST(BrokenAnswers, partsOfResetAnswersReachNoCaller)
{
    checkAnswersOfEndpoints(resetAnswers);
    checkAnswersOfPeers(resetAnswers);
}

TEST(BrokenAnswers, answersWithStatusZeroReachNoCaller)
{
    checkAnswersOfEndpoints(answersWithStatusZero);
    checkAnswersOfPeers(answersWithStatusZero);
}

// Guards against answers in which a damaged line is passed on, or hides how the body ends.
TEST(BrokenAnswers, answersWithMalformedFieldNamesReachNoCaller)
{
    checkAnswersOfEndpoints(answersWithMalformedNames);
    checkAnswersOfPeers(answersWithMalformedNames);
}
