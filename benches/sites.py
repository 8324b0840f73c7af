"""Shapes of deployments for the benches of whole nodes."""

from collections.abc import Mapping
import dataclasses
import json
from typing import Any

CAPACITY_TOKENS = 60000
RATE = 1000.0
REQUEST_RATE = 100.0
BEARABLE = 4
VERSION = "v-1"


@dataclasses.dataclass(frozen=True)
class Site:
    """The shape of a deployment.

    Attributes:
        replicas: Model replicas in each data centre.
        entries: Entry processes in each data centre.
        far_s: One way between two data centres in seconds.
        workspaces: Documents of the workspaces.
    """

    replicas: tuple[int, ...]
    entries: int
    far_s: float
    workspaces: dict[str, Any]
    near_s: float = 0.0003


def write_platform(replicas: Mapping[str, str], out: str, number: int) -> str:
    """Returns the platform branch.

    Args:
        replicas: Data centre of each replica.
        out: A data centre that is out of service, or empty.
        number: Differs between writes.
    """
    centres = {
        name: {"region": "r", "presence": "out" if name == out else "in"}
        for name in sorted(set(replicas.values()))
    }
    upstreams = {
        name: {
            "url": f"http://10.1.0.{place}:80",
            "data_centre": centre,
            "versions": [VERSION],
            "capacity_tokens": CAPACITY_TOKENS,
            "bearable": BEARABLE,
        }
        for place, (name, centre) in enumerate(replicas.items())
    }
    version = {"prompt_price": 1, "output_price": 2}
    document = {
        "nonce": str(number),
        "models": {"m": {"versions": {VERSION: version}}},
        "data_centres": centres,
        "upstreams": upstreams,
    }
    return json.dumps(document)
