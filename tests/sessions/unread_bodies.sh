# Requests that are refused before their body was read, on a persistent connection. What is left of
# the body must not be taken for the caller's next request.
. "$(dirname "$0")/common.sh.inc"
session_start
python3 - "$key_reef" <<'P'
import re, socket, sys

key = sys.argv[1]
hidden = b"GET /v1/models HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + key.encode() + b"\r\n\r\n"

def head(path, fields, has_key):
    text = "POST %s HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n" % path
    if has_key:
        text += "Authorization: Bearer %s\r\n" % key
    return (text + fields + "\r\n").encode()

def with_length(path, has_key):
    return head(path, "Content-Length: %d\r\n" % len(hidden), has_key) + hidden

def chunked(path, has_key):
    return head(path, "Transfer-Encoding: chunked\r\n", has_key) + b"%x\r\n" % len(hidden) + hidden + b"\r\n0\r\n\r\n"

def too_long(path, has_key):
    return head(path, "Content-Length: 100000000\r\n", has_key) + hidden

def statuses_of(request):
    """Returns the statuses of all answers until the connection is closed or falls silent."""
    connection = socket.create_connection(("127.0.0.11", 8080), timeout=5)
    connection.sendall(request)
    connection.settimeout(1)
    received = b""
    closed = False
    try:
        while True:
            piece = connection.recv(65536)
            closed = piece == b""
            if closed:
                break
            received += piece
    except socket.timeout:
        pass
    except ConnectionResetError:
        closed = True
    return re.findall(rb"HTTP/1.1 (\d+)", received), closed

for label, request in [
        ("no key", with_length("/ledger/loans", False)),
        ("no key, chunked", chunked("/ledger/loans", False)),
        ("no route", with_length("/nowhere", True)),
        ("no route, chunked", chunked("/nowhere", True)),
        ("no route, other encoding", head("/nowhere", "Transfer-Encoding: gzip, chunked\r\n", True) + hidden),
        ("a list of models", with_length("/v1/models", True)),
        ("discovery", with_length("/v1/entry?path=/ledger", True)),
        ("too long", too_long("/v1/chat/completions", True)),
        ("too long, no key", too_long("/ledger/loans", False))]:
    statuses, closed = statuses_of(request)
    print("%s: %s%s" % (label, b" ".join(statuses).decode(), ", closed" if closed else ""))
# The trailer fields of a body that was read are a part of the request, too.
request = head("/v1/chat/completions", "Transfer-Encoding: chunked\r\n", True) + b"2\r\n{}\r\n0\r\n" + hidden
statuses, closed = statuses_of(request)
print("read, request in the trailer: %s%s" % (b" ".join(statuses).decode(), ", closed" if closed else ""))
# A request whose body was read leaves the connection open.
request = head("/v1/chat/completions", "Content-Length: 2\r\n", True) + b"{}"
print("read, refused twice: %s" % b" ".join(statuses_of(request + request)[0]).decode())
P
