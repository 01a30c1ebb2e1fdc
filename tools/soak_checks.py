"""The checks of the soak. They judge only what callers, upstreams and the operator see, and how processes end."""

import bisect
import collections
from array import array

KEYS = 65536
STOP_LIMIT_S = 6.0  # grace_period of the settings
OBSERVATION_S = 0.25  # interval and delay of the soak's own observations
ACCEPT_LIMIT_S = 3.0
CONFIG_APPLY_S = 2.0  # a read later than this after an acknowledgement is current
RECOVERY_S = 15.0
RECOVERED_SHARE = 0.9
THAW_SLACK_S = 0.3  # grants so soon after their sender resumed do not count
MEMORY_LIMIT_MB = {"entry": 260, "control": 256}
REFUSALS = (408, 421, 429, 503)
NAMES = ("ended", "accepting", "stop", "twice", "owner", "answer", "refused", "config", "recovery", "memory")


class Holds:
    """Which keys one incarnation of an upstream holds, since when, and until when."""

    def __init__(self):
        self.fence = array("q", [-1]) * KEYS
        self.since = array("d", [0.0]) * KEYS
        self.until = array("d", [0.0]) * KEYS  # end of the hold for new work
        self.lease = array("d", [0.0]) * KEYS  # end of the hold for work that runs; a release does not change it
        self.last_run = {}

    def grant(self, first, last, fence, until, now):
        """Returns False if one of the keys was granted with a higher fence before."""
        if max(self.fence[first:last + 1]) > fence:
            return False
        for key in range(first, last + 1):
            if self.until[key] <= now:
                self.since[key] = now
        size = last + 1 - first
        self.fence[first:last + 1] = array("q", [fence]) * size
        self.until[first:last + 1] = self.lease[first:last + 1] = array("d", [until]) * size
        return True

    def release(self, first, last, fence, now):
        for key in range(first, last + 1):
            if self.fence[key] <= fence:
                self.fence[key] = fence
                self.until[key] = min(self.until[key], now)


