"""Draws the plan of faults of a run from its seed."""

import json
import random

# Kind and weight.
KINDS = {"hup": 3, "early_hup": 2, "term": 3, "beside": 2, "kill": 3, "control_loss": 2, "pause": 4, "settings": 3,
         "port": 2, "output": 2, "descriptors": 1, "file_size": 2, "reset": 2, "abandon": 2, "configs": 2,
         "upstream": 4}
OPTIONS = ("seed", "seconds", "entries", "upstreams")  # of the run, written with its plan
RESTARTS = ("early_hup", "term", "beside", "kill", "control_loss", "port")
RESTART_S = 8.0  # a machine is not restarted again within this time: its former process may take 6 s to stop
MEAN_GAP_S = 0.6


def draw(seed, seconds, entries, controls, upstreams, kinds):
    rng = random.Random(seed)
    free_at = dict.fromkeys([*entries, *controls], 0.0)
    plan, at = [], 0.0
    while True:
        at += rng.expovariate(1 / MEAN_GAP_S)
        if at >= seconds:
            return plan
        kind = rng.choices(kinds, [KINDS[it] for it in kinds])[0]
        fault = {"at": round(at, 3), "kind": kind, **_draw_details(rng, kind, entries, controls, upstreams)}
        if kind in RESTARTS or fault.get("restart"):
            fault["on"] = [it for it in fault["on"] if free_at[it] <= at]
            free_at.update(dict.fromkeys(fault["on"], at + RESTART_S))
        if fault.get("on", True):
            plan.append(fault)


def _draw_details(rng, kind, entries, controls, upstreams):
    machines = [*entries, *controls]
    seconds = round(rng.uniform(0.3, 3), 2)
    if kind in ("hup", "early_hup"):
        return {"on": rng.sample(machines, rng.randint(1, 4)), "count": rng.randint(1, 40),
                "gap": round(rng.uniform(0, 0.02), 4)}
    if kind in ("term", "kill"):
        return {"on": rng.sample(machines, rng.randint(1, 3)), "seconds": round(rng.uniform(0, 2), 2)}
    if kind == "beside":
        return {"on": rng.sample(machines, 1)}
    if kind == "control_loss":
        return {"on": rng.sample(controls, rng.choice([len(controls) // 2 + 1, len(controls)])), "seconds": seconds}
    if kind == "pause":
        return {"on": rng.sample(machines, rng.randint(1, 2)), "seconds": round(rng.uniform(0.1, 6), 2)}
    if kind == "settings":
        return {"on": rng.sample(machines, rng.randint(1, 3)), "how": rng.choice(["replaced", "half", "invalid"]),
                "seconds": seconds}
    if kind == "port":
        return {"on": rng.sample(machines, 1), "which": rng.randrange(4), "seconds": seconds}
    if kind == "output":
        return {"on": rng.sample(machines, 1), "how": rng.choice(["unread", "closed", "full"]), "seconds": seconds,
                "restart": True}
    if kind == "descriptors":
        return {"on": rng.sample(machines, 1), "connections": 4300, "seconds": seconds}
    if kind == "file_size":
        return {"on": rng.sample(controls, 1), "limit": rng.choice([1, 4096, 65536]), "seconds": seconds}
    if kind in ("reset", "abandon"):
        return {"share": round(rng.uniform(0.1, 0.6), 2), "seconds": seconds}
    if kind == "configs":
        return {"count": rng.randint(3, 10), "gap": round(rng.uniform(0, 0.1), 3), "invalid": rng.random() < 0.3}
    return {"upstreams": rng.sample(upstreams, rng.randint(1, 3)), "how": rng.choice(["leave", "crash", "freeze"]),
            "same_id": rng.random() < 0.3, "seconds": round(rng.uniform(0.5, 6), 2)}


def load(path):
    """Raises OSError or ValueError if the file is no plan."""
    with open(path, encoding="utf-8") as file:
        run = json.load(file)
    if not isinstance(run, dict) or not isinstance(run.get("faults"), list):
        raise ValueError("needs a list of faults")
    for name in OPTIONS:
        if not isinstance(run.get(name), int):
            raise ValueError(f"needs the number {name}")
    for n, it in enumerate(run["faults"]):
        if not isinstance(it, dict) or it.get("kind") not in KINDS or not isinstance(it.get("at"), (int, float)):
            raise ValueError(f"fault {n} needs a known kind and a time")
        missing = _draw_details(random.Random(0), it["kind"], *[["a", "b", "c", "d"]] * 3).keys() - it.keys()
        if missing:
            raise ValueError(f"fault {n} needs {', '.join(sorted(missing))}")
    return run


def save(path, options, faults):
    with open(path, "w", encoding="utf-8") as file:
        run = "".join(f'"{name}": {getattr(options, name)}, ' for name in OPTIONS)
        lines = ",\n ".join(json.dumps(it) for it in faults)
        file.write(f'{{{run}"faults": [\n {lines}\n]}}\n')
