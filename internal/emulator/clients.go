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

// A clientModel emulates all clients of a day. It does with events what client.Population does with goroutines
// and sockets.
type clientModel struct {
	sim             *simulation
	arrivalRate     float64 // factor on the normal arrival rate
	hotShare        float64 // share of arriving clients that request one of two titles
	arrived         int
	pendingArrivals float64 // clients due to arrive, with the fraction carried to the next interval
	active          int     // clients that play, wait, or pause before a retry
	maxEarning      float64 // credit per second if all active clients played at their best rung
	lastConnID      uint64
	conns           map[uint64]*clientConn // by connection id; open connections only
	latencies       []time.Duration
	startedInTime   map[string]bool    // sessions that started within their goal time
	requestedValue  map[string]float64 // by tariff: requested seconds, weighted by the value of the best rung
}

// An emulatedClient is one client from its arrival until it stops retrying.
type emulatedClient struct {
	client.ClientRequest
	random        *rand.Rand
	retries       int
	sessionNumber int           // suffix of the session key; a retry for another session increments it
	remaining     time.Duration // playing time that the client still requests
	waitingSince  time.Duration // time of the arrival, or of the last interruption
}

// A clientConn is a client's connection for one attempt.
type clientConn struct {
	client       *emulatedClient
	id           uint64
	director     int
	boot         int
	requestID    string
	requestedAt  time.Duration
	playingSince time.Duration // 0: not playing yet
	cancelling   bool          // the client has sent a cancellation and still receives for 100 ms
	closed       bool
}

// arrivalInterval is the time between batches of arriving clients.
const arrivalInterval = 5 * time.Millisecond

func (c *clientModel) start(sim *simulation) {
	*c = clientModel{sim: sim, arrivalRate: 1, conns: map[uint64]*clientConn{}, startedInTime: map[string]bool{},
		requestedValue: map[string]float64{}}
	sim.events.schedule(settleTime, c.addArrivals)
}

// addArrivals adds the clients that are due at the day's arrival rate.
func (c *clientModel) addArrivals(at time.Duration) {
	sim := c.sim
	c.pendingArrivals += float64(sim.script.Requests) / sim.layout.WeightedSeconds() * c.arrivalRate * arrivalInterval.Seconds()
	for ; c.pendingArrivals >= 1 && c.arrived < sim.script.Requests; c.pendingArrivals-- {
		request, random := sim.layout.Client(sim.config, c.arrived, c.hotShare)
		c.arrived++
		c.active++
		c.maxEarning += request.BestRungValue * sim.creditByTariff[request.Tariff]
		c.requestedValue[request.Tariff] += request.Length.Seconds() * request.BestRungValue
		client := &emulatedClient{ClientRequest: request, random: random, remaining: request.Length, waitingSince: at}
		c.connect(at, client)
	}
	if c.arrived < sim.script.Requests {
		sim.events.schedule(at+arrivalInterval, c.addArrivals)
	} else {
		c.checkFinished()
	}
}

// checkFinished ends the day once all clients have arrived and none is active.
func (c *clientModel) checkFinished() {
	c.sim.finished = c.arrived == c.sim.script.Requests && c.active == 0
}

// connect begins an attempt: the client connects to a random director.
func (c *clientModel) connect(at time.Duration, client *emulatedClient) {
	sim := c.sim
	d := sim.directors[client.random.IntN(len(sim.directors))]
	if !d.running { // the connection is refused
		c.finishAttempt(at, client, attemptOutcome{retry: true})
		return
	}
	c.lastConnID++
	conn := &clientConn{client: client, id: c.lastConnID, director: d.index, boot: d.boot, requestID: strconv.Itoa(client.retries + 1)}
	c.conns[conn.id] = conn
	sim.deliver(at+sim.drawLatency(client.random), d, d.boot, director.ClientConnecting{Conn: conn.id, Address: clientAddress(conn.id)})
}

