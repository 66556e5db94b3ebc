"""Fair shares of service time among client accounts, by virtual service counters. Pure.

After Sheng et al., "Fairness in serving large language models" (OSDI 2024): each grant adds the
expected service time to its account's counter, and the account with the smallest counter is served
next. An account uses one counter for all services; where it starts is decided for each group of
requests that compete with each other, those of one service and urgency.
"""

from collections.abc import Iterable

import attrs

from bayhinge._internal.decisions.estimates import Deviation

MICROSECONDS_PER_S = 1_000_000
"""Counters are whole microseconds: sums don't depend on the order of the additions, so the
predicted order of grants equals the actual one."""

INITIAL_EXPECTED_S = 1.0
"""Expected service time before the first request of a service has ended. Only its ratio to other
services matters; it must not be 0, as one account could then get all places at a cold start."""

LONG_DURATION_DEVIATIONS = 1.0
"""Mean deviations above the usual duration, so that places aren't given to requests that would end
just too late."""

MAX_DEBT_S = 10.0
"""Service time by which an account that begins to wait may be ahead of the group's virtual time.
More can't come from competition within the group, but from other services, where nobody else may
have needed the places."""

IDLE_ACCOUNT_S = 60.0
"""Accounts without activity for this time are forgotten. By then the virtual time of a busy group
has passed their counters, and in a group that isn't busy the counters don't matter."""

MAX_ACCOUNTS = 2000
"""Accounts that are remembered; of more, the least recently active ones are forgotten unless their
requests wait. Bounds memory; far more than deployments have."""

MAX_FORGOTTEN_AT_ONCE = 8
"""Accounts that are looked at for each request, so that no request pays for many."""

Group = tuple[str, int]
"""Service and urgency of requests that compete with each other."""


@attrs.define
class _Charges:
    """Expected service times that were charged for requests that have not ended yet."""

    count: int = 0
    total_us: int = 0

    def add(self, expected_us: int) -> None:
        """Adds the charge of a request that got a place."""
        self.count += 1
        self.total_us += expected_us

    def take(self) -> int:
        """Removes one charge, the average one; returns 0 if there is none."""
        if not self.count:
            return 0
        average_us = self.total_us // self.count
        self.count -= 1
        self.total_us -= average_us
        return average_us


@attrs.define
class _Account:
    """One account.

    Attributes:
        used_us: service time charged at all services.
        offset_us_by_group: what to add to ``used_us`` for its counter in a group; set when it
            begins to wait there.
        waiting_in: groups in which its requests wait.
        charges_by_service: charges for its running requests.
        active_s: when it was last active, on the monotonic clock.
    """

    used_us: int = 0
    offset_us_by_group: dict[Group, int] = attrs.field(factory=dict)
    waiting_in: set[Group] = attrs.field(factory=set)
    charges_by_service: dict[str, _Charges] = attrs.field(factory=dict)
    active_s: float = 0.0

    def counter_us(self, group: Group) -> int:
        """Returns the virtual service counter in a group."""
        return self.used_us + self.offset_us_by_group.get(group, 0)


