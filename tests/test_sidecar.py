"""End-to-end tests of the mesh: nodes, store, targets and clients."""

import asyncio
from contextlib import asynccontextmanager

import attrs
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from cactusshed.mesh import storesync
from cactusshed.mesh.gate import Gate
from cactusshed.mesh.upstream import NotSent, UpstreamFailed
from standins.meshfleet import (
    MeshFleet,
    make_document,
    open_client,
    render_request,
    wait_for,
)

from .meshes import run_async

ROUTES = {
    "/read/": {},
    "/write/": {"kind": "unsafe"},
    "/upload/": {"kind": "upload"},
}


@asynccontextmanager
async def open_fleet(*names, service="a"):
    """Yield a fleet that has a configuration, and its nodes."""
    fleet = await MeshFleet.open()
    fleet.store.put_json("op", "config", make_document(1, ROUTES, ["a", "b"]))
    try:
        yield fleet, await fleet.start_connected(*names, service=service)
    finally:
        await fleet.close()


def test_nodes_that_start_together_find_each_other():
    """Eight nodes start at once; each must get a link to every other."""

    async def work():
        names = [f"n{number}" for number in range(8)]
        async with open_fleet(*names) as (fleet, nodes):
            return fleet.are_all_connected(nodes)

    assert_that(run_async(work), Equals(True))


def test_one_node_of_a_data_centre_rereads_the_members(monkeypatch):
    """Repeated reads of the member rows do not grow with the fleet."""
    monkeypatch.setattr(storesync, "MEMBERS_INTERVAL_SECONDS", 0.05)

    async def work():
        async with open_fleet("n1", "n2", "n3", "n4") as (fleet, _):
            await asyncio.sleep(1.5)
            before = fleet.store.calls
            await asyncio.sleep(1.0)
            return fleet.store.calls - before

    calls = run_async(work)
    assert_that(calls, GreaterThan(5))
    assert_that(calls, LessThan(30))


def test_request_reaches_a_target_beside_another_node():
    """The target must see the first node's service as caller, not a forged header."""

    async def work():
        async with open_fleet("n1") as (fleet, _):
            first = await fleet.start("n2", "b")
            await wait_for(first.is_reachable_and_ready)
            await wait_for(lambda: first.sidecar.peers.list_connected("a"))
            answer = await first.request("/read/x", x_caller_service="forged")
            headers = fleet.nodes[0].target.requests[0][1]
            return answer.status, answer.body, headers[b"x-caller-service"]

    assert_that(run_async(work), Equals((200, b"done", b"b")))


def test_node_without_configuration_is_not_ready_and_refuses_calls():
    """A node without routes must answer 503 (not run), never 404."""

    async def work():
        fleet = await MeshFleet.open()
        try:
            node = await fleet.start("n1")
            await wait_for(lambda: node.sidecar.store_sync.has_read_store.is_set())
            answer = await node.request("/read/x")
            return await node.is_ready(), answer.status
        finally:
            await fleet.close()

    assert_that(run_async(work), Equals((False, 503)))


def test_configuration_changes_apply_and_never_revert():
    """A removed route answers 404, an added one is served, old versions are ignored."""

    async def work():
        async with open_fleet("n1") as (fleet, (node,)):
            document = make_document(7, {"/new/": {}}, ["a"])
            fleet.store.put_json("op", "config", document)
            await wait_for(lambda: node.sidecar.records.table.version == 7)
            fleet.store.put_json("op", "config", make_document(5, ROUTES, ["a"]))
            await asyncio.sleep(0.1)
            new, old = await node.request("/new/x"), await node.request("/read/x")
            return new.status, old.status

    assert_that(run_async(work), Equals((200, 404)))


def test_node_without_access_to_the_store_follows_another_node():
    """One node can't reach the store; changes must still reach it through its peer."""

    async def work():
        async with open_fleet("n1", "n2") as (fleet, (cut, other)):
            cut.sidecar.store.set_address(cut.settings.target)
            document = make_document(7, {"/new/": {}}, ["a"])
            fleet.store.put_json("op", "config", document)
            fleet.store.put_json("op", "evacuate/zone-x", {})
            await wait_for(lambda: cut.sidecar.records.table.version == 7)
            await wait_for(lambda: cut.sidecar.records.evacuated)
            return other.sidecar.records.table.version

    assert_that(run_async(work), Equals(7))


