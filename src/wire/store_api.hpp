/// Messages of the consensus-backed key-value store: pages, changes, compare-and-swap transactions and
/// leases.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/model.hpp"
#include "wire/cbor.hpp"
#include "wire/decoded.hpp"

namespace hatchwind::wire {

/// A key as it stands after a change.
struct StoreItem {
    std::string key;
    std::optional<Json> value;        ///< nothing: deleted
    core::Revision mod_revision = 0;  ///< of the change
};

/// A part of the store, or of its changes, in order.
struct StorePage {
    std::vector<StoreItem> items;
    bool more = false;            ///< further pages follow
    core::Revision revision = 0;  ///< of the store when it answered
};

/// The response to a transaction.
struct CommitResponse {
    core::Revision revision = 0;                 ///< of the commit, or of the store when a condition failed
    std::vector<std::string> failed_conditions;  ///< keys whose conditions did not hold
};

/// One write of a transaction.
struct Write {
    std::string key;
    std::optional<Json> value;      ///< nothing: delete
    std::uint64_t store_lease = 0;  ///< the key ends with this lease; 0: it stays
};

/// What a transaction requires of one key.
struct Condition {
    std::string key;
    core::Revision mod_revision = 0;  ///< of the key's latest change; 0: the key does not exist

    friend bool operator==(const Condition&, const Condition&) = default;
};

/// A compare-and-swap: all writes are carried out at one revision if every condition holds, else none.
struct Transaction {
    std::vector<Condition> conditions;
    std::vector<Write> writes;
};

/// The response to a read of one key that exists: the item has a value, which may be null.
Decoded<StoreItem> parse_get_response(std::string key, const Json& body);
/// The revision of the store in a response that holds nothing else, as for a key that does not exist.
Decoded<core::Revision> parse_revision(const Json& body);
/// A page of keys and values.
Decoded<StorePage> parse_page(const Json& body);
/// Changes since the revision that a watch named.
Decoded<StorePage> parse_watch(const Json& body);

/// The request of a transaction.
Json transaction_request(const Transaction& transaction);
/// The response to a transaction, carried out or not: the status code tells which. What is no text among the
/// failed conditions is left out.
Decoded<CommitResponse> parse_commit_response(const Json& body);

/// The request of a lease that lives so long without being renewed; sent in whole milliseconds, rounded down.
Json create_lease_request(core::Micros time_to_live);
/// The id of the lease in the response to it.
Decoded<std::uint64_t> parse_lease_response(const Json& body);

}  // namespace hatchwind::wire
