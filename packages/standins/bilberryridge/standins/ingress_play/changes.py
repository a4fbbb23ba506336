"""Constants of the product that a play overrides."""

import importlib

import typer

PRODUCT = "bilberryridge.decisions.ingress"


def set_constants(changes: list[str]) -> None:
    """Override constants, each given as ``MODULE.CONSTANT=VALUE``."""
    for change in changes:
        name, _, value = change.partition("=")
        module_name, _, constant = name.partition(".")
        module = importlib.import_module(f"{PRODUCT}.{module_name}")
        if not hasattr(module, constant):
            raise typer.BadParameter(f"unknown constant {name}")
        setattr(module, constant, float(value))
