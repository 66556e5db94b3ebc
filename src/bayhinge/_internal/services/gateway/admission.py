"""Whether a request may be served at all: whose key it bears, and whether that key still counts."""

import attrs

from bayhinge._internal.models.account_keys import ClosedAccount, RoutedAccount
from bayhinge._internal.models.refusals import (
    Figure,
    Refusal,
    RefusalCode,
    RefusedError,
    refuse_unaccepted,
)
from bayhinge._internal.models.routed_requests import RoutedRequest
from bayhinge._internal.models.routing import Route, RoutingTable
from bayhinge._internal.services.gateway.configuration_proofs import ConfigurationProofs
from bayhinge._internal.services.gateway.store_listeners import ConfigurationState

RETRY_AFTER_S = 0.4
"""When a request should come again that met a host without a proof, or a closed account: a host
that is cut off is on no list by then, and elsewhere a proof comes within a fraction of a second."""

MAX_REPORTED_AGE_S = 1e6
"""What stands for the age of a proof that there is not: figures are numbers."""


class AdmissionRevokedError(Exception):
    """A request that was let in may not be sent any more."""

    def __init__(self, code: RefusalCode, why: str) -> None:
        """Takes what its caller is told."""
        super().__init__(why)
        self.code = code
        self.why = why


class Admission:
    """One host's door."""

    def __init__(self, configuration: ConfigurationState, proofs: ConfigurationProofs) -> None:
        """Takes what the host believes, and how sure it is of it."""
        self._configuration = configuration
        self._proofs = proofs

    async def admit(
        self, table: RoutingTable, route: Route, request: RoutedRequest
    ) -> RoutedRequest:
        """Returns the request with its account and without its key.

        Raises:
            RefusedError: it bears no key of any account, or nobody can say here whether it does.
        """
        if table.accounts is None:
            # Nothing here makes the header ours, so it goes on like any other.
            return attrs.evolve(
                request,
                headers=request.headers + request.credentials,
                credentials=(),
                key_sha256=None,
            )
        if route.is_public:
            account = self._find(table, request.key_sha256)
            named = account if isinstance(account, RoutedAccount) else None
            return attrs.evolve(request, credentials=(), key_sha256=None, account=named)
        account = self._require_account(table, request)
        if not self._has_proof:
            await self._proofs.wait(request.attempt)
            # A proof alone is not enough where the newest configuration can't be read.
            if not self._has_proof:
                raise RefusedError(self._unproven_refusal())
        newest = self._configuration.table
        if newest is not None and newest is not table:
            # The proof has brought a newer one.
            account = self._require_account(newest, request)
        return attrs.evolve(request, credentials=(), account=account)

    def check(self, request: RoutedRequest) -> None:
        """Checks once more, right before a request is sent.

        Raises:
            AdmissionRevokedError: its key was taken away, or the proof has become too old.
        """
        table = self._configuration.table
        if request.key_sha256 is None or table is None or table.accounts is None:
            return
        account = table.accounts.find(request.key_sha256)
        if not isinstance(account, RoutedAccount) or account.name != request.account_name:
            raise AdmissionRevokedError(
                RefusalCode.UNAUTHORIZED, "the key was taken away while the request waited"
            )
        if not self._has_proof:
            raise AdmissionRevokedError(RefusalCode.CONFIG_UNKNOWN, self._unproven_refusal().why)

    @property
    def _has_proof(self) -> bool:
        """Whether the newest configuration is surely young enough, and could be read."""
        return self._proofs.may_admit and not self._configuration.unreadable.current

    def _require_account(self, table: RoutingTable, request: RoutedRequest) -> RoutedAccount:
        account = self._find(table, request.key_sha256)
        if account is None:
            shown = "shows no single key" if request.key_sha256 is None else "bears an unknown key"
            raise RefusedError(
                refuse_unaccepted(
                    RefusalCode.UNAUTHORIZED, f"the request {shown}", self._proof_age()
                )
            )
        if isinstance(account, ClosedAccount):
            raise RefusedError(
                refuse_unaccepted(
                    RefusalCode.CONFIG_UNKNOWN,
                    f"account '{account.name}' can't be read: {account.why}",
                    retry_after_s=RETRY_AFTER_S,
                )
            )
        return account

    def _find(
        self, table: RoutingTable, digest: str | None
    ) -> RoutedAccount | ClosedAccount | None:
        if table.accounts is None or digest is None:
            return None
        return table.accounts.find(digest)

    def _unproven_refusal(self) -> Refusal:
        return refuse_unaccepted(
            RefusalCode.CONFIG_UNKNOWN,
            "this host can't be sure whether the key still counts",
            self._proof_age(),
            retry_after_s=RETRY_AFTER_S,
        )

    def _proof_age(self) -> Figure:
        return Figure("proof_age_s", round(min(self._proofs.age_s, MAX_REPORTED_AGE_S), 3))
