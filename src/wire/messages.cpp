#include "wire/messages.hpp"

#include <algorithm>
#include <array>
#include <charconv>

namespace hatchwind::wire {

namespace {

using core::ExitCause;
using core::TaskState;

constexpr std::size_t kNameBytes = 256;
constexpr double kMost = 1e9;  // amounts and durations beyond this are mistakes

std::optional<std::uint32_t> to_index(std::string_view s) {
    std::uint32_t v = 0;
    const auto [end, ec] = std::from_chars(s.data(), s.data() + s.size(), v);
    if (ec != std::errc{} || end != s.data() + s.size() || s.empty()) return std::nullopt;
    return v;
}

std::optional<TaskState> task_state(const std::string& s) {
    if (s == "fetching") return TaskState::fetching;
    if (s == "gathering") return TaskState::waiting;
    if (s == "running") return TaskState::running;
    if (s == "flushing") return TaskState::saving;
    if (s == "exited") return TaskState::exited;
    return std::nullopt;
}

ExitCause exit_cause(const std::string& s) {
    if (s == "done") return ExitCause::done;
    if (s == "stopped") return ExitCause::stopped;
    if (s == "peers") return ExitCause::peers;
    if (s == "alone") return ExitCause::alone;
    if (s == "no_room") return ExitCause::no_room;
    if (s == "in_use") return ExitCause::busy;
    if (s == "unknown") return ExitCause::unknown;
    return ExitCause::error;  // new causes count as failures
}

const char* order_name(core::CommandKind k) {
    switch (k) {
        case core::CommandKind::start:
            return "start";
        case core::CommandKind::stop:
            return "halt";
        case core::CommandKind::acknowledge_exit:
            return "reap";
    }
    return "";
}

std::optional<std::vector<std::string>> texts(const Json* l) {
    if (l == nullptr) return std::nullopt;
    std::vector<std::string> out;
    for (const auto& v : *l) {
        if (!v.is_string()) return std::nullopt;
        out.push_back(v.get<std::string>());
    }
    return out;
}

// Nothing when one of them is no job id.
std::optional<std::vector<std::string>> distinct_job_ids(const Json* l) {
    auto ids = texts(l);
    if (!ids || !std::all_of(ids->begin(), ids->end(), [](const auto& id) { return is_job_id(id); }))
        return std::nullopt;
    std::sort(ids->begin(), ids->end());
    ids->erase(std::unique(ids->begin(), ids->end()), ids->end());
    return ids;
}

constexpr std::string_view kJobIdPrefix = "req-";

// Of the store's records, in alphabetical order.
constexpr std::array<std::string_view, 23> kJobFields = {
    "at",  "await_list", "await_parts", "awaits", "cancelled", "class", "cp",   "cpus",
    "due", "est",        "flags",       "gpus",   "igb",       "image", "kind", "later_team",
    "mem", "prio",       "save",        "tasks",  "team",      "types", "zone"};
constexpr std::array<std::string_view, 5> kEpochFields = {"leader", "members", "number", "owners", "removed"};

// The fields that are not among those known, as JSON text; empty without any.
template <std::size_t size>
std::string fields_beside(const std::array<std::string_view, size>& known, const Json& record) {
    Json others = Json::object();
    for (const auto& [name, value] : record.items()) {
        if (!std::binary_search(known.begin(), known.end(), std::string_view(name))) others[name] = value;
    }
    return others.empty() ? std::string{} : others.dump();
}

void add_later_fields(Json& record, const std::string& fields) {
    if (fields.empty()) return;
    const Json others = Json::parse(fields, nullptr, false);
    if (!others.is_object()) return;
    for (const auto& [name, value] : others.items()) record.emplace(name, value);
}

}  // namespace

bool is_job_id(std::string_view id) {
    if (!id.starts_with(kJobIdPrefix) || id.size() < kJobIdPrefix.size() + 1 || id.size() > 40) return false;
    id.remove_prefix(kJobIdPrefix.size());
    return std::all_of(id.begin(), id.end(), [](char c) { return c >= '0' && c <= '9'; });
}

// One check after the other, each for a field of the page.
// NOLINTNEXTLINE(readability-function-cognitive-complexity)
std::variant<core::Job, std::string> parse_submission(const Json& v) {
    if (!v.is_object()) return std::string{"body"};
    core::Job j;
    std::string wrong;
    const auto take_text = [&](const char* key, std::string& into) {
        auto t = text(v, key);
        if (t && !t->empty() && t->size() <= kNameBytes) {
            into = std::move(*t);
        } else if (wrong.empty()) {
            wrong = key;
        }
    };
    const auto take_number = [&](const char* key, double& into) {
        const auto n = number(v, key);
        if (n && *n >= 0 && *n <= kMost) {
            into = *n;
        } else if (wrong.empty()) {
            wrong = key;
        }
    };
    const auto take_flag = [&](const char* key, bool& into) {
        const auto f = flag(v, key);
        if (f) {
            into = *f;
        } else if (wrong.empty()) {
            wrong = key;
        }
    };
    take_text("id", j.id);
    if (wrong.empty() && !is_job_id(j.id)) wrong = "id";
    take_text("flock", j.job_class);
    take_text("crew", j.team);
    std::string kind;
    take_text("form", kind);
    if (kind == "sweep") {
        j.kind = core::JobKind::array;
    } else if (kind == "ensemble") {
        j.kind = core::JobKind::gang;
    } else if (kind == "service") {
        j.kind = core::JobKind::service;
    } else if (wrong.empty()) {
        wrong = "form";
    }
    std::string rank;
    take_text("rank", rank);
    if (rank == "prod") {
        j.priority = core::Priority::production;
    } else if (rank == "high") {
        j.priority = core::Priority::high;
    } else if (rank == "normal") {
        j.priority = core::Priority::normal;
    } else if (rank == "best_effort") {
        j.priority = core::Priority::best_effort;
    } else if (wrong.empty()) {
        wrong = "rank";
    }
    const auto tasks = whole(v, "legs");
    if (tasks && *tasks >= 1 && *tasks <= 100'000) {
        j.tasks = static_cast<std::uint32_t>(*tasks);
    } else if (wrong.empty()) {
        wrong = "legs";
    }
    take_number("cores", j.resources.cpus);
    take_number("accelerators", j.resources.gpus);
    take_number("memGb", j.resources.memory_gb);
    take_text("plate", j.image);
    take_number("sizeGb", j.image_gb);
    if (present(v, "builds")) {
        j.types = texts(list(v, "builds"));
        if (!j.types && wrong.empty()) wrong = "builds";
    }
    if (present(v, "roost")) {
        j.zone = text(v, "roost");
        if (!j.zone && wrong.empty()) wrong = "roost";
    }
    take_flag("oneZone", j.one_zone);
    take_flag("spread", j.spread);
    take_flag("borrowed", j.spot);
    take_number("expectS", j.estimate_s);
    take_number("markS", j.checkpoint_s);
    take_number("stashS", j.save_s);
    if (present(v, "dueS")) {
        j.deadline_s = number(v, "dueS");
        if ((!j.deadline_s || *j.deadline_s < 0 || *j.deadline_s > kMost) && wrong.empty()) wrong = "dueS";
    }
    if (present(v, "awaits")) {
        auto dependencies = distinct_job_ids(list(v, "awaits"));
        const bool valid = dependencies &&
                           std::find(dependencies->begin(), dependencies->end(), j.id) == dependencies->end();
        if (valid) {
            j.dependencies = std::move(*dependencies);
        } else if (wrong.empty()) {
            wrong = "awaits";
        }
    }
    if (!wrong.empty()) return wrong;
    return j;
}

const char* status_name(JobStatus s) {
    switch (s) {
        case JobStatus::queued:
            return "queued";
        case JobStatus::running:
            return "running";
        case JobStatus::done:
            return "done";
        case JobStatus::cancelled:
            return "cancelled";
    }
    return "";
}

Json job_answer(const std::string& id, JobStatus s) { return {{"id", id}, {"status", status_name(s)}}; }

Json job_answer(const std::string& id, JobStatus s, std::uint32_t done, std::uint32_t running) {
    return {{"id", id}, {"status", status_name(s)}, {"done", done}, {"running", running}};
}

std::string task_name(const std::string& job, std::uint32_t task) { return job + '/' + std::to_string(task); }

std::optional<std::pair<std::string, std::uint32_t>> parse_task_name(std::string_view name) {
    const auto slash = name.rfind('/');
    if (slash == std::string_view::npos || slash == 0) return std::nullopt;
    const auto index = to_index(name.substr(slash + 1));
    if (!index) return std::nullopt;
    return std::pair{std::string{name.substr(0, slash)}, *index};
}

std::optional<core::WorkerHeartbeat> parse_worker_heartbeat(const Json& v) {
    core::WorkerHeartbeat r;
    const auto machine = text(v, "perch");
    const auto address = text(v, "address");
    const auto type = text(v, "build");
    const auto zone = text(v, "roost");
    const auto spot = flag(v, "borrowed");
    const auto incarnation = whole(v, "stint");
    const auto heartbeat_sequence = whole(v, "tick");
    const auto fencing_token = whole(v, "baton");
    const Json* tasks = list(v, "legs");
    if (!machine || machine->empty() || !address || !type || !zone || !spot || !incarnation ||
        !heartbeat_sequence || !fencing_token || tasks == nullptr) {
        return std::nullopt;
    }
    r.machine = *machine;
    r.address = *address;
    r.type = *type;
    r.zone = *zone;
    r.spot = *spot;
    r.incarnation = *incarnation;
    r.heartbeat_sequence = *heartbeat_sequence;
    r.fencing_token = *fencing_token;
    if (present(v, "warningS")) {
        r.notice_s = number(v, "warningS");
        if (!r.notice_s) return std::nullopt;
        r.notice_s = std::clamp(*r.notice_s, 0.0, kMost);
    }
    r.tasks.reserve(tasks->size());
    for (const auto& t : *tasks) {
        const auto name = text(t, "leg");
        const auto attempt = whole(t, "try");
        const auto state = text(t, "status");
        if (!name || !attempt || !state) return std::nullopt;
        auto ref = parse_task_name(*name);
        const auto st = task_state(*state);
        if (!ref || !st) return std::nullopt;
        core::TaskStatus out;
        out.job = std::move(ref->first);
        out.task = ref->second;
        out.attempt = *attempt;
        out.state = *st;
        if (*st == TaskState::exited) out.cause = exit_cause(text(t, "cause").value_or(""));
        out.saved = flag(t, "kept").value_or(false);
        r.tasks.push_back(std::move(out));
    }
    return r;
}

Json command_list(const std::vector<core::WorkerCommand>& commands) {
    Json out = Json::array();
    for (const auto& o : commands) {
        Json call{{"call", order_name(o.kind)}, {"leg", task_name(o.job, o.task)}, {"try", o.attempt}};
        if (o.kind == core::CommandKind::stop) call["settleS"] = o.grace_s;
        out.push_back(std::move(call));
    }
    return out;
}

Json heartbeat_response(std::uint64_t fencing_token, const std::vector<core::WorkerCommand>& commands) {
    return {{"baton", fencing_token}, {"calls", command_list(commands)}};
}

Json commands_request(std::uint64_t fencing_token, std::uint64_t incarnation,
                      const std::vector<core::WorkerCommand>& commands) {
    return {{"baton", fencing_token}, {"stint", incarnation}, {"calls", command_list(commands)}};
}

Json redirect_response(const std::string& label) {
    if (label.empty()) return Json::object();
    return {{"home", label}};
}

std::optional<core::Catalog> parse_catalog(const Json& v) {
    const Json* types = list(v, "builds");
    if (types == nullptr) return std::nullopt;
    core::Catalog out;
    for (const auto& t : *types) {
        const auto name = text(t, "name");
        const auto cpus = number(t, "cores");
        const auto memory = number(t, "memGb");
        const auto price = number(t, "price");
        if (!name || !cpus || !memory || !price) return std::nullopt;
        core::MachineType m;
        m.name = *name;
        m.size = {*cpus, number(t, "accelerators").value_or(0), *memory};
        m.cache_gb = number(t, "localGb").value_or(0);
        m.fetch_gb_per_s = std::max(1e-3, number(t, "fetchGbPerS").value_or(1));
        m.price = *price;
        m.spot_price = number(t, "marketPrice").value_or(*price);
        m.boot = core::Micros{
            static_cast<std::int64_t>(std::clamp(number(t, "startupS").value_or(30), 0.0, 1e5) * 1e6)};
        const auto zones = texts(list(t, "roosts"));
        if (!zones) return std::nullopt;
        m.zones = *zones;
        out.emplace(m.name, std::move(m));
    }
    return out;
}

std::optional<InstancePage> parse_instances(const Json& v) {
    const Json* items = list(v, "perches");
    const auto more = flag(v, "hasNext");
    if (items == nullptr || !more) return std::nullopt;
    InstancePage page;
    page.more = *more;
    for (const auto& i : *items) {
        const auto id = text(i, "id");
        const auto type = text(i, "build");
        const auto zone = text(i, "roost");
        const auto spot = flag(i, "borrowed");
        const auto state = text(i, "status");
        if (!id || !type || !zone || !spot || !state) return std::nullopt;
        core::Instance r;
        r.machine = *id;
        r.address = text(i, "address").value_or("");
        r.type = *type;
        r.zone = *zone;
        r.spot = *spot;
        r.state = *state == "running"  ? core::InstanceState::running
                  : *state == "failed" ? core::InstanceState::failed
                                       : core::InstanceState::booting;
        r.age_s = number(i, "heldS").value_or(0);
        page.instances.push_back(std::move(r));
    }
    return page;
}

std::optional<std::vector<std::string>> parse_rented(const Json& v) { return texts(list(v, "perches")); }

Json rent_request(const std::string& name, const std::string& type, const std::string& zone, bool spot,
                  std::uint32_t number) {
    return {{"ask", name}, {"build", type}, {"roost", zone}, {"borrowed", spot}, {"number", number}};
}

Json release_request(const std::vector<std::string>& machines) { return {{"perches", machines}}; }

std::optional<StorePage> parse_page(const Json& v) {
    const Json* items = list(v, "pairs");
    const auto revision = whole(v, "ledger");
    if (items == nullptr || !revision) return std::nullopt;
    StorePage page;
    page.revision = *revision;
    page.more = flag(v, "hasNext").value_or(false);
    for (const auto& i : *items) {
        const auto key = text(i, "path");
        const auto mod_revision = whole(i, "stamp");
        if (!key || !mod_revision || !i.contains("v")) return std::nullopt;
        page.items.push_back({*key, i["v"], *mod_revision});
    }
    return page;
}

std::optional<StorePage> parse_watch(const Json& v) {
    const Json* items = list(v, "log");
    const auto revision = whole(v, "ledger");
    if (items == nullptr || !revision) return std::nullopt;
    StorePage page;
    page.revision = *revision;
    for (const auto& i : *items) {
        const auto mod_revision = whole(i, "stamp");
        if (!mod_revision) return std::nullopt;
        if (const auto put = text(i, "write")) {
            if (!i.contains("v")) return std::nullopt;
            page.items.push_back({*put, i["v"], *mod_revision});
        } else if (const auto gone = text(i, "delete")) {
            page.items.push_back({*gone, std::nullopt, *mod_revision});
        } else {
            return std::nullopt;
        }
    }
    return page;
}

std::vector<std::string> failed_conditions(const Json& v) {
    std::vector<std::string> out;
    const Json* keys = list(v, "failed");
    if (keys == nullptr) return out;
    for (const auto& k : *keys) {
        if (k.is_string()) out.push_back(k.get<std::string>());
    }
    return out;
}

Json transaction_request(const Transaction& t) {
    Json when = Json::array();
    for (const auto& [key, mod_revision] : t.conditions)
        when.push_back({{"path", key}, {"stamp", mod_revision}});
    Json writes = Json::array();
    for (const auto& w : t.writes) {
        if (!w.value) {
            writes.push_back({{"delete", w.key}});
            continue;
        }
        Json put{{"write", w.key}, {"v", *w.value}};
        if (w.store_lease != 0) put["tenure"] = w.store_lease;
        writes.push_back(std::move(put));
    }
    return {{"when", std::move(when)}, {"writes", std::move(writes)}};
}

Json job_record(const core::Job& j) {
    Json v{{"class", j.job_class},
           {"team", j.team},
           {"kind", static_cast<int>(j.kind)},
           {"prio", static_cast<int>(j.priority)},
           {"tasks", j.tasks},
           {"cpus", j.resources.cpus},
           {"gpus", j.resources.gpus},
           {"mem", j.resources.memory_gb},
           {"image", j.image},
           {"igb", j.image_gb},
           {"flags", (j.one_zone ? 1 : 0) | (j.spread ? 2 : 0) | (j.spot ? 4 : 0)},
           {"est", j.estimate_s},
           {"cp", j.checkpoint_s},
           {"save", j.save_s},
           {"at", j.accepted.count()}};
    if (j.types) v["types"] = *j.types;
    if (j.zone) v["zone"] = *j.zone;
    if (j.deadline_s) v["due"] = *j.deadline_s;
    if (j.cancelled) v["cancelled"] = j.cancelled_at.count();
    if (j.waiting()) {
        v["awaits"] = j.dependencies;
        v["later_team"] = j.team_once_released;
        if (j.dependency_parts > 0) {
            v["awaits"] = Json::array();
            v["await_list"] = j.dependency_list;
            v["await_parts"] = j.dependency_parts;
        }
    }
    add_later_fields(v, j.unknown_fields);
    return v;
}

std::optional<core::Job> parse_job_record(const std::string& id, const Json& v) {
    core::Job j;
    j.id = id;
    const auto job_class = text(v, "class");
    const auto team = text(v, "team");
    const auto kind = whole(v, "kind");
    const auto prio = whole(v, "prio");
    const auto tasks = whole(v, "tasks");
    const auto cpus = number(v, "cpus");
    const auto flags = whole(v, "flags");
    const auto at = whole(v, "at");
    if (!job_class || !team || !kind || *kind > 2 || !prio || *prio > 3 || !tasks || *tasks == 0 ||
        *tasks > 100'000 || !cpus || !flags || !at) {
        return std::nullopt;
    }
    j.job_class = *job_class;
    j.team = *team;
    j.kind = static_cast<core::JobKind>(*kind);
    j.priority = static_cast<core::Priority>(*prio);
    j.tasks = static_cast<std::uint32_t>(*tasks);
    j.resources = {*cpus, number(v, "gpus").value_or(0), number(v, "mem").value_or(0)};
    j.image = text(v, "image").value_or("");
    j.image_gb = number(v, "igb").value_or(0);
    j.one_zone = (*flags & 1U) != 0;
    j.spread = (*flags & 2U) != 0;
    j.spot = (*flags & 4U) != 0;
    j.estimate_s = number(v, "est").value_or(0);
    j.checkpoint_s = number(v, "cp").value_or(0);
    j.save_s = number(v, "save").value_or(0);
    j.accepted = core::Micros{static_cast<std::int64_t>(*at)};
    if (present(v, "types")) {
        j.types = texts(list(v, "types"));
        if (!j.types) return std::nullopt;
    }
    j.zone = text(v, "zone");
    j.deadline_s = number(v, "due");
    j.team_once_released = text(v, "later_team").value_or("");
    if (present(v, "awaits")) {
        auto dependencies = texts(list(v, "awaits"));
        if (!dependencies) return std::nullopt;
        j.dependencies = std::move(*dependencies);
    }
    j.dependency_list = text(v, "await_list").value_or("");
    j.dependency_parts = static_cast<std::uint32_t>(whole(v, "await_parts").value_or(0));
    if (const auto c = whole(v, "cancelled")) {
        j.cancelled = true;
        j.cancelled_at = core::Micros{static_cast<std::int64_t>(*c)};
    }
    j.unknown_fields = fields_beside(kJobFields, v);
    return j;
}

Json job_ids_record(const std::vector<std::string>& ids) {
    // Without the prefix that all have: the size counts.
    std::string text;
    for (const auto& id : ids) {
        if (!text.empty()) text += ',';
        text += std::string_view(id).substr(kJobIdPrefix.size());
    }
    return {{"ids", std::move(text)}};
}

std::optional<std::vector<std::string>> parse_job_ids_record(const Json& v) {
    const auto joined = text(v, "ids");
    if (!joined) return std::nullopt;
    std::vector<std::string> ids;
    for (std::size_t from = 0; from <= joined->size();) {
        const std::size_t end = std::min(joined->find(',', from), joined->size());
        ids.push_back(std::string(kJobIdPrefix) + joined->substr(from, end - from));
        if (!is_job_id(ids.back())) return std::nullopt;
        from = end + 1;
    }
    return ids;
}

Json chunk_record(const core::Chunk& c) {
    Json done = Json::array();
    for (const auto& [from, to] : c.done.ranges()) done.push_back({from, to});
    // By machine and incarnation, since a job's tasks share machines: [machine, incarnation,
    // "task.attempt,..."]. The size of what is written decides how many jobs share a write, and of what is
    // read how long that takes.
    std::map<std::pair<std::string_view, std::uint64_t>, std::string> by_machine;
    for (const auto& [task, a] : c.open) {
        std::string& text = by_machine[{a.machine, a.incarnation}];
        if (!text.empty()) text += ',';
        text += std::to_string(task) + '.' + std::to_string(a.number);
    }
    Json open = Json::array();
    for (auto& [at, text] : by_machine) open.push_back({at.first, at.second, std::move(text)});
    return {{"d", std::move(done)}, {"o", std::move(open)}, {"n", c.last_attempt}};
}

// One check after the other, each for a part of the record.
// NOLINTNEXTLINE(readability-function-cognitive-complexity)
std::optional<core::Chunk> parse_chunk_record(const Json& v, core::Revision mod_revision) {
    core::Chunk c;
    c.mod_revision = mod_revision;
    const Json* done = list(v, "d");
    const Json* open = list(v, "o");
    const auto last = whole(v, "n");
    if (done == nullptr || open == nullptr || !last) return std::nullopt;
    c.last_attempt = *last;
    for (const auto& r : *done) {
        if (!r.is_array() || r.size() != 2 || !r[0].is_number_unsigned() || !r[1].is_number_unsigned()) {
            return std::nullopt;
        }
        const auto from = r[0].get<std::uint64_t>();
        const auto to = r[1].get<std::uint64_t>();
        if (from > to || to >= 100'000) return std::nullopt;
        c.done.insert(static_cast<std::uint32_t>(from), static_cast<std::uint32_t>(to));
    }
    for (const auto& o : *open) {
        if (!o.is_array() || o.size() != 3 || !o[0].is_string() || !o[1].is_number_unsigned() ||
            !o[2].is_string()) {
            return std::nullopt;
        }
        const auto& text = o[2].get_ref<const std::string&>();
        const char* at = text.data();
        const char* const end = at + text.size();
        while (at != end) {
            std::uint32_t task = 0;
            std::uint64_t number = 0;
            const auto t = std::from_chars(at, end, task);
            if (t.ec != std::errc{} || t.ptr == end || *t.ptr != '.') return std::nullopt;
            const auto n = std::from_chars(t.ptr + 1, end, number);
            // A comma only between two of them.
            if (n.ec != std::errc{} || (n.ptr != end && (*n.ptr != ',' || n.ptr + 1 == end)))
                return std::nullopt;
            if (!c.open
                     .try_emplace(task,
                                  core::Attempt{number, o[0].get<std::string>(), o[1].get<std::uint64_t>()})
                     .second)
                return std::nullopt;
            at = n.ptr == end ? end : n.ptr + 1;
        }
    }
    return c;
}

Json epoch_record(const core::Epoch& e) {
    Json members = Json::array();
    for (const auto& m : e.members) members.push_back({m.label, m.store_lease});
    Json record{{"number", e.number},
                {"leader", e.leader},
                {"members", std::move(members)},
                {"owners", e.shard_owners},
                {"removed", e.removed_at.count()}};
    add_later_fields(record, e.unknown_fields);
    return record;
}

std::optional<core::Epoch> parse_epoch_record(const Json& v, core::Revision mod_revision) {
    core::Epoch e;
    const auto number = whole(v, "number");
    const auto leader = text(v, "leader");
    const Json* members = list(v, "members");
    const auto removed = whole(v, "removed");
    if (!number || !leader || members == nullptr || !removed || !v.contains("owners") ||
        !v["owners"].is_object()) {
        return std::nullopt;
    }
    e.number = *number;
    e.leader = *leader;
    e.removed_at = core::Micros{static_cast<std::int64_t>(*removed)};
    e.mod_revision = mod_revision;
    for (const auto& m : *members) {
        if (!m.is_array() || m.size() != 2 || !m[0].is_string() || !m[1].is_number_unsigned())
            return std::nullopt;
        e.members.push_back({m[0].get<std::string>(), m[1].get<std::uint64_t>()});
    }
    for (const auto& [team, owner] : v["owners"].items()) {
        if (!owner.is_string()) return std::nullopt;
        e.shard_owners[team] = owner.get<std::string>();
    }
    e.unknown_fields = fields_beside(kEpochFields, v);
    return e;
}

Json page_record(const std::map<core::ChunkKey, const core::Chunk*>& chunks) {
    Json out = Json::object();
    for (const auto& [key, c] : chunks) out[key.first + "/" + std::to_string(key.second)] = chunk_record(*c);
    return {{"c", std::move(out)}};
}

std::optional<std::map<core::ChunkKey, core::Chunk>> parse_page_record(const Json& v) {
    const auto it = v.is_object() ? v.find("c") : v.end();
    if (!v.is_object() || it == v.end() || !it->is_object()) return std::nullopt;
    std::map<core::ChunkKey, core::Chunk> out;
    for (const auto& [name, record] : it->items()) {
        auto ref = parse_task_name(name);
        auto c = parse_chunk_record(record, 0);
        if (!ref || !c) return std::nullopt;
        out.emplace(core::ChunkKey{std::move(ref->first), ref->second}, std::move(*c));
    }
    return out;
}

Json names_record(const std::set<std::string>& names) { return {{"names", names}}; }

std::optional<std::set<std::string>> parse_names_record(const Json& v) {
    const auto it = v.is_object() ? v.find("names") : v.end();
    if (!v.is_object() || it == v.end() || !it->is_array()) return std::nullopt;
    std::set<std::string> out;
    for (const auto& n : *it) {
        if (!n.is_string()) return std::nullopt;
        out.insert(n.get<std::string>());
    }
    return out;
}

Json final_record(JobStatus s, std::uint32_t done) { return {{"s", status_name(s)}, {"done", done}}; }

std::optional<std::pair<JobStatus, std::uint32_t>> parse_final_record(const Json& v) {
    const auto s = text(v, "s");
    if (!s) return std::nullopt;
    const auto done = static_cast<std::uint32_t>(whole(v, "done").value_or(0));
    if (*s == "done") return std::pair{JobStatus::done, done};
    if (*s == "cancelled") return std::pair{JobStatus::cancelled, done};
    return std::nullopt;
}

}  // namespace hatchwind::wire
