"""Renders the losses as a self-contained HTML page."""

import html
from collections.abc import Iterable, Iterator

from bayhinge._internal.queries.losses.chart import chart_svg
from bayhinge._internal.queries.losses.models import LIMITATIONS, Kind, Losses
from bayhinge._internal.queries.losses.report import causes_text, phases_text

MAX_ROWS = 500
"""Maximum rows of a table, since large pages open slowly; the page says how many are omitted."""

STYLE = """
body { font: 14px/1.4 system-ui, sans-serif; margin: 24px; color: #222; max-width: 1340px; }
svg { max-width: 100%; height: auto; }
table { border-collapse: collapse; margin: 8px 0 24px; }
td, th { text-align: left; padding: 3px 14px 3px 0; border-bottom: 1px solid #eee;
         vertical-align: top; font-variant-numeric: tabular-nums; }
"""


def loss_chart(losses: Losses) -> str:
    """Returns only the chart, as SVG."""
    return chart_svg(losses)


def loss_page(losses: Losses) -> str:
    """Returns the page as HTML."""
    return "\n".join(_page(losses))


def _page(losses: Losses) -> Iterator[str]:
    chart = chart_svg(losses)
    yield "<!doctype html><html lang='en'><head><meta charset='utf-8'>"
    yield f"<title>bayhinge losses</title><style>{STYLE}</style></head><body>"
    yield "<h1>Where time was lost</h1>"
    yield chart[chart.index("<svg") :]
    yield "<h2>Usual durations: medians of the requests served without delay</h2>"
    usual = losses.usual_s_by_service.items()
    yield from _table(("service", "ms"), ((name, f"{took_s * 1000:.0f}") for name, took_s in usual))
    yield "<h2>Programs by outcome</h2>"
    kinds = ((kind.value, str(losses.count_by_kind[kind])) for kind in Kind)
    yield from _table(("kind", "programs"), kinds)
    yield "<h2>Where their time went</h2>"
    phases = losses.s_by_phase.items()
    yield from _table(("phase", "s"), ((phase, f"{seconds:.2f}") for phase, seconds in phases))
    yield "<h2>Requests by cause</h2>"
    causes = losses.count_by_cause.most_common()
    yield from _table(("cause", "requests"), ((str(cause), str(count)) for cause, count in causes))
    yield "<h2>Programs that lost time or an answer, worst first</h2>"
    yield from _table(
        ("first at, s", "lost s", "kind", "program", "phases", "causes"), _rows(losses)
    )
    yield "<h2>Failures and changes</h2>"
    yield from _table(("at, s", "event", "subject", "lines"), _marks(losses))
    yield "<h2>Limitations</h2><ul>"
    yield from (f"<li>{html.escape(sentence)}</li>" for sentence in LIMITATIONS)
    yield "</ul></body></html>"


def _rows(losses: Losses) -> Iterator[tuple[str, ...]]:
    start_s = losses.windows[0].from_s
    for program in losses.programs:
        yield (
            f"{program.at_s - start_s:.2f}",
            f"{program.lost_s:.2f}",
            program.kind.value,
            program.name,
            phases_text(program),
            causes_text(program),
        )


def _marks(losses: Losses) -> Iterator[tuple[str, ...]]:
    start_s = losses.windows[0].from_s
    for downtime in losses.downtimes:
        until = f"down until {downtime.to_s - start_s:.2f}"
        yield f"{downtime.from_s - start_s:.2f}", until, downtime.host, ""
    for mark in losses.marks:
        yield f"{mark.at_s - start_s:.2f}", mark.message_type, mark.subject, str(mark.count)


def _table(heads: tuple[str, ...], rows: Iterable[tuple[str, ...]]) -> Iterator[str]:
    yield "<table><tr>" + "".join(f"<th>{html.escape(head)}</th>" for head in heads) + "</tr>"
    left_out = 0
    for number, row in enumerate(rows):
        if number >= MAX_ROWS:
            left_out += 1
            continue
        yield "<tr>" + "".join(f"<td>{html.escape(cell)}</td>" for cell in row) + "</tr>"
    yield "</table>"
    if left_out:
        yield f"<p>and {left_out} more</p>"