// clientAccepted sends the request of a client whose connection the director has accepted.
func (sim *simulation) clientAccepted(at time.Duration, connID uint64) {
	c := &sim.clients
	conn := c.conns[connID]
	if conn == nil || conn.closed {
		return
	}
	client := conn.client
	behavior := sim.script.Behavior
	conn.requestedAt = at
	m := wire.SessionMessage{Type: wire.Request, ID: conn.requestID, Tariff: client.Tariff, Title: client.Title,
		Key: fmt.Sprintf("%s-%d", client.Key, client.sessionNumber), MaxRung: client.MaxRung,
		WaitMS: client.Wait.Milliseconds(), LengthMS: client.remaining.Milliseconds(), Retry: client.retries > 0}
	c.send(at, conn, m, rulecheck.Record{Tariff: client.Tariff, Title: client.Title, Wait: client.Wait, Retry: client.retries > 0})
	if client.random.Float64() < behavior.DuplicateShare {
		c.send(at, conn, m, rulecheck.Record{Tariff: client.Tariff})
	}
	sim.events.schedule(at+client.Wait+400*time.Millisecond, func(at time.Duration) { // a late answer is still recorded
		if !conn.closed && conn.playingSince == 0 && !conn.cancelling {
			sim.addRecord(at, c.newRecord(conn, rulecheck.ClientTimedOut))
			c.disconnect(at, conn, attemptOutcome{retry: !client.Paid})
		}
	})
	if client.random.Float64() < behavior.CancelShare { // close to the time of the answer, so that cancellation and answer often cross
		sim.events.schedule(at+time.Duration(client.random.Int64N(int64(60*time.Millisecond))), func(at time.Duration) {
			if conn.closed || conn.playingSince > 0 {
				return
			}
			conn.cancelling = true
			c.send(at, conn, wire.SessionMessage{Type: wire.Cancel, ID: conn.requestID}, rulecheck.Record{})
			sim.events.schedule(at+100*time.Millisecond, func(at time.Duration) { c.disconnect(at, conn, attemptOutcome{}) })
		})
	}
}

func (c *clientModel) newRecord(conn *clientConn, kind string) rulecheck.Record {
	return rulecheck.Record{Kind: kind, Client: conn.client.ClientNumber, Conn: conn.id,
		Director: c.sim.directors[conn.director].name, RequestID: conn.requestID}
}

// send records a client's message and delivers it to the director through the codec. fields holds the values that
// the record of a request has in addition: tariff, title, wait and whether it is a retry.
func (c *clientModel) send(at time.Duration, conn *clientConn, m wire.SessionMessage, fields rulecheck.Record) {
	r := c.newRecord(conn, m.Type)
	r.Tariff, r.Title, r.Wait, r.Retry = fields.Tariff, fields.Title, fields.Wait, fields.Retry
	c.sim.addRecord(at, r)
	raw, d, boot := wire.Encode(m), c.sim.directors[conn.director], conn.boot
	if d.boot != boot || !d.running {
		return
	}
	// A fixed latency, the maximum, keeps the messages of one client in order.
	d.schedule(at+c.sim.opt.Latency.Max, func(at time.Duration) {
		if d.boot != boot || !d.running {
			return
		}
		message, err := wire.DecodeSessionMessage(raw)
		if err != nil {
			panic(fmt.Sprintf("the client model sent an undecodable message: %v", err))
		}
		d.step(at, director.ClientReceived{Conn: conn.id, Message: message})
	})
}

// clientReceives handles a director's message at the client.
func (sim *simulation) clientReceives(at time.Duration, connID uint64, raw []byte) {
	c := &sim.clients
	conn := c.conns[connID]
	if conn == nil || conn.closed {
		return
	}
	m, err := wire.DecodeSessionMessage(raw)
	if err != nil {
		sim.err = fmt.Errorf("%s sent a client an undecodable message: %w", sim.directors[conn.director].name, err)
		return
	}
	switch m.Type {
	case wire.Playing, wire.Nack, wire.Errored:
		r := c.newRecord(conn, m.Type)
		r.RequestID, r.Session, r.Node, r.Rung, r.Reason = m.ID, m.Session, m.Node, m.Rung, m.Reason
		sim.addRecord(at, r)
	}
	if conn.cancelling {
		return
	}
	client := conn.client
	switch {
	case m.Type == wire.SessionEnded && conn.playingSince > 0:
		c.disconnect(at, conn, attemptOutcome{played: at - conn.playingSince, retry: m.Reason != "ended"})
	case conn.playingSince > 0:
	case m.Type == wire.Nack:
		c.disconnect(at, conn, attemptOutcome{backoff: time.Duration(m.BackoffMS) * time.Millisecond, retry: true})
	case m.Type == wire.Errored:
		c.disconnect(at, conn, attemptOutcome{retry: !client.Paid})
	case m.Type == wire.Playing:
		c.latencies = append(c.latencies, at-conn.requestedAt)
		if at-client.waitingSince <= client.StartGoal {
			c.startedInTime[m.Session] = true
		}
		conn.playingSince = at
		remaining := client.remaining
		sim.events.schedule(at+remaining+time.Second, func(at time.Duration) { // for a node that does not end the session itself
			c.disconnect(at, conn, attemptOutcome{played: remaining})
		})
		if client.random.Float64() < sim.script.Behavior.DisconnectShare {
			sim.events.schedule(at+time.Duration(client.random.Int64N(int64(max(1, remaining)))), func(at time.Duration) {
				c.disconnect(at, conn, attemptOutcome{played: at - conn.playingSince, retry: true, sameSession: true})
			})
		}
	}
}

