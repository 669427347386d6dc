// A submission whose body is plain text, not CBOR: 40,000 underscores.
#include "stand_ins.hpp"

namespace {

using namespace review;

// Another user asks for the ordinary job all the while; the answers are recorded, not judged.
Task<void> ask_again(Deployment& d, int& asked, int& answered) {
    while (true) {
        auto polling = d.users.poll("req-000100");
        const Users::Answer answer = co_await std::move(polling);
        ++asked;
        if (answer.status == 200) ++answered;
        co_await d.loop.sleep(seconds(2));
    }
}

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
        int asked = 0;
        int answered = 0;
        Scope other_user;
        other_user.spawn(ask_again(d, asked, answered));
        auto malformed = d.users.submit("40,000 underscores", std::string(40'000, '_'));
        const Users::Answer answer = co_await std::move(malformed);
        d.record.add("another user meanwhile: " + std::to_string(answered) + " of " + std::to_string(asked) +
                     " questions answered");
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
