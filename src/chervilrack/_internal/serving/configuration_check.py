"""Logs what a node finds wrong with a configuration that it applies all the same."""

import logging
import threading
from datetime import timedelta

from chervilrack._internal.catalogue.check import NodeBounds, check_configuration, limit_findings
from chervilrack._internal.catalogue.state import ServingConfiguration
from chervilrack._internal.observability.decisions import DecisionLog

logger = logging.getLogger(__name__)

# Most findings of one code that are logged.
MAX_LOGGED = 5


class ConfigurationCheck:
    """Checks each configuration in a thread of its own: one of many routes takes a while."""

    def __init__(self, log: DecisionLog, stop_grace: timedelta) -> None:
        self._log = log
        self._bounds = NodeBounds(stop_grace)

    def start(self, configuration: ServingConfiguration) -> None:
        """Begin to check a configuration that comes into force."""
        thread = threading.Thread(
            target=self._check, args=(configuration,), name="configuration-check", daemon=True
        )
        try:
            thread.start()
        except RuntimeError as error:  # no thread is free
            logger.warning("catalogue: the configuration was not checked: %s", error)

    def _check(self, configuration: ServingConfiguration) -> None:
        findings = check_configuration(configuration, self._bounds)
        for finding in limit_findings(findings, MAX_LOGGED):
            self._log.note(
                "catalogue",
                "configuration finding",
                version=configuration.version,
                code=finding.code,
                place=finding.place,
                detail=finding.detail,
            )
