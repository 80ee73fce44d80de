"""Translates requests into tasks and the calls that carry them out."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

from result import Err, Ok, Result

from chervilrack._internal.common.ids import IdempotencyKey, OrganisationId, StageId
from chervilrack._internal.common.results import Problem, ResultCode
from chervilrack._internal.execution.candidates import CandidateFinder
from chervilrack._internal.execution.deadlines import divide
from chervilrack._internal.execution.port import PipelineRequest, ServiceRequest
from chervilrack._internal.execution.tasks import Group, Task, TaskId
from chervilrack._internal.releases.state import (
    Configuration,
    Pipeline,
    Stage,
    UpstreamKind,
)
from chervilrack._internal.routing.port import Estimate, RouteContext, Router
from chervilrack._internal.upstreams.completions import completion_body
from chervilrack._internal.upstreams.prompts import prefix_hashes, prompt_tokens

DEFAULT_MAX_TOKENS = 16  # default of the completions protocol
PATHS: Mapping[UpstreamKind, str] = {
    UpstreamKind.ENGINE: "/v1/completions",
    UpstreamKind.ENCODER: "/encode",
    UpstreamKind.RETRIEVER: "/retrieve",
    UpstreamKind.RERANKER: "/rerank",
}
# Classes multiply the weight of an organisation instead of going strictly first, so that no class
# can starve another. The numbers are also the priorities that engines receive.
CLASS_WEIGHTS: Mapping[str, float] = {"interactive": 4.0, "standard": 1.0, "batch": 0.25}
CLASS_PRIORITIES: Mapping[str, int] = {"interactive": 2, "standard": 1, "batch": 0}


@dataclass(frozen=True, slots=True)
class StageWork:
    """A task with what is sent for it; ``problem`` is set if it can never be sent."""

    task: Task
    path: str
    body: Mapping[str, Any]
    priority: int
    priority_class: str
    idempotency_key: IdempotencyKey | None = None
    problem: Problem | None = None


@dataclass(frozen=True, slots=True)
class PipelinePlan:
    """Definition of a pipeline as it was when the request began; a change affects later ones.

    ``previews`` are the stages' tasks as far as they are known then, for early rejection.
    """

    request: PipelineRequest
    pipeline: Pipeline
    weight: float
    estimates: tuple[Estimate, ...]
    previews: tuple[Task, ...]


@dataclass(frozen=True, slots=True)
class _EngineSize:
    """Tokens to be charged, those of the output among them, and the prompt's prefixes."""

    tokens: int
    output: int
    prefix_hashes: tuple[int, ...] = ()


_NO_TOKENS = _EngineSize(0, 0)


