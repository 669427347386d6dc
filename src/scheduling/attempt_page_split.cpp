#include "scheduling/attempt_page_split.hpp"

#include <algorithm>
#include <compare>
#include <functional>

#include "wire/cbor.hpp"
#include "wire/records.hpp"

namespace hatchwind::controller {

namespace {
constexpr std::size_t kPageFrameBytes = 8;   // a page record without chunks
constexpr std::size_t kChunkFrameBytes = 8;  // quotes, slash, colon, comma

struct SizedChunk {
    std::size_t bytes = 0;
    core::ChunkKey key;
    friend auto operator<=>(const SizedChunk&, const SizedChunk&) = default;
};

std::vector<SizedChunk> largest_first(const PageContent& content) {
    std::vector<SizedChunk> chunks;
    for (const auto& [key, chunk] : content) chunks.push_back({chunk_bytes(key, *chunk), key});
    std::sort(chunks.begin(), chunks.end(), std::greater<>{});
    return chunks;
}
}  // namespace

std::size_t chunk_bytes(const core::ChunkKey& key, const core::Chunk& chunk) {
    return kChunkFrameBytes + key.job.size() + std::to_string(key.number).size() +
           wire::json_bytes(wire::chunk_record(chunk));
}

std::size_t page_bytes(const PageContent& content) {
    std::size_t sum = kPageFrameBytes;
    for (const auto& [key, chunk] : content) sum += chunk_bytes(key, *chunk);
    return sum;
}

std::vector<PageContent> split_page(const PageContent& content, std::size_t max_bytes,
                                    std::size_t max_parts) {
    std::vector<PageContent> parts(1);
    std::vector<std::size_t> sizes{kPageFrameBytes};
    // First-fit decreasing keeps the number of parts low: a transaction has room for only a few.
    for (const auto& [bytes, key] : largest_first(content)) {
        std::size_t part = 0;
        while (part < parts.size() && !parts[part].empty() && sizes[part] + bytes > max_bytes) ++part;
        if (part == parts.size()) {
            parts.emplace_back();
            sizes.push_back(kPageFrameBytes);
        }
        parts[part].emplace(key, content.at(key));
        sizes[part] += bytes;
    }
    while (parts.size() > std::max<std::size_t>(max_parts, 1)) {
        parts.front().merge(parts.back());
        parts.pop_back();
    }
    return parts;
}

}  // namespace hatchwind::controller
