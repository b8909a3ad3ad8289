#!/usr/bin/env python3
"""Writes copies of a site that differ from it in one way each.

    tools/vary_site.py SITE FOLDER [--only NAME,...]

A program that keeps its promises on one deployment may rest on its sizes. Each
copy changes one of them: how many zones, hosts, endpoints, slots or
organisations there are, how strong hosts and their links are, how tight the
bounds are, or how fast the store is.
The users' bench, which stands outside this repository, plays the copies with
its `hunt`; their days are the site's own, so their marks mean nothing and only
broken rules count.
"""

import argparse
import copy
import pathlib
import tomllib

from days import table


def places(site):
    """Every list of entries with a zone, over the site and its days."""
    for owner in [site, *site["day"]]:
        if "traffic" in owner:
            yield owner, "traffic"


def spread_count(zones, total, old):
    """Entries of `old`'s kind, `total` in sum, over zones as evenly as can be."""
    for index, zone in enumerate(zones):
        count = total // len(zones) + (1 if index < total % len(zones) else 0)
        if count:
            yield {**old, "zone": zone, "count": count}


def set_zones(site, wanted):
    """Moves everything to so many zones."""
    region = site["zones"][0]["region"]
    zones = [f"zone-{index + 1}" for index in range(wanted)]
    names = [zone["name"] for zone in site["zones"]]
    site["zones"] = [{"name": zone, "region": region} for zone in zones]
    total = sum(machine["count"] for machine in site["machines"])
    site["machines"] = list(spread_count(zones, total, site["machines"][0]))
    for service in site["services"]:
        total = sum(entry["count"] for entry in service["servers"])
        service["servers"] = list(spread_count(zones, total, {}))
    for owner, key in places(site):
        old = owner[key]
        owner[key] = [
            {**old[index % len(old)], "zone": zone, "per_s": sum(e["per_s"] for e in old) / wanted}
            for index, zone in enumerate(zones)
        ]
    for trouble in troubles(site):
        if trouble.get("zone") in names:
            trouble["zone"] = zones[names.index(trouble["zone"]) % wanted]


def troubles(site):
    """Every trouble that the site and its days name."""
    yield from site["troubles"]
    for day in site["day"]:
        yield from day.get("plan", [])
        yield from day.get("faults", [])


def set_hosts(site, wanted):
    """So many hosts over the same zones; traffic stays."""
    zones = [zone["name"] for zone in site["zones"]]
    site["machines"] = list(spread_count(zones, wanted, site["machines"][0]))


def scale_endpoints(site, factor):
    """So many times the endpoints, with as much less traffic where fewer."""
    for service in site["services"]:
        for entry in service["servers"]:
            entry["count"] = max(1, round(entry["count"] * factor))
    if factor < 1:
        scale_traffic(site, factor)


def scale_traffic(site, factor):
    for owner, key in places(site):
        for entry in owner[key]:
            entry["per_s"] *= factor


def scale_slots(site, factor):
    """So many times the places and the queue at each endpoint."""
    for service in site["services"]:
        service["slots"] = max(2, round(service["slots"] * factor))
        service["queue"] = max(2, round(service["queue"] * factor))
        if "llm" in service:
            service["llm"]["batch"] = service["slots"]


def set_organisations(site, wanted):
    site["tenants"]["count"] = wanted


def tighten(site):
    """Shorter bounds and a smaller retry budget."""
    site["bounds"] |= {"drain_ms": 1200, "config_ms": 1500, "grace_s": 6.0, "budget_slack": 30.0}


def loosen(site):
    """Longer bounds."""
    site["bounds"] |= {"drain_ms": 4000, "config_ms": 4000, "grace_s": 15.0}


def slow_store(site):
    """A store of three times the time and a quarter of the calls."""
    store = site["platform"]
    store["tx_ms"] *= 3.0
    store["writes_per_s"] /= 4.0
    store["reads_per_s"] /= 4.0


