"""Sizes and prefixes of prompts, as engines and the limits on tokens count them."""

import xxhash

BYTES_PER_TOKEN = 4  # usual average of the models' tokenizers for Latin scripts
BLOCK_TOKENS = 64
_BLOCK_BYTES = BLOCK_TOKENS * BYTES_PER_TOKEN


def prompt_tokens(prompt: str) -> int:
    """Return the number of tokens that a prompt is charged with."""
    return -(-len(prompt.encode()) // BYTES_PER_TOKEN)


def prefix_hashes(prompt: str, most: int = 32) -> tuple[int, ...]:
    """Return the 64-bit XXH3 hashes of the prompt's whole-block prefixes, shortest first.

    Engines name the prefixes in their cache events by the same hashes. At most ``most`` prefixes
    are hashed, so the cost for a long prompt is bounded.
    """
    content = prompt.encode()
    hasher = xxhash.xxh3_64()
    hashes = []
    for end in range(_BLOCK_BYTES, min(len(content), most * _BLOCK_BYTES) + 1, _BLOCK_BYTES):
        hasher.update(content[end - _BLOCK_BYTES : end])
        hashes.append(hasher.intdigest())
    return tuple(hashes)
