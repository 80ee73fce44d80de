"""Steps for what lives on after an exchange with an upstream."""

import gc
import time
import weakref

from behave import then, when
from broken_off_steps import LIMIT_S, build_response
from cancelled_steps import PausingServer

from chervilrack._internal.upstreams.exchange import Exchange, ExchangeFailed


class Observer:
    """Stands for the context of a request, which holds its body."""

    def observe(self, status, fields):
        pass


def exchange_with(address, observer):
    with Exchange(address) as exchange:
        exchange.send("POST", "/", [("Host", "a")], b"order", LIMIT_S)
        try:
            exchange.read_head(LIMIT_S, observer.observe)
            exchange.read_body(time.monotonic() + LIMIT_S)
        except ExchangeFailed:
            return False
    return True


@when("an exchange {end} while the garbage collector is off")
def end_exchange(context, end):
    answer = build_response("a forwarded request", "200", "a length")
    content = answer if end == "gets a whole answer" else b"HTTP/1.1 no status\r\n\r\n"
    observer = Observer()
    context.observer = weakref.ref(observer)
    gc.collect()
    gc.disable()
    try:
        with PausingServer(content) as server:
            succeeded = exchange_with(server.address, observer)
        del observer
        context.is_freed = context.observer() is None
    finally:
        gc.enable()
    assert succeeded == (end == "gets a whole answer")


@then("its observer has been freed")
def check_freed(context):
    assert context.is_freed, gc.get_referrers(context.observer())
