"""The fingerprint by which attempts of the same request are recognized.

Each attempt has an id of its own, and nothing that callers send numbers the requests themselves.
"""

import hashlib

from bayhinge._internal.models.routed_requests import RoutedRequest

FINGERPRINT_BYTES = 12
"""Collisions among all requests of a day are out of the question with 96 bits."""


def fingerprint_of(request: RoutedRequest) -> str:
    """Returns the same hexadecimal digest for all attempts of a request.

    It covers what an endpoint executes and on whose behalf: the method, the path and query, the
    body, the account, the program and the turn that is continued. It leaves out what differs
    between attempts: the attempt's id, the time left, and the event after which a stream resumes.
    """
    turn = request.turn
    names = (
        request.method,
        request.target,
        request.host,
        request.account_name,
        "" if turn is None else turn.program,
        "" if turn is None else turn.previous or "",
    )
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for name in names:
        encoded = name.encode("utf-8", "surrogateescape")
        # With its length, so that no two lists of names give the same bytes.
        digest.update(len(encoded).to_bytes(4, "big") + encoded)
    digest.update(request.body)
    return digest.hexdigest()
