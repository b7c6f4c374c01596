"""News and alarms to all instances, through relays in other failure domains."""

from collections.abc import Callable
from collections.abc import Sequence

from hyssopfold.core.membership import datagram_builder
from hyssopfold.core.membership import effects
from hyssopfold.core.membership import messages
from hyssopfold.core.membership import peer_selection

# How long news of members that come are gathered, to travel together.
BATCH_S = 0.2
# How often it is repeated that a server leaves, is gone or is cold again.
ALARM_REPEATS = 2
# Instances of each other failure domain that pass on what they are told: an
# alarm must get there although one of them has just died.
NEWS_RELAYS = 1
ALARM_RELAYS = 2

Sends = list[effects.Effect]


class Broadcasts:
    """Tell all instances of changes.

    Args:
        builder: Makes the datagrams.
        peer_selector: Knows the other instances.
        is_live: Whether an instance, by name, is fit to be a relay at a time.
    """

    def __init__(
        self,
        builder: datagram_builder.DatagramBuilder,
        peer_selector: peer_selection.PeerSelector,
        is_live: Callable[[str, float], bool],
    ) -> None:
        self._builder = builder
        self._peer_selector = peer_selector
        self._is_live = is_live
        # What waits for the next batch, and whether it must not be lost.
        self._news: dict[str, bool] = {}
        # How often more it is to be told that one leaves or is gone.
        self._alarms_left: dict[str, int] = {}

    def add_news(self, key: str, *, is_alarm: bool = False) -> None:
        """Tell all of a server or instance with the next batch.

        Args:
            key: Its id or name.
            is_alarm: Whether it is told through as many relays, and as often,
                as that one leaves.
        """
        self._news[key] = is_alarm or self._news.get(key, False)

    @property
    def has_news(self) -> bool:
        """Return whether a batch of news waits for `flush`."""
        return bool(self._news)

    def flush(self, now: float) -> Sends:
        """Tell the news; due `BATCH_S` after the first of them."""
        waiting, self._news = self._news, {}
        news = [key for key, is_alarm in waiting.items() if not is_alarm]
        alarms = [key for key, is_alarm in waiting.items() if is_alarm]
        sends = self._tell(news, "news", NEWS_RELAYS, now)
        return sends + self.alarm(alarms, now)

    def alarm(self, keys: Sequence[str], now: float) -> Sends:
        """Tell at once of members that need care, and a few times more.

        One that leaves must get no new work, and in local placement entries
        of any region send to it.
        """
        for key in keys:
            self._news.pop(key, None)
            self._alarms_left[key] = ALARM_REPEATS
        return self._tell(keys, "alarm", ALARM_RELAYS, now)

    def repeat_alarms(self, now: float) -> Sends:
        """Repeat what must not be lost on its way; due each period."""
        keys = list(self._alarms_left)
        for key in keys:
            self._alarms_left[key] -= 1
            if not self._alarms_left[key]:
                del self._alarms_left[key]
        return self._tell(keys, "alarm", ALARM_RELAYS, now)

    def suspect(
        self, suspects: tuple[messages.Suspicion, ...], now: float
    ) -> Sends:
        """Tell which instances their failure domain no longer hears."""
        if not suspects:
            return []
        datagram = self._builder.empty()._replace(suspects=suspects)
        return self._send(datagram, "alarm", ALARM_RELAYS, now)

    def pass_on(self, datagram: messages.Datagram) -> Sends:
        """Relay a datagram to this failure domain if it asks for that."""
        if not datagram.relay:
            return []
        passed = datagram._replace(relay=False)
        return [
            effects.Send(one.gossip_address, passed, "news")
            for one in self._peer_selector.own_domain()
        ]

    def _tell(
        self,
        keys: Sequence[str],
        purpose: effects.Purpose,
        relays: int,
        now: float,
    ) -> Sends:
        sends: Sends = []
        for datagram in self._builder.datagrams(keys, now):
            sends += self._send(datagram, purpose, relays, now)
        return sends

    def _send(
        self,
        datagram: messages.Datagram,
        purpose: effects.Purpose,
        relays: int,
        now: float,
    ) -> Sends:
        relayed = datagram._replace(relay=True)
        return [
            effects.Send(
                to.address, relayed if to.relays else datagram, purpose
            )
            for to in self._peer_selector.everyone(
                relays, lambda name: self._is_live(name, now)
            )
        ]
