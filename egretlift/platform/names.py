"""Names of headers, paths and kinds on the platform's wire.

No module outside `egretlift.platform` spells any of them.
"""

REQUEST_ID = "X-Request-Id"
DEADLINE_MS = "X-Deadline-Ms"
SEAL = "X-Server-Seal"
ORGANISATION = "X-Tenant"
EXPECTED_UPSTREAM = "X-Expect-Instance"
NOT_RUN = "X-Not-Executed"
CALLER_SERVICE = "X-Caller-Service"
KEY = "Authorization"
KEY_SCHEME = "Token "
RETRY_AFTER = "Retry-After"

READINESS_PATH = "/-/readiness"
UPSTREAMS_PATH = "/-/instances/"
OBJECTS_PATH = "/-/objects/"

CONFIGURATION_KIND = "config"
CONFIGURATION_NAME = "main"
# Kind of the project's own: one object for each daemon.
HOST_KIND = "egretlift-hosts"

SETTINGS_FILE_VARIABLE = "EGRETLIFT_NODE_FILE"
