"""Settings of a gateway process, independent of the file format."""

import dataclasses

# The first internal port serves the exchange between nodes, the second one the
# metrics page, and the third one requests that other nodes send on.
RELAY_PORT_OFFSET = 2


@dataclasses.dataclass(frozen=True)
class MemoryLimits:
    """Limits on what callers may make the process hold.

    Attributes:
        memory_mb: Memory of the process; 0 if unknown, for no limit.
        max_descriptors: Descriptors of the process; 0 if unknown, for no limit.
        budget_mb: Memory for requests; 0 to compute it from `memory_mb`.
        max_connections: Open connections of callers; 0 to compute the number
            from `max_descriptors`.
        header_lines: Lines of a request head.
        preamble_bytes: Bytes of empty lines before a request.
        body_wait_s: Time after which a body that finds no room is refused.
    """

    memory_mb: float = 0.0
    max_descriptors: int = 0
    budget_mb: float = 0.0
    max_connections: int = 0
    header_lines: int = 4096
    preamble_bytes: int = 16384
    body_wait_s: float = 5.0


@dataclasses.dataclass(frozen=True)
class Settings:
    """Settings of a gateway process.

    Shares and floors are totals over all nodes.

    Attributes:
        node: Name of the VM.
        ip: Own IP address.
        data_centre: Data centre of the VM.
        front: Address and port that callers connect to.
        ready: Address and port of the readiness check.
        store: Address and port of the platform's store.
        first_port: Port for peers, the first of the internal ports.
        metrics_port: Port of the metrics page.
        drain_s: Seconds until a draining upstream gets no more requests.
        grace_s: Seconds between SIGTERM and SIGKILL at shutdown.
        retry_ratio: Retries allowed per first request of a service.
        retry_window_s: Window in seconds over which the ratio is computed.
        retry_floor: Retries allowed in a window in addition to the ratio.
        exposure_share: Maximum share of a service's requests that a faulty
            new version may receive.
        cold_factor: Tolerated factor over the rate limit of a cold upstream.
        cold_floor: Requests per second allowed in addition.
        reuse_s: Seconds for which cached prompt prefixes stay useful.
        link_mbps: Rate of the VM's network link in Mbit/s; 0 if unknown.
        heartbeat_s: Interval at which upstreams renew their entries in the
            store; 0 if unknown.
        exposure_floor: Requests that a faulty new version may receive in
            addition to its share.
        duty_address: Address and port of the platform for calls that one node
            makes for all; empty if there is none.
        duties: Names of these duties.
        duty_calls_per_s: Calls per second that the platform accepts from all
            nodes together.
        owner_lease_s: Time in seconds within which only one node may make the
            calls of a duty.
        report_window_s: Length in seconds of the windows of usage reports.
        report_delay_s: Seconds after the end of a window until its report is
            due.
        memory: Limits on memory and connections.
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
    heartbeat_s: float = 0.0
    exposure_floor: float = 0.0
    duty_address: str = ""
    duties: tuple[str, ...] = ()
    duty_calls_per_s: float = 50.0
    owner_lease_s: float = 3.0
    report_window_s: float = 5.0
    report_delay_s: float = 10.0
    memory: MemoryLimits = MemoryLimits()

    @property
    def has_duties(self) -> bool:
        """Whether nodes make calls to the platform for each other."""
        return bool(self.duty_address and self.duties)

    @property
    def peer_address(self) -> str:
        """Address and port that peers call."""
        return f"{self.ip}:{self.first_port}"

    @property
    def relay_address(self) -> str:
        """Address and port for requests that other nodes send on."""
        return f"{self.ip}:{self.first_port + RELAY_PORT_OFFSET}"
