"""Loopback addresses for deployments of processes that run side by side."""

import errno
import pathlib
import random
import socket

PORT_RANGE_PATH = pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range")
PARTS = ("peer", "front", "ready", "control", "metrics")
# The host number whose first port is bound for as long as the network is
# claimed; that of no process of a deployment.
CLAIM_HOST = 254
MAX_HOSTS = 8


def fixed_ports():
    """Return a port for each address of a process, by its part.

    They lie below the range from which the kernel takes the ports of
    connections and of sockets that ask for any port.
    """
    first = int(PORT_RANGE_PATH.read_text().split()[0])
    return {part: first - 1 - n for n, part in enumerate(PARTS)}


def random_prefix():
    """Return the first three numbers of the addresses of a network."""
    return f"127.{random.randint(1, 254)}.{random.randint(0, 255)}"


class LoopbackNetwork:
    """A loopback network, 127.A.B.0/24, for one deployment.

    No other deployment on this machine has it until it is closed or its
    process has ended: the kernel lets only one socket bind the address that
    stands for the claim.

    Attributes
    ----------
    prefix : str
        First three numbers of the addresses.
    ports : dict of str to int
        Port of each address of a process, by its part.
    """

    def __init__(self):
        self.ports = fixed_ports()
        self.claim = socket.socket()
        self.prefix = ""
        while not self.prefix:
            self._try_claim(random_prefix())
        self._check_free()

    def _try_claim(self, prefix):
        address = (f"{prefix}.{CLAIM_HOST}", self.ports["peer"])
        try:
            self.claim.bind(address)
        except OSError as error:
            if error.errno != errno.EADDRINUSE:
                raise
            return
        self.prefix = prefix

    def host(self, number):
        """Return the address of a host."""
        return f"{self.prefix}.{number}"

    def _check_free(self):
        """Raise an error that names an address which others listen at."""
        for number in range(1, 1 + MAX_HOSTS):
            for port in self.ports.values():
                address = (self.host(number), port)
                with socket.socket() as probe:
                    probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    try:
                        probe.bind(address)
                    except OSError as error:
                        raise OSError(f"{address}: {error}") from error

    def close(self):
        self.claim.close()
