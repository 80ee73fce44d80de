"""Measures how times and sizes of releases grow with the size of the configuration."""

import random
import statistics
import time
import tracemalloc
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import msgspec

from chervilrack._internal.common.ids import (
    ModelId,
    NoteId,
    OrganisationId,
    PipelineId,
    ServiceId,
    StageId,
    TeamId,
    UpstreamId,
    ZoneId,
)
from chervilrack._internal.kvstore.memory import MemoryPlatform
from chervilrack._internal.kvstore.port import Put
from chervilrack._internal.releases.accept import (
    HEAD_KEY,
    NOTES_PER_SNAPSHOT,
    PART_BYTES,
    LoadedRelease,
    ReleaseStore,
)
from chervilrack._internal.releases.apply import apply_note
from chervilrack._internal.releases.check import check_note, read_checked_note
from chervilrack._internal.releases.messages import (
    Head,
    NoteRecord,
    Snapshot,
    chain_digest,
    decode_snapshot,
    encode_note,
    encode_snapshot,
    split_into_parts,
)
from chervilrack._internal.releases.note import (
    Added,
    Changed,
    OrganisationChange,
    ReleaseNote,
    UpstreamChange,
    hash_key,
)
from chervilrack._internal.releases.state import (
    Configuration,
    Limits,
    Model,
    Operation,
    Organisation,
    OrganisationKey,
    Pipeline,
    Service,
    Stage,
    Team,
    Upstream,
    UpstreamKind,
)

# Numbers of organisations and upstreams, from the users' present size to their size in two years.
SCALES = ((5, 24), (100, 240), (1_000, 1_200), (13_000, 3_600))
_MODELS = 33
_PIPELINES = 7
_REPETITIONS = 9


@dataclass(frozen=True, slots=True)
class ReleaseScaleRow:
    """Measurements for one configuration size: median times in ms, sizes in bytes.

    A whole configuration of more than 1 MB (``whole_note_bytes``) cannot be accepted as one note.
    ``load_ms`` is the time to load a snapshot and 62 notes from an in-memory platform, without a
    network.
    """

    organisations: int
    upstreams: int
    whole_note_bytes: int
    snapshot_bytes: int
    snapshot_parts: int
    snapshot_encode_ms: float
    snapshot_decode_ms: float
    configuration_memory_bytes: int
    load_ms: float
    change_note_bytes: int
    change_record_bytes: int
    apply_upstream_ms: float
    apply_organisation_ms: float
    check_ms: float
    yaml_read_ms: float


def measure_release_scale(
    seed: int, scales: Sequence[tuple[int, int]] = SCALES
) -> list[ReleaseScaleRow]:
    """Return one row for each (organisations, upstreams) pair of ``scales``.

    The generated configurations depend only on ``seed`` and ``scales``.
    """
    rng = random.Random(seed)
    return [_measure(organisations, upstreams, rng) for organisations, upstreams in scales]


