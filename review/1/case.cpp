/**
 * Case 1: after a loss of power, the origin spoils one digit in two lists of pieces. The entries
 * keep the spoilt lists, so no replica ever gets weights again.
 *
 * Usage: case1 FOLDER RECORD
 */
#include "../standins/draftfleet.h"

namespace review {
namespace {

/** Two of the lists; the origin sends about 70 answers in the 8 s after the machines are back. */
constexpr int spoiltLists = 2;
/** Largest share of its answers that the origin spoils on a day of the site. */
constexpr double largestShare = 0.04;

/** Ends the process while the stand-ins, whose threads go on, still exist. */
[[noreturn]] void run(const std::string &folder, Record &record)
{
    const int port = freePorts({"127.0.1.1", "127.0.1.2", "127.0.2.1", "127.0.2.2"}, portsNeeded);
    DraftFleet fleet(folder, port, port, record);
    int answersBefore = 0;
    RecoveryTrouble trouble;
    trouble.beforeBack = [&](DraftFleet &it) {
        answersBefore = it.origin().answers();
        it.origin().spoilLists(spoiltLists);
    };
    const int code = playRecovery(fleet, trouble, record);
    const int answers = fleet.origin().answers() - answersBefore;
    record.line("origin: " + std::to_string(fleet.origin().spoilt()) + " of "
                + std::to_string(answers) + " answers after the fault were spoilt");
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
