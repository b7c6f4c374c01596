"""Broadcasts to all instances, through relays in other failure domains."""

from collections.abc import Callable
from collections.abc import Sequence

from hyssopfold.core.membership import datagram_builder
from hyssopfold.core.membership import effects
from hyssopfold.core.membership import messages
from hyssopfold.core.membership import peer_selection

# How long records of new members are collected, to be sent together.
BATCH_S = 0.2
# Repetitions of an alarm: a server leaves, is gone or is cold again.
ALARM_REPEATS = 2
# Instances of each other failure domain that relay a broadcast there: an
# alarm must arrive although one relay has just died.
NEWS_RELAYS = 1
ALARM_RELAYS = 2

Sends = list[effects.Effect]


class Broadcasts:
    """Broadcasts changed records to all instances, for the gossip protocol.

    News are records of new or changed members, sent once in batches. Alarms
    are sent at once, through more relays, and are repeated.

    Args:
        builder: Builds the datagrams.
        peer_selector: Returns the recipients.
        is_live: Whether an instance, by name, can be a relay at a time.
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
        # Keys of the next batch, and whether each is sent as an alarm.
        self._news: dict[str, bool] = {}
        # How often each alarm is still to be repeated.
        self._repeats_left: dict[str, int] = {}

    def add_news(self, key: str, *, is_alarm: bool = False) -> None:
        """Add the record of a server or instance to the next batch.

        Args:
            key: Its id or name.
            is_alarm: Whether the record is sent as an alarm, that is, through
                more relays and repeatedly.
        """
        self._news[key] = is_alarm or self._news.get(key, False)

    @property
    def has_news(self) -> bool:
        """Return whether a batch of news waits for `flush`."""
        return bool(self._news)

    def flush(self, now: float) -> Sends:
        """Send the batch; due `BATCH_S` after the first `add_news`."""
        batch, self._news = self._news, {}
        news = [key for key, is_alarm in batch.items() if not is_alarm]
        alarms = [key for key, is_alarm in batch.items() if is_alarm]
        sends = self._broadcast(news, "news", NEWS_RELAYS, now)
        return sends + self.alarm(alarms, now)

    def alarm(self, keys: Sequence[str], now: float) -> Sends:
        """Send the records of some members at once; they are repeated later.

        A server that leaves must get no new work. With local placement,
        entries of any region may send requests to it, so all must know.
        """
        for key in keys:
            self._news.pop(key, None)
            self._repeats_left[key] = ALARM_REPEATS
        return self._broadcast(keys, "alarm", ALARM_RELAYS, now)

    def repeat_alarms(self, now: float) -> Sends:
        """Repeat the alarms, since datagrams are lost; due each period."""
        keys = list(self._repeats_left)
        for key in keys:
            self._repeats_left[key] -= 1
            if not self._repeats_left[key]:
                del self._repeats_left[key]
        return self._broadcast(keys, "alarm", ALARM_RELAYS, now)

    def suspect(
        self, suspects: tuple[messages.Suspicion, ...], now: float
    ) -> Sends:
        """Broadcast which instances their own failure domain suspects."""
        if not suspects:
            return []
        datagram = self._builder.empty()._replace(suspects=suspects)
        return self._send(datagram, "alarm", ALARM_RELAYS, now)

    def relay(self, datagram: messages.Datagram) -> Sends:
        """Forward a datagram to this failure domain if it asks for that."""
        if not datagram.relay:
            return []
        forwarded = datagram._replace(relay=False)
        return [
            effects.Send(instance.gossip_address, forwarded, "news")
            for instance in self._peer_selector.own_domain()
        ]

    def _broadcast(
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
                recipient.address,
                relayed if recipient.relays else datagram,
                purpose,
            )
            for recipient in self._peer_selector.broadcast_recipients(
                relays, lambda name: self._is_live(name, now)
            )
        ]
