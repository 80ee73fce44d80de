"""The pipeline runner of a node with emulated upstreams, and fakes for the node's other parts."""

import itertools
import threading
import time
from contextlib import ExitStack
from datetime import timedelta

from features.support.execution_fakes import FakePermits, FakeRouter, FakeTelemetry

from chervilrack._internal.common.clock import SystemClock
from chervilrack._internal.execution.candidates import CandidateFinder
from chervilrack._internal.execution.port import PipelineRequest, ServiceRequest
from chervilrack._internal.execution.runner import PipelineRunner
from chervilrack._internal.execution.scheduler import Scheduler
from chervilrack._internal.execution.work import WorkPlanner
from chervilrack._internal.releases.state import (
    Configuration,
    Operation,
    Pipeline,
    Service,
    Stage,
    Upstream,
    UpstreamKind,
)
from chervilrack._internal.standins.upstreams.engine import EngineTiming, ModelEngine
from chervilrack._internal.standins.upstreams.server import StandinServer
from chervilrack._internal.standins.upstreams.simple import (
    Encoder,
    PlainService,
    Reranker,
    Retriever,
)
from chervilrack._internal.upstreams.connections import ConnectionPools
from chervilrack._internal.upstreams.protocols import create_clients

TIMING = EngineTiming(prefill_token=0.0, decode_token=0.002)
TOKENS = 6
WAIT_LIMIT_S = 20  # only bounds the time of a failing scenario


class ExecutionNode:
    """Context manager that runs a pipeline runner and its upstreams."""

    def __init__(self, engines=2):
        self.stack = ExitStack()
        self.request_numbers = itertools.count(1)
        self.clock = SystemClock()
        self.router = FakeRouter(mean=0.03, spread=0.01)
        self.permits = FakePermits()
        self.telemetry = FakeTelemetry()
        self.may_act = lambda: True
        self.may_send = lambda: True
        self.engines = engines

    def __enter__(self):
        server = self.stack.enter_context(StandinServer())
        enter = self.stack.enter_context
        self.engines = [
            enter(ModelEngine(f"engine-{number}", server=server, timing=TIMING))
            for number in range(self.engines)
        ]
        options = {"server": server, "service_time": 0.002}
        self.encoder = enter(Encoder("encoder", **options))
        self.retriever = enter(Retriever("retriever", **options))
        self.reranker = enter(Reranker("reranker", **options))
        self.service = enter(PlainService("stock", **options))
        self.configuration = self._configure()
        pools = enter(ConnectionPools())
        find_candidates = CandidateFinder(lambda: self.configuration)
        self.scheduler = Scheduler(self.router, self.permits, find_candidates)
        self.runner = enter(
            PipelineRunner(
                scheduler=self.scheduler,
                planner=WorkPlanner(lambda: self.configuration, self.router, find_candidates),
                clients=create_clients(pools, self._call_may_send),
                lock=threading.RLock(),
                clock=self.clock,
                may_act=self._call_may_act,
                telemetry=self.telemetry,
            )
        )
        return self

    def __exit__(self, *_exception):
        self.stack.close()

    # Looked up at every call, as scenarios replace may_act and may_send while the node runs.
    def _call_may_act(self):
        return self.may_act()

    def _call_may_send(self):
        return self.may_send()

    @property
    def upstreams(self):
        return [*self.engines, self.encoder, self.retriever, self.reranker, self.service]

    def _configure(self):
        kinds = [
            (self.encoder, UpstreamKind.ENCODER),
            (self.retriever, UpstreamKind.RETRIEVER),
            (self.reranker, UpstreamKind.RERANKER),
        ]
        upstreams = [
            Upstream(standin.name, "forge", kind, standin.address, "z") for standin, kind in kinds
        ]
        upstreams += [
            Upstream(
                engine.name,
                "forge",
                UpstreamKind.ENGINE,
                engine.address,
                "z",
                models=("m1",),
                protocol="openai-completions",
            )
            for engine in self.engines
        ]
        service = UpstreamKind.SERVICE
        upstreams.append(
            Upstream("stock", "forge", service, self.service.address, "z", service="stock")
        )
        generate = Stage("generate", UpstreamKind.ENGINE, model="m1", max_tokens=400)
        stages = (
            Stage("encode", UpstreamKind.ENCODER),
            Stage("retrieve", UpstreamKind.RETRIEVER),
            Stage("rerank", UpstreamKind.RERANKER),
            generate,
        )
        return Configuration(
            upstreams={upstream.id: upstream for upstream in upstreams},
            pipelines={
                "search": Pipeline("search", stages),
                "write": Pipeline("write", (generate,)),
            },
            services={
                "stock": Service("stock", (Operation("look"), Operation("pay", idempotent=False)))
            },
        )

    def deadline(self, seconds=10.0):
        return self.clock.monotonic() + timedelta(seconds=seconds)

    def pipeline_request(self, pipeline="write", organisation="guild", tokens=TOKENS, time=10.0):
        number = next(self.request_numbers)
        body = {"prompt": f"prompt {number}", "seed": number, "max_tokens": tokens}
        return PipelineRequest(
            f"r-{number}", organisation, "standard", pipeline, body, self.deadline(time)
        )

    def service_request(self, operation="look", service="stock", time=10.0):
        number = next(self.request_numbers)
        body = {"number": number}
        return ServiceRequest(
            f"r-{number}", "guild", "standard", service, operation, body, self.deadline(time)
        )

    def wait_for(self, condition):
        end = time.monotonic() + WAIT_LIMIT_S
        while not condition():
            assert time.monotonic() < end, "the expected state was not reached in time"
            time.sleep(0.005)
