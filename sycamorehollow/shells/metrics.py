"""Metrics, sent to a statsd server."""

import abc

import statsd

PREFIX = "sycamore"


class Meter(abc.ABC):
    """Receives counters, durations and gauges."""

    @abc.abstractmethod
    def count(self, name: str, by: int = 1) -> None:
        """Increments a counter."""

    @abc.abstractmethod
    def time(self, name: str, seconds: float) -> None:
        """Reports a duration."""

    @abc.abstractmethod
    def set_gauge(self, name: str, value: float) -> None:
        """Sets the value of a gauge."""


class StatsdMeter(Meter):
    """Sends each value as a datagram to a statsd server."""

    def __init__(self, host: str, port: int):
        self._client = statsd.StatsClient(host, port, prefix=PREFIX)

    def count(self, name: str, by: int = 1) -> None:
        """Increments a counter."""
        self._client.incr(name, by)

    def time(self, name: str, seconds: float) -> None:
        """Reports a duration in milliseconds."""
        self._client.timing(name, seconds * 1000)

    def set_gauge(self, name: str, value: float) -> None:
        """Sets the value of a gauge."""
        self._client.gauge(name, value)


class NullMeter(Meter):
    """Discards all values."""

    def count(self, name: str, by: int = 1) -> None:
        """Does nothing."""

    def time(self, name: str, seconds: float) -> None:
        """Does nothing."""

    def set_gauge(self, name: str, value: float) -> None:
        """Does nothing."""
