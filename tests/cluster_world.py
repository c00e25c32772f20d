"""State that the steps of test_promises_feature.py share."""

import json

import cluster
import cluster_targets

from carobsail import acceptance, httpserver


class World:
    """An event loop with a cluster, kept between the steps of a scenario."""

    def __init__(self):
        self.runner = cluster.new_runner()
        self.named, self.keys = {}, {}

    def call(self, name):
        return self.cluster.calls[-1] if name == "last" else self.named[name]

    def run(self, function, *args, **options):
        """Runs a plain function or coroutine function on the loop."""

        async def inside():
            result = function(*args, **options)
            return await result if hasattr(result, "__await__") else result

        return self.runner.run(inside())

    def model_call(self, name, model, instance, stream):
        body = {"id": name, "model": model, "stream": stream}
        self.named[name] = self.run(self.cluster.call, instance, body)

    def runs(self, name):
        """Returns how often the request with a name reached a target."""
        return self.cluster.executions[self.named[name].body]

    def target_of(self, name):
        """Returns the target that runs a request."""
        body = self.named[name].body
        for fake in self.cluster.targets.values():
            if body in fake.streams.values():
                return fake
        raise AssertionError(f"{name} runs nowhere")

    def in_force(self, name):
        entry = self.cluster.entries[name]
        policy = entry.current.policies["v"]
        return [o.due_ms for o in policy.operations] == [self.due_ms] * 2

    def accepted(self, timeout_s):
        """Tells whether all data centres confirm the change in time."""
        result = self.run(
            acceptance.wait_until_accepted,
            self.cluster.service,
            self.revision,
            self.cluster.centres,
            timeout_s,
        )
        return result.status == 0

    async def issue_key(self, instance):
        """Returns an idempotency key that an instance issues."""
        call = cluster_targets.CallerConnection(instance, b"", "")
        auth = [("authorization", "Bearer v-counter-1")]
        request = httpserver.Request(
            "POST", "/v1/idempotency-keys", "", auth, b"", "caller"
        )
        await self.cluster.entries[instance].gateway.handle(request, call)
        return json.loads(call.response_body)["idempotency_key"]