class Checker:
    def __init__(self, clock):
        self.clock = clock
        self.failures = []
        self.made = collections.Counter()
        self.excused = collections.Counter()
        self.holds = {}  # live incarnations of upstreams with keys
        self.requests = {}  # id -> whether it may run once at most
        self.traces = collections.defaultdict(list)  # id -> what happened to it
        self.runs = collections.Counter()
        self.refused = set()
        self.running = collections.defaultdict(collections.Counter)  # key -> incarnations that run requests on it
        self.thaws = []
        self.configurations = {}  # version -> content
        self.acknowledged = [(0.0, 0)]  # time, highest acknowledged version so far
        self.failing_since = {}
        self.reported = set()

    def fail(self, check, text):
        self.failures.append((round(self.clock(), 3), check, text))
        print(f"{self.clock():8.3f} FAILED {check}: {text}", flush=True)

    def process_ended(self, name, code, killed, term_age, detail=""):
        if killed:
            return
        if term_age is None:
            self.made["ended"] += 1
            self.fail("ended", f"{name} ended by itself with {code}; {detail}")
            return
        self.made["stop"] += 1
        if code != 0 or term_age > STOP_LIMIT_S + OBSERVATION_S:
            self.fail("stop", f"{name} ended with {code}, {term_age:.2f} s after SIGTERM; {detail}")

    def still_running(self, name, term_age):
        """Returns True if the process has exceeded the time that it has after SIGTERM."""
        if term_age <= STOP_LIMIT_S + OBSERVATION_S:
            return False
        self.made["stop"] += 1
        self.fail("stop", f"{name} still runs {term_age:.2f} s after SIGTERM")
        return True

    def alive(self):
        self.made["ended"] += 1

    def accepts(self, name, ready, answered, disturbed):
        self.made["accepting"] += 1
        if answered or not ready or disturbed:
            self.failing_since.pop(name, None)
            return
        since = self.failing_since.setdefault(name, self.clock())
        if self.clock() - since > ACCEPT_LIMIT_S and ("accepting", name, since) not in self.reported:
            self.reported.add(("accepting", name, since))
            self.fail("accepting", f"{name} says that it is ready and has answered no new connection for "
                                   f"{self.clock() - since:.1f} s")

    def memory(self, name, role, peak_mb):
        self.made["memory"] += 1
        if peak_mb >= MEMORY_LIMIT_MB[role] and ("memory", name) not in self.reported:
            self.reported.add(("memory", name))
            self.fail("memory", f"{name} has used {peak_mb:.0f} MB of {MEMORY_LIMIT_MB[role]} MB")

    def sent(self, request, once):
        self.requests[request] = once

    def answered(self, request, status, headers, body):
        """Checks an answer that a caller got for the request."""
        self.made["answer"] += 1
        if headers.get("x-request-id", request) != request:
            self.fail("answer", f"{request} was answered with the id {headers['x-request-id']}")
        if 200 <= status < 300 and (headers.get("x-response-signature") != f"signed-{request}-{len(body)}"
                                    or not body.startswith(request.encode() + b":")):
            self.fail("answer", f"{request} got a {status} with another body or signature: {body[:40]!r}")
        if status in REFUSALS:
            self.made["refused"] += 1
            self.refused.add(request)
            if self.runs[request]:
                self.fail("refused", f"{self._trace(request)} was answered {status} after it had run")

    def run_started(self, request, upstream, key=None):
        now = self.clock()
        self.made["twice"] += 1
        self.runs[request] += 1
        self.traces[request].append(f"ran at {upstream} from {now:.3f}")
        if request not in self.requests:
            self.fail("twice", f"{upstream} runs {request}, which no caller sent")
        elif self.requests[request] and self.runs[request] > 1:
            self.fail("twice", f"{request} runs for the {self.runs[request]}. time, now at {upstream}")
        if request in self.refused:
            self.fail("refused", f"{request} runs at {upstream} after it was refused")
        if key is None:
            return
        self.made["owner"] += 1
        mine = self.holds[upstream]
        for name, other in self.holds.items():
            if name == upstream:
                continue
            overlap = max(mine.since[key], other.since[key])
            works = self.running[key][name] and other.lease[key] > now
            if works or other.until[key] > now and other.last_run.get(key, -1.0) >= overlap:
                self._judge_overlap(f"{upstream} and {name} hold key {key} and run requests on it", overlap)
        mine.last_run[key] = now
        self.running[key][upstream] += 1

    def _judge_overlap(self, text, overlap):
        if any(thaw <= overlap <= thaw + THAW_SLACK_S for thaw in self.thaws):
            self.excused["owner"] += 1
        else:
            self.fail("owner", text)

    def _trace(self, request):
        once = "at-most-once" if self.requests[request] else "repeatable"
        return f"{once} request {request} ({', '.join(self.traces[request])})"

    def run_ended(self, request, status, upstream, key=None):
        self.traces[request].append(f"ended at {upstream} with {status} at {self.clock():.3f}")
        if key is not None:
            self.running[key][upstream] -= 1

    def acknowledged_configuration(self, version):
        self.acknowledged.append((self.clock(), max(version, self.acknowledged[-1][1])))

    def required_version(self, read_sent):
        n = bisect.bisect_right(self.acknowledged, (read_sent - CONFIG_APPLY_S, float("inf")))
        return self.acknowledged[max(0, n - 1)][1]

    def read_configuration(self, where, version, content, read_sent):
        self.made["config"] += 1
        if version < self.required_version(read_sent):
            self.fail("config", f"{where} answers with version {version}; {self.required_version(read_sent)} was "
                                f"acknowledged over {CONFIG_APPLY_S} s before")
        if version and self.configurations.get(version) != content:
            self.fail("config", f"{where} answers with another content for version {version}")

    def recovered(self, seconds, detail):
        self.made["recovery"] += 1
        if seconds is None or seconds > RECOVERY_S:
            self.fail("recovery", f"service is not back {RECOVERY_S:.0f} s after the faults: {detail}")
