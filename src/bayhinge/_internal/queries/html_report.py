"""Renders the timeline as one HTML page, with a lane for each host and endpoint.

The page is self-contained: it needs no server and loads no other resources.
"""

import html
from collections.abc import Iterable, Iterator

import attrs

from bayhinge._internal.models.events import Event, Mechanism
from bayhinge._internal.queries.sentences import clock_text, describe
from bayhinge.coordination.clock import stamp_to_ms

LANE_HEIGHT = 34
LEFT_WIDTH = 150
PLOT_WIDTH = 1150
TOP_HEIGHT = 30
MARK_RADIUS = 5
TICKS = 10

COLOUR_BY_MECHANISM = {
    Mechanism.OWNER: "#1b6ca8",
    Mechanism.JOURNAL: "#5d8aa8",
    Mechanism.BUDGET: "#b8860b",
    Mechanism.QUEUE: "#2e8b57",
    Mechanism.PLACEMENT: "#2e8b57",
    Mechanism.ENDPOINT: "#c0392b",
    Mechanism.CACHE: "#8e44ad",
    Mechanism.CONFIG: "#7f8c8d",
    Mechanism.MEMBERSHIP: "#d35400",
    Mechanism.FRONT: "#34495e",
}

STYLE = """
body { font: 14px/1.4 system-ui, sans-serif; margin: 24px; color: #222; max-width: 1340px; }
svg { border: 1px solid #ddd; background: #fff; }
.lane { stroke: #eee; }
.name { font-size: 12px; fill: #333; }
.tick { font-size: 11px; fill: #777; }
circle { stroke: #fff; stroke-width: 1; } circle:hover { stroke: #000; stroke-width: 2; }
.legend span { margin-right: 16px; white-space: nowrap; }
.dot { display: inline-block; width: 10px; height: 10px; border-radius: 5px; margin-right: 5px; }
table { border-collapse: collapse; margin-top: 16px; width: 100%; }
td, th { text-align: left; padding: 3px 10px 3px 0; border-bottom: 1px solid #eee;
         vertical-align: top; }
td.when, td.who, td.program { white-space: nowrap; font-variant-numeric: tabular-nums; }
input { font: inherit; padding: 4px 8px; width: 360px; margin-top: 12px; }
"""

SCRIPT = """
const box = document.getElementById("filter");
box.addEventListener("input", () => {
  const wanted = box.value.toLowerCase();
  for (const item of document.querySelectorAll("[data-text]")) {
    item.style.display = item.dataset.text.toLowerCase().includes(wanted) ? "" : "none";
  }
});
"""


@attrs.frozen
class _Scale:
    """Maps timestamps to horizontal positions."""

    first_ms: int
    last_ms: int

    def place(self, event: Event) -> float:
        return self.at(stamp_to_ms(event.stamp) - self.first_ms)

    def at(self, elapsed_ms: float) -> float:
        width = max(1, self.last_ms - self.first_ms)
        return LEFT_WIDTH + PLOT_WIDTH * elapsed_ms / width


def html_report(title: str, events: list[Event]) -> str:
    """Returns the page as HTML."""
    return "\n".join(_page(title, events))


def _page(title: str, events: list[Event]) -> Iterator[str]:
    yield "<!doctype html><html lang='en'><head><meta charset='utf-8'>"
    yield f"<title>{html.escape(title)}</title><style>{STYLE}</style></head><body>"
    yield f"<h1>{html.escape(title)}</h1>"
    if not events:
        yield "<p>No host has recorded an event.</p></body></html>"
        return
    yield f"<p>{len(events)} events of {len(_hosts(events))} hosts, in causal order. "
    yield "Hover over a mark to see the reason. Marks in a host's lane are its own "
    yield "decisions; those about an endpoint are in the endpoint's lane too.</p>"
    yield "<p class='legend'>" + "".join(_legend(events)) + "</p>"
    yield from _chart(events)
    yield "<input id='filter' placeholder='show only events that mention...'>"
    yield "<table><tr><th>when (UTC)</th><th>host</th><th>what and why</th><th>program</th></tr>"
    yield from _rows(events)
    yield f"</table><script>{SCRIPT}</script></body></html>"


def _hosts(events: Iterable[Event]) -> list[str]:
    return sorted({event.host for event in events})


def _endpoints(events: Iterable[Event]) -> list[str]:
    return sorted({event.endpoint for event in events if event.endpoint})


def _legend(events: list[Event]) -> Iterator[str]:
    for mechanism in sorted({event.mechanism for event in events}):
        colour = COLOUR_BY_MECHANISM[mechanism]
        yield f"<span><i class='dot' style='background:{colour}'></i>{mechanism.value}</span>"


def _chart(events: list[Event]) -> Iterator[str]:
    lanes = [*_hosts(events), *_endpoints(events)]
    place_by_lane = {
        lane: TOP_HEIGHT + LANE_HEIGHT * (number + 0.5) for number, lane in enumerate(lanes)
    }
    times = [stamp_to_ms(event.stamp) for event in events]
    scale = _Scale(min(times), max(times))
    height = TOP_HEIGHT + LANE_HEIGHT * len(lanes) + 10
    width = LEFT_WIDTH + PLOT_WIDTH + 20
    yield f"<svg width='{width}' height='{height}' role='img' aria-label='timeline'>"
    yield from _ticks(scale, height)
    for lane, place in place_by_lane.items():
        yield f"<text class='name' x='10' y='{place + 4:.0f}'>{html.escape(lane)}</text>"
        right = LEFT_WIDTH + PLOT_WIDTH
        yield f"<line class='lane' x1='{LEFT_WIDTH}' x2='{right}' y1='{place}' y2='{place}'/>"
    for event in events:
        for lane in filter(None, (event.host, event.endpoint)):
            yield _mark(event, scale.place(event), place_by_lane[lane])
    yield "</svg>"


def _ticks(scale: _Scale, height: float) -> Iterator[str]:
    span_ms = max(1, scale.last_ms - scale.first_ms)
    for number in range(TICKS + 1):
        elapsed_ms = span_ms * number / TICKS
        place = scale.at(elapsed_ms)
        yield f"<line class='lane' x1='{place:.0f}' x2='{place:.0f}' y1='22' y2='{height}'/>"
        text = f"{elapsed_ms / 1000:.1f} s"
        yield f"<text class='tick' text-anchor='middle' x='{place:.0f}' y='16'>{text}</text>"


def _mark(event: Event, x: float, y: float) -> str:
    colour = COLOUR_BY_MECHANISM[event.mechanism]
    text = f"{clock_text(event)} {event.host}: {describe(event)} {event.program}".strip()
    escaped = html.escape(text, quote=True)
    return (
        f"<circle cx='{x:.1f}' cy='{y:.1f}' r='{MARK_RADIUS}' fill='{colour}' "
        f"data-text='{escaped}'><title>{escaped}</title></circle>"
    )


def _rows(events: list[Event]) -> Iterator[str]:
    for event in events:
        what = html.escape(describe(event))
        program = html.escape(event.program)
        text = html.escape(f"{event.host} {describe(event)} {event.program}", quote=True)
        yield (
            f"<tr data-text='{text}'><td class='when'>{clock_text(event)}</td>"
            f"<td class='who'>{html.escape(event.host)}</td><td>{what}</td>"
            f"<td class='program'>{program}</td></tr>"
        )
