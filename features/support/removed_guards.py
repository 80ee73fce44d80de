"""Runs one scenario with one check removed from the code: ``removed_guards.py GUARD``.

Each entry of ``GUARDS`` names a module, a piece of its text that occurs exactly once, what stands
in its place, and the scenario that has to fail then.
"""

import importlib.abc
import importlib.machinery
import sys
from dataclasses import dataclass
from pathlib import Path

PACKAGE = "chervilrack._internal."


@dataclass(frozen=True)
class Guard:
    """One check and how it is removed."""

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
        "if dispatch.attempt in slot.cancelled or not self._may_act():",
        "if dispatch.attempt in slot.cancelled:",
        "execution/runner",
        "lost its right to act while the request waits",
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
        "if not task.idempotent or active.made",
        "if active.made",
        "execution/runner",
        "sends an operation that is not idempotent once, with fail",
    ),
    "no hedge of non-idempotent tasks": Guard(
        "execution.scheduler",
        "if task.idempotent and task.hedgeable",
        "if task.hedgeable",
        "execution/scheduler",
        "hedges and is not idempotent",
    ),
    "retry budget": Guard(
        "execution.scheduler",
        "and stage.budget.take()\n",
        "\n",
        "execution/scheduler",
        "spends its retry budget on 200 requests",
    ),
    "hedge budget": Guard(
        "execution.scheduler",
        "if not stage.budget.take():",
        "if False:",
        "execution/scheduler",
        "hedges after 20 other hedges",
    ),
    "brown-out check of hedges": Guard(
        "execution.scheduler",
        "if after is None or stage.history.brownout",
        "if after is None",
        "execution/scheduler",
        "hedges in a brown-out",
    ),
    "token offset check, gaps": Guard(
        "execution.streams",
        "if chunk.offset > self._offset:",
        "if False:",
        "execution/runner",
        "generated attempts are exact or broken",
    ),
    "token offset check, repetitions": Guard(
        "execution.streams",
        "if chunk.offset < self._offset:",
        "if False:",
        "execution/runner",
        "assembled from 0a 1b / 1b 2c",
    ),
    "resumption at the token offset": Guard(
        "execution.runner",
        "call = self._call(dispatch, slot, started, assembler.offset)",
        "call = self._call(dispatch, slot, started, assembler.offset + 1)",
        "execution/runner",
        "streams every token once with breaks after 5",
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
        "elif event.failure in _UNKNOWN_ENDS:",
        "elif False:",
        "execution/scheduler",
        "keeps a permit of unknown end",
    ),
    "deadline check at dispatch": Guard(
        "execution.scheduler",
        "elif now >= task.deadline or now > active.latest_start:",
        "elif False:",
        "execution/scheduler",
        "does not send a waiting task past its deadline",
    ),
    "executed yes after earlier stages": Guard(
        "execution.outcomes",
        "return replace(problem, executed=Executed.YES) if stages else problem",
        "return problem",
        "execution/runner",
        "a later stage's rejection follows executed work",
    ),
    "configuration read at dispatch": Guard(
        "execution.candidates",
        "if read is not configuration:",
        "if read is None:",
        "execution/runner",
        "gives a withdrawn upstream no waiting work",
    ),
}


class _Loader(importlib.machinery.SourceFileLoader):
    def get_data(self, path):
        data = super().get_data(path)
        if not path.endswith(".py"):
            raise OSError("the bytecode cache holds the code with its check")
        source = data.decode()
        guard = GUARDS[sys.argv[1]]
        if source.count(guard.text) != 1:
            sys.exit(f"the text of guard '{sys.argv[1]}' does not occur exactly once")
        return source.replace(guard.text, guard.replacement).encode()

    def _cache_bytecode(self, *_arguments):
        """Write nothing: other runs must not import the changed code."""


class _Finder(importlib.abc.MetaPathFinder):
    def find_spec(self, fullname, path, target=None):
        guard = GUARDS[sys.argv[1]]
        if fullname != PACKAGE + guard.module:
            return None
        found = importlib.machinery.PathFinder.find_spec(fullname, path)
        found.loader = _Loader(fullname, found.origin)
        return found


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
