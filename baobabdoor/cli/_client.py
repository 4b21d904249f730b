"""HTTP client of the operators' API."""

from collections.abc import Sequence
import json
from typing import Any

import attrs
from tornado import httpclient
from tornado import simple_httpclient

from baobabdoor.cli import _exit_codes

CONNECT_TIMEOUT_S = 2.0
# On a slow platform a change takes several attempts of a few seconds each.
REQUEST_TIMEOUT_S = 25.0


@attrs.frozen
class Reply:
    """Response of an entry.

    Attributes:
        entry: URL of the entry that responded.
        status: HTTP status code.
        body: Parsed JSON body.
    """

    entry: str
    status: int
    body: dict[str, Any]


class ResponseLostError(Exception):
    """The request was sent without a valid response; its outcome is unknown."""


class OperatorClient:
    """Sends requests to the first reachable entry.

    Args:
        entries: URLs of the control ports of entries, tried in order.
        token: Bearer token of the operators' API.
    """

    def __init__(self, entries: Sequence[str], token: str):
        self.entries = entries
        self.token = token

    async def get(self, path: str, entry: str = "") -> Reply:
        """Reads from one entry, or from the first that responds.

        Raises:
            CommandError: No entry responded, or the entry refused.
        """
        last_error = "no entry is given"
        for candidate in [entry] if entry else self.entries:
            try:
                return await self._fetch(candidate, "GET", path, None)
            except (ResponseLostError, OSError) as error:
                last_error = f"{candidate}: {error}"
        raise _exit_codes.CommandError(
            _exit_codes.ExitCode.UNREACHABLE, f"no entry answered: {last_error}"
        )

    async def send(self, method: str, path: str, body: Any) -> Reply:
        """Sends a change once, to the first entry that accepts a connection.

        Raises:
            ResponseLostError: The request was sent without a valid response.
            CommandError: No entry is reachable, or the entry refused.
        """
        last_error = "no entry is given"
        for candidate in self.entries:
            try:
                return await self._fetch(candidate, method, path, body)
            except OSError as error:
                last_error = f"{candidate}: {error}"
        raise _exit_codes.CommandError(
            _exit_codes.ExitCode.UNREACHABLE, f"no entry answered: {last_error}"
        )

    async def _fetch(
        self, entry: str, method: str, path: str, body: Any
    ) -> Reply:
        request = httpclient.HTTPRequest(
            entry.rstrip("/") + path,
            method=method,
            headers={"Authorization": f"Bearer {self.token}"},
            body=None if body is None else json.dumps(body),
            connect_timeout=CONNECT_TIMEOUT_S,
            request_timeout=REQUEST_TIMEOUT_S,
        )
        client = simple_httpclient.SimpleAsyncHTTPClient(force_instance=True)
        try:
            # Still raises if there is no response at all.
            response = await client.fetch(request, raise_error=False)
        except ConnectionRefusedError:
            raise
        except (httpclient.HTTPError, OSError) as error:
            # Only errors while connecting guarantee that nothing was sent.
            if "connecting" in str(error):
                raise ConnectionError(str(error)) from error
            raise ResponseLostError(str(error)) from error
        finally:
            client.close()
        return _parse_reply(entry, response)


def _parse_reply(entry: str, response: httpclient.HTTPResponse) -> Reply:
    try:
        body = json.loads(response.body or b"{}")
    except ValueError as parse_error:
        raise ResponseLostError(f"malformed answer: {parse_error}") from None
    reply = Reply(entry, response.code, body)
    if response.code >= 400:
        raise _refusal_error(reply)
    return reply


def _refusal_error(reply: Reply) -> _exit_codes.CommandError:
    refusal = reply.body.get("refusal") or {}
    detail = refusal.get("detail") or refusal.get("reason") or reply.status
    step = refusal.get("step", "operator")
    return _exit_codes.CommandError(
        _exit_codes.ExitCode.REFUSED, f"refused at {step}: {detail}"
    )
