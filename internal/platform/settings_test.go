package platform

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"fordusher/internal/director"
	_ "fordusher/internal/testseed"
	"fordusher/internal/wire"
	"fordusher/policy"
)

// drawSettings draws random platform settings: the names and number of classes, deadlines and limits. Most values may
// be left out or be 0.
func drawSettings(t *rapid.T) map[string]any {
	maybe := func(m map[string]any, key string, value any) {
		switch rapid.IntRange(0, 5).Draw(t, key) {
		case 0: // omitted
		case 1:
			switch value.(type) {
			case float64, int:
				m[key] = 0
			default:
				m[key] = nil
			}
		default:
			m[key] = value
		}
	}
	seconds := func(key string) float64 { return rapid.SampledFrom([]float64{0.05, 0.3, 0.9, 2, 8, 40}).Draw(t, key) }
	var classes []any
	var floors, tops, seats []any
	var scales []any
	rungs := rapid.IntRange(1, 5).Draw(t, "rungs")
	for i := range rapid.IntRange(1, 5).Draw(t, "classes") {
		c := map[string]any{"name": fmt.Sprintf("class-%d", i)}
		maybe(c, "target_s", seconds("target"))
		maybe(c, "give_up_s", seconds("give up"))
		maybe(c, "semantics", rapid.SampledFrom([]string{"free", "guarded", "single_shot", "other"}).Draw(t, "semantics"))
		maybe(c, "credit", rapid.Float64Range(0.1, 9).Draw(t, "credit"))
		classes = append(classes, c)
		floors = append(floors, rapid.IntRange(0, 6).Draw(t, "floor"))
		tops = append(tops, rapid.IntRange(0, 6).Draw(t, "top"))
		seats = append(seats, rapid.IntRange(0, 3).Draw(t, "seats"))
		scales = append(scales, rapid.Float64Range(0, 2).Draw(t, "scale"))
	}
	var ladder, worth, places []any
	for q := range rungs {
		ladder, worth = append(ladder, 100*(q+1)), append(worth, float64(q+1)/float64(rungs))
	}
	for range rapid.IntRange(0, 2).Draw(t, "kinds") {
		places = append(places, rapid.IntRange(1, 100).Draw(t, "places"))
	}
	family := map[string]any{"positions": rapid.IntRange(1, 6).Draw(t, "cells"), "shelves": rapid.IntRange(1, 3).Draw(t, "racks"),
		"ladder_kb": ladder, "link_unit_kb": 5000, "rack_link_kb": 40000}
	maybe(family, "floor_by_class", floors)
	maybe(family, "top_by_class", tops)
	maybe(family, "licence_cap", seats)
	maybe(family, "scale_by_class", scales)
	maybe(family, "level_worth", worth)
	maybe(family, "kind_slots", places)
	maybe(family, "told_late_s", 0.5)
	maybe(family, "told_every_s", 2.0)
	maybe(family, "refuses_from", 0.95)
	s := map[string]any{"classes": classes, "family_info": family}
	maybe(s, "flavors", []any{"box", "case"})
	maybe(s, "zones", []any{"east", "west"})
	maybe(s, "zone", "east")
	maybe(s, "balancers", rapid.IntRange(1, 300).Draw(t, "directors"))
	maybe(s, "me", rapid.IntRange(0, 3).Draw(t, "me"))
	permissions, rules := map[string]any{}, map[string]any{}
	maybe(permissions, "max_attempts", rapid.IntRange(1, 5).Draw(t, "attempts"))
	maybe(permissions, "retry_after", true)
	maybe(permissions, "max_retry_after_s", 2.0)
	maybe(permissions, "connect_timeout_s", 0.25)
	maybe(permissions, "conn_idle_s", 30.0)
	maybe(rules, "cold_from", 0.5)
	maybe(rules, "fall_multiple", 4.0)
	maybe(rules, "ramp_time_s", 5.0)
	maybe(rules, "tip_after_s", 1.0)
	maybe(rules, "spare_attempts", 2.0)
	maybe(rules, "extra_share", 0.1)
	maybe(rules, "resend_span_s", 5.0)
	maybe(s, "permissions", permissions)
	maybe(s, "rules", rules)
	return s
}

