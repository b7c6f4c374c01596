"""Backend servers that announce themselves here, and those of other monitors."""

from collections.abc import Callable
import math

from hyssopfold.core.membership import directory
from hyssopfold.core.membership import messages
from hyssopfold.core.membership import received_announcements

# How long a server holds whose monitor is silent: it announces itself each
# second, and another instance takes over as monitor.
HANDOVER_S = 5.0
# How long it is remembered that a server is gone: by then all know.
GONE_S = 60.0
# How long servers hold when nothing is heard from their region at all.
CUT_OFF_HOLD_S = 30.0


class Monitoring:
    """Renew the leases of servers, and find who is gone.

    A server's monitor hears its announcements; the others renew its lease for
    as long as the monitor is there.

    Args:
        me: Name of this instance.
        member_directory: The directory to keep.
        heard: Announcements that came to this instance.
        lease_s: Seconds after which a server that says nothing is gone.
        add_news: Tells all of a server with the next batch.
    """

    def __init__(
        self,
        me: str,
        member_directory: directory.Directory,
        heard: received_announcements.ReceivedAnnouncements,
        lease_s: float,
        add_news: Callable[[str], None],
    ) -> None:
        self._me = me
        self._directory = member_directory
        self._heard = heard
        self._lease_s = lease_s
        self._add_news = add_news
        self._region_heard: dict[str, float] = {}

    def keep(self, now: float) -> list[messages.Server]:
        """Renew the leases; return the servers that are gone from now on."""
        alive = {one.name: one for one in self._directory.instances.records()}
        for one in alive.values():
            self._region_heard[one.region] = now
        gone: list[messages.Server] = []
        for server in list(self._directory.servers.records()):
            if server.state == "gone":
                continue
            if server.monitor == self._me:
                if self._watch(server, now):
                    gone.append(server)
            elif server.monitor in alive:
                self._renew(server, now, HANDOVER_S)
            elif server.monitor:
                self._without_monitor(server, now)
        return gone

    def vouch(self, server: messages.Server, now: float) -> bool:
        """Become a server's monitor if it announces itself here."""
        word = self._heard.newer(server, now)
        if word is None:
            return False
        word = word._replace(monitor=self._me)
        if self._directory.servers.update(server.server_id, word, now):
            self._add_news(server.server_id)
        return True

    def _renew(
        self, server: messages.Server, now: float, lease_s: float
    ) -> None:
        self._directory.servers.renew(server.server_id, now, lease_s)

    def _watch(self, server: messages.Server, now: float) -> bool:
        """Return whether a server is gone: it no longer announces itself."""
        silent_s = self._heard.silent_s(server.server_id, now)
        if silent_s < self._lease_s:
            self._renew(server, now, self._lease_s)
            return False
        # Many that fall silent here at once show that this instance is cut
        # off from them, rather than that all of them died: hold them.
        held = silent_s < CUT_OFF_HOLD_S
        if held and self._mostly_silent(server.region, now):
            self._renew(server, now, HANDOVER_S)
            return False
        word = self._heard.get(server.server_id) or server
        word = word._replace(state="gone", monitor=self._me)
        self._directory.servers.update(server.server_id, word, now)
        self._renew(server, now, GONE_S)
        return True

    def _mostly_silent(self, region: str, now: float) -> bool:
        mine = [
            server.server_id
            for server in self._directory.servers.records()
            if server.monitor == self._me
            and server.region == region
            and server.state == "ready"
        ]
        silent = [
            key
            for key in mine
            if self._heard.silent_s(key, now) >= self._lease_s / 2
        ]
        return len(mine) >= 3 and len(silent) * 2 > len(mine)

    def _without_monitor(self, server: messages.Server, now: float) -> None:
        if self.vouch(server, now):
            return
        # Nothing at all is heard from its region: it is cut off, or lost as
        # a whole. An empty pool would refuse what could still be served.
        last = self._region_heard.get(server.region, -math.inf)
        silent_s = now - last
        if 0 < silent_s < CUT_OFF_HOLD_S:
            self._renew(server, now, HANDOVER_S)
