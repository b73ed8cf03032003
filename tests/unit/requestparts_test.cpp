// Which requests are the same for an endpoint, and who may try one that may crash it.

#include "gateway/requestparts.h"
#include "platform/headers.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

using namespace cicadafork;
using namespace cicadafork::gateway;

namespace {

using Fields = std::vector<std::pair<const char *, const char *>>;

struct Sent
{
    const char *target = "/r/x";
    const char *workspace = "ws";
    const char *body = "card 7";
    Fields fields = {};
};

std::uint64_t digestOf(const Sent &sent)
{
    HttpRequest request;
    request.method = "POST";
    request.target = sent.target;
    request.headers.add("Host", "h");
    for (const auto &[name, value] : sent.fields)
        request.headers.add(name, value);
    request.body = sent.body;
    return requestDigest(request, platform::wireProtocol().readCaller(request), sent.workspace);
}

} // namespace

TEST_GROUP(RequestDigest){};

// Guards against a request that is not recognized when it is repeated, and against sound requests
// that are taken for it.
TEST(RequestDigest, isTheSameForWhatDoesTheSameAtAnEndpoint)
{
    struct Case
    {
        const char *name;
        Sent sent;
        bool same;
    };
    const Case cases[] = {
            {"a repetition", {}, true},
            {"another id and deadline",
             {.fields = {{"Request-Id", "r2"}, {"Deadline-Ms", "70"}, {"Accept", "*/*"}}},
             true},
            {"another path", {.target = "/r/y"}, false},
            {"another query", {.target = "/r/x?a"}, false},
            {"another caller", {.workspace = "depot"}, false},
            {"another body", {.body = "card 8"}, false},
            {"the same bytes in other fields", {.target = "/r/xws", .workspace = ""}, false},
            {"another prompt", {.fields = {{"Prompt-Prefix", "a1:40,c1:20"}}}, false},
    };
    const std::uint64_t digest = digestOf({});
    for (const Case &row : cases)
        CHECK_EQUAL_TEXT(row.same, digestOf(row.sent) == digest, row.name);
}

TEST_GROUP(Trial){};

// Guards against a request on trial that several daemons send, or none.
TEST(Trial, belongsToOneDaemon)
{
    constexpr unsigned kRequests = 64;
    for (const unsigned daemons : {1U, 3U, 8U, 295U}) {
        std::vector<std::uint64_t> all;
        for (unsigned i = 0; i < daemons; ++i)
            all.push_back(fnv1a64("10.1.0." + std::to_string(i)));
        for (unsigned id = 0; id < kRequests; ++id) {
            const auto owners = std::ranges::count_if(all, [&](std::uint64_t daemon) {
                return ownsTrial(wholeRequest(id), daemon, all);
            });
            LONGS_EQUAL(1, owners);
        }
    }
}
