"""Structured log lines, statsd metrics and the state dump of a process."""

import json
import logging
import math
import time
from collections.abc import Callable
from typing import Any, TextIO

import msgspec
import statsd
from hdrh.histogram import HdrHistogram
from pythonjsonlogger import core

from carobsail import settings

LOGGER_NAME = "carobsail"
REDACTED = "redacted"
# Limit for each type of metric. One histogram takes about 18 KB, and the whole
# process has 32 MB (requirement R17).
MAX_SERIES = 256
# Histograms record in units of 0.1 ms (a tenth of a millisecond), up to one
# hour.
_UNITS_PER_MS = 10
_MAX_UNITS = 3_600_000 * _UNITS_PER_MS
_SIGNIFICANT_DIGITS = 2
_PERCENTILES = (50, 95, 99)

_SECRET_ENDINGS = (
    "authorization",
    "cookie",
    "credential",
    "credentials",
    "key",
    "key_hashes",
    "keys",
    "mac",
    "password",
    "secret",
    "secrets",
    "token",
)


def is_secret(name: str) -> bool:
    """Returns whether the value of a field of this name must not be shown."""
    plain = name.lower().replace("-", "_")
    return plain in _SECRET_ENDINGS or plain.endswith(
        tuple(f"_{ending}" for ending in _SECRET_ENDINGS)
    )


def redact(value: Any) -> Any:
    """Returns a copy of plain data with secret fields redacted."""
    if isinstance(value, dict):
        return {
            name: REDACTED if is_secret(str(name)) else redact(item)
            for name, item in value.items()
        }
    if isinstance(value, list | tuple):
        return [redact(item) for item in value]
    return value


class KeyValueFormatter(core.BaseJsonFormatter):
    """Formats an event as one line of key=value pairs."""

    def add_fields(
        self,
        log_data: dict[str, Any],
        record: logging.LogRecord,
        message_dict: dict[str, Any],
    ) -> None:
        """See base class."""
        created = time.strftime(
            "%Y-%m-%dT%H:%M:%S", time.gmtime(record.created)
        )
        log_data["time"] = f"{created}.{int(record.msecs):03d}Z"
        log_data["level"] = record.levelname.lower()
        log_data["event"] = record.message
        super().add_fields(log_data, record, message_dict)

    def process_log_record(self, log_data: dict[str, Any]) -> dict[str, Any]:
        """See base class."""
        return redact(log_data)

    def jsonify_log_record(self, log_data: dict[str, Any]) -> str:
        """See base class."""
        return " ".join(f"{k}={_format_value(v)}" for k, v in log_data.items())


def _format_value(value: Any) -> str:
    if isinstance(value, bool) or value is None:
        return str(value).lower()
    if isinstance(value, float):
        return f"{value:.6g}"
    if isinstance(value, dict | list):
        value = json.dumps(value, default=str, separators=(",", ":"))
    text = str(value)
    if text and text.isprintable() and not set(text) & set(' "=\\'):
        return text
    return json.dumps(text)


def configure_logging(level: str, stream: TextIO) -> logging.Logger:
    """Writes the log events of this process to a stream.

    Args:
      level: `debug`, `info`, `warning` or `error`.
      stream: Receives one line per event.

    Returns:
      The logger to pass to `log`.
    """
    return configure_logging_handler(level, logging.StreamHandler(stream))


def configure_logging_handler(
    level: str, handler: logging.Handler
) -> logging.Logger:
    """Writes the log events of this process to a handler.

    Args:
      level: `debug`, `info`, `warning` or `error`.
      handler: Receives the events; its formatter is replaced.

    Returns:
      The logger to pass to `log`.
    """
    handler.setFormatter(KeyValueFormatter([]))
    logger = logging.getLogger(LOGGER_NAME)
    logger.handlers[:] = [handler]
    logger.propagate = False
    logger.setLevel(level.upper())
    return logger


def log(
    logger: logging.Logger,
    event: str,
    *,
    level: int = logging.INFO,
    **fields: Any,
) -> None:
    """Logs one event; values of fields named like secrets are redacted."""
    if logger.isEnabledFor(level):
        # The fields are passed as a dict message, because `extra` rejects names
        # that LogRecord reserves.
        logger.log(level, {"event": event, **fields})


