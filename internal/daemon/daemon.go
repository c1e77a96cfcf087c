// Package daemon runs a director's loop on sockets: it listens for players, connects to nodes and to the
// list, and hands what happens to the loop, one goroutine of its own that nobody else reaches but by its
// inbox. It decides nothing.
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

// Daemon is a running director.
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
	done     chan struct{} // closed when the loop has ended
	killOnce sync.Once

	// Only the loop's goroutine touches these.
	clients   map[uint64]*transport.Conn // emptied as connections close
	links     map[uint64]*transport.Conn // emptied as connections end
	discovery *transport.Conn

	discoveryAddress atomic.Pointer[string] // where the list's source is
	discoveryMoved   chan struct{}          // it is elsewhere now

	lastConnID         atomic.Uint64
	lastSnapshot       atomic.Pointer[snapshot]
	malformedCounts    [3]atomic.Int64 // malformed messages of players, nodes, the list
	malformedLogLimits [3]rate.Sometimes
	floodCloses        atomic.Int64
	inboxFullRejects   atomic.Int64 // requests refused for want of room in the inbox
	inputEndedCount    atomic.Int64
	clockOffset        atomic.Int64  // by Jump
	loopLateness       lateness      // of the loop's goroutine
	pauses             pauseDetector // of the process; the loop's goroutine
}

// Start runs a director around a module. Boot is a word that no other run of this director has used.
func Start(house *conf.Config, boot string, seed uint64, module director.Decider, log zerolog.Logger) (*Daemon, error) {
	return StartWithProtocol(webSocketProtocol{house}, house, boot, seed, module, log)
}

// StartWithProtocol is Start for a front other than the project's own protocols.
func StartWithProtocol(front Protocol, house *conf.Config, boot string, seed uint64, module director.Decider, log zerolog.Logger) (*Daemon, error) {
	d := &Daemon{
		config: house, protocol: front, discoveryMoved: make(chan struct{}, 1), loop: house.NewLoop(boot, seed, module), log: log, startedAt: time.Now(), seed: seed,
		inbox: inbox{wake: make(chan struct{}, 1)},
		quit:  make(chan struct{}), done: make(chan struct{}),
		clients: map[uint64]*transport.Conn{}, links: map[uint64]*transport.Conn{},
	}
	for i := range d.malformedLogLimits {
		d.malformedLogLimits[i] = rate.Sometimes{First: 3, Interval: malformedLogInterval}
	}
	d.lastSnapshot.Store(&snapshot{})
	var err error
	d.discoveryAddress.Store(&house.DiscoveryAddress)
	d.server, err = front.Listen(clientHandler{d})
	if err != nil {
		return nil, err
	}
	if len(house.Nodes) > 0 || len(house.Titles) > 0 { // until the list's source is heard, if there is one
		d.inbox.put(item{input: director.DiscoveryReceived{Message: wire.DiscoveryMessage{Type: wire.Snapshot, Nodes: house.Nodes, Titles: house.Titles}}})
	}
	d.loop.Observe(d.logEvent)
	go d.run()
	if house.DiscoveryAddress != "" {
		go d.followDiscovery()
	}
	log.Info().Str("listen", d.server.Address()).Msg(house.Summary())
	return d, nil
}

// Address is where players connect.
func (d *Daemon) Address() string { return d.server.Address() }

// Attach adds a player's connection in memory; see transport.Server.Attach.
func (d *Daemon) Attach(n *transport.MemoryNetwork, peer netip.AddrPort, out func(p []byte)) *transport.Conn {
	return d.server.AttachInMemory(n, peer, out)
}

// ConnectionUsage tells how many players' connections there were at the last look, and how many of them were busy.
func (d *Daemon) ConnectionUsage() (used, busy int) {
	s := d.lastSnapshot.Load()
	return s.usedConnections, s.busyConnections
}

// AdvanceClock lets the director's clock jump ahead, as if the process had stood still for so long: for
// measurements.
func (d *Daemon) AdvanceClock(by time.Duration) { d.clockOffset.Add(int64(by)) }

func (d *Daemon) now() time.Duration {
	return time.Since(d.startedAt) + time.Duration(d.clockOffset.Load())
}

func (d *Daemon) run() {
	defer close(d.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	var batch []item
	var snapped time.Duration
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
			runtime.Gosched() // what is due may come in many slices; whoever reads from peers gets a turn between them
			ended = d.execute(d.loop.Step(now, director.Tick{})) || ended
		}
		if now >= snapped+snapshotInterval || ended {
			snapped = now
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
		waits, from := min(max(0, d.loop.Next()-d.now()), maxLoopWait), time.Now()
		timer.Reset(waits)
		select {
		case <-d.inbox.wake:
		case <-timer.C:
		case <-d.quit:
			d.closeAll()
			return
		}
		d.pauses.observe(from, time.Now(), waits)
	}
	d.drainConnections()
}

// handle hands one thing that happened to the loop.
func (d *Daemon) handle(i item) (ended bool) {
	if i.peer != nil {
		i.peer.pending.Add(-1)
	}
	switch e := i.input.(type) {
	case director.ClientReceived:
		if d.config.ProtocolOptions.Linger == 0 && isNewRequest(e) && (i.peer.disconnected.Load() || d.inbox.wasCancelled(i.peer, e.Message.ID)) {
			return false // who left while the request waited here is owed nothing, and nothing is begun for it
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
	case director.DiscoveryConnected:
		d.discovery = i.conn
	case director.DiscoveryLost:
		d.discovery = nil
	}
	return d.execute(d.loop.Step(d.now(), i.input))
}

// execute does what the loop wants done.
func (d *Daemon) execute(outs []director.Output) (ended bool) {
	var stay []uint64
	for _, o := range outs {
		switch o := o.(type) {
		case director.SendClient:
			c, raw := d.clients[o.Conn], d.protocol.EncodeClient(o)
			if c == nil || raw == nil {
			} else if o.Message.Type == wire.Rung { // advice: the next one makes it worthless
				c.SendReplaceable(raw, o.CoalesceKey)
			} else {
				c.Send(raw, 0)
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
			} else if p, ok := c.UserData().(*peer); ok && o.Idle && p.pending.Load() > 0 {
				stay = append(stay, o.Conn)
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
				d.inbox.put(item{input: director.Withdrawn{Leg: o.Setup}}) // never queued, so never sent
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
			if c := d.links[o.Link]; c != nil {
				c.Abort()
			}
		case director.Connect:
			go d.connect(o)
		case director.SendDiscovery:
			if d.discovery != nil {
				if raw := d.protocol.EncodeDiscovery(o.Message); raw != nil {
					d.discovery.Send(raw, 0)
				}
			}
		case director.Log:
			d.log.Info().Msg(o.Text)
		case director.StopAccepting:
			d.server.StopAccepting()
		case director.ShutdownComplete:
			ended = true
		}
	}
	for _, conn := range stay { // before what it said is taken
		ended = d.execute(d.loop.Step(d.now(), director.ClientStillActive{Conn: conn})) || ended
	}
	return ended
}
