"""Files and batches as the public ``openai`` client sees them."""

import tempfile
import unittest
from pathlib import Path

from openai import APIStatusError

from tests.builders.jobs import ENDPOINT, JobSite, input_file, input_line, open_job_site
from tests.builders.store import run


class EntryJobsTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.root = Path(folder.name)

    def test_file_is_kept_and_given_back(self) -> None:
        async def test() -> None:
            async with open_job_site(self.root) as site:
                client = site.entry.client()
                content = input_file(3000)
                file = await client.files.create(file=("in.jsonl", content), purpose="batch")
                self.assertEqual((file.bytes, file.status), (len(content), "processed"))
                back = await client.files.content(file.id)
                self.assertEqual(back.content, content)
                self.assertEqual((await client.files.retrieve(file.id)).filename, "in.jsonl")
                self.assertEqual([item.id async for item in client.files.list()], [file.id])
                await client.files.delete(file.id)
                with self.assertRaises(APIStatusError) as caught:
                    await client.files.retrieve(file.id)
                self.assertEqual(caught.exception.status_code, 404)

        run(test)

    def test_batch_is_accepted_listed_and_cancelled(self) -> None:
        async def test() -> None:
            async with open_job_site(self.root) as site:
                client = site.entry.client()
                file = await client.files.create(file=("in.jsonl", input_file(10)), purpose="batch")
                batch = await client.batches.create(
                    input_file_id=file.id,
                    endpoint=ENDPOINT,
                    completion_window="24h",
                    metadata={"night": "1"},
                )
                self.assertEqual(batch.status, "in_progress")
                self.assertEqual(batch.request_counts.total, 10)
                self.assertEqual((await client.batches.retrieve(batch.id)).metadata, {"night": "1"})
                self.assertEqual([item.id async for item in client.batches.list()], [batch.id])
                self.assertEqual((await client.batches.cancel(batch.id)).status, "cancelling")
                self.assertEqual((await client.batches.cancel(batch.id)).status, "cancelling")

        run(test)


if __name__ == "__main__":
    unittest.main()
