// Objects that the coordination library keeps in the platform's object API.
namespace py bayhinge.coordination.wire

// One entry of a batch. A record larger than one object is split into parts.
struct Entry {
  1: required binary data,
  2: required i32 part,
  3: required i32 parts,
}

// Ends a journal: nobody may append behind it. Names who continues its work.
struct Seal {
  1: required list<string> successors,
  2: required string sealed_by,
  3: required string reason,
}

// One journal object. `announced` names the successors that a later seal must name;
// a planned stop announces them before it moves anything. `writer` and `nonce` tell an ambiguous write of ours from another's.
struct Batch {
  1: required i32 format,
  2: required string writer,
  3: required string nonce,
  4: required list<Entry> entries,
  5: optional Seal seal,
  6: optional list<string> announced,
}

// A host's heartbeat object.
struct HostStatus {
  1: required i32 format,
  2: required string incarnation,
  3: required string host,
  4: required string hall,
  5: required string peer_address,
  6: required string public_address,
  7: required string state,
  8: required i64 beat,
  9: required i64 applied_revision,
  10: required double load,
}

// One accepted change of configuration; the key holds its revision.
struct ConfigChange {
  1: required i32 format,
  2: required string kind,
  3: required string name,
  4: optional string text,
  5: required string author,
  6: required i64 base_revision,
  7: required string nonce,
  8: required i64 accepted_at_ms,
}

// One escrow grant: units moved from a ledger to one incarnation.
struct EscrowGrant {
  1: required string incarnation,
  2: required i64 granted,
  3: required i64 settled,
  4: required bool closed,
  5: required string nonce,
}

// The ledger of one client account's budget.
struct Ledger {
  1: required i32 format,
  2: required i64 budget,
  3: required i64 spent,
  4: required list<EscrowGrant> grants,
}

// Who holds a lease, and the fencing number that goes with it.
struct LeaseState {
  1: required i32 format,
  2: required string holder,
  3: required i64 fencing,
  4: required i64 renewal,
  5: required i64 duration_ms,
  6: required string nonce,
}
