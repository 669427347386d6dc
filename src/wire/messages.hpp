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
#include "core/ledger.hpp"
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
std::optional<core::WorkerReport> parse_report(const Json& v);
Json order_list(const std::vector<core::Order>& orders);
Json report_answer(std::uint64_t token, const std::vector<core::Order>& orders = {});
Json orders_request(std::uint64_t token, std::uint64_t session, const std::vector<core::Order>& orders);
Json home_answer(const std::string& label);
std::string task_name(const std::string& job, std::uint32_t task);
std::optional<std::pair<std::string, std::uint32_t>> parse_task_name(std::string_view name);

// --- cloud ---
std::optional<core::Catalog> parse_catalog(const Json& v);
struct RentalPage {
    std::vector<core::Rental> rentals;
    bool more = false;
};
std::optional<RentalPage> parse_rentals(const Json& v);
std::optional<std::vector<std::string>> parse_rented(const Json& v);
Json rent_request(const std::string& name, const std::string& type, const std::string& zone, bool spot,
                  std::uint32_t number);
Json release_request(const std::vector<std::string>& machines);

// --- store ---
struct StoreItem {
    std::string key;
    std::optional<Json> value;  // none: deleted
    core::Stamp stamp = 0;
};
struct StorePage {
    std::vector<StoreItem> items;
    bool more = false;
    core::Stamp revision = 0;
};
std::optional<StorePage> parse_page(const Json& v);
std::optional<StorePage> parse_watch(const Json& v);

struct Write {
    std::string key;
    std::optional<Json> value;  // none: delete
    std::uint64_t grant = 0;    // 0: not attached
};
struct Transaction {
    std::vector<std::pair<std::string, core::Stamp>> conditions;
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
std::optional<core::Chunk> parse_chunk_record(const Json& v, core::Stamp stamp);
Json epoch_record(const core::Epoch& e);
std::optional<core::Epoch> parse_epoch_record(const Json& v, core::Stamp stamp);
Json page_record(const std::map<core::ChunkKey, const core::Chunk*>& chunks);
std::optional<std::map<core::ChunkKey, core::Chunk>> parse_page_record(const Json& v);
Json names_record(const std::set<std::string>& names);
std::optional<std::set<std::string>> parse_names_record(const Json& v);
Json final_record(JobStatus s, std::uint32_t done);
std::optional<std::pair<JobStatus, std::uint32_t>> parse_final_record(const Json& v);

}  // namespace hatchwind::wire
