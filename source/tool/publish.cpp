/**
 * The publish command: uploads a file to the platform's weight store, chunk by chunk.
 */
#include "logservice/storeclient.h"
#include "tool/commands.h"

#include <fstream>
#include <iostream>
#include <unistd.h>

namespace greengageseam {

namespace {

constexpr auto storeTimeout = std::chrono::seconds(60);
constexpr std::uint64_t percent = 100;
constexpr int maxAttempts = 20;
constexpr auto retryDelay = std::chrono::milliseconds(500);

/** @returns the next chunk of the file; empty at its end */
std::string readNextChunk(std::ifstream &file, std::uint64_t chunkBytes)
{
    std::string bytes(chunkBytes, '\0');
    file.read(bytes.data(), static_cast<std::streamsize>(bytes.size()));
    bytes.resize(static_cast<std::size_t>(file.gcount()));
    return bytes;
}

void showProgress(std::uint64_t done, std::uint64_t total)
{
    const bool isTerminal = isatty(STDERR_FILENO) != 0;
    std::cerr << (isTerminal ? "\r" : "") << "published " << done << " of " << total << " bytes ("
              << (total == 0 ? percent : done * percent / total) << " %)"
              << (isTerminal && done < total ? "" : "\n") << std::flush;
}

/**
 * Uploads a chunk unless the store has it already. Retries for a while, because the store may be
 * rate-limited or unavailable.
 */
Awaitable<VoidOutcome> storeChunk(asio::any_io_executor executor, const StoreClient &store,
                                  Digest digest, std::string bytes)
{
    VoidOutcome result = Failure {};
    for (int n = 0; n < maxAttempts; ++n) {
        const Outcome<bool> exists = co_await store.hasChunk(digest);
        const bool *isStored = std::get_if<bool>(&exists);
        if (isStored != nullptr && *isStored) {
            co_return std::monostate();
        }
        result = co_await store.writeChunk(digest, bytes);
        if (failureOf(result) == nullptr) {
            co_return result;
        }
        Timer timer(executor, retryDelay);
        co_await timer.async_wait(asTuple);
    }
    co_return result;
}

} // namespace

Awaitable<ToolExit> publishFile(asio::any_io_executor executor, ToolSettings settings,
                                std::string file, std::uint64_t chunkBytes)
{
    std::ifstream input(file, std::ios::binary | std::ios::ate);
    if (!input) {
        std::cerr << "greengageseam: " << file << " cannot be opened\n";
        co_return ToolExit::Failed;
    }
    const auto total = static_cast<std::uint64_t>(input.tellg());
    input.seekg(0);
    const StoreClient store(executor, settings.store, storeTimeout);
    std::vector<Chunk> chunks;
    std::uint64_t done = 0;
    while (true) {
        std::string bytes = readNextChunk(input, chunkBytes);
        if (bytes.empty()) {
            break;
        }
        const Chunk chunk {digestOf(bytes), bytes.size()};
        const VoidOutcome stored =
                co_await storeChunk(executor, store, chunk.digest, std::move(bytes));
        if (const Failure *failure = failureOf(stored)) {
            std::cerr << "greengageseam: " << failure->detail << "\n";
            co_return ToolExit::Failed;
        }
        chunks.push_back(chunk);
        done += chunk.size;
        showProgress(done, total);
    }
    const Manifest manifest(std::move(chunks));
    const VoidOutcome stored = co_await store.writeManifest(manifest);
    if (const Failure *failure = failureOf(stored)) {
        std::cerr << "greengageseam: " << failure->detail << "\n";
        co_return ToolExit::Failed;
    }
    if (settings.asJson) {
        const boost::json::object published {{"manifest", manifest.digest().text()},
                                             {"bytes", total}};
        std::cout << boost::json::serialize(published) << "\n";
    } else {
        std::cout << manifest.digest().text() << "\n";
    }
    co_return ToolExit::Done;
}

} // namespace greengageseam
