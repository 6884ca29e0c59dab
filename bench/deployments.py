"""The two deployments of section 1 of the design, scaled down by a fraction.

Slots and connections per instance are multiplied by the fraction, and so are the
daemon settings that count calls or connections. The number of instances is unchanged.
"""

from standins.mesh import list_callers, make_hosts

# Services at full size: instances in each zone, slots and connections per instance.
# Routes: method, path prefix, profile and the calls that a request makes.
PAWTRAIT = {
    "name": "pawtrait",
    "zones": ("ie-east-a", "ie-east-b", "ie-east-c"),
    "zone_delay_s": 0.0005,
    "services": {
        "scheduler": ((1, 1, 1), 60, 450),
        "checkout": ((1, 1, 1), 60, 450),
        "proofing": ((1, 1, 1), 60, 450),
        "galleries": ((1, 1, 1), 15, 190),
    },
    "routes": {
        "scheduler": [
            ("GET", "/calendars", "calendar", ()),
            ("POST", "/bookings", "booking", [("checkout", "POST", "/payments")]),
        ],
        "checkout": [("POST", "/payments", "payment", ())],
        "proofing": [
            ("GET", "/previews", "preview", ()),
            ("PUT", "/proofs", "proof-upload", ()),
        ],
        "galleries": [
            ("GET", "/galleries", "gallery", [("proofing", "GET", "/previews")])
        ],
    },
    "profiles": {
        "calendar": {"priority": "interactive", "idempotent": True},
        "booking": {"priority": "critical", "at_most_once": True, "weight": 5},
        "payment": {"priority": "critical", "at_most_once": True, "weight": 5},
        "preview": {"priority": "interactive", "idempotent": True},
        "proof-upload": {"priority": "background", "body_limit_bytes": 200_000_000},
        "gallery": {"priority": "interactive", "idempotent": True},
    },
    # Service, method, path, profile, share of the requests, identifier, is an upload.
    "load": [
        ("scheduler", "GET", "/calendars/{id}", "calendar", 50, None, False),
        ("scheduler", "POST", "/bookings/{id}", "booking", 25, "issued", False),
        ("galleries", "GET", "/galleries/{id}", "gallery", 20, None, False),
        ("proofing", "PUT", "/proofs/{id}", "proof-upload", 5, None, True),
    ],
    # Called by another service; experiments slow it down or restart it.
    "deep_service": "checkout",
}

BAYT = {
    "name": "bayt-al-sanadiq",
    "zones": ("oman-north-a", "oman-north-b", "oman-north-c"),
    "zone_delay_s": 0.0015,
    "services": {
        "catalogue": ((2, 1, 1), 110, 750),
        "yard-photos": ((1, 2, 1), 110, 750),
        "sales": ((1, 1, 1), 110, 770),
        "lots": ((1, 1, 1), 45, 380),
    },
    "routes": {
        "catalogue": [
            ("GET", "/catalogue", "lookup", [("yard-photos", "GET", "/thumbnails")])
        ],
        "yard-photos": [
            ("GET", "/thumbnails", "thumbnail", ()),
            ("PUT", "/photos", "photo-upload", ()),
        ],
        "sales": [
            ("POST", "/sales", "sale-confirmation", [("lots", "GET", "/lots/check")])
        ],
        "lots": [("GET", "/lots", "lot-check", ())],
    },
    "profiles": {
        "lookup": {"priority": "interactive", "idempotent": True},
        "thumbnail": {"priority": "interactive", "idempotent": True},
        "lot-check": {"priority": "interactive", "idempotent": True, "weight": 2},
        "sale-confirmation": {
            "priority": "critical",
            "at_most_once": True,
            "weight": 10,
        },
        "photo-upload": {
            "priority": "background",
            "idempotent": True,
            "body_limit_bytes": 50_000_000,
        },
    },
    "load": [
        ("catalogue", "GET", "/catalogue/{id}", "lookup", 45, None, False),
        ("lots", "GET", "/lots/{id}", "lot-check", 25, None, False),
        ("sales", "POST", "/sales/{id}", "sale-confirmation", 25, "issued", False),
        ("yard-photos", "PUT", "/photos/{id}", "photo-upload", 5, None, True),
    ],
    "deep_service": "lots",
}

DEPLOYMENTS = {"pawtrait": PAWTRAIT, "bayt": BAYT}

# Shares of the requests. Three of eight organisations send 70% of them.
ORGANISATIONS = {
    "northlight": 30,
    "harbour": 25,
    "larkspur": 15,
    "old-mill": 10,
    "quayside": 8,
    "sable": 5,
    "tamarind": 4,
    "willow": 3,
}

CONNECT_COST_S = 0.001
TIMEOUT_S = {"critical": 4.0, "interactive": 3.0, "background": 8.0}


