"""Fits a line or a power law to measured values."""

import math
import statistics
from collections.abc import Sequence
from typing import Any


def fit_line(sizes: Sequence[float], values: Sequence[float]) -> dict[str, Any]:
    """Fits `value = base + slope * size`.

    Returns:
      Kind, coefficients, and the largest residual relative to the largest
      value.
    """
    slope, base = statistics.linear_regression(sizes, values)
    fitted = [base + slope * size for size in sizes]
    return {
        "fit": "linear",
        "base": _round(base),
        "slope": _round(slope),
        "error": _error(values, fitted),
    }


def fit_power(
    sizes: Sequence[float], values: Sequence[float]
) -> dict[str, Any]:
    """Fits `value = factor * size ** exponent` to positive values."""
    exponent, base = statistics.linear_regression(
        [math.log(size) for size in sizes], [math.log(v) for v in values]
    )
    factor = math.exp(base)
    fitted = [factor * size**exponent for size in sizes]
    return {
        "fit": "power",
        "factor": _round(factor),
        "exponent": _round(exponent),
        "error": _error(values, fitted),
    }


def fit(sizes: Sequence[float], values: Sequence[float]) -> dict[str, Any]:
    """Returns the fit with the smaller error; the line if both are equal."""
    line = fit_line(sizes, values)
    if min(values) <= 0:
        return line
    power = fit_power(sizes, values)
    return min(line, power, key=lambda found: found["error"])


def describe(found: dict[str, Any]) -> str:
    """Returns a fit as a formula with its error."""
    percent = round(found["error"] * 100, 1)
    if found["fit"] == "linear":
        formula = f"{found['base']:g} + {found['slope']:g} n"
    else:
        formula = f"{found['factor']:g} n^{found['exponent']:g}"
    return f"{formula} (error {percent:g}%)"


def _error(values: Sequence[float], fitted: Sequence[float]) -> float:
    largest = max(abs(value) for value in values) or 1.0
    residuals = (abs(v - f) for v, f in zip(values, fitted, strict=True))
    return round(max(residuals) / largest, 4)


def _round(value: float) -> float:
    return float(f"{value:.4g}")
