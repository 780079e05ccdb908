/**
 * A small fleet for the cases about weights: two entries, two model replicas with their agents, the
 * origin of weights, and clients that ask for drafts.
 */
#pragma once

#include "engine.h"

namespace review {

/** Sends requests to two entries in turn at fixed intervals, and keeps how they were answered. */
class DraftClients
{
public:
    DraftClients(std::vector<std::string> entries, Record &record);

    /** Sends requests until the time is over, and waits for their answers. */
    void run(double until);
    /** @returns the share that was served of the requests sent between two times */
    double servedShare(double from, double to);

private:
    /** A request as its client saw it. */
    struct Sent
    {
        double at = 0;
        int status = 0;
    };

    void request(int n);

    std::vector<std::string> m_entries;
    Record &m_record;
    std::mutex m_mutex;
    std::vector<Sent> m_sent;
};

/** Addresses of the machines of the fleet. */
extern const std::vector<std::string> entryIps;
extern const std::vector<std::string> agentIps;

/** The fleet, with version 1 of the weights loaded and staged. */
class DraftFleet
{
public:
    /** Entries and agents use ranges of internal ports from these first ones. */
    DraftFleet(const std::string &folder, int entryPort, int agentPort, Record &record);

    /** Starts all processes. @returns whether the entries are ready in time */
    bool start();
    /** All machines lose power; what the replicas have loaded and staged is gone. */
    void powerOff();
    /** All machines are back. */
    void powerOn();
    /** The operator names new weights. */
    void nameVersion(int version);
    std::vector<std::string> frontAddresses() const;
    Origin &origin() { return m_origin; }

private:
    Record &m_record;
    Store m_store;
    Origin m_origin;
    std::vector<std::unique_ptr<Engine>> m_engines;
    std::vector<std::unique_ptr<Node>> m_nodes;
};

/** Times of a day that ends with a loss of power, in seconds. */
constexpr double secondsBeforeNaming = 4;
constexpr double secondsBeforeFault = 10;
constexpr double downSeconds = 1;
/** bounds.recoveryS of the settings. */
constexpr double recoverySeconds = 12;
constexpr double secondsJudged = 20;

/** What a disruption does with the fleet. */
struct RecoveryTrouble
{
    /** Called before the machines are back. */
    std::function<void(DraftFleet &fleet)> beforeBack;
    /** Called some time after that. */
    std::function<void(DraftFleet &fleet)> afterBack;
    double afterBackSeconds = 1;
};

/**
 * Plays the day and judges the rule RECOVER. @returns the exit code of the case
 */
int playRecovery(DraftFleet &fleet, const RecoveryTrouble &trouble, Record &record);

} // namespace review
