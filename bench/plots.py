"""Draws the measured slopes as SVG plots."""

import math
from typing import Any
from xml.sax import saxutils

from bench import slopes

WIDTH, HEIGHT, MARGIN = 520, 320, 60
_STYLE = 'font-family="sans-serif" font-size="12"'


def draw_all(results: dict[str, Any]) -> dict[str, str]:
    """Returns the plot of each measured slope by file name."""
    found = {}
    for slope in slopes.SLOPES:
        points = slope.points(results)
        if points:
            found[f"plots/{slope.name}.svg"] = draw(slope, points)
    return found


def draw(slope: slopes.Slope, points: list[tuple[float, float]]) -> str:
    """Draws measured points and their fit on a logarithmic size axis."""
    sizes, values = zip(*points, strict=True)
    low, high = math.log(min(sizes)), math.log(max(sizes))
    top = max(values) * 1.1 or 1.0

    def place(size: float, value: float) -> tuple[float, float]:
        part = (math.log(size) - low) / (high - low)
        x = MARGIN + part * (WIDTH - 2 * MARGIN)
        y = HEIGHT - MARGIN - value / top * (HEIGHT - 2 * MARGIN)
        return round(x, 1), round(min(max(y, 0.0), float(HEIGHT)), 1)

    fitted = slope.fit(results_points=points)
    steps = [math.exp(low + (high - low) * n / 40) for n in range(41)]
    line = " ".join(
        "{},{}".format(*place(s, slopes.evaluate(fitted, s))) for s in steps
    )
    title = saxutils.escape(f"{slope.title} ({slope.unit})")
    parts = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" '
        f'height="{HEIGHT}" {_STYLE}>',
        f'<rect width="{WIDTH}" height="{HEIGHT}" fill="white"/>',
        f'<text x="{MARGIN}" y="24">{title}</text>',
        f'<polyline points="{line}" fill="none" stroke="gray"/>',
        f'<text x="{WIDTH / 2}" y="{HEIGHT - 12}">{slope.x}</text>',
        f'<path d="M{MARGIN} {MARGIN}V{HEIGHT - MARGIN}'
        f'H{WIDTH - MARGIN}" fill="none" stroke="black"/>',
    ]
    for size, value in points:
        x, y = place(size, value)
        parts.append(f'<circle cx="{x}" cy="{y}" r="3"/>')
        parts.append(f'<text x="{x - 12}" y="{y - 8}">{value:g}</text>')
        parts.append(
            f'<text x="{x - 12}" y="{HEIGHT - MARGIN + 18}">{size:g}</text>'
        )
    return "\n".join([*parts, "</svg>", ""])
