package day

import (
	"context"
	"time"

	"fordusher/internal/standin/node"
	"fordusher/internal/wire"
	"fordusher/internal/witness"
)

// trouble does one thing that goes wrong, from its time to its end.
func (g *rig) trouble(ctx context.Context, t Trouble) {
	if !sleep(ctx, t.At) {
		return
	}
	switch t.Kind {
	case "crash":
		g.each(ctx, t, "die, back cold", func(cell int, m node.Machine) {
			g.die(cell, m)
			sleep(ctx, t.For)
			g.comeBack(cell, m)
		})
	case "vanish":
		g.each(ctx, t, "fall silent, back cold", func(cell int, m node.Machine) {
			g.fleet.Do(node.Fault{Node: m.Name, Silent: new(true)})
			g.list.Set(g.entry(cell, m, wire.Removed), 0, g.script.SilentNotice)
			sleep(ctx, t.For)
			g.comeBack(cell, m)
		})
	case "hang":
		g.fault(ctx, t, "take work and answer nothing", node.Fault{Hang: new(true)}, node.Fault{Hang: new(false)})
	case "fast_errors":
		g.fault(ctx, t, "fail set-ups quickly", node.Fault{Fail: &t.Size}, node.Fault{Fail: new(0.0)})
	case "answer_lost":
		g.fault(ctx, t, "lose answers", node.Fault{Lose: &t.Size}, node.Fault{Lose: new(0.0)})
	case "ageing":
		g.each(ctx, t, "grow slower and then die", func(cell int, m node.Machine) {
			for i := 1; i <= 20; i++ {
				g.fleet.Do(node.Fault{Node: m.Name, Slow: new(1 + (t.Size-1)*float64(i)/20)})
				sleep(ctx, t.For/20)
			}
			g.die(cell, m)
			sleep(ctx, 2*time.Second)
			g.comeBack(cell, m)
		})
	case "deploy":
		g.deploy(ctx, t)
	case "preempt":
		g.each(ctx, t, "are taken away, replaced cold", func(cell int, m node.Machine) {
			g.list.Set(g.entry(cell, m, wire.Draining), 0, g.notice())
			sleep(ctx, time.Duration(t.Size*float64(time.Second)))
			g.die(cell, m)
			sleep(ctx, t.For)
			g.comeBack(cell, m)
		})
	case "discovery_stale":
		g.say("the list falls %.1f s behind", t.Size)
		g.list.Lag(time.Duration(t.Size * float64(time.Second)))
		sleep(ctx, t.For)
		g.list.Lag(0)
		g.say("the list is back")
	case "balancer_roll":
		g.roll(ctx, t)
	case "burst":
		g.say("a crowd comes: %.1f times the usual", t.Size)
		g.set(func() { g.rate = t.Size })
		sleep(ctx, t.For)
		g.set(func() { g.rate = 1 })
	case "hot_key":
		g.say("%.0f%% of the viewers want two titles", 100*t.Size)
		g.set(func() { g.hot = t.Size })
		sleep(ctx, t.For)
		g.set(func() { g.hot = 0 })
	case "shared_slow":
		g.say("all links give %.1f times less", t.Size)
		g.fleet.Do(node.Fault{Shrink: &t.Size})
		sleep(ctx, t.For)
		g.fleet.Do(node.Fault{Shrink: new(1.0)})
	case "origin_slow":
		racks := max(1, g.racks*3/10)
		g.say("the uplinks of %d racks give %.1f times less", racks, t.Size)
		for i := range racks {
			g.fleet.Do(node.Fault{Rack: &i, Shrink: &t.Size})
		}
		sleep(ctx, t.For)
		for i := range racks {
			g.fleet.Do(node.Fault{Rack: &i, Shrink: new(1.0)})
		}
	}
}

