package emulator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"fordusher/internal/director"
	"fordusher/internal/emulated/client"
	"fordusher/internal/rulecheck"
	"fordusher/internal/wire"
)

// A crowd is the model of all viewers: what client.Population does with goroutines on sockets, as events.
type crowd struct {
	w       *world
	rate    float64
	hot     float64
	came    int
	due     float64
	active  int
	wanted  float64 // credit a second, if all who are there played at their best rung
	conns   uint64
	seats   map[uint64]*seat // emptied as connections end
	latency []time.Duration
	inTime  map[string]bool
	asked   map[string]float64
}

// A viewer is one viewer's evening.
type viewer struct {
	client.Request
	r     *rand.Rand
	try   int
	key   int
	left  time.Duration
	began time.Duration
}

// A seat is a viewer's connection for one try.
type seat struct {
	v       *viewer
	conn    uint64
	post    int
	boot    int
	id      string
	asked   time.Duration
	plays   time.Duration // since; 0: not yet
	leaving bool          // it has said so and listens a little longer
	over    bool
}

// arriveEvery is how often it is looked whether viewers come.
const arriveEvery = 5 * time.Millisecond

func (c *crowd) begin(w *world) {
	*c = crowd{w: w, rate: 1, seats: map[uint64]*seat{}, inTime: map[string]bool{}, asked: map[string]float64{}}
	w.events.put(settle, c.arrive)
}

// arrive lets viewers come at the day's rate.
func (c *crowd) arrive(at time.Duration) {
	w := c.w
	c.due += float64(w.script.Requests) / w.layout.WeightedSeconds() * c.rate * arriveEvery.Seconds()
	for ; c.due >= 1 && c.came < w.script.Requests; c.due-- {
		x, r := w.layout.Client(w.house, c.came, c.hot)
		c.came++
		c.active++
		c.wanted += x.BestRungValue * w.credit[x.Tariff]
		c.asked[x.Tariff] += x.Length.Seconds() * x.BestRungValue
		v := &viewer{Request: x, r: r, left: x.Length, began: at}
		c.ask(at, v)
	}
	if c.came < w.script.Requests {
		w.events.put(at+arriveEvery, c.arrive)
	} else {
		c.home()
	}
}

// home ends the day once everybody has gone.
func (c *crowd) home() {
	c.w.over = c.came == c.w.script.Requests && c.active == 0
}

// ask begins a try: the viewer knocks at a director.
func (c *crowd) ask(at time.Duration, v *viewer) {
	w := c.w
	p := w.posts[v.r.IntN(len(w.posts))]
	if !p.up { // nobody there
		c.end(at, v, ending{again: true})
		return
	}
	c.conns++
	s := &seat{v: v, conn: c.conns, post: p.number, boot: p.boot, id: strconv.Itoa(v.try + 1)}
	c.seats[s.conn] = s
	w.answer(at+w.delay(v.r), p, p.boot, director.ClientConnecting{Conn: s.conn, Address: addressOf(s.conn)})
}

// welcome lets a viewer ask who has been let in.
func (w *world) welcome(at time.Duration, conn uint64) {
	c := &w.crowd
	s := c.seats[conn]
	if s == nil || s.over {
		return
	}
	v := s.v
	h := w.script.Behavior
	s.asked = at
	m := wire.SessionMessage{Type: wire.Request, ID: s.id, Tariff: v.Tariff, Title: v.Title, Key: fmt.Sprintf("%s-%d", v.Key, v.key), MaxRung: v.MaxRung,
		WaitMS: v.Wait.Milliseconds(), LengthMS: v.left.Milliseconds(), Retry: v.try > 0}
	c.say(at, s, m, rulecheck.Record{Tariff: v.Tariff, Title: v.Title, Wait: v.Wait, Retry: v.try > 0})
	if v.r.Float64() < h.DuplicateShare {
		c.say(at, s, m, rulecheck.Record{Tariff: v.Tariff})
	}
	w.events.put(at+v.Wait+400*time.Millisecond, func(at time.Duration) { // an answer that comes late is still seen
		if !s.over && s.plays == 0 && !s.leaving {
			w.add(at, c.record(s, rulecheck.ClientTimedOut))
			c.leave(at, s, ending{again: !v.Paid})
		}
	})
	if v.r.Float64() < h.CancelShare { // around the time of an answer, so that the two often cross
		w.events.put(at+time.Duration(v.r.Int64N(int64(60*time.Millisecond))), func(at time.Duration) {
			if s.over || s.plays > 0 {
				return
			}
			s.leaving = true
			c.say(at, s, wire.SessionMessage{Type: wire.Cancel, ID: s.id}, rulecheck.Record{})
			w.events.put(at+100*time.Millisecond, func(at time.Duration) { c.leave(at, s, ending{}) })
		})
	}
}

func (c *crowd) record(s *seat, what string) rulecheck.Record {
	return rulecheck.Record{Kind: what, Client: s.v.ClientNumber, Conn: s.conn, Director: c.w.posts[s.post].name, RequestID: s.id}
}

