package conf

import (
	"errors"
	"strings"
	"testing"
	"time"
)

const validConfig = `// a director
{
  "director": {"name": "d0", "me": 0, "directors": 2, "zone": "z"},
  "listen": "127.0.0.1:0",
  "list": {"address": "127.0.0.1:1"},
  "tariffs": {
    "clip": {"goal_time": "800ms", "hard_stop": "3s"},
    "exam": {"goal_time": "1s", "hard_stop": "2s", "paid": true, "floor": 1, "seats": 2}, // paid
  },
  "ladder": {"rates": ["100kB/s", "1.6Mbit/s", "0.4MB/s"], "worth": [0.2, 0.5, 1]},
  "fleet": {"cells": 8, "racks": 2, "link_unit": "1000kB/s", "uplink": "4000kB/s", "machines": {"box": 18}},
  "ramp": {"warmup": "5s", "cold_from": 0.4, "multiple": 4, "tip_after": "1s"},
  "limits": {"nodes": {"queue": "64kB"}},
}
`

func TestValidFileIsDecoded(t *testing.T) {
	c, err := Decode("f", []byte(validConfig))
	if err != nil {
		t.Fatal(err)
	}
	if c.Ladder.Rates[1] != 200 || c.Ladder.Rates[2] != 400 || c.Tariffs[1].Name != "exam" || !c.Tariffs[1].AtMostOnce ||
		c.Tariffs[1].HardStop != 2*time.Second || c.Tariffs[0].Top != 2 || c.Ramp.MaxStreams[0] != 18 ||
		c.DrainGrace != 250*time.Millisecond || c.ConnectionLimits.Nodes.MaxQueuedBytes != 64<<10 || c.ConnectionLimits.Nodes.WriteTimeout != 100*time.Millisecond {
		t.Fatalf("%+v", c)
	}
	if c.NewDecider(1) == nil || c.NewLoop("b", 1, c.NewDecider(1)) == nil {
		t.Fatal("no decider or no loop for the configuration")
	}
}

// Each mistake in a file is reported with its line and column. Every case makes one mistake in a valid file.
func TestProblemsNameTheirPosition(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{`"zone": "z"`, `"zon": "z"`, `f:3:55: unknown key "zon"; did you mean "zone"?`},
		{`"zone": "z"`, `"zone": 5`, `f:3:63: "zone" has to be text`},
		{`"me": 0`, `"me": 2`, `f:3:36: me is 2, but there are 2 directors`},
		{`"me": 0`, `"me": 0.5`, `"me" is 0.5; it has to be a whole number`},
		{`"me": 0, `, ``, `f:3:15: "me" is missing`},
		{`"800ms"`, `"800"`, `f:7:27: "goal_time" is 800; a duration has a unit`},
		{`"800ms"`, `800`, `"goal_time" has to be a duration`},
		{`"800ms"`, `"4s"`, `f:7:27: goal_time is 4s; it has to be at most hard_stop (line 7), which is 3s`},
		{`"800ms"`, `"2000h"`, `has to lie within 1ms to 1h`},
		{`"floor": 1`, `"floor": 2, "top": 1`, `rule 5`},
		{`"floor": 1`, `"floor": 9`, `has to lie within 0 to 2`},
		{`"paid": true`, `"paid": "yes"`, `f:8:60: "paid" has to be true or false`},
		{`"1.6Mbit/s"`, `"1.6Mbps"`, `f:10:35: "rates[1]" has to be a rate`},
		{`"1.6Mbit/s"`, `"90kB/s"`, `rung 1 is not above rung 0`},
		{`0.5, 1]`, `0.5]`, `worth has 2 entries, but rates has 3`},
		{`"racks": 2`, `"racks": 9`, `there are 9 racks, but only 8 cells`},
		{`"box": 18`, ``, `there is no kind of machine`},
		{`"nodes": {"queue": "64kB"}`, `"nodes": {"write": "250ms"}`, `f:13:33: a write to a node may block for 250ms; the time has to be shorter than the drain grace`},
		{`"nodes": {"queue": "64kB"}`, `"nodes": {"queue": "64"}`, `has to be a size`},
		{`"limits"`, `"legs": {"spare": 3}, "limits"`, `"span" is missing`},
		{`"limits"`, `"manners": {"answer_ahead": "2s"}, "limits"`, `it leaves no time to set up a session`},
		{`"limits"`, `"reach": {"first": "9s"}, "limits"`, `first is 9s; it has to be at most the value of most, 5s`},
		{`"listen": "127.0.0.1:0"`, `"listen": "here"`, `f:4:13: "listen" is "here"; it has to be host:port`},
		{`"listen"`, `"director": {}, "listen"`, `f:4:3: duplicate key "director"; line 3 has it already`},
		{`"list": {`, `"list": [`, `f:5:`},
		{`"tariffs": {`, `"tariffs": 5, "x": {`, `"tariffs" has to be an object`},
	} {
		text := strings.Replace(validConfig, c.old, c.new, 1)
		if text == validConfig {
			t.Fatalf("the valid file does not contain %q", c.old)
		}
		_, err := Decode("f", []byte(text))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s:\n  got  %v\n  want %s", c.new, err, c.want)
		}
	}
}

func TestAllProblemsAreReportedInFileOrder(t *testing.T) {
	text := strings.NewReplacer(`"me": 0`, `"me": 7`, `"800ms"`, `"800"`, `"racks"`, `"rakcs"`).Replace(validConfig)
	_, err := Decode("f", []byte(text))
	problems, ok := errors.AsType[Problems](err)
	if !ok || len(problems) != 4 { // the misspelt key counts twice: as an unknown key and as a missing one
		t.Fatal(err)
	}
	for i := 1; i < len(problems); i++ {
		if problems[i].Line < problems[i-1].Line {
			t.Fatal(err)
		}
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(validConfig))
	f.Fuzz(func(t *testing.T, text []byte) {
		if c, err := Decode("f", text); (c == nil) == (err == nil) {
			t.Fatal("want a configuration or an error, and not both")
		}
	})
}
