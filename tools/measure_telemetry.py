"""Benchmarks the methods of NodeTelemetry and prints the microseconds per call."""

import timeit
from collections.abc import Callable
from datetime import timedelta

from chervilrack._internal.common.clock import SystemClock
from chervilrack._internal.common.effects import ActionTaken
from chervilrack._internal.common.ids import OrganisationId, RequestId, StageId, TeamId, UpstreamId
from chervilrack._internal.observability.telemetry import NodeTelemetry

CALLS_PER_RUN = 100_000
TOKEN_GAPS = tuple(timedelta(milliseconds=20 + n % 10) for n in range(64))


def main() -> None:
    """Time each method on one thread and print the best of three runs."""
    telemetry = NodeTelemetry(SystemClock())
    counter = iter(range(10**9))
    action = ActionTaken("routing", "ejected", "engine-1", "5 failures in a row")
    duration = timedelta(milliseconds=5)

    def call_record_decision() -> None:
        request = RequestId(f"request-{next(counter) // 8}")
        telemetry.record_decision(request, OrganisationId("a"), "dispatched")

    def call_request_finished() -> None:
        organisation = OrganisationId(f"org-{next(counter) % 500}")
        telemetry.request_finished(organisation, "standard", "answers", "answered", duration)

    def call_stage_finished() -> None:
        telemetry.stage_finished(
            StageId("generate"), "standard", TeamId("t"), UpstreamId("u"), duration, duration, 64
        )

    benchmarks: dict[str, tuple[Callable[[], None], int]] = {
        "decided": (call_record_decision, CALLS_PER_RUN),
        "request_finished": (call_request_finished, CALLS_PER_RUN),
        "stage_finished": (call_stage_finished, CALLS_PER_RUN),
        "token_times (64 gaps)": (
            lambda: telemetry.record_token_times("standard", duration, TOKEN_GAPS),
            CALLS_PER_RUN // 50,
        ),
        "action": (lambda: telemetry.record_action(action), CALLS_PER_RUN),
    }
    for name, (call, call_count) in benchmarks.items():
        best_s = min(timeit.repeat(call, number=call_count, repeat=3)) / call_count
        print(f"{name}: {best_s * 1e6:.2f} us per call")


if __name__ == "__main__":
    main()
