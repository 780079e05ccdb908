#include "configbench.h"

#include "protocol/configcodec.h"

#include <boost/json.hpp>
#include <chrono>
#include <fstream>
#include <iostream>
#include <memory>

namespace greengageseam {

namespace {

using Clock = std::chrono::steady_clock;

constexpr int repeats = 20;
constexpr std::size_t zones = 23;
constexpr std::size_t pageKilobytes = 4;

/**
 * @returns edits that set all cells of a model version: its manifest, and weight and replicas by
 *          zone
 */
std::vector<CellEdit> versionEdits(std::size_t row)
{
    const std::string prefix = "model/model" + std::to_string(row) + "/v1/";
    std::vector<CellEdit> edits;
    edits.push_back({CellPath(prefix + "manifest"), digestOf(prefix).text()});
    for (std::size_t zone = 0; zone < zones; ++zone) {
        const std::string name = "zone" + std::to_string(zone);
        edits.push_back({CellPath(prefix + "weight/zone/" + name), "100"});
        edits.push_back({CellPath(prefix + "replicas/" + name), "5"});
    }
    return edits;
}

ConfigState makeFilledState(std::size_t rows)
{
    ConfigChange change;
    change.id = ChangeId("fill");
    for (std::size_t row = 0; row < rows; ++row) {
        const std::vector<CellEdit> edits = versionEdits(row);
        change.edits.insert(change.edits.end(), edits.begin(), edits.end());
    }
    ConfigState state = foldRecord(ConfigState(), {Offset {1}, change}).state;
    // Otherwise the verdict on the change that fills the table would count every cell a second
    // time.
    state.verdicts.clear();
    return state;
}

std::size_t residentKilobytes()
{
    std::ifstream file("/proc/self/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    file >> total >> resident;
    return resident * pageKilobytes;
}

double microseconds(Clock::duration duration)
{
    return std::chrono::duration<double, std::micro>(duration).count();
}

void measure(std::size_t rows)
{
    const std::size_t before = residentKilobytes();
    auto state = std::make_unique<ConfigState>(makeFilledState(rows));
    const std::size_t after = residentKilobytes();
    const std::size_t cells = state->rawTable.cells().size();
    const auto started = Clock::now();
    for (int n = 0; n < repeats; ++n) {
        ConfigChange change;
        change.id = ChangeId(std::to_string(n));
        change.base = state->applied;
        change.edits = {{CellPath("limit/origin-copies"), std::to_string(1 + n)}};
        *state = foldRecord(*state, {Offset {state->applied.value + 1}, change}).state;
    }
    const double perChange = microseconds(Clock::now() - started) / repeats;
    const auto snapshotStarted = Clock::now();
    const std::string text = encodeSnapshot(makeSnapshot(*state));
    const double perSnapshot = microseconds(Clock::now() - snapshotStarted);
    std::cout << boost::json::serialize(boost::json::object {{"bench", "config"},
                                                             {"rows", rows},
                                                             {"cells", cells},
                                                             {"us_per_change", perChange},
                                                             {"us_per_snapshot", perSnapshot},
                                                             {"snapshot_bytes", text.size()},
                                                             {"state_kilobytes", after - before}})
              << std::endl;
}

} // namespace

bool runConfigBench()
{
    for (const std::size_t rows : {2, 20, 60, 200}) {
        measure(rows);
    }
    return true;
}

} // namespace greengageseam
