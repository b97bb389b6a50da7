"""The listening socket for callers and the connections accepted from it."""

import asyncio
import contextlib
import socket
import ssl
from collections.abc import Callable

from figshunt.runtime._caller_connection import CallerConnection

# The event loop passes unsent bytes to grown send buffers within this time.
FLUSH_S = 0.05

# Connections accepted in one turn of the event loop; each takes a descriptor before it
# is counted, and those that are closed for it free theirs in the next turn.
ACCEPTED_PER_TURN = 16

# When there are too many, this part of them is closed together, as choosing takes time
# in proportion to all of them.
CLOSE_DIVISOR = 16

# A caller completes its TLS handshake within this time.
HANDSHAKE_TIMEOUT_S = 5.0

# TLS handshakes in progress take at most this part of the connections, so that callers
# that never complete one leave room for others.
HANDSHAKE_DIVISOR = 4


class CallerServer:
    """Accepts caller connections, and stops without losing whole requests.

    ``discarded_requests`` is the number of whole requests on ended connections that
    were received behind a close; none of them was processed.

    :param build_connection: returns the protocol of one connection.
    :param report_discarded: is told how many such requests a connection had.
    :param max_connections: returns how many may be open; beyond that, those are closed
        that carry no whole request, in their ``close_order``.
    """

    def __init__(
        self,
        build_connection: Callable[[], CallerConnection],
        tls_context: ssl.SSLContext | None = None,
        report_discarded: Callable[[int], None] | None = None,
        max_connections: Callable[[], int] | None = None,
    ) -> None:
        self._max_connections = max_connections
        self.discarded_requests = 0
        self._build_connection = build_connection
        self._report_discarded = report_discarded
        self._tls_context = tls_context
        self._socket: socket.socket | None = None
        self._server: asyncio.Server | None = None
        self._opening_tasks: set[asyncio.Task[None]] = set()
        self._connections: set[CallerConnection] = set()
        # In the order in which they began.
        self._handshakes: dict[CallerConnection, asyncio.Task[None]] = {}
        self._all_closed = asyncio.Event()
        self._all_closed.set()

    @property
    def port(self) -> int:
        """Return the bound port."""
        assert self._socket is not None
        port: int = self._socket.getsockname()[1]
        return port

    @property
    def open_connections(self) -> int:
        """Return the number of connections that haven't ended."""
        return len(self._connections)

    @property
    def unsent_bytes(self) -> int:
        """Return the bytes of responses that the system hasn't taken yet."""
        return sum(connection.unsent_bytes for connection in self._connections)

    async def start(self, host: str, port: int, backlog: int) -> None:
        """Bind the address and accept connections.

        :param host: an IP address.
        :raises OSError: if the address can't be bound.
        """
        loop = asyncio.get_running_loop()
        # The event loop's own lookup would start a thread.
        (family, kind, protocol, _, address), *_ = socket.getaddrinfo(
            host, port, type=socket.SOCK_STREAM, flags=socket.AI_NUMERICHOST
        )
        self._socket = socket.socket(family, kind, protocol)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.setblocking(False)
        self._socket.bind(address)
        self._server = await loop.create_server(
            self._open_connection,
            sock=self._socket,
            backlog=min(backlog, ACCEPTED_PER_TURN),
            ssl=self._tls_context,
            ssl_handshake_timeout=self._handshake_timeout_s,
        )
        # The event loop takes its argument for both.
        self._socket.listen(backlog)

    async def stop_accepting(self) -> None:
        """Stop listening; connections in the queue of the socket are still served."""
        if self._server is None or self._socket is None:
            return
        loop = asyncio.get_running_loop()
        # The event loop hands accepted connections to the server in its next turn, and
        # the server takes none once it is closed.
        loop.remove_reader(self._socket)
        await asyncio.sleep(0)
        queued = []
        while True:
            try:
                queued.append(self._socket.accept()[0])
            except OSError:
                break
        self._server.close()
        self._server = None
        for connection_socket in queued:
            connection_socket.setblocking(False)
            task = loop.create_task(self._open_queued(connection_socket))
            self._opening_tasks.add(task)
            task.add_done_callback(self._opening_tasks.discard)
        # The tasks add their connections in the next turn.
        await asyncio.sleep(0)

    def close_idle_connections(self, idle_timeout_s: float | None = None) -> None:
        """Close each connection as soon as it carries no request.

        :param idle_timeout_s: replaces the time without received bytes after which
            a connection that waits for the rest of a request is closed.
        """
        for connection in tuple(self._connections):
            if idle_timeout_s is not None:
                connection.set_idle_timeout(idle_timeout_s)
            connection.close_when_idle()

    async def wait_closed(self) -> None:
        """Wait until all connections have ended."""
        await self._all_closed.wait()

    async def close(self) -> None:
        """Stop listening and end all connections; the system sends what is unsent."""
        if self._server is not None:
            self._server.close()
            self._server = None
        if self.unsent_bytes:
            for connection in self._connections:
                connection.grow_send_buffer()
            await asyncio.sleep(FLUSH_S)
        for connection in tuple(self._connections):
            connection.abort()
            if not connection.is_made:
                self._forget(connection)
        await self._all_closed.wait()

    @property
    def _handshake_timeout_s(self) -> float | None:
        return HANDSHAKE_TIMEOUT_S if self._tls_context is not None else None

    async def _open_queued(self, connection_socket: socket.socket) -> None:
        # Without a connection there is no request that could be lost.
        with contextlib.suppress(OSError):
            await asyncio.get_running_loop().connect_accepted_socket(
                self._open_connection,
                connection_socket,
                ssl=self._tls_context,
                ssl_handshake_timeout=self._handshake_timeout_s,
            )

    def _open_connection(self) -> CallerConnection:
        connection = self._build_connection()
        if self._max_connections is not None:
            max_connections = self._max_connections()
            self._limit_handshakes(max_connections // HANDSHAKE_DIVISOR)
            self._make_room(connection, max_connections)
        self._connections.add(connection)
        self._all_closed.clear()
        connection.on_close(lambda: self._end(connection))
        if self._tls_context is not None:
            # The event loop doesn't tell the protocol that its handshake failed. The
            # task that accepts the connection ends with the handshake.
            task = asyncio.current_task()
            assert task is not None
            self._handshakes[connection] = task
            task.add_done_callback(lambda _: self._end_handshake(connection))
        return connection

    def _limit_handshakes(self, max_handshakes: int) -> None:
        """End the oldest handshakes, so that there is room for a new one."""
        while self._handshakes and len(self._handshakes) >= max_handshakes:
            connection, task = next(iter(self._handshakes.items()))
            if not connection.is_made:
                connection.refuse_connection()
                task.cancel()
            self._end_handshake(connection)

    def _make_room(self, connection: CallerConnection, max_connections: int) -> None:
        """Close connections beyond the limit, or else the new one."""
        excess = len(self._connections) + 1 - max_connections
        if excess <= 0:
            return
        closable = [entry for entry in self._connections if entry.is_closable]
        closable.sort(key=lambda entry: entry.close_order)
        if not closable:
            connection.refuse_connection()
        for entry in closable[: max(excess, max_connections // CLOSE_DIVISOR)]:
            entry.refuse_connection()

    def _end(self, connection: CallerConnection) -> None:
        if connection.discarded_requests:
            self.discarded_requests += connection.discarded_requests
            if self._report_discarded is not None:
                self._report_discarded(connection.discarded_requests)
        self._forget(connection)

    def _end_handshake(self, connection: CallerConnection) -> None:
        self._handshakes.pop(connection, None)
        if not connection.is_made:
            self._forget(connection)

    def _forget(self, connection: CallerConnection) -> None:
        self._connections.discard(connection)
        if not self._connections:
            self._all_closed.set()
