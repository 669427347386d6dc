/// Names of fields and values on the wire, each once. A constant is called by the field's standard term and
/// the rest of the program uses only that term; where the wire's own word differs, a comment says what it
/// stands for. tests/wire_names_test.cpp keeps the differing words out of all other code.
#pragma once

namespace hatchwind::wire::names {

/// Words that mean the same to more than one partner.
namespace shared {
inline constexpr const char* kId = "id";
inline constexpr const char* kStatus = "status";
inline constexpr const char* kAddress = "address";      // IPv4 address and port
inline constexpr const char* kTasks = "legs";           // of a job: how many; of a heartbeat: their list
inline constexpr const char* kMachineType = "build";    // type of machine, by name
inline constexpr const char* kMachineTypes = "builds";  // allowed by a job, or offered by the cloud
inline constexpr const char* kMachines = "perches";     // rented machines
inline constexpr const char* kZone = "roost";           // availability zone
inline constexpr const char* kSpot = "borrowed";        // a spot instance, or a job that may run on them
inline constexpr const char* kCpus = "cores";           // CPUs, fractions allowed
inline constexpr const char* kGpus = "accelerators";    // GPUs, fractions allowed
inline constexpr const char* kMemoryGb = "memGb";       // memory in GB
inline constexpr const char* kHasMore = "hasNext";      // further pages of the list follow
inline constexpr const char* kDependencies = "awaits";  // jobs that have to be done first
}  // namespace shared

/// The user API: submissions and responses.
namespace user {
using shared::kCpus;
using shared::kDependencies;
using shared::kGpus;
using shared::kId;
using shared::kMachineTypes;
using shared::kMemoryGb;
using shared::kSpot;
using shared::kStatus;
using shared::kTasks;
using shared::kZone;
inline constexpr const char* kJobClass = "flock";  // class of jobs that an objective is set for
inline constexpr const char* kTeam = "crew";       // the team whose quota the job counts against
inline constexpr const char* kKind = "form";       // array, gang or service
inline constexpr const char* kPriority = "rank";   // priority class
inline constexpr const char* kImage = "plate";     // container image
inline constexpr const char* kImageGb = "sizeGb";  // size of the image in GB
inline constexpr const char* kOneZone = "oneZone";
inline constexpr const char* kSpread = "spread";
inline constexpr const char* kEstimateS = "expectS";  // estimated run time, seconds
inline constexpr const char* kCheckpointS = "markS";  // interval of checkpoints, seconds
inline constexpr const char* kSaveS = "stashS";       // duration of saving a checkpoint, seconds
inline constexpr const char* kDeadlineS = "dueS";     // deadline, seconds after acceptance
inline constexpr const char* kDone = "done";          // tasks that are done
inline constexpr const char* kRunning = "running";    // tasks that run
inline constexpr const char* kError = "error";

inline constexpr const char* kKindArray = "sweep";      // job array
inline constexpr const char* kKindGang = "ensemble";    // gang scheduling: all tasks at once
inline constexpr const char* kKindService = "service";  // runs until cancelled
inline constexpr const char* kPriorityProduction = "prod";
inline constexpr const char* kPriorityHigh = "high";
inline constexpr const char* kPriorityNormal = "normal";
inline constexpr const char* kPriorityBestEffort = "best_effort";
}  // namespace user

/// The status of a job, in responses to users and in stored final states.
namespace job_status {
inline constexpr const char* kQueued = "queued";
inline constexpr const char* kRunning = "running";
inline constexpr const char* kDone = "done";
inline constexpr const char* kCancelled = "cancelled";
}  // namespace job_status

/// Workers: their heartbeats, and the commands to them.
namespace worker {
using shared::kAddress;
using shared::kMachineType;
using shared::kSpot;
using shared::kStatus;
using shared::kTasks;
using shared::kZone;
inline constexpr const char* kMachine = "perch";           // the machine that the worker runs on
inline constexpr const char* kIncarnation = "stint";       // counts the lives of the worker
inline constexpr const char* kHeartbeatSequence = "tick";  // rises with each heartbeat of an incarnation
inline constexpr const char* kFencingToken = "baton";      // a worker refuses commands with a lower one
inline constexpr const char* kNoticeS = "warningS";        // seconds until the spot instance is taken away
inline constexpr const char* kTask = "leg";                // "job/index", see wire/identifiers.hpp
inline constexpr const char* kAttempt = "try";             // number of the attempt
inline constexpr const char* kCause = "cause";             // why the task exited
inline constexpr const char* kSaved = "kept";              // the task saved a checkpoint at its end
inline constexpr const char* kCommands = "calls";          // commands, in the order of execution
inline constexpr const char* kCommand = "call";            // what to do with the task
inline constexpr const char* kGraceS = "settleS";          // grace period before the task is killed, seconds
inline constexpr const char* kController = "home";         // label of the controller to send heartbeats to

inline constexpr const char* kStateFetching = "fetching";
inline constexpr const char* kStateWaiting = "gathering";  // a gang's task that waits for the others
inline constexpr const char* kStateRunning = "running";
inline constexpr const char* kStateSaving = "flushing";  // saves a checkpoint
inline constexpr const char* kStateExited = "exited";

inline constexpr const char* kCauseDone = "done";
inline constexpr const char* kCauseStopped = "stopped";
inline constexpr const char* kCausePeers = "peers";
inline constexpr const char* kCauseAlone = "alone";
inline constexpr const char* kCauseNoRoom = "no_room";
inline constexpr const char* kCauseBusy = "in_use";  // resources that another task still holds
inline constexpr const char* kCauseUnknown = "unknown";

inline constexpr const char* kCommandStart = "start";
inline constexpr const char* kCommandStop = "halt";             // graceful stop
inline constexpr const char* kCommandAcknowledgeExit = "reap";  // the worker may forget an exited task
}  // namespace worker

/// The cloud: its catalog of machine types, and rented instances.
namespace cloud {
using shared::kAddress;
using shared::kCpus;
using shared::kGpus;
using shared::kHasMore;
using shared::kId;
using shared::kMachines;
using shared::kMachineType;
using shared::kMachineTypes;
using shared::kMemoryGb;
using shared::kSpot;
using shared::kStatus;
using shared::kZone;
inline constexpr const char* kName = "name";
inline constexpr const char* kPrice = "price";
inline constexpr const char* kSpotPrice = "marketPrice";  // price of a spot instance of the type
inline constexpr const char* kCacheGb = "localGb";        // local disk for images, GB
inline constexpr const char* kFetchGbPerS = "fetchGbPerS";
inline constexpr const char* kBootS = "startupS";   // time to boot, seconds
inline constexpr const char* kZones = "roosts";     // zones that offer the type
inline constexpr const char* kAgeS = "heldS";       // seconds since it was rented
inline constexpr const char* kRequestName = "ask";  // idempotency key of a request to rent
inline constexpr const char* kNumber = "number";

inline constexpr const char* kStatusRunning = "running";
inline constexpr const char* kStatusFailed = "failed";
}  // namespace cloud

/// The consensus-backed key-value store.
namespace store {
using shared::kHasMore;
inline constexpr const char* kItems = "pairs";  // keys and values of a page
inline constexpr const char* kKey = "path";
inline constexpr const char* kValue = "v";
inline constexpr const char* kRevision = "ledger";    // revision of the whole store
inline constexpr const char* kModRevision = "stamp";  // revision of the key's latest change, 0: no such key
inline constexpr const char* kEvents = "log";         // changes since a revision
inline constexpr const char* kPut = "write";          // key that is written
inline constexpr const char* kDelete = "delete";      // key that is deleted
inline constexpr const char* kConditions = "when";    // conditions of a compare-and-swap transaction
inline constexpr const char* kWrites = "writes";
inline constexpr const char* kFailed = "failed";      // keys whose conditions did not hold
inline constexpr const char* kStoreLease = "tenure";  // id of a lease of the store
inline constexpr const char* kTtlMs = "lifeMs";       // time to live of a lease, milliseconds
}  // namespace store

/// Records that this program keeps in the store. Short, since the store bounds the size of a value.
namespace record {
using shared::kDependencies;
inline constexpr const char* kJobClass = "class";
inline constexpr const char* kTeam = "team";
inline constexpr const char* kKind = "kind";
inline constexpr const char* kPriority = "prio";
inline constexpr const char* kTasks = "tasks";
inline constexpr const char* kCpus = "cpus";
inline constexpr const char* kGpus = "gpus";
inline constexpr const char* kMemoryGb = "mem";  // memory in GB
inline constexpr const char* kImage = "image";
inline constexpr const char* kImageGb = "igb";  // size of the image in GB
inline constexpr const char* kFlags = "flags";  // bits of what a job allows and asks for
inline constexpr const char* kTypes = "types";
inline constexpr const char* kZone = "zone";
inline constexpr const char* kEstimateS = "est";                // estimated run time, seconds
inline constexpr const char* kCheckpointS = "cp";               // interval of checkpoints, seconds
inline constexpr const char* kSaveS = "save";                   // duration of saving a checkpoint, seconds
inline constexpr const char* kDeadlineS = "due";                // deadline, seconds after acceptance
inline constexpr const char* kAcceptedUs = "at";                // time of day of acceptance, microseconds
inline constexpr const char* kCancelled = "cancelled";          // time of day, microseconds
inline constexpr const char* kTeamOnceReleased = "later_team";  // team of a job whose dependencies are done
inline constexpr const char* kDependencyList = "await_list";    // common name of the list's records
inline constexpr const char* kDependencyParts = "await_parts";  // how many records the list has
inline constexpr const char* kIds = "ids";                      // one part of a list of jobs

inline constexpr const char* kChunks = "c";        // chunks of a page of attempts
inline constexpr const char* kDoneTasks = "d";     // ranges of tasks that are done
inline constexpr const char* kOpenAttempts = "o";  // attempts that have not ended, by machine
inline constexpr const char* kLastAttempt = "n";   // highest number given to an attempt
inline constexpr const char* kFinalStatus = "s";   // done or cancelled
inline constexpr const char* kDone = "done";

inline constexpr const char* kNumber = "number";
inline constexpr const char* kLeader = "leader";
inline constexpr const char* kMembers = "members";
inline constexpr const char* kShardOwners = "owners";  // team -> label of the controller that schedules it
inline constexpr const char* kRemovedUs = "removed";   // time of day of the latest removal, microseconds

inline constexpr const char* kStoreLease = "grant";  // of a controller: the store lease of this life
inline constexpr const char* kCapabilities = "capabilities";
inline constexpr const char* kNames = "names";
}  // namespace record

}  // namespace hatchwind::wire::names
