"""A store that supports only lists and changes."""

from bayhinge.coordination.store import ObjectStore, StoredObject


class ReadOnlyStore(ObjectStore):
    """Raises on every other call; subclasses define lists and changes."""

    async def get(self, key: str) -> StoredObject | None:
        raise NotImplementedError

    async def create(self, key: str, value: bytes) -> StoredObject:
        raise NotImplementedError

    async def update(self, key: str, value: bytes, version: int) -> StoredObject:
        raise NotImplementedError

    async def delete(self, key: str, version: int) -> None:
        raise NotImplementedError
