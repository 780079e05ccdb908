/**
 * Tests of the check of a configuration against the one in force, with the operators' tool as a
 * process and a stand-in of the platform's store.
 * labels: failure
 */
#include "fleetstandin.h"
#include "net/clock.h"
#include "process.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>

namespace greengageseam {
namespace {

constexpr auto toolTimeout = std::chrono::seconds(20);

std::string configOf(int version, int timeoutMs)
{
    return R"({"version":)" + std::to_string(version)
            + R"(,"routes":[{"name":"r","host":"a.example","pathPrefix":"/x/",)"
              R"("routeKind":"idempotent","timeoutMs":)"
            + std::to_string(timeoutMs)
            + R"(,"targetLatencyMs":400,"service":"p","maxAttempts":2}],"services":[{"name":"p"}],)"
              R"("tenants":[{"name":"ann","apiKeys":["key"]}]})";
}

/** Runs `greengageseam check` against a store. */
class StoredConfigFixture
{
protected:
    StoredConfigFixture()
        : m_store(m_context.get_executor(), Log(LogLevel::Error, {})),
          m_folder(std::filesystem::temp_directory_path()
                   / ("configcheck-" + std::to_string(getpid())))
    {
        std::filesystem::create_directories(m_folder);
        std::ofstream(m_folder / "new.json") << configOf(2, 900);
    }

    ~StoredConfigFixture() { std::filesystem::remove_all(m_folder); }

    /** @returns the exit code; -1 if the tool does not end */
    int check()
    {
        Process tool({programPath("greengageseam"), "check", "--against=store",
                      "--platform-store=" + m_store.address().text(),
                      (m_folder / "new.json").string()},
                     {}, (m_folder / "output").string());
        const Instant end = monotonicNow() + toolTimeout;
        int code = -1;
        while (code == -1 && monotonicNow() < end) {
            m_context.run_for(std::chrono::milliseconds(20));
            code = tool.wait(Duration::zero());
        }
        std::ifstream file(m_folder / "output");
        m_output.assign(std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>());
        return code;
    }

    asio::io_context m_context;
    StoreStandin m_store;
    std::filesystem::path m_folder;
    std::string m_output;
};

TEST_CASE_METHOD(StoredConfigFixture, "check_againstStore_tellsWhatChangesForCallers")
{
    m_store.put("keyed.op", "config", configOf(1, 800));
    CHECK(check() == 0);
    CHECK_THAT(m_output, Catch::Contains("change: ") && Catch::Contains("900"));
}

TEST_CASE_METHOD(StoredConfigFixture, "check_storeHasANewerVersion_isAWarning")
{
    m_store.put("keyed.op", "config", configOf(3, 900));
    CHECK(check() == 1);
    CHECK_THAT(m_output, Catch::Contains("is not above 3"));
}

TEST_CASE_METHOD(StoredConfigFixture, "check_storeHasNoConfiguration_allIsNew")
{
    m_store.put("keyed.op", "version/m", R"({"version":1})");
    CHECK(check() == 0);
    CHECK_THAT(m_output, Catch::Contains("change: "));
}

TEST_CASE_METHOD(StoredConfigFixture, "check_storeFails_isAnError")
{
    m_store.failWith(500);
    CHECK(check() == 2);
    CHECK_THAT(m_output, Catch::Contains("error: store "));
}

} // namespace
} // namespace greengageseam
