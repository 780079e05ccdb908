#include "engine.h"

#include <array>
#include <openssl/sha.h>
#include <thread>

namespace review {

namespace {

constexpr double originBytesPerSecond = 9.9e6 / 8;
constexpr double heartbeatSeconds = 1.2;
constexpr double loadSeconds = 0.3;
constexpr double firstEventSeconds = 0.04;
constexpr int eventCount = 4;

long unixMs()
{
    return static_cast<long>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                     std::chrono::system_clock::now().time_since_epoch())
                                     .count());
}

int numberIn(const std::string &text, const std::string &name)
{
    const std::size_t at = text.find(name);
    return at == std::string::npos ? 0 : std::atoi(text.c_str() + at + name.size());
}

} // namespace

std::string digestOf(const std::string &bytes)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest {};
    SHA256(reinterpret_cast<const unsigned char *>(bytes.data()), bytes.size(), digest.data());
    const std::string digits = "0123456789abcdef";
    std::string text;
    for (const unsigned char byte : digest) {
        text.push_back(digits[byte >> 4U]);
        text.push_back(digits[byte & 15U]);
    }
    return text;
}

std::string pieceOf(int version, int number)
{
    std::string bytes;
    std::string line = digestOf(std::to_string(version) + "/" + std::to_string(number));
    while (bytes.size() < pieceBytes) {
        bytes += line;
    }
    return bytes.substr(0, pieceBytes);
}

Origin::Origin(Record &record)
    : m_record(record),
      m_server("127.0.0.1",
               [this](const HttpMessage &request, const Connection &) { return handle(request); })
{ }

std::string Origin::listOf(int version)
{
    std::string digests;
    for (int n = 0; n < pieceCount; ++n) {
        digests += (n == 0 ? "\"" : ",\"") + digestOf(pieceOf(version, n)) + "\"";
    }
    std::string body = R"({"model":"draft","version":)" + std::to_string(version)
            + R"(,"chunkBytes":)" + std::to_string(pieceBytes) + R"(,"layers":)"
            + std::to_string(layerCount) + R"(,"digests":[)" + digests + "]}";
    if (m_listsToSpoil > 0) {
        --m_listsToSpoil;
        ++m_spoilt;
        char &digit = body[body.size() / 2];
        digit = digit == '0' ? '1' : '0';
        m_record.line("origin: one digit of the list of version " + std::to_string(version)
                      + " is spoilt");
    }
    return body;
}

std::string Origin::handle(const HttpMessage &request)
{
    const int version = std::atoi(request.parameter("version").c_str());
    const bool isList = request.target().starts_with("/-/manifest/");
    const std::string body = isList
            ? listOf(version)
            : pieceOf(version, std::atoi(request.parameter("quantity").c_str()));
    ++m_answers;
    if (isList) {
        m_record.line("origin: list of version " + std::to_string(version) + " sent");
    }
    const std::lock_guard lock(m_link);
    wait(static_cast<double>(body.size()) / originBytesPerSecond);
    return response("200 OK", "", body);
}

Engine::Engine(std::string id, const std::string &host, int version, Record &record)
    : m_id(std::move(id)), m_record(record), m_version(version), m_born(unixMs()),
      m_server(host,
               [this](const HttpMessage &request, const Connection &) { return handle(request); })
{
    for (int n = 0; n < pieceCount; ++n) {
        m_staged[n] = pieceOf(version, n);
    }
}

void Engine::restartEmpty()
{
    m_server.dropConnections();
    const std::lock_guard lock(m_mutex);
    m_staged.clear();
    m_version = 0;
    m_orders = 0;
    m_isLoading = false;
    ++m_incarnation;
    m_born = unixMs();
    m_record.line(m_id + ": starts again without weights");
}

std::string Engine::modelFields() const
{
    const std::string version = std::to_string(m_version);
    return m_version == 0 ? std::string(R"("models":[])")
                          : R"("models":[{"name":"draft","version":)" + version
                    + R"(,"adapters":[]}],"layers":{"from":0,"to":16,"version":)" + version + "}";
}

void Engine::registerAt(Store &store)
{
    std::thread([this, &store] {
        while (true) {
            std::string entry;
            {
                const std::lock_guard lock(m_mutex);
                entry = R"({"service":"model-pool","address":")" + m_server.address()
                        + R"(","zone":"herning-a","version":"v1","slots":16,"state":"ready",)"
                        + R"("coldLeftMs":0,"sequence":)" + std::to_string(m_orders) + R"(,"born":)"
                        + std::to_string(m_born) + R"(,"stage":"prefill_decode",)" + modelFields()
                        + "}";
            }
            store.put("keyed.servers", m_id, entry);
            wait(heartbeatSeconds);
        }
    }).detach();
}

