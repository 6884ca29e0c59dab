"""Conversion between the daemon's objects and the control port's protobuf messages."""

import json

from egretlift.configuration import decode_object, encode_object
from egretlift.documents import parse_document
from egretlift.errors import ObjectInvalid
from egretlift.membership import Member, decode_member
from egretlift.quotas import Allocation, AllocationRequest
from egretlift.transport.generated import control_pb2 as pb

MEMBER_FIELDS = tuple(name for name in Member.__slots__ if name != "routes")
REQUEST_FIELDS = (
    "epoch",
    "number",
    "demand",
    "rate",
    "burst",
    "tokens",
    "returned",
    "urgent",
)
REPLY_FIELDS = ("epoch", "number", "rate", "burst", "tokens", "lease_s")


def pack_member(member):
    """Return the protobuf message for a member record."""
    message = pb.Member(**{name: getattr(member, name) for name in MEMBER_FIELDS})
    for method, prefix, profile in member.routes:
        message.routes.add(method=method, prefix=prefix, profile=profile)
    return message


def unpack_members(messages):
    """Return the member records in messages; malformed ones are skipped."""
    members = []
    for message in messages:
        item = {name: getattr(message, name) for name in MEMBER_FIELDS}
        item["routes"] = [
            (route.method, route.prefix, route.profile) for route in message.routes
        ]
        try:
            members.append(decode_member(item))
        except ObjectInvalid:
            continue
    return members


def pack_object(item):
    """Return the protobuf message for a configuration object."""
    encoded = encode_object(item)
    return pb.ConfigurationObject(
        kind=item.kind,
        name=item.name,
        revision=item.revision,
        withdrawn=item.withdrawn,
        spec_json=json.dumps(encoded["spec"]),
    )


def unpack_objects(messages):
    """Return the configuration objects in messages; malformed ones are skipped."""
    objects = []
    for message in messages:
        try:
            spec = parse_document(message.spec_json.encode())
            item = {
                "kind": message.kind,
                "name": message.name,
                "revision": message.revision,
                "spec": spec,
            }
            objects.append(decode_object(item))
        except ObjectInvalid:
            continue
    return objects


def pack_request(request):
    """Return the protobuf message for an allocation request."""
    return pb.AllocateRequest(
        host=request.host,
        incarnation=request.incarnation,
        organisation=request.organisation,
        **{name: getattr(request, name) for name in REQUEST_FIELDS},
    )


def unpack_request(message):
    """Return the allocation request in a message."""
    return AllocationRequest(
        message.host,
        message.incarnation,
        message.organisation,
        **{name: getattr(message, name) for name in REQUEST_FIELDS},
    )


def pack_allocation(allocation):
    """Return the protobuf reply that carries an allocation."""
    return pb.AllocateReply(
        **{name: getattr(allocation, name) for name in REPLY_FIELDS}
    )


def unpack_allocation(request, message):
    """Return the allocation in the reply to a request."""
    allocation = Allocation(
        request,
        message.epoch,
        message.rate,
        message.burst,
        message.tokens,
        message.lease_s,
    )
    allocation.number = message.number
    return allocation
