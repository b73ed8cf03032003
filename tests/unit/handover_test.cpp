// Whether a daemon is cut off from a service, and which peer gets its requests.

#include "gateway/handover.h"
#include "gateway/reach.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

using namespace cicadafork;
using namespace cicadafork::gateway;

namespace {

const TimePoint kStart = TimePoint(std::chrono::hours(1000));

TimePoint at(int millis)
{
    return kStart + Millis(millis);
}

} // namespace

TEST_GROUP(Reach){};

// Guards against a daemon that takes a few ended endpoints for a cut, or a cut for ended endpoints.
TEST(Reach, probesDecideWhetherAServiceIsOutOfReach)
{
    struct Step
    {
        enum class Kind { NotConnected, Connected, ProbesFail, ProbeListens } kind;
        bool changes;
        bool cutOff;
    };
    using Kind = Step::Kind;
    struct Case
    {
        const char *name;
        std::vector<Step> steps;
    };
    const Case cases[] = {
            {"an endpoint has ended",
             {{Kind::NotConnected, false, false}, {Kind::ProbeListens, false, false}}},
            {"cut off, and back",
             {{Kind::NotConnected, false, false},
              {Kind::ProbesFail, true, true},
              {Kind::ProbesFail, false, true},
              {Kind::ProbeListens, true, false}}},
            {"a call connects first",
             {{Kind::NotConnected, false, false},
              {Kind::ProbesFail, true, true},
              {Kind::Connected, true, false},
              {Kind::Connected, false, false}}},
            {"a silent endpoint", {{Kind::ProbesFail, true, true}}},
    };
    for (const Case &row : cases) {
        Reach reach;
        int millis = 0;
        for (const Step &step : row.steps) {
            millis += 10;
            bool changes = false;
            if (step.kind == Kind::NotConnected)
                noteNotConnected(reach, 1);
            else if (step.kind == Kind::Connected)
                changes = noteConnected(reach);
            else
                changes = noteProbes(reach, step.kind == Kind::ProbeListens, at(millis));
            CHECK_EQUAL_TEXT(step.changes, changes, row.name);
            CHECK_EQUAL_TEXT(step.cutOff, reach.cutOff, row.name);
        }
    }
}

// Guards against probes without end where endpoints have ended or are slow.
TEST(Reach, probesAreSpacedWhileTheServiceIsInReach)
{
    Reach reach;
    CHECK_TRUE(needsProbes(reach, at(0)));
    reach.probing = true;
    CHECK_FALSE(needsProbes(reach, at(100)));
    noteProbes(reach, true, at(150));
    CHECK_FALSE(needsProbes(reach, at(600)));
    CHECK_TRUE(needsProbes(reach, at(700)));
}

// Guards against probes that ask only endpoints which have ended, or one failure domain.
TEST(Reach, probesAskOneEndpointOfEachFailureDomain)
{
    Reach reach;
    for (const EndpointKey ended : {1, 2, 4})
        noteNotConnected(reach, ended);
    const std::vector<ProbeCandidate> candidates{{1, "a"}, {2, "a"}, {3, "a"}, {4, "b"},
                                                 {5, "b"}, {6, "c"}, {7, "c"}};
    std::set<EndpointKey> asked;
    for (std::uint64_t random = 0; random < 20; ++random) {
        const auto chosen = chooseProbes(reach, candidates, random);
        LONGS_EQUAL(3, chosen.size());
        std::set<std::string> domains;
        for (const std::size_t index : chosen) {
            asked.insert(candidates[index].endpoint);
            domains.insert(candidates[index].failureDomain);
        }
        LONGS_EQUAL(3, domains.size());
    }
    CHECK_TRUE(asked == (std::set<EndpointKey>{3, 5, 6, 7}));
    LONGS_EQUAL(2, chooseProbes(reach, {{1, "a"}, {2, "a"}}, 7).size());
    LONGS_EQUAL(0, chooseProbes(reach, {}, 7).size());
}

TEST_GROUP(Handover){};

// Guards against one peer that gets all requests of the daemons that are cut off, and against a
// peer that would judge a request by an older configuration.
TEST(Handover, thePeerWithTheFewestRequestsIsChosen)
{
    struct Case
    {
        const char *name;
        std::vector<HandoverPeer> peers;
        const char *chosen;
    };
    const Case cases[] = {
            {"none", {}, ""},
            {"one", {{"a"}}, "a"},
            {"fewest requests", {{"a", true, true, 2}, {"b", true, false, 1}}, "b"},
            {"own domain", {{"a", true, false, 1}, {"b", true, true, 1}}, "b"},
            {"configuration", {{"a", false, true, 0}, {"b", true, false, 9}}, "b"},
            {"not asked yet", {{"a", true, true, 0, true}, {"b", true, false, 9}}, "b"},
            {"the only one, which has answered", {{"a", true, true, 0, true}}, "a"},
            {"an older configuration only", {{"a", false, true, 1}, {"b", false, false, 0}}, ""},
    };
    for (const Case &row : cases) {
        const HandoverPeer *peer = choosePeer(row.peers, 7);
        STRCMP_EQUAL_TEXT(row.chosen, peer ? peer->ip.c_str() : "", row.name);
    }
}

// Guards against a peer that sends a request more often than it was granted, or to an endpoint that
// was tried, because it misreads the terms.
TEST(Handover, termsThatCannotBeReadGrantNothing)
{
    struct Case
    {
        const char *name;
        std::vector<HeaderField> fields;
        unsigned attempts;
        unsigned retries;
        bool readsTried;
        std::vector<EndpointKey> tried;
    };
    const Case cases[] = {
            {"none", {}, 0, 0, false, {}},
            {"earlier build", {{kHandoverAttempts, "2"}}, 2, 0, false, {}},
            {"all",
             {{kHandoverAttempts, "1"}, {kHandoverRetries, "1"}, {kHandoverTried, "a,ff"}},
             1,
             1,
             true,
             {10, 255}},
            {"no numbers", {{kHandoverAttempts, "-1"}, {kHandoverRetries, "x"}}, 0, 0, true, {}},
            {"too large", {{kHandoverAttempts, "99999999999"}}, 0, 0, false, {}},
            {"unreadable endpoints",
             {{kHandoverAttempts, "1"}, {kHandoverTried, ",,zz,10,11112222333344445,"}},
             1,
             0,
             false,
             {16}},
    };
    for (const Case &row : cases) {
        HeaderList headers;
        for (const HeaderField &field : row.fields)
            headers.add(field.name, field.value);
        const HandoverTerms terms = readTerms(headers);
        LONGS_EQUAL_TEXT(row.attempts, terms.attempts, row.name);
        LONGS_EQUAL_TEXT(row.retries, terms.retries, row.name);
        CHECK_EQUAL_TEXT(row.readsTried, terms.readsTried, row.name);
        CHECK_TRUE_TEXT(row.tried == terms.triedEndpoints, row.name);
        CHECK_TRUE_TEXT(decodeTried(encodeTried(row.tried)) == row.tried, row.name);
    }
}

// Guards against daemons that are cut off together and choose the same peer.
TEST(Handover, equalPeersAreChosenAlike)
{
    constexpr unsigned kRequests = 3000;
    const std::vector<HandoverPeer> peers{{"10.1.0.1"}, {"10.1.0.2"}, {"10.1.0.3"}};
    std::vector<unsigned> counts(peers.size());
    for (unsigned request = 0; request < kRequests; ++request)
        ++counts[static_cast<std::size_t>(choosePeer(peers, request) - peers.data())];
    for (const unsigned count : counts)
        CHECK_TRUE(count > kRequests / 4);
}