// A loopModel is the loop of one director with drawn settings, which the test steps, and a plain record of its requests
// and connections to check its outputs against.
type loopModel struct {
	*rapid.T
	loop        *director.Loop
	startConfig *StartConfig
	now         time.Duration
	requests    map[string]*modelRequest
	links       map[uint64]string
	open        map[uint64]bool
	drains      map[string]bool
	conn        uint64
	ended       bool
}

// A modelRequest is the record of one request for a session.
type modelRequest struct {
	class                    policy.Tariff
	name                     string
	deadline                 time.Duration
	answered, cancelled      bool
	legs                     int
	setupPending, mayHaveRun bool
	link                     uint64
}

// step passes an input to the loop and checks its outputs against the rules for set-ups, answers and deadlines.
func (c *loopModel) step(in director.Input) {
	outs := append([]director.Output(nil), c.loop.Step(c.now, in)...)
	closed := false
	for _, o := range outs {
		switch o := o.(type) {
		case director.Connect:
			c.links[o.Link] = o.Node
		case director.CloseLink:
			delete(c.open, o.Link)
		case director.CloseClient:
			for _, request := range c.requests {
				if !request.answered && !request.cancelled {
					c.Fatalf("the connection is closed while %s waits for its answer: %+v", request.name, o)
				}
			}
			closed = closed || o.Idle
		case director.ShutdownComplete:
			c.ended = true
		case director.SendNode:
			request := c.requests[o.Message.Session]
			if request == nil {
				continue
			}
			switch o.Message.Type {
			case wire.Setup:
				request.legs++
				if request.cancelled || request.answered || request.setupPending || request.mayHaveRun && request.class.AtMostOnce {
					c.Fatalf("%s must not be set up: %+v", request.name, *request)
				}
				if !c.open[o.Link] || c.drains[c.links[o.Link]] {
					c.Fatalf("%s is set up on link %d to %s: open %v, draining %v",
						request.name, o.Link, c.links[o.Link], c.open[o.Link], c.drains[c.links[o.Link]])
				}
				if o.Message.Rung < request.class.Floor {
					c.Fatalf("%s is set up at rung %d, below its floor %d", request.name, o.Message.Rung, request.class.Floor)
				}
				if maxLegs := max(1, c.startConfig.parsedSettings.Permissions.MaxAttempts); request.legs > maxLegs {
					c.Fatalf("%s has leg %d, at most %d are allowed", request.name, request.legs, maxLegs)
				}
				request.setupPending, request.link = true, o.Link
			case wire.End:
				request.setupPending = false
			}
		case director.SendClient:
			request := c.requests[o.Message.ID]
			if request == nil {
				continue
			}
			switch o.Message.Type {
			case wire.Playing, wire.Nack, wire.Errored:
				if request.answered || request.cancelled || c.now > request.deadline {
					c.Fatalf("%s must not be answered %s at %v: %+v", request.name, o.Message.Type, c.now, *request)
				}
				if o.Message.Type == wire.Nack && request.class.AtMostOnce && request.mayHaveRun {
					c.Fatalf("%s may have run, but the answer calls a retry harmless", request.name)
				}
				request.answered = true
			}
		}
	}
	for id, request := range c.requests {
		if !request.answered && !request.cancelled && c.now > request.deadline {
			c.Fatalf("%s has no answer at %v, after its deadline: %+v, %s", request.name, c.now, *request, id)
		}
	}
	if closed {
		c.step(director.ClientLost{Conn: c.conn})
		c.connectClient()
	}
}

// connectClient opens a new client connection.
func (c *loopModel) connectClient() {
	c.conn++
	c.step(director.ClientConnecting{Conn: c.conn})
	c.step(director.ClientAccepted{Conn: c.conn})
}

// advance lets the clock run for a duration, and calls the loop whenever a timer is due.
func (c *loopModel) advance(d time.Duration) {
	for end := c.now + d; !c.ended; {
		next := c.loop.Next()
		if next > end {
			c.now = end
			return
		}
		c.now = max(c.now, next)
		c.step(director.Tick{})
	}
}

