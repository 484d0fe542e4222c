"""Packets as the platform's protocol page describes them."""

import dataclasses
import ipaddress
import struct
import zlib

SYN = 2
RST = 8
FIN = 16
ACK = 128

# echo, seq, ack, flags, src, dport, sport, dst, len, sum
HEADER = struct.Struct(">IIIB4sHH4sHI")
SUM_KEY = b"known to callers and hosts alone"
MAXIMUM_DATA = 1200


def pack_address(address):
    return ipaddress.IPv4Address(address).packed


@dataclasses.dataclass
class Packet:
    src: str
    sport: int
    dst: str
    dport: int
    flags: int
    seq: int
    ack: int = 0
    echo: int = 0
    data: bytes = b""
    sum: int = 0

    def flow(self):
        return (self.src, self.sport, self.dst, self.dport)

    def right_sum(self):
        """Over all fields but the echo, keyed."""
        fields = HEADER.pack(
            0, self.seq, self.ack, self.flags, pack_address(self.src),
            self.dport, self.sport, pack_address(self.dst), len(self.data), 0)
        return zlib.crc32(SUM_KEY + fields + self.data) or 1

    def encode(self):
        return HEADER.pack(
            self.echo, self.seq, self.ack, self.flags, pack_address(self.src),
            self.dport, self.sport, pack_address(self.dst), len(self.data),
            self.right_sum()) + self.data

    @staticmethod
    def decode(datagram):
        echo, seq, ack, flags, src, dport, sport, dst, length, total = \
            HEADER.unpack_from(datagram)
        data = bytes(datagram[HEADER.size:])
        if length != len(data):
            raise ValueError("a packet of the wrong length")
        return Packet(
            str(ipaddress.IPv4Address(src)), sport,
            str(ipaddress.IPv4Address(dst)), dport, flags, seq, ack, echo,
            data, total)

    def is_authentic(self):
        return self.sum == self.right_sum()


def add(number, step):
    """Sequence numbers wrap around."""
    return (number + step) & 0xFFFFFFFF


def distance(first, second):
    """How far the first is ahead of the second; negative if behind."""
    ahead = (first - second) & 0xFFFFFFFF
    return ahead - (1 << 32) if ahead >= 1 << 31 else ahead
