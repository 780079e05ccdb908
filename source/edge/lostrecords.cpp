#include "edge/lostrecords.h"

namespace greengageseam {

namespace {

/** @returns the version of a record; 0 if it is missing or cannot be read */
template <typename Decode>
std::uint64_t versionOf(const Decode &decode, const std::optional<std::string> &value)
{
    if (!value) {
        return 0;
    }
    const auto read = toOutcome([&] { return decode(*value); });
    return failureOf(read) == nullptr ? std::get<0>(read).version : 0;
}

} // namespace

KeepsRecord keepsNewerVersions(OperatorHooks hooks)
{
    return [hooks = std::move(hooks)](const std::string &key, const std::string &known,
                                      const std::optional<std::string> &stored) {
        if (hooks.isConfig(key)) {
            return versionOf(hooks.decodeConfig, known) > versionOf(hooks.decodeConfig, stored);
        }
        return hooks.isTargetVersion(key)
                && versionOf(hooks.decodeTargetVersion, known)
                > versionOf(hooks.decodeTargetVersion, stored);
    };
}

} // namespace greengageseam
