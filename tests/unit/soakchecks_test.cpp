// The checks of the soak: each must find the defect that it is there for, and accept its excuses.

#include "soak/checks.h"
#include "soak/faults.h"

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include <algorithm>

using namespace cicadafork;
using namespace cicadafork::test;

namespace {

using Arrival = EndpointStandin::Arrival;

constexpr Millis kDeadline{1500};

TimePoint at(int millis)
{
    return TimePoint(Millis(1'000'000 + millis));
}

/// A request to daemon 0 that begins at time 0.
SoakCall callOf(std::string_view route, CallEnd end, int status, int endedAt)
{
    SoakCall call;
    call.id = "r1";
    call.route = std::ranges::find(kSoakRoutes, route, &SoakRoute::name);
    call.incarnation = 1;
    call.deadline = kDeadline;
    call.begun = at(0);
    call.ended = at(endedAt);
    call.end = end;
    call.status = status;
    call.sealed = status == 200;
    if (status == 200)
        call.body = isStream(*call.route) ? wholeStream() : "answer of r1";
    return call;
}

Arrival arrivalOf(EndpointBehaviour behaviour, const char *workspace = "ws-1", int when = 5)
{
    Arrival arrival;
    arrival.endpoint = "i-1";
    arrival.requestId = "r1";
    arrival.workspace = workspace;
    arrival.at = at(when);
    arrival.answeredAt = at(when);
    arrival.behaviour = behaviour;
    arrival.ran = behaviour != EndpointBehaviour::NotRun;
    return arrival;
}

Disturbance from(int begin, int end, std::size_t daemon = 0)
{
    return {daemon, at(begin), at(end)};
}

} // namespace

TEST_GROUP(SoakChecks){};

// Guards against a soak that excuses a lost request, or that blames the gateway for its own faults.
TEST(SoakChecks, aRequestWithoutAnAnswerIsLostUnlessAnExcuseCoversIt)
{
    using enum EndpointBehaviour;
    struct Case
    {
        const char *name;
        CallEnd end;
        int endedAt;
        std::vector<Arrival> arrivals;
        std::vector<Disturbance> disturbances;
        std::vector<Disturbance> shutdowns;
        Unanswered expected;
    };
    const std::vector<Case> cases = {
            {"answered", CallEnd::Complete, 50, {arrivalOf(Answer)}, {}, {}, Unanswered::No},
            {"passed on and closed",
             CallEnd::NoAnswer,
             50,
             {arrivalOf(Answer)},
             {},
             {},
             Unanswered::Lost},
            {"cut in the stream", CallEnd::Cut, 50, {arrivalOf(Answer)}, {}, {}, Unanswered::Lost},
            {"daemon killed meanwhile",
             CallEnd::NoAnswer,
             50,
             {arrivalOf(Answer)},
             {from(20, 60)},
             {},
             Unanswered::DaemonDisturbed},
            {"another daemon killed",
             CallEnd::NoAnswer,
             50,
             {arrivalOf(Answer)},
             {from(20, 60, 1)},
             {},
             Unanswered::Lost},
            {"daemon killed before",
             CallEnd::NoAnswer,
             50,
             {arrivalOf(Answer)},
             {from(-60, -20)},
             {},
             Unanswered::Lost},
            {"endpoint broke off",
             CallEnd::Cut,
             50,
             {arrivalOf(BreaksStream)},
             {},
             {},
             Unanswered::EndpointBroke},
            {"endpoint refused",
             CallEnd::NoAnswer,
             50,
             {arrivalOf(NotRun)},
             {},
             {},
             Unanswered::Lost},
            {"crossed the close",
             CallEnd::NoAnswer,
             50,
             {},
             {},
             {from(-3000, 40)},
             Unanswered::CrossedClose},
            {"closed late in a shutdown",
             CallEnd::NoAnswer,
             250,
             {},
             {},
             {from(-3000, 240)},
             Unanswered::Lost},
            {"passed on in a shutdown",
             CallEnd::NoAnswer,
             50,
             {arrivalOf(Answer)},
             {},
             {from(-3000, 40)},
             Unanswered::Lost},
            {"closed without a shutdown", CallEnd::NoAnswer, 50, {}, {}, {}, Unanswered::Lost},
            {"cut at the deadline",
             CallEnd::Cut,
             1501,
             {arrivalOf(Answer)},
             {},
             {},
             Unanswered::AtDeadline},
            {"never answered",
             CallEnd::Abandoned,
             3000,
             {arrivalOf(Answer)},
             {},
             {},
             Unanswered::Lost},
    };
    for (const Case &c : cases) {
        SoakEvidence evidence;
        evidence.calls.push_back(
                callOf("stream", c.end, c.end == CallEnd::Cut ? 200 : 0, c.endedAt));
        evidence.calls.back().body.clear();
        evidence.arrivals["r1"] = c.arrivals;
        evidence.disturbances = c.disturbances;
        evidence.shutdowns = c.shutdowns;
        const bool lost = c.expected == Unanswered::Lost;
        if (c.end == CallEnd::Complete)
            evidence.calls.back().body = wholeStream();
        STRCMP_EQUAL_TEXT(toString(c.expected), toString(classify(evidence, evidence.calls[0])),
                          c.name);
        if (c.end != CallEnd::Complete)
            CHECK_EQUAL_TEXT(lost, !brokenPromises(evidence).empty(), c.name);
    }
}

