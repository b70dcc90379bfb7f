"""Decides how each operator command changes the view, or why it is rejected.

The result of a command, with its text, is stored in the replicated state. Replicas of
different versions store different results if a text changes between the versions.
"""

import json
import re

from monsoonlug.catalogue import Catalogue
from monsoonlug.commands import (
    ApplyCatalogue,
    CommandStatus,
    Decision,
    OperatorCommand,
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

MAX_LISTED_NAMES = 10  # in one summary or error message
MAX_CATALOGUE_BYTES = 900_000  # the delta must fit into one frame
MAX_ERROR_LENGTH = 4_000  # characters of an error message in a result

_KEY_DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}")


def decide_operator_command(view: View, command: OperatorCommand) -> Decision:
    """Returns the changes of the view that a command causes, or an error."""
    match command:
        case ApplyCatalogue():
            return _apply_catalogue(view, command)
        case SetService():
            return _set_service(view, command)
        case WithdrawKey():
            return _withdraw_key(view, command)
        case RestoreKey():
            return _restore_key(view, command)


def _apply_catalogue(view: View, command: ApplyCatalogue) -> Decision:
    if len(command.text.encode()) > MAX_CATALOGUE_BYTES:
        return _reject(f"the catalogue is longer than {MAX_CATALOGUE_BYTES} bytes")
    try:
        document = json.loads(command.text)
        catalogue = check_document(document, Catalogue, file="catalogue")
    except InvalidFile as error:
        return _reject(str(error)[:MAX_ERROR_LENGTH])
    except (ValueError, RecursionError) as error:
        return _reject(f"the catalogue is no valid JSON ({error})")
    changes = [CatalogueRecord(text=command.text)]
    keyed = {pool.name for pool in catalogue.pools if pool.keyed}
    for pool in sorted(keyed - set(view.slices)):
        changes.append(SliceTableChanged(pool=pool, present=True))
    for pool in sorted(set(view.slices) - keyed):
        if not view.slices[pool].list_owners():
            changes.append(SliceTableChanged(pool=pool, present=False))
    text = _summarize_difference(view.catalogue, catalogue)
    return Decision(text=text, changes=tuple(changes))


def _set_service(view: View, command: SetService) -> Decision:
    kind, name = command.kind, command.name
    label = f"{kind.value} {name}"
    is_out = (kind, name) in view.out_of_service
    if command.in_service:
        if not is_out:
            return _reject(f"{label} is not out of service")
        removed = RecordRemoved(kind=RecordKind.SERVICE, key=f"{kind.value}:{name}")
        return Decision(text=f"brought back {label}", changes=(removed,))
    if is_out:
        return Decision(text=f"{label} was already out of service")
    known = _list_names(view, kind)
    if name not in known:
        names = ", ".join(sorted(known)[:MAX_LISTED_NAMES]) or "none"
        return _reject(f"{label} is not known; known are: {names}")
    record = OutOfServiceRecord(kind=kind, name=name)
    return Decision(text=f"took out {label}", changes=(record,))


def _list_names(view: View, kind: ServiceKind) -> set[str]:
    if kind is ServiceKind.HOST:
        return set(view.hosts)
    if kind is ServiceKind.BACKEND_SERVER:
        return set(view.servers)
    records = [*view.hosts.values(), *view.servers.values()]
    return {record.failure_domain for record in records}


def _withdraw_key(view: View, command: WithdrawKey) -> Decision:
    digest = command.key_digest
    if not _KEY_DIGEST_PATTERN.fullmatch(digest):
        return _reject("a key digest is 64 lower-case hexadecimal digits")
    text = f"withdrew key {digest[:8]}"
    if digest in view.withdrawn:
        return Decision(text=text)
    return Decision(text=text, changes=(WithdrawnKeyRecord(key_digest=digest),))


def _restore_key(view: View, command: RestoreKey) -> Decision:
    digest = command.key_digest
    if digest not in view.withdrawn:
        return _reject(f"key {digest[:8]} is not withdrawn")
    removed = RecordRemoved(kind=RecordKind.WITHDRAWN, key=digest)
    return Decision(text=f"restored key {digest[:8]}", changes=(removed,))


def _reject(text: str) -> Decision:
    return Decision(status=CommandStatus.INVALID, text=text)


def _summarize_difference(old: Catalogue, new: Catalogue) -> str:
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
        unlisted = len(names) - MAX_LISTED_NAMES
        text = " ".join(names[:MAX_LISTED_NAMES])
        parts.append(
            f"{section} {text}" + (f" and {unlisted} more" if unlisted > 0 else "")
        )
    return "catalogue: " + ("; ".join(parts) or "no entry changed")
