"""Entry point of a node on the platform.

Signals are blocked before the other modules are imported, because SIGHUP ends a process that has
not installed a handler yet.
"""

from chervilrack._internal.common.signals import ProcessSignals


def main() -> None:
    """Run a node until a signal tells it to stop."""
    signals = ProcessSignals()
    from chervilrack.platform.run import run

    run(signals)
