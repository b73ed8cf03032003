// Mutated valid input for every parser that reads what a stranger, a peer, the platform or an
// engine sends. Each test guards against input that crashes, hangs or throws out of a parser; run
// it in a build with CICADAFORK_SANITIZE to see memory errors.

#include "base/json.h"
#include "claims/claimwire.h"
#include "config/codec.h"
#include "config/fold.h"
#include "endpoint/enginestream.h"
#include "http/server.h"
#include "logservice/logclient.h"
#include "logservice/vmlist.h"
#include "net/parser.h"
#include "query/configrows.h"
#include "query/statement.h"
#include "settings/settings.h"
#include "support/frontendfakes.h"
#include "support/mutate.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <mutex>

#include <CppUTest/TestHarness.h>

using namespace cicadafork;
using namespace cicadafork::test;

namespace {

/// Sends bytes and reads the answer until the server closes or a second has passed.
std::string exchange(const Address &address, const std::string &bytes)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    const timeval limit{1, 0};
    setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &target.sin_addr);
    std::string answer;
    if (connect(socket, reinterpret_cast<sockaddr *>(&target), sizeof target) == 0) {
        (void)!send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        shutdown(socket, SHUT_WR);
        char buffer[4096];
        for (ssize_t n = 0; (n = recv(socket, buffer, sizeof buffer, 0)) > 0;)
            answer.append(buffer, static_cast<std::size_t>(n));
    }
    close(socket);
    return answer;
}

std::string httpRequest(const std::string &path, const std::string &headers,
                        const std::string &body)
{
    return "POST " + path
           + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\nAuthorization: Bearer secret\r\n"
           + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string sampleCommandJson()
{
    Command command;
    command.commandId = "018f0000-0000-7000-8000-000000000000";
    command.operatorName = "ana";
    command.verb = CommandVerb::Create;
    command.kind = EntityKind::Service;
    command.entityId = "reports";
    command.fields = {{"kind", "model"}, {"models", "a,b"}, {"adapters", "a=x,b=y"}};
    command.text = "create service reports";
    return encodeCommand(command).dump();
}

std::string sampleUpdate()
{
    Configuration configuration;
    const LogRecord record{0, wallNow(), parseJson(sampleCommandJson())};
    applyRecord(configuration, record);
    ConfigUpdate update;
    update.snapshot = configuration;
    update.records = {{1, wallNow(), parseJson(sampleCommandJson())}};
    return encodeUpdate(update);
}

} // namespace

TEST_GROUP(Fuzz){};

TEST(Fuzz, callerRequests)
{
    FrontendFixture fixture;
    const std::vector<std::string> inputs = {
            httpRequest("/v1/completions", "X-Request-Timeout-Ms: 800\r\n", completionBody(false)),
            httpRequest("/v1/completions",
                        "X-Request-Timeout-Ms: 800\r\nX-Priority: urgent\r\nX-Request-Id: r\r\n"
                        "Last-Event-ID: 3\r\n",
                        completionBody(true)),
            httpRequest("/v1/chat/completions", "X-Request-Timeout-Ms: 800\r\n",
                        R"({"model":"m","messages":[{"role":"user","content":"hi"}]})"),
            httpRequest("/v1/services/gate/open",
                        "X-Request-Timeout-Ms: 800\r\nIdempotency-Key: "
                        "018f0000-0000-7000-8000-000000000000\r\n",
                        R"({"gate":3})"),
    };
    const std::size_t runs = fuzz(11, inputs, [&](const std::string &bytes) {
        const std::string answer = exchange(fixture.address(), bytes);
        if (!answer.empty())
            STRNCMP_EQUAL("HTTP/1.1 ", answer.c_str(), 9);
    });
    CHECK_TRUE(runs > 20);
    CHECK_TRUE_TEXT(FrontendFixture::eventually([&] { return fixture.frontend().drained(); }),
                    "no request is left in the table");
    LONGS_EQUAL(200, fixture.post("/v1/completions", completionBody(false))->status);
}

