"""Authenticates requests: finds the account of a key and checks that the key is still valid."""

import attrs

from bayhinge._internal.models.account_keys import InvalidAccount, RoutedAccount
from bayhinge._internal.models.refusals import (
    Figure,
    Refusal,
    RefusalCode,
    RefusedError,
    not_run_refusal,
)
from bayhinge._internal.models.routed_requests import RoutedRequest
from bayhinge._internal.models.routing import Route, RoutingTable
from bayhinge._internal.services.gateway.configuration_proofs import ConfigurationProofs
from bayhinge._internal.services.gateway.store_listeners import ConfigurationState

RETRY_AFTER_S = 0.4
"""Retry delay when the host has no proof or can't read the account. By then a partitioned host is
no longer advertised, and any other host has a new proof."""

MAX_REPORTED_AGE_S = 1e6
"""Reported as the age of a missing proof, since refusal figures must be finite."""


class AdmissionRevokedError(Exception):
    """An admitted request may no longer be sent."""

    def __init__(self, code: RefusalCode, why: str) -> None:
        super().__init__(why)
        self.code = code
        self.why = why


class Admission:
    """Admits or refuses the requests of one host."""

    def __init__(self, configuration: ConfigurationState, proofs: ConfigurationProofs) -> None:
        self._configuration = configuration
        self._proofs = proofs

    async def admit(
        self, table: RoutingTable, route: Route, request: RoutedRequest
    ) -> RoutedRequest:
        """Returns the request with its account and without its credentials.

        Raises:
            RefusedError: the key belongs to no account, or this host can't verify it now.
        """
        if table.accounts is None:
            # Without accounts the credentials header belongs to the endpoint: forward it.
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
            # A fresh proof is not enough if the newest configuration is unreadable.
            if not self._has_proof:
                raise RefusedError(self._unproven_refusal())
        newest = self._configuration.table
        if newest is not None and newest is not table:
            # The proof may have led to a newer configuration.
            account = self._require_account(newest, request)
        return attrs.evolve(request, credentials=(), account=account)

    def check(self, request: RoutedRequest) -> None:
        """Checks again, right before a request is sent.

        Raises:
            AdmissionRevokedError: the key was revoked, or the freshness proof has expired.
        """
        table = self._configuration.table
        if request.key_sha256 is None or table is None or table.accounts is None:
            return
        account = table.accounts.find(request.key_sha256)
        if not isinstance(account, RoutedAccount) or account.name != request.account_name:
            raise AdmissionRevokedError(
                RefusalCode.UNAUTHORIZED, "the key was revoked while the request waited"
            )
        if not self._has_proof:
            raise AdmissionRevokedError(RefusalCode.CONFIG_UNKNOWN, self._unproven_refusal().why)

    @property
    def _has_proof(self) -> bool:
        """Whether the configuration is proven fresh, and the newest one was readable."""
        return self._proofs.may_admit and not self._configuration.unreadable.current

    def _require_account(self, table: RoutingTable, request: RoutedRequest) -> RoutedAccount:
        account = self._find(table, request.key_sha256)
        if account is None:
            shown = "bears no single key" if request.key_sha256 is None else "bears an unknown key"
            raise RefusedError(
                not_run_refusal(RefusalCode.UNAUTHORIZED, f"the request {shown}", self._proof_age())
            )
        if isinstance(account, InvalidAccount):
            raise RefusedError(
                not_run_refusal(
                    RefusalCode.CONFIG_UNKNOWN,
                    f"the entry of account '{account.name}' is unreadable: {account.why}",
                    retry_after_s=RETRY_AFTER_S,
                )
            )
        return account

    def _find(
        self, table: RoutingTable, digest: str | None
    ) -> RoutedAccount | InvalidAccount | None:
        if table.accounts is None or digest is None:
            return None
        return table.accounts.find(digest)

    def _unproven_refusal(self) -> Refusal:
        return not_run_refusal(
            RefusalCode.CONFIG_UNKNOWN,
            "this host can't verify now that the key is still valid",
            self._proof_age(),
            retry_after_s=RETRY_AFTER_S,
        )

    def _proof_age(self) -> Figure:
        return Figure("proof_age_s", round(min(self._proofs.age_s, MAX_REPORTED_AGE_S), 3))
