"""The merge base: stored documents as of the directory's last agreement with the store.

Without it, an operator's older copy of a document would look like a deliberate change
back to the older version.
"""

import json
import pathlib
from collections.abc import Mapping

import returns.result
from returns.result import Result

from bilberryridge.command import store_client

FILE_NAME = "base.json"


MergeBase = Mapping[str, store_client.Fields]
"""Fields by document key ``<kind>/<name>``."""


def load(directory: pathlib.Path) -> Result[MergeBase, str]:
    """Read the merge base of a directory; empty if it has none yet."""
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
    """Write the merge base of a directory, replacing its file atomically."""
    path = directory / FILE_NAME
    written = path.with_suffix(".new")
    written.write_text(json.dumps(dict(sorted(merge_base.items())), indent=1) + "\n")
    written.replace(path)
