// Messages between the processes of mulberryslip. Field numbers are never reused.
// Durations are in milliseconds, memory in megabytes, processor shares in thousandths of a core.

namespace py mulberryslip.wire

struct Header {
  1: required string request_id,
  2: required i32 deadline_ms,      // time left at the moment of sending
  3: required i64 config_revision,  // 0: the sender has seen no configuration yet
  4: required string sender,
  5: required string incarnation,   // changes with each start of the sender
}

// NOT_OWNER: nothing was done, because the receiver does not own the shard.
enum Outcome {
  OK = 0,
  NOT_RUN = 1,
  OUTCOME_UNKNOWN = 2,
  INVALID = 3,
  NOT_FOUND = 4,
  CONFLICT = 5,
  NOT_OWNER = 6,
}

struct Resources {
  1: required i32 cpu_millis,
  2: required i32 memory_mb,
  3: required i32 accelerators,
  4: required i32 slots,
}

struct Load {
  1: required i32 in_flight,         // requests at the target now
  2: required i32 queued,            // requests waiting for a connection to the target
  3: required i32 service_time_us,   // moving average of the target's answer time
  4: required Resources free,        // capacity that is neither reserved nor committed
  5: required bool leaving,
  6: required i32 pressure_permille, // tail latency of the target against its objective; 1000 meets it exactly
}

struct WorkerDescription {
  1: required string worker_id,
  2: required string incarnation,
  3: required string data_centre,
  4: required string rack,
  5: required string host,
  6: required i32 port,
  7: required Resources capacity,
  8: required list<string> services, // templates that the local target answers
}

struct ForwardRequest {
  1: required Header header,
  2: required string template_name,
  3: required string method,
  4: required string path,
  5: required map<string, string> headers,
  6: required binary body,
  7: required bool idempotent,
  8: required bool resent,           // ask for the remembered answer, never hand to the target
}

struct ForwardReply {
  1: required string request_id,
  2: required Outcome outcome,
  3: required string reason,
  4: required i32 status,
  5: required map<string, string> headers,
  6: required binary body,
  7: required i64 body_crc32,
  8: required Load load,
}

struct TaskRef {
  1: required string job_id,
  2: required i32 index,
  3: required i32 attempt,
}

struct ReserveItem {
  1: required TaskRef task,
  2: required Resources resources,
  3: required string template_name,
  4: required string task_class,
}

struct ReserveRequest {
  1: required Header header,
  2: required i32 shard,
  3: required i64 epoch,
  4: required list<ReserveItem> items,
}

struct Reservation {
  1: required TaskRef task,
  2: required bool granted,
  3: required string reservation_id,
  4: required string reason,
}

struct ReserveReply {
  1: required Outcome outcome,
  2: required string reason,
  3: required list<Reservation> reservations,
  4: required Load load,
  5: required string incarnation,
}

struct StartItem {
  1: required TaskRef task,
  2: required string reservation_id,
  3: required string account,
  4: required string input,          // JSON text, passed to the runtime as it is
  5: required string checkpoint,     // empty: start from the beginning
}

struct StartRequest {
  1: required Header header,
  2: required i32 shard,
  3: required i64 epoch,
  4: required list<StartItem> items,
}

struct StartResult {
  1: required TaskRef task,
  2: required Outcome outcome,
  3: required string reason,
}

struct StartReply {
  1: required Outcome outcome,
  2: required string reason,
  3: required list<StartResult> results,
  4: required Load load,
}

enum TaskState { RUNNING = 0, SUSPENDED = 1, FINISHED = 2, FAILED = 3, STOPPED = 4 }

struct TaskReport {
  1: required TaskRef task,
  2: required TaskState state,
  3: required string checkpoint,     // newest checkpoint, or empty
  4: required string result,         // JSON text of a finished task, or empty
  5: required string reason,
  6: required Resources usage,       // reported by the runtime, with a lag
  7: required i32 throttle_permille, // 1000: not throttled
}

struct Throttle {
  1: required TaskRef task,
  2: required i32 permille,          // share of its speed that the task is to keep; 1000: all
}

