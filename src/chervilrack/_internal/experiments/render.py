"""Renders profiles as release notes, for test beds and for the examples."""

from collections.abc import Callable, Mapping
from typing import Any

from chervilrack._internal.common.ids import ModelId, StageId, UpstreamId
from chervilrack._internal.experiments.profile import Pool, Profile
from chervilrack._internal.releases.state import UpstreamKind

ENGINE_MODEL = ModelId("m1")
# The emulated weights are only names; this is the size of an 8-bit model of 8 billion parameters.
_MODEL_SIZE = 8_000_000_000


def release_note(
    profile: Profile, note_id: str, url_of: Callable[[UpstreamId], str]
) -> dict[str, Any]:
    """Return the note that adds everything of a profile, as JSON or YAML values.

    ``url_of`` gives the address of each upstream.
    """
    deadline = f"{profile.deadline_s:g}s"
    added = {
        "teams": [
            {"id": team.id, "limits": {kind.value: value for kind, value in team.limits.items()}}
            for team in profile.teams
        ],
        "models": [{"id": ENGINE_MODEL, "version": "1", "size": _MODEL_SIZE}],
        "upstreams": [
            _upstream(profile, pool, number, url_of)
            for pool in profile.pools
            for number in range(pool.count)
        ],
        "pipelines": [
            {
                "id": profile.pipeline,
                "deadline": deadline,
                "stages": [_stage(profile, pool) for pool in profile.stages],
            }
        ],
        "services": [
            {
                "id": service,
                "deadline": deadline,
                "operations": [
                    {"name": operation.name, "idempotent": operation.idempotent}
                    for operation in operations
                ],
            }
            for service, operations in profile.service_operations().items()
        ],
        "organisations": [
            {"id": entry.id, "keys": [{"sha256": entry.key_sha256}], "weight": entry.weight}
            for entry in profile.organisations
        ],
    }
    return {"id": note_id, "added": added}


def _upstream(
    profile: Profile, pool: Pool, number: int, url_of: Callable[[UpstreamId], str]
) -> Mapping[str, Any]:
    upstream = pool.upstreams[number]
    entry: dict[str, Any] = {
        "id": upstream,
        "team": pool.team,
        "kind": pool.kind.value,
        "url": url_of(upstream),
        "zone": profile.zone_of(number),
        "limits": {"concurrency": pool.concurrency},
    }
    if pool.kind is UpstreamKind.ENGINE:
        entry |= {"models": [ENGINE_MODEL], "protocol": "openai-completions"}
    if pool.kind is UpstreamKind.SERVICE:
        entry["service"] = pool.id
    if pool.reports_load or pool.kind is UpstreamKind.ENGINE:
        entry["reports_load"] = True
    return entry


def _stage(profile: Profile, pool: Pool) -> Mapping[str, Any]:
    stage: dict[str, Any] = {"id": StageId(pool.id), "kind": pool.kind.value}
    if pool.kind is UpstreamKind.ENGINE:
        stage["model"] = ENGINE_MODEL
        stage["max_tokens"] = max(kind.output_tokens[1] for kind in profile.requests)
    return stage
