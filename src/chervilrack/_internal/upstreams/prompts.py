"""Token counts and prefix hashes of prompts, as model engines and token limits use them."""

import xxhash

BYTES_PER_TOKEN = 4  # typical average of model tokenizers for text in Latin scripts
BLOCK_TOKENS = 64
_BLOCK_BYTES = BLOCK_TOKENS * BYTES_PER_TOKEN


def prompt_tokens(prompt: str) -> int:
    """Return the estimated token count of ``prompt``, which token limits charge for it."""
    return -(-len(prompt.encode()) // BYTES_PER_TOKEN)


def prefix_hashes(prompt: str, max_prefixes: int = 32) -> tuple[int, ...]:
    """Return the 64-bit XXH3 hashes of the prompt's prefixes of whole blocks, shortest first.

    Engines identify prefixes by the same hashes in their cache events. At most ``max_prefixes``
    prefixes are hashed, which bounds the cost of a long prompt.
    """
    content = prompt.encode()
    hasher = xxhash.xxh3_64()
    hashes = []
    for end in range(
        _BLOCK_BYTES, min(len(content), max_prefixes * _BLOCK_BYTES) + 1, _BLOCK_BYTES
    ):
        hasher.update(content[end - _BLOCK_BYTES : end])
        hashes.append(hasher.intdigest())
    return tuple(hashes)
