"""When a host treats itself as partitioned from the disks."""

from bayhinge._internal.decisions.disk_reachability import DiskReachability


def test_more_silent_disks_than_tolerated_mean_a_partition_until_one_answers() -> None:
    reachability = DiskReachability(tolerated=2)
    for disk in ("one", "two", "two", "one"):
        reachability.record_silence(disk)
    assert not reachability.is_partitioned, "two lost disks are tolerated"
    reachability.record_silence("three")
    assert reachability.is_partitioned
    reachability.record_answer()
    assert not reachability.is_partitioned
    reachability.record_silence("three")
    assert not reachability.is_partitioned
