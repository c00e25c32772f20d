"""Builders of configuration documents and inventories."""

import hashlib
import json

from carobsail import configuration, inventory

ACCESS_KEY = "valtellina-counter-1"


def key_hash(key: str) -> str:
    return hashlib.sha256(key.encode()).hexdigest()


def template_document(name="counter", **changes) -> dict:
    body = {
        "kind": "template",
        "name": name,
        "parameters": [
            {
                "name": "due_ms",
                "type": "integer",
                "default": 2000,
                "minimum": 100,
                "maximum": 60000,
                "unit": "ms",
            },
            {"name": "models", "type": "list", "required": True, "minimum": 1},
        ],
        "account": {
            "models": {"$param": "models"},
            "adapters": [],
            "operations": [
                {"path": "/v1/completions", "due_ms": {"$param": "due_ms"}},
                {
                    "path": "/bookings/*",
                    "service": "bookings",
                    "idempotent": False,
                    "key_required": True,
                },
            ],
        },
    }
    return {**body, **changes}


def account_document(name="valtellina", **changes) -> dict:
    body = {
        "kind": "account",
        "name": name,
        "template": "counter",
        "parameters": {"models": ["scrivano-1"]},
        "key_hashes": [key_hash(f"{name}-counter-1")],
    }
    return {**body, **changes}


def encode_documents(*plain: dict) -> dict[str, bytes]:
    prefixes = {
        "template": configuration.TEMPLATES_PREFIX,
        "account": configuration.ACCOUNTS_PREFIX,
    }
    return {
        prefixes[item["kind"]] + item["name"]: json.dumps(item).encode()
        for item in plain
    }


def configuration_set(
    *plain: dict, revision=5
) -> configuration.ConfigurationSet:
    result = configuration.ConfigurationSet().with_documents(
        revision, encode_documents(*plain)
    )
    assert isinstance(result, configuration.ConfigurationSet)
    return result


def platform_inventory(
    data_centres=("sondrio-a", "lecco-a"),
) -> inventory.Inventory:
    return inventory.Inventory(
        version=1,
        regions=dict.fromkeys(data_centres, "sondrio"),
        instances=[],
        targets=[
            inventory.Target(
                "booking-1",
                inventory.Kind.SERVICE,
                data_centres[0],
                "127.0.0.1:1",
                "bookings",
            )
        ],
        models=[inventory.Model("scrivano-1", "scrivano", 1000)],
        adapters=[inventory.Adapter("clerk", "scrivano-1", 10)],
        weight_store=inventory.WeightStore("sondrio"),
    )
