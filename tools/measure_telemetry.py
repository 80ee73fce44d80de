"""Prints the time that each call of the telemetry takes, in microseconds."""

import timeit
from collections.abc import Callable
from datetime import timedelta

from chervilrack._internal.common.clock import SystemClock
from chervilrack._internal.common.effects import ActionTaken
from chervilrack._internal.common.ids import OrganisationId, RequestId, StageId, TeamId, UpstreamId
from chervilrack._internal.observability.telemetry import NodeTelemetry

CALLS = 100_000
BETWEEN = tuple(timedelta(milliseconds=20 + n % 10) for n in range(64))


def main() -> None:
    """Measure each method on one thread; the best of three runs is printed."""
    telemetry = NodeTelemetry(SystemClock())
    numbers = iter(range(10**9))
    action = ActionTaken("routing", "ejected", "engine-1", "5 failures in a row")
    ms = timedelta(milliseconds=5)

    def decided() -> None:
        request = RequestId(f"request-{next(numbers) // 8}")
        telemetry.record_decision(request, OrganisationId("a"), "dispatched")

    def finished() -> None:
        organisation = OrganisationId(f"org-{next(numbers) % 500}")
        telemetry.request_finished(organisation, "standard", "answers", "answered", ms)

    def stage() -> None:
        telemetry.stage_finished(
            StageId("generate"), "standard", TeamId("t"), UpstreamId("u"), ms, ms, 64
        )

    calls: dict[str, tuple[Callable[[], None], int]] = {
        "decided": (decided, CALLS),
        "request_finished": (finished, CALLS),
        "stage_finished": (stage, CALLS),
        "token_times (64 gaps)": (
            lambda: telemetry.record_token_times("standard", ms, BETWEEN),
            CALLS // 50,
        ),
        "action": (lambda: telemetry.record_action(action), CALLS),
    }
    for name, (call, number) in calls.items():
        best = min(timeit.repeat(call, number=number, repeat=3)) / number
        print(f"{name}: {best * 1e6:.2f} us per call")


if __name__ == "__main__":
    main()