// Guards against heads of answers that are passed on although strict recipients cannot read them.
TEST(Fuzz, endpointAnswers)
{
    const std::string status = "HTTP/1.1 200 OK\r\n";
    const std::vector<std::string> inputs = {
            status
                    + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                      "2\r\nab\r\n0\r\n\r\n",
            status + "Request-Id: r\r\nResponse-Seal: s\r\nContent-Length: 2\r\n\r\nab",
            status + "Content Type: text/event-stream\r\nContent-Length: 2\r\n\r\nab",
            "HTTP/1.1 100 Continue\r\n\r\n" + status + "X: y\r\n\r\nab",
            status + "Connection: close\r\n\r\n2\r\nab\r\n0\r\n\r\n",
    };
    const auto isPlain = [](const std::string &text, char least) {
        return std::ranges::all_of(text, [&](char character) {
            const auto code = static_cast<unsigned char>(character);
            return (character == '\t' && least == ' ') || (character >= least && code < 0x7f)
                   || (code > 0x7f && least == ' ');
        });
    };
    const std::size_t runs = fuzz(43, inputs, [&](const std::string &bytes) {
        ResponseParser parser({[&](HttpResponseHead &&head) {
                                   CHECK_TRUE(head.status >= 100 && head.status < 600);
                                   for (const HeaderField &field : head.headers.fields()) {
                                       CHECK_TRUE(!field.name.empty() && isPlain(field.name, '!'));
                                       CHECK_TRUE(isPlain(field.value, ' '));
                                   }
                               },
                               [](std::string_view) {}, [] {}});
        parser.feed(bytes);
        parser.finish(ConnectionClose::Orderly);
    });
    CHECK_TRUE(runs > 20);
}

TEST(Fuzz, operatorStatements)
{
    const std::vector<std::string> inputs
            = {"show requests columns id,state where state = stuck and idle_ms >= 20 order by id "
               "desc limit 5",
               "create workspace depot services=\"a,b\" share=2 credential_sha256=00",
               "change service reports models='x y' if version = 12", "why request-1"};
    fuzz(12, inputs, [](const std::string &text) {
        const auto parsed = capture([&] { return parseStatement(text); });
        if (!parsed) {
            CHECK_FALSE(parsed.error().remedy.empty());
            return;
        }
        if (const auto *show = std::get_if<ShowStatement>(&*parsed)) {
            ResultTable table{{"id", "state", "idle_ms"}, {{"a", "stuck", "7"}}, {}};
            (void)capture([&] { return applyShow(table, *show); });
            formatTable(table);
            formatRecords(table);
        } else if (const auto *command = std::get_if<CommandStatement>(&*parsed)) {
            Configuration configuration;
            applyRecord(configuration,
                        {0, wallNow(),
                         parseJson(encodeCommand(command->command)
                                           .dump(-1, ' ', false,
                                                 nlohmann::json::error_handler_t::replace))});
            formatTable(historyRows(configuration));
        }
    });
}

TEST(Fuzz, settingsFiles)
{
    const std::string valid
            = "member_id: a\nfailure_domain: d\nregion: r\ncaller_address: 127.0.1.1:80\n"
              "peer_address: 127.0.1.1:81\nplatform:\n  log: 127.0.1.1:82\n"
              "  vm_list: 127.0.1.1:83\n  request_timeout: 500ms\nlimits:\n  max_streams: 12\n"
              "  max_body_bytes: 1MiB\n  retry_share: 0.1\ntiming:\n  tick: 20ms\n"
              "routing:\n  policy: adaptive\noperator_credential_sha256: "
              + std::string(64, '0') + "\nlog_level: info\n";
    fuzz(13, {valid}, [](const std::string &text) {
        const auto settings = capture([&] { return parseSettings(text, "f"); });
        if (!settings)
            CHECK_FALSE(settings.error().message.empty());
    });
}

