"""Draws the chart: requests served, late and lost over time, above failures and changes."""

import io
from typing import Any

from bayhinge._internal.queries.losses.marks import MARKS, Lane
from bayhinge._internal.queries.losses.models import Losses

SIZE_INCHES = (12.0, 6.0)
COLOUR_BY_BAR = {"served": "#2e8b57", "late": "#e0a100", "lost": "#c0392b"}
COLOUR_DOWN = "#c0392b"
SHAPE_BY_TYPE_SUFFIX = {"started": "^", "in_force": "^", "restarted": "^"}
"""Mark shapes by the last part of the message type; all others are crosses."""

SVG_STYLE = {"svg.fonttype": "none", "svg.hashsalt": "bayhinge"}
"""Texts are not drawn as paths, so that a page can be searched; the salt makes ids reproducible."""


def chart_svg(losses: Losses) -> str:
    """Returns the chart as SVG."""
    # Imported here since the import is slow, and only charts need it.
    import matplotlib as mpl
    from matplotlib.figure import Figure

    with mpl.rc_context(SVG_STYLE):
        figure = Figure(figsize=SIZE_INCHES, layout="constrained")
        bars, lanes = figure.subplots(2, 1, sharex=True, height_ratios=[3, 2])
        start_s = losses.windows[0].from_s
        _draw_bars(bars, losses, start_s)
        _draw_lanes(lanes, losses, start_s)
        text = io.StringIO()
        figure.savefig(text, format="svg", metadata={"Date": None})
    return text.getvalue()


def _draw_bars(axes: Any, losses: Losses, start_s: float) -> None:
    places = [window.from_s - start_s for window in losses.windows]
    heights_by_bar = {
        "served": [window.served - window.late for window in losses.windows],
        "late": [window.late for window in losses.windows],
        "lost": [window.unanswered for window in losses.windows],
    }
    below = [0] * len(places)
    for name, heights in heights_by_bar.items():
        axes.bar(
            places,
            heights,
            width=losses.window_s * 0.95,
            bottom=below,
            align="edge",
            color=COLOUR_BY_BAR[name],
            label=name,
        )
        below = [low + height for low, height in zip(below, heights, strict=True)]
    axes.set_ylabel(f"requests that ended, each {losses.window_s:g} s")
    axes.legend(loc="upper right")


def _draw_lanes(axes: Any, losses: Losses, start_s: float) -> None:
    place_by_lane = {lane: -number for number, lane in enumerate(Lane)}
    for downtime in losses.downtimes:
        # Translucent, so that overlapping downtimes of several hosts are visible.
        axes.hlines(
            place_by_lane[Lane.HOSTS],
            downtime.from_s - start_s,
            downtime.to_s - start_s,
            color=COLOUR_DOWN,
            linewidth=8,
            alpha=0.25,
        )
    for message_type, kind in MARKS.items():
        places = [mark.at_s - start_s for mark in losses.marks if mark.message_type == message_type]
        if places:
            shape = SHAPE_BY_TYPE_SUFFIX.get(message_type.partition(".")[2], "x")
            heights = [place_by_lane[kind.lane]] * len(places)
            axes.plot(places, heights, shape, label=message_type)
    axes.set_yticks(list(place_by_lane.values()), [lane.value for lane in place_by_lane])
    axes.set_ylim(min(place_by_lane.values()) - 0.6, 0.6)
    axes.set_xlabel("seconds since the first window began; bars: hosts that were down")
    if losses.marks:
        axes.legend(loc="upper left", bbox_to_anchor=(1.0, 1.0), fontsize=7)
