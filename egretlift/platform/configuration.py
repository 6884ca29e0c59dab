"""Decoding of the operators' configuration from the platform's tables."""

from egretlift.errors import ObjectInvalid
from egretlift.serving.routes import Configuration, Organisation, Route, RouteTarget

IDEMPOTENT = "idempotent"
KINDS = (IDEMPOTENT, "non_idempotent")
REMEDY = "write a configuration in the platform's format"


def read_table(document, name):
    """Return the rows of a table as dicts by column name, [] if it is missing."""
    table = document.get(name) or {"columns": [], "rows": []}
    try:
        columns = table["columns"]
        return [dict(zip(columns, row, strict=True)) for row in table["rows"]]
    except (KeyError, TypeError, ValueError) as error:
        raise ObjectInvalid(f"table {name} cannot be read: {error}", REMEDY) from error


def decode_targets(row):
    """Return the services of a route with their weights in a traffic split."""
    split = row.get("traffic_split")
    if not split:
        return (RouteTarget(str(row["service"]), 1.0),)
    return tuple(
        RouteTarget(target["service"], float(target["weight"])) for target in split
    )


def decode_route(row):
    """Return the route in a row of the platform's table."""
    if row["kind"] not in KINDS:
        raise ObjectInvalid(f"route {row['name']} has kind {row['kind']!r}", REMEDY)
    timeout_s, target_latency_s = row.get("timeout_s"), row.get("target_latency_s")
    return Route(
        name=row["name"],
        domain=row["host"].lower(),
        prefix=row["path_prefix"],
        idempotent=row["kind"] == IDEMPOTENT,
        timeout_s=float(timeout_s) if timeout_s else None,
        target_latency_s=float(target_latency_s) if target_latency_s else None,
        rank=int(row.get("priority") or 0),
        attempts=int(row.get("max_attempts") or 1),
        # The platform calls a route "anonymous" if it needs no key: calls that
        # upstreams make.
        is_open=bool(row.get("anonymous")),
        targets=decode_targets(row),
    )


def decode_organisation(row):
    """Return the organisation in a row of the platform's table."""
    rank = row.get("priority")
    return Organisation(
        name=row["name"],
        keys=tuple(row.get("api_keys") or ()),
        rank=None if rank is None else int(rank),
        rate=float(row.get("rate_per_s") or 0),
        burst=float(row.get("burst") or 0),
    )


def decode_configuration(document):
    """Return the configuration in the spec of the platform's object.

    Raises
    ------
    ObjectInvalid
        The document is not a valid configuration; no part of it may be used.
    """
    try:
        version = document["version"]
        if isinstance(version, bool) or not isinstance(version, int):
            raise ObjectInvalid(f"version is {version!r}", REMEDY)
        routes = [decode_route(row) for row in read_table(document, "routes")]
        organisations = [
            decode_organisation(row) for row in read_table(document, "tenants")
        ]
        body_bytes = (document.get("limits") or {}).get("max_body_bytes")
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise ObjectInvalid(f"configuration is malformed: {error!r}", REMEDY) from error
    return Configuration(version, routes, organisations, body_bytes, document)
