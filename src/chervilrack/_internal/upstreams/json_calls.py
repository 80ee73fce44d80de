"""Protocol ``json``: a POST of one JSON object that is answered by one JSON object."""

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
    """Client of encoders, retrievers, rerankers and plain services."""

    def stream(
        self, call: UpstreamCall
    ) -> AbstractContextManager[Result[TokenStream, CallFailure]]:
        """Fail without sending anything, because the protocol has no streams."""
        detail = f"upstream '{call.upstream}' speaks 'json', which has no token streams"
        return nullcontext(Err(CallFailure(FailureKind.NOT_SENT, Executed.NO, detail)))
