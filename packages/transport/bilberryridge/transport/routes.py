"""Parses requests by route and encodes the node's own answers as JSON."""

import hashlib
import json
import re

import attrs
from werkzeug import datastructures, exceptions, routing
from werkzeug.sansio import request as sansio

from bilberryridge.core import outcomes, requests
from bilberryridge.decisions import effects
from bilberryridge.transport import errors, headers, prompts, traces

JSON_FIELDS: headers.Fields = (("Content-Type", "application/json"),)
CHAT = "chat"
MODELS = "models"
ENTRY = "entry"
SERVICE = "service"
SERVICE_PREFIX = "/services/"

# The next hop could parse a target with other characters differently.
_TARGET = re.compile(r"/[\x21\x22\x24-\x7e]*")
_SERVICE_NAME = re.compile(r"[A-Za-z0-9._-]{1,128}")

ROUTES = routing.Map(
    [
        routing.Rule("/v1/chat/completions", endpoint=CHAT, methods=["POST"]),
        routing.Rule("/v1/models", endpoint=MODELS, methods=["GET"]),
        routing.Rule("/v1/entry", endpoint=ENTRY, methods=["GET"]),
        routing.Rule("/services/<service>/", endpoint=SERVICE),
        routing.Rule("/services/<service>/<path:rest>", endpoint=SERVICE),
    ],
    strict_slashes=False,
    merge_slashes=False,
)


@attrs.frozen
class Head:
    """The head of a caller's request.

    Parameters
    ----------
    endpoint : str
        One of `CHAT`, `MODELS`, `ENTRY`, `SERVICE`.
    service : str
        Service name; empty unless `endpoint` is `SERVICE`.
    method, target : str
        As sent by the caller.
    fields : tuple of (str, str)
        Header fields.
    caller_digest : str
        Hexadecimal SHA-256 digest of the bearer token; empty if there is none.
    """

    endpoint: str
    service: str
    method: str
    target: str
    fields: headers.Fields
    caller_digest: str


def read_head(method: str, target: str, fields: headers.Fields) -> Head:
    """Match a request to its endpoint.

    Raises
    ------
    errors.BadRequestError
        If the target is invalid or no route matches.
    """
    if not _TARGET.fullmatch(target):
        raise _bad_request("the target is no plain path")
    path, _, query = target.partition("?")
    req = sansio.Request(
        method,
        "http",
        None,
        "",
        path,
        query.encode(),
        datastructures.Headers(fields),
        None,
    )
    endpoint, service = _match(req)
    return Head(endpoint, service, method, target, fields, _digest_of(req))


def read_request(
    head: Head, body: bytes, request_id: str, envelope: requests.Envelope | None
) -> tuple[requests.Request, bytes]:
    """Make the request that the node decides on, and the body to forward.

    Raises
    ------
    errors.BadRequestError
        If the body of a model request is invalid.
    """
    if head.endpoint == CHAT:
        prompt = prompts.read(body)
        # Another daemon has added the priority and signed the body as it is.
        body = prompt.body if envelope is None else body
        service, path = prompt.model, head.target
    else:
        prompt = None
        service, path = head.service, _path_in_service(head)
    trace_parent = traces.child_trace_parent(
        headers.find(head.fields, headers.TRACE_PARENT)
    )
    req = requests.Request(
        request_id=request_id,
        method=head.method,
        service=service,
        path=path,
        caller_digest=head.caller_digest if envelope is None else "",
        idempotency_key=headers.find(head.fields, headers.IDEMPOTENCY_KEY),
        body_digest=_body_digest(head.method, service, path, body),
        n_body_bytes=len(body),
        envelope=envelope,
        trace_parent=trace_parent,
    )
    if prompt is not None:
        req = attrs.evolve(
            req,
            prefix_digests=prompt.prefix_digests,
            n_prompt_tokens=prompt.n_prompt_tokens,
            n_output_tokens=prompt.n_output_tokens,
            priority=prompt.priority,
            is_streamed=prompt.is_streamed,
        )
    return req, body


def entry_body(effect: effects.AnswerEntry) -> bytes:
    """Encode the list of entry VMs."""
    entry_vms = [
        {
            "vm": entry.vm,
            "domain": entry.domain,
            "region": entry.region,
            "url": f"http://{entry.address}",
        }
        for entry in effect.entry_vms
    ]
    answer = {
        "entry_vms": entry_vms,
        "holds_s": effect.holds_s,
        "key_prefix": effect.key_prefix,
        "key_prefix_holds_s": effect.key_prefix_holds_s,
    }
    return json.dumps(answer).encode()


def models_body(effect: effects.AnswerModels) -> bytes:
    """Encode the list of models."""
    models = [
        {"id": model, "object": "model", "created": 0, "owned_by": "bilberryridge"}
        for model in effect.models
    ]
    return json.dumps({"object": "list", "data": models}).encode()


def _match(req: sansio.Request) -> tuple[str, str]:
    adapter = ROUTES.bind("callers", path_info=req.path, default_method=req.method)
    try:
        endpoint, arguments = adapter.match()
    except exceptions.MethodNotAllowed as exc:
        raise _bad_request("the path does not take this method") from exc
    except (exceptions.NotFound, routing.RequestRedirect) as exc:
        detail = "nothing is served under this path"
        raise errors.BadRequestError(outcomes.Reason.UNKNOWN_SERVICE, detail) from exc
    service = arguments.get("service", "")
    if service and not _SERVICE_NAME.fullmatch(service):
        detail = "there is no service of this name"
        raise errors.BadRequestError(outcomes.Reason.UNKNOWN_SERVICE, detail)
    return endpoint, service


def _path_in_service(head: Head) -> str:
    """Path and query below the service, byte for byte as sent by the caller."""
    below = head.target[len(SERVICE_PREFIX) + len(head.service) :]
    return below if below.startswith("/") else "/" + below


def _digest_of(req: sansio.Request) -> str:
    given = req.authorization
    if given is None or given.type != "bearer" or not given.token:
        return ""
    return hashlib.sha256(given.token.encode()).hexdigest()


def _body_digest(method: str, service: str, path: str, body: bytes) -> bytes:
    head = "\n".join((method, service, path, "")).encode()
    return hashlib.sha256(head + body).digest()


def _bad_request(detail: str) -> errors.BadRequestError:
    return errors.BadRequestError(outcomes.Reason.BAD_REQUEST, detail)