TEST(Fuzz, configurationUpdatesAndClaimBatches)
{
    ForwardedBatch batch;
    ClaimEntry entry;
    entry.key = {"depot", "018f0000-0000-7000-8000-000000000000"};
    entry.attemptId = "a1";
    entry.created = wallNow();
    batch.shard = claimShard(entry.key);
    batch.time = Millis(100);
    batch.entries = {entry};
    ClaimDecision decision;
    decision.attemptId = "a1";
    decision.kind = ClaimDecisionKind::Duplicate;
    decision.outcome = StoredOutcome{};
    const std::vector<std::string> inputs = {sampleUpdate(), encodeForwardedBatch(batch),
                                             encodeForwardedVerdicts({{"a1", decision}})};
    fuzz(14, inputs, [](const std::string &text) {
        if (const auto update = capture([&] { return decodeUpdate(text); })) {
            Configuration configuration = update->snapshot.value_or(Configuration{});
            for (const LogRecord &record : update->records)
                applyRecord(configuration, record);
            formatTable(historyRows(configuration));
            encodeSnapshot(configuration).dump();
        }
        decodeForwardedBatch(text);
        decodeForwardedVerdicts(text);
    });
}

TEST(Fuzz, logPagesAndVmLists)
{
    const std::string page
            = R"({"first":0,"next":1,"records":[{"offset":0,"time_ms":1700000000000,)"
              R"("data":)"
              + sampleCommandJson() + "}]}";
    const std::string vms
            = R"({"version":3,"vms":[{"id":"e","kind":"entry","domain":"d","address":)"
              R"("127.0.0.1:80","peer_address":"127.0.0.1:81","service":"","state":)"
              R"("live"}]})";
    std::mutex mutex;
    std::string body;
    HttpServer server({.address = {"127.0.77.1", 23'210}, .threads = 4});
    const auto answer = [&](const auto &, httplib::Response &response) {
        const std::lock_guard lock(mutex);
        response.set_content(body, "application/json");
    };
    server.routes().Get("/streams/config", answer);
    server.routes().Get("/vms", answer);
    CHECK_TRUE(static_cast<bool>(capture([&] { return server.start(); })));
    HttpLogClient log({"127.0.77.1", 23'210});
    HttpVmListClient list({"127.0.77.1", 23'210});
    fuzz(15, {page, vms}, [&](const std::string &text) {
        {
            const std::lock_guard lock(mutex);
            body = text;
        }
        const auto read
                = capture([&] { return log.read("config", 0, 10, Millis(0), Millis(500)); });
        if (read) {
            Configuration configuration;
            for (const LogRecord &record : read->records)
                applyRecord(configuration, record);
        }
        (void)capture([&] { return list.fetch(Millis(500)); });
    });
    server.stop();
}

TEST(Fuzz, engineEventStreams)
{
    const std::string stream
            = "id: 0\ndata: {\"request_id\":\"r\",\"attempt\":1,\"seq\":0,\"text\":\"t\"}\n\n"
              ": comment\n\n"
              "id: 1\ndata: {\"request_id\":\"r\",\"attempt\":1,\"seq\":1,\"text\":\"u\","
              "\"done\":true,\"total\":2,\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":2}}"
              "\n\n";
    fuzz(16, {stream}, [](const std::string &bytes) {
        SseParser parser(4096);
        EngineStreamCheck check("r", 1, 0);
        std::size_t events = 0;
        for (std::size_t at = 0; at < bytes.size(); at += 7) {
            const bool more = parser.feed(std::string_view(bytes).substr(at, 7),
                                          [&](const SseEvent &event) {
                                              ++events;
                                              return check.accept(event).has_value();
                                          });
            if (!more)
                break;
        }
        CHECK_TRUE(events <= bytes.size());
    });
}
