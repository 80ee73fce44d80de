"""Runs one scenario with one check removed from the code: ``removed_guards.py GUARD``.

Each entry of ``GUARDS`` names a module, a text that occurs exactly once in its source, the
replacement of this text, and the scenario that has to fail with the changed source.
"""

import importlib.abc
import importlib.machinery
import sys
from dataclasses import dataclass
from pathlib import Path

PACKAGE = "chervilrack._internal."


@dataclass(frozen=True)
class Guard:
    """One check, how it is removed, and the scenario that has to notice."""

    module: str
    text: str
    replacement: str
    feature: str
    scenario: str


GUARDS = {
    "attempt id check": Guard(
        "upstreams.http_client",
        'and headers.get("X-Attempt-Id") == call.attempt_id',
        "",
        "upstreams/calls",
        "drop an answer whose X-Attempt-Id",
    ),
    "organisation check": Guard(
        "upstreams.http_client",
        'and headers.get("X-Organisation") == call.organisation',
        "",
        "upstreams/calls",
        "drop an answer whose X-Organisation",
    ),
    "request id check": Guard(
        "upstreams.http_client",
        'headers.get("X-Request-Id") == call.request_id',
        "True",
        "upstreams/calls",
        "drop an answer whose X-Request-Id",
    ),
    "may_act check on the open connection": Guard(
        "upstreams.connections",
        "if not self._may_send():",
        "if False:",
        "upstreams/calls",
        "loses its right to act while it connects",
    ),
    "may_act check before the call": Guard(
        "execution.runner",
        "if dispatch.attempt in task_state.cancelled or not self._may_act():",
        "if dispatch.attempt in task_state.cancelled:",
        "execution/runner",
        "the node loses its confirmation while the request waits",
    ),
    "whole-call deadline": Guard(
        "upstreams.http_client",
        """    if exchange.transmission.expired:
        raise TimeoutError("the deadline has passed")
    exchange.transmission.set_read_timeout()
""",
        "",
        "upstreams/calls",
        "end a call at its deadline although bytes keep coming",
    ),
    "executed unknown after the first byte": Guard(
        "upstreams.http_client",
        "executed = Executed.UNKNOWN if transmission.sent else Executed.NO",
        "executed = Executed.NO",
        "upstreams/calls",
        "classify the fault crash",
    ),
    "certificate verification": Guard(
        "upstreams.connections",
        '"CERT_REQUIRED"',
        '"CERT_NONE"',
        "upstreams/calls",
        "verify certificates, unknown",
    ),
    "no retry of non-idempotent tasks": Guard(
        "execution.scheduler",
        "if not task.idempotent or active.attempts_made",
        "if active.attempts_made",
        "execution/runner",
        "sends a non-idempotent operation once after the fault fail",
    ),
    "no hedge of non-idempotent tasks": Guard(
        "execution.scheduler",
        "if task.idempotent and task.hedgeable",
        "if task.hedgeable",
        "execution/scheduler",
        "hedges a task and is not idempotent",
    ),
    "retry budget": Guard(
        "execution.scheduler",
        "and stage.budget.try_spend()\n",
        "\n",
        "execution/scheduler",
        "spends its retry budget on 200 requests",
    ),
    "hedge budget": Guard(
        "execution.scheduler",
        "if not stage.budget.try_spend():",
        "if False:",
        "execution/scheduler",
        "hedges a task after 20 other hedges",
    ),
    "brown-out check of hedges": Guard(
        "execution.scheduler",
        "if delay is None or stage.history.brownout",
        "if delay is None",
        "execution/scheduler",
        "hedges a task in a brown-out",
    ),
    "token offset check, gaps": Guard(
        "execution.streams",
        "if chunk.offset > self._offset:",
        "if False:",
        "execution/runner",
        "generated attempts is exact or broken",
    ),
    "token offset check, repetitions": Guard(
        "execution.streams",
        "if chunk.offset < self._offset:",
        "if False:",
        "execution/runner",
        "assembled from the attempts 0a 1b / 1b 2c",
    ),
    "resumption at the token offset": Guard(
        "execution.runner",
        "call = self._upstream_call(dispatch, task_state, started, assembler.offset)",
        "call = self._upstream_call(dispatch, task_state, started, assembler.offset + 1)",
        "execution/runner",
        "streams every token once if streams break after 5",
    ),
    "cancellation of superseded attempts": Guard(
        "execution.scheduler",
        "effects.append(CancelAttempt(active.task.id, attempt_id))",
        "pass",
        "execution/scheduler",
        "completes with the hedge's answer",
    ),
    "permit kept while the end is unknown": Guard(
        "execution.permits",
        "elif event.failure in _UNKNOWN_END_KINDS:",
        "elif False:",
        "execution/scheduler",
        "keeps the permit of a possibly running attempt",
    ),
    "deadline check at dispatch": Guard(
        "execution.scheduler",
        "elif now >= task.deadline or now > active.latest_start:",
        "elif False:",
        "execution/scheduler",
        "does not dispatch a waiting task after its deadline",
    ),
    "executed yes after earlier stages": Guard(
        "execution.outcomes",
        "return replace(problem, executed=Executed.YES) if stages else problem",
        "return problem",
        "execution/runner",
        "reports executed work if a later stage is refused",
    ),
    "configuration read at dispatch": Guard(
        "execution.candidates",
        "if cached_configuration is not configuration:",
        "if cached_configuration is None:",
        "execution/runner",
        "sends no waiting work to a withdrawn upstream",
    ),
}


class _Loader(importlib.machinery.SourceFileLoader):
    """Loads the source of the module with the text of the guard replaced."""

    def get_data(self, path):
        data = super().get_data(path)
        if not path.endswith(".py"):
            raise OSError("cached bytecode is not used, as it still contains the check")
        source = data.decode()
        guard = GUARDS[sys.argv[1]]
        if source.count(guard.text) != 1:
            sys.exit(f"the text of guard '{sys.argv[1]}' does not occur exactly once")
        return source.replace(guard.text, guard.replacement).encode()

    def _cache_bytecode(self, *_arguments):
        """Write no bytecode, so that other runs do not import the changed code."""


class _Finder(importlib.abc.MetaPathFinder):
    """Finds the module of the guard and has it loaded by ``_Loader``."""

    def find_spec(self, fullname, path, target=None):
        guard = GUARDS[sys.argv[1]]
        if fullname != PACKAGE + guard.module:
            return None
        spec = importlib.machinery.PathFinder.find_spec(fullname, path)
        spec.loader = _Loader(fullname, spec.origin)
        return spec


def main():
    """Run the scenario of the guard named on the command line with the check removed."""
    guard = GUARDS[sys.argv[1]]
    sys.meta_path.insert(0, _Finder())
    from behave.__main__ import main as behave

    feature = str(Path(__file__).parent.parent / f"{guard.feature}.feature")
    status = behave(
        ["--no-color", "--no-capture", "-f", "plain", "--name", guard.scenario, feature]
    )
    if PACKAGE + guard.module not in sys.modules:
        sys.exit("the changed module was not imported")
    return status


if __name__ == "__main__":
    sys.exit(main())