class AccountShares:
    """Virtual service counters of the accounts. Requests without account form one account."""

    def __init__(self) -> None:
        self._account_by_name: dict[str, _Account] = {}
        self._waiting_by_group: dict[Group, set[str]] = {}
        self._virtual_us_by_group: dict[Group, int] = {}
        self._duration_by_service: dict[str, Deviation] = {}
        self._now_s = 0.0

    def __len__(self) -> int:
        return len(self._account_by_name)

    def expected_s(self, service: str) -> float:
        """Returns the expected service time of a request, in seconds."""
        duration = self._duration_by_service.get(service)
        return INITIAL_EXPECTED_S if duration is None else duration.value

    def long_duration_s(self, service: str) -> float:
        """Returns a service time that most requests stay below, in seconds."""
        duration = self._duration_by_service.get(service)
        return INITIAL_EXPECTED_S if duration is None else duration.high(LONG_DURATION_DEVIATIONS)

    def expected_us(self, service: str) -> int:
        """Returns the expected service time in whole microseconds, at least 1."""
        return max(1, round(self.expected_s(service) * MICROSECONDS_PER_S))

    def counter_us(self, group: Group, name: str) -> int:
        """Returns an account's counter among its group, in microseconds.

        For an account without waiting requests, it is where the account would start.
        """
        account = self._account_by_name.get(name)
        virtual_us = self._virtual_us_by_group.get(group, 0)
        if account is None:
            return virtual_us
        if group in account.waiting_in:
            return account.counter_us(group)
        max_us = virtual_us + round(MAX_DEBT_S * MICROSECONDS_PER_S)
        return min(max_us, max(virtual_us, account.counter_us(group)))

    def counters_us(self, group: Group, names: Iterable[str]) -> dict[str, int]:
        """Returns the counters of accounts among their group, in microseconds."""
        return {name: self.counter_us(group, name) for name in names}

    def start_waiting(self, group: Group, name: str, now_s: float) -> None:
        """Records that an account without waiting requests in a group has one now.

        Its counter starts at the virtual time of the group, so that it has no credit from the time
        when it did not compete.
        """
        account = self._activate(name, now_s)
        account.offset_us_by_group[group] = self.counter_us(group, name) - account.used_us
        account.waiting_in.add(group)
        self._waiting_by_group.setdefault(group, set()).add(name)

    def stop_waiting(self, group: Group, name: str) -> None:
        """Records that no request of an account waits in a group any more."""
        account = self._account_by_name.get(name)
        if account is None or group not in account.waiting_in:
            return
        account.waiting_in.discard(group)
        names = self._waiting_by_group[group]
        names.discard(name)
        if not names:
            del self._waiting_by_group[group]

    def record_grant(self, group: Group, name: str, now_s: float) -> None:
        """Charges the expected service time of a request that got a place.

        Called before :meth:`stop_waiting`, as the granted request still competed.
        """
        counter_us = self.counter_us(group, name)
        smallest_us = min(
            (
                self._account_by_name[other].counter_us(group)
                for other in self._waiting_by_group.get(group, ())
            ),
            default=counter_us,
        )
        virtual_us = self._virtual_us_by_group.get(group, 0)
        self._virtual_us_by_group[group] = max(virtual_us, min(counter_us, smallest_us))
        account = self._activate(name, now_s)
        if group not in account.waiting_in:
            account.offset_us_by_group[group] = counter_us - account.used_us
        expected_us = self.expected_us(group[0])
        account.used_us += expected_us
        account.charges_by_service.setdefault(group[0], _Charges()).add(expected_us)

    def record_duration(self, service: str, name: str, duration_s: float) -> None:
        """Replaces the expected service time of a request by its actual one, in seconds.

        A request that an earlier coordinator granted is charged as a whole.
        """
        duration_s = max(0.0, duration_s)
        duration = self._duration_by_service.get(service)
        if duration is None:
            self._duration_by_service[service] = Deviation(duration_s, 0.0)
        else:
            duration.add(duration_s)
        account = self._activate(name, self._now_s)
        charges = account.charges_by_service.get(service, _Charges())
        account.used_us += round(duration_s * MICROSECONDS_PER_S) - charges.take()
        if not charges.count:
            account.charges_by_service.pop(service, None)

    def _activate(self, name: str, now_s: float) -> _Account:
        """Returns an account, created if unknown, and records that it is active now.

        The accounts are kept in the order of their last activity. Some of those that were idle
        longest are forgotten.
        """
        # Requests that have waited at an earlier coordinator carry times in the past.
        self._now_s = now_s = max(now_s, self._now_s)
        account = self._account_by_name.pop(name, None) or _Account()
        account.active_s = now_s
        self._account_by_name[name] = account
        for _ in range(MAX_FORGOTTEN_AT_ONCE):
            if not self._forget_one(name, now_s):
                break
        return account

    def _forget_one(self, kept: str, now_s: float) -> bool:
        """Forgets the least recently active account if it is idle or one too many.

        An account whose requests wait counts as active now. Returns whether to look at the next.
        """
        name, account = next(iter(self._account_by_name.items()))
        is_excess = len(self._account_by_name) > MAX_ACCOUNTS
        is_idle = now_s - account.active_s > IDLE_ACCOUNT_S
        if name == kept or not (is_idle or is_excess):
            return False
        del self._account_by_name[name]
        if account.waiting_in:
            account.active_s = now_s
            self._account_by_name[name] = account
        return True
