/**
 * Provides the main function of the test programs, and names each test case that has failed on a
 * line of its own, by which scripts/test looks it up in KNOWN-RED.txt.
 */
#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
#include <iostream>

namespace greengageseam {
namespace {

/** Prints the names of the test cases that fail. */
class FailedCaseListener : public Catch::TestEventListenerBase
{
public:
    using TestEventListenerBase::TestEventListenerBase;

    void testCaseEnded(const Catch::TestCaseStats &stats) override
    {
        if (!stats.totals.assertions.allOk()) {
            std::cout << "\nfailed case: " << stats.testInfo.name << std::endl;
        }
    }
};

CATCH_REGISTER_LISTENER(FailedCaseListener)

} // namespace
} // namespace greengageseam