// With any values of the settings left out or set to 0, the loop starts and keeps the rules for set-ups and answers.
func TestRandomSettingsKeepTheRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		raw, err := json.Marshal(drawSettings(t))
		if err != nil {
			t.Fatal(err)
		}
		sockets := rapid.SampledFrom([]int{0, 64, 256, 1024}).Draw(t, "sockets")
		var targets []target
		for i := range 4 {
			targets = append(targets, target{ID: nodeName(uint32(i)), Endpoint: fmt.Sprintf("127.0.0.1:%d", 1000+i), Zone: "east",
				Kind: "box", Cell: i, State: "ready", Weight: float64(i)})
		}
		nodes, _ := json.Marshal(targets)
		startConfig, err := parseStartConfig(fmt.Appendf(nil, `{"name":"n","listen":"127.0.0.1:0","seed":"1","board":"127.0.0.1:1",
 "limits":{"sockets":%d},"settings":%s,"known":{"rev":1,"notices":[{"rev":1,"pool":{"all":true,"targets":%s}}]}}`, sockets, raw, nodes))
		if err != nil {
			t.Fatalf("%s: %v", raw, err)
		}
		config := startConfig.Config(time.Now())
		c := &loopModel{T: t, startConfig: startConfig, requests: map[string]*modelRequest{}, links: map[uint64]string{},
			open: map[uint64]bool{}, drains: map[string]bool{}, loop: config.NewLoop("b", 1, startConfig.NewDecider(1))}
		c.step(director.DiscoveryReceived{Message: wire.DiscoveryMessage{Type: wire.Snapshot, Nodes: config.Nodes}})
		c.connectClient()
		classes := startConfig.parsedSettings.Tariffs()
		protocol := NewProtocol(startConfig, config, time.Now)
		for step := range rapid.IntRange(1, 80).Draw(t, "steps") {
			c.advance(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			var ids []string
			for id, request := range c.requests {
				if request.setupPending {
					ids = append(ids, id)
				}
			}
			switch action := rapid.IntRange(0, 9).Draw(t, "action"); {
			case action < 4:
				k := rapid.IntRange(0, len(classes)-1).Draw(t, "class")
				wait := rapid.SampledFrom([]int{30, 200, 900, 3000, 60000}).Draw(t, "wait")
				raw := setupMessage(uint64(step+1), map[byte]string{codeClass: fmt.Sprintf("class-%d", k), codeWait: fmt.Sprint(wait),
					codePlacement: fmt.Sprintf("home:%d;copies:1;top:2",
						rapid.IntRange(0, startConfig.parsedSettings.Family.Cells-1).Draw(t, "home"))})
				in, _, err := protocol.DecodeClient(raw)
				if err != nil {
					t.Fatal(err)
				}
				in.Conn = c.conn
				timeout := min(time.Duration(wait)*time.Millisecond, classes[k].HardStop)
				c.requests[in.Message.ID] = &modelRequest{class: classes[k], name: fmt.Sprintf("session %d of class %d", step+1, k),
					deadline: c.now + timeout}
				c.step(in)
			case action < 6: // a connection is made or fails
				for link, node := range c.links {
					if c.open[link] {
						continue
					}
					if action == 4 {
						c.open[link] = true
						c.step(director.LinkConnected{Node: node, Link: link})
					} else {
						delete(c.links, link)
						c.step(director.LinkFailed{Node: node, Link: link, Refused: true})
					}
					break
				}
			case action < 8 && len(ids) > 0:
				id := rapid.SampledFrom(ids).Draw(t, "answered")
				request := c.requests[id]
				kind := rapid.SampledFrom([]string{wire.Accepted, wire.Full, wire.Failed}).Draw(t, "kind")
				request.setupPending, request.mayHaveRun = false, request.mayHaveRun || kind != wire.Full
				c.step(director.LinkReceived{Link: request.link, Message: wire.NodeMessage{Type: kind, Session: id}})
			case action == 8 && len(ids) > 0:
				id := rapid.SampledFrom(ids).Draw(t, "cancelled")
				c.requests[id].cancelled = true
				c.step(director.ClientReceived{Conn: c.conn, Message: wire.SessionMessage{Type: wire.Cancel, ID: id},
					Details: &director.RequestDetails{}})
			case action == 9:
				i := rapid.IntRange(0, 3).Draw(t, "node")
				c.drains[nodeName(uint32(i))] = true
				e := targets[i].entry(time.Now())
				e.State = wire.Draining
				c.step(director.DiscoveryReceived{Message: wire.DiscoveryMessage{Type: wire.Update, Nodes: []wire.NodeEntry{e}}})
			}
		}
		// After Stop every pending request is answered, and the director ends by itself before the platform kills it.
		stoppedAt := c.now
		c.step(director.Stop{})
		c.advance(startConfig.maxHardStop() + killAfter)
		if !c.ended || c.now > stoppedAt+startConfig.maxHardStop()+killAfter {
			t.Fatalf("the director has not ended %v after Stop; it is killed after %v",
				c.now-stoppedAt, startConfig.maxHardStop()+killAfter)
		}
		for _, request := range c.requests {
			if !request.answered && !request.cancelled {
				t.Fatalf("%s was never answered", request.name)
			}
		}
	})
}