def test_lost_feed_history_leads_to_a_full_read():
    """An evacuation must end even if its removal is missing from the feed's history."""

    async def work():
        async with open_fleet("n1") as (fleet, (node,)):
            fleet.store.put_json("op", "evacuate/zone-x", {})
            await wait_for(lambda: node.sidecar.records.evacuated)
            fleet.store.rows.pop(("op", "evacuate/zone-x"))
            fleet.store.version += 5
            fleet.store.drop_history()
            await wait_for(lambda: not node.sidecar.records.evacuated)

    run_async(work)


def test_evacuated_data_centre_gets_nothing_and_is_cold_when_taken_back():
    """The local gate must refuse calls, and treat the target as cold afterwards."""

    async def work():
        async with open_fleet("n1") as (fleet, (node,)):
            gate = node.sidecar.gate
            node.target.cold_ms = 3000
            fleet.store.put_json("op", "evacuate/zone-n", {})
            await wait_for(lambda: not gate.is_open)
            refused = await node.request("/read/x")
            fleet.store.put("op", "evacuate/zone-n", None)
            await wait_for(lambda: gate.is_open and not gate.cold.restart_suspected)
            from cactusshed.clock import read_monotonic

            return refused.status, gate.cold.is_cold(read_monotonic())

    assert_that(run_async(work), Equals((503, True)))


@pytest.mark.parametrize("call", ["draining", "leave"])
def test_acknowledged_leave_survives_a_restart_of_the_node(call):
    """The node is killed and restarts while the target keeps running.

    It must not send requests to a target whose leave it acknowledged before.
    """

    async def work():
        async with open_fleet("n1") as (fleet, (node,)):
            if call == "draining":
                status = await node.announce("draining")
            else:
                status = await node.send_rpc("instances.leave")
            await node.kill()
            restarted = await fleet.restart(node)
            await wait_for(restarted.is_reachable_and_ready)
            await asyncio.sleep(0.3)
            answer = await restarted.request("/read/x")
            return status, answer.status, node.target.runs.total()

    assert_that(run_async(work), Equals((200, 503, 0)))


def test_acknowledged_leave_survives_a_restart_without_the_store():
    """A peer must return the leave to a node that restarts while the store fails."""

    async def work():
        async with open_fleet("n1", "m1") as (fleet, (node, other)):
            fleet.store.fault = "busy"
            status = await node.announce("draining")
            await node.kill()
            restarted = await fleet.restart(node)
            await wait_for(restarted.is_reachable_and_ready)
            await wait_for(
                lambda: restarted.sidecar.announcements.state.leave_acknowledged
            )
            await asyncio.sleep(0.3)
            return status, restarted.sidecar.gate.is_open

    assert_that(run_async(work), Equals((200, False)))


def test_leave_is_kept_for_a_target_that_is_not_known_yet():
    """A restarted node gets a leave before it can read its target from the store."""

    async def work():
        async with open_fleet("n1") as (fleet, (node,)):
            await wait_for(lambda: ("cactusshed", "member/n1") in fleet.store.rows)
            await node.sidecar.own_row.write()
            await node.kill()
            fleet.store.fault = "busy"
            restarted = await fleet.restart(node)
            await asyncio.sleep(0.1)
            status = await restarted.send_rpc("instances.leave")
            fleet.store.fault = "up"
            await wait_for(restarted.is_reachable_and_ready)
            await wait_for(lambda: restarted.sidecar.announcements.state.name)
            await restarted.announce(seq=1)
            await asyncio.sleep(0.3)
            return status, restarted.sidecar.gate.is_open

    assert_that(run_async(work), Equals((200, False)))


def test_restarted_node_opens_without_a_heartbeat():
    """A restarted node must check the health of the target stored in its row."""

    async def work():
        async with open_fleet("n1") as (fleet, (node,)):
            await wait_for(lambda: ("cactusshed", "member/n1") in fleet.store.rows)
            await wait_for(
                lambda: node.sidecar.own_row.is_written(
                    node.sidecar.announcements.state
                )
            )
            await node.kill()
            restarted = await fleet.restart(node)
            await wait_for(lambda: restarted.sidecar.gate.is_open)
            return (await restarted.request("/read/x")).status

    assert_that(run_async(work), Equals(200))


