// The state service's data: keys, revisions, grants and the log of changes, as PROTOCOL describes them.
// Without time of its own and without input or output; it shares nothing with the service's notions.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "io/loop.hpp"
#include "wire/cbor.hpp"

namespace hatchwind::emulator {

class Store {
  public:
    using Json = wire::Json;
    struct Item {
        Json value;
        std::uint64_t mod_revision = 0;
        std::uint64_t store_lease = 0;  // 0: attached to none
    };
    struct Change {
        std::uint64_t revision = 0;
        std::string key;
        std::optional<Json> value;  // none: deleted
    };
    struct Limits {
        std::size_t writes = 64;  // puts and deletes of one transaction; four times as many conditions
        double value_kb = 16;
        double transaction_kb = 64;
    };
    struct Answer {
        int status = 200;
        Json body = Json::object();
    };

    // A transaction; counts nothing against rates.
    Answer commit(const Json& request, const Limits& limits);
    Answer get(const std::string& key) const;
    Answer list(const std::string& prefix, const std::string& after, std::size_t most) const;
    // Changes after a revision; nothing when they are no longer kept.
    std::optional<Json> changes(const std::string& prefix, std::uint64_t after) const;

    std::uint64_t grant_lease(io::Micros life, io::Micros now);
    bool renew_lease(std::uint64_t store_lease, io::Micros now);
    bool end(std::uint64_t store_lease);
    // Every grant gets its full time again.
    void refresh_grants(io::Micros now);
    // Ends the grants whose time has come; says whether there were any.
    bool expire(io::Micros now);
    // When the next grant may run out.
    io::Micros next_expiry() const;

    std::uint64_t revision() const { return revision_; }
    const std::map<std::string, Item>& items() const { return items_; }
    bool has_grant(std::uint64_t store_lease) const { return grants_.contains(store_lease); }

  private:
    struct Grant {
        io::Micros life{0};
        io::Micros until{0};
    };
    bool holds(const Json& condition) const;
    std::optional<Answer> refusal(const Json& request, const Limits& limits) const;
    void log(Change change);

    static constexpr std::size_t kLogKept = 10'000;
    std::map<std::string, Item> items_;
    std::map<std::uint64_t, Grant> grants_;
    std::uint64_t last_grant_ = 0;
    std::uint64_t revision_ = 0;
    std::deque<Change> log_;
    std::uint64_t dropped_ = 0;  // the newest revision that the log has let go
};

}  // namespace hatchwind::emulator
