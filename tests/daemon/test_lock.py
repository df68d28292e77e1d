"""Test that only one instance can use a state folder."""

import os

import pytest

from apigateway.daemon.lock import StateFolderLock, StateFolderLockedError


def test_lock_when_another_instance_holds_the_folder_then_raises(tmp_path):
    lock = StateFolderLock(str(tmp_path / "state"))
    lock.record_holder()
    with pytest.raises(StateFolderLockedError, match=f"process {os.getpid()}"):
        StateFolderLock(str(tmp_path / "state"))
    successor = StateFolderLock(str(tmp_path / "state"), os.dup(lock.descriptor))
    lock.close()
    with pytest.raises(StateFolderLockedError):  # the lock stays held after it was passed on
        StateFolderLock(str(tmp_path / "state"))
    successor.close()
    StateFolderLock(str(tmp_path / "state")).close()
