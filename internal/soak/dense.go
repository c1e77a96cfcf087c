package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"syscall"
	"time"
)

// A dense trial has few processes. At each start of a director, hundreds of sessions that play are handed over to it,
// and many end at that moment; clients use their connections until the director is gone; servers are replaced at their
// addresses, vanish and are partitioned; discovery is silent, refuses, accepts late and moves.

// DenseOptions draws the options of a dense trial from its seed.
func DenseOptions(o Options) Options {
	random := rand.New(rand.NewPCG(o.Seed, 2))
	o.Dense = true
	o.Processes = 3 + random.IntN(4)
	o.Servers = 4 + random.IntN(5)
	o.Deadline = []time.Duration{400 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second}[random.IntN(3)]
	return o
}

// Standing sessions of a director at the beginning of a run, and the time that those play which don't end at a start.
const (
	minStanding     = 100
	maxStanding     = 400
	standingLength  = 5 * time.Second
	endAtStartShare = 30                     // percent of the sessions that end around a hand-over
	endAtStartSpan  = 150 * time.Millisecond // in which they do, from before until behind it
)

// addStandingSessions lets sessions of a director play at the servers before its first start.
func (r *run) addStandingSessions(d *director) {
	servers := r.pool.readyServers()
	for range minStanding + r.randomInt(maxStanding-minStanding) {
		s := servers[r.randomInt(len(servers))]
		id := r.checker.addStanding(d, s.name())
		session := s.resume(id, d)
		s.releaseLater(id, session, endAtStartSpan+r.randomDuration(standingLength))
	}
}

// findSession returns a session that plays at a server; nil if it does not.
func (p *serverPool) findSession(id uint64, name string) (*server, *serverSession) {
	p.mu.Lock()
	servers := p.servers
	p.mu.Unlock()
	for _, s := range servers {
		if s.name() != name {
			continue
		}
		s.mu.Lock()
		session := s.sessions[id]
		s.mu.Unlock()
		if session != nil && session.playing {
			return s, session
		}
	}
	return nil, nil
}

// readyTime is the time in which a started director must pass a test.
const readyTime = 10 * time.Second

// handOverStanding waits until the director passes a test, and hands over to its process the sessions that stand for its
// clients, in one write. Some of them end around that moment. It does so in dense trials only.
func (d *director) handOverStanding() {
	if !d.options.Dense {
		return
	}
	generation := d.currentGeneration()
	c, err := dialClient(d)
	if err != nil {
		d.checker.addRunViolation("director %d: %v", d.number, err)
		return
	}
	c.conn.Write(clientMessage(kindTest, 1, codeCause, "\x00"))
	select {
	case <-c.tested:
	case <-c.ended:
		return
	case <-time.After(readyTime):
		d.checker.addRunViolation("director %d has not passed a test within %v", d.number, readyTime)
		return
	}
	ids := d.checker.handOver(d, generation)
	var handOvers []byte
	for _, id := range ids {
		s, session := d.pool.findSession(id, d.checker.serverOf(id))
		handOvers = append(handOvers, handOverMessage(id, d.checker.className(id), d.checker.serverOf(id))...)
		if s != nil && d.pool.randomInt(100) < endAtStartShare {
			s.releaseLater(id, session, time.Duration(d.pool.randomInt(int(endAtStartSpan))))
		}
	}
	time.Sleep(time.Duration(d.pool.randomInt(int(endAtStartSpan / 2))))
	if err := c.writeWhole(d, handOvers); err != nil {
		d.checker.voidHandOver(ids)
	}
}

// writeWhole writes messages, in dense trials sometimes in pieces with pauses between them.
func (c *clientConnection) writeWhole(d *director, raw []byte) error {
	const share, pieces, maxPause = 6, 3, 30 * time.Millisecond
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if d.options.Dense && len(raw) > pieces && d.pool.randomInt(share) == 0 {
		for range pieces - 1 {
			n := 1 + d.pool.randomInt(len(raw)-1)
			if _, err := c.conn.Write(raw[:n]); err != nil {
				return err
			}
			if raw = raw[n:]; len(raw) < 2 {
				break
			}
			time.Sleep(time.Duration(d.pool.randomInt(int(maxPause))))
		}
	}
	_, err := c.conn.Write(raw)
	return err
}

