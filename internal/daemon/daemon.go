// Package daemon runs a director's loop on sockets. It listens for clients, connects to the nodes and to the
// discovery service, passes their messages and connection events to the loop, and carries out the loop's outputs.
// The loop has a goroutine of its own; all other goroutines reach it through its inbox only. The package makes no
// placement decisions.
package daemon

import (
	"net/netip"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gobwas/ws"
	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"fordusher/internal/conf"
	"fordusher/internal/director"
	"fordusher/internal/transport"
	"fordusher/internal/wire"
)

// Daemon is a running director: one instance of the program.
type Daemon struct {
	config    *conf.Config
	protocol  Protocol
	loop      *director.Loop
	log       zerolog.Logger
	startedAt time.Time
	seed      uint64
	server    *transport.Server

	inbox    inbox
	quit     chan struct{} // closed by Kill
	done     chan struct{} // closed once the loop has ended
	killOnce sync.Once

	// Only the loop's goroutine uses these.
	clients   map[uint64]*transport.Conn // open client connections, by connection id
	links     map[uint64]*transport.Conn // open node connections, by link id
	discovery []*transport.Conn          // open connections to discovery, the latest last

	discoveryAddress atomic.Pointer[string] // the discovery service's current address
	discoveryMoved   chan struct{}          // signals a new discovery address

	lastConnID         atomic.Uint64
	stopRequestedAt    atomic.Int64 // on the clock of now; 0: not requested
	lastSnapshot       atomic.Pointer[snapshot]
	malformedCounts    [3]atomic.Int64 // malformed messages from clients, nodes and discovery
	malformedLogLimits [3]rate.Sometimes
	floodCloses        atomic.Int64 // connections closed because too many of their messages waited
	inboxFullRejects   atomic.Int64 // requests rejected because their peer's share of the inbox was full
	inputEndedCount    atomic.Int64 // client connections from which nothing more could be read

	discoveryCalls, discoveryCallsGivenUp atomic.Uint64 // calls of discovery, and those closed unanswered

	clockOffset  atomic.Int64  // added by AdvanceClock
	loopLateness lateness      // used by the loop's goroutine only
	pauses       pauseDetector // pauses of the whole process; used by the loop's goroutine only
	answerDelay  answerDelay   // the time that nodes' answers take through the director
}

// Start runs a director with a decider. Boot identifies this run; no other run of the same director may use it.
func Start(config *conf.Config, boot string, seed uint64, decider director.Decider, log zerolog.Logger) (*Daemon, error) {
	return StartWithProtocol(webSocketProtocol{config}, config, boot, seed, decider, log)
}

// StartWithProtocol is Start with a protocol other than the project's own WebSocket protocols.
func StartWithProtocol(protocol Protocol, config *conf.Config, boot string, seed uint64, decider director.Decider,
	log zerolog.Logger) (*Daemon, error) {
	d := &Daemon{
		config: config, protocol: protocol, discoveryMoved: make(chan struct{}, 1), loop: config.NewLoop(boot, seed, decider),
		log: log, startedAt: time.Now(), seed: seed,
		inbox: inbox{wake: make(chan struct{}, 1)},
		quit:  make(chan struct{}), done: make(chan struct{}),
		clients: map[uint64]*transport.Conn{}, links: map[uint64]*transport.Conn{}, answerDelay: newAnswerDelay(),
	}
	for i := range d.malformedLogLimits {
		d.malformedLogLimits[i] = rate.Sometimes{First: 3, Interval: malformedLogInterval}
	}
	d.lastSnapshot.Store(&snapshot{})
	var err error
	d.discoveryAddress.Store(&config.DiscoveryAddress)
	d.server, err = protocol.Listen(clientHandler{d})
	if err != nil {
		return nil, err
	}
	if len(config.Nodes) > 0 || len(config.Titles) > 0 { // The configured list applies until discovery sends one, if there is discovery.
		d.inbox.put(item{input: director.DiscoveryReceived{Message: wire.DiscoveryMessage{Type: wire.Snapshot,
			Nodes: config.Nodes, Titles: config.Titles}}})
	}
	d.loop.Observe(d.logEvent)
	go d.run()
	if config.DiscoveryAddress != "" {
		go d.followDiscovery()
	}
	log.Info().Str("listen", d.server.Address()).Msg(config.Summary())
	return d, nil
}

