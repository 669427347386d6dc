// A small deployment on loopback: the state service, the cloud, workers and users as stand-ins in this process, and
// the controllers as processes of the project's own program.
#pragma once

#include <condition_variable>
#include <cstdio>
#include <deque>
#include <map>
#include <random>

#include "net.hpp"

namespace standin {

/// record.txt: what was sent, answered and run, with the seconds since the start.
class Record {
  public:
    explicit Record(const std::string& path);
    ~Record();
    void line(const std::string& text);

  private:
    std::mutex mutex_;
    std::FILE* file_;
};

struct MachineType {
    std::string name = "stave";
    double cores = 4;
    double mem_gb = 8;
    double cache_gb = 40;
    double fetch_gb_per_s = 0.4;
    double price = 0.21;
    double market_price = 0.07;
    double boot_s = 30;
};

struct Team {
    std::string name;
    double cpus = 0;
    double cpus_max = 0;
};

/// The limits of a deployment; by default those of the site asante-engraving.
struct Site {
    std::vector<std::string> zones{"adum", "osu", "takoradi"};
    std::vector<Team> teams{{"engravers", 24, 40}, {"proofreaders", 32, 112}, {"print-room", 40, 128},
                            {"archive", 24, 96},   {"client-desk", 24, 32},   {"hymnal-unit", 16, 32}};
    MachineType type;
    std::vector<std::string> machine_zones;  // of the machines that are up at the start
    std::size_t most_machines = 48;
    int controllers = 3;
    double report_s = 1.5;
    double lease_s = 12;
    double gang_wait_s = 20;
    double gang_peer_s = 5;
    double cancel_s = 37;
    double state_rps = 80;
    double state_write_rps = 30;
    double value_kb = 16;
    int txn_ops = 12;
    double state_latency_s = 0.006;
    double cloud_rps = 6;
    double list_lag_s = 5;
    double cloud_latency_s = 0.08;
    double cpu_share = 0.064;
    double memory_mb = 56;
    int max_connections = 1000;
    Json objectives = Json::array();
};

// --- the state service ---

class Store {
  public:
    Store(const Site& site, Record& record);
    ~Store();
    /// The port that this client of the state service is given.
    std::uint16_t port(std::size_t client) const { return servers_[client]->port(); }
    /// How the service, or the way to it, treats one client.
    void set_way(std::size_t client, Way way);
    /// Down for everybody; at the end all grants get their full time again.
    void set_outage(bool on);
    /// Share of the commits of one client that get no answer and are carried out `late_s` later.
    void set_late_commits(std::size_t client, double share, double late_s);
    /// Time added to each answer.
    void set_extra_latency(double seconds) { extra_latency_ = seconds; }
    std::optional<Json> value(const std::string& key);
    std::vector<std::string> keys(const std::string& prefix);

  private:
    struct Item {
        Json value;
        std::uint64_t stamp = 0;
        std::uint64_t tenure = 0;
    };
    struct Change {
        std::uint64_t stamp;
        std::string key;
        std::optional<Json> value;
    };
    struct Grant {
        double life_s;
        double until;
    };
    Response handle(std::size_t client, const std::string& method, const std::string& target,
                    const std::string& body);
    Response answer(std::size_t client, const std::string& method, const std::string& target,
                    const std::string& body);
    Response commit(const Json& request);
    Response watch(std::size_t client, const std::string& target);
    Response list(const std::string& target);
    void put(const std::string& key, std::optional<Json> value, std::uint64_t stamp, std::uint64_t tenure);
    void expire_for_good();
    bool take(double& tokens, double& last, double rate, double amount);
    bool is_away(std::size_t client) const;

