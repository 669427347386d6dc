/// Splits attempt pages that exceed the store's value limit, such as pages that were written under a larger
/// limit. Stateless; chunks are referenced, not copied.
#pragma once

#include <map>
#include <vector>

#include "core/job_table.hpp"

namespace hatchwind::controller {

/// The chunks that one page records. Does not own the chunks.
using PageContent = std::map<core::ChunkKey, const core::Chunk*>;

/// Returns the size of a chunk's record within a page, in bytes of its JSON form, to which the store's limits
/// apply.
std::size_t chunk_bytes(const core::ChunkKey& key, const core::Chunk& chunk);
/// Returns an upper bound of the size of a page's record, in bytes of its JSON form.
std::size_t page_bytes(const PageContent& content);

/// Splits a page into parts of at most `max_bytes` each. A chunk is never split, so a part that consists of
/// one large chunk may exceed `max_bytes`. The first part stays on the original page. If there are more than
/// `max_parts` parts, the excess parts are merged into the first one, which then is still too large but
/// smaller than before; the next write of the page splits it again.
///
/// All parts must be written in one transaction: readers of every software version drop the chunks that a
/// page no longer names unless another page names them at the same revision.
std::vector<PageContent> split_page(const PageContent& content, std::size_t max_bytes, std::size_t max_parts);

}  // namespace hatchwind::controller
