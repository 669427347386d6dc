// Whole controllers that are sent bodies which are no messages: by users, workers, the state service and the
// cloud. None of them ends, the sender gets the answer that the protocol names, and others are served.
#include <stdexcept>

#include "api/request_failure.hpp"
#include "support.hpp"
#include "test_deployment.hpp"

namespace hatchwind {
namespace {

using io::Micros;
using io::Task;
using test::TestDeployment;
using wire::Json;

// What a user typed: 40,000 underscores. As CBOR, byte strings of indefinite length inside one another.
std::string nested_strings() {
    constexpr std::size_t kUnderscores = 40'000;
    std::string body(kUnderscores, '_');
    return body;
}

Task<int> send_body(TestDeployment& site, std::size_t node, std::string target, std::string body) {
    auto sending = site.client.send(site.api_address(node), "POST", std::move(target), std::move(body),
                                    io::steady_now() + Micros{5'000'000});
    const auto response = co_await std::move(sending);
    co_return response.status_or(0);
}

// One submission ended each controller that read it, and the user's repeats all of them
// (docs/incidents/nested-strings.md).
TEST(MalformedMessages, NestedStringsOfUsersAndWorkersGet400AndOthersAreServed) {
    TestDeployment site{2};
    site.play([](TestDeployment& s) -> Task<void> {
        {
            auto step = s.submit("req-1", "x", "sweep", 3);
            co_await std::move(step);
        }
        for (const std::size_t node : {0U, 1U}) {
            for (const char* target : {"/api/jobs", "/hello"}) {
                auto sending = send_body(s, node, target, nested_strings());
                const int status = co_await std::move(sending);
                EXPECT_EQ(status, 400) << target;
            }
        }
        auto finishing = s.until_status("req-1", "done");
        co_await std::move(finishing);
    });
}

// A job with such a text got 201. Its cancellation had no answer and ended each controller that got it, as
// did a submission that waits for others (docs/incidents/text-not-utf8.md).
TEST(MalformedMessages, TextThatIsNotUtf8Gets400WhereverItStands) {
    TestDeployment site{1};
    site.play([](TestDeployment& s) -> Task<void> {
        {
            auto step = s.submit("req-1", "x", "sweep", 1);
            co_await std::move(step);
        }
        const std::string not_utf8 = "carte-\xe9t\xe9";
        Json good = TestDeployment::submission("req-2", "x", "sweep", 1);
        good["builds"] = {"c4"};
        good["roost"] = "a";
        good["awaits"] = {"req-1"};
        std::vector<Json> bodies;
        for (const char* field :
             {"id", "flock", "crew", "form", "rank", "plate", "roost", "unknown", "legs"}) {
            bodies.push_back(good);
            bodies.back()[field] = not_utf8;
        }
        for (const char* field : {"builds", "awaits", "unknown"}) {
            bodies.push_back(good);
            bodies.back()[field] = {not_utf8};
        }
        bodies.push_back(good);
        bodies.back()[not_utf8] = 1;
        for (const Json& body : bodies) {
            auto sending = send_body(s, 0, "/api/jobs", wire::encode(body));
            const int status = co_await std::move(sending);
            EXPECT_EQ(status, 400) << body.begin().key();
        }
        auto finishing = s.until_status("req-1", "done");
        co_await std::move(finishing);
        Json heartbeat = s.cloud.workers.begin()->second->last_heartbeat;
        heartbeat["roost"] = not_utf8;
        auto reporting = send_body(s, 0, "/hello", wire::encode(heartbeat));
        const int status = co_await std::move(reporting);
        EXPECT_EQ(status, 400);
    });
}

// The record of a job that an earlier version has accepted, also with a field of a later one.
TEST(MalformedMessages, AStoredJobWithTextThatIsNotUtf8IsReadCancelledAndFinished) {
    TestDeployment site{1};
    site.workload.endless_jobs = {"req-1"};
    site.play([](TestDeployment& s) -> Task<void> {
        {
            auto step = s.run("req-1", "x", "service", 2);
            co_await std::move(step);
        }
        const std::string key = "h/job/req-1";
        Json record = s.state.items.at(key).value;
        record["image"] = "carte-\xe9t\xe9";
        record["of_a_later_version"] = "\xe9";
        s.state.deliver_late_commit({{"when", Json::array()}, {"writes", {{{"write", key}, {"v", record}}}}});
        // As read from a page, and not from a watch.
        s.kill(0);
        s.start(0);
        auto cancel = s.retry_until("POST", "/api/jobs/req-1/cancel", nullptr, {200});
        const Json answer = co_await std::move(cancel);
        EXPECT_EQ(answer["status"], "cancelled");
        if (const auto item = s.state.items.find(key); item != s.state.items.end()) {
            EXPECT_EQ(item->second.value["image"], record["image"]);
            EXPECT_EQ(item->second.value["of_a_later_version"], record["of_a_later_version"]);
        }
        const std::function<bool()> finished = [&] { return s.state.items.contains("f/req-1"); };
        auto finishing = s.until(finished);
        co_await std::move(finishing);
        EXPECT_TRUE(s.workload.running.empty());
    });
}

TEST(MalformedMessages, AnswersOfStateServiceCloudAndWorkersCountAsFailedRequests) {
    TestDeployment site{2};
    site.workload.run_time = Micros{1'500'000};
    site.play([](TestDeployment& s) -> Task<void> {
        {
            auto step = s.submit("req-1", "x", "sweep", 3);
            co_await std::move(step);
        }
        const std::function<bool()> started = [&] { return !s.workload.running.empty(); };
        auto starting = s.until(started);
        co_await std::move(starting);
        s.state.malformed_response = nested_strings();
        s.cloud.malformed_response = nested_strings();
        for (auto& [id, worker] : s.cloud.workers) worker->malformed_response = nested_strings();
        co_await s.loop.sleep(Micros{1'000'000});
        s.state.malformed_response.reset();
        s.cloud.malformed_response.reset();
        for (auto& [id, worker] : s.cloud.workers) worker->malformed_response.reset();
        auto finishing = s.until_status("req-1", "done");
        co_await std::move(finishing);
        {
            auto step = s.run_until_done("req-2", "y", "sweep", 2);
            co_await std::move(step);
        }
    });
}

Task<io::HttpResponse> serve_nothing() { co_return io::HttpResponse{}; }

Task<void> expect_statuses(io::Loop& loop, io::Address address, std::map<std::string, int> statuses) {
    io::HttpClient client{loop};
    for (const auto& [target, status] : statuses) {
        auto sending = client.send(address, "GET", target, "", io::steady_now() + Micros{5'000'000});
        const auto response = co_await std::move(sending);
        EXPECT_EQ(response.status_or(0), status) << target;
    }
    loop.stop();
}

Task<io::HttpResponse> fail(bool at_once, io::Loop& loop) {
    if (!at_once) co_await loop.sleep(Micros{1000});
    throw std::runtime_error("a defect");
    co_return io::HttpResponse{};
}

// An exception in the handling of one request ended the process, and with repeats every controller
// (review/3).
TEST(RequestFailure, AnExceptionEndsItsRequestAloneWith500) {
    io::Loop loop;
    const io::Address address = test::loopback_address(test::free_port());
    io::HttpServer server{loop, address, {}, [&](const io::HttpRequest& request) {
                              if (request.target == "/served") return serve_nothing();
                              return controller::respond_to_failure(fail(request.target == "/at_once", loop));
                          }};
    io::Scope scope;
    scope.spawn(server.serve());
    scope.spawn(expect_statuses(loop, address, {{"/at_once", 500}, {"/later", 500}, {"/served", 200}}));
    loop.run();
}

}  // namespace
}  // namespace hatchwind
