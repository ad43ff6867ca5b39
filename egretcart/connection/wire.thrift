// Messages between egretcart's processes. On the wire, a frame is a four-byte
// big-endian length, an eight-byte checksum (XXH3, 64 bits) and one Frame
// struct in Thrift's binary protocol. Every field is optional, so that
// processes of neighbouring releases understand each other: field numbers are
// never reused, and unknown fields are skipped. A field that has its default
// value (see messages.py) is omitted, so defaults must never change.

struct Term { 1: optional i64 counter, 2: optional i64 holder }
struct RosterMember { 1: optional string agent_id, 2: optional i64 incarnation }
struct Roster {
  1: optional i64 version
  2: optional list<RosterMember> members
  3: optional i64 lost_before_ms
}
struct EntryAddress {
  1: optional string entry_id
  2: optional string host
  3: optional i32 port
  4: optional i32 weight
  5: optional string failure_domain
  6: optional string http_host
  7: optional i32 http_port
}

// From agents to entries.
struct AgentHello {
  1: optional string agent_id
  2: optional i64 incarnation
  3: optional string service_name
  4: optional string failure_domain
  5: optional i32 slots
  6: optional i32 connections
  7: optional bool draining
  8: optional i64 started_ms
}
struct TaskRecord {
  1: optional i32 index
  2: optional i32 attempt
  3: optional i32 state
}
struct JobRecord {
  1: optional binary job_id
  2: optional binary digest
  3: optional list<TaskRecord> tasks
}
struct FenceReply {
  1: optional Term term
  2: optional bool accepted
  3: optional i64 stamp_us
  4: optional Roster roster
  5: optional list<JobRecord> records
  6: optional i64 incarnation
  7: optional bool by_query
  8: optional i64 newest_job_ms
}
struct LedgerReply {
  1: optional i64 number
  2: optional list<JobRecord> records
}
struct HeartbeatReply {
  1: optional Term term
  2: optional i64 round
  3: optional i64 stamp_us
  4: optional i64 roster_version
  5: optional i32 running
  6: optional i32 queued
  7: optional bool draining
  8: optional i64 config_version
}
struct TaskResult {
  1: optional binary job_id
  2: optional i32 task
  3: optional i32 attempt
  4: optional Term term
  5: optional string verdict
  6: optional bool succeeded
  7: optional binary body
  8: optional string content_type
  9: optional string error
  10: optional i64 run_time_us
  11: optional bool retained
  12: optional i64 round
  13: optional i64 stamp_us
}

// From entries to agents.
struct Fence {
  1: optional Term term
  2: optional i32 cell
  3: optional bool by_query
}
struct Heartbeat {
  1: optional Term term
  2: optional i64 round
  3: optional i64 proven_stamp_us
  4: optional Roster roster
  5: optional i64 config_version
}
struct Start {
  1: optional Term term
  2: optional binary job_id
  3: optional binary digest
  4: optional i32 task
  5: optional i32 attempt
  6: optional string kind
  7: optional binary payload
  8: optional bool idempotent
  9: optional i64 time_left_ms
  10: optional i64 round
  11: optional i64 proven_stamp_us
}
struct CancelledTask { 1: optional binary job_id, 2: optional i32 task }
struct CancelTasks {
  1: optional Term term
  2: optional list<CancelledTask> tasks
}
struct FetchJob { 1: optional Term term, 2: optional binary job_id }
struct LedgerQuery {
  1: optional Term term
  2: optional i64 number
  3: optional list<binary> job_ids
  4: optional i64 made_before_ms
}

// Between entries, and from entries to agents.
struct EntryList { 1: optional list<EntryAddress> entries }
struct EntryHello {
  1: optional EntryAddress address
  2: optional i64 incarnation
}
struct CellLeader {
  1: optional string service_name
  2: optional i32 cell
  3: optional Term term
}
struct EntryBeat {
  1: optional i64 config_version
  2: optional list<CellLeader> leading
  3: optional bool leaving
  10: optional i64 interval_ms
}
struct Forward {
  1: optional i64 request_id
  2: optional string action
  3: optional string service_name
  4: optional binary job_id
  5: optional binary body
  6: optional i64 time_left_ms
}
struct ForwardReply {
  1: optional i64 request_id
  2: optional string outcome
  3: optional binary body
  4: optional i32 status
  5: optional i64 retry_after_ms
}
struct ConfigRequest { 1: optional i64 version }
struct CellRoster {
  1: optional string service_name
  2: optional i32 cell
  3: optional Roster roster
}
struct ConfigDocument {
  1: optional i64 version
  2: optional binary document
  3: optional list<CellRoster> rosters
}
struct AgentConfig { 1: optional i64 version, 2: optional bool drained }

struct Message {
  1: optional AgentHello agent_hello
  2: optional FenceReply fence_reply
  3: optional HeartbeatReply heartbeat_reply
  4: optional TaskResult task_result
  5: optional Fence fence
  6: optional Heartbeat heartbeat
  7: optional Start start
  8: optional CancelTasks cancel_tasks
  9: optional FetchJob fetch_job
  10: optional EntryList entry_list
  11: optional EntryHello entry_hello
  12: optional EntryBeat entry_beat
  13: optional Forward forward
  14: optional ForwardReply forward_reply
  15: optional ConfigRequest config_request
  16: optional ConfigDocument config_document
  17: optional AgentConfig agent_config
  18: optional LedgerQuery ledger_query
  19: optional LedgerReply ledger_reply
}
struct Frame { 1: optional list<Message> messages }
