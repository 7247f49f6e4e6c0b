"""gRPC channels to the control ports of other nodes, and peer authentication."""

import hmac
import ssl
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import grpc

from ..errors import Malformed, PeerUnavailable
from ..options import Address
from ..settings import Settings
from .control_pb2_grpc import ControlStub

__all__ = [
    "PeerGuard",
    "check_metadata",
    "convert_rpc_error",
    "make_client_context",
    "make_metadata",
    "make_server_credentials",
    "open_stub",
]

SECRET_KEY = "cactusshed-secret"  # noqa: S105
KEEPALIVE_MS = 5_000
KEEPALIVE_TIMEOUT_MS = 2_000
MAX_MESSAGE_BYTES = 4 << 20
CHANNEL_OPTIONS = (
    ("grpc.keepalive_time_ms", KEEPALIVE_MS),
    ("grpc.keepalive_timeout_ms", KEEPALIVE_TIMEOUT_MS),
    ("grpc.keepalive_permit_without_calls", 0),
    ("grpc.http2.max_pings_without_data", 0),
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.enable_http_proxy", 0),
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.initial_reconnect_backoff_ms", 200),
)
SERVER_OPTIONS = (
    ("grpc.http2.min_ping_interval_without_data_ms", KEEPALIVE_MS // 2),
    ("grpc.keepalive_permit_without_calls", 1),
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.so_reuseport", 0),
)


def _read_file(path: str) -> bytes:
    with open(path, "rb") as source:
        return source.read()


def make_server_credentials(settings: Settings) -> grpc.ServerCredentials | None:
    """Return TLS credentials that require client certificates; `None` without TLS."""
    if not settings.tls_key:
        return None
    pair = (_read_file(settings.tls_key), _read_file(settings.tls_cert))
    return grpc.ssl_server_credentials(
        [pair],
        root_certificates=_read_file(settings.tls_ca),
        require_client_auth=True,
    )


def make_client_context(settings: Settings) -> ssl.SSLContext | None:
    """Return the TLS context for calls to other nodes; `None` without TLS."""
    if not settings.tls_key:
        return None
    context = ssl.create_default_context(cafile=settings.tls_ca)
    context.load_cert_chain(settings.tls_cert, settings.tls_key)
    return context


def make_metadata(settings: Settings) -> tuple[tuple[str, str], ...]:
    """Return the metadata that authenticates this node to its peers."""
    return ((SECRET_KEY, settings.secret),)


@asynccontextmanager
async def open_stub(settings: Settings, address: Address) -> AsyncIterator[ControlStub]:
    """Open a channel to the control port at `address` and yield its stub."""
    channel = _open_channel(settings, str(address))
    try:
        yield ControlStub(channel)
    finally:
        await channel.close()


def _open_channel(settings: Settings, target: str) -> grpc.aio.Channel:
    if not settings.tls_key:
        return grpc.aio.insecure_channel(target, options=CHANNEL_OPTIONS)
    credentials = grpc.ssl_channel_credentials(
        root_certificates=_read_file(settings.tls_ca),
        private_key=_read_file(settings.tls_key),
        certificate_chain=_read_file(settings.tls_cert),
    )
    return grpc.aio.secure_channel(target, credentials, options=CHANNEL_OPTIONS)


def check_metadata(metadata, secret: str) -> bool:
    """Return whether the metadata of a call contain the peers' secret."""
    received_secret = dict(metadata or ()).get(SECRET_KEY, "")
    return hmac.compare_digest(str(received_secret).encode(), secret.encode())


class PeerGuard(grpc.aio.ServerInterceptor):
    """Rejects calls whose metadata lack the peers' secret."""

    def __init__(self, secret: str, on_refused) -> None:
        """Require `secret`; `on_refused` is called for each rejected call."""
        self._secret = secret
        self._on_refused = on_refused

    async def intercept_service(self, continuation, details):
        """Return the handler of the call, or one that rejects it."""
        handler = await continuation(details)
        if handler is None:
            return handler
        if check_metadata(details.invocation_metadata, self._secret):
            return handler
        self._on_refused()
        return _make_rejecting_handler(handler)


def _make_rejecting_handler(handler):
    async def reject_unary(_request, context):
        await context.abort(grpc.StatusCode.UNAUTHENTICATED, "forbidden")

    async def reject_stream(_request, context):
        await context.abort(grpc.StatusCode.UNAUTHENTICATED, "forbidden")
        yield

    factories = {
        (False, False): (grpc.unary_unary_rpc_method_handler, reject_unary),
        (False, True): (grpc.unary_stream_rpc_method_handler, reject_stream),
        (True, False): (grpc.stream_unary_rpc_method_handler, reject_unary),
        (True, True): (grpc.stream_stream_rpc_method_handler, reject_stream),
    }
    make_handler, reject = factories[
        handler.request_streaming, handler.response_streaming
    ]
    return make_handler(
        reject,
        request_deserializer=handler.request_deserializer,
        response_serializer=handler.response_serializer,
    )


def convert_rpc_error(error: grpc.RpcError, step: str, peer: Address) -> Exception:
    """Convert the error of a failed call to `peer` into one of this package."""
    code = error.code() if hasattr(error, "code") else None
    if code == grpc.StatusCode.INVALID_ARGUMENT:
        return Malformed(str(error.details()), step=step, peer=str(peer))
    name = code.name if code else type(error).__name__
    return PeerUnavailable(name.lower(), step=step, peer=str(peer))
