"""How the command reaches a deployment: a YAML profile, the environment, options."""

import getpass
import os
import pathlib
from collections.abc import Mapping

import attrs
import returns.result
from returns.result import Result

from bilberryridge.configuration import located, problems, rules, structure

DEFAULT_PATH = "~/.config/bilberryridge/profile.yaml"
VARIABLES = {
    "store": "BILBERRYRIDGE_STORE",
    "deployment": "BILBERRYRIDGE_DEPLOYMENT",
    "token": "BILBERRYRIDGE_TOKEN",
    "who": "BILBERRYRIDGE_WHO",
}
PROFILE_VARIABLE = "BILBERRYRIDGE_PROFILE"


@attrs.frozen
class Profile:
    """What the command knows of a deployment; empty where it is not given.

    Parameters
    ----------
    store : str
        Base URL of the store.
    deployment : str
    token : str
        The operators' bearer token.
    who : str
        Named in the record of a change.
    """

    store: str = ""
    deployment: str = ""
    token: str = attrs.field(default="", repr=False)
    who: str = ""


RULES: structure.Rules = {
    Profile: {
        "store": rules.either(rules.check_empty, rules.check_endpoint),
        "deployment": rules.either(rules.check_empty, rules.check_name),
    }
}


def load(
    path: str, environment: Mapping[str, str], options: Mapping[str, str]
) -> Result[Profile, problems.Problems]:
    """Read the profile; the environment goes before the file, and options before both.

    Parameters
    ----------
    path : str
        Empty for the environment's file or the default one, which may be missing.
    environment : mapping of str to str
    options : mapping of str to str
        By field name; empty ones are not given.
    """
    named = path or environment.get(PROFILE_VARIABLE, "")
    file = pathlib.Path(named or DEFAULT_PATH).expanduser()
    values: dict[str, located.Node] = {}
    if named or file.exists():
        match _read(file):
            case returns.result.Success(node):
                values.update(node.value)
            case returns.result.Failure(found_problems):
                return returns.result.Failure(found_problems)
    for name, variable in VARIABLES.items():
        given = options.get(name) or environment.get(variable, "")
        if given:
            values[name] = located.Node(given, 0)
    values.setdefault("who", located.Node(_user_name(environment), 0))
    structurer = structure.Structurer(str(file), RULES)
    profile = structurer.structure(located.Node(values, 1), Profile)
    if structurer.reported:
        return returns.result.Failure(tuple(structurer.reported))
    return returns.result.Success(profile)


def _read(file: pathlib.Path) -> Result[located.Node, problems.Problems]:
    try:
        data = file.read_bytes()
    except OSError as exc:
        problem = problems.Problem(str(file), 0, f"can't be read: {exc.strerror}")
        return returns.result.Failure((problem,))
    return located.from_yaml(str(file), data).bind(
        lambda node: _require_mapping(str(file), node)
    )


def _require_mapping(
    file: str, node: located.Node
) -> Result[located.Node, problems.Problems]:
    if isinstance(node.value, dict):
        return returns.result.Success(node)
    problem = problems.Problem(file, node.line, "must be a mapping of names to values")
    return returns.result.Failure((problem,))


def _user_name(environment: Mapping[str, str]) -> str:
    name = environment.get("USER", "")
    if name:
        return name
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return f"uid {os.getuid()}"
