// Package daemon runs a director's loop on sockets: it listens for players, connects to nodes and to the
// list, and hands what happens to the loop, one goroutine of its own that nobody else reaches but by its
// inbox. It decides nothing.
package daemon

import (
	"errors"
	"fmt"
	"net/netip"
	"runtime"
	"runtime/metrics"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gobwas/ws"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"fordusher/internal/conf"
	"fordusher/internal/director"
	"fordusher/internal/transport"
	"fordusher/internal/wire"
	"fordusher/limits"
	"fordusher/reach"
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

// lateness is the loop's greatest lateness in a span and in the one before, so that who looks changes nothing.
type lateness struct {
	now, before time.Duration
	ends        time.Duration
}

// lateSpan is longer than the usual time between two looks at the metrics.
const lateSpan = 15 * time.Second

func (l *lateness) note(now, late time.Duration) {
	if now >= l.ends {
		l.before, l.now, l.ends = l.now, 0, now+lateSpan
	}
	l.now = max(l.now, late)
}

type snapshot struct {
	counts                     director.Counts
	owed, playing, legs, links int
	players                    int
	late                       time.Duration
	used, busy                 int
	mode                       limits.Mode
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
		d.inbox.put(item{in: director.ListSaid{Message: wire.List{Type: wire.Whole, Nodes: house.Nodes, Titles: house.Titles}}})
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

// Stop orders the director to end as package closing decides; Done tells when it has.
func (d *Daemon) Stop() { d.inbox.put(item{in: director.Stop{}}) }

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

// MoveList says that the list's source is at another address from now on.
func (d *Daemon) MoveList(address string) {
	d.listAt.Store(&address)
	select {
	case d.moved <- struct{}{}:
	default:
	}
}

// Done is closed once the director has ended.
func (d *Daemon) Done() <-chan struct{} { return d.done }

// Kill ends the director at once, as a crash would: nothing that it owes is answered.
func (d *Daemon) Kill() {
	d.once.Do(func() { close(d.quit) })
	<-d.done
}

// An item of the inbox is what happened, with the connection that it made known.
type item struct {
	in   director.Input
	conn *transport.Conn
	peer *peer
	came time.Time // of what stood in line
}

// A peer counts what of it waits for the loop: the inbox's bound, peer by peer.
type peer struct {
	number  uint64
	pending atomic.Int32
	left    atomic.Bool // a player's connection has ended
	said    []item      // what stands in line, of a player; the inbox's
	lined   bool        // it has a place in line; the inbox's
	undone  []string    // ids cancelled while something of it was in the batch in hand; at most a turn. The inbox's
}

// inbox is how everybody else reaches the loop. What connections say is bounded peer by peer; all else
// is one item for each thing that the loop itself asked for.
//
// What players ask stands in a line of its own, of which the loop takes a turn's worth after all else that
// is there: what nodes and the list say, endings, and what the loop asked for never wait behind requests.
// Of one player everything keeps its order: while anything of it stands in line, so does the rest. Players take
// turns, one item each, so that who asks for much waits behind itself and not others behind it.
type inbox struct {
	mu    sync.Mutex
	first []item
	line  []*peer // those who have something in line, the next one first
	head  int     // of the line
	stood int     // items
	wake  chan struct{}
}

// turn is how much of the line is taken at a time.
const turn = 64

// put adds what is not a player's.
func (b *inbox) put(i item) {
	b.mu.Lock()
	b.first = append(b.first, i)
	b.mu.Unlock()
	b.rouse()
}

// stand adds what a player's connection says, at the end of the line. Its peer counts until it is taken.
func (b *inbox) stand(i item) {
	i.came = time.Now()
	b.mu.Lock()
	if !i.peer.lined {
		b.line = append(b.line, i.peer)
		i.peer.lined = true
	}
	if e, ok := i.in.(director.PlayerSaid); ok && len(i.peer.undone) > 0 { // what was cancelled came before this
		i.peer.undone = slices.DeleteFunc(i.peer.undone, func(id string) bool { return id == e.Message.ID })
	}
	i.peer.said = append(i.peer.said, i)
	b.stood++
	b.mu.Unlock()
	b.rouse()
}

func (b *inbox) rouse() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// take returns all that is first and a turn of the line.
func (b *inbox) take(into []item) []item {
	b.mu.Lock()
	defer b.mu.Unlock()
	taken := b.first
	b.first = into[:0]
	for most := len(taken) + turn; len(taken) < most && b.head < len(b.line); {
		p := b.line[b.head]
		b.line[b.head] = nil
		b.head++
		if len(p.said) > 0 { // else it has withdrawn what it had there
			taken = append(taken, p.said[0])
			p.said[0] = item{}
			p.said = p.said[1:]
			b.stood--
		}
		if p.lined = len(p.said) > 0; p.lined {
			b.line = append(b.line, p)
		} else {
			p.said = nil
		}
	}
	if b.head > 1024 && b.head*2 > len(b.line) || b.head == len(b.line) {
		b.line = b.line[:copy(b.line, b.line[b.head:])]
		b.head = 0
	}
	return taken
}

// cancel takes a player's word that it leaves a request. Where the request still stands in line neither reaches the
// loop; else the word goes before all that does, so that no attempt is begun for who is known to have left. It keeps
// its place where what it ends, or the connection itself, is still to be made known.
func (b *inbox) cancel(i item, id string) {
	i.came = time.Now()
	b.mu.Lock()
	stands := false
	for k, x := range i.peer.said {
		e, ok := x.in.(director.PlayerSaid)
		if ok && e.Message.ID == id && asks(e) {
			i.peer.said = slices.Delete(i.peer.said, k, k+1)
			b.stood--
			b.mu.Unlock()
			i.peer.pending.Add(-2)
			return
		}
		stands = stands || !ok || e.Message.ID == id
	}
	if !stands {
		if int(i.peer.pending.Load())-1 > len(i.peer.said) { // the request may be in the batch in hand
			i.peer.undone = append(i.peer.undone[max(0, len(i.peer.undone)-turn+1):], id)
		} else {
			i.peer.undone = nil
		}
		b.first = append(b.first, i)
	}
	b.mu.Unlock()
	if stands {
		b.stand(i)
	}
	b.rouse()
}

// undone tells whether a request of the batch in hand was cancelled meanwhile.
func (b *inbox) undone(p *peer, id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if int(p.pending.Load()) <= len(p.said) {
		p.undone = nil
	}
	return slices.Contains(p.undone, id)
}

// close takes word that a player's connection has ended. What it has asked for is withdrawn from the line where
// nothing is owed to who has left; the word waits only for what else stands there.
func (b *inbox) close(i item, owed bool) {
	p := i.peer
	b.mu.Lock()
	if !owed {
		stood := len(p.said)
		p.said = slices.DeleteFunc(p.said, func(x item) bool {
			said, ok := x.in.(director.PlayerSaid)
			return ok && asks(said)
		})
		b.stood -= stood - len(p.said)
		p.pending.Add(int32(len(p.said) - stood))
	}
	stands := len(p.said) > 0
	if !stands {
		i.peer = nil
		b.first = append(b.first, i)
	}
	b.mu.Unlock()
	if stands {
		p.pending.Add(1)
		b.stand(i)
	}
	b.rouse()
}

// asks tells whether a player asks for a session that does not play yet.
func asks(e director.PlayerSaid) bool {
	return e.Message.Type == wire.Want && (e.Brought == nil || e.Brought.Playing == "")
}

// waits is how many stand in line.
func (b *inbox) waits() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.stood
}

func (d *Daemon) now() time.Duration { return time.Since(d.began) + time.Duration(d.skew.Load()) }

// snapEvery is how often the figures for metrics are renewed.
const snapEvery = 200 * time.Millisecond

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
			if d.house.Room.Memory > 0 {
				ended = d.carryOut(d.loop.Step(now, director.Memory{Bytes: used()})) || ended
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

// cut ends every connection at once.
func (d *Daemon) cut() {
	d.server.Close()
	for _, c := range d.links {
		c.Reset()
	}
	if d.list != nil {
		d.list.Cut()
	}
}

// farewell lets what is queued go out, for a short while, and then ends every connection.
func (d *Daemon) farewell() {
	d.server.Refusing(true)
	d.server.Each(func(c *transport.Conn) { c.Close(closeGoing, "director closes") }) // what has come in part is no request
	for end := time.Now().Add(d.house.Door.Players.Write * 2); time.Now().Before(end); {
		open := 0
		d.server.Each(func(*transport.Conn) { open++ })
		if open == 0 {
			break
		}
		time.Sleep(time.Millisecond)
	}
	d.once.Do(func() { close(d.quit) })
	d.cut()
	d.log.Info().Msg("closed")
}

// used is what the program holds of the machine's memory.
func used() int64 {
	sample := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(sample)
	return int64(sample[0].Value.Uint64() - sample[1].Value.Uint64())
}

func (d *Daemon) snap() {
	d.late.note(d.now(), 0)
	s := &snapshot{players: len(d.players), late: max(d.late.now, d.late.before)}
	s.used, s.busy, s.mode = d.loop.Room()
	s.counts, s.owed, s.playing, s.legs, s.links = d.loop.Counts()
	d.seen.Store(s)
}

// take hands one thing that happened to the loop.
func (d *Daemon) take(i item) (ended bool) {
	if i.peer != nil {
		i.peer.pending.Add(-1)
	}
	switch e := i.in.(type) {
	case director.PlayerSaid:
		if d.house.Manners.Linger == 0 && asks(e) && (i.peer.left.Load() || d.inbox.undone(i.peer, e.Message.ID)) {
			return false // who left while the request waited here is owed nothing, and nothing is begun for it
		}
		e.Waited = time.Since(d.pauses.sent(i.came))
		i.in = e
	case director.PlayerKnocked:
		d.players[e.Conn] = i.conn
	case director.PlayerClosed:
		delete(d.players, e.Conn)
	case director.LinkMade:
		d.links[e.Link] = i.conn
	case director.LinkLost:
		delete(d.links, e.Link)
	case director.ListOpened:
		d.list = i.conn
	case director.ListLost:
		d.list = nil
	}
	return d.carryOut(d.loop.Step(d.now(), i.in))
}

// setUpWaitsMost is how long a set-up may wait to be written. It tells a server how long its client waits, as of when it was
// made, and the rest of the slack of 0.15 s is for its way.
const setUpWaitsMost = 100 * time.Millisecond

// carryOut does what the loop wants done.
func (d *Daemon) carryOut(outs []director.Output) (ended bool) {
	var stay []uint64
	for _, o := range outs {
		switch o := o.(type) {
		case director.TellPlayer:
			c, raw := d.players[o.Conn], d.front.ToPlayer(o)
			if c == nil || raw == nil {
			} else if o.Message.Type == wire.Rung { // advice: the next one makes it worthless
				c.Advise(raw, o.Merge)
			} else {
				c.Send(raw, 0)
			}
		case director.Welcome:
			if c := d.players[o.Conn]; c != nil {
				c.Welcome()
			}
		case director.TurnAway:
			if c := d.players[o.Conn]; c != nil {
				c.TurnAway(o.Retry, o.Why)
			}
		case director.ClosePlayer:
			if c := d.players[o.Conn]; c == nil {
			} else if p, ok := c.Cookie().(*peer); ok && o.Idle && p.pending.Load() > 0 {
				stay = append(stay, o.Conn)
			} else if o.Code == 0 && !c.Queued() {
				c.Cut()
			} else {
				c.Close(ws.StatusCode(o.Code), o.Why)
			}
		case director.TellNode:
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
		case director.AskAlive:
			if c := d.links[o.Link]; c != nil {
				c.Ping()
				d.inbox.put(item{in: director.LinkAlive{Link: o.Link, Quiet: c.Quiet()}})
			}
		case director.AskPlayerAlive:
			if c := d.players[o.Conn]; c != nil {
				c.Ping()
				d.inbox.put(item{in: director.PlayerAlive{Conn: o.Conn, Quiet: c.Quiet()}})
			}
		case director.HangUp:
			if c := d.links[o.Link]; c != nil {
				c.Cut()
			}
		case director.Connect:
			go d.connect(o)
		case director.TellList:
			if d.list != nil {
				if raw := d.front.ToList(o.Message); raw != nil {
					d.list.Send(raw, 0)
				}
			}
		case director.Log:
			d.log.Info().Msg(o.Words)
		case director.StopAccepting:
			d.server.StopAccepting()
		case director.Ended:
			ended = true
		}
	}
	for _, conn := range stay { // before what it said is taken
		ended = d.carryOut(d.loop.Step(d.now(), director.PlayerStays{Conn: conn})) || ended
	}
	return ended
}

func (d *Daemon) connect(o director.Connect) {
	h := &link{d: d, node: o.Node, peer: peer{number: o.Link}}
	if _, err := d.front.DialNode(o.Address, o.Within, h); err != nil {
		d.inbox.put(item{in: director.LinkFailed{Node: o.Node, Link: o.Link, Refused: errors.Is(err, syscall.ECONNREFUSED),
			Crowded: transport.IsLocal(err)}})
	}
}

// follow keeps the connection to the list's source.
func (d *Daemon) follow() {
	pace := d.house.Pace
	pace.OnNeed = false // the list's source is needed all the time
	r := reach.New(d.seed, pace)
	plan := r.Step(d.now(), reach.Event{What: reach.Listed})
	for {
		select {
		case <-d.quit:
			return
		default:
		}
		if len(plan.Dial) == 0 {
			select {
			case <-d.quit:
				return
			case <-d.moved: // it was tried where it is no more
				plan = r.Step(d.now(), reach.Event{What: reach.Listed})
				continue
			case <-time.After(max(0, plan.Ring-d.now())):
			}
			plan = r.Step(d.now(), reach.Event{What: reach.Ring})
			continue
		}
		h := &source{d: d, gone: make(chan struct{})}
		conn, err := d.front.DialList(*d.listAt.Load(), time.Second, h)
		if err != nil {
			d.log.Warn().Err(err).Msg("the list can't be reached; the last one stays in force")
			plan = r.Step(d.now(), reach.Event{What: reach.Failed})
			continue
		}
		r.Step(d.now(), reach.Event{What: reach.Made})
		for ended := false; !ended; {
			select {
			case <-d.quit:
				return
			case <-h.gone:
				ended = true
			case <-d.moved:
				conn.Cut()
			case <-time.After(snapEvery):
				if quiet := d.house.ListQuiet; quiet > 0 && conn.Quiet() > quiet {
					d.log.Warn().Dur("quiet", quiet).Msg("the list's source says nothing any more: it is connected to again")
					conn.Cut()
				}
			}
		}
		plan = r.Step(d.now(), reach.Event{What: reach.Lost})
	}
}

// hand puts a message of a node or of the list into the inbox, unless too many of its wait there.
func (d *Daemon) hand(c *transport.Conn, p *peer, in director.Input) {
	if d.bound(c, p) {
		d.inbox.put(item{in: in, peer: p})
	}
}

// bound counts one more message of a peer that waits, and closes the peer's connection where that is too
// many.
func (d *Daemon) bound(c *transport.Conn, p *peer) bool {
	if p.pending.Add(1) <= int32(d.house.Door.Inbox) {
		return true
	}
	p.pending.Add(-1)
	d.flooded.Add(1)
	c.EndInput(errFlood, closePolicy)
	return false
}

// refuse answers a request for which there is no room in the inbox. The loop never hears of it, so it has never run.
func (d *Daemon) refuse(c *transport.Conn, in director.PlayerSaid) {
	d.overfull.Add(1)
	c.Send(d.front.ToPlayer(director.TellPlayer{Message: wire.Session{
		Type: wire.Nack, ID: in.Message.ID, Backoff: d.house.Queue.Retry.Milliseconds(), Why: "too many requests at once"}}), 0)
}

const (
	closePolicy = 1008
	closeData   = 1007
	closeGoing  = 1001
)

// complainEvery is how often a malformed message of each kind of peer is told of; in between they are counted.
const complainEvery = 10 * time.Second

func (d *Daemon) malformed(c *transport.Conn, who int, err error) {
	n := d.refused[who].Add(1)
	d.complain[who].Do(func() {
		d.log.Warn().Str("peer", c.Peer().String()).Str("from", [...]string{"player", "node", "list"}[who]).Int64("so_far", n).
			Str("error", clip(err.Error())).Msg("a malformed message")
	})
	c.EndInput(err, closeData)
}

// errFlood ends the input of a peer of which too much waits for the loop.
var errFlood = errors.New("too many messages at once")

// clip bounds what a peer can put into a line; the writer escapes it.
func clip(text string) string {
	const most = 200
	if len(text) > most {
		text = text[:most] + "..."
	}
	return strings.ToValidUTF8(text, "?")
}

type players struct{ d *Daemon }

func (h players) Knock(c *transport.Conn) {
	p := &peer{number: h.d.lastConn.Add(1)}
	c.SetCookie(p)
	var from netip.Addr
	if a, ok := c.Peer().(interface{ AddrPort() netip.AddrPort }); ok {
		from = a.AddrPort().Addr().Unmap()
	} else if a, err := netip.ParseAddrPort(c.Peer().String()); err == nil {
		from = a.Addr().Unmap()
	}
	p.pending.Add(1)
	h.d.inbox.stand(item{in: director.PlayerKnocked{Conn: p.number, Address: from}, conn: c, peer: p})
}

func (h players) Opened(c *transport.Conn) {
	h.d.inbox.put(item{in: director.PlayerOpened{Conn: c.Cookie().(*peer).number}})
}

func (h players) Message(c *transport.Conn, raw []byte) {
	p := c.Cookie().(*peer)
	in, reply, err := h.d.front.FromPlayer(raw)
	if err != nil {
		h.d.malformed(c, 0, err)
		return
	}
	if reply != nil {
		c.Send(reply, 0)
	}
	if in.Message.Type == "" {
		return
	}
	if asks(in) && int(p.pending.Load()) >= h.d.house.Door.Inbox {
		h.d.refuse(c, in)
		return
	}
	if !h.d.bound(c, p) {
		return
	}
	in.Conn = p.number
	if i := (item{in: in, peer: p}); in.Message.Type == wire.Leave && h.d.house.Manners.Linger == 0 {
		h.d.inbox.cancel(i, in.Message.ID)
	} else {
		h.d.inbox.stand(i)
	}
}

// InputEnded says that nothing more is read from a player's connection. The loop closes it once it owes nothing on it.
func (h players) InputEnded(c *transport.Conn, why error) {
	p, ok := c.Cookie().(*peer)
	if !ok { // it has not knocked
		c.Close(closeData, why.Error())
		return
	}
	h.d.deafened.Add(1)
	p.pending.Add(1)
	h.d.inbox.stand(item{in: director.ClientInputEnded{Conn: p.number, Reason: clip(why.Error())}, peer: p})
}

func (h players) Closed(c *transport.Conn, why error, _ []uint64) {
	if p, ok := c.Cookie().(*peer); ok {
		p.left.Store(true)
		h.d.inbox.close(item{in: director.PlayerClosed{Conn: p.number, Reason: clip(why.Error())}, peer: p}, h.d.house.Manners.Linger > 0)
	}
}

type link struct {
	d    *Daemon
	node string
	peer peer
}

func (h *link) Opened(c *transport.Conn) {
	h.d.inbox.put(item{in: director.LinkMade{Node: h.node, Link: h.peer.number}, conn: c})
}

// Expired says that a set-up was not written in time, and never will be.
func (h *link) Expired(_ *transport.Conn, attempt uint64) {
	h.d.inbox.put(item{in: director.Withdrawn{Leg: attempt}})
}

func (h *link) Message(c *transport.Conn, raw []byte) {
	in, reply, err := h.d.front.FromNode(raw)
	if err != nil {
		h.d.malformed(c, 1, fmt.Errorf("node %s: %w", h.node, err))
		return
	}
	if reply != nil {
		c.Send(reply, 0)
	}
	if in.Message.Type != "" {
		in.Link = h.peer.number
		h.d.hand(c, &h.peer, in)
	}
}

func (h *link) Closed(_ *transport.Conn, why error, unsent []uint64) {
	h.d.inbox.put(item{in: director.LinkLost{Link: h.peer.number, Unsent: unsent, Reason: clip(why.Error())}})
}

type source struct {
	d    *Daemon
	peer peer
	gone chan struct{}
}

func (h *source) Opened(c *transport.Conn) {
	h.d.inbox.put(item{in: director.ListOpened{}, conn: c})
}

func (h *source) Message(c *transport.Conn, raw []byte) {
	m, err := h.d.front.FromList(raw)
	if err != nil {
		h.d.malformed(c, 2, err)
		return
	}
	if m.Type != "" {
		h.d.hand(c, &h.peer, director.ListSaid{Message: m})
	}
}

func (h *source) Closed(*transport.Conn, error, []uint64) {
	h.d.inbox.put(item{in: director.ListLost{}})
	close(h.gone)
}

// Describe and Collect make a Daemon a prometheus.Collector.
func (d *Daemon) Describe(ch chan<- *prometheus.Desc) { prometheus.DescribeByCollect(d, ch) }

// Collect reads the figures that the loop last left.
func (d *Daemon) Collect(ch chan<- prometheus.Metric) {
	s := d.seen.Load()
	c := &s.counts
	for _, x := range []struct {
		name, help string
		kind       prometheus.ValueType
		value      float64
	}{
		{"requests_taken_total", "requests for a session", prometheus.CounterValue, float64(c.Taken)},
		{"requests_repeated_total", "repetitions, answered as before", prometheus.CounterValue, float64(c.Repeated)},
		{"sessions_adopted_total", "sessions found again by their viewer's key", prometheus.CounterValue, float64(c.Adopted)},
		{"answers_played_total", "final answers: it plays", prometheus.CounterValue, float64(c.Played)},
		{"answers_nacked_total", "final answers: coming again does no harm", prometheus.CounterValue, float64(c.Nacked)},
		{"answers_errored_total", "final answers that claim nothing", prometheus.CounterValue, float64(c.Errored)},
		{"requests_gone_total", "viewers who left before the answer", prometheus.CounterValue, float64(c.Gone)},
		{"answers_overdue_total", "answers that the loop had to give in the module's place", prometheus.CounterValue, float64(c.Overdue)},
		{"legs_total", "set-ups sent", prometheus.CounterValue, float64(c.Legs)},
		{"legs_further_total", "set-ups beyond a session's first", prometheus.CounterValue, float64(c.Further)},
		{"sessions_broken_total", "sessions that lost their node", prometheus.CounterValue, float64(c.Broken)},
		{"odd_moves_total", "moves that no table has; should be 0", prometheus.CounterValue, float64(c.OddMove)},
		{"stray_total", "messages for what is not known (any more)", prometheus.CounterValue, float64(c.Stray)},
		{"late_total", "second answers, and answers for who has one", prometheus.CounterValue, float64(c.Late)},
		{"stalls_total", "times that the loop was late by more than 100 ms", prometheus.CounterValue, float64(c.Stalls)},
		{"unfit_total", "messages that this kind of peer does not send", prometheus.CounterValue, float64(c.BadWord)},
		{"malformed_total", "malformed messages", prometheus.CounterValue,
			float64(d.refused[0].Load() + d.refused[1].Load() + d.refused[2].Load())},
		{"overfull_total", "requests refused because too many of their connection waited", prometheus.CounterValue, float64(d.overfull.Load())},
		{"flooded_total", "connections closed for too many messages", prometheus.CounterValue, float64(d.flooded.Load())},
		{"accept_complaints_total", "failures that the transport noted", prometheus.CounterValue, float64(transport.Complaints())},
		{"answers_owed", "requests without an answer yet", prometheus.GaugeValue, float64(s.owed)},
		{"sessions_playing", "sessions that play", prometheus.GaugeValue, float64(s.playing)},
		{"legs_out", "legs, set-ups and sessions", prometheus.GaugeValue, float64(s.legs)},
		{"node_connections", "connections to nodes", prometheus.GaugeValue, float64(s.links)},
		{"players_turned_away_total", "players not let in", prometheus.CounterValue, float64(c.TurnedAway)},
		{"requests_pressed_total", "requests nacked because they had waited too long for the loop", prometheus.CounterValue, float64(c.Pressed)},
		{"requests_waiting", "what stands in line for the loop", prometheus.GaugeValue, float64(d.inbox.waits())},
		{"players_let_go_total", "idle players let go", prometheus.CounterValue, float64(c.LetGo)},
		{"room_mode", "0 normal, 1 saving, 2 full", prometheus.GaugeValue, float64(s.mode)},
		{"player_connections_busy", "players with a session or an answer owed", prometheus.GaugeValue, float64(s.busy)},
		{"player_connections", "connections of players", prometheus.GaugeValue, float64(s.players)},
		{"client_input_ended_total", "clients from whom nothing more could be read", prometheus.CounterValue, float64(d.deafened.Load())},
		{"loop_late_seconds", "greatest lateness of the loop in the last 15 to 30 s", prometheus.GaugeValue, s.late.Seconds()},
	} {
		ch <- prometheus.MustNewConstMetric(prometheus.NewDesc("fordusher_"+x.name, x.help, nil, nil), x.kind, x.value)
	}
	refused := prometheus.NewDesc("fordusher_invariant_violations_total", "what the guard has refused, by rule; should be 0", []string{"rule"}, nil)
	for rule, n := range c.Violations() {
		ch <- prometheus.MustNewConstMetric(refused, prometheus.CounterValue, float64(n), rule)
	}
	never := prometheus.NewDesc("fordusher_legs_never_ran_total", "legs that provably never ran, by proof", []string{"proof"}, nil)
	for word, n := range c.Proofs() {
		ch <- prometheus.MustNewConstMetric(never, prometheus.CounterValue, float64(n), word)
	}
}

// Counts returns what the loop has counted, as of the last 200 ms.
func (d *Daemon) Counts() director.Counts { return d.seen.Load().counts }
