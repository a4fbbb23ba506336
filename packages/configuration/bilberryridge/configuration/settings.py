"""The settings of a daemon, read from YAML and validated at start.

See Also
--------
bilberryridge.configuration.documents : the configuration that the store holds.
"""

import enum
import pathlib

import attrs
import returns.result
from returns.result import Result

from bilberryridge.configuration import located, problems, rules, structure

MIN_SHARED_KEY_BYTES = 16
MAX_SHARED_KEY_BYTES = 4096


class LogLevel(enum.Enum):
    """The lowest severity of log lines that are written."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


@attrs.frozen
class Addresses:
    """Addresses on which the daemon listens, each ``host:port``.

    Parameters
    ----------
    callers : str
    relay : str
        For requests forwarded by other daemons.
    peers : str
        For control messages of other daemons.
    operators : str
    """

    callers: str
    relay: str
    peers: str
    operators: str


@attrs.frozen
class Platform:
    """Base URLs of the platform's services.

    Parameters
    ----------
    store : str
        The key-value service that holds the configuration.
    list : str
        The list of VMs and the directory for clients.
    """

    store: str
    list: str


@attrs.frozen
class Limits:
    """Limits on callers' requests and connections."""

    max_head_bytes: int = 32 * 1024
    max_body_bytes: int = 8 * 1024 * 1024
    head_deadline_s: float = 10.0
    body_deadline_s: float = 30.0
    max_connections: int = 2048
    max_connections_per_address: int = 256


@attrs.frozen
class Seed:
    """Another daemon that supplies the configuration while the store is unreachable.

    Parameters
    ----------
    vm : str
    address : str
        ``host:port`` at which it accepts control messages.
    """

    vm: str
    address: str


@attrs.frozen
class AddressRewrite:
    """Connect to one address instead of another, for example behind NAT.

    Parameters
    ----------
    dialled : str
        The address as configured, ``host:port``.
    instead : str
        The address to connect to, ``host:port``.
    """

    dialled: str
    instead: str


@attrs.frozen
class Settings:
    """The settings that a daemon needs before it has read the configuration.

    Parameters
    ----------
    vm, domain, region : str
        Names of its VM, failure domain and region.
    deployment : str
        Name of the deployment; the daemon reads only its keys in the store.
    addresses : Addresses
    platform : Platform
    shared_key : bytes
        Authenticates daemons of one deployment to each other; hidden from `repr`.
    operators_token_digest : str
        Hexadecimal SHA-256 digest of the operators' bearer token.
    limits : Limits
    log_level : LogLevel
    seeds : tuple of Seed
    address_rewrites : tuple of AddressRewrite
    """

    vm: str
    domain: str
    region: str
    deployment: str
    addresses: Addresses
    platform: Platform
    shared_key: bytes = attrs.field(repr=False)
    operators_token_digest: str
    limits: Limits = Limits()
    log_level: LogLevel = LogLevel.INFO
    seeds: tuple[Seed, ...] = ()
    address_rewrites: tuple[AddressRewrite, ...] = ()


@attrs.frozen
class SettingsFile:
    """The contents of a settings file, with `shared_key` or `shared_key_file`."""

    vm: str
    domain: str
    region: str
    deployment: str
    addresses: Addresses
    platform: Platform
    operators_token_digest: str
    shared_key: str | None = attrs.field(default=None, repr=False)
    shared_key_file: str | None = None
    limits: Limits = Limits()
    log_level: LogLevel = LogLevel.INFO
    seeds: tuple[Seed, ...] = ()
    address_rewrites: tuple[AddressRewrite, ...] = ()


