"""The platform's list of endpoints, which may be out of date."""

import logging
from abc import ABC, abstractmethod
from typing import Any

import aiohttp
import attrs
from attrs import validators

from bayhinge._internal.models.endpoints import Endpoint, ListedEndpointState
from bayhinge._internal.utils.checked_fields import InvalidTableError, parse_form, text
from bayhinge._internal.utils.http_session import call_timeout

logger = logging.getLogger(__name__)


@attrs.frozen
class _EntryForm:
    name: str = attrs.field(validator=text())
    pool: str = attrs.field(validator=text())
    hall: str = attrs.field(validator=text())
    address: str = attrs.field(validator=text())
    state: str = attrs.field(
        validator=validators.in_([state.value for state in ListedEndpointState])
    )


class EndpointList(ABC):
    """A source of the list of endpoints."""

    @abstractmethod
    async def fetch(self) -> list[Endpoint] | None:
        """Returns the list, or None if there is no valid answer."""

    async def close(self) -> None:
        """Closes the connections."""
        return


class HttpEndpointList(EndpointList):
    """The :class:`EndpointList` over HTTP."""

    def __init__(self, base_url: str, timeout_s: float) -> None:
        self._url = f"{base_url}/v1/endpoints"
        self._timeout = call_timeout(timeout_s)
        self._session: aiohttp.ClientSession | None = None

    async def fetch(self) -> list[Endpoint] | None:
        """See :class:`EndpointList`."""
        if self._session is None:
            self._session = aiohttp.ClientSession(timeout=self._timeout)
        try:
            async with self._session.get(self._url) as response:
                response.raise_for_status()
                items = (await response.json())["endpoints"]
        except (aiohttp.ClientError, TimeoutError, ValueError, LookupError, TypeError):
            return None
        return _parse_entries(items) if isinstance(items, list) else None

    async def close(self) -> None:
        """See :class:`EndpointList`."""
        if self._session is not None:
            await self._session.close()


def _parse_entries(items: list[Any]) -> list[Endpoint]:
    """Returns the valid entries; invalid ones are logged and skipped."""
    found: list[Endpoint] = []
    findings: list[str] = []
    for item in items:
        try:
            form = parse_form(_EntryForm, item)
        except InvalidTableError as error:
            findings.append(str(error))
            continue
        state = ListedEndpointState(form.state)
        found.append(Endpoint(form.name, form.pool, form.hall, form.address, state))
    if findings:
        logger.warning("skipped %d invalid endpoint list entries: %s", len(findings), findings[:3])
    return found
