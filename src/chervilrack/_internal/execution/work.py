"""Translates requests into tasks and the content of the calls to upstreams."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

from result import Err, Ok, Result

from chervilrack._internal.common.ids import IdempotencyKey, OrganisationId, StageId
from chervilrack._internal.common.results import Problem, ResultCode
from chervilrack._internal.execution.candidates import CandidateFinder
from chervilrack._internal.execution.deadlines import first_stage_window
from chervilrack._internal.execution.port import PipelineRequest, ServiceRequest
from chervilrack._internal.execution.tasks import Task, TaskId, UpstreamGroup
from chervilrack._internal.releases.state import (
    Configuration,
    Pipeline,
    Stage,
    UpstreamKind,
)
from chervilrack._internal.routing.port import Estimate, RouteContext, Router
from chervilrack._internal.upstreams.completions import completion_body
from chervilrack._internal.upstreams.prompts import prefix_hashes, prompt_tokens

DEFAULT_MAX_TOKENS = 16  # default value of the completions protocol
PATHS: Mapping[UpstreamKind, str] = {
    UpstreamKind.ENGINE: "/v1/completions",
    UpstreamKind.ENCODER: "/encode",
    UpstreamKind.RETRIEVER: "/retrieve",
    UpstreamKind.RERANKER: "/rerank",
}
# A priority class multiplies the weight of an organisation. Strict priorities would let one class
# starve another.
CLASS_WEIGHTS: Mapping[str, float] = {"interactive": 4.0, "standard": 1.0, "batch": 0.25}
# Priorities that engines receive with a call.
CLASS_PRIORITIES: Mapping[str, int] = {"interactive": 2, "standard": 1, "batch": 0}


@dataclass(frozen=True, slots=True)
class StageWork:
    """A task and the content of its calls; ``problem`` is set if the task can never be sent."""

    task: Task
    path: str
    body: Mapping[str, Any]
    priority: int
    priority_class: str
    idempotency_key: IdempotencyKey | None = None
    problem: Problem | None = None


@dataclass(frozen=True, slots=True)
class PipelinePlan:
    """Definition of a pipeline when the request began; later changes do not affect the request.

    ``previews`` are preliminary tasks of all stages, used to reject a hopeless request early.
    """

    request: PipelineRequest
    pipeline: Pipeline
    weight: float
    estimates: tuple[Estimate, ...]
    previews: tuple[Task, ...]


@dataclass(frozen=True, slots=True)
class _TokenCounts:
    """Tokens of prompt and maximum output together, of the output alone, and prefix hashes."""

    tokens: int
    output: int
    prefix_hashes: tuple[int, ...] = ()


_NO_TOKENS = _TokenCounts(0, 0)


class WorkPlanner:
    """Plans tasks under the configuration in force; the caller holds the lock of the cores."""

    def __init__(
        self,
        configuration: Callable[[], Configuration],
        router: Router,
        find_candidates: CandidateFinder,
    ) -> None:
        self._configuration = configuration
        self._router = router
        self._find_candidates = find_candidates

    def plan_pipeline(self, request: PipelineRequest) -> Result[PipelinePlan, Problem]:
        """Return the plan of a request for a pipeline, or why there is none."""
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
            _route_context(
                pipeline, stage, request.organisation, _preliminary_token_counts(request, stage)
            )
            for stage in pipeline.stages
        ]
        estimates = tuple(
            self._estimate(_upstream_group(stage), context)
            for stage, context in zip(pipeline.stages, contexts, strict=True)
        )
        previews = tuple(
            _preview(request, stage, context, weight, estimate)
            for stage, context, estimate in zip(pipeline.stages, contexts, estimates, strict=True)
        )
        return Ok(PipelinePlan(request, pipeline, weight, estimates, previews))

    def plan_stage(
        self, plan: PipelinePlan, number: int, previous: Mapping[str, Any] | None, now: timedelta
    ) -> StageWork:
        """Return the work of stage ``number``, given the answer of the ``previous`` stage."""
        request, stage = plan.request, plan.pipeline.stages[number]
        body: dict[str, Any] = {"input": request.body, "previous": previous}
        token_counts = _NO_TOKENS
        if stage.kind is UpstreamKind.ENGINE:
            token_counts = _complete_engine_body(body, stage)
        group = _upstream_group(stage)
        context = _route_context(plan.pipeline, stage, request.organisation, token_counts)
        estimate = self._estimate(group, context)
        window = first_stage_window(
            now, request.deadline, (estimate, *plan.estimates[number + 1 :])
        )
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
            tokens=token_counts.tokens,
            idempotent=stage.idempotent,
        )
        priority = CLASS_PRIORITIES.get(request.priority_class, CLASS_PRIORITIES["standard"])
        return StageWork(
            task,
            PATHS[stage.kind],
            body,
            priority,
            request.priority_class,
            problem=self._token_limit_problem(group, token_counts.tokens),
        )

    def plan_service(self, request: ServiceRequest) -> Result[StageWork, Problem]:
        """Return the work of one call of a plain service, or why the call is impossible."""
        configuration = self._configuration()
        service = configuration.services.get(request.service)
        operations = () if service is None else service.operations
        operation = next(
            (candidate for candidate in operations if candidate.name == request.operation), None
        )
        if operation is None:
            detail = f"there is no operation '{request.service}/{request.operation}'"
            return Err(Problem(ResultCode.UNKNOWN_SERVICE, detail))
        group = UpstreamGroup(UpstreamKind.SERVICE, service=request.service)
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

    def _token_limit_problem(self, group: UpstreamGroup, tokens: int) -> Problem | None:
        """Return the problem of work that needs more tokens than the limits ever allow.

        Such a task would block the queue behind it until its deadline.
        """
        if not tokens or not self._find_candidates(group):
            return None
        allowed = self._find_candidates.max_request_tokens(group)
        if allowed is None or tokens <= allowed:
            return None
        detail = f"the request needs {tokens} tokens, but the limits allow {allowed} per second"
        return Problem(ResultCode.BODY_TOO_LARGE, detail)

    def _estimate(self, group: UpstreamGroup, context: RouteContext) -> Estimate:
        candidates = self._find_candidates(group)
        if not candidates:
            return Estimate(timedelta(0), timedelta(0))
        return self._router.stage_estimate(candidates, context)


def _upstream_group(stage: Stage) -> UpstreamGroup:
    return UpstreamGroup(stage.kind, stage.model, stage.adapter)


def _route_context(
    pipeline: Pipeline, stage: Stage, organisation: OrganisationId, token_counts: _TokenCounts
) -> RouteContext:
    return RouteContext(
        stage=StageId(f"{pipeline.id}/{stage.id}"),
        organisation=organisation,
        model=stage.model,
        adapter=stage.adapter,
        tokens=token_counts.tokens,
        output_tokens=token_counts.output,
        prefix_hashes=token_counts.prefix_hashes,
    )


def _preview(
    request: PipelineRequest,
    stage: Stage,
    context: RouteContext,
    weight: float,
    estimate: Estimate,
) -> Task:
    """Return the preliminary task of a stage, before the answers of earlier stages are known."""
    return Task(
        id=TaskId(f"{request.request_id}/{stage.id}"),
        request_id=request.request_id,
        organisation=request.organisation,
        group=_upstream_group(stage),
        context=context,
        due=request.deadline,
        deadline=request.deadline,
        weight=weight,
        cost=_cost(estimate),
    )


def _preliminary_token_counts(request: PipelineRequest, stage: Stage) -> _TokenCounts:
    """Return the token counts of a stage before the answers of earlier stages are known."""
    if stage.kind is not UpstreamKind.ENGINE:
        return _NO_TOKENS
    return _complete_engine_body({"input": request.body, "previous": None}, stage)


def _complete_engine_body(body: dict[str, Any], stage: Stage) -> _TokenCounts:
    """Add the engine's parameters to ``body``; return the token counts of the call."""
    requested = body["input"].get("max_tokens")
    limits = [stage.max_tokens] if stage.max_tokens else []
    if isinstance(requested, int) and requested > 0:
        limits.append(requested)
    output = body["max_tokens"] = min(limits, default=DEFAULT_MAX_TOKENS)
    if stage.model is not None:
        body["model"] = stage.model
    if stage.adapter is not None:
        body["adapter"] = stage.adapter
    prompt = completion_body(body)["prompt"]
    return _TokenCounts(prompt_tokens(prompt) + output, output, prefix_hashes(prompt))


def _weight(
    configuration: Configuration, organisation_id: OrganisationId, priority_class: str
) -> float:
    organisation = configuration.organisations.get(organisation_id)
    weight = 1.0 if organisation is None else organisation.weight
    return max(weight, 1e-6) * CLASS_WEIGHTS.get(priority_class, CLASS_WEIGHTS["standard"])


def _cost(estimate: Estimate) -> float:
    # A cost of zero would stop the virtual time of the fair queue.
    return max(estimate.mean.total_seconds(), 1e-6)
