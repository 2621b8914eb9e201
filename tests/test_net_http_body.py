"""Tests the extraction of an answer's body from the bytes after its head."""

import unittest
from itertools import pairwise

import h11
from hypothesis import given
from hypothesis import strategies as st

from fescuedock.net.http_body import BodyReader, body_reader

_PARTS = st.lists(st.binary(min_size=1, max_size=40), max_size=6)
_POSITIONS = st.lists(st.integers(0, 400), max_size=12)


def feed_split(reader: BodyReader, data: bytes, positions: list[int]) -> bytes:
    """Feed ``data`` split at ``positions``; return the body bytes."""
    boundaries = sorted({min(cut, len(data)) for cut in positions} | {0, len(data)})
    chunks = [data[first:last] for first, last in pairwise(boundaries)]
    return b"".join(reader.feed(piece) for piece in chunks)


def encode_chunked(parts: list[bytes], trailers: bytes = b"") -> bytes:
    lines = b"".join(b"%X;x=1\r\n%b\r\n" % (len(part), part) for part in parts)
    return lines + b"0\r\n" + trailers + b"\r\n"


def h11_body(data: bytes) -> bytes | None:
    """Return the body that h11 reads from a chunked answer; None for an error."""
    connection = h11.Connection(h11.CLIENT)
    connection.send(h11.Request(method="GET", target="/", headers=[("host", "x")]))
    connection.send(h11.EndOfMessage())
    connection.receive_data(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n" + data)
    parts: list[bytes] = []
    while True:
        try:
            event = connection.next_event()
        except h11.RemoteProtocolError:
            return None
        if isinstance(event, h11.Data):
            parts.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage) or event is h11.NEED_DATA:
            return b"".join(parts)


class ChunksTest(unittest.TestCase):
    @given(_PARTS, _POSITIONS, st.binary(max_size=20), st.booleans())
    def test_any_split_gives_the_same_body_and_rest(
        self, parts: list[bytes], positions: list[int], rest: bytes, trailers: bool
    ) -> None:
        reader = BodyReader(None)
        data = encode_chunked(parts, b"x-sum: 1\r\ny: 2\r\n" if trailers else b"") + rest
        self.assertEqual(feed_split(reader, data, positions), b"".join(parts))
        self.assertTrue(reader.ended)
        self.assertEqual(reader.rest, rest)

    @given(st.lists(st.sampled_from([b"3\r\nabc\r\n", b"0\r\n\r\n", b"g", b"\r\n", b"a", b"2"])))
    def test_malformed_chunks_are_refused_as_by_h11(self, chunks: list[bytes]) -> None:
        data = b"".join(chunks)
        reader = BodyReader(None)
        try:
            body: bytes | None = reader.feed(data)
        except h11.RemoteProtocolError:
            body = None
        self.assertEqual(body, h11_body(data))

    def test_a_connection_that_ends_before_the_last_chunk_is_an_error(self) -> None:
        reader = BodyReader(None)
        self.assertEqual(reader.feed(b"3\r\nabc\r\n0\r\n"), b"abc")
        with self.assertRaises(h11.RemoteProtocolError):
            reader.close()

    def test_a_line_without_end_is_refused_at_a_limit(self) -> None:
        reader = BodyReader(None)
        with self.assertRaises(h11.RemoteProtocolError):
            for _ in range(100):
                reader.feed(b"0" * 100)


class LengthTest(unittest.TestCase):
    @given(st.binary(max_size=50), _POSITIONS, st.binary(max_size=10))
    def test_any_split_gives_the_same_body_and_rest(
        self, body: bytes, positions: list[int], rest: bytes
    ) -> None:
        reader = BodyReader(len(body))
        self.assertEqual(feed_split(reader, body + rest, positions), body)
        self.assertTrue(reader.ended)
        self.assertEqual(reader.rest, rest)

    def test_a_shorter_body_is_an_error(self) -> None:
        reader = BodyReader(5)
        reader.feed(b"abcd")
        with self.assertRaises(h11.RemoteProtocolError):
            reader.close()

    def test_a_body_without_length_ends_with_its_connection(self) -> None:
        reader = body_reader("GET", h11.Response(status_code=200, headers=[]))
        self.assertEqual(reader.feed(b"abc"), b"abc")
        self.assertFalse(reader.ended)
        reader.close()
        self.assertTrue(reader.ended)

    def test_an_answer_without_a_body_has_ended(self) -> None:
        fields = [("content-length", "5")]
        for method, status in (("HEAD", 200), ("GET", 204), ("GET", 304)):
            response = h11.Response(status_code=status, headers=fields)
            self.assertTrue(body_reader(method, response).ended)


if __name__ == "__main__":
    unittest.main()
