#include <CppUTest/CommandLineTestRunner.h>

int main(int argc, char **argv)
{
    // CppUTest's leak detector replaces operator new and delete, and inline code of the standard
    // library does not always pair them. The address sanitizer build detects leaks instead.
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    return CommandLineTestRunner::RunAllTests(argc, argv);
}