def scale_size(number, fraction, minimum=1):
    """Return a size times the fraction, rounded and at least the minimum.

    Examples
    --------
    >>> scale_size(60, 0.1), scale_size(15, 0.01)
    (6, 1)
    """
    return max(minimum, round(number * fraction))


def make_routes(deployment, service):
    """Return the routes that a service announces, with the calls that each makes."""
    return [
        {
            "method": method,
            "prefix": prefix,
            "profile": profile,
            "calls": [
                {"service": called, "method": called_method, "path": path}
                for called, called_method, path in calls
            ],
        }
        for method, prefix, profile, calls in deployment["routes"][service]
    ]


def make_deployment_hosts(deployment, fraction, service_s, **options):
    """Return the hosts of a deployment, for a mesh plan.

    ``service_s`` is the time that a request needs at each service, and ``options``
    are further options of `standins.mesh.make_hosts`.
    """
    hosts = []
    for service, (counts, slots, connections) in deployment["services"].items():
        hosts += make_hosts(
            service,
            dict(zip(deployment["zones"], counts, strict=True)),
            routes=make_routes(deployment, service),
            slots=scale_size(slots, fraction),
            connections=scale_size(connections, fraction),
            connect_cost_s=CONNECT_COST_S,
            behaviour={"service_s": service_s},
            **options,
        )
    return hosts


def make_settings(deployment, fraction):
    """Return the scaled daemon settings that count calls or connections.

    A daemon opens fewer connections than its upstream accepts, as at full size, where
    it opens 400 by default and an upstream accepts 450.
    """
    connections = max(row[2] for row in deployment["services"].values())
    return {
        "limit-initial": scale_size(20, fraction, 2),
        "limit-minimum": scale_size(4, fraction),
        "limit-maximum": scale_size(400, fraction, 8),
        "queue-length": scale_size(200, fraction, 10),
        "forward-connections": scale_size(min(400, connections), fraction, 4),
    }


def make_profiles(deployment):
    """Return the specs of the profiles by name, with timeouts by priority."""
    return {
        name: {"timeout_ms": int(1000 * TIMEOUT_S[spec["priority"]]), **spec}
        for name, spec in deployment["profiles"].items()
    }


def compute_capacity(deployment, fraction, service_s):
    """Return the requests a second at which the busiest service has no slot free.

    A call occupies its slot also while the calls that it makes run.
    """
    slot_seconds = dict.fromkeys(deployment["services"], 0.0)
    total = sum(row[4] for row in deployment["load"])
    for service, method, path, _, share, _, _ in deployment["load"]:
        calls = next(
            route[3]
            for route in deployment["routes"][service]
            if route[0] == method and path.startswith(route[1])
        )
        slot_seconds[service] += share / total * service_s * (1 + len(calls))
        for called, _, _ in calls:
            slot_seconds[called] += share / total * service_s
    return min(
        sum(counts) * scale_size(slots, fraction) / slot_seconds[service]
        for service, (counts, slots, _) in deployment["services"].items()
        if slot_seconds[service]
    )


def make_organisations(rate, rate_factor):
    """Return the spec of each organisation by name.

    The rate limit of an organisation is ``rate_factor`` times what it sends when all
    organisations together send ``rate`` requests a second.
    """
    total = sum(ORGANISATIONS.values())
    specs = {}
    for name, share in ORGANISATIONS.items():
        allowed_rate = round(max(1.0, rate * share / total * rate_factor), 1)
        specs[name] = {"rate": allowed_rate, "burst": max(5, round(allowed_rate))}
    return specs


def make_load_plan(deployment, mesh, keys, rate, rate_factor, upload_bytes):
    """Return the fields of a load plan that follow from a deployment.

    Parameters
    ----------
    deployment : dict
        ``PAWTRAIT`` or ``BAYT``.
    mesh : Mesh
        The running mesh.
    keys : dict of str to str
        Keys by organisation.
    rate : float
        Requests a second over all organisations.
    rate_factor : float
        Rate limit of each organisation, as a multiple of what it sends.
    upload_bytes : int
        Size of the body of an upload.
    """
    specs = make_organisations(rate, rate_factor)
    profiles = deployment["profiles"]
    return {
        "rate": rate,
        "targets": {name: list_callers(mesh, name) for name in deployment["services"]},
        "organisations": [
            {"name": name, "key": keys[name], "share": share, **specs[name]}
            for name, share in ORGANISATIONS.items()
        ],
        "routes": [
            {
                "name": profile,
                "service": service,
                "method": method,
                "path": path,
                "priority": profiles[profile]["priority"],
                "weight": profiles[profile].get("weight", 1),
                "share": share,
                "body_bytes": upload_bytes if upload else 0,
                "timeout_s": TIMEOUT_S[profiles[profile]["priority"]],
                "identifier": identifier,
            }
            for service, method, path, profile, share, identifier, upload in deployment[
                "load"
            ]
        ],
    }
