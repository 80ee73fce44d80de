"""Messages by which nodes share which requests were at upstreams that crashed."""

from typing import Annotated

import msgspec

from chervilrack._internal.common.units import Count, Milliseconds

MAX_TRAITS = 32
MAX_REPORTED_REQUESTS = 64
MAX_REPORTED_CRASHES = 8
MAX_TRAIT_LENGTH = 200

_Name = Annotated[str, msgspec.Meta(max_length=MAX_TRAIT_LENGTH)]
_Traits = Annotated[tuple[_Name, ...], msgspec.Meta(max_length=MAX_TRAITS)]
_Age = Annotated[int, msgspec.Meta(ge=0, le=10**12)]


class ReportedRequest(msgspec.Struct, frozen=True, array_like=True):
    """A request that a crash ended; fields as in ``CrashedRequest`` and its profile."""

    traits: _Traits
    sender: _Name
    at_start: bool


class CrashReport(msgspec.Struct, frozen=True, array_like=True):
    """An upstream that has crashed, and the sender's requests that this ended.

    ``upstream`` and ``started_at_ms`` name the incarnation, ``age_ms`` is the time since the crash.
    """

    service: _Name
    upstream: _Name
    started_at_ms: Count
    age_ms: _Age
    requests: Annotated[tuple[ReportedRequest, ...], msgspec.Meta(max_length=MAX_REPORTED_REQUESTS)]


class SoundnessReport(msgspec.Struct, frozen=True, array_like=True):
    """A suspect trait has had an answer, a whole one or the start of one, ``age_ms`` ago."""

    service: _Name
    trait: _Name
    age_ms: _Age
    is_whole: bool


class ProbeReport(msgspec.Struct, frozen=True, array_like=True):
    """The sender lets one request with a blocked trait pass; the others wait for its result.

    A trial is a request without all that the crashes had in common, which may be sound.
    """

    service: _Name
    trait: _Name
    is_trial: bool = False


class ReportedCrash(msgspec.Struct, frozen=True, array_like=True):
    """One crash of a suspect, as in ``CrashReport`` and ``Crash``."""

    upstream: _Name
    started_at_ms: Count
    age_ms: _Age
    at_start: bool


class SuspectReport(msgspec.Struct, frozen=True, array_like=True):
    """What the sender holds against a trait, in its heartbeats: for nodes that missed the reports.

    ``probes`` is the number of probes so far and ``probe_in_ms`` the time until the next one.
    """

    service: _Name
    trait: _Name
    common: _Traits
    crashes: Annotated[tuple[ReportedCrash, ...], msgspec.Meta(max_length=MAX_REPORTED_CRASHES)]
    probes: Annotated[int, msgspec.Meta(ge=0, le=1000)] = 0
    probe_in_ms: Milliseconds = 0
