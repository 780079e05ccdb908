#include "core/routing/versionchoice.h"

#include <vector>

namespace greengageseam {

VersionChoice chooseVersion(const ConfigTable &table, const ModelName &model, const ZoneName &zone,
                            const AccountName &account, const IsServed &isServed,
                            std::uint64_t random)
{
    struct Option
    {
        const ModelVersion *row;
        Weight weight;
    };
    VersionChoice choice;
    std::vector<Option> options;
    std::uint64_t total = 0;
    const ModelVersionKey first {model, VersionName()};
    for (auto it = table.modelVersions.lower_bound(first); it != table.modelVersions.end(); ++it) {
        if (it->first.model != model) {
            break;
        }
        const Weight weight = it->second.weight(zone, account);
        choice.isOffered = choice.isOffered || weight > 0;
        if (weight > 0 && isServed(it->second)) {
            options.push_back({&it->second, weight});
            total += weight;
        }
    }
    std::uint64_t remaining = total == 0 ? 0 : random % total;
    for (const Option &option : options) {
        if (remaining < option.weight) {
            choice.row = option.row;
            break;
        }
        remaining -= option.weight;
    }
    return choice;
}

} // namespace greengageseam
