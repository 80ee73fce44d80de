"""Connections to one address that are not used again after they have been idle for a time."""

from datetime import timedelta
from typing import Any

from chervilrack._internal.common.clock import Clock
from chervilrack._internal.common.http_responses import StrictHTTPConnectionPool


class FreshHTTPConnectionPool(StrictHTTPConnectionPool):
    """Pool whose connections are replaced once they have been idle for ``max_idle``.

    An open connection may pass nothing any more without being closed, which only a call that gets
    no answer would show.
    """

    def __init__(
        self, host: str, port: int, max_idle: timedelta, clock: Clock, **kwargs: Any
    ) -> None:
        super().__init__(host, port, **kwargs)
        self._max_idle = max_idle
        self._clock = clock

    def _get_conn(self, timeout: float | None = None) -> Any:
        connection: Any = super()._get_conn(timeout)
        idle_since = getattr(connection, "idle_since", None)
        if idle_since is not None and self._clock.monotonic() - idle_since > self._max_idle:
            # The next request connects again.
            connection.close()
        return connection

    def _put_conn(self, conn: Any) -> None:
        if conn is not None:
            conn.idle_since = self._clock.monotonic()
        super()._put_conn(conn)