RULES: structure.Rules = {
    SettingsFile: {
        "vm": rules.check_name,
        "domain": rules.check_name,
        "region": rules.check_name,
        "deployment": rules.check_name,
        "operators_token_digest": rules.check_digest,
    },
    Addresses: {field.name: rules.check_address for field in attrs.fields(Addresses)},
    Seed: {"vm": rules.check_name, "address": rules.check_address},
    AddressRewrite: {
        "dialled": rules.check_address,
        "instead": rules.check_address,
    },
    Platform: {"store": rules.check_endpoint, "list": rules.check_endpoint},
    Limits: {
        "max_head_bytes": rules.within(1024, 1 << 20),
        "max_body_bytes": rules.within(1024, 1 << 30),
        "head_deadline_s": rules.within(0.1, 600),
        "body_deadline_s": rules.within(0.1, 3600),
        "max_connections": rules.within(1, 1_000_000),
        "max_connections_per_address": rules.within(1, 1_000_000),
    },
}


def load(path: str) -> Result[Settings, problems.Problems]:
    """Read a settings file, or return all its problems by line."""
    try:
        data = pathlib.Path(path).read_bytes()
    except OSError as exc:
        reason = f"can't be read: {exc.strerror}"
        return returns.result.Failure((problems.Problem(path, 0, reason),))
    return located.from_yaml(path, data).bind(lambda node: from_node(path, node))


def from_node(path: str, node: located.Node) -> Result[Settings, problems.Problems]:
    """Validate the values of a settings file; its key file is relative to `path`."""
    structurer = structure.Structurer(path, RULES)
    settings_file = structurer.structure(node, SettingsFile)
    if isinstance(node.value, dict):
        shared_key = _read_shared_key(structurer, node, node.value)
        _check_addresses_differ(structurer, node.value)
    if structurer.reported:
        return returns.result.Failure(tuple(sorted(structurer.reported)))
    values = attrs.asdict(settings_file, recurse=False)
    del values["shared_key_file"]
    return returns.result.Success(Settings(**values | {"shared_key": shared_key}))


def _read_shared_key(
    structurer: structure.Structurer,
    node: located.Node,
    entries: dict[str, located.Node],
) -> bytes:
    name = "shared_key_file" if "shared_key_file" in entries else "shared_key"
    entry = entries.get(name)
    if "shared_key" in entries and "shared_key_file" in entries:
        line = entries["shared_key_file"].line
        structurer.report(line, "shared_key_file", "given beside shared_key")
        return b""
    if entry is None:
        structurer.report(node.line, "shared_key", "missing, as is shared_key_file")
        return b""
    if not isinstance(entry.value, str):
        return b""
    shared_key = entry.value.encode()
    if name == "shared_key_file":
        shared_key = _read_key_file(structurer, entry.line, entry.value)
    elif len(shared_key) < MIN_SHARED_KEY_BYTES:
        _report_short_key(structurer, entry.line, name)
    return shared_key


def _read_key_file(structurer: structure.Structurer, line: int, value: str) -> bytes:
    path = pathlib.Path(structurer.file).parent / value
    try:
        with path.open("rb") as file:
            shared_key = file.read(MAX_SHARED_KEY_BYTES).strip()
    except (OSError, ValueError) as exc:
        reason = getattr(exc, "strerror", None) or "not a path"
        structurer.report(line, "shared_key_file", f"can't be read: {reason}")
        return b""
    if len(shared_key) < MIN_SHARED_KEY_BYTES:
        _report_short_key(structurer, line, "shared_key_file")
    return shared_key


def _report_short_key(structurer: structure.Structurer, line: int, name: str) -> None:
    structurer.report(line, name, f"fewer than {MIN_SHARED_KEY_BYTES} bytes")


def _check_addresses_differ(
    structurer: structure.Structurer, entries: dict[str, located.Node]
) -> None:
    node = entries.get("addresses")
    if node is None or not isinstance(node.value, dict):
        return
    owners: dict[object, str] = {}
    for name, entry in node.value.items():
        if not isinstance(entry.value, str):
            continue
        owner = owners.setdefault(entry.value, name)
        if owner != name:
            where = f"addresses.{name}"
            structurer.report(entry.line, where, f"the same as addresses.{owner}")