// say sends a viewer's message, by way of the codec.
func (c *crowd) say(at time.Duration, s *seat, m wire.SessionMessage, also rulecheck.Record) {
	r := c.record(s, m.Type)
	r.Tariff, r.Title, r.Wait, r.Retry = also.Tariff, also.Title, also.Wait, also.Retry
	c.w.add(at, r)
	raw, p, boot := wire.Encode(m), c.w.posts[s.post], s.boot
	if p.boot != boot || !p.up {
		return
	}
	// The shortest way that there is: messages of one viewer keep their order.
	p.put(at+c.w.opt.Latency.Max, func(at time.Duration) {
		if p.boot != boot || !p.up {
			return
		}
		message, err := wire.DecodeSessionMessage(raw)
		if err != nil {
			panic(fmt.Sprintf("the model of the viewers said what is no message: %v", err))
		}
		p.step(at, director.ClientReceived{Conn: s.conn, Message: message})
	})
}

// playerHears takes a director's message to a viewer.
func (w *world) playerHears(at time.Duration, conn uint64, raw []byte) {
	c := &w.crowd
	s := c.seats[conn]
	if s == nil || s.over {
		return
	}
	m, err := wire.DecodeSessionMessage(raw)
	if err != nil {
		w.err = fmt.Errorf("%s told a player what is no message: %w", w.posts[s.post].name, err)
		return
	}
	switch m.Type {
	case wire.Playing, wire.Nack, wire.Errored:
		r := c.record(s, m.Type)
		r.RequestID, r.Session, r.Node, r.Rung, r.Reason = m.ID, m.Session, m.Node, m.Rung, m.Reason
		w.add(at, r)
	}
	if s.leaving {
		return
	}
	v := s.v
	switch {
	case m.Type == wire.SessionEnded && s.plays > 0:
		c.leave(at, s, ending{played: at - s.plays, again: m.Reason != "ended"})
	case s.plays > 0:
	case m.Type == wire.Nack:
		c.leave(at, s, ending{backoff: time.Duration(m.BackoffMS) * time.Millisecond, again: true})
	case m.Type == wire.Errored:
		c.leave(at, s, ending{again: !v.Paid})
	case m.Type == wire.Playing:
		c.latency = append(c.latency, at-s.asked)
		if at-v.began <= v.StartGoal {
			c.inTime[m.Session] = true
		}
		s.plays = at
		left := v.left
		w.events.put(at+left+time.Second, func(at time.Duration) { c.leave(at, s, ending{played: left}) }) // the node ends it; this is for one that does not
		if v.r.Float64() < w.script.Behavior.DisconnectShare {
			w.events.put(at+time.Duration(v.r.Int64N(int64(max(1, left)))), func(at time.Duration) {
				c.leave(at, s, ending{played: at - s.plays, again: true, same: true})
			})
		}
	}
}

// playerClosed ends a viewer's connection from the other side.
func (w *world) playerClosed(at time.Duration, conn uint64, why, by string) {
	s := w.crowd.seats[conn]
	if s == nil || s.over {
		return
	}
	w.crowd.close(at, s, why, by)
	e := ending{again: true}
	if s.plays > 0 {
		e.played = at - s.plays
	}
	if s.leaving {
		e = ending{}
	}
	w.crowd.end(at, s.v, e)
}

// cut ends the connections of all viewers of a director that is no more.
func (c *crowd) cut(at time.Duration, post int) {
	var conns []uint64
	for conn, s := range c.seats {
		if s.post == post {
			conns = append(conns, conn)
		}
	}
	slices.Sort(conns)
	for _, conn := range conns {
		c.w.events.put(at+c.w.delay(c.w.chance), func(at time.Duration) { c.w.playerClosed(at, conn, "connection lost", rulecheck.ClosedByPeer) })
	}
}

func (c *crowd) close(at time.Duration, s *seat, why, by string) {
	s.over = true
	delete(c.seats, s.conn)
	if s.asked > 0 { // who was never let in has asked nothing
		r := c.record(s, rulecheck.ConnClosed)
		r.RequestID, r.ClosedBy, r.Reason = "", by, why
		c.w.add(at, r)
	}
}

// leave ends a try from the viewer's side.
func (c *crowd) leave(at time.Duration, s *seat, e ending) {
	if s.over {
		return
	}
	c.close(at, s, "closed here", rulecheck.ClosedByRecorder)
	p := c.w.posts[s.post]
	c.w.answer(at+c.w.opt.Latency.Max, p, s.boot, director.ClientLost{Conn: s.conn})
	c.end(at, s.v, e)
}

// An ending is how a try ended.
type ending struct {
	played  time.Duration
	backoff time.Duration // told by a nack
	again   bool          // the viewer would come again,
	same    bool          // for the same session
}

// end lets a viewer come again, or go home.
func (c *crowd) end(at time.Duration, v *viewer, e ending) {
	w, h := c.w, c.w.script.Behavior
	v.left -= e.played
	if e.played > 0 {
		v.began = at
	}
	if !e.same {
		v.key++
	}
	if !e.again || v.left < 200*time.Millisecond || v.r.Float64() >= h.RetryShare || at > settle+w.script.Length+2*time.Second {
		c.active--
		c.wanted -= v.BestRungValue * w.credit[v.Tariff]
		c.home()
		return
	}
	pause := h.MinRetryDelay + time.Duration(v.r.Int64N(int64(max(1, h.MaxRetryDelay-h.MinRetryDelay))))
	if e.backoff > 0 && v.r.Float64() < h.HonorsBackoffShare {
		pause = max(pause, e.backoff)
	}
	v.try++
	w.events.put(at+pause, func(at time.Duration) { c.ask(at, v) })
}
