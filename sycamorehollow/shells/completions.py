"""Conversion of streamed chunks to complete chat completions."""

import json
from typing import Any

from sycamorehollow.shells import framing


def join_text(block: bytes) -> str:
    """Returns the concatenated text of a block of events."""
    parts = []
    for data in framing.parse_events(block):
        for choice in json.loads(data).get("choices", ()):
            parts.append(choice.get("delta", {}).get("content") or "")
    return "".join(parts)


def build_completion(block: bytes) -> dict[str, Any]:
    """Returns the chat completion assembled from streamed chunks.

    Args:
        block: All events of the response except the end marker.
    """
    completion: dict[str, Any] = {"object": "chat.completion", "choices": []}
    choices: dict[int, dict[str, Any]] = {}
    for data in framing.parse_events(block):
        chunk = json.loads(data)
        for name in ("id", "created", "model", "usage"):
            if chunk.get(name) is not None:
                completion[name] = chunk[name]
        for part in chunk.get("choices", ()):
            _extend_choice(choices, part)
    completion["choices"] = [choices[index] for index in sorted(choices)]
    return completion


def _extend_choice(
    choices: dict[int, dict[str, Any]], part: dict[str, Any]
) -> None:
    index = part.get("index", 0)
    choice = choices.setdefault(
        index,
        {
            "index": index,
            "message": {"role": "assistant", "content": ""},
            "finish_reason": None,
        },
    )
    delta = part.get("delta", {})
    message = choice["message"]
    message["content"] += delta.get("content") or ""
    if delta.get("role"):
        message["role"] = delta["role"]
    if part.get("finish_reason") is not None:
        choice["finish_reason"] = part["finish_reason"]
