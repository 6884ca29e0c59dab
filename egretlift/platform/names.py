"""Names of headers, paths and kinds of objects in the platform's protocol.

No module outside `egretlift.platform` spells out any of them.
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
# Requests a second that an upstream short of capacity takes from all hosts together.
RATE_LIMIT = "Server-Limit"
# "1" in all answers of an upstream that is about to end.
LEAVING = "Server-Leaving"
# In all answers of the store: rises by one each time that the store comes back from an
# older copy of itself. Revisions are comparable within one era only.
STORE_ERA = "Store-Era"

READINESS_PATH = "/-/readiness"
UPSTREAMS_PATH = "/-/instances/"
OBJECTS_PATH = "/-/objects/"

CONFIGURATION_KIND = "config"
CONFIGURATION_NAME = "main"
# Defined by egretlift: one object for each daemon.
HOST_KIND = "egretlift-hosts"

SETTINGS_FILE_VARIABLE = "EGRETLIFT_NODE_FILE"
