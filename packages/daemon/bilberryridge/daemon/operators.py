"""Operators' HTTP port: health, metrics, status, explanations and graceful stop.

See Also
--------
bilberryridge.command.operators_client : client of this port.
"""

import concurrent.futures
import contextlib
import hashlib
import hmac
import json
import socket
import threading
import time
from collections.abc import Callable, Iterator, Mapping
from typing import Any

import attrs
from werkzeug import exceptions, routing, serving, wrappers

from bilberryridge.daemon import logs
from bilberryridge.daemon import metrics as metrics_module
from bilberryridge.daemon import traces as traces_module

N_WORKERS = 4
MAX_CONNECTIONS = 32
CONNECTION_DEADLINE_S = 15.0
POLL_INTERVAL_S = 0.2
BEARER = "Bearer "

URLS = routing.Map(
    [
        routing.Rule("/livez", endpoint="livez", methods=["GET"]),
        routing.Rule("/readyz", endpoint="readyz", methods=["GET"]),
        routing.Rule("/metrics", endpoint="metrics", methods=["GET"]),
        routing.Rule("/v1/status", endpoint="status", methods=["GET"]),
        routing.Rule("/v1/explain/<request_id>", endpoint="explain", methods=["GET"]),
        routing.Rule("/v1/stop", endpoint="stop", methods=["POST"]),
    ]
)
OPEN_ENDPOINTS = frozenset(["livez", "readyz"])


@attrs.frozen
class Application:
    """The WSGI application of the port.

    Parameters
    ----------
    token_digest : str
        Hexadecimal SHA-256 digest of the operators' bearer token.
    metrics : Metrics
    explanations : Explanations
    traces : Traces
    status : callable
        Returns the status as a mapping that can be encoded as JSON.
    is_ready : callable
        Returns whether the daemon accepts new callers.
    stop : callable
        Starts the graceful stop; must not block.
    """

    token_digest: str
    metrics: metrics_module.Metrics
    explanations: traces_module.Explanations
    traces: traces_module.Traces
    status: Callable[[], Mapping[str, object]]
    is_ready: Callable[[], bool]
    stop: Callable[[], None]

    def __call__(self, environ: dict[str, Any], start_response: Any) -> Any:
        """Answer one request."""
        req = wrappers.Request(environ)
        try:
            endpoint, values = URLS.bind_to_environ(environ).match()
            if endpoint not in OPEN_ENDPOINTS and not self._is_operator(req):
                return _refuse_unauthorized()(environ, start_response)
            answer = getattr(self, f"_answer_{endpoint}")(**values)
        except exceptions.HTTPException as exc:
            return exc(environ, start_response)
        return answer(environ, start_response)

    def _is_operator(self, req: wrappers.Request) -> bool:
        header = req.headers.get("Authorization", "")
        if not header.startswith(BEARER):
            return False
        digest = hashlib.sha256(header[len(BEARER) :].encode()).hexdigest()
        return hmac.compare_digest(digest, self.token_digest)

    def _answer_livez(self) -> wrappers.Response:
        return wrappers.Response("live\n")

    def _answer_readyz(self) -> wrappers.Response:
        if self.is_ready():
            return wrappers.Response("ready\n")
        return wrappers.Response("not ready\n", status=503)

    def _answer_metrics(self) -> wrappers.Response:
        text = self.metrics.render()
        return wrappers.Response(text, content_type=metrics_module.CONTENT_TYPE)

    def _answer_status(self) -> wrappers.Response:
        return _json_response(self.status())

    def _answer_explain(self, request_id: str) -> wrappers.Response:
        steps = self.explanations.steps(request_id)
        spans = self.traces.spans(request_id)
        if not steps and not spans:
            raise exceptions.NotFound("Nothing is known of this request here.")
        body = {
            "request_id": request_id,
            "steps": [attrs.asdict(step) for step in steps],
            "spans": [attrs.asdict(span) for span in spans],
        }
        return _json_response(body)

    def _answer_stop(self) -> wrappers.Response:
        self.stop()
        return _json_response({"stopping": True}, status=202)


