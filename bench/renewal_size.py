"""Prints how many bytes the renewals of a lease take, by the real codec.

Run it as `python -m bench.renewal_size`.
"""

from laburnumwood.clock import Clock
from laburnumwood.leases.lease import Lease
from laburnumwood.leases.witness import Witness
from laburnumwood.protocol.codec import encode
from laburnumwood.records import Digest, NodeName
from laburnumwood.settings import LeaseSettings

_WITNESSES = tuple(NodeName(f'portal-{number}', 12) for number in range(5))
_HOLDER = NodeName('portal-99', 31)
_DIGEST = Digest(8_100, 9_000_000, 2**63)
_SHARDS = 8
_STREAM = 1_000_000


def main() -> None:
    """Print the size of each kind of renewal."""
    clock = Clock()
    settings = LeaseSettings()
    lease = Lease(_HOLDER, settings, clock)
    lease.set_first_witnesses(lease.propose_set(_WITNESSES))
    first = lease.renewal_request(_WITNESSES[0], _DIGEST)
    answer = Witness(_WITNESSES[0], settings, clock).renew(first, _DIGEST)
    lease.record_grant(first, clock.now_ms())
    usual = lease.renewal_request(_WITNESSES[0], _DIGEST)
    for number in range(_SHARDS):
        lease.raise_floor(f'trader-portal/{number}', 7)
    floors = lease.renewal_request(_WITNESSES[0], _DIGEST)
    sizes = {
        'the first renewal, with the set of witnesses': first,
        'a usual renewal': usual,
        f'a renewal with floors of {_SHARDS} shards': floors,
        'the answer': answer,
    }
    for what, message in sizes.items():
        print(f'{what}: {len(encode(_STREAM, message))} bytes')
    usual_bytes = len(encode(_STREAM, usual)) + len(encode(_STREAM, answer))
    per_second = usual_bytes * len(_WITNESSES) * 1_000 // settings.renew_ms
    print(f'sent and received as a holder: {per_second} bytes a second')


if __name__ == '__main__':
    main()
