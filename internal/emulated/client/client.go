// Package client emulates clients. Each connects to a director over WebSocket, requests a session, waits for the
// answer for a limited time, plays, and retries or disconnects at random with the probabilities of a Behavior. Its
// requests, cancellations and answers and the end of its connection are added to a rulecheck.Recorder.
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

// Behavior is how clients behave. Its shares are probabilities.
type Behavior struct {
	RetryShare         float64       `json:"returns"`   // share that retry after a failed request or an interrupted session
	MinRetryDelay      time.Duration `json:"pause_low"` // least delay before a retry
	MaxRetryDelay      time.Duration `json:"pause_high"`
	HonorsBackoffShare float64       `json:"heeds"`   // share that wait at least for the back-off of a nack
	CancelShare        float64       `json:"hasty"`   // share that cancel within 60 ms of their request
	DuplicateShare     float64       `json:"repeats"` // share that send their request twice
	DisconnectShare    float64       `json:"drops"`   // share whose connection is reset while they play
}

// ClientRequest is one client's request for a session.
type ClientRequest struct {
	ClientNumber  int
	Tariff        string
	Paid          bool
	Title         string
	Key           string
	MaxRung       *int
	BestRungValue float64       // value of the best rung that the client can use in its tariff
	Wait          time.Duration // for the answer
	StartGoal     time.Duration // from the first request, or an interruption, to the start of the session
	Length        time.Duration // of the session
}

// Population is all clients of a run, with their results.
type Population struct {
	Behavior     Behavior
	Recorder     *rulecheck.Recorder
	PickDirector func(random *rand.Rand) (name, address string) // of a director to connect to; no address: there is none
	Deadline     time.Time                                      // no client retries after it

	lastConn       atomic.Uint64 // number of the last connection
	mu             sync.Mutex
	RequestCount   int                // sent, without duplicates
	RetryCount     int                // of these, all but each client's first
	Latency        []time.Duration    // from a request to its answer that the session plays
	StartedInTime  map[string]bool    // by session: it played within the goal time since the client's first request or last interruption
	RequestedValue map[string]float64 // by tariff, the requested seconds, multiplied by the value of the client's best rung
	ClientCount    int                // started
}

var connLimits = transport.Limits{MaxMessageBytes: wire.MaxSessionMessageBytes, MaxQueuedBytes: 64 << 10,
	WriteTimeout: time.Second, HandshakeTimeout: time.Second}

// A clientConn is a client's connection to a director.
type clientConn struct {
	conn           *transport.Conn
	number         uint64
	messages       chan wire.SessionMessage
	closed         chan struct{}
	closedByClient atomic.Bool
	population     *Population
	client         int
	director       string // its name
}

func (c *clientConn) Opened(*transport.Conn) {}

func (c *clientConn) Message(_ *transport.Conn, raw []byte) {
	m, err := wire.DecodeSessionMessage(raw)
	if err != nil {
		return
	}
	switch m.Type {
	case wire.Playing, wire.Nack, wire.Errored:
		c.population.Recorder.Add(rulecheck.Record{Kind: m.Type, Client: c.client, Conn: c.number, Director: c.director, RequestID: m.ID,
			Session: m.Session, Node: m.Node, Rung: m.Rung, Reason: m.Reason})
	}
	select {
	case c.messages <- m:
	default: // the client no longer reads; the message is recorded above
	}
}

func (c *clientConn) Closed(_ *transport.Conn, reason error, _ []uint64) {
	closedBy := rulecheck.ClosedByPeer
	if c.closedByClient.Load() {
		closedBy = rulecheck.ClosedByRecorder
	}
	c.population.Recorder.Add(rulecheck.Record{Kind: rulecheck.ConnClosed, Client: c.client, Conn: c.number, Director: c.director,
		ClosedBy: closedBy, Reason: reason.Error()})
	close(c.closed)
}

// close closes the connection from the client's side.
func (c *clientConn) close() {
	c.closedByClient.Store(true)
	c.conn.Close(1000, "bye")
}

// RunClient runs one client with its retries. It returns when the client has played its session to the end or stops
// retrying.
func (p *Population) RunClient(ctx context.Context, req ClientRequest, random *rand.Rand) {
	p.mu.Lock()
	if p.StartedInTime == nil {
		p.StartedInTime, p.RequestedValue = map[string]bool{}, map[string]float64{}
	}
	p.ClientCount++
	p.RequestedValue[req.Tariff] += req.Length.Seconds() * req.BestRungValue
	p.mu.Unlock()
	waitingSince := time.Now()
	remaining := req.Length
	key := 0 // part of the session's key, increased unless the retry is for the same session
	for retries := 0; ; retries++ {
		outcome := p.request(ctx, req, random, retries, fmt.Sprintf("%s-%d", req.Key, key), remaining, waitingSince)
		remaining -= outcome.played
		if outcome.played > 0 {
			waitingSince = time.Now()
		}
		backoff := outcome.backoff
		if !outcome.sameSession {
			key++
		}
		if !outcome.retry || remaining < 200*time.Millisecond || random.Float64() >= p.Behavior.RetryShare || time.Now().After(p.Deadline) {
			return
		}
		delay := p.Behavior.MinRetryDelay + time.Duration(random.Int64N(int64(max(1, p.Behavior.MaxRetryDelay-p.Behavior.MinRetryDelay))))
		if backoff > 0 && random.Float64() < p.Behavior.HonorsBackoffShare {
			delay = max(delay, backoff)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(delay):
		}
	}
}

