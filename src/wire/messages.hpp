// The wire's names and shapes, for users, workers, cloud and store. The core knows none of them.
#pragma once

#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "core/epoch.hpp"
#include "core/job_table.hpp"
#include "core/model.hpp"
#include "wire/cbor.hpp"

namespace hatchwind::wire {

// --- users ---
bool is_job_id(std::string_view id);
// The job, or what is wrong with the field named first.
std::variant<core::Job, std::string> parse_submission(const Json& v);

enum class JobStatus : std::uint8_t { queued, running, done, cancelled };
const char* status_name(JobStatus s);
Json job_answer(const std::string& id, JobStatus s);
Json job_answer(const std::string& id, JobStatus s, std::uint32_t done, std::uint32_t running);

// --- workers ---
std::optional<core::WorkerHeartbeat> parse_worker_heartbeat(const Json& v);
Json command_list(const std::vector<core::WorkerCommand>& commands);
Json heartbeat_response(std::uint64_t fencing_token, const std::vector<core::WorkerCommand>& commands = {});
Json commands_request(std::uint64_t fencing_token, std::uint64_t incarnation,
                      const std::vector<core::WorkerCommand>& commands);
Json redirect_response(const std::string& label);
std::string task_name(const std::string& job, std::uint32_t task);
std::optional<std::pair<std::string, std::uint32_t>> parse_task_name(std::string_view name);

// --- cloud ---
std::optional<core::Catalog> parse_catalog(const Json& v);
struct InstancePage {
    std::vector<core::Instance> instances;
    bool more = false;
};
std::optional<InstancePage> parse_instances(const Json& v);
std::optional<std::vector<std::string>> parse_rented(const Json& v);
Json rent_request(const std::string& name, const std::string& type, const std::string& zone, bool spot,
                  std::uint32_t number);
Json release_request(const std::vector<std::string>& machines);

// --- store ---
struct StoreItem {
    std::string key;
    std::optional<Json> value;  // none: deleted
    core::Revision mod_revision = 0;
};
struct StorePage {
    std::vector<StoreItem> items;
    bool more = false;
    core::Revision revision = 0;
};
std::optional<StorePage> parse_page(const Json& v);
std::optional<StorePage> parse_watch(const Json& v);

struct Write {
    std::string key;
    std::optional<Json> value;      // none: delete
    std::uint64_t store_lease = 0;  // 0: not attached
};
struct Transaction {
    std::vector<std::pair<std::string, core::Revision>> conditions;
    std::vector<Write> writes;
};
Json transaction_request(const Transaction& t);
// Keys whose conditions failed, from the answer to a transaction that was not carried out.
std::vector<std::string> failed_conditions(const Json& v);

// Records that this service keeps in the store.
Json job_record(const core::Job& j);
std::optional<core::Job> parse_job_record(const std::string& id, const Json& v);
// A part of a list of jobs that is too long for one record.
Json job_ids_record(const std::vector<std::string>& ids);
std::optional<std::vector<std::string>> parse_job_ids_record(const Json& v);
Json chunk_record(const core::Chunk& c);
std::optional<core::Chunk> parse_chunk_record(const Json& v, core::Revision mod_revision);
Json epoch_record(const core::Epoch& e);
std::optional<core::Epoch> parse_epoch_record(const Json& v, core::Revision mod_revision);
Json page_record(const std::map<core::ChunkKey, const core::Chunk*>& chunks);
std::optional<std::map<core::ChunkKey, core::Chunk>> parse_page_record(const Json& v);
Json names_record(const std::set<std::string>& names);
std::optional<std::set<std::string>> parse_names_record(const Json& v);
Json final_record(JobStatus s, std::uint32_t done);
std::optional<std::pair<JobStatus, std::uint32_t>> parse_final_record(const Json& v);

}  // namespace hatchwind::wire
