"""Rules of the operators' changes: what each does to the view, or why it cannot."""

import json
import re

from monsoonlug.catalogue import Catalogue
from monsoonlug.commands import (
    AnswerStatus,
    ApplyCatalogue,
    OperatorCommand,
    Outcome,
    RestoreKey,
    SetService,
    WithdrawKey,
)
from monsoonlug.deltas import (
    CatalogueRecord,
    OutOfServiceRecord,
    RecordKind,
    RecordRemoved,
    SliceTableChanged,
    WithdrawnKeyRecord,
)
from monsoonlug.exceptions import InvalidFile
from monsoonlug.ids import ServiceKind
from monsoonlug.settings import check_document
from monsoonlug.view import View

MAX_NAMES = 10  # names in one summary or error
MAX_CATALOGUE = 900_000  # bytes; the delta must fit into one frame
MAX_ERROR = 4_000  # characters of an error that are kept in an answer

_KEY_DIGEST = re.compile(r"[0-9a-f]{64}")


def decide_change(view: View, command: OperatorCommand) -> Outcome:
    """Returns what an operator's change does, or the error it is refused with."""
    match command:
        case ApplyCatalogue():
            return _decide_catalogue(view, command)
        case SetService():
            return _decide_service(view, command)
        case WithdrawKey():
            return _decide_withdrawal(view, command)
        case RestoreKey():
            return _decide_restoration(view, command)


def _decide_catalogue(view: View, command: ApplyCatalogue) -> Outcome:
    if len(command.text.encode()) > MAX_CATALOGUE:
        return _refuse(f"the catalogue is longer than {MAX_CATALOGUE} bytes")
    try:
        document = json.loads(command.text)
        catalogue = check_document(document, Catalogue, file="catalogue")
    except InvalidFile as error:
        return _refuse(str(error)[:MAX_ERROR])
    except (ValueError, RecursionError) as error:
        return _refuse(f"the catalogue is no valid JSON ({error})")
    changes = [CatalogueRecord(text=command.text)]
    keyed = {pool.name for pool in catalogue.pools if pool.keyed}
    for pool in sorted(keyed - set(view.slices)):
        changes.append(SliceTableChanged(pool=pool, present=True))
    for pool in sorted(set(view.slices) - keyed):
        if not view.slices[pool].list_owners():
            changes.append(SliceTableChanged(pool=pool, present=False))
    text = _compare_catalogues(view.catalogue, catalogue)
    return Outcome(text=text, changes=tuple(changes))


def _decide_service(view: View, command: SetService) -> Outcome:
    kind, name = command.kind, command.name
    label = f"{kind.value} {name}"
    is_out = (kind, name) in view.out_of_service
    if command.in_service:
        if not is_out:
            return _refuse(f"{label} is not out of service")
        removed = RecordRemoved(kind=RecordKind.SERVICE, key=f"{kind.value}:{name}")
        return Outcome(text=f"brought back {label}", changes=(removed,))
    if is_out:
        return Outcome(text=f"{label} was already out of service")
    known = _list_known(view, kind)
    if name not in known:
        names = ", ".join(sorted(known)[:MAX_NAMES]) or "none"
        return _refuse(f"{label} is not known; known are: {names}")
    record = OutOfServiceRecord(kind=kind, name=name)
    return Outcome(text=f"took out {label}", changes=(record,))


def _list_known(view: View, kind: ServiceKind) -> set[str]:
    if kind is ServiceKind.HOST:
        return set(view.hosts)
    if kind is ServiceKind.BACKEND_SERVER:
        return set(view.servers)
    records = [*view.hosts.values(), *view.servers.values()]
    return {record.failure_domain for record in records}


def _decide_withdrawal(view: View, command: WithdrawKey) -> Outcome:
    digest = command.key_digest
    if not _KEY_DIGEST.fullmatch(digest):
        return _refuse("a key digest is 64 lower-case hexadecimal digits")
    text = f"withdrew key {digest[:8]}"
    if digest in view.withdrawn:
        return Outcome(text=text)
    return Outcome(text=text, changes=(WithdrawnKeyRecord(key_digest=digest),))


def _decide_restoration(view: View, command: RestoreKey) -> Outcome:
    digest = command.key_digest
    if digest not in view.withdrawn:
        return _refuse(f"key {digest[:8]} is not withdrawn")
    removed = RecordRemoved(kind=RecordKind.WITHDRAWN, key=digest)
    return Outcome(text=f"restored key {digest[:8]}", changes=(removed,))


def _refuse(text: str) -> Outcome:
    return Outcome(status=AnswerStatus.INVALID, text=text)


def _compare_catalogues(old: Catalogue, new: Catalogue) -> str:
    parts = []
    for section in ("pools", "workspaces", "routes"):
        before = {entry.name: entry for entry in getattr(old, section)}
        after = {entry.name: entry for entry in getattr(new, section)}
        added = [f"+{name}" for name in sorted(after.keys() - before.keys())]
        removed = [f"-{name}" for name in sorted(before.keys() - after.keys())]
        both = sorted(before.keys() & after.keys())
        changed = [f"~{name}" for name in both if before[name] != after[name]]
        names = added + removed + changed
        if not names:
            continue
        more = len(names) - MAX_NAMES
        text = " ".join(names[:MAX_NAMES])
        parts.append(f"{section} {text}" + (f" and {more} more" if more > 0 else ""))
    return "catalogue: " + ("; ".join(parts) or "no entry changed")
