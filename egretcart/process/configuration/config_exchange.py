"""Exchange of configuration documents between entries."""

from egretcart.connection.entry_messages import CellRoster
from egretcart.connection.entry_messages import ConfigDocument
from egretcart.connection.entry_messages import ConfigRequest
from egretcart.process.cell.cell_leaderships import CellLeaderships
from egretcart.process.clock import Clock
from egretcart.process.configuration.config_sync import ConfigSync
from egretcart.process.configuration.config_sync import decode_document
from egretcart.process.configuration.config_sync import encode_document
from egretcart.process.entry.directory import Cell
from egretcart.process.entry.directory import Directory
from egretcart.process.entry.entry_effects import EntryEffect
from egretcart.process.entry.entry_effects import SendToPeer


class ConfigExchange:
    """Requests newer documents from other entries and answers their requests.

    Parameters
    ----------
    sync : ConfigSync
    directory : Directory
    claims : CellLeaderships
        Has the newest rosters of the cells, which are sent along with a
        document and recorded from documents received.
    clock : Clock
    """

    def __init__(
        self,
        *,
        sync: ConfigSync,
        directory: Directory,
        claims: CellLeaderships,
        clock: Clock,
    ) -> None:
        self.sync = sync
        self.directory = directory
        self.claims = claims
        self.clock = clock

    def request_newer_document(self) -> list[EntryEffect]:
        """Request the document from peers if this entry is behind.

        Nothing is requested before the next request is due.
        """
        if not self.sync.is_behind:
            return []
        live = self.directory.live_peers(self.clock.monotonic())
        versions = [(p.address.entry_id, p.config_version) for p in live]
        request = ConfigRequest(version=self.sync.newest_document.version)
        return [
            SendToPeer(entry_id, request)
            for entry_id in self.sync.peers_to_ask(versions)
        ]

    def handle_config_request(
        self, entry_id: str, request: ConfigRequest
    ) -> list[EntryEffect]:
        """Send the newest document if the other entry's is older."""
        document = self.sync.newest_document
        if document.version <= request.version:
            return []
        rosters = self.claims.newest_rosters()
        message = ConfigDocument(
            version=document.version,
            document=encode_document(document),
            rosters=tuple(
                CellRoster(
                    service_name=cell.service, cell=cell.index, roster=roster
                )
                for cell, roster in sorted(rosters.items())
            ),
        )
        return [SendToPeer(entry_id, message)]

    def handle_config_document(self, message: ConfigDocument) -> None:
        """Record the document and the rosters that another entry sent."""
        for cell_roster in message.rosters:
            if cell_roster.roster is not None:
                cell = Cell(cell_roster.service_name, cell_roster.cell)
                self.claims.record_roster(cell, cell_roster.roster)
        document = decode_document(message.document)
        if document is not None:
            self.sync.record_document(document)
