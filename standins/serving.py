"""HTTP server shared by the stand-ins: serves an ASGI application until SIGTERM."""

import signal

import anyio
import uvicorn

from cactusshed.options import Address
from cactusshed.serve.listener import open_socket

__all__ = ["make_server", "serve_app"]


def make_server(app) -> uvicorn.Server:
    """Return an HTTP/1.1 server for `app` that writes no logs."""
    config = uvicorn.Config(
        app,
        http="httptools",
        loop="asyncio",
        lifespan="off",
        access_log=False,
        log_config=None,
        proxy_headers=False,
        timeout_keep_alive=60,
    )
    return uvicorn.Server(config)


async def serve_app(app, address: Address, *tasks, drain=None) -> None:
    """Serve `app` at `address` and run `tasks` until SIGTERM or SIGINT.

    `drain`, if given, is awaited before the listener closes.
    """
    server = make_server(app)
    server.install_signal_handlers = lambda: None
    sock = open_socket(address)
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with anyio.create_task_group() as group:
            group.start_soon(server._serve, [sock])
            for task in tasks:
                group.start_soon(task)
            async for _ in signals:
                break
            if drain is not None:
                await drain()
            server.should_exit = True
            await anyio.sleep(0.1)
            group.cancel_scope.cancel()