std::string Engine::report()
{
    const std::lock_guard lock(m_mutex);
    return response("200 OK", "Content-Type: application/json\r\n",
                    R"({"stage":"prefill_decode","busy":)"
                            + std::string(m_isLoading ? "true" : "false") + R"(,"sequence":)"
                            + std::to_string(m_orders) + R"(,"waiting":0,"running":0,"kvUsed":0,)"
                            + R"("kvTotal":1640000,"handles":0,"pace":1.0,"born":)"
                            + std::to_string(m_born) + "," + modelFields() + "}");
}

std::string Engine::takeOrder(const HttpMessage &request)
{
    const int version = numberIn(request.body, R"("version":)");
    const std::lock_guard lock(m_mutex);
    if (m_version == version) {
        return response("200 OK", "", "");
    }
    if (m_isLoading) {
        return response("409 Conflict", "", "");
    }
    ++m_orders;
    m_isLoading = true;
    bool isWhole = true;
    for (int n = 0; n < pieceCount; ++n) {
        isWhole = isWhole && m_staged[n] == pieceOf(version, n);
    }
    m_record.line(m_id + ": loads version " + std::to_string(version)
                  + (isWhole ? "" : ", of which pieces are missing or spoilt"));
    std::thread([this, version, incarnation = m_incarnation] {
        load(version, incarnation);
    }).detach();
    return response("202 Accepted", "", "");
}

void Engine::load(int version, int incarnation)
{
    wait(loadSeconds);
    const std::lock_guard lock(m_mutex);
    if (incarnation == m_incarnation) {
        m_version = version;
        m_isLoading = false;
    }
}

std::string Engine::generate(const HttpMessage &request)
{
    const std::string attempt = "Attempt-Id: " + request.field("Attempt-Id") + "\r\n";
    const std::string expected = request.field("Expected-Version");
    bool isEmpty = false;
    bool isMisdirected = false;
    {
        const std::lock_guard lock(m_mutex);
        isEmpty = m_version == 0 || m_isLoading;
        isMisdirected = request.field("Expected-Instance") != m_id
                || (!expected.empty() && std::atoi(expected.c_str()) != m_version);
    }
    if (isMisdirected) {
        return response("421 Misdirected Request", attempt + "Replica-Id: " + m_id + "\r\n", "");
    }
    if (isEmpty) {
        return response("503 Service Unavailable", attempt + "Not-Executed: 1\r\n", "");
    }
    wait(firstEventSeconds);
    std::string chunks;
    for (int n = 1; n <= eventCount; ++n) {
        const std::string event = "id: " + std::to_string(n) + "\ndata: token\n\n";
        std::array<char, 16> size {};
        std::snprintf(size.data(), size.size(), "%zx\r\n", event.size());
        chunks += size.data() + event + "\r\n";
    }
    return "HTTP/1.1 200 OK\r\n" + attempt + "Server-Seal: " + m_id
            + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks
            + "0\r\n\r\n";
}

std::string Engine::handle(const HttpMessage &request)
{
    const std::string path = request.target();
    if (path == "/-/report") {
        return report();
    }
    if (path == "/-/order") {
        return takeOrder(request);
    }
    if (path.starts_with("/-/stage-put/")) {
        const std::lock_guard lock(m_mutex);
        m_staged[std::atoi(request.parameter("quantity").c_str())] = request.body;
        return response("200 OK", "", "");
    }
    if (path.starts_with("/-/stage-get/")) {
        const std::lock_guard lock(m_mutex);
        const auto it = m_staged.find(std::atoi(request.parameter("quantity").c_str()));
        return it == m_staged.end() ? response("404 Not Found", "", "")
                                    : response("200 OK", "", it->second);
    }
    return generate(request);
}

std::string engineConfig(const std::string &origin)
{
    return R"({"version":7,"routes":[{"name":"r-draft","host":"draft.example",)"
           R"("pathPrefix":"/draft/","routeKind":"streaming","timeoutMs":6000,)"
           R"("targetLatencyMs":400,"priority":1,"service":"model-pool","maxAttempts":2,)"
           R"("anonymous":false,"sessionAffinity":true,"streamResume":true,"gapAimMs":300}],)"
           R"("services":[{"name":"model-pool","healthPath":"/health","maxConnections":264,)"
           R"("protocol":"h1","tls":false,"engine":{"slots":16,"kvCapacityTokens":1640000,)"
           R"("kvTokenBytes":163840,"stride":6,"chunks":64,"chunkBytes":32768,"layers":16,)"
           R"("step_ms":6.73,"per_seq_ms":0.0219,"context_per_k":0.0068,"read_per_s":30600.0,)"
           R"("pairs_per_m":0.647,"chunk":2048,"usual":{"prompt":900,"answer":100},)"
           R"("models":[{"name":"draft","pace":1.0,"loadS":4.0,"warmS":0.3}]}},)"
           R"({"name":"office-desk","maxConnections":48,"linkMbps":9.9,"zone":"herning-a",)"
           R"("origin":")"
            + origin
            + R"("}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,)"
              R"("headerTimeoutMs":3000,"idleTimeoutMs":15000},)"
              R"("tenants":[{"name":"school","apiKeys":["key-of-school"]}]})";
}

} // namespace review