// Guards against a soak that passes a wrong answer.
TEST(SoakChecks, aBrokenPromiseIsFound)
{
    using enum EndpointBehaviour;
    struct Case
    {
        const char *name;
        SoakCall call;
        std::vector<Arrival> arrivals;
        bool broken;
    };
    const auto complete = [](std::string_view route, int status, int endedAt = 50) {
        return callOf(route, CallEnd::Complete, status, endedAt);
    };
    SoakCall shortStream = complete("stream", 200);
    shortStream.body.resize(20);
    SoakCall unsealed = complete("safe", 200);
    unsealed.sealed = false;
    const std::vector<Case> cases = {
            {"sound", complete("once", 200), {arrivalOf(Answer)}, false},
            {"ran twice", complete("once", 200), {arrivalOf(Answer), arrivalOf(Answer)}, true},
            {"repeatable ran twice",
             complete("safe", 200),
             {arrivalOf(Fails), arrivalOf(Answer)},
             false},
            {"refused twice and ran",
             complete("once", 200),
             {arrivalOf(NotRun), arrivalOf(Answer)},
             false},
            {"repeated beyond the route's limit",
             complete("safe-single", 200),
             {arrivalOf(Fails), arrivalOf(Answer)},
             true},
            {"503 and ran", complete("once", 503), {arrivalOf(Answer)}, true},
            {"503 and not run", complete("once", 503), {arrivalOf(NotRun)}, false},
            {"stream with a part missing", shortStream, {arrivalOf(Answer)}, true},
            {"answer without its seal", unsealed, {arrivalOf(Unsigned)}, true},
            {"denied", complete("safe", 401), {}, true},
            {"502 beside a sound endpoint",
             complete("stream", 502, 1200),
             {arrivalOf(Answer)},
             true},
            {"502 after a broken answer",
             complete("stream", 502, 1200),
             {arrivalOf(Resets)},
             false},
            {"504 at the deadline", complete("once", 504, 1501), {arrivalOf(Answer)}, false},
    };
    for (const Case &c : cases) {
        SoakEvidence evidence;
        evidence.calls.push_back(c.call);
        evidence.arrivals["r1"] = c.arrivals;
        CHECK_EQUAL_TEXT(c.broken, !brokenPromises(evidence).empty(), c.name);
    }
}

