#include "core/fleet/promptpart.h"

namespace greengageseam {

std::vector<PromptPartId> sharedParts(const std::vector<PromptPart> &parts)
{
    std::vector<PromptPartId> ids;
    for (std::size_t n = 0; n + 1 < parts.size(); ++n) {
        ids.push_back(parts[n].id);
    }
    return ids;
}

} // namespace greengageseam
