"""Bad clients: connections that send the same unreadable command at full speed, COMMANDS at once, and again as soon
as those are turned away; they read what they get. Usage: badclients.py HOST PORT CONNECTIONS SECONDS"""
import selectors
import socket
import struct
import sys
import time

COMMANDS = 16
READY = b"Z\0\0\0\x05I"
host, port, connections, seconds = sys.argv[1], int(sys.argv[2]), int(sys.argv[3]), float(sys.argv[4])
# A literal without an end: an odd number of quotes, 8 KB (a value may have 64 KiB).
text = b"/* id=bad,c=balance-view,d=500,cluster=1 */ SELECT blob FROM rows WHERE handle = " + b"'" * 8001 + b"\0"
batch = (b"Q" + struct.pack(">i", len(text) + 4) + text) * COMMANDS
startup = struct.pack(">i", 3 << 16) + b"user\0api\0database\0ledger\0\0"

selector, turned_away = selectors.DefaultSelector(), 0
for _ in range(connections):
    client = socket.create_connection((host, port), 3)
    client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    client.sendall(struct.pack(">i", len(startup) + 4) + startup)
    seen = b""
    while not seen.endswith(READY):
        seen += client.recv(4096)
    client.setblocking(False)
    # What is still to be sent, and how many answers the commands sent so far still get.
    selector.register(client, selectors.EVENT_READ | selectors.EVENT_WRITE, [batch, COMMANDS])
print("connected", flush=True)
until = time.monotonic() + seconds
while time.monotonic() < until and selector.get_map():
    for key, events in selector.select(0.1):
        client, state = key.fileobj, key.data
        try:
            if events & selectors.EVENT_READ:
                data = client.recv(65536)
                if not data:
                    raise ConnectionError
                answers = data.count(READY)
                turned_away += answers
                state[1] -= answers
                if state[1] <= COMMANDS and len(state[0]) < len(batch):
                    state[0] += batch
                    state[1] += COMMANDS
            if state[0]:
                state[0] = state[0][client.send(state[0]):]
        except BlockingIOError:
            pass
        except OSError:
            selector.unregister(client)
            continue
        wanted = selectors.EVENT_READ | (selectors.EVENT_WRITE if state[0] else 0)
        if wanted != key.events:
            selector.modify(client, wanted, state)
print("turned away", turned_away, flush=True)
