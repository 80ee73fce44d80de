"""Starts a serving node on the platform."""

import logging
import os
import sys
import threading
from pathlib import Path

from chervilrack._internal.common.byte_budget import return_large_buffers
from chervilrack._internal.common.clock import SystemClock
from chervilrack._internal.common.signals import ProcessSignals
from chervilrack._internal.exceptions import InvalidDocumentError
from chervilrack._internal.observability.decisions import DecisionLog
from chervilrack._internal.serving.node import ServingNode
from chervilrack._internal.serving.store_schema import StoreSchema
from chervilrack.platform.configuration import (
    CONFIGURATION_KEY,
    EVACUATION_PREFIX,
    UPSTREAM_PREFIX,
    decode_configuration,
    decode_evacuation,
    decode_upstream,
)
from chervilrack.platform.headers import PlatformDialect
from chervilrack.platform.settings import SETTINGS_VARIABLE, load_settings
from chervilrack.platform.store import PlatformStore

logger = logging.getLogger(__name__)

NODE_PREFIX = "nodes/"
BLOCK_PREFIX = "blocks/"
SCHEMA = StoreSchema(
    configuration_key=CONFIGURATION_KEY,
    upstream_prefix=UPSTREAM_PREFIX,
    node_prefix=NODE_PREFIX,
    block_prefix=BLOCK_PREFIX,
    evacuation_prefix=EVACUATION_PREFIX,
    decode_configuration=decode_configuration,
    decode_upstream=decode_upstream,
    decode_evacuation=decode_evacuation,
)
# A request needs less than 100 kB of stack; the default size would waste scarce memory.
THREAD_STACK_BYTES = 256 * 1024
# With the default of 5 ms, events of streams are delayed while other threads are busy.
SWITCH_INTERVAL_S = 0.002


def run(signals: ProcessSignals) -> None:
    """Run a node until a signal tells it to stop; the node then leaves gracefully."""
    threading.stack_size(THREAD_STACK_BYTES)
    sys.setswitchinterval(SWITCH_INTERVAL_S)
    return_large_buffers()
    try:
        settings_file = Path(os.environ[SETTINGS_VARIABLE])
        settings = load_settings(settings_file)
    except (OSError, KeyError, InvalidDocumentError) as error:
        print(f"settings: {error}", file=sys.stderr)
        sys.exit(2)
    assert settings.store is not None
    with DecisionLog(settings.node) as log:
        node = ServingNode(
            settings,
            PlatformDialect(),
            SCHEMA,
            PlatformStore(str(settings.store), settings.apply_limits),
            SystemClock(),
            log,
        )
        with node:
            while not signals.is_stop_signal(signals.next()):
                _reload(node, settings_file)
            node.leave()
    # Threads that serve callers' connections may still be blocked. No data is left to be saved.
    os._exit(0)


def _reload(node: ServingNode, settings_file: Path) -> None:
    try:
        node.reload(load_settings(settings_file))
    except (OSError, InvalidDocumentError) as error:
        logger.warning(
            "settings: the file was not reloaded, the old settings stay in force: %s", error
        )
    except Exception:
        # The node serves requests, which a mistake in the file must not end.
        logger.exception("settings: the file was not reloaded, the old settings stay in force")
