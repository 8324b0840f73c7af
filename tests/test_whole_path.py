"""Tests of the chat interface end to end, with the `openai` client."""

import unittest

import openai

from tests import processes


class WholePathTest(unittest.TestCase):
    """Guards against responses that the `openai` client cannot handle."""

    @classmethod
    def setUpClass(cls):
        cls.running = processes.Processes()
        cls.addClassCleanup(cls.running.stop)
        _, store = cls.running.start_stand_in("store")
        _, engine = cls.running.start_stand_in(
            "engine", "engine.versions=small-1,large-1"
        )
        processes.put_branch(
            store, "platform", processes.build_platform({"a": engine})
        )
        processes.put_branch(store, "maps", processes.build_team())
        _, cls.url = cls.running.start_entry("entry-1", store)
        cls.client = openai.OpenAI(
            base_url=f"{cls.url}/v1",
            api_key=processes.API_KEY,
            max_retries=0,
        )

    def _complete(self, model="atlas", **options):
        return self.client.chat.completions.create(
            model=model,
            messages=[{"role": "user", "content": "Name the river."}],
            max_tokens=5,
            **options,
        )

    def test_plain_answer_is_whole(self):
        answer = self._complete()
        self.assertEqual(answer.model, "small-1")
        self.assertEqual(len(answer.choices[0].message.content.split()), 5)
        self.assertEqual(answer.usage.completion_tokens, 5)

    def test_streamed_answer_ends_with_usage(self):
        chunks = list(self._complete(stream=True))
        text = "".join(
            chunk.choices[0].delta.content or ""
            for chunk in chunks
            if chunk.choices
        )
        self.assertEqual(len(text.split()), 5)
        self.assertEqual(chunks[-1].usage.completion_tokens, 5)

    def test_lists_only_allowed_models(self):
        names = {model.id for model in self.client.models.list()}
        self.assertEqual(names, {"atlas", "small-1"})

    def test_refuses_a_version_outside_the_workspace(self):
        with self.assertRaises(openai.PermissionDeniedError) as caught:
            self._complete("large-1")
        self.assertEqual(caught.exception.body["run"], "no")

    def test_bad_input_gets_a_typed_refusal(self):
        cases = [
            ("POST", "/v1/chat/completions", b"{", 400),
            ("POST", "/v1/chat/completions", b'{"model": "atlas"}', 400),
            ("GET", "/v1/chat/completions", None, 405),
            ("GET", "/v1/nothing", None, 404),
        ]
        headers = {"Authorization": f"Bearer {processes.API_KEY}"}
        for method, path, body, status in cases:
            with self.subTest(method=method, path=path, body=body):
                answer = processes.HTTP.request(
                    method, self.url + path, body=body, headers=headers
                )
                self.assertEqual(answer.status, status)
                self.assertEqual(answer.json()["error"]["run"], "no")

    def test_unknown_key_is_refused(self):
        answer = processes.HTTP.request(
            "POST",
            f"{self.url}/v1/chat/completions",
            json={"model": "atlas", "messages": [{"role": "user"}]},
            headers={"Authorization": "Bearer other"},
        )
        self.assertEqual(answer.status, 401)
