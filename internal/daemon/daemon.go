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
	house  *conf.House
	front  Front
	loop   *director.Loop
	log    zerolog.Logger
	began  time.Time
	seed   uint64
	server *transport.Server

	inbox inbox
	quit  chan struct{} // closed by Kill
	done  chan struct{} // closed when the loop has ended
	once  sync.Once

	// Only the loop's goroutine touches these.
	players map[uint64]*transport.Conn // emptied as connections close
	links   map[uint64]*transport.Conn // emptied as connections end
	list    *transport.Conn

	listAt atomic.Pointer[string] // where the list's source is
	moved  chan struct{}          // it is elsewhere now

	lastConn atomic.Uint64
	seen     atomic.Pointer[snapshot]
	refused  [3]atomic.Int64 // malformed messages of players, nodes, the list
	complain [3]rate.Sometimes
	flooded  atomic.Int64
	overfull atomic.Int64 // requests refused for want of room in the inbox
	deafened atomic.Int64
	skew     atomic.Int64 // by Jump
	late     lateness     // of the loop's goroutine
	pauses   pauses       // of the process; the loop's goroutine
}

// Start runs a director around a module. Boot is a word that no other run of this director has used.
func Start(house *conf.House, boot string, seed uint64, module director.Decider, log zerolog.Logger) (*Daemon, error) {
	return StartAt(sockets{house}, house, boot, seed, module, log)
}

// StartAt is Start for a front other than the project's own protocols.
func StartAt(front Front, house *conf.House, boot string, seed uint64, module director.Decider, log zerolog.Logger) (*Daemon, error) {
	d := &Daemon{
		house: house, front: front, moved: make(chan struct{}, 1), loop: house.Loop(boot, seed, module), log: log, began: time.Now(), seed: seed,
		inbox: inbox{wake: make(chan struct{}, 1)},
		quit:  make(chan struct{}), done: make(chan struct{}),
		players: map[uint64]*transport.Conn{}, links: map[uint64]*transport.Conn{},
	}
	for i := range d.complain {
		d.complain[i] = rate.Sometimes{First: 3, Interval: complainEvery}
	}
	d.seen.Store(&snapshot{})
	var err error
	d.listAt.Store(&house.List)
	d.server, err = front.Listen(players{d})
	if err != nil {
		return nil, err
	}
	if len(house.Nodes) > 0 || len(house.Titles) > 0 { // until the list's source is heard, if there is one
		d.inbox.put(item{in: director.DiscoveryReceived{Message: wire.List{Type: wire.Whole, Nodes: house.Nodes, Titles: house.Titles}}})
	}
	d.loop.Observe(d.logEvent)
	go d.run()
	if house.List != "" {
		go d.follow()
	}
	log.Info().Str("listen", d.server.Address()).Msg(house.Describe())
	return d, nil
}

// Address is where players connect.
func (d *Daemon) Address() string { return d.server.Address() }

// Attach adds a player's connection in memory; see transport.Server.Attach.
func (d *Daemon) Attach(n *transport.Network, peer netip.AddrPort, out func(p []byte)) *transport.Conn {
	return d.server.Attach(n, peer, out)
}

// Room tells how many players' connections there were at the last look, and how many of them were busy.
func (d *Daemon) Room() (used, busy int) {
	s := d.seen.Load()
	return s.used, s.busy
}

// Jump lets the director's clock jump ahead, as if the process had stood still for so long: for
// measurements.
func (d *Daemon) Jump(by time.Duration) { d.skew.Add(int64(by)) }

func (d *Daemon) now() time.Duration { return time.Since(d.began) + time.Duration(d.skew.Load()) }