class Metrics:
    """Counters, gauges and timings, sent to statsd and kept for the dump.

    Recording never raises: a value that cannot be recorded or sent is dropped.

    Attributes:
      dropped: Values dropped, because the name or value is invalid, there are
        too many metrics, or sending to statsd failed.
    """

    __slots__ = ("_client", "_counters", "_gauges", "_histograms", "dropped")

    def __init__(self, address: str = "", prefix: str = "carobsail") -> None:
        """Creates an empty set of metrics.

        Args:
          address: `host:port` of the statsd server; empty to send nothing.
          prefix: Prefix of each metric's name in statsd.

        Raises:
          ValueError: The address is malformed.
        """
        self._client: statsd.StatsClient | None = None
        if address:
            host, port = settings.parse_address(address)
            self._client = statsd.StatsClient(
                host, port, prefix=prefix, ipv6=":" in host
            )
        self._counters: dict[str, int] = {}
        self._gauges: dict[str, float] = {}
        self._histograms: dict[str, HdrHistogram] = {}
        self.dropped = 0

    def count(self, name: str, by: int = 1) -> None:
        """Adds to a counter."""
        if self._accept(name, self._counters, by):
            self._counters[name] = self._counters.get(name, 0) + by
            self._send("incr", name, by)

    def record_duration_ms(self, name: str, milliseconds: float) -> None:
        """Records a duration in milliseconds."""
        if not self._accept(name, self._histograms, milliseconds):
            return
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = HdrHistogram(1, _MAX_UNITS, _SIGNIFICANT_DIGITS)
            self._histograms[name] = histogram
        units = round(milliseconds * _UNITS_PER_MS)
        histogram.record_value(min(max(units, 0), _MAX_UNITS))
        self._send("timing", name, milliseconds)

    def gauge(self, name: str, value: float) -> None:
        """Sets a gauge."""
        if self._accept(name, self._gauges, value):
            self._gauges[name] = value
            self._send("gauge", name, value)

    def close(self) -> None:
        """Closes the socket; later values are only kept for the dump."""
        client, self._client = self._client, None
        if client is not None:
            client.close()

    def dump(self) -> dict[str, Any]:
        """Returns all counters, gauges and histogram percentiles."""
        return {
            "counters": dict(self._counters),
            "gauges": dict(self._gauges),
            "timings_ms": {
                name: _summarize(histogram)
                for name, histogram in self._histograms.items()
            },
            "dropped": self.dropped,
        }

    def to_text(self) -> str:
        """Returns all metrics as sorted lines `name value`.

        A histogram has lines for its percentiles and maximum in ms and for its
        count.
        """
        lines = [f"{name}_total {n}" for name, n in self._counters.items()]
        lines += [f"{name} {value:g}" for name, value in self._gauges.items()]
        for name, histogram in self._histograms.items():
            for part, value in _summarize(histogram).items():
                unit = "" if part == "count" else "_ms"
                lines.append(f"{name}_{part}{unit} {value:g}")
        lines.append(f"metrics_dropped_total {self.dropped}")
        return "\n".join(sorted(lines)) + "\n"

    def _accept(self, name: str, series: dict[str, Any], value: Any) -> bool:
        """Returns whether to record a value; counts it as dropped if not.

        Rejects names and values that statsd would misread, and new names above
        the limit.
        """
        if (
            isinstance(value, int | float)
            and math.isfinite(value)
            and name.isascii()
            and not set(name) & set(":|@\n ")
            and (name in series or len(series) < MAX_SERIES)
        ):
            return True
        self.dropped += 1
        return False

    def _send(self, method: str, name: str, value: float) -> None:
        if self._client is None:
            return
        try:
            getattr(self._client, method)(name, value)
        except (OSError, ValueError, TypeError):
            self.dropped += 1


def _summarize(histogram: HdrHistogram) -> dict[str, float]:
    summary = {
        f"p{p}": histogram.get_value_at_percentile(p) / _UNITS_PER_MS
        for p in _PERCENTILES
    }
    summary["max"] = histogram.get_max_value() / _UNITS_PER_MS
    summary["count"] = histogram.get_total_count()
    return summary


class StateDump:
    """Named callables, each describing the state of one part of a process."""

    __slots__ = ("_parts",)

    def __init__(self) -> None:
        self._parts: dict[str, Callable[[], Any]] = {}

    def register(self, name: str, describe: Callable[[], Any]) -> None:
        """Adds a part; `describe` returns plain data or msgspec structs.

        Raises:
          ValueError: The name is taken.
        """
        if name in self._parts:
            raise ValueError(f"dump part {name!r} is already registered")
        self._parts[name] = describe

    def dump(self) -> dict[str, Any]:
        """Returns the state of all parts, JSON-serialisable.

        A part that raises is shown as its error; the others are unaffected.
        """
        state: dict[str, Any] = {}
        for name, describe in self._parts.items():
            try:
                plain = msgspec.to_builtins(describe(), str_keys=True)
                # The round trip replaces values that JSON lacks, such as NaN.
                state[name] = redact(
                    msgspec.json.decode(msgspec.json.encode(plain))
                )
            except Exception as error:  # Must not hide the other parts.
                state[name] = {"error": f"{type(error).__name__}: {error}"}
        return state
