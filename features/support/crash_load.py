"""Load of real serving nodes while requests with one part in common crash engine after engine."""

import http.client
import itertools
import random
import threading
import time
from dataclasses import dataclass, field

from chervilrack._internal.common.http_responses import StrictResponse

KEY = "k1"
# ``contactMs`` of the smallest sites, in seconds.
CONTACT_S = 3.0
FIRST_PART = "aaaa:500"
CRASHING_PART = "dead"
CRASHING_KEY = "crash-key"
CRASHES_ON = {
    "part": f"part {CRASHING_PART}",
    "path": "path /read/crash",
    "key": f"key {CRASHING_KEY}",
}
TIMEOUT_S = 6.0


@dataclass(slots=True)
class Answer:
    """What a caller got for one request; ``status`` is 0 if the connection ended before it."""

    request: str
    is_crashing: bool
    sent_at: float
    status: int = 0
    headers: dict = field(default_factory=dict)
    took: float = 0.0


class CrashLoad:
    """Sends sound requests and such that crash upstreams to nodes, at steady rates a second.

    ``kind`` is "part", "path" or "key"; a crashing part is in place ``position`` of its prompt.
    ``first`` is the number of the first request.
    """

    def __init__(
        self, addresses, kind="part", position=1, sound_rate=16.0, crashing_rate=4.0, first=1
    ):
        self._addresses = addresses
        self._kind = kind
        self._position = position
        self._rates = (sound_rate, crashing_rate)
        self._rng = random.Random(first)
        self._numbers = itertools.count(first)
        self._threads = []
        self.answers = []

    def run(self, lead_s, crashing_s):
        """Send sound requests for ``lead_s`` seconds, then both kinds for ``crashing_s``."""
        started = time.monotonic()
        begin, end = started + lead_s, started + lead_s + crashing_s
        events = [*self._times(started, end, 0), *self._times(begin, end, 1)]
        for at, is_crashing in sorted(events):
            time.sleep(max(0.0, at - time.monotonic()))
            self._start(bool(is_crashing))
        for thread in self._threads:
            thread.join(TIMEOUT_S + 1)
        return begin

    def _times(self, begin, end, kind):
        at = begin
        while (at := at + self._rng.expovariate(self._rates[kind])) < end:
            yield at, kind

    def _start(self, is_crashing):
        number = next(self._numbers)
        address = self._rng.choice(self._addresses)
        answer = Answer(f"r{number}", is_crashing, time.monotonic())
        self.answers.append(answer)
        path, fields = self._request(number, is_crashing)
        thread = threading.Thread(
            target=self._send, args=(address, answer, path, fields), daemon=True
        )
        self._threads.append(thread)
        thread.start()

    def _request(self, number, is_crashing):
        if self._kind == "path":
            return f"/read/{'crash' if is_crashing else number % 4}?workMs=100", {}
        if self._kind == "key":
            key = CRASHING_KEY if is_crashing else f"key-{number}"
            counts = {"Chervilrack-Chunk-Count": "2,2", "Chervilrack-Chunk-Key": key}
            return "/stream/staged/1?workMs=100", counts
        # Further parts, in all requests, so that the crashing one has nothing else to itself.
        parts = [FIRST_PART, *(f"b{level}{self._rng.randrange(4)}:80" for level in range(3))]
        if is_crashing:
            parts.insert(self._position, f"{CRASHING_PART}:90")
        parts.append(f"f{number:07x}:20")
        prompt = {
            "Chervilrack-Token-Usage": "1000,15",
            "Chervilrack-Prefix-Hash": ",".join(parts),
        }
        return "/stream/1?workMs=400", prompt

    @staticmethod
    def _send(address, answer, path, fields):
        connection = http.client.HTTPConnection(address, timeout=TIMEOUT_S)
        connection.response_class = StrictResponse
        headers = {
            "Host": "app.example",
            "Chervilrack-Request-Id": answer.request,
            "Chervilrack-Deadline-Ms": "4000",
            "Authorization": f"Token {KEY}",
            **fields,
        }
        try:
            connection.request("POST", path, answer.request.encode(), headers)
            response = connection.getresponse()
            answer.status, answer.headers = response.status, dict(response.headers)
            response.read()
        except (OSError, http.client.HTTPException):
            pass
        finally:
            answer.took = time.monotonic() - answer.sent_at
            connection.close()


def late_arrivals(crashes, arrivals, crashing_requests, contact_s=CONTACT_S):
    """Return the crashing requests that reached upstreams after the bound of the fifth crash."""
    times = sorted(at for _, at in crashes)
    if len(times) < 5:
        return []
    bound = times[4] + contact_s
    return [a for a in arrivals if a.request in crashing_requests and a.at > bound]


def started_share(answers, arrivals, begin, end):
    """Return the share of sound requests sent in a time that were at exactly one upstream first."""
    sound = [a for a in answers if not a.is_crashing and begin <= a.sent_at < end]
    started = {arrival.request for arrival in arrivals}
    begun = [a for a in sound if a.request in started and a.status == 200]
    return len(begun) / len(sound) if sound else 0.0
