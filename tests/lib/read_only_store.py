"""A store that is only read: whoever writes to it fails."""

from bayhinge.coordination.store import ObjectStore, StoredObject


class ReadOnlyStore(ObjectStore):
    """Refuses what a reader never asks for; lists and changes are a subclass's."""

    async def get(self, key: str) -> StoredObject | None:
        raise NotImplementedError

    async def create(self, key: str, value: bytes) -> StoredObject:
        raise NotImplementedError

    async def update(self, key: str, value: bytes, version: int) -> StoredObject:
        raise NotImplementedError

    async def delete(self, key: str, version: int) -> None:
        raise NotImplementedError
