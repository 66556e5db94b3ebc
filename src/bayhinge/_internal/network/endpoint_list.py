"""The platform's lagging list of endpoints."""

from abc import ABC, abstractmethod

import aiohttp

from bayhinge._internal.models.endpoints import Endpoint, EndpointState
from bayhinge._internal.utils.http_session import call_timeout


class EndpointList(ABC):
    """Where endpoints are learned from."""

    @abstractmethod
    async def fetch(self) -> list[Endpoint] | None:
        """Returns the list, or None where the platform did not answer."""

    async def close(self) -> None:
        """Closes what is open."""
        return


class HttpEndpointList(EndpointList):
    """The list over HTTP."""

    def __init__(self, base_url: str, timeout_s: float) -> None:
        """Takes the platform's address and the time for one call, in seconds."""
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
        except (aiohttp.ClientError, TimeoutError, ValueError, KeyError):
            return None
        return [
            Endpoint(
                item["name"],
                item["pool"],
                item["hall"],
                item["address"],
                EndpointState(item["state"]),
            )
            for item in items
        ]

    async def close(self) -> None:
        """See :class:`EndpointList`."""
        if self._session is not None:
            await self._session.close()
