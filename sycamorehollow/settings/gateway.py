"""Settings of a gateway process, whatever file they come from."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Settings:
    """Settings of a gateway process; shares and floors are for all nodes.

    Attributes:
        node: Name of the VM.
        ip: Own IP address.
        data_centre: Data centre of the VM.
        front: Address and port for callers.
        ready: Address and port of the readiness check.
        store: Address and port of the platform's store.
        first_port: Port for peers, the first of those for use between
            processes.
        metrics_port: Port of the metrics page.
        drain_s: Seconds after which a leaving upstream gets no request.
        grace_s: Seconds from SIGTERM to SIGKILL.
        retry_ratio: Repeats per fresh request of a service.
        retry_window_s: Window of the ratio in seconds.
        retry_floor: Repeats in a window beyond the ratio.
        exposure_share: Part of a service's requests that a faulty new
            version may get.
        cold_factor: Tolerated excess over the rate of a cold upstream.
        cold_floor: Requests per second beyond that.
        reuse_s: Seconds for which a prompt's parts are worth reusing.
        link_mbps: Rate of the VM's network link in Mbit/s; 0 if unknown.
    """

    node: str
    ip: str
    data_centre: str
    front: str
    ready: str
    store: str
    first_port: int
    metrics_port: int
    drain_s: float
    grace_s: float
    retry_ratio: float
    retry_window_s: float
    retry_floor: float
    exposure_share: float
    cold_factor: float
    cold_floor: float
    reuse_s: float
    link_mbps: float = 0.0

    @property
    def peer_address(self) -> str:
        """Address and port that peers call."""
        return f"{self.ip}:{self.first_port}"
