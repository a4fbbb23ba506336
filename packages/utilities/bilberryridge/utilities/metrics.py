"""What the tasks count and measure, without saying where it goes."""

from typing import Protocol


class Metrics(Protocol):
    """Takes counts and durations; all methods are for any thread."""

    def count(self, name: str, labels: tuple[str, ...] = (), n: int = 1) -> None:
        """Add `n` to a counter."""

    def observe_s(self, name: str, labels: tuple[str, ...], seconds: float) -> None:
        """Record a duration."""


class NullMetrics:
    """Metrics that are kept nowhere."""

    def count(self, name: str, labels: tuple[str, ...] = (), n: int = 1) -> None:
        """Add nothing."""

    def observe_s(self, name: str, labels: tuple[str, ...], seconds: float) -> None:
        """Record nothing."""
