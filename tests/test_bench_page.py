"""Tests of the capacity page and of the benchmarks behind it."""

import json
import pathlib

import pytest

from bench import capacity, checks, claims, fits, page, traffic

DOCS = pathlib.Path(__file__).parent.parent / "docs"


@pytest.mark.parametrize("name", page.PAGES)
def test_tables_of_the_pages_agree_with_the_results(name):
    """Guards R17: no table is edited by hand or left out of date."""
    text = (DOCS / name).read_text()
    results = page.load(DOCS)
    assert "<!-- table: " in text
    assert page.render(text, results) == text
    # A changed result must change the page, or the check proves nothing.
    changed = json.loads(json.dumps(results))
    for row in changed["processes"]["rows"]["target"]:
        row["rss_mb"] += 1
    assert page.render(text, changed) != text


def test_a_missed_limit_is_bold_and_the_worst_come_first():
    """Guards R17: the page must show each figure that misses its limit."""
    results = page.load(DOCS)
    rows = checks.rows(results)
    assert len(rows) == len(checks.CHECKS)  # Every figure was measured.
    missed = [row for row in rows if row["held"].startswith("**misses")]
    assert all(row["what would change it"] for row in missed)
    assert len(checks.worst(results)) == min(3, len(missed))


def test_fits_find_the_law_of_the_points():
    """Guards the slopes: a fit must describe the measured points."""
    sizes = [62, 125, 250, 500]
    line = fits.fit(sizes, [3 + 2 * n for n in sizes])
    assert (line["base"], line["slope"], line["error"]) == (3, 2, 0)
    power = fits.fit(sizes, [5 * n**1.5 for n in sizes])
    assert (power["factor"], power["exponent"]) == (5, 1.5)


def test_smallest_sizes_return_rows():
    """Runs benchmarks at small sizes, to find failures before `make bench`."""
    assert capacity.measure_targets(4)["candidates"] == 1
    assert capacity.measure_prefixes(360)["held"] == 360
    assert capacity.measure_inventory(24)["document_kb"] > 0
    assert capacity.measure_relay(10)["receivers"] == 27
    row = claims.measure(20, 0.1, seed=1)
    assert (row["refused"], row["granted_per_s"] > 0) == (0, True)
    rows = {row["message"]: row for row in traffic.measure(2, 2)}
    assert {"all", "Loads", "Renewal", "Delta"} <= set(rows)
