"""Identifier types, distinct for the type checker."""

from typing import NewType

NodeId = NewType("NodeId", str)
Incarnation = NewType("Incarnation", str)
ZoneId = NewType("ZoneId", str)
RegionId = NewType("RegionId", str)
OrganisationId = NewType("OrganisationId", str)
TeamId = NewType("TeamId", str)
UpstreamId = NewType("UpstreamId", str)
PipelineId = NewType("PipelineId", str)
StageId = NewType("StageId", str)
ServiceId = NewType("ServiceId", str)
ModelId = NewType("ModelId", str)
RequestId = NewType("RequestId", str)
AttemptId = NewType("AttemptId", str)
LimitId = NewType("LimitId", str)
NoteId = NewType("NoteId", str)
IdempotencyKey = NewType("IdempotencyKey", str)
Epoch = NewType("Epoch", int)
ReleaseRevision = NewType("ReleaseRevision", int)
