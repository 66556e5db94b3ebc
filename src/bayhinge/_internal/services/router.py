"""Routes calls and commands, received at any host, to the program's owner."""

import asyncio
from collections.abc import AsyncGenerator, Callable

import attrs
from expression import Error, Ok, Result

from bayhinge._internal.commands.parse_call import parse_call
from bayhinge._internal.exceptions import PeerFailureError, PeerUnreachableError
from bayhinge._internal.models.calls import AnswerEnd, AnswerItem, AnswerPart, IncomingCall
from bayhinge._internal.models.ids import ProgramId, parse_program_id
from bayhinge._internal.models.refusals import (
    Refusal,
    RefusalCode,
    RefusedError,
    RunState,
    not_run_refusal,
    refusal_from_json,
)
from bayhinge._internal.models.views import ProgramView, to_json
from bayhinge._internal.network.frames import encode_message
from bayhinge._internal.network.peers import Peers
from bayhinge._internal.queries.program_views import view_program
from bayhinge._internal.services.adoption import Adopter, OwnerLocation, OwnerLocator
from bayhinge._internal.services.call_codec import decode_item, encode_call
from bayhinge._internal.services.owner import ProgramOwner
from bayhinge._internal.services.owner_parts import OwnedProgram
from bayhinge._internal.services.program_registry import ProgramRegistry
from bayhinge._internal.wire import ttypes as wire
from bayhinge.coordination.errors import CoordinationError
from bayhinge.coordination.membership import Membership

MAX_HOPS = 3
OWNER_PATIENCE_S = 15.0
"""How long the owner is looked for: longer than the takeover of a dead host takes."""
OWNER_RETRY_S = 0.3
"""Pause between two look-ups of an owner."""


@attrs.define
class _ForwardingState:
    """The progress of a call over several attempts to forward it.

    ``offset`` is where the answer's stream goes on, in characters. ``sent`` is true if a host
    that failed may have started the work. ``suspect`` is an incarnation that did not answer.
    """

    offset: int
    sent: bool = False
    suspect: str = ""