class WorkPlanner:
    """Makes tasks under the configuration in force. Calls need the lock of the cores."""

    def __init__(
        self,
        configuration: Callable[[], Configuration],
        router: Router,
        candidates: CandidateFinder,
    ) -> None:
        self._configuration = configuration
        self._router = router
        self._candidates = candidates

    def pipeline(self, request: PipelineRequest) -> Result[PipelinePlan, Problem]:
        """Plan a request for a pipeline."""
        configuration = self._configuration()
        pipeline = configuration.pipelines.get(request.pipeline)
        if pipeline is None:
            detail = f"there is no pipeline '{request.pipeline}'"
            return Err(Problem(ResultCode.UNKNOWN_PIPELINE, detail))
        if not pipeline.stages:
            detail = f"pipeline '{request.pipeline}' has no stages"
            return Err(Problem(ResultCode.UNKNOWN_PIPELINE, detail))
        weight = _weight(configuration, request.organisation, request.priority_class)
        contexts = [
            _context(pipeline, stage, request.organisation, _expected_size(request, stage))
            for stage in pipeline.stages
        ]
        estimates = tuple(
            self._estimate(_group(stage), context)
            for stage, context in zip(pipeline.stages, contexts, strict=True)
        )
        previews = tuple(
            _preview(request, stage, context, weight, estimate)
            for stage, context, estimate in zip(pipeline.stages, contexts, estimates, strict=True)
        )
        return Ok(PipelinePlan(request, pipeline, weight, estimates, previews))

    def stage(
        self, plan: PipelinePlan, number: int, previous: Mapping[str, Any] | None, now: timedelta
    ) -> StageWork:
        """Make the task of one stage, given the answer of the stage before it."""
        request, stage = plan.request, plan.pipeline.stages[number]
        body: dict[str, Any] = {"input": request.body, "previous": previous}
        size = _NO_TOKENS
        if stage.kind is UpstreamKind.ENGINE:
            size = _complete_engine_body(body, stage)
        group = _group(stage)
        context = _context(plan.pipeline, stage, request.organisation, size)
        estimate = self._estimate(group, context)
        window = divide(now, request.deadline, (estimate, *plan.estimates[number + 1 :]))
        task = Task(
            id=TaskId(f"{request.request_id}/{number}"),
            request_id=request.request_id,
            organisation=request.organisation,
            group=group,
            context=context,
            due=window.due,
            deadline=window.latest,
            weight=plan.weight,
            cost=_cost(estimate),
            tokens=size.tokens,
            idempotent=stage.idempotent,
        )
        priority = CLASS_PRIORITIES.get(request.priority_class, CLASS_PRIORITIES["standard"])
        return StageWork(
            task,
            PATHS[stage.kind],
            body,
            priority,
            request.priority_class,
            problem=self._too_large(group, size.tokens),
        )

    def service(self, request: ServiceRequest) -> Result[StageWork, Problem]:
        """Make the task of one call of a plain service."""
        configuration = self._configuration()
        service = configuration.services.get(request.service)
        operations = () if service is None else service.operations
        operation = next((one for one in operations if one.name == request.operation), None)
        if operation is None:
            detail = f"there is no operation '{request.service}/{request.operation}'"
            return Err(Problem(ResultCode.UNKNOWN_SERVICE, detail))
        group = Group(UpstreamKind.SERVICE, service=request.service)
        context = RouteContext(
            StageId(f"{request.service}/{request.operation}"), request.organisation
        )
        task = Task(
            id=TaskId(f"{request.request_id}/0"),
            request_id=request.request_id,
            organisation=request.organisation,
            group=group,
            context=context,
            due=request.deadline,
            deadline=request.deadline,
            weight=_weight(configuration, request.organisation, request.priority_class),
            cost=_cost(self._estimate(group, context)),
            idempotent=operation.idempotent,
        )
        return Ok(
            StageWork(
                task,
                f"/operations/{request.operation}",
                request.body,
                CLASS_PRIORITIES.get(request.priority_class, CLASS_PRIORITIES["standard"]),
                request.priority_class,
                request.idempotency_key,
            )
        )

    def _too_large(self, group: Group, tokens: int) -> Problem | None:
        """Return the problem of work whose tokens exceed every limit.

        At the head of its queue it would hold up everything behind it until its deadline.
        """
        if not tokens or not self._candidates(group):
            return None
        most = self._candidates.most_tokens(group)
        if most is None or tokens <= most:
            return None
        detail = f"the request needs {tokens} tokens, but the limits allow {most} per second"
        return Problem(ResultCode.BODY_TOO_LARGE, detail)

    def _estimate(self, group: Group, context: RouteContext) -> Estimate:
        candidates = self._candidates(group)
        if not candidates:
            return Estimate(timedelta(0), timedelta(0))
        return self._router.stage_estimate(candidates, context)


def _group(stage: Stage) -> Group:
    return Group(stage.kind, stage.model, stage.adapter)


def _context(
    pipeline: Pipeline, stage: Stage, organisation: OrganisationId, size: _EngineSize
) -> RouteContext:
    return RouteContext(
        stage=StageId(f"{pipeline.id}/{stage.id}"),
        organisation=organisation,
        model=stage.model,
        adapter=stage.adapter,
        tokens=size.tokens,
        output_tokens=size.output,
        prefix_hashes=size.prefix_hashes,
    )


def _preview(
    request: PipelineRequest,
    stage: Stage,
    context: RouteContext,
    weight: float,
    estimate: Estimate,
) -> Task:
    """Return the task of a stage as far as it is known before the request begins."""
    return Task(
        id=TaskId(f"{request.request_id}/{stage.id}"),
        request_id=request.request_id,
        organisation=request.organisation,
        group=_group(stage),
        context=context,
        due=request.deadline,
        deadline=request.deadline,
        weight=weight,
        cost=_cost(estimate),
    )


def _expected_size(request: PipelineRequest, stage: Stage) -> _EngineSize:
    """Return the size of a stage before the answers of the stages before it are known."""
    if stage.kind is not UpstreamKind.ENGINE:
        return _NO_TOKENS
    return _complete_engine_body({"input": request.body, "previous": None}, stage)


def _complete_engine_body(body: dict[str, Any], stage: Stage) -> _EngineSize:
    """Add what an engine needs; return the size of the work."""
    given = body["input"].get("max_tokens")
    limits = [stage.max_tokens] if stage.max_tokens else []
    if isinstance(given, int) and given > 0:
        limits.append(given)
    output = body["max_tokens"] = min(limits, default=DEFAULT_MAX_TOKENS)
    if stage.model is not None:
        body["model"] = stage.model
    if stage.adapter is not None:
        body["adapter"] = stage.adapter
    prompt = completion_body(body)["prompt"]
    return _EngineSize(prompt_tokens(prompt) + output, output, prefix_hashes(prompt))


def _weight(configuration: Configuration, name: OrganisationId, priority_class: str) -> float:
    organisation = configuration.organisations.get(name)
    weight = 1.0 if organisation is None else organisation.weight
    return max(weight, 1e-6) * CLASS_WEIGHTS.get(priority_class, CLASS_WEIGHTS["standard"])


def _cost(estimate: Estimate) -> float:
    return max(estimate.mean.total_seconds(), 1e-6)  # zero would stop virtual time
