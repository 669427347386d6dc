#include "wire/cloud_api.hpp"

#include <algorithm>
#include <utility>

#include "wire/field_names.hpp"
#include "wire/field_reader.hpp"

namespace hatchwind::wire {

namespace {

namespace field = names::cloud;

constexpr double kDefaultFetchGbPerS = 1;
constexpr double kLeastFetchGbPerS = 1e-3;  // divided by
constexpr double kDefaultBootS = 30;
constexpr double kMostBootS = 1e5;

core::Micros read_boot_time(const Json& type) {
    const double seconds = number(type, field::kBootS).value_or(kDefaultBootS);
    return core::from_seconds(std::clamp(seconds, 0.0, kMostBootS));
}

Decoded<core::MachineType> parse_machine_type(const Json& body) {
    FieldReader fields(body);
    core::MachineType type;
    type.name = fields.text(field::kName);
    type.size.cpus = fields.number(field::kCpus);
    type.size.gpus = number(body, field::kGpus).value_or(0);
    type.size.memory_gb = fields.number(field::kMemoryGb);
    type.cache_gb = number(body, field::kCacheGb).value_or(0);
    type.fetch_gb_per_s =
        std::max(kLeastFetchGbPerS, number(body, field::kFetchGbPerS).value_or(kDefaultFetchGbPerS));
    type.price = fields.number(field::kPrice);
    type.spot_price = number(body, field::kSpotPrice).value_or(type.price);
    type.boot = read_boot_time(body);
    type.zones = fields.text_list(field::kZones);
    return fields.result(std::move(type));
}

// Whatever is neither running nor failed is on its way up.
core::InstanceState instance_state(const std::string& name) {
    if (name == field::kStatusRunning) return core::InstanceState::running;
    if (name == field::kStatusFailed) return core::InstanceState::failed;
    return core::InstanceState::booting;
}

Decoded<core::Instance> parse_instance(const Json& body) {
    FieldReader fields(body);
    core::Instance instance;
    instance.machine = fields.text(field::kId);
    instance.address = text(body, field::kAddress).value_or("");
    instance.type = fields.text(field::kMachineType);
    instance.zone = fields.text(field::kZone);
    instance.spot = fields.flag(field::kSpot);
    instance.state = instance_state(fields.text(field::kStatus));
    instance.age_s = number(body, field::kAgeS).value_or(0);
    return fields.result(std::move(instance));
}

}  // namespace

Decoded<core::Catalog> parse_catalog(const Json& body) {
    FieldReader fields(body);
    core::Catalog catalog;
    for (const auto& item : fields.list(field::kMachineTypes)) {
        auto type = parse_machine_type(item);
        if (!type) return type.error();
        std::string name = type->name;
        catalog.emplace(std::move(name), *std::move(type));
    }
    return fields.result(std::move(catalog));
}

Decoded<InstancePage> parse_instances(const Json& body) {
    FieldReader fields(body);
    InstancePage page;
    page.more = fields.flag(field::kHasMore);
    for (const auto& item : fields.list(field::kMachines)) {
        auto instance = parse_instance(item);
        if (!instance) return instance.error();
        page.instances.push_back(*std::move(instance));
    }
    return fields.result(std::move(page));
}

Decoded<std::vector<std::string>> parse_rented(const Json& body) {
    FieldReader fields(body);
    auto machines = fields.text_list(field::kMachines);
    return fields.result(std::move(machines));
}

Json rent_request(const std::string& name, const std::string& type, const std::string& zone, bool spot,
                  std::uint32_t number) {
    return {{field::kRequestName, name},
            {field::kMachineType, type},
            {field::kZone, zone},
            {field::kSpot, spot},
            {field::kNumber, number}};
}

Json release_request(const std::vector<std::string>& machines) { return {{field::kMachines, machines}}; }

}  // namespace hatchwind::wire
