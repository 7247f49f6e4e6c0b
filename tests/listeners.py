"""Listeners of both kinds that answer each request with the size of its body."""

import asyncio
from contextlib import asynccontextmanager

import anyio

from cactusshed.mesh.listener import Listener as MeshListener
from cactusshed.mesh.messages import make_response
from cactusshed.mesh.table import Limits
from cactusshed.observe.counters import Counters
from cactusshed.options import Address
from cactusshed.policy.bodybudget import make_body_budgets
from cactusshed.serve.asgi import read_body, send_text, serve_request
from cactusshed.serve.listener import Listener as ProductListener
from cactusshed.settings import parse_settings
from standins.ports import choose_port

from .test_settings import GOOD

__all__ = ["LISTENERS", "MAX_BODY_BYTES", "MEMORY_BYTES", "open_mesh_listener"]

MEMORY_BYTES = 200 << 20
"""Memory of a process, as in the users' settings files."""
MAX_BODY_BYTES = 1 << 20
"""Limit of a body at the listener of the product."""


@asynccontextmanager
async def open_mesh_listener():
    """Yield the address of a listener of the mesh."""

    async def serve(request):
        return make_response(200, b"%d" % len(request.body))

    budget, _ = make_body_budgets(MEMORY_BYTES)
    limits = Limits()
    listener = MeshListener(serve, lambda: limits, lambda _: None, body_budget=budget)
    address = Address("127.0.0.1", choose_port())
    await listener.open(address.ip, address.port)
    sweeping = asyncio.create_task(listener.sweep())
    try:
        yield address
    finally:
        sweeping.cancel()
        listener.stop()
        for connection in list(listener.connections):
            connection.time_out()


@asynccontextmanager
async def open_product_listener():
    """Yield the address of a listener of the product."""

    async def serve(scope, receive, send):
        body = await read_body(receive, MAX_BODY_BYTES)
        await send_text(send, str(len(body)))

    async def serve_app(scope, receive, send):
        await serve_request(serve, scope, receive, send, Counters(), "tests")

    address = Address("127.0.0.1", choose_port())
    listener = ProductListener(serve_app, address, parse_settings(GOOD))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listener.run)
        await asyncio.sleep(0.2)
        yield address
        tasks.cancel_scope.cancel()


LISTENERS = {"mesh": open_mesh_listener, "product": open_product_listener}
