"""The operator's profile, from a YAML file, the environment and options."""

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
    """How the command reaches a deployment; fields that are not given are empty.

    Parameters
    ----------
    store : str
        Base URL of the store.
    deployment : str
    token : str
        The operators' bearer token.
    who : str
        Operator name for the records of changes.
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
    """Load the profile; options override the environment, which overrides the file.

    Parameters
    ----------
    path : str
        Empty for the file that the environment names or the default file. Only the
        default file may be missing.
    environment : mapping of str to str
    options : mapping of str to str
        By field name; an empty value counts as not given.
    """
    explicit_path = path or environment.get(PROFILE_VARIABLE, "")
    file = pathlib.Path(explicit_path or DEFAULT_PATH).expanduser()
    values: dict[str, located.Node] = {}
    if explicit_path or file.exists():
        match _read(file):
            case returns.result.Success(node):
                values.update(node.value)
            case returns.result.Failure(found_problems):
                return returns.result.Failure(found_problems)
    for name, variable in VARIABLES.items():
        value = options.get(name) or environment.get(variable, "")
        if value:
            values[name] = located.Node(value, 0)
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
