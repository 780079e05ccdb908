#include "net/machine.h"

#include <algorithm>
#include <limits>
#include <malloc.h>
#include <sys/resource.h>
#include <unistd.h>

namespace greengageseam {

namespace {

constexpr std::uint64_t bytesPerMegabyte = 1024UL * 1024;
/** Part of the machine's memory that the process may use unless its settings say otherwise. */
constexpr std::uint64_t memoryPart = 2;
/** Size from which allocations are mapped. */
constexpr int mappedAllocationBytes = 128 * 1024;

std::uint32_t clampToUint32(std::uint64_t value)
{
    return static_cast<std::uint32_t>(
            std::min<std::uint64_t>(value, std::numeric_limits<std::uint32_t>::max()));
}

} // namespace

ProcessLimits machineLimits()
{
    ProcessLimits limits;
    const long pages = sysconf(_SC_PHYS_PAGES);
    const long pageBytes = sysconf(_SC_PAGESIZE);
    if (pages > 0 && pageBytes > 0) {
        const std::uint64_t bytes =
                static_cast<std::uint64_t>(pages) * static_cast<std::uint64_t>(pageBytes);
        limits.memoryMb = clampToUint32(bytes / memoryPart / bytesPerMegabyte);
    }
    rlimit descriptors {};
    if (getrlimit(RLIMIT_NOFILE, &descriptors) == 0 && descriptors.rlim_cur != RLIM_INFINITY) {
        limits.descriptors = clampToUint32(descriptors.rlim_cur);
    }
    return limits;
}

void mapLargeAllocations()
{
    mallopt(M_MMAP_THRESHOLD, mappedAllocationBytes);
}

} // namespace greengageseam
