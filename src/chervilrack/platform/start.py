"""Entry point of a node on the platform.

Signals are blocked before the other modules are loaded: SIGHUP would end a process that has no
handler yet.
"""

from chervilrack._internal.common.signals import ProcessSignals


def main() -> None:
    """Run a node until it is ordered to stop."""
    signals = ProcessSignals()
    from chervilrack.platform.run import run

    run(signals)
