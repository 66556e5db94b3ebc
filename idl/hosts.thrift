// Messages between the processes of a deployment that keeps turns: entry hosts and disk hosts.
namespace py bayhinge._internal.wire.hosts

enum HostRole { ENTRY = 1, DISK = 2 }
enum HostPhase { STARTING = 1, READY = 2, LEAVING = 3 }

// A member of the disk set: its copies count towards write quorums. `generation` is a random
// number, drawn when the disk's folder is empty.
struct DiskMember {
  1: required string host,
  2: required i64 generation,
  3: required string address,
  4: required string hall,
}

// The member disks, over which write quorums are counted. Changed only by conditional writes to the
// object store. `previous`: the members of the previous version.
struct DiskSet {
  1: required i64 version,
  2: required list<DiskMember> members,
  3: optional list<DiskMember> previous,
}

// A heartbeat, sent to other hosts a few times a second. `is_cut_off`: it reaches disks only
// through relays; `requests_per_s`: the rate of requests that it receives. `endpoints_known_to`:
// the store's revision up to which it knows the endpoints; figures of endpoints restarted later are
// ignored.
struct Hello {
  1: required string host,
  2: required i64 incarnation,
  3: required i64 beat,
  4: required HostRole role,
  5: required HostPhase phase,
  6: required string hall,
  7: required string gossip_address,
  8: required string peer_address,
  9: required string public_address,
  10: required map<string, i64> revision_by_prefix,
  11: required map<string, i32> running_by_endpoint,
  12: required i64 disk_set_version,
  13: required list<string> known_addresses,
  14: required bool store_fails,
  15: optional bool is_cut_off = false,
  16: optional i32 requests_per_s = 0,
  17: optional i64 endpoints_known_to,
  // Hosts of the hall: age of the newest known heartbeat in which each accepts callers, by the low
  // 32 bits of the incarnation, in hundredths of a second before this heartbeat.
  18: optional map<i32, i16> age_by_start,
  // Callers of its own hall are given its address.
  19: optional bool is_told = false,
  // Age of its freshness proof when this was sent, in milliseconds. Only a hint: a heartbeat may be
  // delayed anywhere, so the age of a proof is never derived from it.
  20: optional i32 proof_age_ms,
  // Share of its memory budget that is used, in thousandths.
  21: optional i32 memory_used,
  // Field 22 was used by earlier releases.
}

// RESERVED: tokens reserved before a turn runs. SETTLED: the tokens that it used.
// TURN: a complete turn, which also settles its reservation. `endpoint_born_ms`: the incarnation of
// the endpoint that processed it, absent if unknown. `account`: the turn's client account, empty if
// no key was required, absent in entries of earlier releases. USED: a turn of another program, named
// by `attempt`, has this program's turns in its chain. `keep_s`: how long the program's entries are
// needed from now on.
enum EntryKind { RESERVED = 1, SETTLED = 2, TURN = 3, USED = 4 }

struct TurnEntry {
  1: required EntryKind kind,
  2: required string attempt,
  3: required string program,
  4: required i64 tokens,
  5: optional string previous,
  6: optional binary text,
  7: optional string endpoint,
  8: optional double keep_s,
  9: optional i64 endpoint_born_ms,
  10: optional string account,
}

// A disk's answer to a reservation. Host and disk must know the same version of the disk set; a
// disk accepts reservations of newly assigned programs only after it has caught up.
enum FenceVerdict { TAKEN = 1, HOST_IS_BEHIND = 2, DISK_IS_BEHIND = 3, NOT_YET = 4 }

// `disk_set_version`: the version that the requesting host knows. `max_chain_bytes`: of the chain's
// texts in the reply, which has one turn at least; absent from hosts that need the whole chain.
struct ReserveTurn {
  1: optional TurnEntry reservation,
  2: optional string previous,
  3: required bool wants_chain,
  4: optional i64 disk_set_version,
  5: optional i64 max_chain_bytes,
}

// The maps hold the program's turns: reserved tokens of open ones, used tokens of settled ones.
// `account` is that of the chain's last turn, as in its entry; `programs`: those of the chain's turns.
// `earlier`: the turn that ends the part of the chain that was left out; absent if it is whole.
struct ReserveReply {
  1: required i64 generation,
  2: required map<string, i64> open_by_attempt,
  3: required map<string, i64> settled_by_attempt,
  4: optional binary chain,
  5: optional string missing,
  6: optional string endpoint,
  7: optional i64 endpoint_born_ms,
  8: optional FenceVerdict verdict = FenceVerdict.TAKEN,
  9: optional string account,
  10: optional list<string> programs,
  11: optional string earlier,
}

