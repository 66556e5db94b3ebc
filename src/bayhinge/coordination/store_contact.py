"""What all calls of one process together tell of the store: whether it answers."""

from collections.abc import Callable

import attrs


@attrs.define
class StoreContact:
    """Shared by all who call one store.

    A call that was under way when the store fell silent is never answered, also after its return,
    and a waiting watch looks the same then as one without news. What shows the return is the first
    answer to any other call: those who wait with an older call learn of it here, and send it anew.

    Attributes:
        is_failing: the last call that ended brought no answer.
        on_return: called after an answer that follows failures.
    """

    is_failing: bool = False
    on_return: list[Callable[[], None]] = attrs.field(factory=list)

    def note_failure(self) -> None:
        """A call ended without an answer of the store."""
        self.is_failing = True

    def note_answer(self) -> None:
        """The store answered a call, whatever it said."""
        if not self.is_failing:
            return
        self.is_failing = False
        for listener in self.on_return:
            listener()