// actDensely lets a client do what only clients of dense trials do, in a part of the calls. It reports whether it did.
func (r *run) actDensely(d *director, shared *clientConnection) bool {
	switch n := r.randomInt(100); {
	case n < 6: // ends a session that stands
		if id, ok := r.checker.randomStanding(d, r.randomInt); ok {
			r.checker.markCancelled(id)
			shared.writeWhole(d, cancelMessage(id))
		}
	case n < 8: // closes the shared connection though sessions stand; the next request opens another
		shared.closeUnlessOwed()
	case n < 11: // ends sessions that nobody knows, by the hundred
		var raw []byte
		for range 200 {
			raw = append(raw, cancelMessage(uint64(r.randomInt(1<<30))<<16|1)...)
		}
		r.actBadly(d, raw)
	case n < 13: // asks for what there is not
		r.actBadly(d, requestMessage(uint64(r.randomInt(1<<30))<<16|1, "none", r.deadline(), 0, 1))
	case n < 15: // claims a length that does not fit
		r.actBadly(d, []byte{0xff, 0xff, kindSetup, 0, 0, 0, 0, 0, 0, 0, 1})
	case n < 17: // hands over a session at a server that nobody knows
		r.actBadly(d, handOverMessage(uint64(r.randomInt(1<<30))<<16|1, freeClass, "s-ffffffff"))
	default:
		return false
	}
	return true
}

// actBadly sends bytes on a connection of their own and closes it a moment later.
func (r *run) actBadly(d *director, raw []byte) {
	c, err := net.DialTimeout("tcp", d.address.String(), time.Second)
	if err != nil {
		return
	}
	c.Write(raw)
	time.AfterFunc(r.randomDuration(100*time.Millisecond), func() { c.Close() })
}

// watchLimits checks that the directors keep their limits.
func (r *run) watchLimits(ctx context.Context) {
	const interval = 100 * time.Millisecond
	for sleep(ctx, interval) {
		for _, d := range r.directors {
			if open, err := os.ReadDir(d.procPath("fd")); err == nil && len(open) > socketLimit {
				r.checker.addRunViolation("director %d has %d descriptors, the limit is %d", d.number, len(open), socketLimit)
			}
			status, err := os.ReadFile(d.procPath("status"))
			if err != nil {
				continue
			}
			if peak, err := peakMemory(string(status)); err == nil && peak > memoryLimit {
				r.checker.addRunViolation("director %d has used %d MB, the limit is %d", d.number, peak>>20, memoryLimit>>20)
			}
		}
	}
}

var denseFaults = []fault{
	{8, (*run).killDirector},
	{14, (*run).restartTwice},
	{10, (*run).pauseDirector},
	{8, (*run).resetServer},
	{10, (*run).hangServer},
	{6, (*run).killServer},
	{6, (*run).vanishServer},
	{10, (*run).replaceServer},
	{10, (*run).replaceServerAtAddress},
	{12, (*run).partitionServer},
	{8, (*run).delayConnections},
	{8, (*run).closeNewConnections},
	{8, (*run).silenceDiscovery},
	{6, (*run).breakOffDiscovery},
	{8, (*run).stopDiscovery},
	{6, (*run).delayDiscovery},
	{10, (*run).moveDiscovery},
	{3, (*run).crowdDirector},
}

// restartTwice restarts a director, and half of the time once more as soon as it accepts connections.
func (r *run) restartTwice(ctx context.Context) {
	d := r.claimDirector()
	if d == nil {
		return
	}
	for range 1 + r.randomInt(2) {
		if err := d.restart(); err != nil {
			r.checker.addRunViolation("%v", err)
			return
		}
	}
}

// vanishServer lets the machine of a server lose its power. Discovery publishes later that it is gone.
func (r *run) vanishServer(ctx context.Context) {
	if len(r.pool.readyServers()) <= r.Servers/2 {
		return
	}
	s := r.randomServer()
	s.vanish()
	sleep(ctx, r.randomDuration(3*time.Second))
	r.pool.publishState(stateGone, s)
	r.addServer()
}

// replaceServerAtAddress ends a server's process and lets another listen at its addresses at once. Discovery publishes
// both a while later.
func (r *run) replaceServerAtAddress(ctx context.Context) {
	if len(r.pool.readyServers()) <= r.Servers/2 {
		return
	}
	s := r.randomServer()
	other := r.pool.add(time.Now())
	s.replaceAtAddress(other)
	sleep(ctx, r.randomDuration(1500*time.Millisecond))
	r.pool.publishState(stateGone, s)
	sleep(ctx, r.randomDuration(100*time.Millisecond))
	r.pool.publishState(stateReady, other)
}

// endpointFault changes the endpoint between a random director and a random server for a while.
func (r *run) endpointFault(ctx context.Context, longest time.Duration, begin, end func(e *endpoint)) {
	e, err := r.randomServer().endpointOf(r.randomDirector())
	if err != nil {
		return
	}
	begin(e)
	sleep(ctx, r.randomDuration(longest))
	end(e)
}

