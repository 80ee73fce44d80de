"""Protocol ``json``: each call POSTs one JSON object and gets one JSON object back."""

from contextlib import AbstractContextManager, nullcontext

from result import Err, Result

from chervilrack._internal.common.results import Executed
from chervilrack._internal.upstreams.http_client import HttpClient
from chervilrack._internal.upstreams.port import (
    CallFailure,
    FailureKind,
    TokenStream,
    UpstreamCall,
)
from chervilrack._internal.upstreams.protocols import protocols


@protocols.register("json")
class JsonClient(HttpClient):
    """Client for encoders, retrievers, rerankers and plain services."""

    def stream(
        self, call: UpstreamCall
    ) -> AbstractContextManager[Result[TokenStream, CallFailure]]:
        """Fail without sending a request, because the protocol has no token streams."""
        detail = f"upstream '{call.upstream}' speaks 'json', which has no token streams"
        return nullcontext(Err(CallFailure(FailureKind.NOT_SENT, Executed.NO, detail)))
