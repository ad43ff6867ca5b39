"""Checks of configuration documents beyond the types of their fields."""

from collections.abc import Iterable
from collections.abc import Sequence
import json
import re
from typing import Any
from typing import TypeVar

import msgspec
from result import Err
from result import Ok
from result import Result

from egretcart.request.json_decoding import decode_json
from egretcart.version.document import Configuration
from egretcart.version.document import Kind
from egretcart.version.document import Service

MAX_DOCUMENT_BYTES = 256 * 1024
ROOT_PATH = "$"
MISSING = "nothing"
# One step of a JSON path: a field name or a list index.
PATH_STEP = re.compile(r"\.([^.\[\]]+)|\[(\d+)\]")
# Message of a `msgspec.ValidationError` that names the path of a value.
ERROR_WITH_PATH = re.compile(r"(?P<rule>.*) - at `(?P<path>\$.*)`", re.DOTALL)


class Finding(msgspec.Struct, frozen=True, kw_only=True):
    """One value that is not accepted.

    Attributes
    ----------
    path : str
        JSON path of the value.
    found : str
        The value as JSON, or a description of what was found.
    accepted : str
        Description of what is accepted in its place.
    """

    path: str
    found: str
    accepted: str

    def to_line(self) -> str:
        """Return the finding as a readable line."""
        return f"{self.path}: found {self.found}; accepted: {self.accepted}"


T = TypeVar("T")


def decode_checked(data: bytes, kind: type[T]) -> Result[T, Finding]:
    """Decode JSON into a type.

    Parameters
    ----------
    data : bytes
        JSON text.
    kind : type
        Type to decode into.

    Returns
    -------
    Result of the type or Finding
        The finding names the first invalid value.
    """
    try:
        return Ok(decode_json(data, kind))
    except msgspec.ValidationError as error:
        return Err(_parse_validation_error(data, str(error)))
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Err(Finding(path=ROOT_PATH, found=str(error), accepted="JSON"))


def _parse_validation_error(data: bytes, message: str) -> Finding:
    try:
        document = decode_json(data, object)
    except msgspec.DecodeError as error:
        # What follows the first invalid value is no JSON at all.
        return Finding(path=ROOT_PATH, found=str(error), accepted="JSON")
    located = ERROR_WITH_PATH.fullmatch(message)
    if located is None:
        return Finding(
            path=ROOT_PATH, found=_to_short_json(document), accepted=message
        )
    found = _to_short_json(_value_at(document, located.group("path")))
    return Finding(
        path=located.group("path"), found=found, accepted=located.group("rule")
    )


def _value_at(document: Any, path: str) -> Any:
    """Return the value at a JSON path, or None if there is none."""
    value = document
    for name, index in PATH_STEP.findall(path):
        try:
            value = value[name] if name else value[int(index)]
        except (KeyError, IndexError, TypeError):
            return None
    return value


def _to_short_json(value: Any) -> str:
    text = json.dumps(value)
    return text if len(text) <= 80 else f"{text[:77]}..."


def parse_document(
    data: bytes,
) -> Result[Configuration, tuple[Finding, ...]]:
    """Decode a document, checking its size, its types and its values.

    Parameters
    ----------
    data : bytes
        JSON text.

    Returns
    -------
    Result of Configuration or tuple of Finding
    """
    if len(data) > MAX_DOCUMENT_BYTES:
        return Err((_too_large(len(data)),))
    decoded = decode_checked(data, Configuration)
    if decoded.is_err():
        return Err((decoded.unwrap_err(),))
    document = decoded.unwrap()
    findings = check_document(document)
    return Err(findings) if findings else Ok(document)


def _too_large(size: int) -> Finding:
    return Finding(
        path=ROOT_PATH,
        found=f"{size} bytes",
        accepted=f"at most {MAX_DOCUMENT_BYTES} bytes",
    )


def check_document(document: Configuration) -> tuple[Finding, ...]:
    """Return the findings for a document whose types are valid."""
    findings = [
        *_check_unique("services", [s.name for s in document.services]),
        *_check_unique("urgency", [u.name for u in document.urgency]),
        *_check_unique("teams", [t.name for t in document.teams]),
        *_check_unique("drained", document.drained),
    ]
    for index, service in enumerate(document.services):
        findings += _check_service(f"$.services[{index}]", service)
    for index, agent_id in enumerate(document.drained):
        if not any(s.may_use(agent_id) for s in document.services):
            findings.append(
                Finding(
                    path=f"$.drained[{index}]",
                    found=_to_short_json(agent_id),
                    accepted="an agent that `backends` of a service match",
                )
            )
    return tuple(findings)


def _check_unique(field: str, names: Sequence[str]) -> Iterable[Finding]:
    for index, name in enumerate(names):
        if name in names[:index]:
            yield Finding(
                path=f"$.{field}[{index}]",
                found=_to_short_json(name),
                accepted="each name once",
            )


def _check_service(path: str, service: Service) -> Iterable[Finding]:
    names = [kind.name for kind in service.kinds]
    yield from _check_unique(f"{path.removeprefix('$.')}.kinds", names)
    if service.default_deadline_ms > service.max_deadline_ms:
        yield Finding(
            path=f"{path}.default_deadline_ms",
            found=_to_short_json(service.default_deadline_ms),
            accepted=f"at most max_deadline_ms, {service.max_deadline_ms}",
        )
    for index, kind in enumerate(service.kinds):
        yield from _check_kind(f"{path}.kinds[{index}]", kind, service)


def _check_kind(path: str, kind: Kind, service: Service) -> Iterable[Finding]:
    if kind.run_time_ms > kind.attempt_limit_ms:
        yield Finding(
            path=f"{path}.run_time_ms",
            found=_to_short_json(kind.run_time_ms),
            accepted=f"at most attempt_limit_ms, {kind.attempt_limit_ms}",
        )
    if kind.attempt_limit_ms > service.max_deadline_ms:
        yield Finding(
            path=f"{path}.attempt_limit_ms",
            found=_to_short_json(kind.attempt_limit_ms),
            accepted=(
                f"at most the service's max_deadline_ms, "
                f"{service.max_deadline_ms}"
            ),
        )


def check_change(
    before: Configuration, after: Configuration
) -> tuple[Finding, ...]:
    """Return the findings for values that must not replace those of `before`.

    A service's number of cells determines which agents keep the record of a
    job. If the number changed, a resubmitted job could be started again.
    """
    findings = []
    for index, service in enumerate(after.services):
        former = before.find_service(service.name)
        if former is not None and former.cells != service.cells:
            findings.append(
                Finding(
                    path=f"$.services[{index}].cells",
                    found=_to_short_json(service.cells),
                    accepted=(
                        f"{former.cells}, as in force: jobs would lose "
                        "their agents"
                    ),
                )
            )
    return tuple(findings)


def check_quotas(document: Configuration, slots: int) -> tuple[Finding, ...]:
    """Return a finding if the teams' quotas exceed the available slots.

    Parameters
    ----------
    document : Configuration
    slots : int
        Total number of slots of all agents.

    Returns
    -------
    tuple of Finding
    """
    total = sum(team.slots for team in document.teams)
    if total <= slots:
        return ()
    return (
        Finding(
            path="$.teams",
            found=f"quotas of {total} slots in all",
            accepted=f"at most the agents' {slots} slots",
        ),
    )
