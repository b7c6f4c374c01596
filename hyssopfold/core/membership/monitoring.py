"""Monitoring of backend servers: leases, and servers that are gone."""

from collections.abc import Callable
import math

from hyssopfold.core.membership import directory
from hyssopfold.core.membership import messages
from hyssopfold.core.membership import received_announcements

# Lease from the last moment at which a server's monitor was a member. By its
# end another instance has taken over as the monitor, since the server announces
# itself each second.
HANDOVER_S = 5.0
# How long the tombstone of a server is kept: by then all instances know that
# the server is gone.
GONE_S = 60.0
# How long servers are kept that may be cut off rather than dead: when no
# instance of their region is a member, or many fall silent at once.
CUT_OFF_HOLD_S = 30.0


class Monitoring:
    """Renews the leases of servers, and finds the servers that are gone.

    A server's monitor receives its announcements; the other instances renew
    its lease for as long as the monitor is a member. Used by the gossip
    protocol.

    Args:
        me: Name of this instance.
        member_directory: The directory to update.
        received: Announcements that this instance received.
        lease_s: Seconds without an announcement after which a server is gone.
        add_news: Adds the record of a server to the next batch of news.
    """

    def __init__(
        self,
        me: str,
        member_directory: directory.Directory,
        received: received_announcements.ReceivedAnnouncements,
        lease_s: float,
        add_news: Callable[[str], None],
    ) -> None:
        self._me = me
        self._directory = member_directory
        self._received = received
        self._lease_s = lease_s
        self._add_news = add_news
        self._region_alive_at: dict[str, float] = {}

    def renew_leases(self, now: float) -> list[messages.Server]:
        """Renew the leases; return the servers that are gone from now on."""
        alive = {
            instance.name: instance
            for instance in self._directory.instances.records()
        }
        for instance in alive.values():
            self._region_alive_at[instance.region] = now
        gone: list[messages.Server] = []
        for server in list(self._directory.servers.records()):
            if server.state == "gone":
                continue
            if server.monitor == self._me:
                if self._renew_or_mark_gone(server, now):
                    gone.append(server)
            elif server.monitor in alive:
                self._renew(server, now, HANDOVER_S)
            elif server.monitor:
                self._replace_monitor(server, now)
        return gone

    def vouch(self, server: messages.Server, now: float) -> bool:
        """Become a server's monitor if it announces itself here.

        Returns:
            Whether it announces itself here.
        """
        announcement = self._received.newer_than(server, now)
        if announcement is None:
            return False
        announcement = announcement._replace(monitor=self._me)
        if self._directory.servers.update(server.server_id, announcement, now):
            self._add_news(server.server_id)
        return True

    def _renew(
        self, server: messages.Server, now: float, lease_s: float
    ) -> None:
        self._directory.servers.renew(server.server_id, now, lease_s)

    def _renew_or_mark_gone(self, server: messages.Server, now: float) -> bool:
        """Renew the lease of a server monitored here, or mark it as gone.

        Returns:
            Whether the server no longer announces itself and is gone.
        """
        silent_s = self._received.silent_s(server.server_id, now)
        if silent_s < self._lease_s:
            self._renew(server, now, self._lease_s)
            return False
        # If many servers fall silent here at once, this instance is more
        # likely cut off from them than all of them are dead: keep them.
        may_be_cut_off = silent_s < CUT_OFF_HOLD_S
        if may_be_cut_off and self._mostly_silent(server.region, now):
            self._renew(server, now, HANDOVER_S)
            return False
        record = self._received.get(server.server_id) or server
        record = record._replace(state="gone", monitor=self._me)
        self._directory.servers.update(server.server_id, record, now)
        self._renew(server, now, GONE_S)
        return True

    def _mostly_silent(self, region: str, now: float) -> bool:
        monitored = [
            server.server_id
            for server in self._directory.servers.records()
            if server.monitor == self._me
            and server.region == region
            and server.state == "ready"
        ]
        silent = [
            server_id
            for server_id in monitored
            if self._received.silent_s(server_id, now) >= self._lease_s / 2
        ]
        return len(monitored) >= 3 and len(silent) * 2 > len(monitored)

    def _replace_monitor(self, server: messages.Server, now: float) -> None:
        if self.vouch(server, now):
            return
        # If no instance of the region is alive, the region is cut off or has
        # failed as a whole. If its servers were dropped at once, requests that
        # they may still answer would be refused.
        alive_at = self._region_alive_at.get(server.region, -math.inf)
        silent_s = now - alive_at
        if 0 < silent_s < CUT_OFF_HOLD_S:
            self._renew(server, now, HANDOVER_S)