    const Site& site_;
    Record& record_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, Item> items_;
    std::deque<Change> log_;
    std::map<std::uint64_t, Grant> grants_;
    std::uint64_t ledger_ = 0;
    std::uint64_t last_grant_ = 0;
    double request_tokens_, request_last_ = 0, write_tokens_, write_last_ = 0;
    std::atomic<bool> outage_{false};
    std::atomic<double> extra_latency_{0};
    struct Late {
        double share = 0;
        double seconds = 0;
    };
    std::vector<Late> late_;
    std::mt19937 random_{7};
    std::atomic<bool> stopped_{false};
    std::vector<std::thread> later_;
    std::vector<std::unique_ptr<Server>> servers_;
    std::thread expirer_;
};

// --- machines and their workers ---

struct JobSpec {
    std::string id;
    std::string team = "proofreaders";
    std::string job_class = "part-books";
    std::string kind = "sweep";
    std::string rank = "normal";
    int tasks = 1;
    double cores = 1;
    double mem_gb = 1.8;
    std::string image = "img-01";
    double image_gb = 1;
    bool spread = false;
    bool one_zone = false;
    bool spot = false;
    double estimate_s = 20;
    double run_s = 20;  // what a task takes in truth
    double checkpoint_s = 0;
    double save_s = 0;
    std::optional<double> due_s;
    std::vector<std::string> awaits;
    Json body() const;
};

/// What happened to a task, for the checks.
struct TaskEvent {
    double at;
    std::string what;  // "start" (it has its image), "exit", "killed"
    std::string job;
    int task;
    std::uint64_t attempt;
    std::string machine;
    std::string cause;
};

struct World;

class Worker {
  public:
    Worker(World& world, std::string id, std::string zone, bool spot);
    ~Worker();
    const std::string& id() const { return id_; }
    const std::string& zone() const { return zone_; }
    std::string address() const { return server_.address(); }
    /// A hanging machine executes nothing; what it is sent waits.
    void set_hung(bool hung);
    /// The image is in the machine's cache.
    void cache_image(const std::string& image);
    bool has_task(const std::string& job);
    /// Attempts that are not exited.
    std::vector<std::string> tasks();
    std::uint64_t session();
    std::size_t home();
    /// The machine is gone with all that is on it.
    void destroy();

  private:
    struct Task {
        std::string job;
        int index = 0;
        std::uint64_t attempt = 0;
        std::string state;
        std::string cause;
        bool kept = false;
        bool on_machine = false;
        double ends_at = 0;
        double left_s = 0;
        double saves_until = 0;
    };
    Response handle(const std::string& method, const std::string& target, const std::string& body);
    Json report_body();
    void report_for_good();
    void send_report();
    void tick_for_good();
    void advance(double now);
    void end_session_if_over(double now);
    void execute(const Json& calls, double now);
    void start(const std::string& job, int index, std::uint64_t attempt, double now);
    void halt(const std::string& job, int index, std::uint64_t attempt, double grace_s, double now);
    void place(Task& task, double now);
    void exit(Task& task, const std::string& cause, double now);
    void adopt(std::uint64_t baton, double now);
    void kill_all(const std::string& why, double now);
    void note(const Task& task, const std::string& what, double now, const std::string& cause = "");

    World& world_;
    std::string id_;
    std::string zone_;
    bool spot_;
    std::mutex mutex_;
    std::condition_variable wake_;
    std::uint64_t session_ = 1;
    std::uint64_t tick_ = 0;
    std::uint64_t baton_ = 0;
    double baton_told_at_ = -1e9;
    double lease_from_;
    double last_sent_ = -1e9;
    double next_report_;
    double not_before_ = 0;
    bool changed_ = false;
    std::atomic<bool> hung_{false};
    std::atomic<bool> gone_{false};
    std::size_t home_;
    std::mt19937 random_;
    std::map<std::pair<std::string, std::uint64_t>, Task> tasks_;  // by "job/index" and attempt
    std::map<std::string, double> images_;                         // there from this time on
    double free_cores_;
    double free_mem_gb_;
    Server server_;
    std::thread reporter_;
    std::thread ticker_;
};

// --- the cloud ---

class Cloud {
  public:
    Cloud(World& world);
    ~Cloud();
    std::uint16_t port(std::size_t client) const { return servers_[client]->port(); }
    void set_way(std::size_t client, Way way) { servers_[client]->set_way(way); }
    void add_running(const std::string& zone);
    std::vector<std::shared_ptr<Worker>> workers();
    std::shared_ptr<Worker> worker(const std::string& id);
    struct Release {
        double at;
        std::size_t client;
        std::string machine;
        std::vector<std::string> tasks;  // what was on it
    };
    std::vector<Release> releases();
    void stop();

