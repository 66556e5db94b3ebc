// Messages between the processes of a deployment that keeps turns: entry hosts and disk hosts.
namespace py bayhinge._internal.wire.hosts

enum HostRole { ENTRY = 1, DISK = 2 }
enum HostPhase { STARTING = 1, READY = 2, LEAVING = 3 }

// One disk of the set that counts. `generation` is drawn when its folder is empty.
struct DiskMember {
  1: required string host,
  2: required i64 generation,
  3: required string address,
  4: required string hall,
}

// Which disks count. Changed by conditional writes to the object store alone. `previous`: the
// members of the version before.
struct DiskSet {
  1: required i64 version,
  2: required list<DiskMember> members,
  3: optional list<DiskMember> previous,
}

// A host's heartbeat, sent to others a few times a second. `is_cut_off`: it is partitioned, and
// reaches disks only through others; `requests_per_s`: what callers ask of it.
// `endpoints_known_to`: the store's revision up to which it knows the endpoints, so that its figures
// of one that restarted later are left out.
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
  // Hosts of the hall: when each was last seen to accept callers. By the low 32 bits
  // of the incarnation, in hundredths of a second before this heartbeat.
  18: optional map<i32, i16> age_by_start,
  // Callers of its own hall are told of it.
  19: optional bool is_told = false,
  // How old its freshness proof of the configuration was when this was sent, in milliseconds. A hint
  // alone: a heartbeat may have waited anywhere, so nobody counts a proof as this young.
  20: optional i32 proof_age_ms,
}

// RESERVED: tokens set aside before a turn runs. SETTLED: what it used in the end.
// TURN: a whole turn, which settles its reservation as well. `endpoint_born_ms`: which incarnation
// of the endpoint ran it, absent where that is not known. `account`: whose turn it is, empty
// where no key was asked for, absent in entries of earlier releases.
enum EntryKind { RESERVED = 1, SETTLED = 2, TURN = 3 }

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

// What a disk says to a reservation. The set of disks must be the same at both; a disk whose share
// of programs has grown takes none of theirs before it has caught up.
enum FenceVerdict { TAKEN = 1, HOST_IS_BEHIND = 2, DISK_IS_BEHIND = 3, NOT_YET = 4 }

// `disk_set_version` is the asking host's.
struct ReserveTurn {
  1: optional TurnEntry reservation,
  2: optional string previous,
  3: required bool wants_chain,
  4: optional i64 disk_set_version,
}

// The maps hold the program's turns: open ones at their most, settled ones at what they used.
// `account` is that of the chain's last turn, as in its entry.
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
}

struct AppendEntries { 1: required list<TurnEntry> entries }
struct AppendReply { 1: required i64 generation }

// Asks what a disk has written behind a position of its log, of the programs that `asker`
// keeps. The disk answers by the set that it knows, and says which one that is.
struct KeysQuery { 1: required i64 generation, 2: required i64 after, 3: required DiskMember asker }
struct KeysReply {
  1: required i64 generation,
  2: required i64 position,
  3: required bool more,
  4: required list<string> keys,
  5: required i64 disk_set_version,
  6: optional bool has_caught_up = true,
}
struct EntriesQuery { 1: required list<string> keys }
struct EntriesReply { 1: required list<TurnEntry> entries, 2: optional i64 disk_set_version = 0 }

struct LackingReply { 1: required list<string> keys }

// Objects of the platform's store as a host knows them, in revisions of the store: the last
// change among them, and the revision up to which nothing is missing. `is_after_outage`: it was
// learned right after the store came back, so what is missing may have lapsed meanwhile.
struct KnownObjects {
  1: required i64 revision,
  2: required map<string, binary> value_by_key,
  3: required i64 complete_to,
  4: optional bool is_after_outage = false,
}
struct ObjectsQuery { 1: required string prefix }

// A call that a host passes on to another, which the sender can't reach itself.
struct RelayCall { 1: required string address, 2: required string method, 3: required binary payload }

// What one host has under way at the endpoints of one hall. `beat` orders the messages of an
// incarnation of the host; `last_grant` is the newest grant of the hall coordinator that is
// counted in here. `resting`: endpoints that it has ejected.
// `endpoints_known_to` is as in a heartbeat, here and below.
struct HostLoads {
  1: required string host,
  2: required i64 incarnation,
  3: required i64 beat,
  4: required i64 last_grant,
  5: required map<string, i32> running_by_endpoint,
  6: required list<string> resting,
  7: optional i64 endpoints_known_to,
}

// What all hosts together have under way at the endpoints of one hall, as its coordinator knows it.
struct HallLoads {
  1: required string hall,
  2: required string host,
  3: required i64 incarnation,
  4: required i64 beat,
  5: required map<string, i32> running_by_endpoint,
  6: optional i64 endpoints_known_to,
}

// A datagram between entry hosts: one of the two.
struct LoadNews { 1: optional HostLoads host, 2: optional HallLoads hall }

// Asks a hall coordinator for an endpoint. `wished` is the placement preference: the endpoint that
// holds the request's history, or empty. `wished_born_ms` is its incarnation, where that is known;
// `avoid` names endpoints that the asking host will not send to. `kept_tokens` of the prompt
// were read at `wished`, `shared_tokens` are those of `shared_part`.
struct PlaceCall {
  1: required HostLoads loads,
  2: required string service_name,
  3: required string wished,
  4: required string shared_part,
  5: required list<string> avoid,
  6: optional i32 kept_tokens = 0,
  7: optional i32 shared_tokens = 0,
  8: optional i64 wished_born_ms,
  // Endpoints to which the asking host has a connection that is free.
  9: optional list<string> connected,
}

// `endpoint` is empty where none is left. A host that is not the hall's coordinator names
// it in `home`, and grants nothing.
struct PlaceReply {
  1: required string endpoint,
  2: required i64 grant,
  3: optional string home,
}

// Asks a host for its freshness proof: which configuration was the newest at some moment.
struct ProofCall { 1: required string host }

// `revision`: of the newest configuration when the store was asked, absent where the host has no
// proof. `age_ms`: for how long, when this is said, the store's answer has been on its way or known
// at most; it begins when the store was asked.
struct ProofReply { 1: optional i64 revision, 2: optional double age_ms }

// Asks the coordinator of a client account's quota for the right to send one request. `rate_per_s` and
// `burst` are the asking host's limits, of configuration `version`. `begins_program`: the request is
// a program's first turn. `unused`: requests that were granted lately and that no endpoint has run.
// `silent`: hosts that come before this one and did not answer.
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

// `home` is set where the host is not the account's quota coordinator and grants nothing. `wait_s`: when a
// request that was not granted should come again.
struct QuotaReply {
  1: required bool granted,
  2: optional double wait_s,
  3: optional string home,
}
