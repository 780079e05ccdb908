#include "core/routing/versionchoice.h"

namespace greengageseam {

std::vector<VersionOption> versionOptions(const Table &table, const ModelName &model,
                                          const ZoneName &zone, const AccountName &account)
{
    std::vector<VersionOption> options;
    const RowKey first {model, VersionName()};
    for (auto it = table.rows.lower_bound(first); it != table.rows.end(); ++it) {
        if (it->first.model != model) {
            break;
        }
        const Weight weight = it->second.weight(zone, account);
        if (weight > 0) {
            options.push_back({it->first, it->second.manifest, weight});
        }
    }
    return options;
}

std::optional<VersionOption> chooseVersion(const std::vector<VersionOption> &options,
                                           std::uint64_t random)
{
    std::uint64_t total = 0;
    for (const VersionOption &option : options) {
        total += option.weight;
    }
    if (total == 0) {
        return std::nullopt;
    }
    std::uint64_t rest = random % total;
    for (const VersionOption &option : options) {
        if (rest < option.weight) {
            return option;
        }
        rest -= option.weight;
    }
    return std::nullopt;
}

} // namespace greengageseam
