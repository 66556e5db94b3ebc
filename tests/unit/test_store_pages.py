"""Paged listings, also from a store whose pages never end."""

import asyncio
from collections.abc import AsyncIterator

import pytest

from bayhinge.coordination.errors import StoreUnavailableError
from bayhinge.coordination.store import Change, Listing, StoredObject, list_all
from tests.lib.read_only_store import ReadOnlyStore


class PagedStore(ReadOnlyStore):
    """Answers with the given pages, and repeats the last one."""

    def __init__(self, *pages: Listing) -> None:
        self.pages = list(pages)
        self.requested: list[str] = []

    async def list(self, prefix: str, after: str = "", limit: int = 500) -> Listing:
        self.requested.append(after)
        assert len(self.requested) < 100, "the listing never ends"
        return self.pages.pop(0) if len(self.pages) > 1 else self.pages[0]

    def watch(self, prefix: str, after_revision: int) -> AsyncIterator[Change]:
        raise NotImplementedError


def page(*names: str, more: bool = False, revision: int = 7) -> Listing:
    return Listing(tuple(StoredObject(f"hosts/{one}", b"", 1) for one in names), revision, more)


def test_pages_are_joined() -> None:
    store = PagedStore(page("a", "b", more=True), page("c", revision=9))
    listing = asyncio.run(list_all(store, "hosts/"))
    assert [stored.key for stored in listing.objects] == ["hosts/a", "hosts/b", "hosts/c"]
    assert listing.revision == 7
    assert store.requested == ["", "hosts/b"]


@pytest.mark.parametrize(
    "endless",
    [
        (page("a", "b", more=True),),
        (page(more=True),),
        (page("a", more=True), page(more=True)),
        (page("c", more=True), page("b", more=True)),
    ],
)
def test_pages_without_progress_are_an_error_and_not_an_endless_loop(
    endless: tuple[Listing, ...],
) -> None:
    with pytest.raises(StoreUnavailableError, match="makes no progress"):
        asyncio.run(list_all(PagedStore(*endless), "hosts/"))
