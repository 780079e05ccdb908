/**
 * Case 1: after a loss of power, the origin spoils one digit in two lists of pieces. The entries
 * keep the spoilt lists, so no replica ever gets weights again.
 *
 * Usage: case FOLDER RECORD
 */
#include "../draftfleet.h"

namespace review {
namespace {

constexpr int spoiltLists = 2;
/** Largest share of its answers that the origin spoils on a day of the site, and for how long. */
constexpr double largestShare = 0.04;
constexpr double garbleSeconds = 8;

/** Ends the process while the stand-ins, whose threads go on, still exist. */
[[noreturn]] void run(const std::string &folder, Record &record)
{
    const int port = freePorts({"127.0.1.1", "127.0.1.2", "127.0.2.1", "127.0.2.2"}, portsNeeded);
    DraftFleet fleet(folder, port, port, record);
    int answersBefore = 0;
    int answers = 0;
    RecoveryTrouble trouble;
    trouble.beforeBack = [&](DraftFleet &it) {
        answersBefore = it.origin().answers();
        it.origin().spoilLists(spoiltLists);
    };
    trouble.afterBackSeconds = garbleSeconds;
    trouble.afterBack = [&](DraftFleet &it) { answers = it.origin().answers() - answersBefore; };
    const int code = playRecovery(fleet, trouble, record);
    record.line("origin: " + std::to_string(fleet.origin().spoilt()) + " of "
                + std::to_string(answers)
                + " answers in the first 8 s after the machines were back were spoilt");
    finish(fleet.origin().spoilt() > largestShare * answers ? notRun : code);
}

} // namespace
} // namespace review

int main(int argc, char **argv)
{
    if (argc != 3) {
        return review::notRun;
    }
    review::Record record(argv[2]);
    review::run(argv[1], record);
}
