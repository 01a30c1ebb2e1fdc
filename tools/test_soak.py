"""Tests of the soak's own checks: each accepts a sound run and reports a broken one."""

import argparse
import os
import subprocess
import sys
import tempfile
import unittest

import soak_checks
import soak_plan
from soak_machines import render

HERE = os.path.dirname(os.path.abspath(__file__))


class CheckerTest(unittest.TestCase):
    def setUp(self):
        self.now = 100.0
        self.checker = soak_checks.Checker(lambda: self.now)
        for name in ("u1", "u2"):
            self.checker.holds[name] = soak_checks.Holds()
        for n in range(10):
            self.checker.sent(f"r{n}", once=True)

    def assert_failed(self, *checks):
        self.assertEqual([it[1] for it in self.checker.failures], list(checks))

    def grant(self, name, first, last, fence, seconds=9.0):
        return self.checker.holds[name].grant(first, last, fence, self.now + seconds, self.now)

    def run_request(self, request, name, key, seconds=0.1):
        self.checker.run_started(request, name, key)
        self.now += seconds
        self.checker.run_ended(request, 200, name, key)

    def answer(self, request, status=200, body=None, **headers):
        body = f"{request}:u1:".encode() if body is None else body
        self.checker.answered(request, status, {"x-request-id": request,
                                                "x-response-signature": f"signed-{request}-{len(body)}", **headers},
                              body)


class ProcessEnds(CheckerTest):
    def test_a_killed_process_and_a_clean_stop_are_expected(self):
        self.checker.process_ended("entry-1", -9, True, None)
        self.checker.process_ended("entry-1", 0, False, 5.9)
        self.assert_failed()

    def test_a_process_that_ends_by_itself_is_reported(self):
        self.checker.process_ended("entry-1", 1, False, None)
        self.assert_failed("ended")

    def test_a_process_that_ends_by_itself_with_0_is_reported(self):
        self.checker.process_ended("entry-1", 0, False, None)
        self.assert_failed("ended")

    def test_a_stop_with_another_code_is_reported(self):
        self.checker.process_ended("entry-1", -15, False, 0.1)
        self.assert_failed("stop")

    def test_a_late_stop_is_reported(self):
        self.checker.process_ended("entry-1", 0, False, 6.5)
        self.assert_failed("stop")

    def test_a_process_that_does_not_stop_is_reported(self):
        self.assertFalse(self.checker.still_running("entry-1", 6.0))
        self.assertTrue(self.checker.still_running("entry-1", 6.5))
        self.assert_failed("stop")


class Accepting(CheckerTest):
    def probe(self, seconds, ready=True, answered=False, disturbed=False):
        for _ in range(int(seconds / 0.5)):
            self.checker.accepts("entry-1", ready, answered, disturbed)
            self.now += 0.5

    def test_a_silent_process_that_is_ready_is_reported_once(self):
        self.probe(6)
        self.assert_failed("accepting")

    def test_a_short_silence_is_allowed(self):
        self.probe(2.5)
        self.probe(0.5, answered=True)
        self.probe(2.5)
        self.assert_failed()

    def test_a_process_that_is_not_ready_or_is_disturbed_is_not_judged(self):
        self.probe(6, ready=False)
        self.probe(6, disturbed=True)
        self.assert_failed()


class Runs(CheckerTest):
    def test_one_run_of_each_is_expected(self):
        self.grant("u1", 0, 99, 1)
        self.run_request("r1", "u1", 5)
        self.run_request("r2", "u1", 5)
        self.assert_failed()

    def test_a_second_run_is_reported(self):
        self.checker.run_started("r1", "u1")
        self.checker.run_started("r1", "u2")
        self.assert_failed("twice")

    def test_a_repeatable_request_may_run_again(self):
        self.checker.sent("lookup", once=False)
        self.checker.run_started("lookup", "u1")
        self.checker.run_started("lookup", "u2")
        self.assert_failed()

    def test_a_request_that_nobody_sent_is_reported(self):
        self.checker.run_started("stray", "u1")
        self.assert_failed("twice")


class Owners(CheckerTest):
    def test_runs_by_two_holders_are_reported(self):
        self.grant("u1", 0, 99, 1)
        self.grant("u2", 50, 60, 2)
        self.run_request("r1", "u1", 55)
        self.run_request("r2", "u2", 55)
        self.assert_failed("owner")

    def test_a_run_that_goes_on_after_a_release_counts_until_the_lease_ends(self):
        self.grant("u1", 0, 99, 1)
        self.checker.run_started("r1", "u1", 5)
        self.checker.holds["u1"].release(0, 99, 1, self.now)
        self.grant("u2", 0, 99, 2)
        self.checker.run_started("r2", "u2", 5)
        self.assert_failed("owner")

    def test_a_key_may_move_after_a_release_or_the_end_of_the_lease(self):
        self.grant("u1", 0, 99, 1)
        self.run_request("r1", "u1", 5)
        self.checker.holds["u1"].release(0, 49, 1, self.now)
        self.grant("u2", 0, 49, 2)
        self.run_request("r2", "u2", 5)
        self.run_request("r3", "u1", 60)
        self.now += 10
        self.grant("u2", 50, 99, 3)
        self.run_request("r4", "u2", 60)
        self.assert_failed()

    def test_grants_right_after_a_pause_of_their_sender_are_counted_apart(self):
        self.checker.thaws.append(self.now - 0.1)
        self.test_overlap()
        self.assert_failed()
        self.assertEqual(self.checker.excused["owner"], 1)

    def test_overlap(self):
        self.grant("u1", 0, 99, 1)
        self.grant("u2", 0, 99, 2)
        self.run_request("r1", "u1", 5)
        self.run_request("r2", "u2", 5)
        self.assertEqual(len(self.checker.failures) + self.checker.excused["owner"], 1)

    def test_a_lower_epoch_is_refused(self):
        self.assertTrue(self.grant("u1", 0, 99, 5))
        self.assertFalse(self.grant("u1", 99, 120, 4))
        self.assertTrue(self.grant("u1", 100, 120, 4))


