"""Decoding of the operators' configuration from the platform's tables."""

from egretlift.documents import is_integer, is_number, is_text
from egretlift.errors import ObjectInvalid
from egretlift.serving.routes import Configuration, Organisation, Route, RouteTarget

IDEMPOTENT = "idempotent"
KINDS = (IDEMPOTENT, "non_idempotent")
# Longer times are shortened to this one; event loops cannot wait for any time.
TIME_MAXIMUM_S = 86_400.0
REMEDY = "write a configuration in the platform's format"


def read_table(document, name):
    """Return the rows of a table as dicts by column name, [] if it is missing."""
    table = document.get(name)
    if table is None:
        return []
    try:
        columns = table["columns"]
        return [dict(zip(columns, row, strict=True)) for row in table["rows"]]
    except (KeyError, TypeError, ValueError) as error:
        raise ObjectInvalid(f"table {name} cannot be read: {error}", REMEDY) from error


def read_text(row, name):
    """Return a text of a row that is not empty."""
    value = row[name]
    if not is_text(value):
        raise ObjectInvalid(f"{name} is {value!r:.100}", REMEDY)
    return value


def read_number(row, name, default=0):
    """Return a number of a row that is not negative, the default if null or missing."""
    value = row.get(name)
    if value is None:
        return default
    if not is_number(value, 0):
        raise ObjectInvalid(f"{name} is {value!r:.100}", REMEDY)
    return value


def read_time_s(row, name):
    """Return a time of a row in seconds, None if it is null, missing or 0."""
    value = read_number(row, name)
    return min(float(value), TIME_MAXIMUM_S) if value else None


def read_keys(row):
    """Return the keys of an organisation."""
    keys = row.get("api_keys")
    if keys is None:
        return ()
    if not isinstance(keys, list) or not all(isinstance(key, str) for key in keys):
        raise ObjectInvalid("api_keys are no list of texts", REMEDY)
    return tuple(keys)


def decode_targets(row):
    """Return the services of a route with their weights in a traffic split."""
    split = row.get("traffic_split")
    if not split:
        return (RouteTarget(read_text(row, "service"), 1.0),)
    if not isinstance(split, list):
        raise ObjectInvalid(f"traffic_split is {split!r:.100}", REMEDY)
    return tuple(
        RouteTarget(read_text(target, "service"), float(read_weight(target)))
        for target in split
    )


def read_weight(target):
    """Return the weight of a part of a traffic split, which must be given."""
    if target["weight"] is None:
        raise ObjectInvalid("weight is null", REMEDY)
    return read_number(target, "weight")


def decode_route(row):
    """Return the route in a row of the platform's table."""
    if row["kind"] not in KINDS:
        raise ObjectInvalid(f"kind is {row['kind']!r:.100}", REMEDY)
    return Route(
        name=read_text(row, "name"),
        domain=read_text(row, "host").lower(),
        prefix=read_text(row, "path_prefix"),
        idempotent=row["kind"] == IDEMPOTENT,
        timeout_s=read_time_s(row, "timeout_s"),
        target_latency_s=read_time_s(row, "target_latency_s"),
        rank=int(read_number(row, "priority")),
        attempts=int(read_number(row, "max_attempts")) or 1,
        # The platform calls a route "anonymous" if it needs no key: calls that
        # upstreams make.
        is_open=bool(row.get("anonymous")),
        targets=decode_targets(row),
    )


def decode_organisation(row):
    """Return the organisation in a row of the platform's table."""
    rank = read_number(row, "priority", None)
    return Organisation(
        name=read_text(row, "name"),
        keys=read_keys(row),
        rank=None if rank is None else int(rank),
        rate=float(read_number(row, "rate_per_s")),
        burst=float(read_number(row, "burst")),
    )


def read_body_bytes(document):
    """Return the largest size of a request body in bytes, None or 0 for no limit."""
    limits = document.get("limits")
    return None if limits is None else read_number(limits, "max_body_bytes", None)


def decode_configuration(document):
    """Return the configuration in the spec of the platform's object.

    Raises
    ------
    ObjectInvalid
        The document is not a valid configuration; no part of it may be used.
    """
    try:
        version = document["version"]
        if not is_integer(version, 0):
            raise ObjectInvalid(f"version is {version!r:.100}", REMEDY)
        routes = [decode_route(row) for row in read_table(document, "routes")]
        organisations = [
            decode_organisation(row) for row in read_table(document, "tenants")
        ]
        body_bytes = read_body_bytes(document)
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise ObjectInvalid(f"configuration is malformed: {error!r}", REMEDY) from error
    return Configuration(version, routes, organisations, body_bytes, document)
