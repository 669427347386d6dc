#include "emulator/store.hpp"

#include <algorithm>

namespace hatchwind::emulator {

using io::Micros;
using Json = wire::Json;

namespace {

constexpr std::size_t kMostKeyBytes = 200;
constexpr std::size_t kMostListed = 1000;
constexpr std::size_t kMostListedBytes = std::size_t{512} * 1024;

bool valid_key(const Json& map, const char* field) {
    const auto found = map.find(field);
    if (found == map.end() || !found->is_string()) return false;
    const auto& key = found->get_ref<const std::string&>();
    return !key.empty() && key.size() <= kMostKeyBytes && key.find(' ') == std::string::npos;
}

bool valid_condition(const Json& condition) {
    return condition.is_object() && valid_key(condition, "path") && wire::whole(condition, "stamp");
}

bool valid_write(const Json& write) {
    if (!write.is_object()) return false;
    if (write.contains("delete")) return valid_key(write, "delete") && !write.contains("write");
    return valid_key(write, "write") && write.contains("v") &&
           (!wire::present(write, "tenure") || wire::whole(write, "tenure"));
}

Store::Answer malformed(const char* why) { return {400, {{"error", why}}}; }

const Json& list_or_empty(const Json& request, const char* field) {
    static const Json empty = Json::array();
    const Json* found = wire::list(request, field);
    return found != nullptr ? *found : empty;
}

bool list_or_nothing(const Json& request, const char* field) {
    return !wire::present(request, field) || wire::list(request, field) != nullptr;
}

}  // namespace

bool Store::holds(const Json& condition) const {
    const auto found = items_.find(condition["path"].get<std::string>());
    const std::uint64_t mod_revision = found == items_.end() ? 0 : found->second.mod_revision;
    return mod_revision == condition["stamp"].get<std::uint64_t>();
}

std::optional<Store::Answer> Store::refusal(const Json& request, const Limits& limits) const {
    if (!request.is_object() || !list_or_nothing(request, "when") || !list_or_nothing(request, "writes"))
        return malformed("malformed");
    const Json& conditions = list_or_empty(request, "when");
    const Json& writes = list_or_empty(request, "writes");
    if (!std::all_of(conditions.begin(), conditions.end(), valid_condition) ||
        !std::all_of(writes.begin(), writes.end(), valid_write))
        return malformed("malformed");
    if (writes.size() > limits.writes || conditions.size() > 4 * limits.writes) return malformed("too many");
    const auto bytes = static_cast<double>(wire::json_bytes(request));
    if (bytes > limits.transaction_kb * 1024) return malformed("too large");
    // Values are parts of the whole: one that is small enough holds none that is too large.
    const double most = limits.value_kb * 1024;
    for (const Json& write : writes) {
        if (bytes > most && write.contains("write") &&
            static_cast<double>(wire::json_bytes(write["v"])) > most)
            return malformed("value too large");
    }
    for (const Json& write : writes) {
        const auto store_lease = wire::whole(write, "tenure");
        if (store_lease && !grants_.contains(*store_lease)) return malformed("no such lease");
    }
    return std::nullopt;
}

Store::Answer Store::commit(const Json& request, const Limits& limits) {
    if (auto refused = refusal(request, limits)) return *refused;
    Json failed = Json::array();
    for (const Json& condition : list_or_empty(request, "when"))
        if (!holds(condition)) failed.push_back(condition["path"]);
    if (!failed.empty()) return {409, {{"failed", failed}, {"ledger", revision_}}};
    const std::uint64_t next = revision_ + 1;
    for (const Json& write : list_or_empty(request, "writes")) {
        if (write.contains("write")) {
            const std::string key = write["write"];
            items_[key] = {write["v"], next, wire::whole(write, "tenure").value_or(0)};
            log({next, key, write["v"]});
        } else if (items_.erase(write["delete"].get<std::string>()) != 0) {
            log({next, write["delete"].get<std::string>(), std::nullopt});
        }
    }
    return {200, {{"ledger", revision_}}};
}

Store::Answer Store::get(const std::string& key) const {
    const auto found = items_.find(key);
    if (found == items_.end()) return {404, {{"ledger", revision_}}};
    Json body{{"path", key}, {"v", found->second.value}, {"stamp", found->second.mod_revision}};
    if (found->second.store_lease != 0) body["tenure"] = found->second.store_lease;
    return {200, std::move(body)};
}

Store::Answer Store::list(const std::string& prefix, const std::string& after, std::size_t most) const {
    Json pairs = Json::array();
    std::size_t bytes = 0;
    bool more = false;
    auto at = after >= prefix && !after.empty() ? items_.upper_bound(after) : items_.lower_bound(prefix);
    for (; at != items_.end() && at->first.starts_with(prefix); ++at) {
        Json pair{{"path", at->first}, {"v", at->second.value}, {"stamp", at->second.mod_revision}};
        bytes += wire::json_bytes(pair);
        if (pairs.size() == std::min(most, kMostListed) || (bytes > kMostListedBytes && !pairs.empty())) {
            more = true;
            break;
        }
        pairs.push_back(std::move(pair));
    }
    return {200, {{"pairs", pairs}, {"hasNext", more}, {"ledger", revision_}}};
}

std::optional<Json> Store::changes(const std::string& prefix, std::uint64_t after) const {
    if (after < dropped_) return std::nullopt;
    Json out = Json::array();
    auto change =
        std::upper_bound(log_.begin(), log_.end(), after,
                         [](std::uint64_t revision, const Change& c) { return revision < c.revision; });
    for (; change != log_.end(); ++change) {
        if (!change->key.starts_with(prefix)) continue;
        if (change->value) {
            out.push_back({{"write", change->key}, {"v", *change->value}, {"stamp", change->revision}});
        } else {
            out.push_back({{"delete", change->key}, {"stamp", change->revision}});
        }
    }
    return out;
}

void Store::log(Change change) {
    revision_ = change.revision;
    log_.push_back(std::move(change));
    while (log_.size() > kLogKept) {
        dropped_ = log_.front().revision;
        log_.pop_front();
    }
}

std::uint64_t Store::grant_lease(Micros life, Micros now) {
    grants_[++last_grant_] = {life, now + life};
    return last_grant_;
}

bool Store::renew_lease(std::uint64_t store_lease, Micros now) {
    const auto found = grants_.find(store_lease);
    if (found == grants_.end()) return false;
    found->second.until = now + found->second.life;
    return true;
}

bool Store::end(std::uint64_t store_lease) {
    if (grants_.erase(store_lease) == 0) return false;
    std::vector<std::string> attached;
    for (const auto& [key, item] : items_)
        if (item.store_lease == store_lease) attached.push_back(key);
    const std::uint64_t next = revision_ + 1;
    for (const auto& key : attached) {
        items_.erase(key);
        log({next, key, std::nullopt});
    }
    return true;
}

void Store::refresh_grants(Micros now) {
    for (auto& [id, store_lease] : grants_) store_lease.until = now + store_lease.life;
}

bool Store::expire(Micros now) {
    std::vector<std::uint64_t> over;
    for (const auto& [id, store_lease] : grants_)
        if (store_lease.until <= now) over.push_back(id);
    for (const auto id : over) end(id);
    return !over.empty();
}

Micros Store::next_expiry() const {
    Micros next = Micros::max();
    for (const auto& [id, store_lease] : grants_) next = std::min(next, store_lease.until);
    return next;
}

}  // namespace hatchwind::emulator
