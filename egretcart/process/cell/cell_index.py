"""Index of the cells that have connected agents."""

from collections import Counter
from collections.abc import Iterable

from egretcart.connection.agent_messages import AgentHello
from egretcart.process.entry.directory import Cell
from egretcart.process.entry.directory import cell_of_agent
from egretcart.version.document import Configuration


class CellIndex:
    """The cell of each connected agent.

    Cells are looked up for every message and listed in every tick. They are
    therefore computed only when an agent or the configuration changes.

    Attributes
    ----------
    cells : dict of str to Cell
        Cell of each connected agent, by agent id.
    counts : Counter of Cell
        Number of connected agents of each cell.
    """

    def __init__(self) -> None:
        self.cells: dict[str, Cell] = {}
        self.counts: Counter[Cell] = Counter()

    def add(self, hello: AgentHello, configuration: Configuration) -> Cell:
        """Index a connected agent and return its cell."""
        self.remove(hello.agent_id)
        service = configuration.find_service(hello.service_name)
        cells = service.cells if service is not None else 1
        cell = cell_of_agent(hello.service_name, hello.agent_id, cells)
        self.cells[hello.agent_id] = cell
        self.counts[cell] += 1
        return cell

    def remove(self, agent_id: str) -> Cell | None:
        """Remove an agent; return its cell, or None if it was unknown."""
        cell = self.cells.pop(agent_id, None)
        if cell is not None:
            self.counts[cell] -= 1
            if not self.counts[cell]:
                del self.counts[cell]
        return cell

    def rebuild(
        self, hellos: Iterable[AgentHello], configuration: Configuration
    ) -> None:
        """Compute all cells again for a newer configuration."""
        for hello in hellos:
            self.add(hello, configuration)

    def cells_with_agents(self, configuration: Configuration) -> list[Cell]:
        """Return the cells of configured services that have agents."""
        return sorted(
            cell
            for cell in self.counts
            if configuration.find_service(cell.service) is not None
        )
