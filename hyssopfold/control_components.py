"""Composition root of a control instance."""

from collections.abc import Awaitable
from collections.abc import Callable
import functools
import random
import time

from hyssopfold import http
from hyssopfold import identity
from hyssopfold import metrics
from hyssopfold import security
from hyssopfold import settings
from hyssopfold import state
from hyssopfold.control import adapters as control_adapters
from hyssopfold.control import announcement_acks
from hyssopfold.control import api
from hyssopfold.control import instance
from hyssopfold.control import leave_records
from hyssopfold.control import quarantine_records
from hyssopfold.control import slot_votes
from hyssopfold.core.consensus import messages
from hyssopfold.core.consensus import node
from hyssopfold.core.distribution import history
from hyssopfold.storage import folder
from hyssopfold.storage import records
from hyssopfold.transport import consensus_wire
from hyssopfold.transport import crash_reports
from hyssopfold.transport import gossip
from hyssopfold.transport import poll_wire
from hyssopfold.transport import publisher
from hyssopfold.transport import rpc

Child = tuple[str, Callable[[], Awaitable[None]]]


class ControlComponents:
    """Builds the components of a control instance and connects them.

    Args:
        cfg: Its settings.
        adapters: Build its HTTP applications.
        data: Its open data folder.

    Attributes:
        cfg: Its settings.
        rng: Source of random numbers of all components.
        security: Keys, tokens, TLS and the watcher of their files.
        gossip_service: Its gossip.
        operators: The operators' API.
        apps: The HTTP applications, by address.
    """

    def __init__(
        self,
        cfg: settings.ControlSettings,
        adapters: control_adapters.ControlAdapters,
        data: folder.DataFolder,
    ) -> None:
        self.cfg = cfg
        self.rng = random.Random()
        self.security = security.load(cfg, self.rng)
        connection_config = self.security.connection_config
        self._member = self._open_member(data)
        self._confirmations = publisher.Confirmations(self._member.confirm)
        self._publisher = publisher.Publisher(
            history.History(),
            self._confirmations.age_s,
            self._confirmations.confirm,
        )
        register = self._member.register
        self._publish(register.revision, register.value)
        self.gossip_service = gossip.Gossip(
            identity.initial_record(cfg, "control"),
            cfg.gossip_seeds,
            cfg.lease_s,
            connection_config.keyring,
            self.rng,
        )
        self._quarantine_records = quarantine_records.QuarantineRecords(
            data, time.time
        )
        self._leave_records = leave_records.LeaveRecords(
            data, self.gossip_service
        )
        self._crash_reports = crash_reports.CrashReports(
            self.gossip_service,
            self.rng,
            self._quarantine_records.schedule_write,
            self._quarantine_records.load(),
        )
        self._slot_votes = slot_votes.SlotVotes(
            identity.member(self.gossip_service.myself),
            data,
            self.gossip_service,
        )
        self._member.listeners += [
            self._publish,
            lambda revision, _: self.gossip_service.update_self(
                revision=revision
            ),
        ]
        self.operators = api.Api(
            self._member,
            self.gossip_service,
            metrics.Metrics(cfg.name),
            self.security.operators,
            self.security.announcers,
            self._publisher,
        )
        self.apps: dict[str, http.App] = {
            cfg.http_address: adapters.operators(self._create_interfaces())
        }
        if cfg.metrics_address:
            self.apps[cfg.metrics_address] = self.operators

    def _open_member(self, data: folder.DataFolder) -> instance.Instance:
        cfg = self.cfg
        voter = cfg.name if cfg.control else cfg.rpc_address
        member_records = records.MemberRecords(
            data, voter, self.rng.getrandbits
        )
        member_identity, durable = member_records.open(cfg.rpc_address)
        member = node.Node(
            member_identity,
            _endpoints(cfg),
            durable,
            self.rng,
            cfg.round_timeout_s,
            cfg.edit_timeout_s,
            cfg.first_start,
            0 if cfg.control else cfg.voters,
            cfg.region,
            cfg.form_without_s,
        )
        connect = functools.partial(
            rpc.Client, cfg=self.security.connection_config
        )
        return instance.Instance(
            member, member_records, connect, cfg.edit_timeout_s
        )

    def _publish(self, revision: int, value: bytes) -> None:
        # Only operators read the rows of the document, here.
        self._publisher.publish(revision, state.without_rows(value))

    def _create_interfaces(self) -> control_adapters.ControlInterfaces:
        return control_adapters.ControlInterfaces(
            self.operators,
            self._member,
            self.operators.orders,
            announcement_acks.AnnouncementAcks(
                self._member,
                self.gossip_service,
                self._confirmations,
                self._leave_records,
            ),
            self.gossip_service,
        )

    def children(self) -> list[Child]:
        """Return the tasks of the control instance, with their names."""
        handlers: dict[rpc.Method, rpc.Handler] = {
            consensus_wire.DELIVER: self._member.deliver,
            poll_wire.POLL: self._publisher.poll,
        }
        serve = functools.partial(
            rpc.serve,
            self.cfg.rpc_address,
            handlers,
            self.security.connection_config,
        )
        return [
            ("member", self._member.run),
            ("gossip", self.gossip_service.run),
            ("slot-votes", self._slot_votes.run),
            ("crash-reports", self._crash_reports.run),
            ("quarantine-records", self._quarantine_records.run),
            ("leave-records", self._leave_records.run),
            ("confirmations", self._confirmations.run),
            ("reloading", self.security.reloader.run),
            ("rpc", serve),
        ]


def _endpoints(cfg: settings.ControlSettings) -> list[messages.Endpoint]:
    """Return the control instances of the cluster to form, or the seeds.

    Instances that find each other through seeds are named by their address,
    since the address is all that others know of them. An instance that starts
    at an address with an empty data folder replaces the previous one there.
    """
    if cfg.control:
        return [messages.Endpoint(*member) for member in cfg.control]
    return [
        messages.Endpoint(address, address) for address in cfg.control_seeds
    ]
