// Messages between bayhinged processes, and the records of a program's journal.
namespace py bayhinge._internal.wire

enum CallKind { MODEL = 1, SERVICE = 2 }
enum MessagesMode { WHOLE = 1, NEW = 2, REWRITE = 3 }

// A caller's call, passed on to the program's owner.
struct CallRequest {
  1: required string account,
  2: required string program,
  3: optional i32 index,
  4: required CallKind kind,
  5: required string target,
  6: required string http_method,
  7: required string path,
  8: required binary body,
  9: required double patience_s,
  10: optional string idempotency_key,
  11: required bool repeatable,
  12: required MessagesMode messages_mode,
  13: required i64 resume_offset,
  14: required i32 hops,
  15: required string content_type,
}

// A piece of a model's text, at its offset in characters.
struct AnswerPart {
  1: required i64 offset,
  2: required string text,
}

// The end of an answer: everything that is not streamed text.
struct AnswerEnd {
  1: required i32 index,
  2: required i32 status,
  3: required string content_type,
  4: required binary body,
  5: required string finish_reason,
  6: required i64 prompt_tokens,
  7: required i64 completion_tokens,
  8: required i64 cached_tokens,
  9: optional binary tool_calls,
  10: required string model,
}

// One message of an answer's stream.
union AnswerItem {
  1: AnswerPart part,
  2: AnswerEnd end,
}

// Asks the owner for an earlier answer.
struct CollectRequest {
  1: required string account,
  2: required string program,
  3: required i32 index,
  4: required i64 offset,
  5: required i32 hops,
}

// Asks the owner to show, end or cancel a program; `account` is empty for operators.
struct ProgramRequest {
  1: required string verb,
  2: required string account,
  3: required string program,
  4: required i32 hops,
}

// An operator's query, answered from this host alone; parameters as in the URL.
struct OperatorQuery {
  1: required string name,
  2: required map<string, string> parameters,
}

struct GrantRequest {
  1: required string grant,
  2: required string incarnation,
  3: required string cell,
  4: required string program,
  5: required string account,
  6: required i32 index,
  7: required i64 prompt_tokens,
  8: required i64 max_tokens,
  9: required double attained_s,
  10: required i32 priority,
  11: required double patience_s,
  12: required double weight,
  13: required string shared_prefix,
  14: required i64 shared_tokens,
  15: required list<string> avoid,
}

struct GrantReply {
  1: required string grant,
  2: required string endpoint,
  3: required string address,
  4: required double waited_s,
  5: required string reason,
}

struct GrantDone {
  1: required string grant,
  2: required string cell,
  3: required string outcome,
  4: required i64 prompt_tokens,
  5: required i64 cached_tokens,
  6: required i64 completion_tokens,
  7: required double first_token_s,
  8: required double decode_s,
}

// A program has ended: what the cell holds for it can go.
struct ProgramGone {
  1: required string program,
  2: required string cell,
}

// What two hosts tell each other to keep configuration and liveness fresh.
struct News {
  1: required string incarnation,
  2: required i64 revision,
}

// The state of the host asked, and the changes that the asking one lacks.
struct NewsReply {
  1: required string incarnation,
  2: required i64 revision,
  3: required i64 first_revision,
  4: required list<binary> changes,
}

// ---- records of the journal ----

// A recorded call of an adopted program: where its record stands, and what it left.
struct AdoptedCall {
  1: required string incarnation,
  2: required i64 sequence,
  3: required i32 entry,
  4: required string digest,
  5: optional string idempotency_key,
  6: required i32 message_count,
  7: required string history_digest,
  8: required bool has_messages,
}

struct ProgramOpened {
  1: required string program,
  2: required string account,
  3: optional string parent,
  4: required i64 opened_at_ms,
  5: optional string idempotency_key,
}

struct CallStarted {
  1: required string program,
  2: required i32 index,
  3: required string digest,
  4: required string endpoint,
  5: optional string idempotency_key,
}

struct CallFinished {
  1: required string program,
  2: required i32 index,
  3: required string digest,
  4: optional string idempotency_key,
  5: required CallKind kind,
  6: required list<binary> messages,
  7: required bool rewrite,
  8: required i32 message_count,
  9: required string history_digest,
  10: required AnswerEnd answer,
  11: required i64 spend,
  12: required string text,
  13: required double service_s,
  14: optional binary failure,
}

// An endpoint that broke off the next call of a program. Without has_ended it answered nothing since.
struct EndpointLost {
  1: required string program,
  2: required string digest,
  3: required string endpoint,
  4: required string address,
  5: required bool has_ended,
}

struct ProgramEnded {
  1: required string program,
  2: required string reason,
}

struct ProgramAdopted {
  1: required ProgramOpened opened,
  2: required i64 spend,
  3: required list<AdoptedCall> calls,
  4: required i32 history_base,
  5: optional CallStarted unfinished,
  6: optional string ended,
  7: required double attained_s,
  8: optional list<EndpointLost> lost_endpoints,
}

// The start of this call was recorded, and then nothing was sent.
struct CallWithdrawn {
  1: required string program,
  2: required i32 index,
}

union Record {
  1: ProgramOpened opened,
  2: CallStarted started,
  3: CallFinished finished,
  4: ProgramEnded ended,
  5: ProgramAdopted adopted,
  6: CallWithdrawn withdrawn,
  7: EndpointLost lost,
}
