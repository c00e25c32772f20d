"""`carobsailctl`: command line for operators, a thin layer on `operations`."""

import asyncio
import getpass
import pathlib
import sys
import urllib.parse
import uuid
from collections.abc import Awaitable, Callable
from typing import Any

import fire
import msgspec
from fire import core

from carobsail import (
    acceptance,
    changepropagation,
    configuration,
    deletion,
    errors,
    explanation,
    inventory,
    inventorysource,
    keyvalue,
    loglines,
    operations,
    programsettings,
    settings,
    wherereport,
)
from carobsail.operations import Result, Status

SETTINGS_FILE = "carobsailctl.json"
# EX_USAGE of sysexits.h; fire uses 2 for wrong usage, which here means a
# conflict.
USAGE_EXIT = 64
_MAX_DUMP_BYTES = 16_000_000
_CONNECT_TIMEOUT_S = 5.0


class CtlSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of `carobsailctl`.

    Attributes:
      key_value_url: URL of the key-value service.
      inventory: URL or file of the platform's inventory; empty for none.
    """

    key_value_url: str
    inventory: str = ""

    def __post_init__(self) -> None:
        """Checks the URL.

        Raises:
          ValueError: The URL is malformed or missing.
        """
        programsettings.require_nonempty(self, ["key_value_url"])
        programsettings.check_fields(
            self, programsettings.service_address, ["key_value_url"]
        )


def _show_logs(
    files: tuple[str, ...], show: Callable[[list[loglines.LogLine]], Result]
) -> Result:
    """Parses log files and passes their lines to `show`."""
    lines: list[loglines.LogLine] = []
    for name in files:
        try:
            text = pathlib.Path(name).read_text(errors="replace")
        except OSError as error:
            return Result(Status.INVALID, (f"{name}: {error}",))
        lines += loglines.parse_lines(
            text.splitlines(), pathlib.Path(name).stem
        )
    return show(lines)


def connect(address: str) -> keyvalue.KeyValueClient:
    """Returns a client of the key-value service."""
    # Imported here, because `validate` works without a network and does not
    # need it.
    from carobsail import etcd

    return etcd.EtcdClient(address)


async def read_inventory(location: str) -> inventory.Inventory | Result | None:
    """Reads an inventory from a URL or file; returns None for no location."""
    if not location:
        return None
    found = await inventorysource.read(location)
    if not isinstance(found, errors.Failure):
        return found
    if found.reason is errors.Reason.INVALID:
        return Result(Status.INVALID, (found.detail,))
    return Result(Status.UNAVAILABLE, (str(found),))


async def fetch_dump(address: str) -> Result:
    """Fetches the state dump of a process.

    Args:
      address: `host:port` of the operator port of the process.
    """
    return await _fetch(address, "/dump")


async def fetch_report(
    address: str, fields: dict[str, str], as_json: bool
) -> Result:
    """Asks an instance where it would send a request.

    Args:
      address: `host:port` of the operator port of the instance.
      fields: Description of the request; see `targetquery`.
      as_json: Whether the report is shown as JSON instead of a table.
    """
    result = await _fetch(address, f"/where?{urllib.parse.urlencode(fields)}")
    if result.status is not Status.DONE or as_json:
        return result
    try:
        report = msgspec.json.decode(result.lines[0], type=wherereport.Report)
    except msgspec.DecodeError as error:
        return Result(Status.UNAVAILABLE, (f"{address}: {error}",))
    return Result(Status.DONE, wherereport.format_report(report))


async def _fetch(address: str, target: str) -> Result:
    """Returns the body of a response of an operator port."""
    from carobsail import httpclient

    pool = httpclient.ConnectionPool(address, 1, _CONNECT_TIMEOUT_S)
    try:
        response = await pool.request("GET", target, [], b"")
        if not isinstance(response, errors.Failure):
            body = await response.read_body(_MAX_DUMP_BYTES)
            if not isinstance(body, errors.Failure):
                status = {200: Status.DONE, 400: Status.INVALID}.get(
                    response.status, Status.UNAVAILABLE
                )
                return Result(status, (body.decode(errors="replace"),))
            response = body
        return Result(Status.UNAVAILABLE, (str(response),))
    finally:
        pool.close()


class Pending:
    """A parsed command that has not run yet.

    It runs only after fire has accepted the whole command line: fire calls the
    method before it reports unused arguments, such as a misspelt `--seen`.
    """

    __slots__ = ("_execute",)

    def __init__(self, work: Callable[[], Result]) -> None:
        self._execute = work


class Commands:
    """Shows and changes the configuration.

    Exit codes: 0 accepted (without --wait: committed), 1 invalid, 2 conflict,
    3 unavailable, 4 committed but not yet accepted, 64 wrong usage.
    """

    def __init__(
        self,
        settings: str = SETTINGS_FILE,
    ) -> None:
        """Prepares the commands.

        Args:
          settings: File with the settings of carobsailctl.
        """
        self._settings_file = settings
        self._connect: Callable[[str], keyvalue.KeyValueClient] = connect

    def validate(self, *files: str, inventory: str = "") -> Pending:
        """Validates files without the key-value service.

        Args:
          files: Templates and the client accounts that use them.
          inventory: URL or file of the inventory in which models must exist.
        """

        def work() -> Result:
            documents = operations.parse_files(map(str, files))
            if isinstance(documents, Result):
                return documents
            platform_inventory = asyncio.run(read_inventory(str(inventory)))
            if isinstance(platform_inventory, Result):
                return platform_inventory
            return operations.validate(documents, platform_inventory)

        return Pending(work)

    def plan(self, *files: str) -> Pending:
        """Shows what apply would change."""

        async def show(
            client: keyvalue.KeyValueClient,
            platform_inventory: inventory.Inventory | None,
        ) -> Result:
            documents = operations.parse_files(map(str, files))
            if isinstance(documents, Result):
                return documents
            return await operations.plan(client, documents, platform_inventory)

        return self._pending(show)

    def apply(
        self, *files: str, seen: int | None = None, wait: bool = False
    ) -> Pending:
        """Commits files in one transaction.

        Args:
          files: Templates and client accounts.
          seen: Revision that plan showed; a later change is a conflict.
          wait: Whether to wait until every data centre has confirmed it.
        """
        metadata = configuration.Metadata(uuid.uuid4().hex, getpass.getuser())

        async def commit(
            client: keyvalue.KeyValueClient,
            platform_inventory: inventory.Inventory | None,
        ) -> Result:
            if (invalid_option := _check_options(seen, wait)) is not None:
                return invalid_option
            documents = operations.parse_files(map(str, files))
            if isinstance(documents, Result):
                return documents
            result = await operations.apply(
                client, documents, metadata, seen, platform_inventory
            )
            return await _finish_change(
                client, result, platform_inventory, wait
            )

        return self._pending(commit)

    def delete(
        self, *names: str, seen: int | None = None, wait: bool = False
    ) -> Pending:
        """Deletes documents in one transaction.

        Args:
          names: Names such as accounts/clerks or templates/counter.
          seen: Revision that plan showed; a later change is a conflict.
          wait: Whether to wait until every data centre has confirmed it.
        """

        async def commit(
            client: keyvalue.KeyValueClient,
            platform_inventory: inventory.Inventory | None,
        ) -> Result:
            if (invalid_option := _check_options(seen, wait)) is not None:
                return invalid_option
            result = await deletion.delete(
                client, map(str, names), seen, platform_inventory
            )
            return await _finish_change(
                client, result, platform_inventory, wait
            )

        return self._pending(commit)

    def status(self) -> Pending:
        """Shows leaders, applied revisions and lagging data centres."""

        async def show(
            client: keyvalue.KeyValueClient,
            platform_inventory: inventory.Inventory | None,
        ) -> Result:
            return await acceptance.report_status(
                client, platform_inventory.regions if platform_inventory else ()
            )

        return self._pending(show)

    def dump(self, address: str) -> Pending:
        """Shows the state of the process that has this operator port.

        Args:
          address: Address of the operator port, as host:port.
        """
        return Pending(lambda: asyncio.run(fetch_dump(address)))

    def where(
        self,
        address: str,
        host: str,
        path: str,
        model: str = "",
        adapter: str = "",
        prompt_tokens: int = 0,
        answer_tokens: int = 0,
        account: str = "",
        timeout_s: float = 0.0,
        json: bool = False,
    ) -> Pending:
        """Shows where an instance would send a request now, and why.

        Nothing is sent to a target, and the instance's state stays as it is.

        Args:
          address: Address of the instance's operator port, as host:port.
          host: Host that the request is for.
          path: Path of the request.
          model: Model of the request.
          adapter: Adapter of the model.
          prompt_tokens: Tokens of its prompt.
          answer_tokens: Maximum number of tokens to be generated.
          account: Name of the client account.
          timeout_s: Seconds after which the caller stops waiting.
          json: Whether to print JSON instead of a table.
        """
        fields = {
            "host": str(host),
            "path": str(path),
            "model": str(model),
            "adapter": str(adapter),
            "prompt_tokens": str(prompt_tokens),
            "answer_tokens": str(answer_tokens),
            "account": str(account),
            "timeout_s": str(timeout_s),
        }
        if not isinstance(json, bool):
            line = f'"--json": expected no value, got {json}'
            return Pending(lambda: Result(Status.INVALID, (line,)))
        return Pending(lambda: asyncio.run(fetch_report(address, fields, json)))

    def explain(self, request: str, *files: str) -> Pending:
        """Shows the log lines that explain the outcome of a request.

        Args:
          request: Identifier of the request.
          files: Logs of the instances.
        """

        def show(lines: list[loglines.LogLine]) -> Result:
            # fire parses an identifier that has only digits as a number.
            found = explanation.explain(str(request), lines)
            if not found:
                line = f"no line of these logs names request {request}"
                return Result(Status.INVALID, (line,))
            return Result(Status.DONE, found)

        return Pending(lambda: _show_logs(files, show))

    def spread(self, *files: str) -> Pending:
        """Shows when each change reached the instances.

        Changes are new versions of the configuration and targets that leave.

        Args:
          files: Logs of the instances.
        """

        def show(lines: list[loglines.LogLine]) -> Result:
            return Result(Status.DONE, changepropagation.describe(lines))

        return Pending(lambda: _show_logs(files, show))

    def _pending(
        self,
        call: Callable[
            [keyvalue.KeyValueClient, inventory.Inventory | None],
            Awaitable[Result],
        ],
    ) -> Pending:
        """Returns a command that calls the key-value service."""
        return Pending(lambda: self._run(call))

    def _run(
        self,
        call: Callable[
            [keyvalue.KeyValueClient, inventory.Inventory | None],
            Awaitable[Result],
        ],
    ) -> Result:
        try:
            loaded = settings.load(self._settings_file, CtlSettings)
        except settings.SettingsError as error:
            return Result(Status.INVALID, (str(error),))
        address = programsettings.service_address(loaded.key_value_url)

        async def work() -> Result:
            platform_inventory = await read_inventory(loaded.inventory)
            if isinstance(platform_inventory, Result):
                return platform_inventory
            return await call(self._connect(address), platform_inventory)

        return asyncio.run(work())


def _check_options(seen: object, wait: object) -> Result | None:
    """Rejects options of the wrong type, which fire does not check."""
    # fire takes the word after --wait as its value.
    if not isinstance(wait, bool):
        line = f'"--wait": expected no value, got {wait}'
        return Result(Status.INVALID, (line,))
    if seen is not None and type(seen) is not int:
        line = f'"--seen": expected a revision, got {seen}'
        return Result(Status.INVALID, (line,))
    return None


async def _finish_change(
    client: keyvalue.KeyValueClient,
    result: Result,
    platform_inventory: inventory.Inventory | None,
    wait: bool,
) -> Result:
    """Reports that a change is committed, or waits until it is accepted."""
    if result.status is not Status.DONE:
        return result
    done = f"revision {result.revision} is committed"
    if not wait:
        return Result(result.status, (*result.lines, done))
    if platform_inventory is None:
        line = f"{done}; --wait needs an inventory"
        return Result(Status.NOT_ACCEPTED, (line,))
    return await acceptance.wait_until_accepted(
        client, result.revision, platform_inventory.regions
    )


def run(arguments: list[str], commands: Any = Commands) -> int:
    """Runs one command and returns its exit code."""
    try:
        pending = fire.Fire(
            commands, arguments, "carobsailctl", serialize=_suppress_output
        )
    except core.FireExit as error:
        return USAGE_EXIT if error.code else 0
    if not isinstance(pending, Pending):
        print("usage: carobsailctl COMMAND; see --help", file=sys.stderr)
        return USAGE_EXIT
    result = pending._execute()
    print("\n".join(result.lines))
    return int(result.status)


def _suppress_output(component: object) -> None:
    """Keeps fire from printing the command; `run` prints its result."""


def main() -> None:
    """Entry point of `carobsailctl`."""
    raise SystemExit(run(sys.argv[1:]))


if __name__ == "__main__":
    main()
