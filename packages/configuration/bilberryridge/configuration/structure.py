"""Build attrs classes from located values, reporting all problems in one pass.

See Also
--------
bilberryridge.configuration.rules : checks of single fields.
"""

import enum
import functools
import types
import typing
from collections.abc import Callable, Mapping
from typing import Any

import attrs

from bilberryridge.configuration import located, problems

Check = Callable[[Any], str]
"""Takes a field's value; returns the reason why it is invalid, or an empty string."""

Rules = Mapping[type, Mapping[str, Check]]
"""Checks by class and field name."""

INVALID = object()
"""Stands in the result for a value that has a problem."""

TYPE_NAMES = {str: "text", int: "a whole number", float: "a number", bool: "a bool"}


@attrs.define
class Structurer:
    """Builds instances of attrs classes from the values of one file.

    Parameters
    ----------
    file : str
        Path, for the problems.
    rules : Rules
        Checks that are applied to each field.
    reported : list of Problem
        All problems so far.
    lines : dict of str to int
        Line of each value that was read, by its field path.

    Examples
    --------
    >>> @attrs.frozen
    ... class Size:
    ...     width: int
    >>> structurer = Structurer("a.yaml", {})
    >>> node = located.from_yaml("a.yaml", b"width: 3").unwrap()
    >>> structurer.structure(node, Size)
    Size(width=3)
    """

    file: str
    rules: Rules
    reported: list[problems.Problem] = attrs.field(factory=list)
    lines: dict[str, int] = attrs.field(factory=dict)

    def report(self, line: int, where: str, reason: str) -> Any:
        """Record a problem; returns `INVALID`."""
        text = f"{where}: {reason}" if where else reason
        self.reported.append(problems.Problem(self.file, line, text))
        return INVALID

    def structure(self, node: located.Node, kind: Any, where: str = "") -> Any:
        """Convert a node to type `kind`; returns `INVALID` if it has a problem.

        Parameters
        ----------
        node : Node
        kind : type
            An attrs class, an enum, ``tuple[X, ...]``, ``X | None`` or a plain type.
        where : str
            Field path from the root, as ``servers[0].ips``, for the problems.
        """
        self.lines[where] = node.line
        if attrs.has(kind):
            return self._structure_class(node, kind, where)
        if typing.get_origin(kind) is tuple:
            return self._structure_tuple(node, typing.get_args(kind)[0], where)
        if typing.get_origin(kind) in (types.UnionType, typing.Union):
            return self._structure_optional(node, kind, where)
        if issubclass(kind, enum.Enum):
            return self._structure_enum(node, kind, where)
        return self._structure_plain(node, kind, where)

    def _structure_class(self, node: located.Node, cls: type, where: str) -> Any:
        if not isinstance(node.value, dict):
            return self.report(node.line, where, "must be a mapping of names to values")
        known = field_types(cls)
        n_before = len(self.reported)
        for name in node.value.keys() - known.keys():
            self.report(node.value[name].line, _join(where, name), "unknown name")
        values = {}
        for field in attrs.fields(cls):
            if field.name in node.value:
                values[field.name] = self._structure_field(node, cls, field.name, where)
            elif field.default is attrs.NOTHING:
                self.report(node.line, _join(where, field.name), "missing")
        return INVALID if len(self.reported) > n_before else cls(**values)

    def _structure_field(
        self, node: located.Node, cls: type, name: str, where: str
    ) -> Any:
        assert isinstance(node.value, dict)
        entry = node.value[name]
        path = _join(where, name)
        value = self.structure(entry, field_types(cls)[name], path)
        check = self.rules.get(cls, {}).get(name)
        reason = check(value) if check is not None and value is not INVALID else ""
        return self.report(entry.line, path, reason) if reason else value

    def _structure_tuple(self, node: located.Node, kind: Any, where: str) -> Any:
        if not isinstance(node.value, tuple):
            return self.report(node.line, where, "must be a list")
        items = [
            self.structure(item, kind, f"{where}[{i}]")
            for i, item in enumerate(node.value)
        ]
        return INVALID if INVALID in items else tuple(items)

    def _structure_optional(self, node: located.Node, kind: Any, where: str) -> Any:
        if node.value is None:
            return None
        (inner,) = [arg for arg in typing.get_args(kind) if arg is not type(None)]
        return self.structure(node, inner, where)

    def _structure_enum(
        self, node: located.Node, kind: type[enum.Enum], where: str
    ) -> Any:
        for member in kind:
            if member.value == node.value:
                return member
        values = ", ".join(str(member.value) for member in kind)
        return self.report(node.line, where, f"must be one of {values}")

    def _structure_plain(self, node: located.Node, kind: type, where: str) -> Any:
        value = node.value
        if kind is float and type(value) is int:
            return float(value)
        if type(value) is kind:
            return value
        hint = " (put it in quotes)" if _is_unquoted(value, kind) else ""
        return self.report(node.line, where, f"must be {TYPE_NAMES[kind]}{hint}")


@functools.cache
def field_types(cls: type) -> dict[str, Any]:
    """Return the resolved types of a class's fields by name, in declaration order."""
    hints = typing.get_type_hints(cls)
    return {field.name: hints[field.name] for field in attrs.fields(cls)}


def _is_unquoted(value: object, kind: type) -> bool:
    return kind is str and isinstance(value, int | float)


def _join(where: str, name: str) -> str:
    return f"{where}.{name}" if where else name
