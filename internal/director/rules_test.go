package director

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"fordusher/internal/wire"
)

// A checker watches what a loop does and keeps books of its own: it looks at inputs and outputs only.
type checker struct {
	*rapid.T
	stage    *stage
	wants    map[string]*asked // by connection and id
	order    []*asked
	legs     map[uint64]*flight // by the director's number
	draining map[string]bool
	up       map[string]bool // connected
	conns    []uint64
	lastConn uint64
	lastID   int
}

type asked struct {
	conn    uint64
	id      string
	tariff  string
	stop    time.Duration
	answers int
	excused bool
	again   int // repetitions after the answer
}

type flight struct {
	link    uint64
	node    string
	session string
	tariff  string
	over    bool // the director has heard its end, or has called it off
	never   bool // it provably never ran
	plays   bool
}

func (c *checker) do(in Input) {
	before := len(c.stage.all)
	c.stage.do(in)
	for _, o := range c.stage.all[before:] {
		switch o := o.(type) {
		case Connect:
			c.up[o.Node] = false
		case HangUp: // the connection is no more, and what ran on it neither
			for _, g := range c.legs {
				g.over = g.over || g.link == o.Link
			}
			for node, link := range c.stage.links {
				if link == o.Link {
					c.up[node] = false
				}
			}
		case TellNode:
			c.node(o)
		case TellPlayer:
			c.player(o)
		}
	}
	c.due()
}

func (c *checker) node(o TellNode) {
	m := o.Message
	switch m.Type {
	case wire.End:
		if g := c.legs[m.Leg]; g != nil {
			g.over = true
		}
	case wire.Rung:
		if g := c.legs[m.Leg]; g != nil && g.tariff == "exam" && m.Rung < 1 {
			c.Fatalf("rung %d under the floor", m.Rung)
		}
	case wire.Setup:
		name := ""
		for n, l := range c.stage.links {
			if l == o.Link {
				name = n
			}
		}
		if c.draining[name] {
			c.Fatalf("set-up to %s, which drains", name)
		}
		seats := 0
		for _, g := range c.legs {
			if g.session == m.Session && !g.over {
				c.Fatalf("two legs out for %s", m.Session)
			}
			if g.session == m.Session && m.Tariff == "exam" && !g.never {
				c.Fatalf("paid %s sent again", m.Session)
			}
			if g.tariff == "exam" && !g.over {
				seats++
			}
		}
		if m.Tariff == "exam" && (seats >= 2 || m.Rung < 1) {
			c.Fatalf("terms: %d seats held, rung %d", seats, m.Rung)
		}
		c.legs[m.Leg] = &flight{link: o.Link, node: name, session: m.Session, tariff: m.Tariff}
	}
}

func (c *checker) player(o TellPlayer) {
	m := o.Message
	switch m.Type {
	case wire.Plays, wire.Nack, wire.Errored:
	default:
		return
	}
	w := c.wants[fmt.Sprint(o.Conn, "/", m.ID)]
	if w == nil {
		c.Fatalf("an answer to what was never asked: %+v", o)
	}
	w.answers++
	if w.answers > 1+w.again {
		c.Fatalf("%d answers to %s", w.answers, w.id)
	}
	if w.answers == 1 && c.stage.now > w.stop {
		c.Fatalf("answer %v after the hard stop", c.stage.now-w.stop)
	}
	if m.Type == wire.Nack {
		for _, g := range c.legs {
			if g.session == m.Session && g.tariff == "exam" && !g.never {
				c.Fatalf("paid %s nacked though it may have run", m.Session)
			}
		}
	}
}

// due checks that nothing owed is overdue.
func (c *checker) due() {
	for _, w := range c.wants {
		if w.answers == 0 && !w.excused && c.stage.now > w.stop {
			c.Fatalf("%s (%s) is not answered %v after its hard stop", w.id, w.tariff, c.stage.now-w.stop)
		}
	}
}

