"""Steps that compare the totals of a stage queue with those of plain lists."""

import random
from datetime import timedelta

from behave import then, when

from chervilrack._internal.batching.space import KeptResults
from chervilrack._internal.batching.state import Order, Piece
from chervilrack._internal.batching.waiting import WaitingPieces
from chervilrack._internal.common.ids import NodeId, RequestId, ServiceId

ZERO = timedelta(0)
LIFETIME = timedelta(seconds=4)


def make_order(number):
    return Order(
        id=(NodeId("n"), number),
        service=ServiceId("s"),
        request_id=RequestId(f"r{number}"),
        stage=0,
        key="k",
        inputs=(),
        due=ZERO,
        deadline=ZERO,
        result_size=100 * (1 + number % 3),
        queued_at=ZERO,
    )


@when("pieces of {orders:d} orders are added and removed {count:d} times with seed {seed:d}")
def change_waiting_pieces(context, orders, count, seed):
    rng = random.Random(seed)
    pieces = [Piece(order, n) for order in map(make_order, range(orders)) for n in range(4)]
    context.waiting, context.pieces = WaitingPieces(), []
    context.mismatches = []
    for _ in range(count):
        piece = rng.choice(pieces)
        if rng.random() < 0.55:
            context.waiting.add(piece)
            if piece not in context.pieces:
                context.pieces.append(piece)
        elif rng.random() < 0.1:
            context.waiting.remove_all(context.waiting.of_order(piece.order.id))
            context.pieces = [p for p in context.pieces if p.order is not piece.order]
        else:
            context.waiting.remove(piece)
            context.pieces = [p for p in context.pieces if p is not piece]
        compare_pieces(context)


def compare_pieces(context):
    waiting, pieces = context.waiting, context.pieces
    sizes = [piece.order.result_size for piece in pieces]
    actual = (len(waiting), bool(waiting), waiting.result_bytes, {id(p) for p in waiting})
    if actual != (len(pieces), bool(pieces), sum(sizes), {id(p) for p in pieces}):
        context.mismatches.append(actual)
    if pieces and waiting.smallest_result != min(sizes):
        context.mismatches.append(waiting.smallest_result)
    if {o.id for o in waiting.orders} != {p.order.id for p in pieces}:
        context.mismatches.append(waiting.orders)


@then("the waiting pieces and their totals match a plain list")
@then("the kept results and their totals match a plain list")
def check_no_mismatches(context):
    assert not context.mismatches, context.mismatches[:3]


@when("results are kept, marked, freed and expire {count:d} times with seed {seed:d}")
def change_kept_results(context, count, seed):
    rng = random.Random(seed)
    kept, model, now = KeptResults(), {}, ZERO
    context.mismatches = []
    for number in range(count):
        handle = rng.choice([*model, f"h{number}"])
        match rng.choice(["add", "add", "spare", "free", "failed", "remove", "expire"]):
            case "add" if handle not in model:
                size = rng.randrange(1, 9) * 100
                kept.add(handle, size, now + LIFETIME)
                model[handle] = [size, False, False, now + LIFETIME]
            case "spare" if handle in model:
                kept.mark(handle, evictable=True)
                model[handle][1] = True
            case "free" if handle in model:
                kept.mark(handle, being_freed=True)
                model[handle][2] = True
            case "failed" if handle in model:
                kept.mark(handle, evictable=False, being_freed=False)
                model[handle][1:3] = [False, False]
            case "remove":
                kept.remove(handle)
                model.pop(handle, None)
            case "expire":
                now += timedelta(seconds=rng.random())
                kept.expire(now)
                model = {h: entry for h, entry in model.items() if entry[3] > now}
        compare_results(context, kept, model)


def compare_results(context, kept, model):
    actual = (kept.total_bytes, kept.evictable_bytes, kept.being_freed_bytes, kept.next_expiry)
    expected = (
        sum(size for size, *_ in model.values()),
        sum(size for size, evictable, _, _ in model.values() if evictable),
        sum(size for size, _, being_freed, _ in model.values() if being_freed),
        min((expires_at for *_, expires_at in model.values()), default=None),
    )
    if actual != expected:
        context.mismatches.append((actual, expected))
