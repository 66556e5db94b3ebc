"""Guards against predictions that are judged by the last part of a wait only."""

from bayhinge._internal.decisions.first_predictions import KEEP_S, FirstPredictions


def test_the_prediction_of_the_first_call_of_a_wait_is_kept() -> None:
    predictions = FirstPredictions()
    assert predictions.find("a", 10.0) is None
    predictions.record_call("a", 10.0, 3.0, 10.001)
    predictions.record_call("a", 10.004, 2.8, 10.2)
    wait = predictions.find("a", 9.997)
    assert wait is not None
    assert (wait.began_s, wait.predicted_s) == (10.001, 3.0)


def test_waits_of_other_callers_and_times_have_their_own_prediction() -> None:
    predictions = FirstPredictions()
    predictions.record_call("a", 10.0, 3.0, 10.0)
    assert predictions.find("b", 10.0) is None
    assert predictions.find("a", 10.1) is None


def test_waits_without_calls_are_forgotten() -> None:
    predictions = FirstPredictions()
    predictions.record_call("a", 10.0, 3.0, 10.0)
    predictions.record_call("b", 10.0, 3.0, 10.0 + KEEP_S)
    assert predictions.find("a", 10.0) is not None
    predictions.record_call("b", 10.0, 3.0, 10.0 + 2.5 * KEEP_S)
    assert predictions.find("a", 10.0) is None
    assert predictions.find("b", 10.0) is not None
