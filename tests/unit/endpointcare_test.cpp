#include "endpoint/holdsweep.h"
#include "endpoint/reconcile.h"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace cicadafork;

namespace {

PeerView member(const std::string &id, const std::string &incarnation)
{
    PeerView view;
    view.id = id;
    view.incarnation = incarnation;
    return view;
}

EngineHold hold(const std::string &id, const std::string &holder, const std::string &incarnation)
{
    EngineHold result;
    result.holdId = id;
    result.holder = holder;
    result.incarnation = incarnation;
    return result;
}

std::string orderText(const EngineOrder &order)
{
    return order.order + " " + order.model + "/" + order.adapter + "/" + order.version + "/"
           + order.role + " " + std::to_string(order.fencing);
}

} // namespace

TEST_GROUP(EndpointCare){};

// Guards against an order that is lost for good, and against orders that are sent for ever to an
// endpoint that obeys.
TEST(EndpointCare, ordersAreTheDifferenceBetweenWantedAndReported)
{
    struct Case
    {
        const char *name;
        std::set<std::string> wantedModels;
        std::string wantedRole;
        ObservedEndpoint observed;
        std::vector<std::string> orders;
    };
    const std::vector<Case> cases = {
            {"nothing wanted", {}, "", {{"a"}, "mixed"}, {}},
            {"all there", {"a", "b:x@2"}, "decode", {{"b:x@2", "a"}, "decode"}, {}},
            {"plain model missing", {"a"}, "", {{}, ""}, {"load a/// 7"}},
            {"old version reported", {"b:x@2"}, "", {{"b:x@1"}, ""}, {"load b/x/2/ 7"}},
            {"version without adapter", {"b@3"}, "", {{}, ""}, {"load b//3/ 7"}},
            {"role differs", {}, "prefill", {{}, "mixed"}, {"role ///prefill 7"}},
    };
    for (const Case &c : cases) {
        EndpointIntent intent;
        intent.models = c.wantedModels;
        intent.role = c.wantedRole;
        intent.version = 7;
        const auto orders = ordersFor(intent, c.observed);
        LONGS_EQUAL_TEXT(c.orders.size(), orders.size(), c.name);
        for (std::size_t i = 0; i < orders.size(); ++i)
            STRCMP_EQUAL_TEXT(c.orders[i].c_str(), orderText(orders[i]).c_str(), c.name);
    }
}

// Guards against holds of a live daemon that are released: its request would lose its memory.
TEST(EndpointCare, onlyAnOlderIncarnationOfAMemberCountsAsReplaced)
{
    const std::vector<PeerView> members = {member("d1", "018f-5"), member("d2", "")};
    struct Case
    {
        const char *name;
        EngineHold hold;
        HolderState state;
    };
    const std::vector<Case> cases = {
            {"same incarnation", hold("h", "d1", "018f-5"), HolderState::Live},
            {"older incarnation", hold("h", "d1", "018f-4"), HolderState::Replaced},
            {"restart not heard of yet", hold("h", "d1", "018f-6"), HolderState::Live},
            {"member without heartbeat", hold("h", "d2", "018f-1"), HolderState::Live},
            {"unknown member", hold("h", "d3", "018f-1"), HolderState::Unknown},
    };
    for (const Case &c : cases)
        CHECK_TRUE_TEXT(holderState(c.hold, members) == c.state, c.name);
}

// Guards against the sweep of a new daemon's holds while the VM list does not show it yet.
TEST(EndpointCare, holdsOfUnknownHoldersAreReleasedAfterTheGrace)
{
    HoldSweep sweep;
    const std::vector<EngineHold> holds = {hold("h1", "new", "018f-1"), hold("h2", "d1", "018f-1")};
    const std::vector<PeerView> before = {member("d1", "018f-2")};
    const TimePoint start{};
    const TimePoint begin = start + Millis(1000);
    LONGS_EQUAL(1, sweep.orphans(holds, before, begin).size());
    LONGS_EQUAL(1, sweep.orphans(holds, before, begin + kUnknownHolderGrace - Millis(1)).size());
    LONGS_EQUAL(2, sweep.orphans(holds, before, begin + kUnknownHolderGrace).size());
    const std::vector<PeerView> after = {member("d1", "018f-1"), member("new", "018f-1")};
    LONGS_EQUAL(0, sweep.orphans(holds, after, begin + 2 * kUnknownHolderGrace).size());
}
