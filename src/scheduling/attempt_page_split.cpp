#include "scheduling/attempt_page_split.hpp"

#include <algorithm>

#include "wire/records.hpp"

namespace hatchwind::controller {

namespace {
constexpr std::size_t kPageFrame = 8;   // of a page record without chunks
constexpr std::size_t kChunkFrame = 8;  // quotes, slash, colon, comma
}  // namespace

std::size_t chunk_bytes(const core::ChunkKey& key, const core::Chunk& chunk) {
    return kChunkFrame + key.job.size() + std::to_string(key.number).size() +
           wire::chunk_record(chunk).dump().size();
}

std::size_t page_bytes(const PageContent& content) {
    std::size_t sum = kPageFrame;
    for (const auto& [key, chunk] : content) sum += chunk_bytes(key, *chunk);
    return sum;
}

std::vector<PageContent> split_page(const PageContent& content, std::size_t limit, std::size_t most) {
    std::vector<std::pair<std::size_t, core::ChunkKey>> by_size;
    for (const auto& [key, chunk] : content) by_size.emplace_back(chunk_bytes(key, *chunk), key);
    // First fit decreasing: the transaction has room for few parts.
    std::sort(by_size.begin(), by_size.end(), std::greater<>{});
    std::vector<PageContent> parts(1);
    std::vector<std::size_t> sizes{kPageFrame};
    for (const auto& [bytes, key] : by_size) {
        std::size_t part = 0;
        while (part < parts.size() && !parts[part].empty() && sizes[part] + bytes > limit) ++part;
        if (part == parts.size()) {
            parts.emplace_back();
            sizes.push_back(kPageFrame);
        }
        parts[part].emplace(key, content.at(key));
        sizes[part] += bytes;
    }
    while (parts.size() > std::max<std::size_t>(most, 1)) {
        parts.front().merge(parts.back());
        parts.pop_back();
    }
    return parts;
}

}  // namespace hatchwind::controller
