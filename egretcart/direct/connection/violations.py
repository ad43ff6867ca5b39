"""Logs what peers have sent that is invalid and has ended their links."""

from egretcart.connection.peer_link import PeerLink
from egretcart.direct.log.decisions import DecisionLog
from egretcart.direct.log.decisions import PeerChanged

UNKNOWN_PEER = "unknown"


def log_violation(log: DecisionLog, link: PeerLink, peer: str) -> None:
    """Log why a link was ended, if that was for an invalid message.

    Parameters
    ----------
    log : DecisionLog
    link : PeerLink
    peer : str
        Id of the process; empty if it has not introduced itself.
    """
    if link.violation:
        log.write(
            PeerChanged(
                peer=peer or UNKNOWN_PEER,
                state="invalid message",
                cause=link.violation,
            )
        )