def test_slots_that_change_while_a_target_runs_apply():
    """Only the first heartbeat of a target set its slots; later ones were ignored."""

    async def work():
        async with open_fleet("n1", "n2") as (_, (node, other)):
            await node.announce(slots=2)
            await wait_for(lambda: other.sidecar.peers.members["n1"].state.slots == 2)
            return node.sidecar.gate.queue.limit

    assert_that(run_async(work), Equals(2))


def test_late_heartbeat_of_an_earlier_run_changes_nothing():
    """An older start time or a lower sequence number must not change the state."""

    async def work():
        async with open_fleet("n1") as (_, (node,)):
            await node.announce(born=2000, seq=10)
            await node.announce(state="draining", born=1000, seq=50)
            await node.announce(state="draining", born=2000, seq=9)
            return node.sidecar.gate.is_open

    assert_that(run_async(work), Equals(True))


@pytest.mark.parametrize(
    "fields",
    [
        {"slots": "four"},
        {"state": "unheard-of"},
        {"service": "another"},
        {"cold_left": 3},
        {"born": 1.5},
    ],
)
def test_invalid_announcement_is_refused(fields):
    """The node must answer 400 and keep the known target open."""

    async def work():
        async with open_fleet("n1") as (_, (node,)):
            status = await node.announce(**fields)
            return status, node.sidecar.gate.is_open

    assert_that(run_async(work), Equals((400, True)))


def test_rows_of_other_writers_are_ignored():
    """Rows with invalid bytes or unexpected types must not stop a node."""

    async def work():
        async with open_fleet("n1") as (fleet, (node,)):
            fleet.store.put("cactusshed", "member/x", b"\xff\x00")
            fleet.store.put_json("cactusshed", "member/y", {"node": 5})
            fleet.store.put("op", "rollout/a", b"nonsense")
            fleet.store.put("op", "config", b'{"version": "high"}')
            await wait_for(lambda: "rollout/a" in node.sidecar.records.rows)
            second = await fleet.start("n2")
            await wait_for(second.is_reachable_and_ready)
            return (await node.request("/read/x")).status

    assert_that(run_async(work), Equals(200))


def test_client_disconnect_cancels_the_call_through_both_nodes():
    """A retryable request must end at the target when its client disconnects."""

    async def work():
        async with open_fleet("n1") as (fleet, (node,)):
            first = await fleet.start("n2", "b")
            await wait_for(first.is_reachable_and_ready)
            await wait_for(lambda: first.sidecar.peers.list_connected("a"))
            node.target.script["/read/x"] = "hang"
            client = await open_client(first)
            request_task = asyncio.create_task(
                client.exchange(render_request(b"GET", "/read/x", {}))
            )
            await wait_for(lambda: node.target.running)
            request_task.cancel()
            await wait_for(lambda: node.target.aborted)
            return node.sidecar.gate.queue.running

    assert_that(run_async(work), Equals(0))


def test_unsafe_request_runs_once_when_the_link_breaks():
    """The first node must query the outcome over a new link, not run the call again."""

    async def work():
        async with open_fleet("n1") as (fleet, (node,)):
            node.target.work_seconds = 0.4
            first = await fleet.start("n2", "b")
            await wait_for(first.is_reachable_and_ready)
            await wait_for(lambda: first.sidecar.peers.list_connected("a"))
            request_task = asyncio.create_task(first.request("/write/x", b"POST"))
            await wait_for(lambda: node.target.running)
            first.sidecar.peers.members["n1"].link.close()
            answer = await request_task
            return answer.status, node.target.runs.total()

    assert_that(run_async(work), Equals((200, 1)))


def test_unsafe_request_whose_node_was_killed_is_not_reported_as_refused():
    """The request may have run, so the answer must be 502, without a second run."""

    async def work():
        async with open_fleet("n1") as (fleet, (node,)):
            node.target.work_seconds = 0.4
            first = await fleet.start("n2", "b")
            await wait_for(first.is_reachable_and_ready)
            await wait_for(lambda: first.sidecar.peers.list_connected("a"))
            request_task = asyncio.create_task(first.request("/write/x", b"POST"))
            await wait_for(lambda: node.target.running)
            await node.kill()
            answer = await request_task
            return answer.status, node.target.runs.total()

    assert_that(run_async(work), Equals((502, 1)))


