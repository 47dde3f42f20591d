"""Reserved ports: nobody else gets them, and their process can listen."""

import asyncio
import socket

from demo import ports

DRAWS = 400


def test_reserved_ports_are_given_to_nobody_else():
    reserved = ports.ReservedPorts()
    addresses = {reserved.new_address() for _ in range(DRAWS)}
    assert len(addresses) == DRAWS
    listener = socket.create_server((ports.HOST, 0))
    others = []
    for _ in range(DRAWS):
        bound = socket.socket()
        bound.bind((ports.HOST, 0))
        connected = socket.create_connection(listener.getsockname())
        accepted, _ = listener.accept()
        others += [bound, connected, accepted]
        for other in (bound, connected):
            assert f"{ports.HOST}:{other.getsockname()[1]}" not in addresses
    for other in [listener, *others]:
        other.close()
    reserved.release()


def test_process_listens_on_its_reserved_port_again_and_again():
    reserved = ports.ReservedPorts()
    host, _, port = reserved.new_address().rpartition(":")

    async def listen():
        loop = asyncio.get_running_loop()
        server = await loop.create_server(asyncio.Protocol, host, int(port))
        client = await asyncio.open_connection(host, int(port))
        client[1].close()
        server.close()

    for _ in range(3):
        asyncio.run(listen())
    reserved.release()
