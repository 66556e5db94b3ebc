"""Requests grants from a cell's queue dispatcher, at this host or a peer."""

import asyncio
import logging

from tenacity import (
    AsyncRetrying,
    RetryError,
    retry_if_exception_type,
    stop_after_attempt,
    wait_random_exponential,
)

from bayhinge._internal.decisions.offers import CallCompletion, Offer, Outcome
from bayhinge._internal.exceptions import FrameError, PeerFailureError, PeerUnreachableError
from bayhinge._internal.models.refusals import (
    RefusalCode,
    RefusedError,
    not_run_refusal,
    refusal_from_json,
)
from bayhinge._internal.network.frames import decode_message, encode_message
from bayhinge._internal.network.peers import Peers
from bayhinge._internal.services.grants import GrantedEndpoint, GrantSource
from bayhinge._internal.services.queue_dispatcher import DispatcherGrant, QueueDispatcher
from bayhinge._internal.wire import ttypes as wire
from bayhinge.coordination.membership import HostInfo, Membership
from bayhinge.coordination.rendezvous import rank

logger = logging.getLogger(__name__)

MAX_DISPATCHERS_TRIED = 3

NOTIFY_ATTEMPTS = 5
NOTIFY_MAX_BACKOFF_S = 4.0
"""Waits of 1, 2, 4 and 4 s at most, each with full jitter, to outlast a reconnection. A dispatcher
that misses a call's end counts the call as running until the owner's process ends."""


class RemoteGrants(GrantSource):
    """Asks a cell's dispatcher, chosen by rendezvous hashing over the serving hosts."""

    def __init__(
        self, membership: Membership, local_dispatcher: QueueDispatcher, peers: Peers
    ) -> None:
        self._membership = membership
        self._local_dispatcher = local_dispatcher
        self._peers = peers
        self._background: set[asyncio.Task[None]] = set()

    async def request(self, pool: str, offer: Offer) -> GrantedEndpoint:
        """Asks the dispatchers of the program's cell, in order of rank, until one answers.

        Raises:
            RefusedError: the call is refused, or none of the dispatchers tried was reachable.
        """
        cell = self._local_dispatcher.cell_of(pool, offer.program)
        for dispatcher in self._dispatchers(cell)[:MAX_DISPATCHERS_TRIED]:
            try:
                granted = await self._request_at(dispatcher, cell, offer)
            except PeerUnreachableError as error:
                # The next in rank becomes dispatcher once the failed host is removed from the
                # membership. Until then, two dispatchers may each fill an endpoint's slots.
                logger.info("queue dispatcher %s is unreachable: %s", dispatcher.host, error)
                continue
            return GrantedEndpoint(
                granted.grant,
                cell,
                granted.endpoint,
                granted.address,
                granted.waited_s,
                dispatcher.peer_address,
            )
        why = "none of the queue dispatchers tried for the call's pool (three at most) answered"
        raise RefusedError(not_run_refusal(RefusalCode.OWNER_UNREACHABLE, why, retry_after_s=1.0))

    def done(self, granted: GrantedEndpoint, done: CallCompletion) -> None:
        """See :class:`GrantSource`."""
        if granted.dispatcher_address == self._membership.me.peer_address:
            self._local_dispatcher.done(granted.cell, done)
        else:
            self._send_done(granted.dispatcher_address, granted.cell, done)

    def _send_done(self, address: str, cell: str, done: CallCompletion) -> None:
        message = wire.GrantDone(
            done.grant,
            cell,
            done.outcome.value,
            done.prompt_tokens,
            done.cached_tokens,
            done.completion_tokens,
            done.first_token_s,
            done.decode_s,
        )
        self._send(address, "done", encode_message(message))

    def program_ended(self, program: str, pools: frozenset[str]) -> None:
        """See :class:`GrantSource`."""
        for pool in sorted(pools):
            cell = self._local_dispatcher.cell_of(pool, program)
            dispatchers = self._dispatchers(cell)
            if not dispatchers:
                continue
            if dispatchers[0].incarnation == self._membership.me.incarnation:
                self._local_dispatcher.program_ended(cell, program)
            else:
                message = encode_message(wire.ProgramGone(program, cell))
                self._send(dispatchers[0].peer_address, "gone", message)

    def _dispatchers(self, cell: str) -> list[HostInfo]:
        by_incarnation = {info.incarnation: info for info in self._membership.serving()}
        return [by_incarnation[name] for name in rank(f"cell/{cell}", by_incarnation)]

    async def _request_at(self, dispatcher: HostInfo, cell: str, offer: Offer) -> DispatcherGrant:
        if dispatcher.incarnation == self._membership.me.incarnation:
            return await self._local_dispatcher.request(cell, offer)
        payload = encode_message(offer_to_wire(cell, offer))
        try:
            answer = await self._peers.call(dispatcher.peer_address, "grant", payload)
        except PeerFailureError as error:
            raise RefusedError(refusal_from_json(error.problem)) from error
        try:
            reply = decode_message(wire.GrantReply(), answer)
        except FrameError as error:
            # It may have granted a slot, which nobody else would release.
            self._send_done(
                dispatcher.peer_address, cell, CallCompletion(offer.grant, Outcome.NOT_SENT)
            )
            raise PeerUnreachableError(dispatcher.peer_address, str(error), sent=True) from error
        return DispatcherGrant(
            reply.grant, reply.endpoint, reply.address, reply.waited_s, reply.reason
        )

    def _send(self, address: str, method: str, payload: bytes) -> None:
        task = asyncio.create_task(self._send_with_retries(address, method, payload))
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    async def _send_with_retries(self, address: str, method: str, payload: bytes) -> None:
        retrying = AsyncRetrying(
            retry=retry_if_exception_type(PeerUnreachableError),
            stop=stop_after_attempt(NOTIFY_ATTEMPTS),
            wait=wait_random_exponential(max=NOTIFY_MAX_BACKOFF_S),
        )
        try:
            await retrying(self._peers.call, address, method, payload)
        except RetryError as error:
            why = error.last_attempt.exception()
            logger.warning(
                "notification '%s' was not delivered to the queue dispatcher in %d attempts: %s",
                method,
                NOTIFY_ATTEMPTS,
                why,
            )
        except PeerFailureError as error:
            logger.info("the queue dispatcher rejected notification '%s': %s", method, error)


def offer_to_wire(cell: str, offer: Offer) -> wire.GrantRequest:
    """Returns the wire form of an offer."""
    return wire.GrantRequest(
        offer.grant,
        offer.incarnation,
        cell,
        offer.program,
        offer.account,
        offer.index,
        offer.prompt_tokens,
        offer.max_tokens,
        offer.attained_s,
        offer.priority,
        offer.patience_s,
        offer.weight,
        offer.shared_prefix,
        offer.shared_tokens,
        sorted(offer.avoid),
    )


def offer_from_wire(request: wire.GrantRequest) -> Offer:
    """Returns an offer from its wire form."""
    return Offer(
        request.grant,
        request.incarnation,
        request.program,
        request.account,
        request.index,
        request.prompt_tokens,
        request.max_tokens,
        request.attained_s,
        request.priority,
        request.patience_s,
        request.weight,
        request.shared_prefix,
        request.shared_tokens,
        frozenset(request.avoid),
    )


def done_from_wire(message: wire.GrantDone) -> CallCompletion:
    """Returns the end of a grant from its wire form."""
    return CallCompletion(
        message.grant,
        Outcome(message.outcome),
        message.prompt_tokens,
        message.cached_tokens,
        message.completion_tokens,
        message.first_token_s,
        message.decode_s,
    )
