"""Guards against a burst that moves turns to engines that must recompute their prompts."""

import pytest

from bayhinge._internal.bench.decisions.placing import PlacementSimulation, ProgramLoad, SiteShape
from bayhinge._internal.decisions import placement_weights
from bayhinge_standins.engine_model import ModelSpeed

BURST = ProgramLoad(programs_per_s=30, burst=1.8)


def test_a_burst_delays_few_programs_and_recomputes_few_prompts() -> None:
    outcome = PlacementSimulation(SiteShape(), BURST).run()
    assert outcome.share_on_time >= 0.98
    assert outcome.prefilled_tokens <= 1.25 * outcome.new_prompt_tokens


@pytest.mark.parametrize(
    ("name", "value", "least_lost"),
    [("TOKENS_PER_REQUEST", 1e9, 0.2), ("TOKENS_PER_REQUEST", 4000.0, 0.05)],
)
def test_the_burst_reveals_a_wrong_weight(
    monkeypatch: pytest.MonkeyPatch, name: str, value: float, least_lost: float
) -> None:
    monkeypatch.setattr(placement_weights, name, value)
    load = ProgramLoad(programs_per_s=36, burst=1.8)
    assert PlacementSimulation(SiteShape(), load).run().share_on_time <= 1.0 - least_lost


@pytest.mark.parametrize(
    "shape",
    [
        SiteShape(halls=2, engines_per_hall=3),
        SiteShape(halls=4, engines_per_hall=4, slots=32, speed=ModelSpeed(max_batch=32)),
        SiteShape(halls=3, engines_per_hall=2, slots=64, speed=ModelSpeed(max_batch=64)),
    ],
)
def test_sites_of_other_shapes_serve_the_same_load_per_engine(shape: SiteShape) -> None:
    engines = shape.halls * shape.engines_per_hall
    outcome = PlacementSimulation(
        shape, ProgramLoad(programs_per_s=engines, burst=1.8, arrivals_s=15)
    ).run()
    assert outcome.share_on_time >= 0.98
