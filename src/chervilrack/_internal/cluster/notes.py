"""First release note of a profile."""

from collections.abc import Mapping
from typing import Any

import yaml

from chervilrack._internal.cluster.fleet import MODEL
from chervilrack._internal.common.ids import UpstreamId
from chervilrack._internal.experiments.profile import Pool, Profile
from chervilrack._internal.releases.state import UpstreamKind

FIRST_NOTE_ID = "initial"


def first_note(profile: Profile, addresses: Mapping[UpstreamId, str]) -> dict[str, Any]:
    """Return the note, as JSON values, that adds all teams, upstreams etc. of a profile."""
    return {
        "id": FIRST_NOTE_ID,
        "added": {
            "teams": [
                {"id": team.id, "limits": dict(_limits(team.limits))} for team in profile.teams
            ],
            "models": [{"id": MODEL, "size": 1 << 30}],
            "upstreams": [
                _upstream(profile, pool, name, number, addresses[name])
                for pool in profile.pools
                for number, name in enumerate(pool.upstreams)
            ],
            "pipelines": [
                {
                    "id": profile.pipeline,
                    "deadline": f"PT{profile.deadline_s:g}S",
                    "stages": [_stage(pool) for pool in profile.stages],
                }
            ],
            "services": [
                {
                    "id": service,
                    "operations": [
                        {"name": operation.name, "idempotent": operation.idempotent}
                        for operation in operations
                    ],
                }
                for service, operations in profile.service_operations().items()
            ],
            "organisations": [
                {
                    "id": organisation.id,
                    "keys": [{"sha256": organisation.key_sha256}],
                    "weight": organisation.weight,
                }
                for organisation in profile.organisations
            ],
        },
    }


def render_note(note: Mapping[str, Any]) -> str:
    """Return a note from ``first_note`` as YAML, with durations in ``s`` and sizes in ``B``."""
    added = dict(note["added"])
    added["pipelines"] = [
        {**pipeline, "deadline": pipeline["deadline"].removeprefix("PT").lower()}
        for pipeline in added["pipelines"]
    ]
    added["models"] = [{**model, "size": f"{model['size']}B"} for model in added["models"]]
    document = {**note, "added": added}
    return yaml.safe_dump(document, sort_keys=False, allow_unicode=True, width=100)


def _limits(limits: Any) -> dict[str, int]:
    return {kind.value: capacity for kind, capacity in limits.items()}


def _upstream(
    profile: Profile, pool: Pool, name: UpstreamId, number: int, address: str
) -> dict[str, Any]:
    upstream: dict[str, Any] = {
        "id": name,
        "team": pool.team,
        "kind": pool.kind.value,
        "url": address,
        "zone": profile.zone_of(number),
        "limits": {"concurrency": pool.concurrency},
        "reports_load": pool.reports_load,
    }
    if pool.kind is UpstreamKind.ENGINE:
        upstream |= {"models": [MODEL], "protocol": "openai-completions"}
    if pool.kind is UpstreamKind.SERVICE:
        upstream["service"] = pool.id
    return upstream


def _stage(pool: Pool) -> dict[str, Any]:
    stage: dict[str, Any] = {"id": pool.id, "kind": pool.kind.value}
    if pool.kind is UpstreamKind.ENGINE:
        stage |= {"model": MODEL, "max_tokens": 64}
    return stage
