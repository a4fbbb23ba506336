"""File format of scenarios: a layout and steps, read from YAML.

A step is a mapping with one entry, its action: a method of
`fleet_actions.FleetActions` or `request_actions.RequestActions`. Steps wait for
conditions with a time limit and never sleep for a fixed time.
"""

import pathlib
from typing import Any

import attrs
import cattrs

from bilberryridge.core import documents
from bilberryridge.standins import configs, layout

ORGANISATION = "crew"


@attrs.frozen
class Scenario:
    """One scenario.

    Parameters
    ----------
    name : str
    about : str
        What it tests, in one line.
    domains : tuple of layout.DomainLayout
    organisations : tuple of documents.Organisation
        Without any in the file, one that is allowed in every region.
    services : dict
    steps : tuple of (str, object)
        Action and its arguments.
    """

    name: str
    about: str
    domains: tuple[layout.DomainLayout, ...]
    organisations: tuple[documents.Organisation, ...]
    services: dict[str, dict[str, Any]]
    steps: tuple[tuple[str, Any], ...]

    def plan(self, subnet: int) -> layout.Layout:
        """Return its fleet."""
        return layout.Layout(
            subnet, self.domains, self.organisations, True, self.services
        )


def load(path: pathlib.Path) -> Scenario:
    """Read a scenario."""
    data = configs.load(path)
    domains = cattrs.structure(data["domains"], tuple[layout.DomainLayout, ...])
    home = domains[0].region
    orgs = data.get("organisations") or [{"name": ORGANISATION, "home_region": home}]
    return Scenario(
        name=path.stem,
        about=data["about"],
        domains=domains,
        organisations=cattrs.structure(orgs, tuple[documents.Organisation, ...]),
        services=data.get("services") or {},
        steps=tuple(_step(step) for step in data["steps"]),
    )


def _step(step: dict[str, Any]) -> tuple[str, Any]:
    ((action, arguments),) = step.items()
    return action, arguments