func (c *checker) tick(to time.Duration) {
	for next := c.stage.loop.Next(); next <= to; next = c.stage.loop.Next() {
		c.stage.now = max(c.stage.now, next)
		c.do(Tick{})
	}
	c.stage.now = to
}

// pickLeg draws one of the legs that are out.
func (c *checker) pickLeg() (uint64, *flight) {
	var out []uint64
	for id, g := range c.legs {
		if !g.over {
			out = append(out, id)
		}
	}
	if len(out) == 0 {
		return 0, nil
	}
	slices.Sort(out)
	id := rapid.SampledFrom(out).Draw(c.T, "leg")
	return id, c.legs[id]
}

// Whatever players, nodes and the list do, in any order and at any time: the rules hold after every step,
// and once everybody has gone nothing is left on the books.
func TestRulesHoldWhateverHappens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(1, 4).Draw(t, "nodes")
		c := &checker{T: t, wants: map[string]*asked{}, legs: map[uint64]*flight{}, draining: map[string]bool{}, up: map[string]bool{}, conns: []uint64{1}, lastConn: 1}
		c.stage = newStage(t, nodes)
		for i := range nodes {
			c.up[name(i)] = true
		}
		for range rapid.IntRange(10, 80).Draw(t, "steps") {
			c.step(nodes)
		}
		// Everybody goes, every leg ends.
		for _, conn := range slices.Clone(c.conns) {
			c.close(conn)
		}
		c.tick(c.stage.now + 3*time.Second)
		for i := range nodes {
			if c.up[name(i)] {
				c.lose(name(i), false)
			}
		}
		c.stage.empty()
	})
}

func (c *checker) close(conn uint64) {
	c.conns = slices.DeleteFunc(c.conns, func(x uint64) bool { return x == conn })
	for _, w := range c.wants {
		if w.conn == conn {
			w.excused = true
		}
	}
	c.do(PlayerClosed{conn})
}

// lose ends a node's connection; unsent says that what has no answer yet never left.
func (c *checker) lose(node string, unsent bool) {
	link := c.stage.links[node]
	lost := LinkLost{Link: link}
	for id, g := range c.legs {
		if g.link == link && !g.over {
			g.over = true
			if unsent && !g.plays {
				g.never = true
				lost.Unsent = append(lost.Unsent, id)
			}
		}
	}
	slices.Sort(lost.Unsent)
	c.up[node] = false
	c.do(lost)
}

