#include "core/weights/chunkbits.h"

#include <bit>

namespace greengageseam {

namespace {

constexpr std::size_t byteBits = 8;

unsigned char maskOf(std::size_t index)
{
    return static_cast<unsigned char>(1U << (index % byteBits));
}

} // namespace

ChunkBits::ChunkBits(std::string packed) : m_packed(std::move(packed)) { }

ChunkBits::ChunkBits(const std::vector<bool> &present)
    : m_packed((present.size() + byteBits - 1) / byteBits, '\0')
{
    for (std::size_t i = 0; i < present.size(); ++i) {
        if (present[i]) {
            m_packed[i / byteBits] = static_cast<char>(m_packed[i / byteBits] | maskOf(i));
        }
    }
}

bool ChunkBits::has(std::size_t index) const
{
    const std::size_t byteIndex = index / byteBits;
    return byteIndex < m_packed.size()
            && (static_cast<unsigned char>(m_packed[byteIndex]) & maskOf(index)) != 0;
}

std::size_t ChunkBits::count() const
{
    std::size_t n = 0;
    for (const char c : m_packed) {
        n += static_cast<std::size_t>(std::popcount(static_cast<unsigned char>(c)));
    }
    return n;
}

ChunkBits ChunkBits::without(std::size_t index) const
{
    ChunkBits next = *this;
    if (has(index)) {
        char &byte = next.m_packed[index / byteBits];
        byte = static_cast<char>(byte & ~maskOf(index));
    }
    return next;
}

} // namespace greengageseam
