/// Records that this program keeps in the store. Versions run side by side, so fields are only added: a
/// record keeps the fields that this version does not know where its type has `unknown_fields`, and old
/// records stay readable.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/epoch.hpp"
#include "core/job_table.hpp"
#include "core/model.hpp"
#include "wire/cbor.hpp"
#include "wire/decoded.hpp"
#include "wire/job_status.hpp"

namespace hatchwind::wire {

/// A job that has not ended. Its id is the key's.
Json job_record(const core::Job& job);
/// The job of a record; unknown fields of it are kept in the job.
Decoded<core::Job> parse_job_record(const std::string& id, const Json& record);

/// One part of a list of job ids that is too long for one record. All have to be job ids.
Json job_ids_record(const std::vector<std::string>& ids);
/// The job ids of such a part, in its order.
Decoded<std::vector<std::string>> parse_job_ids_record(const Json& record);

/// The tasks that are done and the open attempts of one chunk of a job.
Json chunk_record(const core::Chunk& chunk);
/// The chunk of a record that was written at this revision.
Decoded<core::Chunk> parse_chunk_record(const Json& record, core::Revision mod_revision);

/// Chunks of many jobs of one team. The pointers must not be null.
Json page_record(const std::map<core::ChunkKey, const core::Chunk*>& chunks);
/// The chunks of a page, without a revision of their own.
Decoded<std::map<core::ChunkKey, core::Chunk>> parse_page_record(const Json& record);

/// The epoch: leader, members, and the shards of each.
Json epoch_record(const core::Epoch& epoch);
/// The epoch of a record that was written at this revision; unknown fields of it are kept.
Decoded<core::Epoch> parse_epoch_record(const Json& record, core::Revision mod_revision);

/// The key of a live controller: the store lease of this life, and what its version understands.
Json member_record(std::uint64_t store_lease, std::uint64_t capabilities);
/// The record written at this revision. What is missing counts as 0, since earlier versions announced
/// nothing.
core::MemberRecord parse_member_record(const Json& record, core::Revision mod_revision);

/// A set of machines, by name.
Json names_record(const std::set<std::string>& names);
/// The names in such a record.
Decoded<std::set<std::string>> parse_names_record(const Json& record);

/// How a job ended, with the number of its tasks that are done.
Json final_record(JobStatus status, std::uint32_t done);
/// The final state in such a record; an error for a status that is not final.
Decoded<FinalState> parse_final_record(const Json& record);

}  // namespace hatchwind::wire
