"""The channel of a hand-over."""

import os
import socket

from gateway_harness import run_on_uvloop

from apigateway.daemon.handover_channel import HandoverChannel


# Guards against listening sockets that child processes inherit and keep open after the gateway's end.
@run_on_uvloop
async def test_received_descriptors_are_not_inherited_by_child_processes():
    left, right = socket.socketpair(socket.AF_UNIX)
    sender, receiver = HandoverChannel(left), HandoverChannel(right)
    with socket.socket() as passed:
        await sender.send({"offer": 1}, [passed.fileno()])
        message, (descriptor,) = await receiver.receive_with_descriptors(5.0)
        assert message == {"offer": 1} and not os.get_inheritable(descriptor)
        os.close(descriptor)
    sender.close()
    receiver.close()
