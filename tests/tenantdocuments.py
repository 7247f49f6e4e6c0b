"""Configuration documents with tenants, for tests."""

from standins.meshfleet import make_document

__all__ = ["KEYS", "make_tenant_document"]

KEYS = {"acme": "key-of-acme-7f3a", "bolt": "key-of-bolt-91c2"}
"""Default tenants and their keys."""
PRIORITIES = {"acme": 0, "bolt": 2}


def make_tenant_document(version, keys=None, public=("/open/",), routes=None):
    """Return a document; `keys` maps tenants to lists of keys, `public` lists routes.

    By default, each tenant of `KEYS` has its key. The routes have priority 1.
    """
    if keys is None:
        keys = {name: [key] for name, key in KEYS.items()}
    routes = routes or {"/read/": {"priority": 1}, "/open/": {"priority": 1}}
    document = make_document(version, routes, ["a"])
    for rule in document["listeners"][0]["rules"]:
        if rule["match"]["prefix"] in public:
            rule["public"] = True
    document["tenants"] = [
        {"name": name, "api_keys": found, "priority": PRIORITIES.get(name, 1)}
        for name, found in keys.items()
    ]
    return document
