// Regions that may handle a request.

#include "residency/residency.h"

#include <CppUTest/TestHarness.h>

#include <set>
#include <string>
#include <vector>

using namespace cicadafork::residency;

namespace {

const RegionMap kMap{"north", {{"n-1", "north"}, {"n-2", "north"}, {"s-1", "south"}, {"e-1", ""}}};

} // namespace

TEST_GROUP(Residency){};

// Guards against two lists of which only one is applied, and against an empty intersection that is
// taken for an absent list.
TEST(Residency, bothListsApply)
{
    struct Case
    {
        const char *name;
        std::vector<std::string> ofRoute;
        std::vector<std::string> ofWorkspace;
        bool any;
        std::set<std::string> regions;
    };
    const Case cases[] = {
            {"none", {}, {}, true, {}},
            {"route", {"north"}, {}, false, {"north"}},
            {"workspace", {}, {"south", "north"}, false, {"north", "south"}},
            {"both", {"north", "south"}, {"south", "west"}, false, {"south"}},
            {"nothing in common", {"north"}, {"south"}, false, {}},
            {"named twice", {"north", "north"}, {"north"}, false, {"north"}},
    };
    for (const Case &row : cases) {
        const AllowedRegions allowed = intersect(row.ofRoute, row.ofWorkspace);
        CHECK_EQUAL_TEXT(row.any, allowed.any, row.name);
        CHECK_TRUE_TEXT(allowed.regions == row.regions, row.name);
    }
}

// Guards against endpoints and daemons outside the allowed regions, or of unknown ones.
TEST(Residency, endpointsAndDaemonsAreAllowedByTheirRegion)
{
    struct Case
    {
        const char *name;
        AllowedRegions allowed;
        const char *failureDomain;
        bool runs;
        bool receives;
    };
    const Case cases[] = {
            {"no list", {}, "s-1", true, true},
            {"no list, unknown", {}, "x-1", true, true},
            {"allowed", {false, {"south"}}, "s-1", true, true},
            {"region of this daemon", {false, {"south"}}, "n-2", false, true},
            {"both", {false, {"north"}}, "n-2", true, true},
            {"neither", {false, {"west"}}, "s-1", false, false},
            {"unknown failure domain", {false, {"north", "south"}}, "x-1", false, false},
            {"failure domain without a region", {false, {"north", ""}}, "e-1", false, false},
            {"no region is allowed", {false, {}}, "s-1", false, false},
    };
    for (const Case &row : cases) {
        CHECK_EQUAL_TEXT(row.runs, mayRunIn(row.allowed, kMap, row.failureDomain), row.name);
        CHECK_EQUAL_TEXT(row.receives, mayReceiveBody(row.allowed, kMap, row.failureDomain),
                         row.name);
    }
    // Neither region is known, so they need not be the same.
    const RegionMap unknown{"", {{"e-1", ""}}};
    CHECK_FALSE(mayReceiveBody({false, {"north"}}, unknown, "e-1"));
}

// Guards against a header of a handover that allows more than its sender said.
TEST(Residency, theHeaderOfAHandoverKeepsTheRegions)
{
    for (const std::set<std::string> &regions :
         {std::set<std::string>{}, {"north"}, {"a,b", "c\"d", "e\r\nf", "g\u00e9"}}) {
        const std::string text = encodeRegions({false, regions});
        for (const char character : text)
            CHECK_TRUE(character >= ' ' && character < 127);
        const AllowedRegions decoded = decodeRegions(text);
        CHECK_FALSE(decoded.any);
        CHECK_TRUE(decoded.regions == regions);
    }
    for (const char *malformed :
         {"", "north", "{}", "[1]", "[\"north\",2]", "[\"north\"", "null"}) {
        const AllowedRegions decoded = decodeRegions(malformed);
        CHECK_FALSE_TEXT(decoded.any, malformed);
        CHECK_TRUE_TEXT(decoded.regions.empty(), malformed);
    }
}