func (g *rig) set(f func()) {
	g.mu.Lock()
	f()
	g.mu.Unlock()
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// take gives a trouble its share of the nodes, of those that no other trouble has hold of.
func (g *rig) take(share float64) (cells []int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	want := max(1, int(share*float64(len(g.machines))+0.5))
	for _, cell := range g.chance.Perm(len(g.machines)) {
		if name := g.machines[cell].Name; len(cells) < want && !g.busy[name] {
			g.busy[name] = true
			cells = append(cells, cell)
		}
	}
	return cells
}

func (g *rig) release(cells ...int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, c := range cells {
		delete(g.busy, g.machines[c].Name)
	}
}

// each does something to each node of a trouble's share, all at the same time.
func (g *rig) each(ctx context.Context, t Trouble, what string, f func(cell int, m node.Machine)) {
	cells := g.take(t.Share)
	g.say("%s: %d nodes %s", t.Kind, len(cells), what)
	done := make(chan int, len(cells))
	for _, c := range cells {
		go func() {
			f(c, g.machines[c])
			done <- c
		}()
	}
	for range cells {
		g.release(<-done)
	}
}

func (g *rig) fault(ctx context.Context, t Trouble, what string, on, off node.Fault) {
	g.each(ctx, t, what, func(_ int, m node.Machine) {
		on, off := on, off // every node has its own
		on.Node, off.Node = m.Name, m.Name
		g.fleet.Do(on)
		sleep(ctx, t.For)
		g.fleet.Do(off)
	})
}

// notice is how late the list learns of a change.
func (g *rig) notice() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.script.NoticeLow + time.Duration(g.chance.Int64N(int64(g.script.NoticeHigh-g.script.NoticeLow)+1))
}

func (g *rig) die(cell int, m node.Machine) {
	g.fleet.Do(node.Fault{Node: m.Name, Die: true})
	g.list.Set(g.entry(cell, m, wire.Removed), 0, g.notice())
}

func (g *rig) comeBack(cell int, m node.Machine) {
	g.fleet.Do(node.Fault{Node: m.Name, Start: true})
	g.list.Set(g.entry(cell, m, wire.Up), witness.Clock(), g.notice())
}

// deploy replaces a share of the nodes, an eighth of the fleet at a time: listed as draining, then ended
// after a second, then back, cold. Size is how long each is down, in seconds.
func (g *rig) deploy(ctx context.Context, t Trouble) {
	cells := g.take(t.Share)
	g.say("deploy: %d nodes are replaced in waves", len(cells))
	batch := max(1, len(g.machines)/8)
	waves := (len(cells) + batch - 1) / batch
	for w := range waves {
		wave := cells[w*batch : min(len(cells), (w+1)*batch)]
		began := time.Now()
		for _, c := range wave {
			g.list.Set(g.entry(c, g.machines[c], wire.Draining), 0, g.notice())
		}
		sleep(ctx, g.script.NoticeHigh+time.Second)
		for _, c := range wave {
			g.die(c, g.machines[c])
		}
		sleep(ctx, time.Duration(t.Size*float64(time.Second)))
		for _, c := range wave {
			g.comeBack(c, g.machines[c])
		}
		g.release(wave...)
		sleep(ctx, t.For/time.Duration(waves)-time.Since(began))
	}
}

// roll kills directors, a share at a time until all have been, and starts them again after Size seconds
// with nothing of what they knew.
func (g *rig) roll(ctx context.Context, t Trouble) {
	n := len(g.directors)
	batch := max(1, int(t.Share*float64(n)))
	for first := 0; first < n; first += batch {
		began := time.Now()
		last := min(n, first+batch)
		for i := first; i < last; i++ {
			p := g.directors[i]
			g.say("%s is killed", p.name)
			g.record.Add(witness.Record{What: witness.Killed, Director: p.name})
			g.mu.Lock()
			d := p.now
			p.now = nil
			g.mu.Unlock()
			d.Kill()
			g.record.Add(witness.Record{What: witness.Killed, Director: p.name})
		}
		sleep(ctx, time.Duration(t.Size*float64(time.Second)))
		for i := first; i < last; i++ {
			if err := g.start(i); err != nil {
				g.say("%s does not start: %v", g.directors[i].name, err)
			}
		}
		if last == n || ctx.Err() != nil {
			return
		}
		sleep(ctx, t.For*time.Duration(batch)/time.Duration(n)-time.Since(began))
	}
}