class Answers(CheckerTest):
    def test_the_answer_of_the_request_is_expected(self):
        self.answer("r1")
        self.answer("r2", 502, b"")
        self.assert_failed()

    def test_the_id_of_another_request_is_reported(self):
        self.answer("r1", **{"x-request-id": "r2"})
        self.assert_failed("answer")

    def test_the_body_of_another_request_is_reported(self):
        self.answer("r1", body=b"r2:u1:")
        self.assert_failed("answer")

    def test_a_body_that_was_cut_is_reported(self):
        self.answer("r1", body=b"r1:u", **{"x-response-signature": "signed-r1-6"})
        self.assert_failed("answer")

    def test_a_refusal_after_the_run_is_reported(self):
        self.checker.run_started("r1", "u1")
        self.answer("r1", 503)
        self.assert_failed("refused")

    def test_a_run_after_the_refusal_is_reported(self):
        self.answer("r1", 429)
        self.checker.run_started("r1", "u1")
        self.assert_failed("refused")


class Configurations(CheckerTest):
    def setUp(self):
        super().setUp()
        for version in (1, 2):
            self.checker.configurations[version] = {"n": version}
        self.checker.acknowledged_configuration(1)
        self.now += 10
        self.checker.acknowledged_configuration(2)

    def test_an_older_version_is_reported_once_it_must_be_known(self):
        self.checker.read_configuration("c", 1, {"n": 1}, self.now + 1.9)
        self.assert_failed()
        self.checker.read_configuration("c", 1, {"n": 1}, self.now + 2.1)
        self.assert_failed("config")

    def test_a_late_acknowledgement_of_an_older_version_requires_nothing(self):
        self.checker.acknowledged_configuration(1)
        self.assertEqual(self.checker.required_version(self.now + 3), 2)

    def test_other_content_is_reported(self):
        self.checker.read_configuration("c", 2, {"n": 3}, self.now)
        self.assert_failed("config")

    def test_a_version_that_was_never_accepted_is_reported(self):
        self.checker.read_configuration("c", 3, {"n": 3}, self.now)
        self.assert_failed("config")


class RecoveryAndMemory(CheckerTest):
    def test_service_must_be_back_in_time(self):
        self.checker.recovered(14.9, "")
        self.assert_failed()
        self.checker.recovered(None, "")
        self.assert_failed("recovery")

    def test_memory_must_stay_below_the_limit_of_the_machine(self):
        self.checker.memory("entry-1", "entry", 259)
        self.checker.memory("control-1", "control", 255)
        self.assert_failed()
        self.checker.memory("control-1", "control", 256)
        self.assert_failed("memory")


class Plans(unittest.TestCase):
    def draw(self, seed, kinds=tuple(soak_plan.KINDS)):
        return soak_plan.draw(seed, 60, ["e1", "e2", "e3"], ["c1", "c2", "c3"], ["u1", "u2", "u3"], list(kinds))

    def test_a_seed_gives_the_same_plan_again(self):
        self.assertEqual(self.draw(5), self.draw(5))
        self.assertNotEqual(self.draw(5), self.draw(6))

    def test_kinds_that_are_left_out_do_not_occur(self):
        self.assertEqual({it["kind"] for it in self.draw(5, ["kill", "pause"])}, {"kill", "pause"})

    def test_a_plan_is_read_as_it_was_written(self):
        with tempfile.TemporaryDirectory() as folder:
            path = os.path.join(folder, "plan.json")
            run = {"seed": 5, "seconds": 60, "entries": 3, "upstreams": 3}
            soak_plan.save(path, argparse.Namespace(**run), self.draw(5))
            self.assertEqual(soak_plan.load(path), {**run, "faults": self.draw(5)})
            for fault, problem in (({"kind": "flood", "at": 1}, "fault 0 needs a known kind"),
                                   ({"kind": "kill", "at": 1, "seconds": 1}, "fault 0 needs on")):
                soak_plan.save(path, argparse.Namespace(**run), [fault])
                self.assertRaisesRegex(ValueError, problem, soak_plan.load, path)


class Settings(unittest.TestCase):
    def test_the_template_is_filled_in(self):
        text = "a = {{x.1}}\n{{#y.b}}b = {{y.b|json}}\n{{/y.b}}{{#z}}z = {{z}}\n{{/z}}"
        self.assertEqual(render(text, {"x": [1, 2], "y": {"b": "c"}, "z": None}), 'a = 2\nb = "c"\n')


class Options(unittest.TestCase):
    def test_a_bad_option_is_named_and_starts_nothing(self):
        for arguments, problem in ((["--seed", "x"], "--seed"), (["--without", "rain"], "no kind of fault"),
                                   (["--plan", "/nonexistent"], "/nonexistent"), (["--seconds", "0"], "--seconds"),
                                   (["--only", "kill", "--without", "kill"], "leave no kind"),
                                   (["--binary", "/nonexistent"], "is no program")):
            run = subprocess.run([sys.executable, os.path.join(HERE, "soak.py"), *arguments], capture_output=True,
                                 text=True, timeout=20, check=False)
            self.assertEqual(run.returncode, 2, run.stderr)
            self.assertIn(problem, run.stderr)


if __name__ == "__main__":
    unittest.main()