struct RenewRequest {
  1: required Header header,
  2: required i32 shard,
  3: required i64 epoch,
  4: required i32 lease_ms,          // validity granted, counted from clock_ms
  5: required list<TaskRef> acknowledged, // reports that are committed and may be forgotten
  6: required binary config,         // configuration view for this worker, or empty when it is up to date
  7: required string owner_host,
  8: required i32 owner_port,
  9: required list<Throttle> throttles = [], // tasks whose share differs from what was last reported
  10: required i64 clock_ms = 0,     // clock_ms of the worker's last reply; 0: none, grants nothing
}

struct RenewReply {
  1: required Outcome outcome,
  2: required string reason,
  3: required i64 epoch,             // highest epoch seen for the shard
  4: required list<TaskReport> tasks, // every attempt held for the shard
  5: required Load load,
  6: required i64 config_revision,
  7: required string incarnation,
  8: required i64 clock_ms = 0,      // the worker's monotonic clock
}

struct StopRequest {
  1: required Header header,
  2: required i32 shard,
  3: required i64 epoch,
  4: required list<TaskRef> tasks,
  5: required bool checkpoint,
  6: required string reason,
}

struct StopReply {
  1: required Outcome outcome,
  2: required string reason,
  3: required list<TaskReport> tasks,
}

service WorkerService {
  i64 ping(1: i64 token),
  ForwardReply forward(1: ForwardRequest req),
  ReserveReply reserve(1: ReserveRequest req),
  StartReply start(1: StartRequest req),
  RenewReply renew(1: RenewRequest req),
  StopReply stop(1: StopRequest req),
}

struct AnnounceRequest {
  1: required Header header,
  2: required WorkerDescription worker,
  3: required Load load,
}

struct AnnounceReply {
  1: required Outcome outcome,
  2: required i64 config_revision,
  3: required binary config,         // configuration view, when the worker's revision is older
  4: required list<string> entries,  // host:port of every registered entry
}

struct ReportRequest {
  1: required Header header,
  2: required i32 shard,
  3: required list<TaskReport> tasks,
}

struct ReportReply {
  1: required Outcome outcome,
  2: required list<TaskRef> acknowledged,
}

struct JobRequest {
  1: required Header header,
  2: required string job_id,
  3: required binary body,           // JSON of the submission; empty for status and cancel
}

struct JobReply {
  1: required Outcome outcome,
  2: required string reason,
  3: required binary body,           // JSON of the job's state
}

struct ClaimRequest {
  1: required Header header,
  2: required string claim_id,
  3: required string worker_id,      // worker that is about to receive the request, or empty to release
}

struct ClaimReply {
  1: required Outcome outcome,       // OK: claimed now; CONFLICT: claimed before
  2: required string reason,
  3: required string worker_id,      // worker of the earlier claim
}

struct ShardRequest {
  1: required Header header,
  2: required i32 shard,
}

service EntryService {
  i64 ping(1: i64 token),
  AnnounceReply announce(1: AnnounceRequest req),
  ReportReply report(1: ReportRequest req),
  JobReply submit(1: JobRequest req),
  JobReply job_status(1: JobRequest req),
  JobReply cancel(1: JobRequest req),
  ClaimReply claim_request(1: ClaimRequest req),
  JobReply list_jobs(1: ShardRequest req),   // body: JSON list of the shard's jobs
  JobReply explain_job(1: JobRequest req),   // body: JSON list of reasons
}

// Pools: the workers of a pool run the tasks of workflows. One agent at a time owns the pool and
// decides; the agent beside each worker carries out its commands. Tasks are named
// "workflow/occurrence/step/index". Clocks named clock_ms are the worker's own steady clock.

struct RunStatus {
  1: required string task,
  2: required i32 run,
  3: required string checkpoint,   // newest one; empty when there is none
  4: required i32 progress_percent,
  5: required i32 gauge,           // tail latency in ms of a latency-critical task, else thousandths of a core
}

enum EndKind {
  DONE = 0,
  FAILED = 1,
  STOPPED = 2,
  LAPSED = 3,   // the worker's lease ran out
  BROKEN = 4,   // another member of the gang ended
  ALONE = 5,    // the other members of the gang did not come
}

struct RunEnd {
  1: required i64 number,          // counts up from 1 in each life of the worker
  2: required string task,
  3: required i32 run,
  4: required EndKind kind,
  5: required string checkpoint,
}