def test_safe_request_is_retried_at_another_target():
    """The failed target's answer must not reach the client."""

    async def work():
        async with open_fleet("n1", "n2") as (_, nodes):
            nodes[0].target.script["/read/x"] = "fail"
            answers = [await nodes[0].request("/read/x") for _ in range(4)]
            return [answer.status for answer in answers]

    assert_that(run_async(work), Equals([200] * 4))


@pytest.mark.parametrize("path", ["/write/x", "/upload/x"])
def test_unsafe_request_is_not_retried_after_a_run(path):
    """The failure must be passed on with its seal; uploads are unsafe too."""

    async def work():
        async with open_fleet("n1", "n2") as (_, nodes):
            for node in nodes:
                node.target.script[path] = "fail"
            answer = await nodes[0].request(path, b"POST")
            runs = sum(node.target.runs.total() for node in nodes)
            return answer.status, answer.find(b"x-response-seal"), runs

    assert_that(run_async(work), Equals((500, b"s", 1)))


def test_time_behind_another_request_counts():
    """A request that waits behind another one has that much less time at its target."""

    async def work():
        async with open_fleet("n1") as (_, nodes):
            node = nodes[0]
            node.target.work_seconds = 0.3
            reader, writer = await asyncio.open_connection(
                node.settings.callers.ip, node.settings.callers.port
            )
            writer.write(render_request(b"GET", "/read/x", {}))
            writer.write(render_request(b"POST", "/write/x", {}))
            for _ in range(2):
                await reader.readuntil(b"done")
            writer.close()
            return [
                int(headers[b"x-deadline-ms"]) for _, headers, _ in node.target.requests
            ]

    first, second = run_async(work)
    assert_that(first, GreaterThan(900))
    assert_that(second, LessThan(710))


def test_no_gate_is_allowed_to_give_up_a_silent_request(monkeypatch):
    """Gates of earlier builds would end it, also around a planned stop."""
    seen = []
    run_call = Gate.run

    async def run_and_note(gate, call, on_silent=None):
        seen.append((call.may_abandon, call.reports_silence))
        return await run_call(gate, call, on_silent)

    monkeypatch.setattr(Gate, "run", run_and_note)

    async def work():
        async with open_fleet("n1", "n2") as (_, nodes):
            await nodes[0].request("/read/x")
            await nodes[0].request("/write/x", b"POST")
            nodes[0].sidecar.is_leaving = True
            await nodes[0].request("/read/x")

    run_async(work)
    assert_that(seen, Equals([(False, True), (False, False), (False, True)]))


def test_leaving_node_serves_accepted_requests_and_then_refuses():
    """No request that the node accepts after SIGTERM may lose its answer."""

    async def work():
        async with open_fleet("n1", "n2") as (_, (node, _)):
            node.target.work_seconds = 0.2
            statuses = []

            async def send_requests():
                while not node.task.done():
                    try:
                        answer = await node.request("/read/x")
                    except UpstreamFailed:
                        statuses.append("cut")
                    except Exception:
                        return
                    else:
                        statuses.append(answer.status)

            senders = [asyncio.create_task(send_requests()) for _ in range(4)]
            await asyncio.sleep(0.2)
            ready_before = await node.is_ready()
            node.stop.set()
            await asyncio.sleep(0.05)
            ready_after = await node.is_ready()
            await node.task
            await asyncio.gather(*senders)
            return ready_before, ready_after, statuses

    before, after, statuses = run_async(work)
    assert_that((before, after), Equals((True, False)))
    assert_that(statuses.count("cut"), Equals(0))
    assert_that(statuses.count(200), GreaterThan(30))


def test_move_to_a_good_version_completes_and_reports_its_status():
    """The status goes from running to complete; then only the new version is used."""

    async def work():
        async with open_fleet("n1") as (fleet, (old,)):
            new = await fleet.start("n2")
            await wait_for(new.is_reachable_and_ready)
            await new.announce(version="v2", born=5000)
            order = {"service": "a", "to": "v2", "duration": "3s"}
            fleet.store.put_json("op", "rollout/a", order)
            await wait_for(lambda: ("status", "rollout/a") in fleet.store.rows)
            first = fleet.store.rows["status", "rollout/a"][0]
            while b"complete" not in fleet.store.rows["status", "rollout/a"][0]:
                await old.request("/read/x")
                await asyncio.sleep(0.01)
            before = old.target.runs.total()
            for _ in range(10):
                await old.request("/read/x")
            return first, old.target.runs.total() - before

    first, later = run_async(work)
    assert_that((b"running" in first, later), Equals((True, 0)))


