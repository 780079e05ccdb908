#include "daemon/environment.h"

#include <cctype>

namespace greengageseam {

namespace {

const std::string variablePrefix = "GREENGAGESEAM_";

} // namespace

Environment readEnvironment(const char *const *variables)
{
    Environment environment;
    for (; *variables != nullptr; ++variables) {
        const std::string variable = *variables;
        const std::size_t n = variable.find('=');
        if (n != std::string::npos && variable.starts_with(variablePrefix)) {
            environment.emplace(variable.substr(0, n), variable.substr(n + 1));
        }
    }
    return environment;
}

std::string variableNameFor(const std::string &flag)
{
    std::string name = variablePrefix;
    for (const char c : flag.substr(2)) {
        name.push_back(c == '-' ? '_' : static_cast<char>(std::toupper(c)));
    }
    return name;
}

} // namespace greengageseam
