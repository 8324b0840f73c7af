"""Validated models of request bodies of callers and operators."""

from typing import Annotated
from typing import Any
from typing import Literal

import pydantic

# A token is about four characters of ordinary text.
CHARACTERS_PER_TOKEN = 4
DEFAULT_MAX_OUTPUT_TOKENS = 1024


class Message(pydantic.BaseModel):
    """Message of a conversation."""

    model_config = pydantic.ConfigDict(extra="allow")

    role: str
    content: str | list[dict[str, Any]] | None = None


class StreamOptions(pydantic.BaseModel):
    """Options of a streamed response."""

    model_config = pydantic.ConfigDict(extra="allow")

    include_usage: bool = False


class ChatBody(pydantic.BaseModel):
    """Body of a chat-completions request.

    Unknown fields are accepted and passed on to the engine.
    """

    model_config = pydantic.ConfigDict(extra="allow")

    model: Annotated[str, pydantic.Field(min_length=1)]
    messages: Annotated[list[Message], pydantic.Field(min_length=1)]
    stream: bool = False
    stream_options: StreamOptions | None = None
    max_tokens: Annotated[int | None, pydantic.Field(gt=0)] = None
    max_completion_tokens: Annotated[int | None, pydantic.Field(gt=0)] = None
    metadata: dict[str, str] | None = None

    def count_prompt_tokens(self) -> int:
        """Returns the estimated prompt length in tokens."""
        characters = 0
        for message in self.messages:
            if isinstance(message.content, str):
                characters += len(message.content)
                continue
            for part in message.content or ():
                characters += len(str(part.get("text", "")))
        return characters // CHARACTERS_PER_TOKEN + 1

    def join_messages(self) -> str:
        """Returns the prompt text that engines hash for their prefix cache."""
        pieces = []
        for message in self.messages:
            content = message.content or ""
            if isinstance(content, list):
                content = "".join(part.get("text", "") for part in content)
            pieces.append(f"{message.role}:{content}")
        return "\n".join(pieces)

    def limit_output_tokens(self) -> int:
        """Returns the maximum response length in tokens."""
        return (
            self.max_completion_tokens
            or self.max_tokens
            or DEFAULT_MAX_OUTPUT_TOKENS
        )


class StopBody(pydantic.BaseModel):
    """Body of an operator's request to stop a roll-out."""

    model_config = pydantic.ConfigDict(extra="forbid")

    rollout: Annotated[str, pydantic.Field(min_length=1)]
    reason: Annotated[str, pydantic.Field(min_length=1, max_length=500)]


class DrainBody(pydantic.BaseModel):
    """Body of an operator's drain request.

    The request goes to an entry process directly, so that it works while the
    store is unavailable.
    """

    model_config = pydantic.ConfigDict(extra="forbid")

    scope: Literal["upstream", "data_centre"]
    name: Annotated[str, pydantic.Field(min_length=1)]


def describe_faults(error: pydantic.ValidationError) -> str:
    """Returns one line with the path and message of each invalid field."""
    faults = []
    for fault in error.errors():
        path = ".".join(str(part) for part in fault["loc"]) or "body"
        faults.append(f"{path}: {fault['msg']}")
    return "; ".join(faults)
