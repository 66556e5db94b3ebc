"""``bayhinge bench``: benchmarks of this code against its baselines."""

import logging
from pathlib import Path

import attrs
import cyclopts

app = cyclopts.App(name="bench", help="Measure this code against its baselines.")


@app.command
def decisions(*, quick: bool = False, json: bool = False, plots: Path | None = None) -> None:
    """Compares queueing and placement policies on simulated engines, in virtual time.

    Args:
        quick: one seed and only the headline figures, under 50 s.
        json: print one JSON object as the last line.
        plots: a folder for plots of the load sweep (takes minutes).
    """
    from bayhinge._internal.bench.decisions import run

    headline = run.run_quick() if quick else run.run_headline()
    if not json:
        for name, value in attrs.asdict(headline).items():
            print(f"{name:24} {value}")
    if not quick:
        for name, comparison in run.run_sensitivity():
            print(
                f"{name:42} p95 {comparison.chosen.p95_s:7.1f} s against "
                f"{comparison.baseline.p95_s:7.1f} s, recomputed "
                f"{comparison.chosen.wasted_tokens / 1e6:6.1f} M against "
                f"{comparison.baseline.wasted_tokens / 1e6:6.1f} M tokens, "
                f"finished {comparison.chosen.finished_share:.3f}"
            )
    if plots is not None:
        figures = list(run.run_table())
        for path in run.plot_loads(figures, plots):
            print(f"written: {path}")
    if json:
        _print_last(attrs.asdict(headline))


@app.command
def path(*, quick: bool = False, json: bool = False) -> None:
    """Measures the latency that the scheduler adds to a call, over loopback sockets.

    Args:
        quick: fewer calls, under 50 s.
        json: print one JSON object as the last line.
    """
    from bayhinge._internal.bench.path import run

    logging.disable(logging.CRITICAL)
    _print_figures(attrs.asdict(run(quick)), json)


@app.command
def recovery(
    *, quick: bool = False, json: bool = False, first_seed: int = 0, schedules: int = 0
) -> None:
    """Measures takeover, journal and memory, and runs random failure schedules.

    Args:
        quick: fewer schedules, under 50 s.
        json: print one JSON object as the last line.
        first_seed: the seed of the first schedule.
        schedules: how many schedules to run; 0 for the default number.
    """
    from bayhinge._internal.bench.recovery import run

    logging.disable(logging.CRITICAL)
    figures = run(quick, first_seed, schedules)
    _print_figures(attrs.asdict(figures), json)
    if figures.violations:
        raise SystemExit(1)


@app.command
def config(*, quick: bool = False, json: bool = False) -> None:
    """Measures how fast 350 hosts apply a configuration change.

    Args:
        quick: fewer changes, under 50 s.
        json: print one JSON object as the last line.
    """
    from bayhinge._internal.bench.config_feed import run

    logging.disable(logging.CRITICAL)
    _print_figures(attrs.asdict(run(quick)), json)


@app.command
def capacity(*, write: Path | None = None) -> None:
    """Measures the cost per unit of load, and computes what the target size needs.

    Args:
        write: the file to write the page to; by default it is printed.
    """
    from bayhinge._internal.bench.capacity import page

    logging.disable(logging.CRITICAL)
    text = page()
    if write is None:
        print(text)
        return
    write.write_text(text, encoding="utf-8")
    print(f"written: {write}")


def _print_figures(figures: dict[str, object], json: bool) -> None:
    if json:
        _print_last(figures)
        return
    for name, value in figures.items():
        print(f"{name:32} {value}")


def _print_last(figures: dict[str, object]) -> None:
    import orjson

    print(orjson.dumps(figures).decode())
