"""When a host counts as partitioned from the disks."""

from bayhinge._internal.decisions.disk_reach import DiskReachability


def test_more_silent_disks_than_may_be_lost_speak_of_a_cut_until_one_answers() -> None:
    reach = DiskReachability(tolerated=2)
    for disk in ("one", "two", "two", "one"):
        reach.record_silence(disk)
    assert not reach.is_partitioned, "two disks may be lost by themselves"
    reach.record_silence("three")
    assert reach.is_partitioned
    reach.record_answer()
    assert not reach.is_partitioned
    reach.record_silence("three")
    assert not reach.is_partitioned
