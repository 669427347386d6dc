// Encoding and decoding of store messages and member records, and the error responses to submissions that
// cannot be decoded.
#include <gtest/gtest.h>

#include "wire/records.hpp"
#include "wire/store_api.hpp"
#include "wire/user_api.hpp"

namespace hatchwind {
namespace {

using wire::Json;

TEST(StoreMessages, AGetResponseHoldsValueAndRevisionOfItsChange) {
    const auto found = wire::parse_get_response("a", {{"v", {{"team", "x"}}}, {"stamp", 7U}});
    ASSERT_TRUE(found.has_value());
    EXPECT_EQ(found->key, "a");
    EXPECT_EQ(found->mod_revision, 7U);
    EXPECT_EQ(found->value, Json({{"team", "x"}}));
    EXPECT_TRUE(wire::parse_get_response("a", {{"v", nullptr}, {"stamp", 7U}}).has_value())
        << "null is a value";
}

TEST(StoreMessages, AGetResponseWithoutValueOrRevisionIsRefusedWithTheFieldsName) {
    EXPECT_EQ(wire::parse_get_response("a", {{"stamp", 7U}}).error().field, "v");
    EXPECT_EQ(wire::parse_get_response("a", {{"v", 1U}}).error().field, "stamp");
    EXPECT_EQ(wire::parse_get_response("a", {{"v", 1U}, {"stamp", -1}}).error().field, "stamp");
    EXPECT_FALSE(wire::parse_get_response("a", Json::array()).has_value());
}

TEST(StoreMessages, AMissingKeyReturnsTheRevisionOfTheStore) {
    EXPECT_EQ(*wire::parse_revision({{"ledger", 412U}}), 412U);
    for (const Json& invalid :
         {Json::object(), Json{{"ledger", "412"}}, Json{{"ledger", nullptr}}, Json(412)})
        EXPECT_EQ(wire::parse_revision(invalid).error().field, "ledger") << invalid;
}

TEST(StoreMessages, ACommitResponseHoldsRevisionAndFailedConditions) {
    const auto committed = wire::parse_commit_response({{"ledger", 9U}});
    ASSERT_TRUE(committed.has_value());
    EXPECT_EQ(committed->revision, 9U);
    EXPECT_TRUE(committed->failed_conditions.empty());
    const auto conflict =
        wire::parse_commit_response({{"ledger", 9U}, {"failed", {"h/epoch", 3, "h/job/req-1"}}});
    ASSERT_TRUE(conflict.has_value());
    EXPECT_EQ(conflict->failed_conditions, (std::vector<std::string>{"h/epoch", "h/job/req-1"}));
    EXPECT_EQ(wire::parse_commit_response({{"failed", {"h/epoch"}}}).error().field, "ledger");
}

TEST(StoreMessages, ATransactionNamesItsConditionsAndWrites) {
    wire::Transaction transaction;
    transaction.conditions = {{"h/epoch", 3}};
    transaction.writes = {
        {"h/node/n1", Json{{"grant", 7U}}, 7}, {"h/job/req-1", std::nullopt, 0}, {"a", 1U, 0}};
    EXPECT_EQ(
        wire::transaction_request(transaction).dump(),
        R"({"when":[{"path":"h/epoch","stamp":3}],"writes":[{"tenure":7,"v":{"grant":7},"write":"h/node/n1"},)"
        R"({"delete":"h/job/req-1"},{"v":1,"write":"a"}]})");
}

TEST(StoreMessages, ALeaseIsRequestedInMillisecondsAndAnsweredWithItsId) {
    EXPECT_EQ(wire::create_lease_request(core::Micros{4'000'000}).dump(), R"({"lifeMs":4000})");
    EXPECT_EQ(wire::create_lease_request(core::Micros{1'999}).dump(), R"({"lifeMs":1})");
    EXPECT_EQ(*wire::parse_lease_response({{"tenure", 12U}}), 12U);
    EXPECT_EQ(wire::parse_lease_response({{"tenure", "12"}}).error().field, "tenure");
}

TEST(StoreMessages, PagesAndChangesAreReadInOrder) {
    const auto page =
        wire::parse_page({{"pairs", {{{"path", "a"}, {"v", 1U}, {"stamp", 2U}}}}, {"ledger", 5U}});
    ASSERT_TRUE(page.has_value());
    EXPECT_FALSE(page->more);
    EXPECT_EQ(page->revision, 5U);
    EXPECT_EQ(page->items.at(0).key, "a");
    const auto changes = wire::parse_watch(
        {{"log", {{{"write", "a"}, {"v", nullptr}, {"stamp", 2U}}, {{"delete", "b"}, {"stamp", 3U}}}},
         {"ledger", 5U}});
    ASSERT_TRUE(changes.has_value());
    EXPECT_TRUE(changes->items.at(0).value.has_value()) << "null is a value";
    EXPECT_EQ(changes->items.at(1).key, "b");
    EXPECT_FALSE(changes->items.at(1).value.has_value());
    EXPECT_EQ(changes->items.at(1).mod_revision, 3U);
    EXPECT_EQ(wire::parse_watch({{"log", {{{"write", "a"}, {"stamp", 2U}}}}, {"ledger", 5U}}).error().field,
              "v");
    EXPECT_FALSE(wire::parse_watch({{"log", {{{"stamp", 2U}}}}, {"ledger", 5U}}).has_value());
    EXPECT_FALSE(wire::parse_page({{"pairs", Json::array()}}).has_value());
}

TEST(MemberRecords, HoldTheLeaseOfAnIncarnationAndItsCapabilities) {
    EXPECT_EQ(wire::member_record(7, 3).dump(), R"({"capabilities":3,"grant":7})");
    const core::MemberRecord member = wire::parse_member_record(wire::member_record(7, 3), 41);
    EXPECT_EQ(member.store_lease, 7U);
    EXPECT_EQ(member.capabilities, 3U);
    EXPECT_EQ(member.mod_revision, 41U);
}

TEST(MemberRecords, OfEarlierVersionsHaveNoCapabilities) {
    EXPECT_EQ(wire::parse_member_record({{"grant", 7U}}, 1).capabilities, 0U);
    EXPECT_EQ(wire::parse_member_record(Json::array(), 1).store_lease, 0U);
}

TEST(RefusedSubmissions, AreAnsweredWithTheNameOfTheFirstWrongField) {
    const auto response_to = [](const Json& body) {
        return wire::error_answer(wire::parse_submission(body).error()).dump();
    };
    EXPECT_EQ(response_to(Json::array()), R"({"error":"invalid field body"})");
    EXPECT_EQ(response_to(Json::object()), R"({"error":"invalid field id"})");
    EXPECT_EQ(response_to({{"id", "job-1"}, {"flock", 3}}), R"({"error":"invalid field id"})");
    EXPECT_EQ(response_to({{"id", "req-1"}, {"crew", 3}}), R"({"error":"invalid field flock"})");
    EXPECT_EQ(response_to({{"id", "req-1"}, {"flock", "a"}, {"crew", "b"}, {"form", "sweeps"}}),
              R"({"error":"invalid field form"})");
    EXPECT_EQ(wire::error_answer("unknown team").dump(), R"({"error":"unknown team"})");
}

}  // namespace
}  // namespace hatchwind
