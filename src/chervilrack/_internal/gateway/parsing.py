"""Parsing and validation of callers' requests. Every mistake has a result code."""

import re
from collections.abc import Mapping
from datetime import timedelta
from typing import Any

import msgspec
from cheroot.errors import MaxSizeExceeded
from result import Err, Ok, Result

from chervilrack._internal.common.ids import IdempotencyKey
from chervilrack._internal.common.results import Problem, ResultCode
from chervilrack._internal.gateway.http import HttpRequest
from chervilrack._internal.gateway.intake import BodyTooLarge

# Longest time that a caller may allow for a request.
MAX_DEADLINE = timedelta(seconds=6)
_IDEMPOTENCY_KEY = re.compile(r"[\x21-\x7e]{1,128}")


def read_json_object(request: HttpRequest) -> Result[dict[str, Any], Problem]:
    """Return the body as a JSON object with valid common fields."""
    return read_body(request).and_then(_decode_object).and_then(_check_fields)


def read_body(request: HttpRequest) -> Result[bytes, Problem]:
    """Return the whole body."""
    try:
        return Ok(request.read_body())
    except OSError:
        return Err(Problem(ResultCode.REQUEST_TIMEOUT, "the body did not arrive in time"))
    except (MaxSizeExceeded, BodyTooLarge):
        return Err(Problem(ResultCode.BODY_TOO_LARGE, "the chunks exceed the body limit"))
    except ValueError as error:
        return Err(Problem(ResultCode.MALFORMED_REQUEST, str(error)))


def _decode_object(raw: bytes) -> Result[dict[str, Any], Problem]:
    try:
        value = msgspec.json.decode(raw)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
        return Err(Problem(ResultCode.MALFORMED_REQUEST, f"the body is not JSON: {error}"))
    if not isinstance(value, dict):
        return Err(Problem(ResultCode.WRONG_TYPE, "the body must be a JSON object"))
    return Ok(value)


def _check_fields(value: dict[str, Any]) -> Result[dict[str, Any], Problem]:
    if not isinstance(value.get("stream", False), bool):
        return Err(Problem(ResultCode.WRONG_TYPE, "'stream' must be true or false"))
    tokens = value.get("max_tokens", 1)
    if not isinstance(tokens, int) or isinstance(tokens, bool) or tokens < 1:
        return Err(Problem(ResultCode.WRONG_TYPE, "'max_tokens' must be a positive integer"))
    return Ok(value)


def check_prompt(body: Mapping[str, Any]) -> Result[None, Problem]:
    """Check ``prompt``, the field that all model stages of a pipeline read."""
    if not isinstance(body.get("prompt", ""), str):
        return Err(Problem(ResultCode.WRONG_TYPE, "'prompt' must be a text"))
    return Ok(None)


def read_deadline(headers: Mapping[str, str], default: timedelta) -> Result[timedelta, Problem]:
    """Return the time that ``Deadline-Ms`` leaves, at most ``default``, the target's deadline."""
    text = headers.get("deadline-ms")
    if text is None:
        return Ok(min(default, MAX_DEADLINE))
    try:
        milliseconds = int(text)
    except ValueError:
        detail = "Deadline-Ms must be a whole number of milliseconds"
        return Err(Problem(ResultCode.DEADLINE_INVALID, detail))
    if milliseconds <= 0:
        return Err(Problem(ResultCode.DEADLINE_PASSED, "Deadline-Ms leaves no time"))
    if milliseconds > MAX_DEADLINE / timedelta(milliseconds=1):
        limit = MAX_DEADLINE // timedelta(milliseconds=1)
        return Err(Problem(ResultCode.DEADLINE_INVALID, f"Deadline-Ms may be at most {limit}"))
    return Ok(min(timedelta(milliseconds=milliseconds), default))


def read_idempotency_key(headers: Mapping[str, str]) -> Result[IdempotencyKey, Problem]:
    """Return the ``Idempotency-Key``: 1 to 128 visible ASCII characters."""
    text = headers.get("idempotency-key")
    if text is None:
        detail = "the operation may not be repeated; send an Idempotency-Key"
        return Err(Problem(ResultCode.IDEMPOTENCY_KEY_MISSING, detail))
    if not _IDEMPOTENCY_KEY.fullmatch(text):
        detail = "Idempotency-Key must be 1 to 128 visible ASCII characters"
        return Err(Problem(ResultCode.MALFORMED_REQUEST, detail))
    return Ok(IdempotencyKey(text))
