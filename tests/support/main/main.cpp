// Runs the tests of a program.
//
//   unit_tests [options of CppUTest] [--known-red GROUP.NAME]...
//
// A test named by --known-red does not run. CppUTest's own -xsn can't leave out several tests: a
// test runs as soon as one of its filters admits it.

#include <set>
#include <string>
#include <string_view>
#include <vector>

// CppUTest redefines new and comes after the standard headers.
#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/TestRegistry.h>

namespace {

void leaveOut(const std::set<std::string> &names)
{
    TestRegistry *registry = TestRegistry::getCurrentRegistry();
    std::vector<UtestShell *> tests;
    while (registry->countTests() > 0) {
        tests.push_back(registry->getFirstTest());
        registry->unDoLastAddTest();
    }
    for (auto test = tests.rbegin(); test != tests.rend(); ++test) {
        const std::string name = std::string((*test)->getGroup().asCharString()) + "."
                                 + (*test)->getName().asCharString();
        if (!names.contains(name))
            registry->addTest(*test);
    }
}

} // namespace

int main(int argc, char **argv)
{
    // Threads allocate and free outside the test body, which the leak detector reports as leaks.
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    std::set<std::string> knownRed;
    std::vector<const char *> arguments;
    for (int i = 0; i < argc; ++i) {
        if (std::string_view(argv[i]) == "--known-red" && i + 1 < argc)
            knownRed.insert(argv[++i]);
        else
            arguments.push_back(argv[i]);
    }
    leaveOut(knownRed);
    return CommandLineTestRunner::RunAllTests(static_cast<int>(arguments.size()), arguments.data());
}
