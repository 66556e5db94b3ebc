"""The parts of an entry host that bound how many endpoints a request may end."""

from collections.abc import Callable, Iterable

from bayhinge._internal.decisions.endpoint_table import EndpointTable
from bayhinge._internal.network.endpoint_connections import EndpointConnectionPool
from bayhinge._internal.services.gateway.endpoint_evidence import EndpointEvidence
from bayhinge._internal.services.gateway.endpoint_examiner import EndpointExaminer
from bayhinge._internal.services.gateway.endpoint_prober import EndpointProber
from bayhinge._internal.services.gateway.send_guard import SendGuard
from bayhinge._internal.services.gateway.send_port import SendPort
from bayhinge._internal.services.gateway.send_recorder import SendRecorder
from bayhinge._internal.services.gateway.send_witnesses import SendWitnesses
from bayhinge._internal.services.gateway.silent_endpoints import SilentEndpoints
from bayhinge._internal.services.gateway.witness_directory import WitnessDirectory
from bayhinge._internal.services.gossip import Gossip
from bayhinge._internal.wire.hosts import ttypes as wire


class SendTracking:
    """Builds these parts and connects them.

    Attributes:
        recorder: what this host is told of sends, its own among them.
        witnesses: the hosts that are told of its sends.
        guard: decides before each send.
        examiner: probes endpoints.
        silent_endpoints: those that failed a request and answer nothing.
    """

    def __init__(
        self,
        endpoint_table: EndpointTable,
        pool: EndpointConnectionPool,
        prober: EndpointProber,
        port: SendPort,
        gossip: Gossip,
        disk_members: Callable[[], Iterable[wire.DiskMember]],
    ) -> None:
        directory = WitnessDirectory(gossip, disk_members)
        self.examiner = EndpointExaminer(prober)
        self.silent_endpoints = SilentEndpoints(pool, self.examiner)
        self.recorder = SendRecorder(port, directory)
        self.witnesses = SendWitnesses(self.recorder, port, directory)
        evidence = EndpointEvidence(endpoint_table, self.examiner)
        self.guard = SendGuard(self.witnesses, evidence)

    def sweep(self) -> None:
        """Forgets old sends, and asks silent endpoints for a sign of life."""
        self.recorder.forget_old()
        self.silent_endpoints.sweep()
