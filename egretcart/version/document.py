"""The configuration document that operators apply as a whole."""

from typing import Annotated

import msgspec

Name = Annotated[
    str, msgspec.Meta(pattern="^[a-z0-9][a-z0-9-]{0,62}$", max_length=63)
]


class Service(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """A service and how its work is treated.

    Attributes
    ----------
    name : str
    cells : int
        Groups that its agents are divided into, each with one leader.
    """

    name: Name
    cells: Annotated[int, msgspec.Meta(ge=1, le=1024)] = 1


class Configuration(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """One version of the configuration.

    Attributes
    ----------
    version : int
        0 until a document has been accepted.
    services : tuple of Service
    max_tasks_per_job : int
    """

    version: Annotated[int, msgspec.Meta(ge=0)] = 0
    services: tuple[Service, ...] = ()
    max_tasks_per_job: Annotated[int, msgspec.Meta(ge=1, le=100_000)] = 2000

    def find_service(self, name: str) -> Service | None:
        """Return a service by name, or None if it is not configured."""
        for service in self.services:
            if service.name == name:
                return service
        return None
