// Package client is the stand-in for players and the viewers before them: each connects, asks, waits as
// long as it will, plays, leaves, and comes again as viewers do.
package client

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"fordusher/internal/rulecheck"
	"fordusher/internal/transport"
	"fordusher/internal/wire"
)

// Behavior is how viewers behave.
type Behavior struct {
	RetryShare         float64       `json:"returns"`   // share that come again after a break or a nack
	MinRetryDelay      time.Duration `json:"pause_low"` // before they do
	MaxRetryDelay      time.Duration `json:"pause_high"`
	HonorsBackoffShare float64       `json:"heeds"`   // share that wait as long as a nack asks
	CancelShare        float64       `json:"hasty"`   // share that leave at some moment while they wait
	DuplicateShare     float64       `json:"repeats"` // share that send their request twice
	DisconnectShare    float64       `json:"drops"`   // share whose connection breaks while they wait or play
}

// Request is one viewer's wish.
type Request struct {
	ClientNumber  int
	Tariff        string
	Paid          bool
	Title         string
	Key           string
	MaxRung       *int
	BestRungValue float64 // worth of the best rung that the viewer can use in its tariff
	Wait          time.Duration
	StartGoal     time.Duration
	Length        time.Duration
}

// Population is all viewers of a day, and how they fared.
type Population struct {
	Behavior     Behavior
	Recorder     *rulecheck.Recorder
	PickDirector func(r *rand.Rand) (name, address string) // of a director that viewers go to now
	Deadline     time.Time                                 // nobody comes again after it

	conns          atomic.Uint64
	mu             sync.Mutex
	Requests       int                // requests
	Retries        int                // of these, not the viewer's first
	Latency        []time.Duration    // from request to "plays"
	StartedInTime  map[string]bool    // sessions that played within the goal time since their viewer first asked, or was interrupted
	RequestedValue map[string]float64 // seconds asked for, by tariff, at the worth of the best rung that the viewer can use
	Clients        int
}

var bounds = transport.Limits{MaxMessageBytes: wire.MaxSessionMessageBytes, MaxQueuedBytes: 64 << 10, WriteTimeout: time.Second, HandshakeTimeout: time.Second}

// A seat is a viewer's connection.
type seat struct {
	conn   *transport.Conn
	number uint64
	in     chan wire.SessionMessage
	closed chan struct{}
	ours   atomic.Bool
	crowd  *Population
	viewer int
	name   string // of the director
}

func (s *seat) Opened(*transport.Conn) {}

func (s *seat) Message(_ *transport.Conn, raw []byte) {
	m, err := wire.DecodeSessionMessage(raw)
	if err != nil {
		return
	}
	switch m.Type {
	case wire.Playing, wire.Nack, wire.Errored:
		s.crowd.Recorder.Add(rulecheck.Record{Kind: m.Type, Client: s.viewer, Conn: s.number, Director: s.name, RequestID: m.ID,
			Session: m.Session, Node: m.Node, Rung: m.Rung, Reason: m.Reason})
	}
	select {
	case s.in <- m:
	default: // a stand-in that is busy elsewhere; the record has it
	}
}

func (s *seat) Closed(_ *transport.Conn, why error, _ []uint64) {
	by := rulecheck.ClosedByPeer
	if s.ours.Load() {
		by = rulecheck.ClosedByRecorder
	}
	s.crowd.Recorder.Add(rulecheck.Record{Kind: rulecheck.ConnClosed, Client: s.viewer, Conn: s.number, Director: s.name, ClosedBy: by, Reason: why.Error()})
	close(s.closed)
}

// leave ends the connection from the viewer's side.
func (s *seat) leave() {
	s.ours.Store(true)
	s.conn.Close(1000, "bye")
}

