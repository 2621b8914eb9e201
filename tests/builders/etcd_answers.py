"""Answers recorded from an etcd 3.4.23, which the stand-in's need not equal byte for byte."""

from fescuedock.net.http_server import Handler, Request, Responder

__all__ = ["ANSWERS", "WATCH_LINES", "answer_as_recorded"]

_HEADER = (
    b'"header":{"cluster_id":"324952591200643719","member_id":"3319814642761637952",'
    b'"revision":"15","raft_term":"2"}'
)
# By path.
ANSWERS: dict[str, tuple[int, bytes]] = {
    "/v3/kv/range": (
        200,
        b"{" + _HEADER + b',"kvs":[{"key":"YQ==","create_revision":"2","mod_revision":"3",'
        b'"version":"2","value":"MgD/"}],"count":"1"}',
    ),
    "/v3/kv/txn": (
        200,
        b"{" + _HEADER + b',"succeeded":true,"responses":[{"response_put":{"header":'
        b'{"revision":"15"}}}]}',
    ),
    "/v3/lease/grant": (200, b"{" + _HEADER + b',"ID":"2324035767142774822","TTL":"9"}'),
    # A lease that is not there has no TTL.
    "/v3/lease/keepalive": (200, b'{"result":{' + _HEADER + b',"ID":"99"}}'),
    "/v3/lease/revoke": (
        404,
        b'{"error":"etcdserver: requested lease not found",'
        b'"message":"etcdserver: requested lease not found","code":5}',
    ),
}
WATCH_LINES = (
    b'{"result":{' + _HEADER + b',"created":true}}\n',
    b'{"result":{' + _HEADER + b',"events":[{"kv":{"key":"enpm","create_revision":"15",'
    b'"mod_revision":"15","version":"1","value":"MQ=="}}]}}\n',
    # Progress.
    b'{"result":{' + _HEADER + b"}}\n",
    b'{"result":{' + _HEADER + b',"events":[{"type":"DELETE","kv":{"key":"enpm",'
    b'"mod_revision":"16"}}]}}\n',
    b'{"result":{"header":{"cluster_id":"324952591200643719",'
    b'"member_id":"3319814642761637952","raft_term":"2"},"canceled":true,'
    b'"compact_revision":"3"}}\n',
)


def answer_as_recorded(seen: list[tuple[str, bytes]]) -> Handler:
    """Return a handler that gives the recorded answers and notes what it was asked."""

    async def handle(request: Request, responder: Responder) -> None:
        seen.append((request.path, await request.read(1_000_000)))
        if request.path == "/v3/watch":
            async with responder.stream(200, []) as stream:
                for line in WATCH_LINES:
                    await stream.write(line)
            return
        status, body = ANSWERS[request.path]
        await responder.send(status, body)

    return handle