struct AppendEntries { 1: required list<TurnEntry> entries }
struct AppendReply { 1: required i64 generation }

// Requests the keys that a disk has written after a position of its log, of the programs that
// `asker` stores. The reply is based on the disk set version that it contains. A position counts in
// one opening of the log alone: `opening` is drawn at each start, and a query of another one is
// answered from the log's beginning on.
struct KeysQuery {
  1: required i64 generation,
  2: required i64 after,
  3: required DiskMember asker,
  4: optional i64 opening,
}
struct KeysReply {
  1: required i64 generation,
  2: required i64 position,
  3: required bool more,
  4: required list<string> keys,
  5: required i64 disk_set_version,
  6: optional bool has_caught_up = true,
  7: optional i64 opening,
}
struct EntriesQuery { 1: required list<string> keys }

// `answered`: how many of the keys, from the first on, the reply is about, as a reply is bounded in
// bytes; absent for all of them.
struct EntriesReply {
  1: required list<TurnEntry> entries,
  2: optional i64 disk_set_version = 0,
  3: optional i32 answered,
}

struct LackingReply { 1: required list<string> keys }

// Objects of the platform's store as known to a host. `revision`: the store's revision of their
// newest change; `complete_to`: the store's revision up to which no change is missing.
// `is_after_outage`: read shortly after the store's recovery, so missing entries may have expired.
struct KnownObjects {
  1: required i64 revision,
  2: required map<string, binary> value_by_key,
  3: required i64 complete_to,
  4: optional bool is_after_outage = false,
}
struct ObjectsQuery { 1: required string prefix }

// A call that the receiver relays to a disk that the sender can't reach.
struct RelayCall { 1: required string address, 2: required string method, 3: required binary payload }

// One host's requests in flight at the endpoints of one hall. `beat` orders the messages of one
// incarnation of the host; `last_grant`: the newest of the hall coordinator's grants that is
// counted here. `resting`: ejected endpoints. `endpoints_known_to`, here and below: as in a
// heartbeat. `relative_duration_by_endpoint`: in thousandths, the usual duration of requests at an
// endpoint over that of its service, as learned by this host.
struct HostLoads {
  1: required string host,
  2: required i64 incarnation,
  3: required i64 beat,
  4: required i64 last_grant,
  5: required map<string, i32> running_by_endpoint,
  6: required list<string> resting,
  7: optional i64 endpoints_known_to,
  8: optional map<string, i32> relative_duration_by_endpoint,
}

// All hosts' requests in flight at the endpoints of one hall, as known to the hall coordinator.
// `waiting_by_service`: requests that wait at the coordinator for a free place.
struct HallLoads {
  1: required string hall,
  2: required string host,
  3: required i64 incarnation,
  4: required i64 beat,
  5: required map<string, i32> running_by_endpoint,
  6: optional i64 endpoints_known_to,
  7: optional map<string, i32> waiting_by_service,
  8: optional map<string, i32> relative_duration_by_endpoint,
}

// What is known of a send. CLAIMED: a host is about to send a request; to which endpoint is not known.
// SENT: its bytes may have left. UNSERVED: it has failed or was given up. OUTLIVED: its endpoint has
// answered something that was sent after the run was over. ENDED: its endpoint has ended. CLEARED: it
// counts for nothing any more. WITHDRAWN: nothing was sent, or the endpoint has not run it.
enum SendStage {
  CLAIMED = 1, SENT = 2, UNSERVED = 3, OUTLIVED = 4, ENDED = 5, CLEARED = 6, WITHDRAWN = 7
}

// One send. `number`: chosen by its host; the upper bits stand for the process. `host`: the peer address
// of its host. `sent_us_ago`, `broken_us_ago`: microseconds before this message; the latter is absent
// while the send is under way. `over_in_ms`: after this message its endpoint can no longer be at work
// on it; negative if that is past. In a change, fields that have not changed are absent.
struct SendRecord {
  1: required i64 number,
  2: required i8 stage,
  3: optional string endpoint,
  4: optional i64 endpoint_born_ms,
  5: optional i32 over_in_ms,
  6: optional i32 broken_us_ago,
  7: optional i32 sent_us_ago,
  8: optional string host,
}