// Guards against versions that go back unnoticed, and against blame for overlapping requests.
TEST(SoakChecks, aVersionThatGoesBackIsFoundInOneIncarnation)
{
    struct Case
    {
        const char *name;
        int secondBegins;
        unsigned secondIncarnation;
        const char *secondWorkspace;
        bool broken;
    };
    // The first request is handled by version 2; its endpoint sees it at 5.
    const std::vector<Case> cases = {
            {"same version", 10, 1, "ws-2", false},
            {"newer version", 10, 1, "ws-3", false},
            {"older version", 10, 1, "ws-1", true},
            {"sent before the effect", 3, 1, "ws-1", false},
            {"after a restart", 10, 2, "ws-1", false},
    };
    for (const Case &c : cases) {
        SoakEvidence evidence;
        evidence.calls.push_back(callOf("safe", CallEnd::Complete, 200, 50));
        evidence.arrivals["r1"] = {arrivalOf(EndpointBehaviour::Answer, "ws-2", 5)};
        SoakCall second = callOf("safe", CallEnd::Complete, 200, 50);
        second.id = "r2";
        second.body = "answer of r2";
        second.begun = at(c.secondBegins);
        second.incarnation = c.secondIncarnation;
        evidence.calls.push_back(second);
        evidence.arrivals["r2"]
                = {arrivalOf(EndpointBehaviour::Answer, c.secondWorkspace, c.secondBegins + 1)};
        CHECK_EQUAL_TEXT(c.broken, !brokenPromises(evidence).empty(), c.name);
    }
}