// Address is the address on which clients connect.
func (d *Daemon) Address() string { return d.server.Address() }

// AttachInMemory adds a client's in-memory connection; see transport.Server.AttachInMemory.
func (d *Daemon) AttachInMemory(n *transport.MemoryNetwork, peer netip.AddrPort, out func(p []byte)) *transport.Conn {
	return d.server.AttachInMemory(n, peer, out)
}

// ConnectionUsage returns the number of client connections in the last snapshot, and how many of them were busy (had
// a session or an unanswered request).
func (d *Daemon) ConnectionUsage() (used, busy int) {
	s := d.lastSnapshot.Load()
	return s.usedConnections, s.busyConnections
}

// AdvanceClock moves the director's clock forward, as if the process had been paused for that long. Tests and
// measurements use it.
func (d *Daemon) AdvanceClock(by time.Duration) { d.clockOffset.Add(int64(by)) }

func (d *Daemon) now() time.Duration {
	return time.Since(d.startedAt) + time.Duration(d.clockOffset.Load())
}

// run is the loop's goroutine. It handles batches of inbox items and due timers until the loop has ended or the daemon
// is killed.
func (d *Daemon) run() {
	defer close(d.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	var batch []item
	var lastSnapshotAt time.Duration
	ended := false
	for !ended {
		batch = d.inbox.takeBatch(batch)
		for i := range batch {
			ended = d.handle(batch[i]) || ended
			batch[i] = item{}
		}
		now := d.now()
		if next := d.loop.Next(); next <= now {
			d.loopLateness.observe(now, now-next)
			runtime.Gosched() // Due work may come in many batches; the goroutines that read from peers run between them.
			ended = d.execute(d.loop.Step(now, director.Tick{})) || ended
		}
		if now >= lastSnapshotAt+snapshotInterval || ended {
			lastSnapshotAt = now
			if d.config.Capacity.MaxMemory > 0 {
				ended = d.execute(d.loop.Step(now, director.MemoryUsage{Bytes: memoryInUse()})) || ended
			}
			d.updateSnapshot()
		}
		if ended {
			break
		}
		if len(batch) > 0 {
			select {
			case <-d.quit:
				d.closeAll()
				return
			default:
			}
			continue
		}
		maxWait, waitStart := min(max(0, d.loop.Next()-d.now()), maxLoopWait), time.Now()
		timer.Reset(maxWait)
		select {
		case <-d.inbox.wake:
		case <-timer.C:
		case <-d.quit:
			d.closeAll()
			return
		}
		d.pauses.observe(waitStart, time.Now(), maxWait)
	}
	d.drainConnections()
}

// handle passes one inbox item to the loop and reports whether the loop has ended. It records the connections that
// items introduce or end.
func (d *Daemon) handle(i item) (ended bool) {
	if i.peer != nil {
		i.peer.done(i)
	}
	switch e := i.input.(type) {
	case director.LinkReceived:
		d.answerDelay.readAt = i.receivedAt
	case director.ClientReceived:
		if d.config.ProtocolOptions.Linger == 0 && e.StartsSession() &&
			(i.peer.disconnected.Load() || d.inbox.wasCancelled(i.peer, e.Message.ID)) {
			return false // The client cancelled or disconnected while the request waited: it needs no answer and starts no leg.
		}
		e.Waited = time.Since(d.pauses.earliestSent(i.receivedAt))
		i.input = e
	case director.ClientConnecting:
		d.clients[e.Conn] = i.conn
	case director.ClientLost:
		delete(d.clients, e.Conn)
	case director.LinkConnected:
		d.links[e.Link] = i.conn
	case director.LinkLost:
		delete(d.links, e.Link)
	case director.DiscoveryReceived:
		if !i.receivedAt.IsZero() {
			addAge(e.Message.Nodes, time.Since(i.receivedAt))
		}
	case director.DiscoveryConnected:
		d.discovery = append(d.discovery, i.conn)
	case director.DiscoveryLost:
		d.removeDiscovery(i.conn)
	}
	ended = d.execute(d.loop.Step(d.now(), i.input))
	d.answerDelay.readAt = time.Time{}
	return ended
}

// execute carries out the loop's outputs and reports whether the loop has ended.
func (d *Daemon) execute(outs []director.Output) (ended bool) {
	var stillActive []uint64
	var endingsNotSent []director.EndingNotSent
	for _, o := range outs {
		switch o := o.(type) {
		case director.SendClient:
			c, raw := d.clients[o.Conn], d.protocol.EncodeClient(o)
			switch {
			case raw == nil:
			case c != nil && o.Message.Type == wire.Rung: // advice, which the next one supersedes
				c.SendReplaceable(raw, o.CoalesceKey)
			case c != nil && c.Send(raw, 0):
				d.answerWritten(o)
			case o.Message.Type == wire.SessionEnded && d.config.ProtocolOptions.Detached:
				endingsNotSent = append(endingsNotSent, director.EndingNotSent{Conn: o.Conn, Message: o.Message})
			}
		case director.AcceptClient:
			if c := d.clients[o.Conn]; c != nil {
				c.Accept()
			}
		case director.RejectClient:
			if c := d.clients[o.Conn]; c != nil {
				c.Reject(o.RetryAfter, o.Reason)
			}
		case director.CloseClient:
			if c := d.clients[o.Conn]; c == nil {
			} else if p, ok := c.UserData().(*peer); ok && (o.Idle && c.InputPending() || (o.Idle || o.Settled) && p.pending.Load() > 0) {
				stillActive = append(stillActive, o.Conn)
			} else if o.Code == 0 && !c.Queued() {
				c.Abort()
			} else {
				c.Close(ws.StatusCode(o.Code), o.Reason)
			}
		case director.SendNode:
			c := d.links[o.Link]
			switch {
			case o.Setup == 0 && c != nil:
				c.Send(d.protocol.EncodeNode(o), 0)
			case o.Setup != 0 && (c == nil || !c.SendWithin(d.protocol.EncodeNode(o), o.Setup, maxSetupWriteDelay)):
				d.inbox.put(item{input: director.Withdrawn{Leg: o.Setup}}) // never queued, so it was never sent
			}
		case director.Withdraw:
			if c := d.links[o.Link]; c != nil && c.CancelSend(o.Leg) {
				d.inbox.put(item{input: director.Withdrawn{Leg: o.Leg}})
			}
		case director.ProbeLink:
			if c := d.links[o.Link]; c != nil {
				c.Ping()
				d.inbox.put(item{input: director.LinkAlive{Link: o.Link, IdleFor: c.ReadIdleTime()}})
			}
		case director.ProbeClient:
			if c := d.clients[o.Conn]; c != nil {
				c.Ping()
				d.inbox.put(item{input: director.ClientAlive{Conn: o.Conn, IdleFor: c.ReadIdleTime()}})
			}
		case director.CloseLink:
			if c := d.links[o.Link]; c == nil {
			} else if o.ReadOn > 0 {
				c.CloseWrite(o.ReadOn)
			} else {
				c.Abort()
			}
		case director.Connect:
			go d.connect(o)
		case director.SendDiscovery:
			d.sendDiscovery(o.Message)
		case director.Log:
			d.log.Info().Msg(o.Text)
		case director.StopAccepting:
			d.server.StopAccepting()
		case director.ShutdownComplete:
			ended = true
		}
	}
	for _, e := range endingsNotSent {
		ended = d.execute(d.loop.Step(d.now(), e)) || ended
	}
	for _, conn := range stillActive { // reported before the connection's waiting messages are handled
		ended = d.execute(d.loop.Step(d.now(), director.ClientStillActive{Conn: conn})) || ended
	}
	return ended
}
