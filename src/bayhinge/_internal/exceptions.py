"""Every error of the daemon and the tool: what happened, why, and how to mend it."""


class BayhingeError(Exception):
    """Base class of the errors that are reported to a person without a traceback."""


class SettingsError(BayhingeError):
    """Settings were refused; the findings say where and why."""

    def __init__(self, findings: tuple[str, ...]) -> None:
        """Takes the findings, a line each."""
        count = len(findings)
        super().__init__("\n".join([f"{count} finding(s) in the settings:", *findings]))
        self.findings = findings


class PeerUnreachableError(BayhingeError):
    """Another host could not be reached, or the link broke before its answer.

    ``sent`` says whether the request may have arrived.
    """

    def __init__(self, address: str, why: str, sent: bool) -> None:
        """Takes the peer's address, the transport's reason, and whether anything was sent."""
        super().__init__(
            f"Host at {address} did not answer: {why}. "
            "The request is tried at another host; check the host if this goes on."
        )
        self.address = address
        self.sent = sent


class PeerFailureError(BayhingeError):
    """Another host answered with a failure."""

    def __init__(self, problem: bytes) -> None:
        """Takes the problem document as the peer sent it."""
        super().__init__(problem.decode("utf-8", "replace"))
        self.problem = problem


class FrameError(BayhingeError):
    """A peer sent bytes that are no frame; its connection is closed."""

    def __init__(self, why: str) -> None:
        """Takes what is wrong with the bytes."""
        super().__init__(
            f"A peer sent bytes that are no frame: {why}. The connection was closed; "
            "check that only bayhinged processes of one version use the peer port."
        )


class EndpointError(BayhingeError):
    """An endpoint did not give a whole answer.

    Attributes:
        may_have_run: False only where the request can't have reached the endpoint.
        draining: the endpoint says that it is leaving.
    """

    def __init__(self, endpoint: str, why: str, may_have_run: bool, draining: bool = False) -> None:
        """Takes the endpoint's name, the reason, and what is known of the work."""
        super().__init__(
            f"Endpoint {endpoint} gave no whole answer: {why}. The call goes to another "
            "endpoint where it may be repeated; look at the endpoint if this goes on."
        )
        self.endpoint = endpoint
        self.why = why
        self.may_have_run = may_have_run
        self.draining = draining


class ApiError(BayhingeError):
    """A bayhinged answered the tool with an error."""

    def __init__(self, status: int, body: str) -> None:
        """Takes the HTTP status and the body."""
        super().__init__(f"bayhinged answered with status {status}: {body}")
        self.status = status
        self.body = body


class UnreadableObjectError(BayhingeError):
    """An object of the platform can't be used; what was known before stays in force."""

    def __init__(self, key: str, findings: tuple[str, ...]) -> None:
        """Takes the object's key and the findings, each with its place."""
        super().__init__(
            f"Object '{key}' can't be used: {'; '.join(findings)}. "
            "What was known before stays in force; mend the object in the platform's store."
        )
        self.key = key
        self.findings = findings
