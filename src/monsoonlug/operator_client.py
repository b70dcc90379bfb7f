"""Client of the operators' interface of the control replicas."""

import asyncio
import uuid
from dataclasses import dataclass

import aiohttp

from monsoonlug.exceptions import ControlUnreachable, OperatorError

ATTEMPT_TIMEOUT = 2.0  # seconds
RETRY_INTERVAL = 0.2  # seconds, after all replicas were tried
# Error codes after which another replica, or the same one later, may succeed.
_RETRYABLE_CODES = frozenset({"not-leader", "control-unreachable"})
_READ_FAILED_MESSAGE = (
    "No control replica that leads answered in time; nothing was changed."
)


@dataclass(frozen=True, kw_only=True)
class Reply:
    """HTTP response of a control replica.

    Attributes:
        status: HTTP status.
        document: JSON object in the body.
    """

    status: int
    document: dict


class OperatorClient:
    """Sends requests to the control leader, which it finds among the replicas.

    Args:
        addresses: Addresses of the operators' interfaces.
        timeout: Seconds until an operation fails, over all attempts.
    """

    def __init__(self, *, addresses: list[str], timeout: float = 10.0):
        self._addresses = list(addresses)
        self._timeout = timeout

    def read(self, path: str) -> dict:
        """Returns the JSON document at a path of the interface.

        Raises:
            OperatorError: If the leader refuses the request.
            ControlUnreachable: If no replica answers in time.
        """
        return asyncio.run(self._request("GET", path, None))

    def change(
        self,
        kind: str,
        *,
        base: int | None,
        change_id: str | None = None,
        **fields: object,
    ) -> dict:
        """Makes one change and returns the answer to it.

        All attempts send the same change id, so the change is made at most once.

        Args:
            kind: Kind of the change.
            base: Configuration revision that the change is based on, or None for
                the newest.
            change_id: Id of the change, or None for a new one. A change that was made
                under this id is not made again; its first answer is returned.
            fields: Further fields of the change.

        Raises:
            OperatorError: If the change is refused.
            ControlUnreachable: If no replica answers in time; the change may have
                been made.
        """
        change_id = change_id or str(uuid.uuid4())
        return asyncio.run(self._request_change(kind, base, change_id, fields))

    def change_members(self, kind: str, **fields: str) -> dict:
        """Changes the members of the control group and waits for the commit.

        Args:
            kind: `add-learner`, `promote` or `remove`.
            fields: Further fields of the change.

        Raises:
            OperatorError: If the change is refused.
            ControlUnreachable: If no replica answers in time; the change may have
                been made.
        """
        document = {"kind": kind} | fields
        return asyncio.run(self._request("POST", "/v1/members", document))

    async def _request_change(
        self, kind: str, base: int | None, change_id: str, fields: dict
    ) -> dict:
        if base is None:
            status = await self._request("GET", "/v1/status", None)
            base = status["config_revision"]
        document = {"kind": kind, "base": base, "change_id": change_id}
        try:
            return await self._request("POST", "/v1/changes", document | fields)
        except ControlUnreachable as error:
            raise ControlUnreachable(
                f"{error} Repeat it with --change-id {change_id} --base {base}."
            ) from None

    async def _request(self, method: str, path: str, body: dict | None) -> dict:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + self._timeout
        timeout = aiohttp.ClientTimeout(total=ATTEMPT_TIMEOUT)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while loop.time() < deadline:
                for address in list(self._addresses):
                    reply = await self._request_once(
                        session, address, method, path, body
                    )
                    if reply is None:
                        continue
                    return _unwrap(reply)
                await asyncio.sleep(RETRY_INTERVAL)
        if method == "GET":
            raise ControlUnreachable(_READ_FAILED_MESSAGE)
        raise ControlUnreachable()

    async def _request_once(self, session, address, method, path, body) -> Reply | None:
        try:
            url = f"http://{address}{path}"
            async with session.request(method, url, json=body) as response:
                document = await response.json()
        except (aiohttp.ClientError, TimeoutError, ValueError):
            return None
        if document.get("code") in _RETRYABLE_CODES:
            self._move_to_front(document.get("leader"))
            return None
        return Reply(status=response.status, document=document)

    def _move_to_front(self, address: str | None) -> None:
        if address not in self._addresses:
            return
        self._addresses.remove(address)
        self._addresses.insert(0, address)


def _unwrap(reply: Reply) -> dict:
    if reply.status < 400:
        return reply.document
    raise OperatorError(reply.document)