// partitionServer stops the bytes between a director and a server, in one direction or in both.
func (r *run) partitionServer(ctx context.Context) {
	in, out := true, true
	switch r.randomInt(3) {
	case 0:
		in = false
	case 1:
		out = false
	}
	r.endpointFault(ctx, 2*time.Second, func(e *endpoint) {
		e.set(func() { e.inputBlocked, e.outputBlocked = in, out })
		if in && out {
			e.setUnreachable(true)
		}
	}, func(e *endpoint) {
		if e.ownerVanished() {
			return
		}
		e.set(func() { e.inputBlocked, e.outputBlocked = false, false })
		e.setUnreachable(false)
	})
}

// delayConnections lets new connections between a director and a server come up late.
func (r *run) delayConnections(ctx context.Context) {
	r.endpointFault(ctx, time.Second, func(e *endpoint) { e.setUnreachable(true) }, func(e *endpoint) {
		if !e.ownerVanished() {
			e.setUnreachable(false)
		}
	})
}

// closeNewConnections lets a server close a director's new connections at once, and resets the open ones.
func (r *run) closeNewConnections(ctx context.Context) {
	span := r.randomDuration(400 * time.Millisecond)
	r.endpointFault(ctx, span+1, func(e *endpoint) {
		e.set(func() { e.closeEarlyUntil = time.Now().Add(span) })
		e.resetConns()
	}, func(*endpoint) {})
}

func (r *run) breakOffDiscovery(context.Context) {
	r.randomDirector().discovery.breakOff(1 + r.randomInt(8))
}

// stopDiscovery takes the discovery of a director down for a while, and publishes a drain around its return.
func (r *run) stopDiscovery(ctx context.Context) {
	v := r.randomDirector().discovery
	v.stopListening()
	sleep(ctx, r.randomDuration(4*time.Second))
	if r.randomInt(2) == 0 && len(r.pool.readyServers()) > r.Servers/2 {
		r.pool.publishState(stateDraining, r.randomServer())
		r.addServer()
	}
	if err := v.listenAgain(); err != nil {
		r.checker.addRunViolation("discovery: %v", err)
	}
}

// delayDiscovery lets the discovery of a director handle new connections late, and closes the open one.
func (r *run) delayDiscovery(ctx context.Context) {
	v := r.randomDirector().discovery
	v.setAcceptDelay(r.randomDuration(time.Second))
	v.closeConnection()
	sleep(ctx, r.randomDuration(2*time.Second))
	v.setAcceptDelay(0)
}

// moveDiscovery moves the discovery of a director up to three times in quick succession. Each time the director gets a
// new configuration and SIGHUP.
func (r *run) moveDiscovery(ctx context.Context) {
	d := r.randomDirector()
	for range 1 + r.randomInt(3) {
		if err := d.moveDiscovery(); err != nil {
			r.checker.addRunViolation("director %d: %v", d.number, err)
			return
		}
		if !sleep(ctx, r.randomDuration(300*time.Millisecond)) {
			return
		}
	}
}

// moveDiscovery lets the director's discovery listen elsewhere, replaces its configuration and sends it SIGHUP.
func (d *director) moveDiscovery() error {
	d.mu.Lock()
	cmd, ok := d.cmd, !d.exitExpected && d.stopRequestedAt.IsZero()
	d.mu.Unlock()
	if !ok {
		return nil
	}
	raw, err := os.ReadFile(d.config)
	if err != nil {
		return err
	}
	before := d.discovery.currentAddress()
	if err := d.discovery.move(); err != nil {
		return err
	}
	moved := strings.Replace(string(raw), fmt.Sprintf("%q", before), fmt.Sprintf("%q", d.discovery.currentAddress()), 1)
	if err := os.WriteFile(d.config, []byte(moved), 0o600); err != nil {
		return err
	}
	cmd.Process.Signal(syscall.SIGHUP)
	return nil
}

// crowdDirector opens more idle connections than a director has descriptors for, and keeps them for a while.
func (r *run) crowdDirector(ctx context.Context) {
	const settleTime = time.Second // until the director has no more than it wants
	d := r.randomDirector()
	setCrowdedUntil := func(t time.Time) {
		d.mu.Lock()
		d.crowdedUntil = t
		d.mu.Unlock()
	}
	setCrowdedUntil(time.Now().Add(time.Hour))
	defer func() { setCrowdedUntil(time.Now().Add(settleTime)) }()
	var idle []net.Conn
	for range socketLimit {
		c, err := net.DialTimeout("tcp", d.address.String(), 100*time.Millisecond)
		if err != nil {
			break
		}
		c.Write(clientMessage(kindTest, 1, codeCause, "\x00"))
		idle = append(idle, c)
	}
	sleep(ctx, r.randomDuration(time.Second))
	for _, c := range idle {
		c.Close()
	}
}
