"""Numbered result codes: what each means, its HTTP status and the outcome it promises.

Generated from ``source/result_codes.yaml``; do not edit.
"""

from enum import IntEnum, StrEnum

__all__ = ["HTTP_STATUS", "OUTCOME", "Outcome", "ResultCode"]


class Outcome(StrEnum):
    """What a caller may conclude about whether the work ran."""

    OK = "ok"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    FAILED = "failed"


class ResultCode(IntEnum):
    """A numbered result; the table is ``docs/RESULT_CODES.md``."""

    OK = 0
    BAD_REQUEST = 1000
    NOT_FOUND = 1001
    METHOD_NOT_ALLOWED = 1002
    BODY_TOO_LARGE = 1003
    UNAUTHORIZED = 1004
    UNKNOWN_MODEL = 1005
    UNKNOWN_SERVICE = 1006
    HEADER_TOO_LARGE = 1007
    REQUEST_TIMEOUT = 1008
    NO_CAPACITY = 2000
    DEADLINE_CANNOT_BE_MET = 2001
    MEMBER_OVER_SHARE = 2002
    NO_UPSTREAM = 2003
    REVOKED = 2005
    WORK_HARMFUL = 2006
    OVER_LIMIT = 2007
    QUOTA_UNKNOWN = 2008
    ORIGIN_UNKNOWN = 2009
    BAD_LINE = 3000
    DUPLICATE_CUSTOM_ID = 3001
    TOO_MANY_ITEMS = 3002
    LINE_TOO_LONG = 3003
    KEY_REUSED = 3004
    ITEM_IMPOSSIBLE = 3006
    ITEM_ISOLATED = 3007
    ITEM_UNKNOWN = 3008
    STORES_UNAVAILABLE = 3010
    DISK_FULL = 3011
    CORRUPT_SEGMENT = 3013
    EMPTY_INPUT = 3015
    STALE_VERSION = 4000
    INVALID_PATCH = 4001
    CONFIG_UNCONFIRMED = 4002
    CONFIG_REVERTED = 4003
    PATCH_ID_REUSED = 4004
    KV_UNAVAILABLE = 5000
    KV_UNKNOWN = 5001
    KV_CONFLICT = 5002
    PEER_UNREACHABLE = 5003
    PEER_UNKNOWN = 5004
    NOT_OWNER = 5009
    KV_COMPACTED = 5006
    KV_VALUE_TOO_LARGE = 5007
    PLATFORM_UNAVAILABLE = 5008
    VALUE_UNREADABLE = 5010
    UPSTREAM_ERROR = 6000
    UPSTREAM_REJECTED = 6001
    UPSTREAM_LOST = 6002
    EXECUTION_UNKNOWN = 6003
    TRUNCATED = 6004
    UPSTREAM_TIMEOUT = 6005
    CLAIM_UNAVAILABLE = 6006
    ALREADY_CLAIMED = 6007
    SUPERSEDED_ORDER = 6008
    INTERNAL = 9000


HTTP_STATUS: dict[ResultCode, int] = {
    ResultCode.OK: 200,
    ResultCode.BAD_REQUEST: 400,
    ResultCode.NOT_FOUND: 404,
    ResultCode.METHOD_NOT_ALLOWED: 405,
    ResultCode.BODY_TOO_LARGE: 413,
    ResultCode.UNAUTHORIZED: 401,
    ResultCode.UNKNOWN_MODEL: 404,
    ResultCode.UNKNOWN_SERVICE: 404,
    ResultCode.HEADER_TOO_LARGE: 431,
    ResultCode.REQUEST_TIMEOUT: 408,
    ResultCode.NO_CAPACITY: 503,
    ResultCode.DEADLINE_CANNOT_BE_MET: 503,
    ResultCode.MEMBER_OVER_SHARE: 429,
    ResultCode.NO_UPSTREAM: 503,
    ResultCode.REVOKED: 503,
    ResultCode.WORK_HARMFUL: 503,
    ResultCode.OVER_LIMIT: 429,
    ResultCode.QUOTA_UNKNOWN: 503,
    ResultCode.ORIGIN_UNKNOWN: 503,
    ResultCode.BAD_LINE: 400,
    ResultCode.DUPLICATE_CUSTOM_ID: 400,
    ResultCode.TOO_MANY_ITEMS: 400,
    ResultCode.LINE_TOO_LONG: 400,
    ResultCode.KEY_REUSED: 409,
    ResultCode.ITEM_IMPOSSIBLE: 422,
    ResultCode.ITEM_ISOLATED: 422,
    ResultCode.ITEM_UNKNOWN: 504,
    ResultCode.STORES_UNAVAILABLE: 503,
    ResultCode.DISK_FULL: 507,
    ResultCode.CORRUPT_SEGMENT: 500,
    ResultCode.EMPTY_INPUT: 400,
    ResultCode.STALE_VERSION: 409,
    ResultCode.INVALID_PATCH: 422,
    ResultCode.CONFIG_UNCONFIRMED: 503,
    ResultCode.CONFIG_REVERTED: 503,
    ResultCode.PATCH_ID_REUSED: 409,
    ResultCode.KV_UNAVAILABLE: 503,
    ResultCode.KV_UNKNOWN: 503,
    ResultCode.KV_CONFLICT: 409,
    ResultCode.PEER_UNREACHABLE: 503,
    ResultCode.PEER_UNKNOWN: 503,
    ResultCode.NOT_OWNER: 503,
    ResultCode.KV_COMPACTED: 410,
    ResultCode.KV_VALUE_TOO_LARGE: 413,
    ResultCode.PLATFORM_UNAVAILABLE: 503,
    ResultCode.VALUE_UNREADABLE: 503,
    ResultCode.UPSTREAM_ERROR: 502,
    ResultCode.UPSTREAM_REJECTED: 400,
    ResultCode.UPSTREAM_LOST: 502,
    ResultCode.EXECUTION_UNKNOWN: 504,
    ResultCode.TRUNCATED: 502,
    ResultCode.UPSTREAM_TIMEOUT: 504,
    ResultCode.CLAIM_UNAVAILABLE: 503,
    ResultCode.ALREADY_CLAIMED: 409,
    ResultCode.SUPERSEDED_ORDER: 409,
    ResultCode.INTERNAL: 500,
}

