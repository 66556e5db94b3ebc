"""Tells homes what this host has under way, and homes tell each other about their halls.

Datagrams carry whole figures, so one that is lost is made good by the next.
"""

import asyncio
from collections.abc import Callable, Collection, Iterable

from mode import Service

from bayhinge._internal.decisions.endpoint_book import EndpointBelief, EndpointBook
from bayhinge._internal.decisions.load_board import HostReport, LoadBoard
from bayhinge._internal.decisions.start_revisions import StartRevisions
from bayhinge._internal.exceptions import FrameError
from bayhinge._internal.network.addresses import split_address
from bayhinge._internal.network.datagrams import Datagrams
from bayhinge._internal.network.frames import decode_message, encode_message
from bayhinge._internal.services.gateway.hall_homes import HallHomes
from bayhinge._internal.services.keep_running import keep_running
from bayhinge._internal.wire.hosts import ttypes as wire

REPORT_DELAY_S = 0.01
"""Ends of requests that come so close together make one report."""

REPORT_PERIOD_S = 0.5
"""Reports of a host that has requests under way, also where nothing changes."""

HALL_PERIOD_S = 0.15
"""Between two tables that a home sends to the other homes."""

HALL_KEEP_S = 1.0
"""A hall's table that is older counts no more."""


class LoadExchange(Service):
    """One host's part in knowing loads."""

    def __init__(self, me: wire.Hello, book: EndpointBook, homes: HallHomes) -> None:
        """Takes this host's hello, the endpoints, and who the homes are."""
        super().__init__()
        self._me = me
        self._book = book
        self._homes = homes
        self._board = LoadBoard()
        self._tables_by_hall: dict[str, tuple[wire.HallLoads, float]] = {}
        self._granted_abroad: dict[str, int] = {}
        self.last_grant_by_hall: dict[str, int] = {}
        self._changed_halls: set[str] = set()
        self._busy_halls: set[str] = set()
        self._beat = 0
        self.endpoints_known_to: Callable[[], int | None] = lambda: None
        self._transport: asyncio.DatagramTransport | None = None

    async def on_start(self) -> None:
        """Opens the socket: the peer link's address, over UDP."""
        host, port = split_address(self._me.peer_address)
        self._transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: Datagrams(self._take), local_addr=(host, port)
        )
        self.add_future(keep_running("load reports", self._report_always))
        self.add_future(keep_running("hall loads", self._tell_homes))

    async def on_stop(self) -> None:
        """Closes the socket."""
        if self._transport is not None:
            self._transport.close()

    # ---- this host's own figures ----

    def own_loads(self, hall: str) -> wire.HostLoads:
        """Returns what this host has under way at a hall's endpoints."""
        self._beat += 1
        now = asyncio.get_running_loop().time()
        return wire.HostLoads(
            self._me.host,
            self._me.incarnation,
            self._beat,
            self.last_grant_by_hall.get(hall, 0),
            {
                belief.entry.instance: belief.running_here
                for belief in self._book.all()
                if belief.running_here and belief.entry.hall == hall
            },
            [
                belief.entry.instance
                for belief in self._book.all()
                if belief.ejected_until_s > now and belief.entry.hall == hall
            ],
            self.endpoints_known_to(),
        )

    def note_changed(self, belief: EndpointBelief) -> None:
        """This host has more or less under way at an endpoint than its hall's home knows."""
        if not self._changed_halls:
            asyncio.get_running_loop().call_later(REPORT_DELAY_S, self._report_changed)
        self._changed_halls.add(belief.entry.hall)

    def _report_changed(self) -> None:
        halls, self._changed_halls = self._changed_halls, set()
        for hall in halls:
            self._report(hall)

    async def _report_always(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(REPORT_PERIOD_S)
            busy = {belief.entry.hall for belief in self._book.all() if belief.running_here}
            # Once more where nothing is left, for the last report may have been lost.
            for hall in busy | self._busy_halls:
                self._report(hall)
            self._busy_halls = busy

    def _report(self, hall: str) -> None:
        home = self._homes.home_of(hall)
        if home is not None and home.host != self._me.host:
            self._send(wire.LoadNews(host=self.own_loads(hall)), home.address)

    # ---- a home's figures ----

    def hear(self, loads: wire.HostLoads) -> None:
        """Takes in what a host has under way, but at starts that are over."""
        over = self._book.start_revisions.unheard_by(loads.endpoints_known_to)
        self._board.hear(
            HostReport(
                loads.host,
                loads.incarnation,
                loads.beat,
                loads.last_grant,
                without(loads.running_by_endpoint, over),
                frozenset(loads.resting).difference(over),
            ),
            asyncio.get_running_loop().time(),
        )

    def grant(self, host: str, belief: EndpointBelief) -> int:
        """Counts a request that a host will send; 0 for an endpoint of another hall."""
        if belief.entry.hall == self._me.hall:
            return self._board.grant(host, belief.entry.instance)
        self.note_abroad(belief)
        return 0

    def note_abroad(self, belief: EndpointBelief) -> None:
        """Counts a request for another hall until that hall's next table holds it."""
        instance = belief.entry.instance
        self._granted_abroad[instance] = self._granted_abroad.get(instance, 0) + 1

    def forget_endpoint(self, endpoint: str) -> None:
        """Drops what was said and granted of an endpoint: it has started again."""
        self._board.forget_endpoint(endpoint)
        self._granted_abroad.pop(endpoint, None)
        for table, _ in self._tables_by_hall.values():
            table.running_by_endpoint.pop(endpoint, None)

    def refresh_book(self) -> None:
        """Puts a home's figures of other hosts' requests into the book."""
        now = asyncio.get_running_loop().time()
        self._board.forget_silent(now)
        running = dict(self._board.running_by_endpoint())
        complaints = self._board.complaints_by_endpoint()
        fresh_halls = {self._me.hall}
        for hall, (table, heard_s) in self._tables_by_hall.items():
            if heard_s < now - HALL_KEEP_S:
                continue
            fresh_halls.add(hall)
            for instance, count in table.running_by_endpoint.items():
                running[instance] = count + self._granted_abroad.get(instance, 0)
        for belief in self._book.all():
            instance = belief.entry.instance
            if belief.entry.hall == self._me.hall:
                belief.running_at_peers = running.get(instance, 0)
                belief.complaints = complaints.get(instance, 0)
            elif belief.entry.hall in fresh_halls:
                # The other home's sum holds this host's own requests as well.
                total = running.get(instance, self._granted_abroad.get(instance, 0))
                belief.running_at_peers = max(0, total - belief.running_here)

    async def _tell_homes(self) -> None:
        while not self.should_stop:
            if self._homes.mine:
                self._tell_hall()
            await asyncio.sleep(HALL_PERIOD_S if self._homes.mine else REPORT_PERIOD_S)

    def _tell_hall(self) -> None:
        self.refresh_book()
        self._beat += 1
        table = wire.HallLoads(
            self._me.hall,
            self._me.host,
            self._me.incarnation,
            self._beat,
            {
                belief.entry.instance: belief.running_here + belief.running_at_peers
                for belief in self._book.all()
                if belief.entry.hall == self._me.hall
            },
            self.endpoints_known_to(),
        )
        for home in self._homes.others():
            self._send(wire.LoadNews(hall=table), home.address)

    # ---- datagrams ----

    def _send(self, news: wire.LoadNews, address: str) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(encode_message(news), split_address(address))

    def _take(self, data: bytes) -> None:
        try:
            news = decode_message(wire.LoadNews(), data)
        except FrameError as error:
            self.log.warning("a datagram tells no loads: %s", error)
            return
        if news.host is not None:
            self.hear(news.host)
        if news.hall is not None:
            self._hear_hall(news.hall)

    def _hear_hall(self, table: wire.HallLoads) -> None:
        known, _ = self._tables_by_hall.get(table.hall, (None, 0.0))
        is_same_start = known is not None and known.incarnation == table.incarnation
        if known is not None and is_same_start and table.beat <= known.beat:
            return
        over = self._book.start_revisions.unheard_by(table.endpoints_known_to)
        table.running_by_endpoint = without(table.running_by_endpoint, over)
        self._tables_by_hall[table.hall] = table, asyncio.get_running_loop().time()
        for instance in table.running_by_endpoint:
            self._granted_abroad.pop(instance, None)


def without(running_by_endpoint: dict[str, int], left_out: Collection[str]) -> dict[str, int]:
    """Returns what is under way at all endpoints but some."""
    if not left_out:
        return running_by_endpoint
    return {
        endpoint: running
        for endpoint, running in running_by_endpoint.items()
        if endpoint not in left_out
    }


def sum_loads(hellos: Iterable[wire.Hello], revisions: StartRevisions) -> dict[str, int]:
    """Returns what hosts say they have under way, but at starts that are over."""
    total: dict[str, int] = {}
    for hello in hellos:
        over = revisions.unheard_by(hello.endpoints_known_to)
        for endpoint, running in without(hello.running_by_endpoint, over).items():
            total[endpoint] = total.get(endpoint, 0) + running
    return total
