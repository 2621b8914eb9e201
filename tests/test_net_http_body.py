"""The body of an answer as it is cut out of the bytes behind its head."""

import unittest
from itertools import pairwise

import h11
from hypothesis import given
from hypothesis import strategies as st

from fescuedock.net.http_body import BodyReader, body_reader

_PARTS = st.lists(st.binary(min_size=1, max_size=40), max_size=6)
_CUTS = st.lists(st.integers(0, 400), max_size=12)


def feed_cut(reader: BodyReader, data: bytes, cuts: list[int]) -> bytes:
    """Feed ``data`` in the pieces that ``cuts`` make of it; return what came of the body."""
    places = sorted({min(cut, len(data)) for cut in cuts} | {0, len(data)})
    pieces = [data[first:last] for first, last in pairwise(places)]
    return b"".join(reader.feed(piece) for piece in pieces)


def in_chunks(parts: list[bytes], trailers: bytes = b"") -> bytes:
    lines = b"".join(b"%X;x=1\r\n%b\r\n" % (len(part), part) for part in parts)
    return lines + b"0\r\n" + trailers + b"\r\n"


def as_h11_reads(data: bytes) -> bytes | None:
    """Return the body that h11 reads out of an answer in chunks; None for an error."""
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
    @given(_PARTS, _CUTS, st.binary(max_size=20), st.booleans())
    def test_any_cuts_give_the_same_body_and_rest(
        self, parts: list[bytes], cuts: list[int], rest: bytes, trailers: bool
    ) -> None:
        reader = BodyReader(None)
        data = in_chunks(parts, b"x-sum: 1\r\ny: 2\r\n" if trailers else b"") + rest
        self.assertEqual(feed_cut(reader, data, cuts), b"".join(parts))
        self.assertTrue(reader.ended)
        self.assertEqual(reader.rest, rest)

    @given(st.lists(st.sampled_from([b"3\r\nabc\r\n", b"0\r\n\r\n", b"g", b"\r\n", b"a", b"2"])))
    def test_what_h11_refuses_is_refused(self, pieces: list[bytes]) -> None:
        data = b"".join(pieces)
        reader = BodyReader(None)
        try:
            body: bytes | None = reader.feed(data)
        except h11.RemoteProtocolError:
            body = None
        self.assertEqual(body, as_h11_reads(data))

    def test_a_connection_that_ends_before_the_last_chunk_is_an_error(self) -> None:
        reader = BodyReader(None)
        self.assertEqual(reader.feed(b"3\r\nabc\r\n0\r\n"), b"abc")
        with self.assertRaises(h11.RemoteProtocolError):
            reader.close()

    def test_a_line_without_end_is_not_kept_for_ever(self) -> None:
        reader = BodyReader(None)
        with self.assertRaises(h11.RemoteProtocolError):
            for _ in range(100):
                reader.feed(b"0" * 100)


class LengthTest(unittest.TestCase):
    @given(st.binary(max_size=50), _CUTS, st.binary(max_size=10))
    def test_any_cuts_give_the_same_body_and_rest(
        self, body: bytes, cuts: list[int], rest: bytes
    ) -> None:
        reader = BodyReader(len(body))
        self.assertEqual(feed_cut(reader, body + rest, cuts), body)
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

    def test_an_answer_that_may_have_no_body_has_ended(self) -> None:
        fields = [("content-length", "5")]
        for method, status in (("HEAD", 200), ("GET", 204), ("GET", 304)):
            response = h11.Response(status_code=status, headers=fields)
            self.assertTrue(body_reader(method, response).ended)


if __name__ == "__main__":
    unittest.main()
