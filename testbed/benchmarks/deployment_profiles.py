"""The sizes of the deployments used in benchmarks, and a summary of measured values."""

import statistics

__all__ = ["PROFILES", "spread"]

PROFILES = {
    "periplous": {
        "gateways": 8,
        "storage_nodes": 4,
        "controllers": 4,
        "engines": 6,
        "cards": 4,
        "live": 6,
        "fetch": 27,
    },
    "maizes": {"gateways": 7, "storage_nodes": 4, "controllers": 4, "engines": 9, "cards": 4, "live": 8, "fetch": 25},
    "small": {"gateways": 4, "storage_nodes": 4, "controllers": 4, "engines": 4, "cards": 2, "live": 4, "fetch": 6},
}


def spread(values) -> dict:
    values = sorted(values)
    if not values:
        return {}
    at = lambda q: round(1000 * values[min(len(values) - 1, int(q * len(values)))], 1)  # noqa: E731
    return {
        "n": len(values),
        "p50": at(0.5),
        "p95": at(0.95),
        "p99": at(0.99),
        "max": round(1000 * values[-1], 1),
        "mean": round(1000 * statistics.mean(values), 1),
    }
