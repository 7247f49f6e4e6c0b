"""The operator's configuration of a small deployment."""

__all__ = ["HOST", "make_document"]

HOST = "shop.example"


def make_document(version, rules, services, **limits):
    """Return a configuration document.

    `rules` are tuples of prefix, kind, service and time-out.
    """
    return {
        "version": version,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 67108864,
            "header_timeout": "3000ms",
            "idle_timeout": "15000ms",
            **limits,
        },
        "listeners": [
            {
                "host": HOST,
                "rules": [
                    {
                        "name": f"r-{prefix.strip('/')}",
                        "kind": kind,
                        "target_latency": "400ms",
                        "priority": 1,
                        "match": {"prefix": prefix},
                        "action": {
                            "service": service,
                            "timeout": timeout,
                            "attempts": 2,
                        },
                    }
                    for prefix, kind, service, timeout in rules
                ],
            }
        ],
        "clusters": [
            {
                "name": service,
                "health_path": "/healthz",
                "max_conns": 110,
                "protocol": "h1",
                "tls": False,
                "cold_start": "3s",
                "cold_per_s": 12.0,
            }
            for service in services
        ],
    }
