"""Bodies of requests, and the check that an answer belongs to its own request.

The stand-ins put a receipt of request id and organisation into each answer, and derive generated
text from the prompt, the seed and the answers of the earlier stages. A caller can therefore tell
an answer of another request, of another organisation, or with lost or repeated tokens.
"""

import random
from collections.abc import Mapping
from typing import Any

import msgspec
import xxhash

from chervilrack._internal.experiments.arrivals import Arrival
from chervilrack._internal.standins.upstreams.record import receipt
from chervilrack._internal.standins.upstreams.simple import Reranker, Retriever
from chervilrack._internal.standins.upstreams.text import expected_text
from chervilrack._internal.upstreams.completions import completion_body
from chervilrack._internal.upstreams.prompts import BYTES_PER_TOKEN

_WORDS = ("diary", "refill", "puzzle", "repair", "paper", "piece", "border", "sky", "lake", "week")
# Requests of one organisation begin with the same instructions, which prefix caches can hold.
_SHARED_PREFIX_TOKENS = 128


def request_body(arrival: Arrival) -> dict[str, Any]:
    """Return the JSON body of a request; ``request`` is the caller's own id."""
    body: dict[str, Any] = {"request": arrival.request, "seed": arrival.seed}
    if arrival.pipeline is not None:
        body["prompt"] = _prompt(arrival)
        body["max_tokens"] = arrival.output_tokens
        if arrival.stream:
            body["stream"] = True
    return body


def _prompt(arrival: Arrival) -> str:
    shared = min(_SHARED_PREFIX_TOKENS, arrival.prompt_tokens // 2)
    own = arrival.prompt_tokens - shared
    return _text(f"organisation {arrival.organisation}", shared) + _text(str(arrival.seed), own)


def _text(seed: str, tokens: int) -> str:
    size = tokens * BYTES_PER_TOKEN
    words = random.Random(seed).choices(_WORDS, k=size // 4)
    return " ".join(words)[: size - 1] + " "


def service_answer_fits(arrival: Arrival, answer: Mapping[str, Any]) -> bool:
    """Return whether the answer of a plain service echoes this request's id and seed.

    The receipt is not compared: the stored outcome of an order names the attempt that ran it.
    """
    echo = find_value(answer, "echo")
    return (
        isinstance(echo, Mapping)
        and find_value(echo, "request") == arrival.request
        and find_value(echo, "seed") == arrival.seed
    )


def generated_answer_fits(arrival: Arrival, answer: Mapping[str, Any], served_as: str) -> bool:
    """Return whether a whole answer of the pipeline carries this request's receipt and length."""
    choices = find_value(answer, "choices")
    if not isinstance(choices, list) or len(choices) != 1:
        return False
    text = choices[0].get("text") if isinstance(choices[0], Mapping) else None
    return isinstance(text, str) and text_fits(arrival, text, served_as)


def text_fits(arrival: Arrival, text: str, served_as: str) -> bool:
    """Return whether generated text is whole and belongs to this request."""
    body = request_body(arrival)
    return text == expected_output(body, arrival.organisation, served_as)


def expected_output(body: Mapping[str, Any], organisation: str, served_as: str) -> str:
    """Return the text that the pipeline generates for a request with this body.

    It follows the stand-ins: the encoder's vector is a digest of the request's body, the documents
    derive from the vector, and the engine's prompt holds the request's prompt and the documents.
    """
    digest = xxhash.xxh3_128_digest(msgspec.json.encode(body, order="sorted"))
    vector = [byte / 255 for byte in digest]
    found = Retriever.documents(vector)
    previous = {
        "receipt": receipt(served_as, organisation),
        "documents": Reranker.ranked(found),
    }
    prompt = completion_body({"input": body, "previous": previous})["prompt"]
    return expected_text(prompt, body["seed"], served_as, organisation, body["max_tokens"])


def find_value(answer: Any, name: str) -> Any:
    """Return the value of the outermost field ``name`` in nested JSON objects, or None."""
    if not isinstance(answer, Mapping):
        return None
    if name in answer:
        return answer[name]
    for value in answer.values():
        found = find_value(value, name)
        if found is not None:
            return found
    return None
