"""Errors of the daemon and the command-line tool; messages say what happened and how to fix it."""


class BayhingeError(Exception):
    """Base class of errors that are reported to users without a traceback."""


class SettingsError(BayhingeError):
    """The settings are invalid; there is one finding per problem."""

    def __init__(self, findings: tuple[str, ...]) -> None:
        count = len(findings)
        super().__init__("\n".join([f"{count} finding(s) in the settings:", *findings]))
        self.findings = findings


class PeerUnreachableError(BayhingeError):
    """Another host could not be reached, or the connection broke before its answer.

    ``sent`` is whether the request may have arrived.
    """

    def __init__(self, address: str, why: str, sent: bool) -> None:
        super().__init__(
            f"Host at {address} did not answer: {why}. "
            "The request is retried at another host; check the host if this persists."
        )
        self.address = address
        self.sent = sent


class PeerFailureError(BayhingeError):
    """Another host answered with an error document."""

    def __init__(self, problem: bytes) -> None:
        super().__init__(problem.decode("utf-8", "replace"))
        self.problem = problem


class FrameError(BayhingeError):
    """Data of a peer, a file or the store is invalid, or a peer's request can't be served."""

    def __init__(self, why: str) -> None:
        super().__init__(
            f"Invalid data: {why}. If it came from a peer, "
            "check that only bayhinged processes of the same version use the peer port."
        )


class EndpointError(BayhingeError):
    """An endpoint did not return a complete answer.

    Attributes:
        may_have_run: False only if the request can't have reached the endpoint.
        draining: the endpoint reported that it is draining.
    """

    def __init__(self, endpoint: str, why: str, may_have_run: bool, draining: bool = False) -> None:
        super().__init__(
            f"Endpoint {endpoint} returned no complete answer: {why}. The call is retried at "
            "another endpoint if it is repeatable; check the endpoint if this persists."
        )
        self.endpoint = endpoint
        self.why = why
        self.may_have_run = may_have_run
        self.draining = draining


class ApiError(BayhingeError):
    """bayhinged answered the command-line tool with an error."""

    def __init__(self, status: int, body: str) -> None:
        super().__init__(f"bayhinged answered with status {status}: {body}")
        self.status = status
        self.body = body


class UnreadableObjectError(BayhingeError):
    """An object of the platform is invalid; its previous version stays in effect."""

    def __init__(self, key: str, findings: tuple[str, ...]) -> None:
        super().__init__(
            f"Object '{key}' is invalid: {'; '.join(findings)}. "
            "Its previous version stays in effect; fix the object in the platform's store."
        )
        self.key = key
        self.findings = findings