def test_bad_version_is_rolled_back_within_few_requests():
    """The rollback must not wait for the store, which can't be written meanwhile."""

    async def work():
        async with open_fleet("n1") as (fleet, (old,)):
            new = await fleet.start("n2")
            await wait_for(new.is_reachable_and_ready)
            new.target.script["/read/x"] = "fail"
            await new.announce(version="v2", born=5000)
            order = {"service": "a", "to": "v2", "duration": "8s"}
            fleet.store.put_json("op", "rollout/a", order)
            await wait_for(lambda: old.sidecar.moves.get_share("a"))
            fleet.store.fault = "busy"
            for _ in range(400):
                await old.request("/read/x")
            await asyncio.sleep(0.5)
            exposed = new.target.runs.total()
            fleet.store.fault = "up"
            await wait_for(
                lambda: b"rolled_back" in fleet.store.rows["status", "rollout/a"][0]
            )
            return exposed

    assert_that(run_async(work), LessThan(60))


def test_node_stops_within_its_grace_period_while_the_store_hangs():
    """The node must give up removing its row rather than wait until it is killed."""

    async def work():
        async with open_fleet("n1") as (fleet, (node,)):
            assert_that(await node.send_rpc("instances.leave"), Equals(200))
            fleet.store.fault = "silent"
            node.sidecar.own_row.request_write()
            node.sidecar.announcements.set_state(slots=5)
            await asyncio.sleep(0.1)
            bounds = attrs.evolve(node.settings.bounds, grace=1.5)
            node.sidecar.settings = attrs.evolve(node.settings, bounds=bounds)
            try:
                async with asyncio.timeout(1.5):
                    await node.shut_down()
            except TimeoutError:
                return False
            return True

    assert_that(run_async(work), Equals(True))


def test_request_late_in_a_planned_stop_is_answered_or_refused():
    """A stopping node took requests that its target could not finish in its grace.

    They were passed on and cut without an answer at its end, among them requests that
    may not be repeated.
    """
    grace = 3.6

    async def work():
        async with open_fleet("n1") as (_, (node,)):
            bounds = attrs.evolve(node.settings.bounds, grace=grace)
            node.sidecar.settings = attrs.evolve(node.settings, bounds=bounds)
            node.sidecar.gate.queue.slots = 40
            node.target.work_seconds = 0.9
            endings = []

            async def send(path, method):
                try:
                    answer = await node.request(path, method)
                except UpstreamFailed:
                    endings.append("cut")
                except NotSent:
                    endings.append("refused")
                else:
                    endings.append("refused" if answer.status == 503 else answer.status)

            node.stop.set()
            senders = []
            while not node.task.done():
                senders.append(asyncio.create_task(send("/read/x", b"GET")))
                senders.append(asyncio.create_task(send("/write/x", b"POST")))
                await asyncio.sleep(0.1)
            # The process would end now.
            endings.extend("cut" for sender in senders[:-2] if not sender.done())
            return endings

    endings = run_async(work)
    assert_that(set(endings), Equals({200, "refused"}))
    assert_that(endings.count(200), GreaterThan(3))


@pytest.mark.parametrize(
    ("path", "method", "status"), [("/write/x", b"POST", 502), ("/read/x", b"GET", 200)]
)
def test_refusal_after_a_run_reaches_no_caller(path, method, status):
    """A submission that has run is not said to be free; a read is tried elsewhere."""

    async def work():
        async with open_fleet("n1", "n2") as (_, nodes):
            nodes[0].target.script[path] = "fail-503"
            nodes[1].sidecar.gate.queue.slots = 4
            answers = [await nodes[0].request(path, method) for _ in range(12)]
            failed = [answer for answer in answers if answer.status != 200]
            is_sealed = [bool(answer.find(b"x-response-seal")) for answer in failed]
            return {answer.status for answer in answers}, any(is_sealed)

    statuses, has_sealed_failure = run_async(work)
    assert_that(statuses <= {200, status}, Equals(True))
    assert_that(has_sealed_failure, Equals(False))
