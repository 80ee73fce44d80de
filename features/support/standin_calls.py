"""Calls to emulated upstreams from steps."""

import time
from contextlib import ExitStack
from datetime import timedelta

from chervilrack._internal.standins.upstreams.engine import ModelEngine
from chervilrack._internal.upstreams.connections import ConnectionPools
from chervilrack._internal.upstreams.port import UpstreamCall
from chervilrack._internal.upstreams.protocols import create_clients

PATIENCE_S = 20  # only bounds a failing run; nothing passes because of it


def enter(context, upstream):
    if not hasattr(context, "standins_stack"):
        context.standins_stack = ExitStack()
        context.add_cleanup(context.standins_stack.close)
        context.pools = context.standins_stack.enter_context(ConnectionPools())
        context.clients = create_clients(context.pools)
    return context.standins_stack.enter_context(upstream)


def call(upstream, number, body, path="/operations/look", **fields):
    if isinstance(upstream, ModelEngine):
        path = "/v1/completions"
    values = {
        "upstream": upstream.name,
        "base_url": upstream.address,
        "path": path,
        "request_id": f"r-{number}",
        "attempt_id": f"{upstream.name}-a-{number}",
        "organisation": "guild",
        "body": body,
        "deadline": timedelta(seconds=PATIENCE_S),
    }
    return UpstreamCall(**{**values, **fields})


def send(context, upstream, number, body, **fields):
    protocol = "openai-completions" if isinstance(upstream, ModelEngine) else "json"
    return context.clients[protocol].call(call(upstream, number, body, **fields))


def wait_for(condition):
    end = time.monotonic() + PATIENCE_S
    while not condition():
        assert time.monotonic() < end, "the expected state did not come"
        time.sleep(0.005)
