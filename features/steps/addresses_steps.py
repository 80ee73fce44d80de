"""Steps for addresses that other programs write, at the HTTP clients that use them."""

import json
import socket
from datetime import timedelta

from behave import then
from hypothesis import assume
from hypothesis import given as for_all
from hypothesis import strategies as st

from chervilrack._internal.common.addresses import is_address
from chervilrack._internal.upstreams.connections import ConnectionPools
from chervilrack._internal.upstreams.exchange import Exchange, ExchangeFailed
from chervilrack._internal.upstreams.port import FailureKind, UpstreamCall
from chervilrack._internal.upstreams.protocols import create_clients

LIMIT_S = 5.0
ADDRESS_TEXTS = st.one_of(
    st.text(max_size=300),
    st.text("[]:.%0123456789abf \x00\n\r²/@", max_size=20),
    st.builds("{}:{}".format, st.text(max_size=20), st.text(max_size=6)),
)


def send(address, target="/"):
    """Send a request; return the error of the exchange, None if it was sent."""
    try:
        with Exchange(address) as exchange:
            exchange.send("POST", target, [("Host", "a")], b"order", LIMIT_S)
    except ExchangeFailed as error:
        return error
    return None


def check_unreachable(address):
    error = send(address)
    assert error is not None
    assert error.unreachable
    assert not error.sent


@then('an exchange with the address "{address}" fails as one that takes no connections')
def check_exchange(context, address):
    check_unreachable(json.loads(f'"{address}"'))


@then('an exchange with the address "" fails as one that takes no connections')
def check_exchange_without_address(context):
    check_unreachable("")


@then("an exchange with any text that is no address fails as one that takes no connections")
def check_any_address(context):
    @for_all(ADDRESS_TEXTS)
    def check(address):
        assume(not is_address(address))
        check_unreachable(address)

    check()


@then('an exchange whose target is "{target}" raises nothing but its own error')
def check_target(context, target):
    with socket.create_server(("127.0.0.1", 0)) as server:
        address = f"127.0.0.1:{server.getsockname()[1]}"
        error = send(address, json.loads(f'"{target}"'))
    assert error is not None
    assert not error.unreachable


def call_url(url):
    with ConnectionPools() as pools:
        call = UpstreamCall(
            upstream="u",
            base_url=url,
            path="/",
            request_id="r-1",
            attempt_id="a-1",
            organisation="guild",
            body={"prompt": "p"},
            deadline=timedelta(seconds=LIMIT_S),
        )
        return create_clients(pools)["json"].call(call)


@then('a call to the URL "{url}" of an upstream is not sent')
def check_url(context, url):
    outcome = call_url(json.loads(f'"{url}"'))
    assert outcome.is_err()
    assert outcome.err_value.kind is FailureKind.NOT_SENT, outcome.err_value


@then('a call to the URL "" of an upstream is not sent')
def check_empty_url(context):
    outcome = call_url("")
    assert outcome.is_err()
    assert outcome.err_value.kind is FailureKind.NOT_SENT, outcome.err_value