  private:
    struct Machine {
        std::string id, zone;
        bool spot = false;
        double rented_at = 0, up_at = 0, gone_at = 1e18;
        std::shared_ptr<Worker> worker;
        std::string address;
    };
    Response handle(std::size_t client, const std::string& method, const std::string& target,
                    const std::string& body);
    Response rent(std::size_t client, const Json& request);
    Response release(std::size_t client, const Json& request);
    Response list(const std::string& target);
    void boot_for_good();
    std::string next_id();

    World& world_;
    std::mutex mutex_;
    std::map<std::string, Machine> machines_;
    std::map<std::string, Json> asked_;
    std::vector<Release> releases_;
    std::uint64_t last_id_ = 100;
    double tokens_, last_ = 0;
    std::mt19937 random_{11};
    std::atomic<bool> stopped_{false};
    std::vector<std::unique_ptr<Server>> servers_;
    std::thread booter_;
};

// --- controllers ---

class Controllers {
  public:
    Controllers(World& world, std::string folder, std::string command);
    ~Controllers();
    std::size_t count() const { return nodes_.size(); }
    std::uint16_t api_port(std::size_t node) const { return nodes_[node].api; }
    const std::string& label(std::size_t node) const { return nodes_[node].label; }
    std::optional<std::size_t> index_of(const std::string& label) const;
    void start(std::size_t node);
    void signal(std::size_t node, int number);
    /// SIGKILL, and the end awaited.
    void kill(std::size_t node);
    /// How often a controller ended without being told to.
    bool ended_by_itself(std::size_t node);
    /// The way from one controller to another's mesh address.
    void set_mesh_way(std::size_t from, std::size_t to, Way way);
    void stop();

  private:
    struct Node {
        std::string label, zone;
        std::uint16_t api = 0, mesh = 0;
        int pid = -1;
    };
    void write_settings(std::size_t node);
    World& world_;
    std::string folder_;
    std::vector<std::string> command_;
    std::vector<Node> nodes_;
    std::map<std::pair<std::size_t, std::size_t>, std::unique_ptr<Relay>> relays_;
};

// --- all of it ---

struct World {
    /// `folder`: a temporary one for settings and logs.
    World(Site site, const std::string& record, const std::string& folder, const std::string& command);
    ~World();
    /// Starts all controllers, and waits until each is healthy and an epoch names them all.
    bool start_controllers();

    // Users. Each returns what the user was told in the end; 0 when there was no answer in 60 s.
    struct Told {
        int status = 0;
        std::string state;
        double at = 0;
        std::size_t node = 0;
    };
    Told submit(const JobSpec& job, std::size_t node);
    Told submit_once(const JobSpec& job, std::size_t node);
    Told poll(const std::string& job, std::size_t node);
    Told cancel(const std::string& job, std::size_t node);
    bool wait_for(const std::function<bool()>& condition, double seconds);

    std::string leader();
    std::string owner(const std::string& team);
    std::vector<std::string> members();

    void add_event(TaskEvent event);
    std::vector<TaskEvent> events();
    std::optional<JobSpec> job(const std::string& id);
    /// A task has completed; its result is kept.
    void complete(const std::string& job, int task);
    bool completed(const std::string& job, int task);
    /// When the last task of a job completed, once all have.
    std::optional<double> completed_at(const std::string& job);
    /// Whether the user of a job has been told that it is cancelled, and when.
    std::optional<double> cancelled_at(const std::string& job);

    Site site;
    Record record;
    std::vector<std::uint16_t> node_ports;  // api ports in the order of the controllers
    Store store;
    Cloud cloud;
    Controllers controllers;

  private:
    std::mutex mutex_;
    std::map<std::string, JobSpec> jobs_;
    std::map<std::string, double> cancelled_;
    std::vector<TaskEvent> events_;
    std::map<std::pair<std::string, int>, double> completed_;
};

/// What the environment and the arguments of a case say.
struct Run {
    bool trouble = true;
    std::string record;
    std::string folder;
    std::string command;
};
Run parse_run(int argc, char** argv);

/// Exit codes of a case.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCouldNotRun = 2;

}  // namespace standin
