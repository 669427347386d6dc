#include "wire/store_api.hpp"

#include <chrono>

#include "wire/field_names.hpp"
#include "wire/field_reader.hpp"

namespace hatchwind::wire {

namespace {

namespace field = names::store;

// The value may be null, but it has to be there.
Json read_value(FieldReader& fields, const Json& item) {
    if (item.contains(field::kValue)) return item[field::kValue];
    fields.fail(field::kValue, "a value");
    return {};
}

Decoded<StoreItem> parse_item(const Json& body) {
    FieldReader fields(body);
    StoreItem item;
    item.key = fields.text(field::kKey);
    item.mod_revision = fields.whole(field::kModRevision);
    item.value = read_value(fields, body);
    return fields.result(std::move(item));
}

Decoded<StoreItem> parse_event(const Json& body) {
    FieldReader fields(body);
    StoreItem item;
    item.mod_revision = fields.whole(field::kModRevision);
    if (auto written = text(body, field::kPut)) {
        item.key = *std::move(written);
        item.value = read_value(fields, body);
    } else {
        item.key = fields.text(field::kDelete);
    }
    return fields.result(std::move(item));
}

using ItemParser = Decoded<StoreItem> (*)(const Json&);

Decoded<StorePage> parse_items(const Json& body, const char* list_field, ItemParser parse) {
    FieldReader fields(body);
    StorePage page;
    page.revision = fields.whole(field::kRevision);
    for (const auto& entry : fields.list(list_field)) {
        auto item = parse(entry);
        if (!item) return item.error();
        page.items.push_back(*std::move(item));
    }
    return fields.result(std::move(page));
}

Json write_request(const Write& write) {
    if (!write.value) return {{field::kDelete, write.key}};
    Json request{{field::kPut, write.key}, {field::kValue, *write.value}};
    if (write.store_lease != 0) request[field::kStoreLease] = write.store_lease;
    return request;
}

// What is no text among the keys is left out.
std::vector<std::string> failed_conditions(const Json& body) {
    std::vector<std::string> failed;
    const Json* keys = list(body, field::kFailed);
    if (keys == nullptr) return failed;
    for (const auto& key : *keys) {
        if (key.is_string()) failed.push_back(key.get<std::string>());
    }
    return failed;
}

}  // namespace

Decoded<StoreItem> parse_get_response(std::string key, const Json& body) {
    FieldReader fields(body);
    StoreItem item;
    item.key = std::move(key);
    item.mod_revision = fields.whole(field::kModRevision);
    item.value = read_value(fields, body);
    return fields.result(std::move(item));
}

Decoded<core::Revision> parse_revision(const Json& body) {
    FieldReader fields(body);
    const core::Revision revision = fields.whole(field::kRevision);
    return fields.result(revision);
}

Decoded<StorePage> parse_page(const Json& body) {
    auto page = parse_items(body, field::kItems, parse_item);
    if (page) page->more = flag(body, field::kHasMore).value_or(false);
    return page;
}

Decoded<StorePage> parse_watch(const Json& body) { return parse_items(body, field::kEvents, parse_event); }

Json transaction_request(const Transaction& transaction) {
    Json conditions = Json::array();
    for (const auto& condition : transaction.conditions) {
        conditions.push_back({{field::kKey, condition.key}, {field::kModRevision, condition.mod_revision}});
    }
    Json writes = Json::array();
    for (const auto& write : transaction.writes) writes.push_back(write_request(write));
    return {{field::kConditions, std::move(conditions)}, {field::kWrites, std::move(writes)}};
}

Decoded<CommitResponse> parse_commit_response(const Json& body) {
    FieldReader fields(body);
    CommitResponse response;
    response.revision = fields.whole(field::kRevision);
    response.failed_conditions = failed_conditions(body);
    return fields.result(std::move(response));
}

Json create_lease_request(core::Micros time_to_live) {
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(time_to_live);
    return {{field::kTtlMs, milliseconds.count()}};
}

Decoded<std::uint64_t> parse_lease_response(const Json& body) {
    FieldReader fields(body);
    const std::uint64_t store_lease = fields.whole(field::kStoreLease);
    return fields.result(store_lease);
}

}  // namespace hatchwind::wire
