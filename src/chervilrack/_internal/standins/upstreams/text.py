"""Generated text that can be predicted, so that tests compare streams token by token."""

import xxhash

from chervilrack._internal.standins.upstreams.record import receipt

_SYLLABLES = ("ka", "lo", "mi", "nu", "pe", "ra", "si", "to", "ve", "wa", "xo", "yu", "za", "bri")


def token_text(prompt: str, seed: int, request: str, organisation: str, offset: int) -> str:
    """Return the output token at ``offset``.

    The first token is the receipt of request and organisation; the others depend on prompt, seed
    and offset only.
    """
    if offset == 0:
        return receipt(request, organisation)
    number = xxhash.xxh3_64_intdigest(f"{seed}\0{offset}\0{prompt}".encode())
    parts = [_SYLLABLES[(number >> shift) % len(_SYLLABLES)] for shift in (0, 16, 32)]
    return " " + "".join(parts)


def expected_text(prompt: str, seed: int, request: str, organisation: str, tokens: int) -> str:
    """Return the whole output of ``tokens`` tokens."""
    return "".join(
        token_text(prompt, seed, request, organisation, offset) for offset in range(tokens)
    )
