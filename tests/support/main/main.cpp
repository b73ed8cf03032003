#include <CppUTest/CommandLineTestRunner.h>

int main(int argc, char **argv)
{
    // Threads allocate and free outside the test body, which the leak detector reports as leaks.
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    return CommandLineTestRunner::RunAllTests(argc, argv);
}
