/**
 * Stand-ins for a model replica, which stages and loads weights, and for the origin of weights.
 */
#pragma once

#include "platform.h"

namespace review {

/** The weights of the cases: a number of pieces for each version. */
constexpr int pieceCount = 64;
constexpr int pieceBytes = 32768;
constexpr int layerCount = 16;

std::string pieceOf(int version, int number);
/** @returns the SHA-256 digest of the bytes in hexadecimal */
std::string digestOf(const std::string &bytes);

/** The service that hands out the list of pieces and the pieces, on a narrow link. */
class Origin
{
public:
    explicit Origin(Record &record);

    const std::string &address() const { return m_server.address(); }
    /** Spoils one digit in each of the next lists of pieces. */
    void spoilLists(int count) { m_listsToSpoil = count; }
    int answers() const { return m_answers; }
    int spoilt() const { return m_spoilt; }

private:
    std::string handle(const HttpMessage &request);
    std::string listOf(int version);

    Record &m_record;
    std::mutex m_link;
    std::atomic<int> m_listsToSpoil = 0;
    std::atomic<int> m_answers = 0;
    std::atomic<int> m_spoilt = 0;
    Server m_server;
};

/** A model replica of the service "model-pool" with the model "draft". */
class Engine
{
public:
    /** @param version weights that are loaded and staged at the start */
    Engine(std::string id, const std::string &host, int version, Record &record);

    const std::string &address() const { return m_server.address(); }
    /** Starts again after a loss of power: nothing is loaded or staged. */
    void restartEmpty();
    /** Writes the replica's entry to the store now, and then with each heartbeat. */
    void registerAt(Store &store);

private:
    std::string handle(const HttpMessage &request);
    std::string report();
    std::string modelFields() const;
    std::string takeOrder(const HttpMessage &request);
    std::string generate(const HttpMessage &request);
    void load(int version, int incarnation);

    std::string m_id;
    Record &m_record;
    std::mutex m_mutex;
    std::map<int, std::string> m_staged;
    int m_version;
    int m_incarnation = 1;
    int m_orders = 0;
    bool m_isLoading = false;
    long m_born;
    Server m_server;
};

/** @returns a configuration with the service "model-pool" and one resumable streaming route */
std::string engineConfig(const std::string &origin);

} // namespace review
