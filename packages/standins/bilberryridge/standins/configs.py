"""Configuration files of the stand-ins' processes."""

import argparse
import io
import pathlib
from typing import Any

from ruamel import yaml


def load(path: pathlib.Path) -> Any:
    """Read a YAML file."""
    return yaml.YAML(typ="safe").load(path.read_text())


def save(path: pathlib.Path, value: Any) -> None:
    """Write a YAML file."""
    text = io.StringIO()
    yaml.YAML(typ="safe").dump(value, text)
    path.write_text(text.getvalue())


def read_argument() -> Any:
    """Read the file that ``--config FILE`` names."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--config", type=pathlib.Path, required=True)
    return load(parser.parse_args().config)
