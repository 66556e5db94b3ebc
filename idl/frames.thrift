// Frames of the peer link: what every process needs, whatever they carry.
namespace py bayhinge._internal.wire.frames

enum FrameKind { OPEN = 1, DATA = 2, END = 3, FAIL = 4, CANCEL = 5 }

// Every frame of the peer link. `clock` is the sender's hybrid logical clock.
struct Frame {
  1: required i64 stream,
  2: required FrameKind kind,
  3: required i64 clock,
  4: optional string method,
  5: optional binary payload,
}