// clientClosed handles the loss of a client's connection, or its closing by the director.
func (sim *simulation) clientClosed(at time.Duration, connID uint64, reason, by string) {
	conn := sim.clients.conns[connID]
	if conn == nil || conn.closed {
		return
	}
	sim.clients.closeConn(at, conn, reason, by)
	outcome := attemptOutcome{retry: true}
	if conn.playingSince > 0 {
		outcome.played = at - conn.playingSince
	}
	if conn.cancelling {
		outcome = attemptOutcome{}
	}
	sim.clients.finishAttempt(at, conn.client, outcome)
}

// loseConnections ends all client connections of a director that has exited.
func (c *clientModel) loseConnections(at time.Duration, index int) {
	var conns []uint64
	for id, conn := range c.conns {
		if conn.director == index {
			conns = append(conns, id)
		}
	}
	slices.Sort(conns)
	for _, id := range conns {
		c.sim.events.schedule(at+c.sim.drawLatency(c.sim.random),
			func(at time.Duration) { c.sim.clientClosed(at, id, "connection lost", rulecheck.ClosedByPeer) })
	}
}

func (c *clientModel) closeConn(at time.Duration, conn *clientConn, reason, by string) {
	conn.closed = true
	delete(c.conns, conn.id)
	if conn.requestedAt > 0 { // a connection that was never accepted carried no request and is not recorded
		r := c.newRecord(conn, rulecheck.ConnClosed)
		r.RequestID, r.ClosedBy, r.Reason = "", by, reason
		c.sim.addRecord(at, r)
	}
}

// disconnect ends an attempt from the client's side.
func (c *clientModel) disconnect(at time.Duration, conn *clientConn, outcome attemptOutcome) {
	if conn.closed {
		return
	}
	c.closeConn(at, conn, "closed here", rulecheck.ClosedByRecorder)
	d := c.sim.directors[conn.director]
	c.sim.deliver(at+c.sim.opt.Latency.Max, d, conn.boot, director.ClientLost{Conn: conn.id})
	c.finishAttempt(at, conn.client, outcome)
}

// An attemptOutcome describes how an attempt ended.
type attemptOutcome struct {
	played      time.Duration
	backoff     time.Duration // from a nack; 0: none
	retry       bool          // the client may retry
	sameSession bool          // a retry asks for the same session
}

// finishAttempt schedules the client's retry, or removes the client from the day.
func (c *clientModel) finishAttempt(at time.Duration, client *emulatedClient, outcome attemptOutcome) {
	sim, behavior := c.sim, c.sim.script.Behavior
	client.remaining -= outcome.played
	if outcome.played > 0 {
		client.waitingSince = at
	}
	if !outcome.sameSession {
		client.sessionNumber++
	}
	if !outcome.retry || client.remaining < 200*time.Millisecond || client.random.Float64() >= behavior.RetryShare ||
		at > settleTime+sim.script.Length+2*time.Second {
		c.active--
		c.maxEarning -= client.BestRungValue * sim.creditByTariff[client.Tariff]
		c.checkFinished()
		return
	}
	pause := behavior.MinRetryDelay + time.Duration(client.random.Int64N(int64(max(1, behavior.MaxRetryDelay-behavior.MinRetryDelay))))
	if outcome.backoff > 0 && client.random.Float64() < behavior.HonorsBackoffShare {
		pause = max(pause, outcome.backoff)
	}
	client.retries++
	sim.events.schedule(at+pause, func(at time.Duration) { c.connect(at, client) })
}
