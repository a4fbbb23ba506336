"""What the store held when an operator's directory last agreed with it.

Without it, an operator's older copy of a document would look like a change back.
"""

import json
import pathlib
from collections.abc import Mapping

import returns.result
from returns.result import Result

from bilberryridge.command import store_client

FILE_NAME = "base.json"


MergeBase = Mapping[str, store_client.Fields]
"""Fields by ``<kind>/<name>``."""


def load(directory: pathlib.Path) -> Result[MergeBase, str]:
    """Read the base of a directory; empty when it has none yet."""
    path = directory / FILE_NAME
    try:
        entries = json.loads(path.read_text())
        merge_base = {key: dict(fields) for key, fields in entries.items()}
    except FileNotFoundError:
        merge_base = {}
    except (OSError, ValueError, TypeError, AttributeError) as exc:
        return returns.result.Failure(f"{path}: can't be read: {exc}")
    return returns.result.Success(merge_base)


def save(directory: pathlib.Path, merge_base: MergeBase) -> None:
    """Write the base of a directory, whole or not at all."""
    path = directory / FILE_NAME
    written = path.with_suffix(".new")
    written.write_text(json.dumps(dict(sorted(merge_base.items())), indent=1) + "\n")
    written.replace(path)
