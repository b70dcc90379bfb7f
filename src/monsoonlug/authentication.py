"""Decides which workspace a request belongs to, and whether it needs a key at all."""

from collections.abc import Sequence
from dataclasses import dataclass

from monsoonlug.exceptions import BadRequest, KeyRefused, MonsoonlugError, StaleView
from monsoonlug.items import RouteItem, WorkspaceItem
from monsoonlug.lookup import ItemIndex

# Seconds; an older view may lack a new route, key or workspace.
MAX_ABSENCE_VIEW_AGE = 1.0
STALE_RETRY_AFTER = 0.300  # seconds; about when the next heartbeat has a response


@dataclass(frozen=True, slots=True, kw_only=True)
class Identity:
    """What the router knows of the sender of a request.

    Attributes:
        workspace: The workspace, or None if the request needs no key.
        key_digest: Digest of the workspace key, or an empty string.
    """

    workspace: WorkspaceItem | None
    key_digest: str


_ANONYMOUS = Identity(workspace=None, key_digest="")


def authenticate(
    index: ItemIndex,
    route: RouteItem,
    keys: Sequence[str],
    *,
    view_age: float,
    max_view_age: float,
) -> Identity:
    """Returns the identity of a request's sender.

    A request without a key that needs none is accepted at any age of the view. One with
    a key is not: the first workspace may have been added since, or the route closed,
    and the request would run without a check of its key. See
    `docs/design/open-configurations.md`.

    Args:
        index: Index of the configuration items.
        route: Route of the request.
        keys: The different workspace keys in the request's headers.
        view_age: Seconds since the view was known to be current.
        max_view_age: Seconds from which on workspace keys are refused.

    Raises:
        BadRequest: If the request has more than one key and needs one.
        KeyRefused: If it needs a key and has none that is in force.
        StaleView: If it has or needs a key, and the view is too old to know which keys
            are in force.
    """
    if index.has_workspaces and len(keys) > 1:
        raise BadRequest("the request has more than one workspace key")
    if not index.requires_key(route):
        if any(keys) and view_age >= MAX_ABSENCE_VIEW_AGE:
            raise StaleView(
                f"no key is needed according to a view that is {view_age:.2f} s old",
                retry_after=STALE_RETRY_AFTER,
            )
        return _ANONYMOUS
    if view_age >= max_view_age:
        raise StaleView(
            f"the view is {view_age:.2f} s old; workspace keys need a view younger "
            f"than {max_view_age:.2f} s",
            retry_after=STALE_RETRY_AFTER,
        )
    if not keys or not keys[0]:
        raise KeyRefused("the request has no workspace key")
    workspace, digest = index.find_workspace(keys[0])
    return Identity(workspace=workspace, key_digest=digest)


def check_denial(error: MonsoonlugError, *, view_age: float) -> MonsoonlugError:
    """Returns `error`, or `StaleView` if the view may lack a new route or key.

    Such a view may also contain a workspace that was the last one and was removed
    since, so that no key is needed any more.
    """
    if view_age < MAX_ABSENCE_VIEW_AGE:
        return error
    return StaleView(
        f"{error.code} according to a view that is {view_age:.2f} s old",
        retry_after=STALE_RETRY_AFTER,
    )
