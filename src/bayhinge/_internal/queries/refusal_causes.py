"""What each refusal means, and which log lines may explain it."""

import attrs

from bayhinge._internal.models.refusals import RefusalCode

SENDS = ("send.failed", "send.not_taken", "send.abandoned", "answer.passed_over")
ENDPOINTS = (
    "endpoint.restarted",
    "endpoint.came_back",
    "endpoint.displaced",
    "endpoint.vanished",
    "endpoint.gone",
    "endpoint.withdrawn",
    "endpoint.unreadable",
)
DISKS = (
    "turn.",
    "disk.silent",
    "disk.refused",
    "disk.retiring",
    "disk.started",
    "disk.stopped",
    "disks.cut_off",
    "disk_set.",
)
STORE = ("store.lost", "store.fails_again")
UPDATES = ("request.waited_for_news", *STORE)
CONFIGURATION = ("configuration.",)
HOSTS = ("host.", "home.", "hall.", "peer.")
PROOFS = ("proof.", "request.waited_for_proof")
QUOTAS = ("quota.",)
PLACES = ("place.",)
MEMORY = ("memory.",)


@attrs.frozen
class Explanation:
    """What a refusal means, and prefixes of the message types that may explain it.

    Without such prefixes, the reason and figures of the refusal itself are the explanation.
    """

    meaning: str
    lines: tuple[str, ...] = ()


_CALLER_ERROR = "Caused by the caller; the reason and the figures say what to change."

EXPLANATION_BY_CODE = {
    RefusalCode.BAD_REQUEST: Explanation(_CALLER_ERROR),
    RefusalCode.TOO_LARGE: Explanation(_CALLER_ERROR),
    RefusalCode.UNAUTHORIZED: Explanation(
        "No account has the key in the configuration that the host has applied.",
        (*CONFIGURATION, *PROOFS),
    ),
    RefusalCode.FORBIDDEN: Explanation(_CALLER_ERROR),
    RefusalCode.UNKNOWN_PROGRAM: Explanation(
        "There is no such program or route; the host may lack the newest configuration.",
        (*CONFIGURATION, *STORE),
    ),
    RefusalCode.PROGRAM_ENDED: Explanation(_CALLER_ERROR),
    RefusalCode.INDEX_GAP: Explanation(_CALLER_ERROR),
    RefusalCode.INDEX_REUSED: Explanation(_CALLER_ERROR),
    RefusalCode.HISTORY_DIFFERS: Explanation(_CALLER_ERROR),
    RefusalCode.NOT_RECORDED: Explanation(
        "No disk has the turn: it was never completed, or its retention has expired.",
        DISKS,
    ),
    RefusalCode.BUDGET_EXCEEDED: Explanation(
        "The program's other turns have used or reserved its tokens: trace the program by its id."
    ),
    RefusalCode.PROGRAM_LIMIT: Explanation(_CALLER_ERROR),
    RefusalCode.LOOP_DETECTED: Explanation(
        "The program repeats the same request: trace the program by its id."
    ),
    RefusalCode.OVERLOADED: Explanation(
        "More requests arrived than can be served.", (*SENDS, *ENDPOINTS)
    ),
    RefusalCode.QUOTA_EXCEEDED: Explanation(
        "The account exceeds its quota, which applies across all hosts.", (*QUOTAS, *CONFIGURATION)
    ),
    RefusalCode.PATIENCE_EXCEEDED: Explanation(
        "The time limit expired before an answer arrived.",
        (*PLACES, *SENDS, *ENDPOINTS, *DISKS, *UPDATES, *MEMORY),
    ),
    RefusalCode.NO_ENDPOINT: Explanation(
        "No endpoint of the service accepted the request, or none is known.",
        (*SENDS, *ENDPOINTS, *UPDATES),
    ),
    RefusalCode.NO_PLACE: Explanation(
        "All endpoints of the service were full, and none would have a place in the caller's time.",
        (*PLACES, *SENDS, *ENDPOINTS, *HOSTS),
    ),
    RefusalCode.HOST_MEMORY: Explanation(
        "The host's memory budget had no room: the figures say for how much, and what was held.",
        MEMORY,
    ),
    RefusalCode.BODY_STALLED: Explanation(
        "The request's body had stopped arriving, and other requests waited for its memory.",
        MEMORY,
    ),
    RefusalCode.ENDPOINT_FAILED: Explanation("The endpoint failed.", (*SENDS, *ENDPOINTS)),
    RefusalCode.ENDS_ENDPOINTS: Explanation(
        "Endpoints ended while they ran the request, in this attempt or earlier ones; "
        "it is sent to no other endpoint.",
        ("endpoint.ended_under", *SENDS),
    ),
    RefusalCode.OUTCOME_UNKNOWN: Explanation(
        "An endpoint may have run it without a complete answer, and it may not run twice.",
        (*SENDS, *ENDPOINTS),
    ),
    RefusalCode.STORE_UNAVAILABLE: Explanation(
        "Too few disks answered, or the store did not answer.", (*DISKS, *STORE)
    ),
    RefusalCode.CONFIG_UNKNOWN: Explanation(
        "The host can't read a route or an account, has not received it, or can't confirm it.",
        (*CONFIGURATION, *UPDATES, *PROOFS),
    ),
    RefusalCode.OWNER_UNREACHABLE: Explanation(
        "The program's owner, or the coordinator of its account's quota, did not answer.",
        (*HOSTS, *QUOTAS),
    ),
    RefusalCode.HOST_LEAVING: Explanation("The host was shutting down.", HOSTS),
    RefusalCode.CANCELLED: Explanation(_CALLER_ERROR),
}

INTERRUPTED = Explanation(
    "Part of the answer had been sent, and the rest could not be sent.",
    (*SENDS, *ENDPOINTS, *DISKS, *MEMORY),
)
CALLER_DISCONNECTED = Explanation(
    "The caller closed its connection before the answer was complete.", SENDS
)
EXPLANATION_BY_OUTCOME = {"broken_off": INTERRUPTED, "caller_left": CALLER_DISCONNECTED}
"""Requests that ended without a refusal."""
