"""Tests the engine stand-in's interface with the published client."""

import openai
import pytest

from carobsail.standin_generation import answer_text
from tests import builders_io as build


@pytest.mark.parametrize("stream", [True, False])
async def test_openai_client_reads_the_answer(stream):
    """R20: a stand-in that only our own client understands proves nothing."""
    standin, _ = await build.start_engine(decode_tokens_per_s=1e6)
    client = openai.AsyncOpenAI(
        base_url=f"http://{standin.address}/v1", api_key="-", max_retries=0
    )
    answer = await client.chat.completions.create(
        model="base",
        messages=[{"role": "user", "content": "hello"}],
        max_tokens=8,
        stream=stream,
    )
    text = ""
    if stream:
        async for chunk in answer:
            text += "".join(c.delta.content for c in chunk.choices)
    else:
        text = answer.choices[0].message.content
        assert answer.usage.completion_tokens == 8
    (body,) = standin.bodies
    assert text == answer_text(body, 8)
    assert [model.id async for model in client.models.list()] == ["base"]
    await client.close()
    await standin.stop()
