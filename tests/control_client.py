"""A client of the controllers' control interface in the simulation, without sockets."""

import importlib.util
import io
import json
from pathlib import Path

from twisted.internet import defer
from twisted.internet.error import ConnectionDone

from pipitlink.controller.control_api import ControlApi
from pipitlink.dialect.control import ControlFormat

__all__ = ["ControlClient", "platform_control_format", "config_of", "route_of"]


def platform_control_format():
    path = Path(__file__).resolve().parent.parent / "platform" / "control.py"
    spec = importlib.util.spec_from_file_location("platform_control", path)
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module.PlatformControlFormat()


def route_of(name, pool="p", **more):
    return {
        "name": name,
        "host": "h.example",
        "prefix": f"/{name}/",
        "kind": "mutating",
        "deadline_ms": 2500,
        "pool": pool,
        **more,
    }


def config_of(version, *routes, pools=("p",)):
    return {
        "version": version,
        "routes": list(routes) or [route_of("r")],
        "pools": [{"name": p} for p in pools],
        "bounds": {"max_header_bytes": 16384},
    }


class _Request:
    startedWriting = False

    def __init__(self, method: str, body: bytes, headers: dict):
        self.method, self.path = method.encode(), b"/"
        self.content = io.BytesIO(body)
        self.status = 200
        self.sent: dict = {}
        self._headers = {k.lower(): v for k, v in headers.items()}

    def getHeader(self, name):
        return self._headers.get(name.lower())

    def setHeader(self, name, value):
        self.sent[name] = value

    def setResponseCode(self, status):
        self.status = status

    def notifyFinish(self):
        self.finish = defer.Deferred()
        return self.finish


class _PendingResponse(list):
    """Empty until the call has a response, then holds its status and body; until then, `disconnect` breaks the call."""

    def __init__(self, request):
        super().__init__()
        self._request = request

    def disconnect(self):
        if not self:
            self._request.finish.errback(ConnectionDone())


class ControlClient:
    """Calls a simulated controller's control API without HTTP.

    Like the controller's HTTP server, it finds the API method for an HTTP method and path in a ControlFormat.
    """

    def __init__(self, simulation, control_format=None):
        self.simulation = simulation
        self.control_format = control_format or ControlFormat()

    def start_call(self, controller, method: str, path: str, body=None, headers=None) -> list:
        """Starts a call and returns a list that will hold (status, body) once there is a response."""
        raw = body if isinstance(body, bytes) else b"" if body is None else json.dumps(body).encode()
        request = _Request(method, raw, headers or {})
        action, kwargs = self._find(method, path)
        response = _PendingResponse(request)
        d = getattr(ControlApi(controller.ctx, controller.part, self.control_format), action)(request, **kwargs)
        d.addCallback(lambda out: response.append((request.status, json.loads(out or b"null"))))
        return response

    def _find(self, method, path):
        for m, pattern, action in self.control_format.control_paths:
            parts, given = pattern.split("/"), path.split("/")
            if m == method and len(parts) == len(given) and all(p == g or p[:1] == "<" for p, g in zip(parts, given)):
                return action, {p[1:-1]: g for p, g in zip(parts, given) if p[:1] == "<"}
        raise AssertionError(f"{method} {path} matches no path of the control format")

    def call(self, controller, *args, limit: float = 8, **kwargs):
        response = self.start_call(controller, *args, **kwargs)
        self.simulation.until(lambda: response, limit, "the call has a response")
        return response[0]

    def put(self, controller, config, base: int):
        return self.call(controller, "PUT", self._config_path(), config, {"If-Match": str(base)})

    def patch(self, controller, config, base: int):
        return self.call(controller, "PATCH", self._config_path(), config, {"If-Match": str(base)})

    def get(self, controller):
        return self.call(controller, "GET", self._config_path())

    def _config_path(self) -> str:
        return self.control_format.control_paths[0][1]
