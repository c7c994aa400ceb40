"""Fixtures that several test files use."""

import pytest


@pytest.fixture
def world(monkeypatch):
    """One router on a simulated network of TCP connections; see `connections_world`."""
    from connections_world import World

    from linkhaven.wire import listener, tcp_connection

    monkeypatch.setattr(tcp_connection, "socket", tcp_connection.socket)
    monkeypatch.setattr(listener, "socket", listener.socket)
    world = World()
    world.settle()
    yield world
    world.close()
