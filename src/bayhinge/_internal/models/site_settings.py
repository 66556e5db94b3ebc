"""Settings of a host on a platform: identity, addresses, fault tolerance and bounds."""

import attrs


@attrs.frozen(eq=False, repr=False)
class SiteSettings:
    """Settings of one process of one host.

    Attributes:
        region_by_hall: the region of every hall.
        gossip_port: the UDP port of heartbeats, the same on every host.
        peer_port: the TCP port of peer links, the same on every host.
        seeds: IP addresses of hosts to contact first; they need not be up.
        is_first_start: bootstraps a new system with empty disks.
        tolerated_disks: number of disks that may be lost at once without losing acknowledged data.
        store_address: ``ip:port`` of the platform's store.
        address_keep_s: the TTL of resolved addresses, in seconds.
        grace_s: time between SIGTERM and SIGKILL.
        taken_away_s: upper bound on the time for which any host may still accept a revoked key, or
            None if unbounded.
        quota_window_s: quotas are enforced over any window of this length.
        quota_overage: fraction of a quota by which it may be exceeded.
        quota_slack: number of requests by which it may be exceeded in addition.
        memory_bytes: the memory limit of this process, or None if the settings name none.
        max_descriptors: how many descriptors it may open, or None if the settings name no number.
    """

    host: str
    hall: str
    region: str
    ip: str
    region_by_hall: dict[str, str]
    front_address: str
    ready_address: str
    directory_address: str
    gossip_port: int
    peer_port: int
    seeds: tuple[str, ...]
    data_folder: str
    is_first_start: bool
    tolerated_disks: int
    store_address: str
    address_keep_s: float
    grace_s: float
    taken_away_s: float | None = None
    quota_window_s: float = 1.0
    quota_overage: float = 0.0
    quota_slack: float = 0.0
    memory_bytes: int | None = None
    max_descriptors: int | None = None

    @property
    def gossip_address(self) -> str:
        """The address from which this host sends heartbeats."""
        return f"{self.ip}:{self.gossip_port}"

    @property
    def peer_address(self) -> str:
        """The address at which peers connect to this host."""
        return f"{self.ip}:{self.peer_port}"