class CallRouter:
    """Finds owners, and forwards calls and program commands to them."""

    def __init__(
        self,
        registry: ProgramRegistry,
        local_owner: ProgramOwner,
        adopter: Adopter,
        locator: OwnerLocator,
        membership: Membership,
        peers: Peers,
        default_max_tokens: int,
    ) -> None:
        self._registry = registry
        self._local_owner = local_owner
        self._adopter = adopter
        self._locator = locator
        self._membership = membership
        self._peers = peers
        self._default_max_tokens = default_max_tokens

    async def call(self, incoming: IncomingCall) -> AsyncGenerator[AnswerItem, None]:
        """Yields the answer to a call, wherever its owner is.

        If the owner dies, a repeatable call is sent to the successor, and its stream goes on
        at the offset that was reached.

        Raises:
            RefusedError: the call gets no answer.
        """
        progress = _ForwardingState(incoming.resume_offset)

        def run_local() -> AsyncGenerator[AnswerItem, None]:
            return self._call_local(attrs.evolve(incoming, resume_offset=progress.offset), progress)

        def forward(location: OwnerLocation) -> AsyncGenerator[AnswerItem, None]:
            forwarded = attrs.evolve(
                incoming, resume_offset=progress.offset, hops=incoming.hops + 1
            )
            return self._stream(location, "call", encode_call(forwarded), progress)

        try:
            async for item in self._follow_owner(
                incoming.program, incoming.patience_s, progress, run_local, forward, incoming.hops
            ):
                yield item
        except RefusedError as error:
            raise RefusedError(_correct_run_state(error.refusal, incoming, progress)) from error

    async def read_answer(
        self, account: str, program: str, index: int, offset: int, hops: int = 0
    ) -> AsyncGenerator[AnswerItem, None]:
        """Yields an earlier answer, wherever the owner is.

        Raises:
            RefusedError: the answer is not available.
        """
        progress = _ForwardingState(offset)

        def forward(location: OwnerLocation) -> AsyncGenerator[AnswerItem, None]:
            message = wire.CollectRequest(account, program, index, progress.offset, hops + 1)
            return self._stream(location, "collect", encode_message(message), progress)

        async for item in self._follow_owner(
            program,
            OWNER_PATIENCE_S,
            progress,
            lambda: self._local_owner.read_answer(account, program, index, progress.offset),
            forward,
            hops,
        ):
            yield item

    async def command(
        self, verb: str, account: str, program: str, hops: int = 0
    ) -> Result[bytes, Refusal]:
        """Shows, ends or cancels a program, and returns its view as JSON."""
        program_id = parse_program_id(program)
        if program_id is None:
            return Error(_invalid_program(program))
        deadline = asyncio.get_running_loop().time() + OWNER_PATIENCE_S
        suspect = ""
        while True:
            location: OwnerLocation | None = None
            try:
                location = await self._locate(program_id, suspect)
                if location is not None and self._is_local(location):
                    return await self._command_local(verb, account, program_id, location)
                if location is not None and hops < MAX_HOPS:
                    return await self._forward_command(verb, account, program, hops, location)
            except PeerUnreachableError:
                suspect = "" if location is None else location.incarnation
            except RefusedError as error:
                return Error(error.refusal)
            except CoordinationError as error:
                return Error(_owner_unreachable(program, str(error)))
            if asyncio.get_running_loop().time() >= deadline:
                return Error(_owner_unreachable(program, "its owner does not answer"))
            await asyncio.sleep(OWNER_RETRY_S)

    async def find_local(
        self, program_id: ProgramId, location: OwnerLocation
    ) -> OwnedProgram | None:
        """Returns a program that this host owns, and adopts it first if necessary.

        Raises:
            StoreError: it must be adopted, and the store did not answer.
            CorruptObjectError: it must be adopted, and a journal is damaged.
        """
        found = self._registry.find(str(program_id))
        if found is None and location.path:
            found = await self._adopter.adopt_program(program_id, location.path)
        return found

    # ---- finding the owner ----

    async def _follow_owner(
        self,
        program: str,
        patience_s: float,
        progress: _ForwardingState,
        run_local: "Callable[[], AsyncGenerator[AnswerItem, None]]",
        forward: "Callable[[OwnerLocation], AsyncGenerator[AnswerItem, None]]",
        hops: int,
    ) -> AsyncGenerator[AnswerItem, None]:
        program_id = parse_program_id(program)
        if program_id is None:
            raise RefusedError(_invalid_program(program))
        loop = asyncio.get_running_loop()
        deadline = loop.time() + max(patience_s, OWNER_PATIENCE_S)
        while True:
            why = "its owner has died, and the owner's journal is not sealed yet"
            location: OwnerLocation | None = None
            try:
                location = await self._locate(program_id, progress.suspect)
                if location is not None and self._is_local(location):
                    await self.find_local(program_id, location)
                    async for item in run_local():
                        yield item
                    return
                if location is not None and hops < MAX_HOPS:
                    async for item in forward(location):
                        yield item
                    return
            except PeerUnreachableError as error:
                why = str(error)
                progress.sent = progress.sent or error.sent
                progress.suspect = "" if location is None else location.incarnation
            except CoordinationError as error:
                why = str(error)
            if loop.time() >= deadline:
                run_state = RunState.MAY_HAVE_RUN if progress.sent else RunState.NOT_RUN
                refusal = attrs.evolve(_owner_unreachable(program, why), run_state=run_state)
                raise RefusedError(refusal)
            await asyncio.sleep(OWNER_RETRY_S)

    async def _locate(self, program_id: ProgramId, suspect: str) -> OwnerLocation | None:
        if self._registry.find(str(program_id)) is not None:
            return OwnerLocation(self._membership.me.incarnation, ())
        return await self._locator.locate(program_id, suspect)

    def _is_local(self, location: OwnerLocation) -> bool:
        return location.incarnation == self._membership.me.incarnation

    def _address(self, location: OwnerLocation) -> str:
        info = self._membership.find(location.incarnation)
        if info is None:
            raise PeerUnreachableError(location.incarnation, "it is not listed", sent=False)
        return info.peer_address

    # ---- calls ----

    async def _call_local(
        self, incoming: IncomingCall, progress: _ForwardingState
    ) -> AsyncGenerator[AnswerItem, None]:
        parsed = parse_call(incoming, self._default_max_tokens)
        if parsed.is_error():
            raise RefusedError(parsed.error)
        try:
            async for item in self._local_owner.call(parsed.ok):
                if isinstance(item, AnswerPart):
                    progress.offset = item.offset + len(item.text)
                yield item
        except RefusedError as error:
            if error.refusal.code is not RefusalCode.OWNER_UNREACHABLE:
                raise
            # The program was handed over while the call waited: look up the owner again.
            sent = error.refusal.run_state is not RunState.NOT_RUN
            raise PeerUnreachableError("this host", error.refusal.why, sent) from error

    async def _stream(
        self, location: OwnerLocation, method: str, payload: bytes, progress: _ForwardingState
    ) -> AsyncGenerator[AnswerItem, None]:
        address = self._address(location)
        stream = self._peers.stream(address, method, payload)
        try:
            async for message in stream:
                item = decode_item(message)
                if isinstance(item, AnswerPart):
                    progress.offset = item.offset + len(item.text)
                yield item
                if isinstance(item, AnswerEnd):
                    return
        except PeerFailureError as error:
            refusal = refusal_from_json(error.problem)
            if refusal.code is RefusalCode.OWNER_UNREACHABLE:
                # It no longer owns the program: look up the owner again.
                sent = refusal.run_state is not RunState.NOT_RUN
                progress.sent = progress.sent or sent
                raise PeerUnreachableError(address, refusal.why, sent) from error
            raise RefusedError(refusal) from error
        finally:
            await stream.aclose()

    # ---- commands ----

    async def _command_local(
        self, verb: str, account: str, program_id: ProgramId, location: OwnerLocation
    ) -> Result[bytes, Refusal]:
        program = await self.find_local(program_id, location)
        if program is None or (account and program.state.account != account):
            why = f"no program '{program_id}' is known here"
            return Error(not_run_refusal(RefusalCode.UNKNOWN_PROGRAM, why))
        if verb == "end":
            ended = await self._registry.end(program, "its caller ended it")
        elif verb == "cancel":
            ended = await self._registry.end(program, "it was cancelled")
        else:
            ended = Ok(program_id)
        if ended.is_error():
            return Error(ended.error)
        return Ok(to_json(self.view(program)))

    async def _forward_command(
        self, verb: str, account: str, program: str, hops: int, location: OwnerLocation
    ) -> Result[bytes, Refusal]:
        message = wire.ProgramRequest(verb, account, program, hops + 1)
        try:
            answer = await self._peers.call(
                self._address(location), "program", encode_message(message)
            )
        except PeerFailureError as error:
            return Error(refusal_from_json(error.problem))
        return Ok(answer)

    def view(self, program: OwnedProgram) -> ProgramView:
        """Returns a program's view."""
        running = None if program.running is None else program.running.view.index
        return view_program(program.state, self._membership.me.host, running)


def _correct_run_state(
    refusal: Refusal, incoming: IncomingCall, progress: _ForwardingState
) -> Refusal:
    """Corrects a successor's "not run" if a dead owner may have run the work.

    A call that may not be repeated needs no correction: its start would be recorded.
    """
    if not progress.sent or not incoming.repeatable or refusal.run_state is not RunState.NOT_RUN:
        return refusal
    return attrs.evolve(refusal, run_state=RunState.MAY_HAVE_RUN)


def _invalid_program(program: str) -> Refusal:
    why = f"'{program[:80]}' is not a valid program identifier"
    return not_run_refusal(RefusalCode.BAD_REQUEST, why)


def _owner_unreachable(program: str, why: str) -> Refusal:
    return not_run_refusal(
        RefusalCode.OWNER_UNREACHABLE,
        f"the owner of program '{program}' can't be reached now: {why}",
        retry_after_s=1.0,
    )