func (d *Daemon) run() {
	defer close(d.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	var batch []item
	var snapped time.Duration
	ended := false
	for !ended {
		batch = d.inbox.take(batch)
		for i := range batch {
			ended = d.take(batch[i]) || ended
			batch[i] = item{}
		}
		now := d.now()
		if next := d.loop.Next(); next <= now {
			d.late.note(now, now-next)
			runtime.Gosched() // what is due may come in many slices; whoever reads from peers gets a turn between them
			ended = d.carryOut(d.loop.Step(now, director.Tick{})) || ended
		}
		if now >= snapped+snapEvery || ended {
			snapped = now
			if d.house.Room.MaxMemory > 0 {
				ended = d.carryOut(d.loop.Step(now, director.MemoryUsage{Bytes: used()})) || ended
			}
			d.snap()
		}
		if ended {
			break
		}
		if len(batch) > 0 {
			select {
			case <-d.quit:
				d.cut()
				return
			default:
			}
			continue
		}
		waits, from := min(max(0, d.loop.Next()-d.now()), lookMost), time.Now()
		timer.Reset(waits)
		select {
		case <-d.inbox.wake:
		case <-timer.C:
		case <-d.quit:
			d.cut()
			return
		}
		d.pauses.waited(from, time.Now(), waits)
	}
	d.farewell()
}

// take hands one thing that happened to the loop.
func (d *Daemon) take(i item) (ended bool) {
	if i.peer != nil {
		i.peer.pending.Add(-1)
	}
	switch e := i.in.(type) {
	case director.ClientReceived:
		if d.house.Manners.Linger == 0 && asks(e) && (i.peer.left.Load() || d.inbox.undone(i.peer, e.Message.ID)) {
			return false // who left while the request waited here is owed nothing, and nothing is begun for it
		}
		e.Waited = time.Since(d.pauses.sent(i.came))
		i.in = e
	case director.ClientConnecting:
		d.players[e.Conn] = i.conn
	case director.ClientLost:
		delete(d.players, e.Conn)
	case director.LinkConnected:
		d.links[e.Link] = i.conn
	case director.LinkLost:
		delete(d.links, e.Link)
	case director.DiscoveryConnected:
		d.list = i.conn
	case director.DiscoveryLost:
		d.list = nil
	}
	return d.carryOut(d.loop.Step(d.now(), i.in))
}

// carryOut does what the loop wants done.
func (d *Daemon) carryOut(outs []director.Output) (ended bool) {
	var stay []uint64
	for _, o := range outs {
		switch o := o.(type) {
		case director.SendClient:
			c, raw := d.players[o.Conn], d.front.ToPlayer(o)
			if c == nil || raw == nil {
			} else if o.Message.Type == wire.Rung { // advice: the next one makes it worthless
				c.Advise(raw, o.CoalesceKey)
			} else {
				c.Send(raw, 0)
			}
		case director.AcceptClient:
			if c := d.players[o.Conn]; c != nil {
				c.Accept()
			}
		case director.RejectClient:
			if c := d.players[o.Conn]; c != nil {
				c.Reject(o.RetryAfter, o.Reason)
			}
		case director.CloseClient:
			if c := d.players[o.Conn]; c == nil {
			} else if p, ok := c.Cookie().(*peer); ok && o.Idle && p.pending.Load() > 0 {
				stay = append(stay, o.Conn)
			} else if o.Code == 0 && !c.Queued() {
				c.Cut()
			} else {
				c.Close(ws.StatusCode(o.Code), o.Reason)
			}
		case director.SendNode:
			c := d.links[o.Link]
			switch {
			case o.Setup == 0 && c != nil:
				c.Send(d.front.ToNode(o), 0)
			case o.Setup != 0 && (c == nil || !c.SendWithin(d.front.ToNode(o), o.Setup, setUpWaitsMost)):
				d.inbox.put(item{in: director.Withdrawn{Leg: o.Setup}}) // never queued, so never sent
			}
		case director.Withdraw:
			if c := d.links[o.Link]; c != nil && c.Withdraw(o.Leg) {
				d.inbox.put(item{in: director.Withdrawn{Leg: o.Leg}})
			}
		case director.ProbeLink:
			if c := d.links[o.Link]; c != nil {
				c.Ping()
				d.inbox.put(item{in: director.LinkAlive{Link: o.Link, IdleFor: c.Quiet()}})
			}
		case director.ProbeClient:
			if c := d.players[o.Conn]; c != nil {
				c.Ping()
				d.inbox.put(item{in: director.ClientAlive{Conn: o.Conn, IdleFor: c.Quiet()}})
			}
		case director.CloseLink:
			if c := d.links[o.Link]; c != nil {
				c.Cut()
			}
		case director.Connect:
			go d.connect(o)
		case director.SendDiscovery:
			if d.list != nil {
				if raw := d.front.ToList(o.Message); raw != nil {
					d.list.Send(raw, 0)
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
		ended = d.carryOut(d.loop.Step(d.now(), director.ClientStillActive{Conn: conn})) || ended
	}
	return ended
}
