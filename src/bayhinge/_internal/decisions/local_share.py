"""How many requests a host without a coordinator may have in flight at a service. Pure."""

import attrs


@attrs.frozen
class ServiceView:
    """The load of a service when a host last applied the heartbeats of the others.

    Attributes:
        running: this host's own requests in flight then.
        slots: slots of all its endpoints.
        free: slots without a request in flight, of any host.
        hosts: number of ready hosts, which may all send at once.
    """

    running: int
    slots: int
    free: int
    hosts: int


def local_limit(view: ServiceView) -> int:
    """Returns how many requests a host may have in flight until it applies heartbeats again.

    The host may add its part of the free slots, and at least one request if any slot is free and
    it uses less than its part of all slots. It may always have one request in flight. All hosts
    together exceed the slots by at most one request per host.
    """
    hosts = max(1, view.hosts)
    share = max(1, view.slots // hosts)
    additional = view.free // hosts
    if view.running < share and view.free > 0:
        additional = max(1, additional)
    return max(1, view.running + additional)
