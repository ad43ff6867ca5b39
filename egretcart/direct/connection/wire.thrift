// Messages of direct dispatch; messages.py explains their fields. Framing and
// compatibility rules are those of egretcart/connection/wire.thrift: fields at
// their default are left out, numbers are never reused.

struct PeerAddress { 1: optional string host, 2: optional i32 port, 3: optional string failure_domain }
struct EntryHello {
  1: optional string entry_id
  2: optional i64 incarnation
  3: optional PeerAddress address
}
struct EntryPeers { 1: optional list<PeerAddress> entries }
struct Beat {
  1: optional i64 version
  2: optional i32 interval_ms
  3: optional i32 lateness_ms
}

// From an entry to an agent.
struct RunTasks {
  1: optional i64 sequence
  2: optional string job_id
  3: optional i32 step
  4: optional list<i32> indexes
  5: optional i32 run
  6: optional string payload
  7: optional i32 cpu_milli
  8: optional i32 memory_mb
  9: optional i32 accelerators
  10: optional i64 estimate_ms
  11: optional i32 priority
  12: optional i64 time_left_ms
  13: optional i32 max_per_agent
  14: optional bool may_wait
  15: optional i32 offer
  16: optional i32 objective_ms
  17: optional i32 crash_score
  18: optional string service_name
  19: optional string requires
}
struct StopTasks { 1: optional string job_id, 2: optional i32 step, 3: optional list<i32> indexes }
struct EvictJob { 1: optional i64 number, 2: optional string job_id }

struct TasksWaiting {
  1: optional i32 count
  2: optional i32 priority
  3: optional i32 time_left_ms
  4: optional i32 start_within_ms
  5: optional i32 objective_ms
  6: optional i32 cpu_milli
  7: optional i32 memory_mb
  8: optional i32 accelerators
  9: optional string service_name
}
struct OfferDeclined { 1: optional i32 number }

// From an agent to an entry.
struct AgentStatus {
  1: optional string agent_id
  2: optional i64 incarnation
  3: optional string service_name
  4: optional list<string> labels
  5: optional bool accepting
  6: optional i32 cpu_milli
  7: optional i32 memory_mb
  8: optional i32 accelerators
  9: optional i32 free_cpu_milli
  10: optional i32 free_memory_mb
  11: optional i32 free_accelerators
  12: optional i32 queued
  13: optional i64 queued_ms
  14: optional i64 sequence
  15: optional i32 pace_percent
  16: optional bool probing
  17: optional i64 cold_ms
}
struct TaskEnded {
  1: optional string job_id
  2: optional i32 step
  3: optional i32 index
  4: optional i32 run
  5: optional string ending
  6: optional i64 run_ms
  7: optional string reason
  8: optional i32 crash_weight
}
struct TaskLate {
  1: optional string job_id
  2: optional i32 step
  3: optional i32 index
  4: optional i32 run
  5: optional i64 whole_ms
  6: optional i32 percent
  7: optional i64 leaves_in_ms
}
struct HeldTask {
  1: optional string job_id
  2: optional i32 step
  3: optional i32 index
  4: optional i32 run
}
struct AgentHello {
  1: optional AgentStatus status
  2: optional list<HeldTask> held
  3: optional bool settled
  4: optional string failure_domain
}
struct CapacityOffered {
  1: optional i32 number
  2: optional i32 count
  3: optional i32 cpu_milli
  4: optional i32 memory_mb
  5: optional i32 accelerators
}
struct JobEvicted { 1: optional i64 number }
struct EntriesServed { 1: optional list<string> entry_ids }

// Between entries.
struct JobsTaken { 1: optional list<string> job_ids }
struct CrashScore {
  1: optional string job_id
  2: optional i32 step
  3: optional i32 index
  4: optional i32 score
  5: optional string route
}
struct CrashScoresRaised { 1: optional list<CrashScore> tasks }
struct ReleaseJob {
  1: optional i64 number
  2: optional string job_id
  3: optional string owner
  4: optional string claimant
}
struct JobReleased { 1: optional i64 number, 2: optional string state }
struct Routing { 1: optional i64 version, 2: optional binary document }

struct RoutingRequest { 1: optional i64 version }
struct RecruitAgents {
  1: optional PeerAddress address
  2: optional i64 cpu_milli
  3: optional i64 memory_mb
  4: optional i64 accelerators
  5: optional string label
  6: optional string service_name
}
struct ServeEntry { 1: optional PeerAddress address }

// Between all processes.
struct DrainedDomains { 1: optional i64 revision, 2: optional list<string> domains }

struct Message {
  1: optional EntryHello entry_hello
  2: optional EntryPeers entry_peers
  3: optional Beat beat
  4: optional RunTasks run_tasks
  5: optional StopTasks stop_tasks
  6: optional EvictJob evict_job
  7: optional AgentStatus agent_status
  8: optional TaskEnded task_ended
  9: optional TaskLate task_late
  10: optional AgentHello agent_hello
  11: optional JobEvicted job_evicted
  12: optional JobsTaken jobs_taken
  13: optional ReleaseJob release_job
  14: optional JobReleased job_released
  15: optional Routing routing
  16: optional EntriesServed entries_served
  17: optional RoutingRequest routing_request
  18: optional RecruitAgents recruit_agents
  19: optional ServeEntry serve_entry
  20: optional DrainedDomains drained_domains
  22: optional TasksWaiting tasks_waiting
  23: optional CapacityOffered capacity_offered
  24: optional OfferDeclined offer_declined
  25: optional CrashScoresRaised crash_scores_raised
}
struct Frame { 1: optional list<Message> messages }