// A requestOutcome is how a request ended, or the session that it started.
type requestOutcome struct {
	played      time.Duration
	backoff     time.Duration // from a nack
	retry       bool          // the client may retry
	sameSession bool          // a retry is for the same session, because the client's connection was reset
}

// request connects to a director, sends one request and plays the session that it gets.
func (p *Population) request(ctx context.Context, req ClientRequest, random *rand.Rand, retries int, key string,
	remaining time.Duration, waitingSince time.Time) requestOutcome {
	name, address := p.PickDirector(random)
	if address == "" {
		return requestOutcome{retry: true} // no director is known
	}
	c := &clientConn{number: p.lastConn.Add(1), messages: make(chan wire.SessionMessage, 32), closed: make(chan struct{}),
		population: p, client: req.ClientNumber, director: name}
	conn, err := transport.Dial(address, wire.SessionProtocol, time.Second, connLimits, c, nil)
	if err != nil {
		return requestOutcome{retry: true} // the director is down; no request was sent
	}
	c.conn = conn
	defer c.close()
	id := strconv.Itoa(retries + 1)
	request := wire.SessionMessage{Type: wire.Request, ID: id, Tariff: req.Tariff, Title: req.Title, Key: key, MaxRung: req.MaxRung,
		WaitMS: req.Wait.Milliseconds(), LengthMS: remaining.Milliseconds(), Retry: retries > 0}
	p.Recorder.Add(rulecheck.Record{Kind: wire.Request, Client: req.ClientNumber, Conn: c.number, Director: name, RequestID: id,
		Tariff: req.Tariff, Title: req.Title, Wait: req.Wait, Retry: retries > 0})
	sentAt := time.Now()
	conn.Send(wire.Encode(request), 0)
	p.mu.Lock()
	p.RequestCount++
	if retries > 0 {
		p.RetryCount++
	}
	p.mu.Unlock()
	if random.Float64() < p.Behavior.DuplicateShare {
		p.Recorder.Add(rulecheck.Record{Kind: wire.Request, Client: req.ClientNumber, Conn: c.number, Director: name, RequestID: id,
			Tariff: req.Tariff})
		conn.Send(wire.Encode(request), 0)
	}
	waitTimer := time.NewTimer(req.Wait + 400*time.Millisecond) // longer than the client's wait, to record a late answer
	defer waitTimer.Stop()
	cancelTimer := make(<-chan time.Time)
	if random.Float64() < p.Behavior.CancelShare { // about when the answer is expected, so that the two often cross
		cancelTimer = time.After(time.Duration(random.Int64N(int64(60 * time.Millisecond))))
	}
	for {
		select {
		case <-ctx.Done():
			return requestOutcome{}
		case <-c.closed:
			return requestOutcome{retry: true}
		case <-cancelTimer:
			p.Recorder.Add(rulecheck.Record{Kind: wire.Cancel, Client: req.ClientNumber, Conn: c.number, Director: name, RequestID: id})
			conn.Send(wire.Encode(wire.SessionMessage{Type: wire.Cancel, ID: id}), 0)
			select { // messages that cross the cancellation are recorded
			case <-time.After(100 * time.Millisecond):
			case <-c.closed:
			}
			return requestOutcome{}
		case <-waitTimer.C:
			p.Recorder.Add(rulecheck.Record{Kind: rulecheck.ClientTimedOut, Client: req.ClientNumber, Conn: c.number, Director: name,
				RequestID: id})
			return requestOutcome{retry: !req.Paid}
		case m := <-c.messages:
			switch m.Type {
			case wire.Nack:
				return requestOutcome{backoff: time.Duration(m.BackoffMS) * time.Millisecond, retry: true}
			case wire.Errored:
				return requestOutcome{retry: !req.Paid}
			case wire.Playing:
				p.mu.Lock()
				p.Latency = append(p.Latency, time.Since(sentAt))
				if time.Since(waitingSince) <= req.StartGoal {
					p.StartedInTime[m.Session] = true
				}
				p.mu.Unlock()
				return p.playSession(ctx, c, random, remaining)
			}
		}
	}
}

// playSession plays until the session ends, its connection ends, or the client resets it.
func (p *Population) playSession(ctx context.Context, c *clientConn, random *rand.Rand, remaining time.Duration) requestOutcome {
	startedAt := time.Now()
	endTimer := time.NewTimer(remaining + time.Second) // limits the wait for a node that doesn't end the session
	defer endTimer.Stop()
	resetTimer := make(<-chan time.Time)
	if random.Float64() < p.Behavior.DisconnectShare {
		resetTimer = time.After(time.Duration(random.Int64N(int64(remaining))))
	}
	for {
		select {
		case <-ctx.Done():
			return requestOutcome{}
		case <-c.closed:
			return requestOutcome{played: time.Since(startedAt), retry: true}
		case <-resetTimer:
			c.closedByClient.Store(true)
			c.conn.Reset()
			return requestOutcome{played: time.Since(startedAt), retry: true, sameSession: true}
		case <-endTimer.C:
			return requestOutcome{played: remaining}
		case m := <-c.messages:
			if m.Type == wire.SessionEnded {
				return requestOutcome{played: time.Since(startedAt), retry: m.Reason != "ended"}
			}
		}
	}
}
