/**
 * Tests of the daemon's settings: validation, environment variables, and that secrets stay hidden.
 */
#include "daemon/settings.h"

#include <catch2/catch.hpp>

namespace greengageseam {
namespace {

const ProcessLimits machine {8192, 1024};

/** Provides valid flags of an entry, each of which a test can replace by an invalid one. */
class SettingsFixture
{
protected:
    Outcome<DaemonSettings> read(const std::string &flag = {}, const std::string &value = {})
    {
        std::map<std::string, std::string> flags = m_flags;
        if (!flag.empty()) {
            flags[flag] = value;
        }
        std::vector<std::string> words;
        for (const auto &[name, text] : flags) {
            words.push_back(name + "=" + text);
        }
        return toOutcome([&] { return readSettings(words, m_environment, machine); });
    }

    static ProcessLimits limitsOf(const Outcome<DaemonSettings> &outcome)
    {
        REQUIRE(failureOf(outcome) == nullptr);
        return std::get<EntrySettings>(std::get<DaemonSettings>(outcome).role).limits;
    }

    void requireRefused(const std::string &flag, const std::string &value)
    {
        const Outcome<DaemonSettings> outcome = read(flag, value);
        const Failure *failure = failureOf(outcome);
        INFO(flag << "=" << value);
        REQUIRE(failure != nullptr);
        REQUIRE(failure->kind == ErrorKind::InvalidRequest);
        REQUIRE_THAT(failure->detail, Catch::Contains(flag));
        REQUIRE(failure->detail.find('\n') == std::string::npos);
    }

    std::map<std::string, std::string> m_flags {
            {"--role", "entry"},         {"--instance", "entry1"},         {"--zone", "fyn"},
            {"--listen", "127.0.0.1:1"}, {"--peer-listen", "127.0.0.1:2"}, {"--log", "127.0.0.1:3"},
            {"--list", "127.0.0.1:4"},   {"--secret", "sixteen letters."}};
    Environment m_environment;
};

TEST_CASE_METHOD(SettingsFixture, "settings_validEntry_areAccepted")
{
    const Outcome<DaemonSettings> outcome = read();
    REQUIRE(failureOf(outcome) == nullptr);
    const auto &entry = std::get<EntrySettings>(std::get<DaemonSettings>(outcome).role);
    REQUIRE(entry.zone == ZoneName("fyn"));
}

TEST_CASE_METHOD(SettingsFixture, "settings_invalidValue_isRejectedWithItsName")
{
    requireRefused("--role", "queen");
    requireRefused("--zone", "");
    requireRefused("--zone", "two words");
    requireRefused("--listen", "localhost:80");
    requireRefused("--listen", "127.0.0.1:70000");
    requireRefused("--log", "127.0.0.1");
    requireRefused("--secret", "short");
    requireRefused("--request-limit", "0");
    requireRefused("--request-limit", "3601");
    requireRefused("--drain-limit", "ten");
    requireRefused("--log-level", "loud");
    requireRefused("--bootstrap-token", "not-a-digest");
}

TEST_CASE_METHOD(SettingsFixture, "settings_invalidSecret_isNotPrinted")
{
    const Outcome<DaemonSettings> outcome = read("--secret", "hush");
    REQUIRE(failureOf(outcome)->detail.find("hush") == std::string::npos);
}

TEST_CASE_METHOD(SettingsFixture, "settings_unknownFlag_isRejected")
{
    const Outcome<DaemonSettings> outcome = read("--no-such-flag", "1");
    REQUIRE(failureOf(outcome) != nullptr);
}

TEST_CASE_METHOD(SettingsFixture, "settings_variableWithoutFlag_isUsed")
{
    m_flags.erase("--zone");
    m_environment["GREENGAGESEAM_ZONE"] = "jylland";
    const Outcome<DaemonSettings> outcome = read();
    const auto &entry = std::get<EntrySettings>(std::get<DaemonSettings>(outcome).role);
    REQUIRE(entry.zone == ZoneName("jylland"));
}

TEST_CASE_METHOD(SettingsFixture, "settings_flagAndVariable_flagWins")
{
    m_environment["GREENGAGESEAM_ZONE"] = "jylland";
    const Outcome<DaemonSettings> outcome = read();
    const auto &entry = std::get<EntrySettings>(std::get<DaemonSettings>(outcome).role);
    REQUIRE(entry.zone == ZoneName("fyn"));
}

TEST_CASE_METHOD(SettingsFixture, "settings_limitsOfTheProcess_replaceThoseOfTheMachine")
{
    REQUIRE(limitsOf(read()) == machine);
    m_environment["GREENGAGESEAM_MEMORY_LIMIT"] = "67108864";
    m_environment["GREENGAGESEAM_DESCRIPTOR_LIMIT"] = "600";
    REQUIRE(limitsOf(read()) == ProcessLimits {64, 600});
    requireRefused("--memory-limit", "64m");
    requireRefused("--memory-limit", "1000");
    requireRefused("--descriptor-limit", "10");
}

} // namespace
} // namespace greengageseam