def only_weakest_hosts(site):
    """All hosts of the kind with the least processor and link."""
    weakest = min(site["machines"], key=lambda m: (m["cpu_share"], m["link_mbps"]))
    kept = ("zone", "count", "spare")
    site["machines"] = [
        weakest | {key: machine[key] for key in kept if key in machine}
        for machine in site["machines"]
    ]


def set_links(site, mbps):
    """Links of hosts that carry so many megabits a second at most."""
    for machine in site["machines"]:
        machine["link_mbps"] = min(machine["link_mbps"], mbps)


def set_cold(site, **fields):
    """Model replicas that bear so many requests a second while cold, or are cold
    for so long. A site that knows no cold replicas learns of them."""
    for service in site["services"]:
        if "llm" in service:
            service |= {"cold_s": 3.0, "cold_x": 1.0, "cold_per_s": 4.0} | {
                key: service[key] for key in ("cold_s", "cold_x", "cold_per_s") if service.get(key)
            }
            service |= fields
    site["contracts"] = list(dict.fromkeys([*site["contracts"], "health", "places"]))


def set_bounds(site, **fields):
    site["bounds"] |= fields


VARIANTS = {
    "cold-2": lambda site: set_cold(site, cold_per_s=2.0),
    "cold-4": lambda site: set_cold(site, cold_per_s=4.0),
    "cold-30": lambda site: set_cold(site, cold_per_s=30.0),
    "cold-1s": lambda site: set_cold(site, cold_per_s=4.0, cold_s=1.0),
    "cold-8s": lambda site: set_cold(site, cold_per_s=4.0, cold_s=8.0),
    "cold-slack-1": lambda site: (set_cold(site, cold_per_s=2.0), set_bounds(site, cold_slack=1.0)),
    "evacuate-2s": lambda site: (set_cold(site), set_bounds(site, evac_ms=2000)),
    "zones-2": lambda site: set_zones(site, 2),
    "zones-6": lambda site: set_zones(site, 6),
    "hosts-3": lambda site: set_hosts(site, 3),
    "hosts-5": lambda site: set_hosts(site, 5),
    "hosts-250": lambda site: set_hosts(site, 250),
    "hosts-16-cold-4": lambda site: (set_hosts(site, 16), set_cold(site, cold_per_s=4.0)),
    "hosts-250-cold-4": lambda site: (set_hosts(site, 250), set_cold(site, cold_per_s=4.0)),
    "hosts-16": lambda site: set_hosts(site, 16),
    "hosts-weakest": only_weakest_hosts,
    "links-10-mbps": lambda site: set_links(site, 10.0),
    "endpoints-half": lambda site: scale_endpoints(site, 0.5),
    "endpoints-twice": lambda site: scale_endpoints(site, 2),
    "slots-half": lambda site: scale_slots(site, 0.5),
    "slots-twice": lambda site: scale_slots(site, 2),
    "organisations-1": lambda site: set_organisations(site, 1),
    "organisations-40": lambda site: set_organisations(site, 40),
    "bounds-tight": tighten,
    "bounds-loose": loosen,
    "store-slow": slow_store,
    "traffic-third-more": lambda site: scale_traffic(site, 1.33),
    "traffic-twice": lambda site: scale_traffic(site, 2),
    "traffic-thrice": lambda site: scale_traffic(site, 3),
    "traffic-six-times": lambda site: scale_traffic(site, 6),
}


def as_toml(site):
    days = site.pop("day")
    return table(site) + "".join("\n[[day]]\n" + table(day) for day in days)


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("site", type=pathlib.Path)
    parser.add_argument("folder", type=pathlib.Path)
    parser.add_argument("--only", help="names of copies, with commas between")
    options = parser.parse_args()
    names = options.only.split(",") if options.only else list(VARIANTS)
    original = tomllib.loads(options.site.read_text())
    options.folder.mkdir(parents=True, exist_ok=True)
    for name in names:
        site = copy.deepcopy(original)
        VARIANTS[name](site)
        path = options.folder / f"{options.site.stem}-{name}.toml"
        path.write_text(as_toml(site))
        print(path)


if __name__ == "__main__":
    main()
