"""One link to each other entry, whichever of the two has opened it."""

from egretcart.connection.dialler import Endpoint
from egretcart.connection.peer_link import PeerLink
from egretcart.direct.connection.messages import EntryHello


class PeerRegistry:
    """Keeps one of the links that two entries open to each other.

    Both entries dial; of two links they keep the one that the entry with the
    lower id has opened, and the other one is not dialled again while that
    one lives. It is a `DialPolicy`.

    Parameters
    ----------
    entry_id : str
        Id of this entry.

    Attributes
    ----------
    links : dict of str to PeerLink
        The link to each connected entry, by its id.
    hellos : dict of str to EntryHello
        What each connected entry has introduced itself with.
    dialled_by : dict of str to str
        Id of the entry that has opened each link.
    known : dict of Endpoint to str
        Failure domain of each entry that was reported, connected or not;
        empty if it is not known.
    """

    def __init__(self, *, entry_id: str) -> None:
        self.entry_id = entry_id
        self.links: dict[str, PeerLink] = {}
        self.hellos: dict[str, EntryHello] = {}
        self.dialled_by: dict[str, str] = {}
        self.known: dict[Endpoint, str] = {}

    def adopt(
        self, hello: EntryHello, link: PeerLink, *, dialled_by: str
    ) -> bool:
        """Use a link on which another entry has introduced itself.

        Returns
        -------
        bool
            False if another link to the entry is kept and this one is
            closed. Otherwise a former one is closed.
        """
        peer_id = hello.entry_id
        former = self.links.get(peer_id)
        if former is not None:
            is_replaced = (
                self.hellos[peer_id].incarnation != hello.incarnation
                or self.dialled_by[peer_id] == dialled_by
                or dialled_by == min(peer_id, self.entry_id)
            )
            if not is_replaced:
                link.close()
                return False
            former.close()
        self.links[peer_id] = link
        self.hellos[peer_id] = hello
        self.dialled_by[peer_id] = dialled_by
        return True

    def close(self, peer_id: str) -> None:
        """Close the link to an entry, if there is one."""
        link = self.links.get(peer_id)
        if link is not None:
            link.close()
            self.discard(peer_id, link)

    def discard(self, peer_id: str, link: PeerLink) -> bool:
        """Forget a link that has ended; return whether it was in use."""
        if self.links.get(peer_id) is not link:
            return False
        del self.links[peer_id]
        del self.hellos[peer_id]
        del self.dialled_by[peer_id]
        return True

    # Called by the dialler.

    def is_wanted(self, endpoint: Endpoint) -> bool:
        """Whether an entry is to be dialled: it has opened no link itself."""
        return endpoint in self.known and not any(
            hello.address.endpoint == endpoint
            and self.dialled_by[peer_id] == peer_id
            for peer_id, hello in self.hellos.items()
        )

    def mark_unreachable(self, endpoint: Endpoint) -> None:
        """Do nothing: all entries are dialled until they are forgotten."""

    def remove(self, endpoint: Endpoint) -> None:
        """Forget an entry that was unreachable for long."""
        self.known.pop(endpoint, None)
