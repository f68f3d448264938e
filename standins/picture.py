"""Bar charts of the bench's figures as one SVG image."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from html import escape

from standins.experiment import RunReport

PANEL_WIDTH = 420
BAR_HEIGHT = 20
ROW_HEIGHT = 28
LABEL_WIDTH = 80
VALUE_WIDTH = 90
TITLE_HEIGHT = 34
MARGIN = 16
COLOURS = {
    "fcfs": "#b0532f",
    "static": "#c79a3a",
    "gossip": "#5d8a5a",
    "fair": "#2f6690",
}
OTHER_COLOUR = "#777777"
STYLE = "font: 13px system-ui, sans-serif; fill: #222222"


@dataclass(frozen=True)
class Panel:
    """Bar chart of one figure, with a bar for each policy.

    Parameters
    ----------
    title : str
        Title above the bars.
    value : callable
        Returns the figure from the report of a run.
    value_format : str
        Format string of the value.
    """

    title: str
    value: Callable[[RunReport], float]
    value_format: str


def max_p95_wait_seconds(report: RunReport, size: str) -> float:
    """Return the largest p95 wait over the kinds for one team size, seconds."""
    return max(
        (row.p95_ms / 1000 for row in report.waits if row.size == size), default=0
    )


PANELS = (
    Panel("largest gap, weighted tokens", lambda run: run.gap.tokens, "{:,.0f}"),
    Panel("slot-time busy while work waits", lambda run: run.utilisation, "{:.1%}"),
    Panel(
        "p95 wait, small teams, s",
        lambda run: max_p95_wait_seconds(run, "small"),
        "{:.1f}",
    ),
    Panel(
        "p95 wait, large teams, s",
        lambda run: max_p95_wait_seconds(run, "large"),
        "{:.1f}",
    ),
    Panel(
        "control, B/s a VM", lambda run: run.control.mean_vm_bytes_per_second, "{:,.0f}"
    ),
    Panel(
        "control between regions, B/s",
        lambda run: run.control.cross_region_bytes_per_second,
        "{:,.0f}",
    ),
)


def render_svg(runs: Sequence[RunReport]) -> str:
    """Return an SVG image with a column of panels for each preset."""
    presets = list(dict.fromkeys(run.preset for run in runs))
    columns = [[run for run in runs if run.preset == preset] for preset in presets]
    max_rows = max(len(column) for column in columns)
    panel_height = TITLE_HEIGHT + max_rows * ROW_HEIGHT + MARGIN
    width = MARGIN + len(columns) * (PANEL_WIDTH + MARGIN)
    height = TITLE_HEIGHT + len(PANELS) * panel_height + MARGIN
    parts = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{width}" height="{height}" '
        f'viewBox="0 0 {width} {height}" style="{STYLE}">',
        f'<rect width="{width}" height="{height}" fill="#ffffff"/>',
    ]
    for index, (preset, column) in enumerate(zip(presets, columns, strict=True)):
        left = MARGIN + index * (PANEL_WIDTH + MARGIN)
        parts.append(_text(left, 24, preset, "font-size: 18px; font-weight: 600"))
        for row, panel in enumerate(PANELS):
            top = TITLE_HEIGHT + row * panel_height
            parts += _panel(panel, column, left, top)
    return "\n".join((*parts, "</svg>", ""))


def _panel(panel: Panel, runs: Sequence[RunReport], left: int, top: int) -> list[str]:
    values = [panel.value(run) for run in runs]
    max_value = max((*values, 1e-9))
    max_bar_length = PANEL_WIDTH - LABEL_WIDTH - VALUE_WIDTH
    parts = [_text(left, top + 22, panel.title, "font-weight: 600")]
    for index, (run, value) in enumerate(zip(runs, values, strict=True)):
        y = top + TITLE_HEIGHT + index * ROW_HEIGHT
        x = left + LABEL_WIDTH
        length = max(1.0, max_bar_length * value / max_value)
        colour = COLOURS.get(run.policy, OTHER_COLOUR)
        parts += [
            _text(left, y + 15, run.policy),
            f'<rect x="{x}" y="{y}" width="{length:.1f}" height="{BAR_HEIGHT}" '
            f'fill="{colour}"/>',
            _text(round(x + length + 6), y + 15, panel.value_format.format(value)),
        ]
    return parts


def _text(x: int, y: int, text: str, style: str = "") -> str:
    return f'<text x="{x}" y="{y}" style="{style}">{escape(text)}</text>'