def _refuse_unauthorized() -> wrappers.Response:
    answer = wrappers.Response("An operators' bearer token is needed.\n", status=401)
    answer.headers["WWW-Authenticate"] = "Bearer"
    return answer


def _json_response(body: Mapping[str, object], status: int = 200) -> wrappers.Response:
    text = json.dumps(body, indent=1) + "\n"
    return wrappers.Response(text, status=status, content_type="application/json")


class Handler(serving.WSGIRequestHandler):
    """Handles one connection with one request, without access log."""

    timeout = CONNECTION_DEADLINE_S

    def log(self, type: str, message: str, *args: Any) -> None:
        """Write no access log: the log is for state changes only."""


class Server(serving.BaseWSGIServer):
    """Serves with a bounded thread pool; closes connections over the limit at once."""

    def __init__(self, listener: socket.socket, application: Application):
        host, port = listener.getsockname()[:2]
        # The base class exits the process if it cannot bind, so it gets a bound socket.
        super().__init__(host, port, application, Handler, fd=listener.fileno())
        self._executor = concurrent.futures.ThreadPoolExecutor(N_WORKERS, "operators")
        self._lock = threading.Lock()
        self._deadlines_s: dict[socket.socket, float] = {}

    def process_request(self, request: Any, client_address: Any) -> None:
        """Queue a connection for the pool."""
        with self._lock:
            is_over = len(self._deadlines_s) >= MAX_CONNECTIONS
            if not is_over:
                deadline_s = time.monotonic() + CONNECTION_DEADLINE_S
                self._deadlines_s[request] = deadline_s
        if is_over:
            self.shutdown_request(request)
        else:
            self._executor.submit(self._serve, request, client_address)

    def service_actions(self) -> None:
        """Shut down connections past their deadline, even if they still send data."""
        now_s = time.monotonic()
        with self._lock:
            overdue = [c for c, at_s in self._deadlines_s.items() if at_s < now_s]
            for conn in overdue:
                with contextlib.suppress(OSError):
                    conn.shutdown(socket.SHUT_RDWR)

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Log an error in the handling of a connection."""
        logs.LOGGER.exception("operators' port: handling a connection failed")

    def log(self, type: str, message: str, *args: Any) -> None:
        """Log an error of the application."""
        logs.LOGGER.error(message, *args)

    def close(self) -> None:
        """Shut down all connections and the thread pool."""
        with self._lock:
            self._deadlines_s = dict.fromkeys(self._deadlines_s, 0.0)
        self.service_actions()
        self._executor.shutdown()

    def _serve(self, request: socket.socket, client_address: Any) -> None:
        try:
            self.finish_request(request, client_address)
        except Exception:
            self.handle_error(request, client_address)
        finally:
            with self._lock:
                del self._deadlines_s[request]
            self.shutdown_request(request)


@contextlib.contextmanager
def open_operators(
    address: str,
    token_digest: str,
    metrics: metrics_module.Metrics,
    explanations: traces_module.Explanations,
    traces: traces_module.Traces,
    status: Callable[[], Mapping[str, object]],
    is_ready: Callable[[], bool],
    stop: Callable[[], None],
) -> Iterator[str]:
    """Serve operators on separate threads; yield the bound ``host:port``.

    Parameters
    ----------
    address : str
        ``host:port``; port 0 selects a free port.

    The other parameters are those of `Application`.
    """
    application = Application(
        token_digest, metrics, explanations, traces, status, is_ready, stop
    )
    host, _, port = address.rpartition(":")
    with socket.create_server((host.strip("[]"), int(port))) as listener:
        server = Server(listener, application)
        bound_address = f"{host}:{server.port}"
    with concurrent.futures.ThreadPoolExecutor(1, "operators-accept") as executor:
        fut = executor.submit(server.serve_forever, POLL_INTERVAL_S)
        try:
            yield bound_address
        finally:
            server.shutdown()
            server.close()
            fut.result()
