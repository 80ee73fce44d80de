"""Emulated model engine: continuous batching, prefix cache, streams and commands."""

import threading
import time
from collections.abc import Iterable, Mapping
from typing import Any

import msgspec
import urllib3

from chervilrack._internal.standins.upstreams.batch import Batch, pace
from chervilrack._internal.standins.upstreams.prefix_cache import PrefixCache
from chervilrack._internal.standins.upstreams.record import CallIds
from chervilrack._internal.standins.upstreams.server import ClientLeft, Exchange
from chervilrack._internal.standins.upstreams.text import token_text
from chervilrack._internal.standins.upstreams.upstream import POLL_S, EmulatedUpstream
from chervilrack._internal.upstreams.prompts import prefix_hashes, prompt_tokens

DEFAULT_MAX_TOKENS = 16  # default of the published protocol


class EngineTiming(msgspec.Struct, frozen=True):
    """Speeds in seconds: prefill per prompt token, decode per token, share per batch member."""

    prefill_token: float = 0.0002
    decode_token: float = 0.01
    batch_slope: float = 0.05
    load_time: float = 0.2


class _Model(msgspec.Struct):
    versions: set[str]
    active: str
    adapters: set[str]


class ModelEngine(EmulatedUpstream):
    """Answers ``POST /v1/completions``, whole or as a stream.

    ``models`` are loaded at the start. ``slots`` bounds the batch; further requests wait by
    priority. ``weight_store`` is the URL that models are loaded from; without it, loading only
    takes time. ``cache_blocks`` is the memory of the prefix cache.
    """

    work_paths = ("/v1/completions",)

    def __init__(
        self,
        name: str,
        *,
        models: Iterable[str] = ("m1",),
        slots: int = 8,
        timing: EngineTiming | None = None,
        cache_blocks: int = 256,
        event_lag: float = 0.0,
        event_gap: int = 0,
        weight_store: str | None = None,
        **options: Any,
    ) -> None:
        super().__init__(name, **options)
        self._models = {model: _Model({"1"}, "1", set()) for model in models}
        self._role = "mixed"
        self._batch = Batch(slots)
        self._timing = timing or EngineTiming()
        self._cache = PrefixCache(cache_blocks, event_lag, event_gap)
        self._weight_store = weight_store

    def _handle_other(self, exchange: Exchange) -> None:
        path, get = exchange.path, exchange.method == "GET"
        if path == "/models" and get:
            with self._state_lock:
                models = {
                    name: {
                        "versions": sorted(model.versions),
                        "active": model.active,
                        "adapters": sorted(model.adapters),
                    }
                    for name, model in self._models.items()
                }
            exchange.reply(200, {"models": models, "role": self._role})
        elif path == "/cache-events" and get:
            after = int(exchange.query.get("after", "0"))
            exchange.reply(200, {"events": self._cache.events(after)})
        elif path.startswith("/kv/") and get:
            held = self._cache.export(int(path.removeprefix("/kv/")))
            exchange.reply(200 if held else 404, held or {"error": "the prefix is not held"})
        elif path == "/kv" and exchange.method == "POST":
            body = exchange.body()
            self._cache.load(int(body["prefix_hash"]), int(body["tokens"]))
            exchange.reply(200, {})
        else:
            super()._handle_other(exchange)

    def _command(self, command: str, body: Mapping[str, Any]) -> bool:
        name, version = str(body.get("model", "")), str(body.get("version", "1"))
        with self._state_lock:
            model = self._models.get(name)
            if command == "set-role":
                self._role = str(body["role"])
            elif command == "unload-model":
                self._models.pop(name, None)
            elif command == "set-version" and model is not None and version in model.versions:
                model.active = version
            elif command == "load-adapter" and model is not None:
                model.adapters.add(str(body["adapter"]))
            elif command != "load-model":
                return super()._command(command, body)
        if command == "load-model":
            loader = threading.Thread(target=self._load_model, args=(name, version), daemon=True)
            loader.start()
        return True

    def _load_model(self, name: str, version: str) -> None:
        time.sleep(self._timing.load_time)
        if self._weight_store is not None:
            url = f"{self._weight_store}/weights/{name}/{version}"
            while urllib3.request("GET", url, retries=False).status == 429:
                time.sleep(0.1)
        with self._state_lock:
            model = self._models.setdefault(name, _Model(set(), version, set()))
            model.versions.add(version)

    def _tokens(self, body: Mapping[str, Any]) -> int:
        return prompt_tokens(str(body.get("prompt", ""))) + _max_tokens(body)

    def _accepts(self, exchange: Exchange, body: Mapping[str, Any]) -> bool:
        model, adapter = body.get("model"), body.get("adapter")
        held = None if model is None else self._models.get(str(model))
        if model is not None and held is None:
            return False
        return adapter is None or (held is not None and adapter in held.adapters)

    def _load(self) -> dict[str, float]:
        return {
            "running": float(self._batch.active),
            "waiting": float(self._batch.waiting),
        }

    def _work(self, exchange: Exchange, ids: CallIds, body: Mapping[str, Any]) -> None:
        prompt = str(body.get("prompt", ""))
        priority = int(exchange.headers.get("x-priority", "0"))
        start = int(body.get("resume_offset", 0))

        def left() -> bool:
            return self._faults.crash or exchange.disconnected()

        with self._batch.slot(priority, left):
            self._record.executed(ids)
            held = self._cache.use(prefix_hashes(prompt))
            fresh = max(0, prompt_tokens(prompt) - held) + start
            self._record.generated(0, prefilled=fresh)
            self._spend(exchange, fresh * self._timing.prefill_token)
            if body.get("stream"):
                self._stream(exchange, ids, body, start)
            else:
                text = "".join(self._decode(exchange, ids, body, start))
                choice = {"index": 0, "text": text, "finish_reason": "length"}
                answer = {"id": ids.request, "choices": [choice], "receipt": ids.receipt}
                self._answer(exchange, ids, answer)

    def _decode(
        self, exchange: Exchange, ids: CallIds, body: Mapping[str, Any], start: int
    ) -> Iterable[str]:
        prompt, seed = str(body.get("prompt", "")), int(body.get("seed", 0))
        due = time.monotonic()
        for offset in range(start, _max_tokens(body)):
            self._wait_while_hanging(exchange)
            crowd = 1.0 + self._timing.batch_slope * (self._batch.active - 1)
            due += self._timing.decode_token * crowd * self._faults.straggle
            while (rest := due - time.monotonic()) > POLL_S:
                time.sleep(min(rest, POLL_S))
                if self._faults.crash or exchange.disconnected():
                    raise ClientLeft
            pace(due)
            if self._faults.crash or exchange.disconnected():
                raise ClientLeft
            self._record.generated(1)
            yield token_text(prompt, seed, ids.request, ids.organisation, offset)

    def _stream(
        self, exchange: Exchange, ids: CallIds, body: Mapping[str, Any], start: int
    ) -> None:
        last = _max_tokens(body) - 1
        exchange.start(200, {**ids.echo, "Content-Type": "text/event-stream"})
        for number, text in enumerate(self._decode(exchange, ids, body, start)):
            if self._faults.break_after is not None and number >= self._faults.break_after:
                raise ClientLeft
            offset = start + number
            reason = "length" if offset == last else None
            choice = {"index": 0, "text": text, "finish_reason": reason}
            chunk = {"id": ids.request, "choices": [choice], "token_offset": offset, "tokens": 1}
            if reason is not None:
                self._end(exchange, ids)
            exchange.write(b"data: " + msgspec.json.encode(chunk) + b"\n\n")
        exchange.write(b"data: [DONE]\n\n")


def _max_tokens(body: Mapping[str, Any]) -> int:
    return int(body.get("max_tokens") or DEFAULT_MAX_TOKENS)