// RunClient is one viewer's whole evening: it ends when the viewer has watched to the end or has given up.
func (c *Population) RunClient(ctx context.Context, v Request, r *rand.Rand) {
	c.mu.Lock()
	if c.StartedInTime == nil {
		c.StartedInTime, c.RequestedValue = map[string]bool{}, map[string]float64{}
	}
	c.Clients++
	c.RequestedValue[v.Tariff] += v.Length.Seconds() * v.BestRungValue
	c.mu.Unlock()
	began := time.Now()
	left := v.Length
	key := 0 // a viewer whose connection broke asks for the same session again, any other for a new one
	for try := 0; ; try++ {
		end := c.try(ctx, v, r, try, fmt.Sprintf("%s-%d", v.Key, key), left, began)
		left -= end.played
		if end.played > 0 {
			began = time.Now()
		}
		backoff := end.backoff
		if !end.same {
			key++
		}
		if !end.again || left < 200*time.Millisecond || r.Float64() >= c.Behavior.RetryShare || time.Now().After(c.Deadline) {
			return
		}
		pause := c.Behavior.MinRetryDelay + time.Duration(r.Int64N(int64(max(1, c.Behavior.MaxRetryDelay-c.Behavior.MinRetryDelay))))
		if backoff > 0 && r.Float64() < c.Behavior.HonorsBackoffShare {
			pause = max(pause, backoff)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
	}
}

// An ending is how a try ended.
type ending struct {
	played  time.Duration
	backoff time.Duration // told by a nack
	again   bool          // the viewer would come again,
	same    bool          // for the same session
}

// try asks once.
func (c *Population) try(ctx context.Context, v Request, r *rand.Rand, n int, key string, left time.Duration, began time.Time) ending {
	name, address := c.PickDirector(r)
	if address == "" {
		return ending{again: true} // nobody there
	}
	s := &seat{number: c.conns.Add(1), in: make(chan wire.SessionMessage, 32), closed: make(chan struct{}), crowd: c, viewer: v.ClientNumber, name: name}
	conn, err := transport.Dial(address, wire.SessionProtocol, time.Second, bounds, s, nil)
	if err != nil {
		return ending{again: true} // the director is not there: nothing was asked
	}
	s.conn = conn
	defer s.leave()
	id := strconv.Itoa(n + 1)
	want := wire.SessionMessage{Type: wire.Request, ID: id, Tariff: v.Tariff, Title: v.Title, Key: key, MaxRung: v.MaxRung,
		WaitMS: v.Wait.Milliseconds(), LengthMS: left.Milliseconds(), Retry: n > 0}
	c.Recorder.Add(rulecheck.Record{Kind: wire.Request, Client: v.ClientNumber, Conn: s.number, Director: name, RequestID: id, Tariff: v.Tariff,
		Title: v.Title, Wait: v.Wait, Retry: n > 0})
	asked := time.Now()
	conn.Send(wire.Encode(want), 0)
	c.mu.Lock()
	c.Requests++
	if n > 0 {
		c.Retries++
	}
	c.mu.Unlock()
	if r.Float64() < c.Behavior.DuplicateShare {
		c.Recorder.Add(rulecheck.Record{Kind: wire.Request, Client: v.ClientNumber, Conn: s.number, Director: name, RequestID: id, Tariff: v.Tariff})
		conn.Send(wire.Encode(want), 0)
	}
	patience := time.NewTimer(v.Wait + 400*time.Millisecond) // an answer that comes late is still seen
	defer patience.Stop()
	hasty := make(<-chan time.Time)
	if r.Float64() < c.Behavior.CancelShare { // around the time of an answer, so that the two often cross
		hasty = time.After(time.Duration(r.Int64N(int64(60 * time.Millisecond))))
	}
	for {
		select {
		case <-ctx.Done():
			return ending{}
		case <-s.closed:
			return ending{again: true}
		case <-hasty:
			c.Recorder.Add(rulecheck.Record{Kind: wire.Cancel, Client: v.ClientNumber, Conn: s.number, Director: name, RequestID: id})
			conn.Send(wire.Encode(wire.SessionMessage{Type: wire.Cancel, ID: id}), 0)
			select { // what crosses is still seen
			case <-time.After(100 * time.Millisecond):
			case <-s.closed:
			}
			return ending{}
		case <-patience.C:
			c.Recorder.Add(rulecheck.Record{Kind: rulecheck.ClientTimedOut, Client: v.ClientNumber, Conn: s.number, Director: name, RequestID: id})
			return ending{again: !v.Paid}
		case m := <-s.in:
			switch m.Type {
			case wire.Nack:
				return ending{backoff: time.Duration(m.BackoffMS) * time.Millisecond, again: true}
			case wire.Errored:
				return ending{again: !v.Paid}
			case wire.Playing:
				c.mu.Lock()
				c.Latency = append(c.Latency, time.Since(asked))
				if time.Since(began) <= v.StartGoal {
					c.StartedInTime[m.Session] = true
				}
				c.mu.Unlock()
				return c.play(ctx, s, r, left)
			}
		}
	}
}

// play watches until the session ends, one way or the other.
func (c *Population) play(ctx context.Context, s *seat, r *rand.Rand, left time.Duration) ending {
	began := time.Now()
	end := time.NewTimer(left + time.Second) // the node ends it; this is for one that does not
	defer end.Stop()
	drop := make(<-chan time.Time)
	if r.Float64() < c.Behavior.DisconnectShare {
		drop = time.After(time.Duration(r.Int64N(int64(left))))
	}
	for {
		select {
		case <-ctx.Done():
			return ending{}
		case <-s.closed:
			return ending{played: time.Since(began), again: true}
		case <-drop:
			s.ours.Store(true)
			s.conn.Reset()
			return ending{played: time.Since(began), again: true, same: true}
		case <-end.C:
			return ending{played: left}
		case m := <-s.in:
			if m.Type == wire.SessionEnded {
				return ending{played: time.Since(began), again: m.Reason != "ended"}
			}
		}
	}
}
