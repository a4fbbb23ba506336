"""YAML and JSON values with their line numbers.

References
----------
YAML 1.2; RFC 8259, the JSON data interchange format.
"""

import json
import math
from typing import Any

import attrs
import returns.result
import ruamel.yaml
from returns.result import Result

from bilberryridge.configuration import problems

MAX_FILE_BYTES = 1 << 20
TAG_PREFIX = "tag:yaml.org,2002:"

Scalar = str | int | float | bool | None


@attrs.frozen
class Node:
    """A value with its line number.

    Parameters
    ----------
    value : scalar, tuple of Node or dict of Node
    line : int
        From 1; for a value in a mapping, the line of its key.
    """

    value: "Scalar | tuple[Node, ...] | dict[str, Node]"
    line: int = 1


class LocatedError(Exception):
    """Raised for a value that can't be parsed or isn't supported."""

    def __init__(self, line: int, reason: str):
        super().__init__(reason)
        self.line = line
        self.reason = reason


def from_yaml(file: str, data: bytes) -> Result[Node, problems.Problems]:
    """Parse the contents of a YAML file.

    Examples
    --------
    >>> from_yaml("a.yaml", b"size: 3").unwrap().value["size"]
    Node(value=3, line=1)
    >>> str(from_yaml("a.yaml", b"size: 3\\nsize: 4").failure()[0])
    'a.yaml:2: size: given twice'
    """
    return _read_safely(file, data, _read_yaml)


def from_json(file: str, data: bytes) -> Result[Node, problems.Problems]:
    """Parse a stored JSON value; every node gets line 1.

    Examples
    --------
    >>> from_json("vm/a", b"[true]").unwrap().value
    (Node(value=True, line=1),)
    """
    return _read_safely(file, data, _read_json)


def _read_safely(file: str, data: bytes, read: Any) -> Result[Node, problems.Problems]:
    try:
        if len(data) > MAX_FILE_BYTES:
            raise LocatedError(0, f"larger than {MAX_FILE_BYTES} bytes")
        return returns.result.Success(read(data.decode()))
    except LocatedError as exc:
        problem = problems.Problem(file, exc.line, exc.reason)
    except UnicodeDecodeError as exc:
        line = data[: exc.start].count(b"\n") + 1
        problem = problems.Problem(file, line, "not UTF-8")
    except RecursionError:
        problem = problems.Problem(file, 0, "nested too deeply")
    return returns.result.Failure((problem,))


def _read_yaml(text: str) -> Node:
    yaml = ruamel.yaml.YAML(typ="safe", pure=True)
    try:
        root = yaml.compose(text)
    except ruamel.yaml.error.MarkedYAMLError as exc:
        line = exc.problem_mark.line + 1 if exc.problem_mark else 0
        raise LocatedError(line, f"not YAML: {exc.problem}") from exc
    except ruamel.yaml.reader.ReaderError as exc:
        line = text[: exc.position].count("\n") + 1
        raise LocatedError(line, f"not YAML: {exc.reason}") from exc
    except ruamel.yaml.error.YAMLError as exc:
        raise LocatedError(0, "not YAML") from exc
    if root is None:
        raise LocatedError(0, "empty")
    return _from_yaml_node(root, root.start_mark.line + 1)


def _from_yaml_node(node: Any, line: int) -> Node:
    # An alias could expand to a value many times its size, or refer to itself.
    if node.anchor is not None:
        raise LocatedError(line, "anchors and aliases are not supported")
    if isinstance(node, ruamel.yaml.nodes.MappingNode):
        return Node(_mapping_value(node), line)
    if isinstance(node, ruamel.yaml.nodes.SequenceNode):
        items = [_from_yaml_node(i, i.start_mark.line + 1) for i in node.value]
        return Node(tuple(items), line)
    return Node(_scalar_value(str(node.tag), node.value, line), line)


def _mapping_value(node: Any) -> dict[str, Node]:
    entries: dict[str, Node] = {}
    for key, value in node.value:
        line = key.start_mark.line + 1
        if not isinstance(key, ruamel.yaml.nodes.ScalarNode):
            raise LocatedError(line, "a key must be text")
        if key.value in entries:
            raise LocatedError(line, f"{key.value}: given twice")
        entries[key.value] = _from_yaml_node(value, line)
    return entries


def _scalar_value(tag: str, text: str, line: int) -> Scalar:
    kind = tag.removeprefix(TAG_PREFIX)
    if kind == "null":
        return None
    if kind == "bool":
        return text.lower() == "true"
    if kind == "int":
        return _parse_number(int, text, line)
    if kind == "float":
        return _parse_number(_parse_finite, text, line)
    if kind in ("str", "timestamp"):
        return text
    raise LocatedError(line, f"the tag {tag} is not supported")


def _parse_number(parse: Any, text: str, line: int) -> int | float:
    try:
        number: int | float = parse(text.replace("_", ""))
    except ValueError as exc:
        raise LocatedError(line, f"{text[:20]} is not a plain number") from exc
    return number


def _parse_finite(text: str) -> float:
    number = float(text)
    if not math.isfinite(number):
        raise ValueError(text)
    return number


def _read_json(text: str) -> Node:
    try:
        root = json.loads(
            text,
            object_pairs_hook=_unique_pairs,
            parse_constant=_refuse_constant,
            parse_float=_parse_finite,
        )
    except ValueError as exc:
        raise LocatedError(1, f"not JSON: {exc}") from exc
    return _from_json_value(root)


def _unique_pairs(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    entries = dict(pairs)
    if len(entries) != len(pairs):
        raise ValueError("a name is given twice")
    return entries


def _refuse_constant(text: str) -> float:
    raise ValueError(f"{text} is not a number")


def _from_json_value(value: Any) -> Node:
    if isinstance(value, dict):
        return Node({key: _from_json_value(item) for key, item in value.items()})
    if isinstance(value, list):
        return Node(tuple(_from_json_value(item) for item in value))
    return Node(value)
