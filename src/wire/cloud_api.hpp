/// Messages of the cloud's API: the catalog of machine types, rented instances, renting and releasing.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/model.hpp"
#include "wire/cbor.hpp"
#include "wire/decoded.hpp"

namespace hatchwind::wire {

/// One page of the list of rented instances.
struct InstancePage {
    std::vector<core::Instance> instances;
    bool more = false;  ///< further pages follow
};

/// Machine types by name. What the cloud leaves out of a type gets a cautious default.
Decoded<core::Catalog> parse_catalog(const Json& body);
/// One page of the list of instances.
Decoded<InstancePage> parse_instances(const Json& body);
/// The names of the machines that a request to rent brought.
Decoded<std::vector<std::string>> parse_rented(const Json& body);

/// Asks for `number` machines. `name` makes the request idempotent: repeated, it brings no further machines.
Json rent_request(const std::string& name, const std::string& type, const std::string& zone, bool spot,
                  std::uint32_t number);
/// Gives machines back.
Json release_request(const std::vector<std::string>& machines);

}  // namespace hatchwind::wire
