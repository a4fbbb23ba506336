"""Ask the questions of the questionnaire at the terminal."""

import hashlib
import io
import itertools
from typing import Any, Protocol

import ruamel.yaml

from bilberryridge.core import documents as core_documents


class Asker(Protocol):
    """A function that asks one question, such as `typer.prompt`."""

    def __call__(self, text: str, *, default: str | None = None) -> str:
        """Return the answer, or the default if the answer is empty."""


def ask_all(ask: Asker) -> str:
    """Ask all questions and return the answers as the text of a YAML file.

    The answers are not checked here: `bilberryridge.configuration.questionnaire` checks
    the file and reports the line of each bad answer.
    """
    deployment = ask("Name of the deployment")
    domains = [_ask_domain(ask, name) for name in _ask_names(ask, "Failure domains")]
    regions = sorted({domain["region"] for domain in domains})
    names = _ask_names(ask, "Services")
    services = [_ask_service(ask, name, domains, regions) for name in names]
    names = _ask_names(ask, "Organisations")
    organisations = [_ask_organisation(ask, name, regions) for name in names]
    pairs = itertools.combinations(regions, 2)
    answers = {
        "deployment": deployment,
        "domains": domains,
        "services": services,
        "organisations": organisations,
        "links": [_ask_link(ask, a, b) for a, b in pairs],
        "weights": _ask_weights(ask),
    }
    return _to_yaml(answers)


def _ask_domain(ask: Asker, name: str) -> dict[str, Any]:
    return {
        "name": name,
        "region": ask(f"Region of {name}"),
        "entry_ips": _ask_names(ask, f"IP numbers of the entry VMs of {name}"),
    }


def _ask_service(
    ask: Asker, name: str, domains: list[dict[str, Any]], regions: list[str]
) -> dict[str, Any]:
    kind = ask(f"Is {name} a model or a plain service", default="plain")
    retryable = "GET HEAD OPTIONS"
    if kind == core_documents.ServiceKind.MODEL.value:
        retryable += " POST"
    service: dict[str, Any] = {"name": name, "kind": kind}
    question = f"Regions where data of {name} may be served or processed"
    service["regions"] = _ask_names(ask, question, " ".join(regions))
    question = f"Methods of {name} whose requests may be sent again"
    service["retryable_methods"] = _ask_names(ask, question, retryable)
    service["n_slots"] = _parse_number(
        ask("Requests that one server works on", default="16")
    )
    if kind == core_documents.ServiceKind.MODEL.value:
        service["tokens_per_s"] = _parse_number(ask("Tokens a second of one server"))
    service["servers"] = []
    for domain in domains:
        question = f"IP numbers of the servers of {name} in {domain['name']}"
        ips = _ask_names(ask, question, "")
        if ips:
            service["servers"].append({"domain": domain["name"], "ips": ips})
    return service


def _ask_organisation(ask: Asker, name: str, regions: list[str]) -> dict[str, Any]:
    home = ask(f"Home region of {name}")
    question = f"Regions where data of {name} may be served or processed"
    allowed = _ask_names(ask, question, " ".join(regions))
    question = f"Digests (SHA-256) or tokens of the callers of {name}"
    return {
        "name": name,
        "home_region": home,
        "regions": [] if allowed == regions else allowed,
        "token_digests": [_to_digest(text) for text in _ask_names(ask, question)],
    }


def _ask_link(ask: Asker, a: str, b: str) -> dict[str, Any]:
    return {
        "a": a,
        "b": b,
        "one_way_ms": _parse_number(ask(f"Milliseconds one way from {a} to {b}")),
        "megabits_per_s": _parse_number(ask("Megabits a second", default="1000")),
    }


def _ask_weights(ask: Asker) -> dict[str, Any]:
    return {
        "tail_latency": _parse_number(ask("Weight of tail latency", default="1.0")),
        "cost": _parse_number(ask("Weight of cost", default="0.2")),
        "sent_away": _parse_number(
            ask("Weight of leaving the home region", default="0.2")
        ),
    }


def _ask_names(ask: Asker, question: str, default: str | None = None) -> list[str]:
    text = ask(f"{question} (with blanks between)", default=default)
    return text.replace(",", " ").split()


def _to_digest(text: str) -> str:
    """Return a digest unchanged, or the digest of a token; no token is stored."""
    is_digest = len(text) == 64 and all(c in "0123456789abcdef" for c in text)
    return text if is_digest else hashlib.sha256(text.encode()).hexdigest()


def _parse_number(text: str) -> int | float | str:
    for kind in (int, float):
        try:
            return kind(text)
        except ValueError:
            continue
    return text


def _to_yaml(answers: dict[str, Any]) -> str:
    yaml: Any = ruamel.yaml.YAML(typ="safe", pure=True)
    yaml.default_flow_style = False
    yaml.sort_base_mapping_type_on_output = False
    stream = io.StringIO()
    yaml.dump(answers, stream)
    return stream.getvalue()
