package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Imports a configuration, imports a changed version of it with a plan of the change, and applies the plan during a day
// with running directors and clients. Guards against a plan that makes directors violate a rule, also where servers of
// weight 0 drain, and against wrong messages and exit codes for plans and input that can't be used.
func TestImportedNodesRunAndPlanIsApplied(t *testing.T) {
	dir := t.TempDir()
	path := func(name string) string { return filepath.Join(dir, name) }
	const first = "defaults\n timeout connect 400ms\nlisten l\n bind 127.0.0.1:18080\n default-server maxconn 200 slowstart 500ms\n" +
		" server a 10.0.0.1:1\n server b 10.0.0.2:1\n server c 10.0.0.3:1 weight 0\n server d 10.0.0.4:1\n"
	const second = "defaults\n timeout connect 400ms\nlisten l\n bind 127.0.0.1:18080\n default-server maxconn 200 slowstart 500ms\n" +
		" server a 10.0.0.1:1 weight 0\n server b 10.0.0.2:1 weight 2\n server c 10.0.0.3:1\n server e 10.0.0.5:1\n"
	const overlay = `{"director": {"name": "d", "me": 0, "directors": 1}, "tariffs": {"clip": {"goal_time": "800ms", "hard_stop": "3s"},
		"exam": {"goal_time": "1s", "hard_stop": "2s", "paid": true}}, "ladder": {"rates": ["172kB/s", "347kB/s", "703kB/s"]},
		"fleet": {"cells": 4, "racks": 2, "link_unit": "60MB/s", "uplink": "200MB/s"}, "ramp": {"cold_from": 0.5, "multiple": 4, "tip_after": "500ms"},
		"titles": {"t": {"base": 0, "copies": 4}, "u": {"base": 0, "copies": 2}},
		"servers": {"l/*": {"cell_from": 0}, "l/e": {"cell": 3}}}`
	for name, text := range map[string]string{"1.cfg": first, "2.cfg": second, "with.jsonc": overlay,
		"day.jsonc": `{"length": "7s", "requests": 400, "directors": 2, "viewers": {"mean_length": "500ms"}}`} {
		if err := os.WriteFile(path(name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if code, out, errs := program(t, "import", "haproxy", path("1.cfg"), "--with", path("with.jsonc"), "-o", path("1.json"), "--report", path("1.txt")); code != 0 || !strings.Contains(out, "4 nodes") {
		t.Fatal(code, out, errs)
	}
	if code, out, errs := program(t, "check", path("1.json")); code != 0 {
		t.Fatal(code, out, errs)
	}
	code, out, errs := program(t, "import", "haproxy", path("2.cfg"), "--with", path("with.jsonc"), "-o", path("2.json"), "--against",
		path("1.json"), "--plan", path("plan.jsonl"), "--plan-drain", "1s", "--plan-notice", "200ms", "--json")
	var report struct {
		Changes []struct{ Node, What string }
		Lines   []struct{ Line int }
	}
	if code != 0 || json.Unmarshal([]byte(out), &report) != nil || len(report.Changes) < 4 || len(report.Lines) != strings.Count(second, "\n") {
		t.Fatal(code, out, errs)
	}
	code, out, errs = program(t, "day", "--script", path("day.jsonc"), "--conf", path("1.json"), "--plan", path("plan.jsonl"), "--json")
	if code != 0 {
		t.Fatal(code, out, errs)
	}
	for _, want := range []string{"the list: e up", "the list: a draining", "the list: d removed", "the list: c up"} {
		if !strings.Contains(errs, want) {
			t.Errorf("%q is missing in the output\n%s", want, errs)
		}
	}
	// Both nodes that hold a title drain, so there is no plan, and the error names the reason.
	noHolder := strings.Replace(second, "server b 10.0.0.2:1 weight 2", "server b 10.0.0.2:1 weight 0", 1)
	os.WriteFile(path("3.cfg"), []byte(noHolder), 0o600)
	if code, _, errs := program(t, "import", "haproxy", path("3.cfg"), "--with", path("with.jsonc"), "--against", path("1.json"), "--plan", path("no.jsonl")); code != exitFailure ||
		!strings.Contains(errs, "title u: no holder of it is up") {
		t.Error(code, errs)
	}
	os.WriteFile(path("bad.jsonl"), []byte("{\"at\": \"1s\", \"entry\": {\"node\": \"a\", \"state\": \"sideways\"}}\n"), 0o600)
	if code, _, errs := program(t, "day", "--conf", path("1.json"), "--plan", path("bad.jsonl")); code != exitInvalidInput || !strings.Contains(errs, "bad.jsonl:1:") {
		t.Error(code, errs)
	}
	if code, _, errs := program(t, "import", "haproxy", path("none.cfg")); code != exitInvalidInput || !strings.Contains(errs, "none.cfg") {
		t.Error(code, errs)
	}
	os.WriteFile(path("torn.cfg"), []byte("global\n log 'never\n"), 0o600)
	if code, _, errs := program(t, "import", "haproxy", path("torn.cfg")); code != exitInvalidInput || !strings.Contains(errs, "torn.cfg:2:6:") {
		t.Error(code, errs)
	}
}