// Guards against a version that arrives too late or never, and against blame for disturbances.
TEST(SoakChecks, aVersionThatIsNotAppliedInTimeIsFound)
{
    struct Case
    {
        const char *name;
        int writtenAt;
        Disturbance daemonFault;
        Disturbance storeFault;
        bool broken;
    };
    // The request begins at 0 and is handled by version 1. Version 2 is due 2 s after it is
    // written.
    const Disturbance none = from(-90'000, -80'000);
    const std::vector<Case> cases = {
            {"just written", -1900, none, none, false},
            {"overdue", -2100, none, none, true},
            {"daemon disturbed lately", -2100, from(-4900, -4800), none, false},
            {"daemon disturbed before", -2100, from(-5200, -5100), none, true},
            {"another daemon disturbed", -2100, from(-4900, -4800, 1), none, true},
            {"store away lately", -2100, none, from(-3000, -2500), false},
            {"store away before", -2100, none, from(-6000, -5500), true},
    };
    for (const Case &c : cases) {
        SoakEvidence evidence;
        evidence.calls.push_back(callOf("safe", CallEnd::Complete, 200, 50));
        evidence.arrivals["r1"] = {arrivalOf(EndpointBehaviour::Answer, "ws-1")};
        evidence.writes = {{1, at(-80'000)}, {2, at(c.writtenAt)}};
        evidence.disturbances = {c.daemonFault};
        evidence.storeFaults = {c.storeFault};
        CHECK_EQUAL_TEXT(c.broken, !brokenPromises(evidence).empty(), c.name);
    }
}

// Guards against blame for a disturbed link, and against an excuse by the link of another endpoint.
TEST(SoakChecks, aDisturbedLinkExcusesWhatItMayHaveBroken)
{
    struct Case
    {
        const char *name;
        CallEnd end;
        int status;
        const char *link;
        int disturbedUntil;
        bool broken;
    };
    // The request reaches i-1 and ends at 1200, before its deadline.
    const std::vector<Case> cases = {
            {"cut", CallEnd::Cut, 200, "i-1", 500, false},
            {"cut, link sound again before", CallEnd::Cut, 200, "i-1", -10, true},
            {"cut, another link", CallEnd::Cut, 200, "i-2", 500, true},
            {"502 after a loss on any link", CallEnd::Complete, 502, "i-2", 500, false},
            {"502, link sound again before", CallEnd::Complete, 502, "i-1", -10, true},
            {"503 and ran", CallEnd::Complete, 503, "i-1", 500, true},
    };
    for (const Case &c : cases) {
        SoakEvidence evidence;
        evidence.calls.push_back(callOf("once", c.end, c.status, 1200));
        evidence.arrivals["r1"] = {arrivalOf(EndpointBehaviour::Answer)};
        evidence.endpointLinks = {{c.link, at(-500), at(c.disturbedUntil)}};
        CHECK_EQUAL_TEXT(c.broken, !brokenPromises(evidence).empty(), c.name);
    }
}

// Guards against a key that works after it was revoked, and against a denial before.
TEST(SoakChecks, aKeyThatIsNotRevokedInTimeIsFound)
{
    struct Case
    {
        const char *name;
        int status;
        int revokedAt;
        int storeFaultAt;
        const char *earlier; ///< Workspace of a request of the same process; none is denied.
        bool broken;
    };
    // The key is revoked by version 5. The request begins at 0 and ends at 50.
    const int never = -90'000;
    const std::vector<Case> cases = {
            {"served, just revoked", 200, -1900, never, "ws-4", false},
            {"served, long revoked", 200, -2040, never, "ws-4", true},
            {"served, store away lately", 200, -2040, -3000, "ws-4", false},
            {"served, denied before", 200, -1900, never, "", true},
            {"refused, long revoked", 503, -2040, never, "ws-4", true},
            {"denied, long revoked", 401, -2040, never, "ws-4", false},
            {"denied, just revoked", 401, 20, never, "ws-4", false},
            {"denied, not yet revoked", 401, 60, never, "ws-4", true},
    };
    for (const Case &c : cases) {
        const bool denied = *c.earlier == '\0';
        SoakEvidence evidence;
        SoakCall earlier = callOf("safe", CallEnd::Complete, denied ? 401 : 200, -10);
        earlier.begun = at(-50);
        earlier.revokedBy = 5;
        earlier.id = "r0";
        earlier.body = "answer of r0";
        evidence.calls.push_back(earlier);
        if (!denied)
            evidence.arrivals["r0"] = {arrivalOf(EndpointBehaviour::Answer, c.earlier, -45)};
        evidence.calls.push_back(callOf("safe", CallEnd::Complete, c.status, 50));
        evidence.calls.back().revokedBy = 5;
        if (c.status == 200)
            evidence.arrivals["r1"] = {arrivalOf(EndpointBehaviour::Answer, "ws-4")};
        evidence.writes = {{4, at(-80'000)}, {5, at(c.revokedAt)}};
        evidence.storeFaults = {from(c.storeFaultAt, c.storeFaultAt)};
        CHECK_EQUAL_TEXT(c.broken, !brokenPromises(evidence).empty(), c.name);
    }
}

// Guards against an endpoint that gets requests though the store has long said that it drains.
TEST(SoakChecks, aRequestToADrainingEndpointIsFound)
{
    struct Case
    {
        const char *name;
        int drainsFrom;
        int drainsUntil;
        const char *endpoint;
        int storeFaultAt;
        bool broken;
    };
    // The request begins at 0 and reaches i-1 at 5.
    const std::vector<Case> cases = {
            {"just begun", -1900, 9000, "i-1", -90'000, false},
            {"long since", -2100, 9000, "i-1", -90'000, true},
            {"over", -9000, 0, "i-1", -90'000, false},
            {"another endpoint", -2100, 9000, "i-2", -90'000, false},
            {"store away meanwhile", -2100, 9000, "i-1", -1000, false},
    };
    for (const Case &c : cases) {
        SoakEvidence evidence;
        evidence.calls.push_back(callOf("safe", CallEnd::Complete, 200, 50));
        evidence.arrivals["r1"] = {arrivalOf(EndpointBehaviour::Answer)};
        evidence.drains = {{c.endpoint, at(c.drainsFrom), at(c.drainsUntil)}};
        evidence.storeFaults = {from(c.storeFaultAt, c.storeFaultAt)};
        CHECK_EQUAL_TEXT(c.broken, !brokenPromises(evidence).empty(), c.name);
    }
}

// Guards against requests to an endpoint that has told the daemon that it leaves or wants none.
TEST(SoakChecks, aRequestAgainstTheStatementOfAnEndpointIsFound)
{
    struct Case
    {
        const char *name;
        bool leaving;
        Millis quietFor;
        std::vector<int> laterAt; ///< The statement is made at 0.
        unsigned laterIncarnation;
        int disturbedAt;
        int rebornAt;
        bool broken;
    };
    const int never = -90'000;
    const std::vector<Case> cases = {
            {"no statement", false, Millis(0), {2500, 2600, 2700}, 1, never, never, false},
            {"leaving, soon after", true, Millis(0), {1900}, 1, never, never, false},
            {"leaving, late", true, Millis(0), {2100}, 1, never, never, true},
            {"leaving, another process", true, Millis(0), {2100}, 2, never, never, false},
            {"leaving, daemon frozen since", true, Millis(0), {2100}, 1, 1000, never, false},
            {"leaving, reborn since", true, Millis(0), {2100}, 1, never, 1000, false},
            {"leaving, reborn before", true, Millis(0), {2100}, 1, never, -10, true},
            {"quiet, at once", false, Millis(3000), {100, 200, 300}, 1, never, never, false},
            {"quiet, two", false, Millis(3000), {600, 700, 3100}, 1, never, never, false},
            {"quiet, three", false, Millis(3000), {600, 700, 2900}, 1, never, never, true},
            {"quiet, frozen since", false, Millis(3000), {600, 700, 800}, 1, 550, never, false},
    };
    for (const Case &c : cases) {
        SoakEvidence evidence;
        evidence.calls.push_back(callOf("safe", CallEnd::Complete, 200, 50));
        Arrival said = arrivalOf(EndpointBehaviour::Answer, "ws-1", 0);
        said.saysLeaving = c.leaving;
        said.quietFor = c.quietFor;
        evidence.arrivals["r1"] = {said};
        for (const int later : c.laterAt) {
            SoakCall call = callOf("safe", CallEnd::Complete, 200, later + 50);
            call.id = fmt::format("r{}", evidence.calls.size() + 1);
            call.body = "answer of " + call.id;
            call.begun = at(later);
            call.incarnation = c.laterIncarnation;
            evidence.arrivals[call.id] = {arrivalOf(EndpointBehaviour::Answer, "ws-1", later)};
            evidence.calls.push_back(call);
        }
        evidence.disturbances = {from(c.disturbedAt, c.disturbedAt)};
        evidence.rebirths = {{"i-1", at(c.rebornAt)}};
        CHECK_EQUAL_TEXT(c.broken, !brokenPromises(evidence).empty(), c.name);
    }
}

// Guards against a seed that cannot be played again, and against faults without a target.
TEST(SoakChecks, aSeedGivesOnePlanWithinItsBounds)
{
    SoakOptions options;
    for (options.seed = 1; options.seed <= 50; ++options.seed) {
        const std::vector<Fault> plan = planFaults(options);
        const std::vector<Fault> again = planFaults(options);
        CHECK(!plan.empty());
        CHECK_EQUAL(plan.size(), again.size());
        for (std::size_t i = 0; i < plan.size(); ++i) {
            CHECK(plan[i].kind == again[i].kind && plan[i].at == again[i].at
                  && plan[i].target == again[i].target && plan[i].duration == again[i].duration
                  && plan[i].behaviours == again[i].behaviours);
            CHECK(plan[i].at < options.length && (i == 0 || plan[i - 1].at <= plan[i].at));
            const bool ofDaemon
                    = plan[i].kind <= FaultKind::StoreLink; // The kinds of daemons come first.
            CHECK(plan[i].target < (ofDaemon ? options.daemons : options.replicas));
        }
    }
}