// The error for an invalid setting names its key, on one line.
func TestInvalidSettingsAreReported(t *testing.T) {
	for want, change := range map[string][2]string{
		"classes: number 1 has no name":              {`"name":"exam"`, `"name":""`},
		`classes: "clip" is there twice`:             {`"name":"exam"`, `"name":"clip"`},
		"ladder_kb: rung 1 is 50":                    {`[100,200]`, `[100,50]`},
		"ladder_kb: rung 0 is 0":                     {`[100,200]`, `[0,50]`},
		"family_info: positions is 0":                {`"positions":4`, `"positions":0`},
		"family_info: link_unit_kb is -1":            {`"link_unit_kb":10000`, `"link_unit_kb":-1`},
		"permissions: connect_timeout_s is -0.5":     {`"connect_timeout_s":0.5`, `"connect_timeout_s":-0.5`},
		"permissions: max_attempts is -4":            {`"max_attempts":4`, `"max_attempts":-4`},
		"classes: exam: give_up_s is 1e+12":          {`"give_up_s":2,"semantics":"single_shot"`, `"give_up_s":1e12,"semantics":"single_shot"`},
		"rules: ramp_time_s is -0.1":                 {`"ramp_time_s":0.1`, `"ramp_time_s":-0.1`},
		"cannot unmarshal string into Go struct fie": {`"positions":4`, `"positions":"4"`},
	} {
		text := strings.Replace(testSettings, change[0], change[1], 1)
		if text == testSettings {
			t.Fatalf("testSettings do not contain %s", change[0])
		}
		_, err := parseStartConfig([]byte(`{"settings":` + text + `}`))
		if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("want an error with %q on one line, got %v", want, err)
		}
	}
	if _, err := parseStartConfig([]byte(`{"limits":{"sockets":-1},"settings":` + testSettings + `}`)); err == nil ||
		!strings.Contains(err.Error(), "sockets is -1") {
		t.Error(err)
	}
}

// The clients of a node whose machine vanishes have to be notified within 8 s. Guards against settings with which the
// director notices the silence too late to do so.
func TestSilenceIsNoticedInTime(t *testing.T) {
	for _, told := range []float64{0, 0.5, 2, 5, 30, 600} {
		for _, connect := range []float64{0.1, 0.5, 1} {
			settings := strings.Replace(testSettings, `"told_every_s":30`, fmt.Sprintf(`"told_every_s":%g`, told), 1)
			settings = strings.Replace(settings, `"connect_timeout_s":0.5`, fmt.Sprintf(`"connect_timeout_s":%g`, connect), 1)
			start, err := parseStartConfig(fmt.Appendf(nil, `{"name":"n","listen":"127.0.0.1:0","settings":%s}`, settings))
			if err != nil {
				t.Fatal(err)
			}
			config := start.Config(time.Now())
			policy := config.ReconnectPolicy
			if notice := policy.SilenceLimit() + policy.TimeToDead(config.ProtocolOptions.ConnectTimeout); notice > 7500*time.Millisecond ||
				policy.SilenceLimit() <= 0 {
				t.Errorf("told_every_s %g, connect_timeout_s %g: noticed after %v of silence, dead after %v", told, connect,
					policy.SilenceLimit(), notice)
			}
		}
	}
}
