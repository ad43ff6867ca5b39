"""The commands `check` and `schema`, which need no network."""

from collections.abc import Iterable
import json
import pathlib
from typing import Any

import msgspec
from result import Result

from egretcart.process.settings import AgentSettings
from egretcart.process.settings import BackendStandInSettings
from egretcart.process.settings import EntrySettings
from egretcart.process.settings import PlatformStandInSettings
from egretcart.version.check import check_quotas
from egretcart.version.check import decode_checked
from egretcart.version.check import Finding
from egretcart.version.check import parse_document
from egretcart.version.document import Configuration

EXIT_OK = 0
EXIT_INVALID_FILE = 2
# Maps a field that is typical of a settings file to the type of the file. The
# fields are looked up in this order, and the first that the file has decides.
SETTINGS_TYPE_BY_FIELD: dict[str, type] = {
    "entry_id": EntrySettings,
    "agent_id": AgentSettings,
    "speed": BackendStandInSettings,
    "listen": PlatformStandInSettings,
}


def print_schema() -> int:
    """Print the JSON schema of the configuration; return an exit code."""
    print(schema_text())
    return EXIT_OK


def schema_text() -> str:
    """Return the JSON schema of the configuration."""
    schema = msgspec.json.schema(Configuration)
    return json.dumps(schema, indent=2, sort_keys=True)


def check_files(paths: Iterable[str]) -> int:
    """Check files, each alone and against the others; return an exit code.

    Parameters
    ----------
    paths : iterable of str
        Files that hold configurations or settings of processes.

    Returns
    -------
    int
        Exit code.
    """
    accepted: list[tuple[str, Any]] = []
    status = EXIT_OK
    for path in paths:
        document, findings = _check_file(pathlib.Path(path))
        if document is not None:
            accepted.append((path, document))
            print(f"{path}: {type(document).__name__}, accepted by itself")
        for finding in findings:
            status = EXIT_INVALID_FILE
            print(f"{path}: {finding.to_line()}")
    for path, finding in _check_together(accepted):
        status = EXIT_INVALID_FILE
        print(f"{path}: {finding.to_line()}")
    return status


def _check_file(path: pathlib.Path) -> tuple[Any, tuple[Finding, ...]]:
    try:
        data = path.read_bytes()
    except OSError as error:
        found = error.strerror or "an error"
        return None, (Finding(path="$", found=found, accepted="a file"),)
    kind = _detect_document_type(data)
    if kind is Configuration:
        parsed = parse_document(data)
        if parsed.is_err():
            return None, parsed.unwrap_err()
        return parsed.unwrap(), ()
    decoded: Result[Any, Finding] = decode_checked(data, kind)
    if decoded.is_err():
        return None, (decoded.unwrap_err(),)
    return decoded.unwrap(), ()


def _detect_document_type(data: bytes) -> type:
    try:
        document = json.loads(data)
    except ValueError:
        return Configuration
    if isinstance(document, dict):
        for field, kind in SETTINGS_TYPE_BY_FIELD.items():
            if field in document:
                return kind
    return Configuration


def _check_together(
    accepted: Iterable[tuple[str, Any]],
) -> Iterable[tuple[str, Finding]]:
    """Check agents' settings and quotas against each configuration."""
    documents = list(accepted)
    agents = [
        (path, settings)
        for path, settings in documents
        if isinstance(settings, AgentSettings)
    ]
    if not agents:
        return
    slots = sum(settings.slots for _, settings in agents)
    for path, document in documents:
        if not isinstance(document, Configuration):
            continue
        for finding in check_quotas(document, slots):
            yield path, finding
        for agent_path, settings in agents:
            for finding in _check_agent(settings, document):
                yield agent_path, finding


def _check_agent(
    settings: AgentSettings, document: Configuration
) -> Iterable[Finding]:
    service = document.find_service(settings.service)
    if service is None:
        names = sorted(service.name for service in document.services)
        yield Finding(
            path="$.service",
            found=json.dumps(settings.service),
            accepted=f"a configured service: {names}",
        )
    elif not service.may_use(settings.agent_id):
        yield Finding(
            path="$.agent_id",
            found=json.dumps(settings.agent_id),
            accepted=f"what the service's backends match: "
            f"{list(service.backends)}",
        )