func (c *checker) step(nodes int) {
	t, s := c.T, c.stage
	node := name(rapid.IntRange(0, nodes-1).Draw(t, "node"))
	switch rapid.IntRange(0, 13).Draw(t, "what") {
	case 0, 1, 2: // a request
		if len(c.conns) == 0 {
			c.lastConn++
			c.conns = append(c.conns, c.lastConn+1)
			c.lastConn++
			c.do(PlayerKnocked{Conn: c.lastConn})
			c.do(PlayerOpened{c.lastConn})
		}
		conn := rapid.SampledFrom(c.conns).Draw(t, "conn")
		c.lastID++
		w := &asked{conn: conn, id: name(c.lastID), tariff: rapid.SampledFrom([]string{"clip", "exam"}).Draw(t, "tariff")}
		wait := int64(rapid.IntRange(100, 4000).Draw(t, "wait"))
		hard := 3 * time.Second
		if w.tariff == "exam" {
			hard = 2 * time.Second
		}
		// Some have stood in line, some for longer than the viewer waits: these are answered in the same step.
		waited := time.Duration(rapid.SampledFrom([]int{0, 0, 0, 120, 300, 1500}).Draw(t, "waited")) * ms
		w.stop = max(s.now, s.now-waited+min(hard, time.Duration(wait)*ms))
		c.wants[fmt.Sprint(conn, "/", w.id)] = w
		c.order = append(c.order, w)
		key := "k" + fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "key"))
		if rapid.Bool().Draw(t, "new") {
			key = w.id
		}
		// A key that is taken over excuses the request that had it.
		if old := s.loop.keys[key]; old != nil && old.conn != nil {
			if o := c.wants[fmt.Sprint(old.conn.number, "/", old.request)]; o != nil && o.answers == 0 {
				o.excused = true
			}
		}
		c.do(PlayerSaid{Conn: conn, Message: wire.Session{Type: wire.Want, ID: w.id, Tariff: w.tariff, Title: "t", Key: key, Wait: wait}, Waited: waited})
	case 3: // a request again
		for _, w := range c.order {
			if slices.Contains(c.conns, w.conn) && s.loop.conns[w.conn].requests[w.id] != nil {
				w.again++
				c.do(PlayerSaid{Conn: w.conn, Message: wire.Session{Type: wire.Want, ID: w.id, Tariff: w.tariff, Title: "t", Key: "x", Wait: 1000}})
				break
			}
		}
	case 4: // a viewer leaves
		for _, w := range c.order {
			if slices.Contains(c.conns, w.conn) && !w.excused {
				w.excused = true
				c.do(PlayerSaid{Conn: w.conn, Message: wire.Session{Type: wire.Leave, ID: w.id}})
				break
			}
		}
	case 5:
		if len(c.conns) > 0 {
			c.close(rapid.SampledFrom(c.conns).Draw(t, "conn"))
		}
	case 6, 7, 8: // a node answers
		if id, g := c.pickLeg(); g != nil && c.up[g.node] {
			kind := rapid.SampledFrom([]string{wire.Accepted, wire.Accepted, wire.Full, wire.Failed, wire.Ended}).Draw(t, "answer")
			switch {
			case kind == wire.Accepted:
				g.plays = true
			default:
				g.over = true
				g.never = kind == wire.Full && !g.plays
			}
			c.do(LinkSaid{g.link, wire.Node{Type: kind, Leg: id}})
		}
	case 9:
		if c.up[node] {
			c.lose(node, rapid.Bool().Draw(t, "unsent"))
		}
	case 10: // a connection comes to be, or does not
		if link := s.links[node]; s.loop.links[link] != nil && !c.up[node] && s.loop.links[link].trying {
			if rapid.Bool().Draw(t, "made") {
				c.up[node] = true
				c.do(LinkMade{node, link})
				switch rapid.IntRange(0, 3).Draw(t, "greeting") {
				case 0: // none: what waits is cut off in its time
				case 1:
					c.do(LinkSaid{link, wire.Node{Type: wire.Hello, Start: uint64(1000 + c.stage.now/ms), Age: 1}})
				default:
					c.do(LinkSaid{link, wire.Node{Type: wire.Hello}})
				}
			} else {
				c.do(LinkFailed{node, link})
			}
		}
	case 11: // the list
		e := up(int(node[1] - '0'))
		e.State = rapid.SampledFrom([]string{wire.Up, wire.Draining, wire.Removed}).Draw(t, "state")
		c.draining[node] = e.State != wire.Up
		was := s.links[node]
		c.do(ListSaid{wire.List{Type: wire.Update, Serial: 2, Nodes: []wire.Entry{e}}})
		if s.loop.links[was] == nil {
			for _, g := range c.legs {
				if g.link == was {
					g.over = true
				}
			}
			c.up[node] = false
		}
	case 12: // what is not handed over yet can be had back
		if id, g := c.pickLeg(); g != nil && !g.plays && slices.Contains(s.withdrawals(), id) {
			g.over, g.never = true, true
			c.do(Withdrawn{id})
		}
	}
	if rapid.IntRange(0, 9).Draw(t, "stall") == 0 {
		s.now += time.Duration(rapid.IntRange(0, 40).Draw(t, "late")) * ms
	}
	c.tick(s.now + time.Duration(rapid.IntRange(0, 300).Draw(t, "pass"))*ms)
}
