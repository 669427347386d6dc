/// Keeps attempt pages below the store's value limit, also those that were written under a larger limit.
/// Pure: no state, and no chunk is copied.
#pragma once

#include <map>
#include <vector>

#include "core/job_table.hpp"

namespace hatchwind::controller {

/// What one page records. The chunks are the caller's.
using PageContent = std::map<core::ChunkKey, const core::Chunk*>;

/// Size of the record of a chunk within a page, in bytes of the JSON form (which the limits count).
std::size_t chunk_bytes(const core::ChunkKey& key, const core::Chunk& chunk);
/// Size of the record of a page, in bytes of the JSON form; never less than what is written.
std::size_t page_bytes(const PageContent& content);

/// Divides a page into parts of at most `max_bytes` each, except that a chunk is never divided. The first
/// part is what stays on the page. With more than `max_parts` parts, the last ones are joined to the first,
/// which then is still too large but smaller than before: the rest follows with the next write.
///
/// All parts have to be written in one transaction: a reader, of whatever version, drops the chunks that a
/// page no longer names unless another page has brought them at the same revision.
std::vector<PageContent> split_page(const PageContent& content, std::size_t max_bytes, std::size_t max_parts);

}  // namespace hatchwind::controller