OUTCOME: dict[ResultCode, Outcome] = {
    ResultCode.OK: Outcome.OK,
    ResultCode.BAD_REQUEST: Outcome.NOT_RUN,
    ResultCode.NOT_FOUND: Outcome.NOT_RUN,
    ResultCode.METHOD_NOT_ALLOWED: Outcome.NOT_RUN,
    ResultCode.BODY_TOO_LARGE: Outcome.NOT_RUN,
    ResultCode.UNAUTHORIZED: Outcome.NOT_RUN,
    ResultCode.UNKNOWN_MODEL: Outcome.NOT_RUN,
    ResultCode.UNKNOWN_SERVICE: Outcome.NOT_RUN,
    ResultCode.HEADER_TOO_LARGE: Outcome.NOT_RUN,
    ResultCode.REQUEST_TIMEOUT: Outcome.NOT_RUN,
    ResultCode.NO_CAPACITY: Outcome.NOT_RUN,
    ResultCode.DEADLINE_CANNOT_BE_MET: Outcome.NOT_RUN,
    ResultCode.MEMBER_OVER_SHARE: Outcome.NOT_RUN,
    ResultCode.NO_UPSTREAM: Outcome.NOT_RUN,
    ResultCode.REVOKED: Outcome.NOT_RUN,
    ResultCode.WORK_HARMFUL: Outcome.NOT_RUN,
    ResultCode.OVER_LIMIT: Outcome.NOT_RUN,
    ResultCode.QUOTA_UNKNOWN: Outcome.NOT_RUN,
    ResultCode.ORIGIN_UNKNOWN: Outcome.NOT_RUN,
    ResultCode.BAD_LINE: Outcome.NOT_RUN,
    ResultCode.DUPLICATE_CUSTOM_ID: Outcome.NOT_RUN,
    ResultCode.TOO_MANY_ITEMS: Outcome.NOT_RUN,
    ResultCode.LINE_TOO_LONG: Outcome.NOT_RUN,
    ResultCode.KEY_REUSED: Outcome.NOT_RUN,
    ResultCode.ITEM_IMPOSSIBLE: Outcome.FAILED,
    ResultCode.ITEM_ISOLATED: Outcome.FAILED,
    ResultCode.ITEM_UNKNOWN: Outcome.UNKNOWN,
    ResultCode.STORES_UNAVAILABLE: Outcome.NOT_RUN,
    ResultCode.DISK_FULL: Outcome.NOT_RUN,
    ResultCode.CORRUPT_SEGMENT: Outcome.FAILED,
    ResultCode.EMPTY_INPUT: Outcome.NOT_RUN,
    ResultCode.STALE_VERSION: Outcome.NOT_RUN,
    ResultCode.INVALID_PATCH: Outcome.NOT_RUN,
    ResultCode.CONFIG_UNCONFIRMED: Outcome.NOT_RUN,
    ResultCode.CONFIG_REVERTED: Outcome.NOT_RUN,
    ResultCode.PATCH_ID_REUSED: Outcome.NOT_RUN,
    ResultCode.KV_UNAVAILABLE: Outcome.NOT_RUN,
    ResultCode.KV_UNKNOWN: Outcome.UNKNOWN,
    ResultCode.KV_CONFLICT: Outcome.NOT_RUN,
    ResultCode.PEER_UNREACHABLE: Outcome.NOT_RUN,
    ResultCode.PEER_UNKNOWN: Outcome.UNKNOWN,
    ResultCode.NOT_OWNER: Outcome.NOT_RUN,
    ResultCode.KV_COMPACTED: Outcome.NOT_RUN,
    ResultCode.KV_VALUE_TOO_LARGE: Outcome.NOT_RUN,
    ResultCode.PLATFORM_UNAVAILABLE: Outcome.NOT_RUN,
    ResultCode.VALUE_UNREADABLE: Outcome.UNKNOWN,
    ResultCode.UPSTREAM_ERROR: Outcome.FAILED,
    ResultCode.UPSTREAM_REJECTED: Outcome.FAILED,
    ResultCode.UPSTREAM_LOST: Outcome.FAILED,
    ResultCode.EXECUTION_UNKNOWN: Outcome.UNKNOWN,
    ResultCode.TRUNCATED: Outcome.FAILED,
    ResultCode.UPSTREAM_TIMEOUT: Outcome.FAILED,
    ResultCode.CLAIM_UNAVAILABLE: Outcome.NOT_RUN,
    ResultCode.ALREADY_CLAIMED: Outcome.UNKNOWN,
    ResultCode.SUPERSEDED_ORDER: Outcome.NOT_RUN,
    ResultCode.INTERNAL: Outcome.UNKNOWN,
}
