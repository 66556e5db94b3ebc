"""Which endpoint a request goes to: the home of its hall says, or this host alone.

A home knows what every host has under way at its hall's endpoints; a host by itself knows
its own requests, and those of others some tenths of a second late. Where no home answers
in a moment, the host decides by itself: a home makes choices better, and is never needed.
"""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Iterable

import attrs

from bayhinge._internal.decisions.endpoint_book import EndpointBelief, EndpointBook, Wish
from bayhinge._internal.exceptions import FrameError, PeerFailureError, PeerUnreachableError
from bayhinge._internal.models.endpoint_entries import EndpointStart
from bayhinge._internal.network.frames import decode_message, encode_message
from bayhinge._internal.network.peers import Peers
from bayhinge._internal.services import methods
from bayhinge._internal.services.gateway.hall_homes import HallHomes, Home
from bayhinge._internal.services.gateway.load_exchange import LoadExchange
from bayhinge._internal.utils.running_time import running_timeout
from bayhinge._internal.wire.hosts import ttypes as wire

ANSWER_S = 0.04
"""Time for a home's answer: some ten times an ordinary one between halls."""


class Placer(ABC):
    """Chooses endpoints."""

    @abstractmethod
    async def place(self, service: str, wish: Wish, tried: Iterable[str]) -> EndpointBelief | None:
        """Returns the endpoint to send to, or None where none is left.

        The caller counts the request as under way before anything else runs.
        """

    @abstractmethod
    def note_ended(self, belief: EndpointBelief) -> None:
        """A request is no longer under way at an endpoint."""


class OwnPlacer(Placer):
    """Decides by what this host knows alone."""

    def __init__(self, book: EndpointBook) -> None:
        """Takes the endpoints."""
        self._book = book

    async def place(self, service: str, wish: Wish, tried: Iterable[str]) -> EndpointBelief | None:
        """See :class:`Placer`."""
        return self._book.choose(service, wish, tried, asyncio.get_running_loop().time())

    def note_ended(self, belief: EndpointBelief) -> None:
        """See :class:`Placer`."""


@attrs.define
class PlacementCounts:
    """Requests by who decided."""

    by_home: int = 0
    as_home: int = 0
    alone: int = 0


class HomePlacer(Placer):
    """Asks homes."""

    def __init__(
        self, book: EndpointBook, homes: HallHomes, exchange: LoadExchange, peers: Peers, hall: str
    ) -> None:
        """Takes the endpoints, the homes, the figures, and the way to other hosts."""
        self._book = book
        self._homes = homes
        self._exchange = exchange
        self._peers = peers
        self._hall = hall
        self.counts = PlacementCounts()

    async def place(self, service: str, wish: Wish, tried: Iterable[str]) -> EndpointBelief | None:
        """See :class:`Placer`."""
        passed_over = set(tried)
        wished = self._book.find_start(wish.start)
        hall = self._hall if wished is None else wished.entry.hall
        home = self._homes.home_of(hall)
        if home is not None and hall != self._homes.mine:
            belief = await self._ask(home, service, wish, passed_over)
            if belief is not None:
                return belief
        return self._decide(service, wish, passed_over)

    def note_ended(self, belief: EndpointBelief) -> None:
        """See :class:`Placer`."""
        self._exchange.note_changed(belief)

    # ---- as a home ----

    def answer(self, call: wire.PlaceCall) -> wire.PlaceReply:
        """Answers another host, as the home of this hall's endpoints."""
        if not self._homes.mine:
            home = self._homes.home_of(self._hall)
            return wire.PlaceReply("", 0, None if home is None else home.host)
        self._exchange.hear(call.loads)
        self._exchange.refresh_book()
        wish = Wish(
            EndpointStart(call.wished, call.wished_born_ms),
            call.shared_part,
            call.kept_tokens,
            call.shared_tokens,
            frozenset(call.connected or ()),
        )
        now = asyncio.get_running_loop().time()
        # The asking host would send to an address, and speak to a start, that are no more.
        unheard = self._book.start_revisions.unheard_by(call.loads.endpoints_known_to)
        belief = self._book.choose(call.service_name, wish, {*call.avoid, *unheard}, now)
        if belief is None:
            return wire.PlaceReply("", 0)
        grant = self._exchange.grant(call.loads.host, belief)
        return wire.PlaceReply(belief.entry.instance, grant)

    # ---- inside ----

    def _decide(self, service: str, wish: Wish, passed_over: set[str]) -> EndpointBelief | None:
        if self._homes.mine:
            self._exchange.refresh_book()
            self.counts.as_home += 1
        else:
            self.counts.alone += 1
        belief = self._book.choose(service, wish, passed_over, asyncio.get_running_loop().time())
        if belief is not None and belief.entry.hall != self._homes.mine:
            # The endpoint's home has not granted this one, so it must hear of it.
            self._exchange.note_changed(belief)
        return belief

    async def _ask(
        self, home: Home, service: str, wish: Wish, passed_over: set[str]
    ) -> EndpointBelief | None:
        avoid = passed_over | self._book.resting(asyncio.get_running_loop().time())
        for _ in range(2):
            call = wire.PlaceCall(
                self._exchange.own_loads(home.hall),
                service,
                wish.start.endpoint,
                wish.shared_part,
                sorted(avoid),
                wish.kept_tokens,
                wish.shared_tokens,
                wish.start.born_ms,
                self._connected(home, service, wish),
            )
            reply = await self._call(home, call)
            if reply is None:
                return None
            if reply.home is None:
                return self._take(reply, home, service, passed_over)
            other = self._homes.redirect(home.hall, reply.home)
            if other is None or other == home:
                return None
            home = other
        return None

    def _connected(self, home: Home, service: str, wish: Wish) -> list[str]:
        """Returns those of the connected endpoints that the home may choose."""
        beliefs = [self._book.find(instance) for instance in wish.connected]
        return [
            belief.entry.instance
            for belief in beliefs
            if belief is not None
            and belief.entry.hall == home.hall
            and belief.entry.service == service
        ]

    def _take(
        self, reply: wire.PlaceReply, home: Home, service: str, passed_over: set[str]
    ) -> EndpointBelief | None:
        """Checks a home's choice against what this host knows itself."""
        belief = self._book.find(reply.endpoint)
        if (
            belief is None
            or belief.entry.service != service
            or belief.entry.is_leaving
            or belief.is_doubtful
            or belief.is_displaced
            or reply.endpoint in passed_over
        ):
            return None
        self.counts.by_home += 1
        if reply.grant:
            newest = self._exchange.last_grant_by_hall.get(home.hall, 0)
            self._exchange.last_grant_by_hall[home.hall] = max(newest, reply.grant)
        else:
            self._exchange.note_changed(belief)
        return belief

    async def _call(self, home: Home, call: wire.PlaceCall) -> wire.PlaceReply | None:
        try:
            # A host that stood still knows nothing of what its home did meanwhile.
            async with running_timeout(ANSWER_S):
                answer = await self._peers.call(home.address, methods.PLACE, encode_message(call))
            reply: wire.PlaceReply = decode_message(wire.PlaceReply(), answer)
        except (TimeoutError, PeerUnreachableError, PeerFailureError, FrameError) as error:
            self._homes.suspect(home, str(error) or "no answer in time")
            return None
        return reply