// Tells that a request is about to be sent, and asks for its earlier sends. `request`: its fingerprint;
// `has_program`: it names its program.
struct SendClaim {
  1: required binary request,
  2: required i64 number,
  3: required i32 over_in_ms,
  4: optional bool has_program = true,
}

// Answers a claim. `process`: upper bits of the numbers of the answering process's sends. `sends`: those
// known before the claim; `own`: those of the process itself that are under way; absent if there are
// none.
struct SendAnswer {
  1: required i64 number,
  2: required i64 process,
  3: optional list<SendRecord> sends,
  4: optional list<i64> own,
}

// The sends of one request, told to a host that lacks some of them.
struct RequestSends {
  1: required binary request,
  2: required list<SendRecord> sends,
  3: optional bool has_program = true,
}

// A datagram between hosts; exactly one field is set. Fields 3 and 4 were used by earlier releases.
// `changes`: of sends that the receiver was told in claims. `served`: numbers of sends that served their
// requests.
struct LoadNews {
  1: optional HostLoads host,
  2: optional HallLoads hall,
  5: optional SendClaim claim,
  6: optional SendAnswer answer,
  7: optional list<SendRecord> changes,
  8: optional list<i64> served,
  9: optional RequestSends sends,
}

// Requests an endpoint from a hall coordinator. `wished`: the endpoint that has the request's
// history in cache, or empty; `wished_born_ms`: its incarnation, if known. `avoid`: endpoints that
// the requesting host will not send to. `kept_tokens`: prompt tokens in the cache of `wished`;
// `shared_tokens`: tokens of `shared_part`. `waited_ms`: how long the request has waited, here and at
// earlier coordinators; `max_wait_ms`: how long the coordinator may keep the call unanswered while all
// endpoints are full, 0 for an answer at once. `time_left_ms`: until the caller gives up;
// `objective_left_ms`: until the latency objective is missed; `program_left_ms`: until the program
// should be over. `caller_key`: hash of account, program and route, to recognize a caller that
// returns after a refusal.
struct PlaceCall {
  1: required HostLoads loads,
  2: required string service_name,
  3: required string wished,
  4: required string shared_part,
  5: required list<string> avoid,
  6: optional i32 kept_tokens = 0,
  7: optional i32 shared_tokens = 0,
  8: optional i64 wished_born_ms,
  // Endpoints to which the requesting host has an idle connection.
  9: optional list<string> connected,
  10: optional i32 waited_ms = 0,
  11: optional i32 urgency = 5,
  12: optional string account = "",
  13: optional bool begins_program = false,
  14: optional i32 time_left_ms,
  15: optional i32 program_left_ms,
  16: optional i32 max_wait_ms = 0,
  17: optional i32 objective_left_ms,
  18: optional i64 caller_key,
}

// `endpoint` is empty if none is available. A host that is not the hall coordinator grants nothing
// and returns the coordinator in `home`. `is_waiting`: no place became free within `max_wait_ms`.
// `retry_after_ms`: the request is to be refused; when its caller should retry. `expected_wait_ms`
// and `waiting_ahead`: the figures behind that.
struct PlaceReply {
  1: required string endpoint,
  2: required i64 grant,
  3: optional string home,
  4: optional bool is_waiting = false,
  5: optional i32 retry_after_ms,
  6: optional i32 expected_wait_ms,
  7: optional i32 waiting_ahead,
}

// Requests a host's freshness proof of the configuration.
struct ProofCall { 1: required string host }

// `revision`: the newest configuration's when the store was queried, absent without a proof.
// `age_ms`: the time since the query was sent, an upper bound of the proof's age.
struct ProofReply { 1: optional i64 revision, 2: optional double age_ms }

// Requests permission from a client account's quota coordinator to send one request. `rate_per_s`
// and `burst`: the requesting host's limits, of configuration `version`. `begins_program`: the
// request is a program's first turn. `unused`: requests granted recently that no endpoint has run.
// `silent`: higher-ranked hosts that did not answer.
struct QuotaCall {
  1: required string host,
  2: required string account,
  3: required i64 version,
  4: required double rate_per_s,
  5: required double burst,
  6: required bool begins_program,
  7: required i32 unused,
  8: required list<string> silent,
}

// `home` is set if the host is not the quota coordinator, and grants nothing. `wait_s`: the delay
// after which a request that was not granted should be retried.
struct QuotaReply {
  1: required bool granted,
  2: optional double wait_s,
  3: optional string home,
}
