"""The state of an emulated Eureka registry: registrations, leases, overrides, deltas and replication."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Callable

from apigateway.emulators.eureka_format import JsonObject, instance_id

DEFAULT_LEASE_S = 90


class Lease:
    """A registered instance and its lease."""

    def __init__(self, instance: JsonObject, now: float) -> None:
        lease = instance.get("leaseInfo") or {}
        self.instance = instance
        self.duration_s = float(lease.get("durationInSecs", DEFAULT_LEASE_S))
        self.registered_at = now
        self.renewed_at = now
        self.up_at = 0.0
        self.override = ""

    @property
    def status(self) -> str:
        """The status that callers see."""
        return self.override or str(self.instance.get("status", "UNKNOWN"))


class EurekaRegistry:
    """Registered instances, and what callers see of them.

    Attributes:
        delta_retention_s: How far back deltas go.
        self_preservation: Whether expired leases are kept (Eureka's self-preservation mode).
        replication_lag_s: The time until changes reach `peer`, if there is one.
        leases: The leases by application and id of the instance.
        changes: The time, action and instance of each change, for deltas.
        hashcode: If not None, sent in place of the right hash code.
        clock_offset_s: How far its clock is ahead.
    """

    def __init__(
        self,
        delta_retention_s: float = 180.0,
        self_preservation: bool = False,
        replication_lag_s: float = 0.0,
        clock: Callable[[], float] = time.time,
    ) -> None:
        self.delta_retention_s = delta_retention_s
        self.self_preservation = self_preservation
        self.replication_lag_s = replication_lag_s
        self._clock = clock
        self.leases: dict[tuple[str, str], Lease] = {}
        self.changes: list[tuple[float, str, JsonObject]] = []
        self.peer: EurekaRegistry | None = None
        self.hashcode: str | None = None
        self.clock_offset_s = 0.0

    def now(self) -> float:
        """Return the time of its own clock."""
        return self._clock() + self.clock_offset_s

    # Registrations

    def register(self, instance_data: JsonObject, replicated: bool = False) -> None:
        """Register an instance, or replace its registration."""
        key = (str(instance_data["app"]).upper(), instance_id(instance_data))
        old = self.leases.get(key)
        lease = Lease(instance_data, self.now())
        if old is not None:
            lease.override = old.override
            lease.up_at = old.up_at
        if lease.status == "UP" and (old is None or old.status != "UP"):
            lease.up_at = self.now()
        self.leases[key] = lease
        self._record_change("ADDED" if old is None else "MODIFIED", key)
        self._replicate(replicated, lambda peer: peer.register(instance_data, replicated=True))

    def mark_warm(self, app: str, id: str) -> None:
        """Move an instance's registration far into the past, so that gateways do not treat it as cold."""
        lease = self.leases[app.upper(), id]
        lease.registered_at = 0.0
        lease.up_at = 0.0

    def renew(self, app: str, id: str, replicated: bool = False) -> bool:
        """Renew a lease; return False if there is none."""
        lease = self.leases.get((app.upper(), id))
        if lease is None:
            return False
        lease.renewed_at = self.now()
        self._replicate(replicated, lambda peer: peer.renew(app, id, replicated=True))
        return True

    def cancel(self, app: str, id: str, replicated: bool = False) -> bool:
        """End a lease; return False if there is none."""
        key = (app.upper(), id)
        if key not in self.leases:
            return False
        self._record_change("DELETED", key)
        del self.leases[key]
        self._replicate(replicated, lambda peer: peer.cancel(app, id, replicated=True))
        return True

    def override(self, app: str, id: str, status: str, replicated: bool = False) -> bool:
        """Set the override of a status, or remove it if empty; return False if there is no lease."""
        lease = self.leases.get((app.upper(), id))
        if lease is None:
            return False
        before = lease.status
        lease.override = status
        if lease.status == "UP" and before != "UP":
            lease.up_at = self.now()
        self._record_change("MODIFIED", (app.upper(), id))
        self._replicate(replicated, lambda peer: peer.override(app, id, status, replicated=True))
        return True

    def restart(self) -> None:
        """Forget all leases and deltas."""
        self.leases = {}
        self.changes = []

    def expire(self) -> None:
        """Drop the leases that were not renewed in time."""
        now = self.now()
        for key in [key for key, lease in self.leases.items() if now - lease.renewed_at > lease.duration_s]:
            if not self.self_preservation:
                self._record_change("DELETED", key)
                del self.leases[key]

    def _record_change(self, action: str, key: tuple[str, str]) -> None:
        """Record a change, for deltas."""
        self.changes.append((self.now(), action, self.render_instance(key, action)))

    def _replicate(self, replicated: bool, operation: Callable[[EurekaRegistry], object]) -> None:
        """Repeat an operation at the peer after the lag, unless it was itself a replication."""
        peer = self.peer
        if peer is not None and not replicated:
            asyncio.get_running_loop().call_later(self.replication_lag_s, operation, peer)

    # Representations

    def render_instance(self, key: tuple[str, str], action: str = "") -> JsonObject:
        """Return an instance as callers see it."""
        lease = self.leases[key]
        instance_data = {
            **lease.instance,
            "app": key[0],
            "status": lease.status,
            "overriddenstatus": lease.override or "UNKNOWN",
            "leaseInfo": {
                "renewalIntervalInSecs": 30,
                "durationInSecs": int(lease.duration_s),
                "registrationTimestamp": int(lease.registered_at * 1000),
                "lastRenewalTimestamp": int(lease.renewed_at * 1000),
                "evictionTimestamp": 0,
                "serviceUpTimestamp": int(lease.up_at * 1000),
            },
        }
        return {**instance_data, "actionType": action} if action else instance_data

    def status_hash(self) -> str:
        """Return the hash code of all statuses, with which clients check their deltas."""
        if self.hashcode is not None:
            return self.hashcode
        counts = Counter(lease.status for lease in self.leases.values())
        return "".join(f"{status}_{count}_" for status, count in sorted(counts.items()))

    def applications(self, instances: list[JsonObject]) -> JsonObject:
        """Return instances by application. As in Eureka, a single one is an object and several are a list."""
        apps: dict[str, list[JsonObject]] = {}
        for instance_data in instances:
            apps.setdefault(str(instance_data["app"]), []).append(instance_data)
        return {
            "applications": {
                "versions__delta": "1",
                "apps__hashcode": self.status_hash(),
                "application": [
                    {"name": name, "instance": members[0] if len(members) == 1 else members}
                    for name, members in apps.items()
                ],
            }
        }

    def select_instances(self, wanted: Callable[[JsonObject], bool] = lambda _: True) -> list[JsonObject]:
        """Return all instances for which `wanted` is true."""
        return [instance_data for key in self.leases if wanted(instance_data := self.render_instance(key))]

    def delta(self) -> list[JsonObject]:
        """Return the instances that changed within the retention time, each once."""
        since = self.now() - self.delta_retention_s
        latest: dict[tuple[str, str], JsonObject] = {}
        for at, action, instance_data in self.changes:
            if at >= since:
                key = (str(instance_data["app"]), instance_id(instance_data))
                latest_data = (
                    self.render_instance(key, action)
                    if key in self.leases and action != "DELETED"
                    else instance_data
                )
                latest[key] = {**latest_data, "actionType": action}
        return list(latest.values())

    def instances(self, path: str) -> list[JsonObject] | None:
        """Return the instances that a path names, or None if there are none."""
        if path == "apps":
            return self.select_instances()
        if path == "apps/delta":
            return self.delta()
        kind, _, name = path.partition("/")
        if kind == "apps":
            found = self.select_instances(lambda instance_data: str(instance_data["app"]) == name.upper())
        else:
            key = {"vips": "vipAddress", "svips": "secureVipAddress"}[kind]
            found = self.select_instances(
                lambda instance_data: name in str(instance_data.get(key, "")).split(",")
            )
        return found or None