struct RunRefusal {
  1: required string task,
  2: required i32 run,
  3: required string reason,
  4: required bool certain,        // false: the start may still take effect until its deadline
}

struct PoolWorker {
  1: required string worker_id,
  2: required string incarnation,
  3: required string serves,          // name of its service
  4: required string data_centre,
  5: required list<string> labels,
  6: required Resources capacity,
  7: required bool leaving,
  8: required i32 remaining_ms,    // shortest time until a leaving worker ends
  9: required string machine,
}

// What an agent must know of a run to keep best-effort runs from disturbing latency-critical ones.
struct RunProfile {
  1: required string task,
  2: required string image,
  3: required bool fills,
  4: required i32 cpu_millis,
  5: required i32 target_ms,       // tail latency of a latency-critical task; 0: it serves nobody
  6: required i64 due_ms,          // headroom goes to runs in this order: when the workflow is due,
                                   // or when the run has to begin for that, since 1970
}

struct ImagePressure {
  1: required string filling,
  2: required string serving,
  4: required double value,        // fall of the headroom by best-effort runs that use a whole worker
}

struct WorkerReport {
  1: required Header header,
  2: required string agent,        // host:port of the agent
  3: required i64 epoch,           // highest epoch that the agent has seen
  4: required PoolWorker worker,
  5: required i64 clock_ms,        // when the worker listed its runs
  6: required list<RunStatus> running,
  7: required list<RunEnd> ended,
  8: required list<RunRefusal> refused,
  9: required bool unreachable,    // the worker refuses connections, so it runs nothing
  11: required bool listed,        // false: the agent needs a fencing token to list the runs, or the worker does not reply
  10: required list<string> unprofiled, // tasks of which the agent has no profile
  12: optional bool complete,      // whether no run is missing from both lists; earlier builds do not tell
}

struct WorkerReportReply {
  1: required Outcome outcome,
  3: required i64 epoch,
  4: required i64 lease_until_ms,  // on the worker's clock; 0 grants nothing
  5: required i64 fence,           // fencing token for calls to the worker
  6: required i64 ended_through,   // ends up to this number are committed
  7: required list<RunProfile> profiles, // of the tasks named as unprofiled, and changed ones
  9: required list<ImagePressure> pressures, // of the images that run on the worker
  10: optional bool take_over,     // the owner has lost the store; the agent may claim the pool
  11: optional string newest_incarnation, // of the worker, if it sorts after the one that reports
  12: optional bool stable_duty_cycles, // the agent sets duty cycles from filtered headrooms
  13: optional bool observes_confirmations, // the agent watches the owner's record of confirmations
}

struct OrdersRequest {
  1: required Header header,
  2: required string worker_id,
  3: required string incarnation,
  4: required i64 epoch,
  5: required i32 wait_ms,
}

struct RunStart {
  1: required string task,
  2: required i32 run,
  3: required string payload,
  4: required string checkpoint,
  5: required i64 start_by_ms,     // on the worker's clock; later the worker refuses the start
  6: required RunProfile profile,
}

struct RunStop {
  1: required string task,
  2: required i32 run,
  3: required string reason,
}

struct OrdersReply {
  1: required Outcome outcome,
  3: required i64 epoch,
  4: required i64 fence,
  5: required list<RunStart> starts,
  6: required list<RunStop> stops,
}

struct WorkflowRequest {
  1: required Header header,
  2: required string workflow_id,
  3: required string queue,
  4: required binary body,         // JSON of the submission; empty for other calls
}

struct WorkflowReply {
  1: required Outcome outcome,
  2: required string reason,
  4: required string shown,        // queued, running, completed, failed or cancelled
  5: required i32 waiting,         // workflows of the queue that have not begun
  6: required i32 retry_after_ms,  // 0: no advice
}

service PoolService {
  i64 ping(1: i64 token),
  WorkerReportReply report(1: WorkerReport req),
  OrdersReply orders(1: OrdersRequest req),
  WorkflowReply submit(1: WorkflowRequest req),
  WorkflowReply status(1: WorkflowRequest req),
  WorkflowReply cancel(1: WorkflowRequest req),
  WorkflowReply waiting(1: WorkflowRequest req),
}
