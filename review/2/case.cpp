// A submission whose body is plain text, not CBOR: 40,000 underscores.
#include "stand_ins.hpp"

namespace {

using namespace review;

Task<bool> play(Deployment& d, bool trouble) {
    auto starting = d.wait_until_up();
    const bool up = co_await std::move(starting);
    if (!up) co_return false;
    // An ordinary job of another user.
    const Json job = submission("req-000100", "field-crew", 2, 1);
    d.upload(job, 5);
    auto submitting = d.users.submit("req-000100", to_body(job));
    const Users::Answer accepted = co_await std::move(submitting);
    if (accepted.status != 201) co_return false;
    if (trouble) {
        d.record.add("TROUBLE a user submits 40,000 underscores");
        auto malformed = d.users.submit("40,000 underscores", std::string(40'000, '_'));
        const Users::Answer answer = co_await std::move(malformed);
        if (answer.status != 400)
            d.record.broken("the malformed submission was never answered with 400, in 60 s of tries");
        else
            co_await d.loop.sleep(seconds(1));
    }
    if (!d.platform.ends.empty())
        d.record.broken(std::to_string(d.platform.ends.size()) + " times a controller ended by itself, first " +
                        d.platform.ends.front());
    const Micros until = steady_now() + seconds(30);
    while (steady_now() < until) {
        auto polling = d.users.poll("req-000100");
        const Users::Answer answer = co_await std::move(polling);
        if (answer.status == 200 && answer.body.value("status", "") == "done") co_return true;
        co_await d.loop.sleep(seconds(1));
    }
    co_return false;
}

}  // namespace

int main(int argc, char** argv) {
    if (argc < 3) return kCouldNotRun;
    Deployment deployment(Site{}, argv[1], {argv + 2, argv + argc}, {{MachineType{}, 8}});
    return run_case(deployment, play, 112);
}