def whole_note(organisations: int, upstreams: int, rng: random.Random) -> ReleaseNote:
    """Return a note that adds a whole configuration of the given size to an empty one."""
    models = [ModelId(f"model-{number}") for number in range(_MODELS)]
    teams = [TeamId(f"team-{number}") for number in range(max(1, upstreams // 100))]
    kinds = (UpstreamKind.ENGINE, UpstreamKind.ENCODER, UpstreamKind.RERANKER)
    plain_service_count = max(1, upstreams // 4)
    return ReleaseNote(
        NoteId("whole"),
        added=Added(
            teams=tuple(Team(team, Limits(requests_per_s=5_000)) for team in teams),
            models=tuple(Model(model, size=2**33) for model in models),
            upstreams=tuple(
                Upstream(
                    UpstreamId(f"upstream-{number}"),
                    rng.choice(teams),
                    UpstreamKind.SERVICE if number < plain_service_count else kinds[number % 3],
                    f"http://10.{number // 62500}.{number // 250 % 250}.{number % 250 + 1}:8080",
                    ZoneId(f"zone-{rng.randrange(24)}"),
                    Limits(concurrency=rng.randrange(8, 64), tokens_per_s=20_000),
                    () if number < plain_service_count else tuple(models),
                    service=ServiceId("orders") if number < plain_service_count else None,
                )
                for number in range(upstreams)
            ),
            pipelines=tuple(
                Pipeline(
                    PipelineId(f"pipeline-{number}"),
                    tuple(
                        Stage(StageId(f"stage-{index}"), kind, models[number], max_tokens=512)
                        for index, kind in enumerate(kinds)
                    ),
                )
                for number in range(_PIPELINES)
            ),
            services=(Service(ServiceId("orders"), (Operation("place", False),)),),
            organisations=tuple(
                Organisation(
                    OrganisationId(f"organisation-{number}"),
                    (OrganisationKey(hash_key(f"{rng.random()}-{number}")),),
                    weight=float(rng.randrange(1, 9)),
                )
                for number in range(organisations)
            ),
        ),
    )


def _measure(organisations: int, upstreams: int, rng: random.Random) -> ReleaseScaleRow:
    note = whole_note(organisations, upstreams, rng)
    before = apply_note(Configuration(), note)
    upstream_note = ReleaseNote(
        NoteId("change-upstream"),
        changed=Changed(
            upstreams=(UpstreamChange(UpstreamId("upstream-1"), limits=Limits(concurrency=9)),)
        ),
    )
    organisation_note = ReleaseNote(
        NoteId("change-organisation"),
        changed=Changed(
            organisations=(OrganisationChange(OrganisationId("organisation-1"), weight=2.0),)
        ),
    )
    encoded = encode_note(upstream_note)
    record = NoteRecord(revision=before.revision, digest=chain_digest("", encoded), note=encoded)
    snapshot = Snapshot(configuration=before, digest=record.digest)
    data = encode_snapshot(snapshot)
    if decode_snapshot(data) != snapshot:
        raise AssertionError("the decoded snapshot differs from the encoded one")
    yaml_text = (
        "id: change-upstream\nchanged: {upstreams: [{id: upstream-1, limits: {concurrency: 9}}]}\n"
    )
    return ReleaseScaleRow(
        organisations=organisations,
        upstreams=upstreams,
        whole_note_bytes=len(encode_note(note)),
        snapshot_bytes=len(data),
        snapshot_parts=len(split_into_parts(data, PART_BYTES)),
        snapshot_encode_ms=_median_ms(lambda: encode_snapshot(snapshot)),
        snapshot_decode_ms=_median_ms(lambda: decode_snapshot(data)),
        configuration_memory_bytes=_memory_bytes(data),
        load_ms=_load_ms(before),
        change_note_bytes=len(encoded),
        change_record_bytes=len(msgspec.msgpack.encode(record)),
        apply_upstream_ms=_median_ms(lambda: apply_note(before, upstream_note)),
        apply_organisation_ms=_median_ms(lambda: apply_note(before, organisation_note)),
        check_ms=_median_ms(lambda: check_note(upstream_note, before)),
        yaml_read_ms=_median_ms(lambda: read_checked_note(yaml_text, "note.yaml", before)),
    )


def _median_ms(action: Callable[[], object]) -> float:
    times = []
    for _ in range(_REPETITIONS):
        started = time.perf_counter()
        action()
        times.append((time.perf_counter() - started) * 1e3)
    return round(statistics.median(times), 3)


def _load_ms(before: Configuration) -> float:
    """Return the median time to load a snapshot and the most notes that can follow it."""
    platform = MemoryPlatform()
    store = ReleaseStore(platform)
    digest = chain_digest("", b"")
    empty = Snapshot(configuration=Configuration(), digest="")
    store.write_snapshot(LoadedRelease(empty, (), before, digest, 0, 0))
    head = Head(revision=before.revision, note_id=NoteId("whole"), digest=digest)
    platform.txn([], [Put(HEAD_KEY, msgspec.msgpack.encode(head))])
    for number in range(before.revision + 1, NOTES_PER_SNAPSHOT):
        change = UpstreamChange(UpstreamId("upstream-1"), limits=Limits(concurrency=number))
        changed = Changed(upstreams=(change,))
        store.accept(ReleaseNote(NoteId(f"note-{number}"), changed=changed)).unwrap()
    return _median_ms(store.load)


def _memory_bytes(data: bytes) -> int:
    """Return the memory that a decoded snapshot uses, as measured by ``tracemalloc``."""
    tracemalloc.start()
    try:
        snapshot = decode_snapshot(data)
        traced_bytes, _ = tracemalloc.get_traced_memory()
        del snapshot
    finally:
        tracemalloc.stop()
    return traced_bytes
