package emulator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"fordusher/internal/conf"
	"fordusher/internal/day"
	"fordusher/internal/director"
	book "fordusher/internal/emulated/discovery"
	"fordusher/internal/emulated/node"
	"fordusher/internal/rulecheck"
	"fordusher/internal/wire"
)

// wayTo names a connection from a run of a director to a node.
type wayTo struct {
	post, boot int
	link       uint64
}

// A link is such a connection as the node has it.
type link struct {
	wayTo
	number  uint64 // the node's own
	machine int
	name    string // of the director, once it has said so
	last    time.Duration
}

// A world is all that is not a director.
type world struct {
	opt     Options
	script  *day.Script
	layout  *day.Layout
	house   *conf.Config
	chance  *rand.Rand
	posts   []*post
	events  events
	farm    *node.Model
	machine map[string]int
	down    []bool          // machines whose process has ended
	silent  []bool          // machines that neither hear nor say anything
	hung    []bool          // machines whose process stands still
	deaf    []time.Duration // machines that answer nothing, since when; under 0: they do
	links   map[wayTo]*link // emptied as connections end
	numbers map[uint64]*link
	lastNo  uint64
	list    *list
	records []rulecheck.Record
	crowd   crowd
	credit  map[string]float64 // of tariffs
	points  []Sample
	over    bool
	err     error
}

func newWorld(s *day.Script, seed uint64, opt Options) (*world, error) {
	w := &world{opt: opt, script: s, chance: rand.New(rand.NewPCG(seed, 21)), machine: map[string]int{}, links: map[wayTo]*link{},
		numbers: map[uint64]*link{}}
	var err error
	if opt.Config == nil {
		w.layout = day.NewLayout(s, seed)
	} else if w.layout, err = day.NewLayoutFromConfig(s, seed, opt.Config, opt.ListUpdates); err != nil {
		return nil, err
	}
	y := w.layout
	if w.house, _, err = y.DirectorConfig(0, "127.0.0.1:1"); err != nil {
		return nil, err
	}
	w.farm = node.NewModel(seed, y.Site, y.Nodes)
	n := len(y.Nodes)
	w.down, w.silent, w.hung, w.deaf = make([]bool, n), make([]bool, n), make([]bool, n), make([]time.Duration, n)
	w.list = &list{w: w, directors: map[int]int{}, entries: slices.Clone(y.Entries)}
	var listed []wire.NodeEntry
	for i, m := range y.Nodes {
		w.machine[m.Name] = i
		w.deaf[i] = -1
		if y.Entries[i].State == wire.Removed {
			w.fault(0, node.Fault{Node: m.Name, Crash: true})
		} else {
			listed = append(listed, w.entry(0, i, y.Entries[i].State))
		}
	}
	w.list.book = book.NewModel(listed)
	for i := range s.Directors {
		p := &post{w: w, number: i, name: day.DirectorName(i), chance: rand.New(rand.NewPCG(seed, uint64(i)<<8|22))}
		w.posts = append(w.posts, p)
		if err := p.start(0); err != nil {
			return nil, err
		}
		w.add(0, rulecheck.Record{Kind: rulecheck.DirectorStarted, Director: p.name})
	}
	timeline := opt.Actions
	if timeline == nil {
		timeline = y.Timeline()
	}
	for _, a := range timeline {
		w.events.put(settle+a.At, func(at time.Duration) { w.act(at, a) })
	}
	w.crowd.begin(w)
	w.credit = map[string]float64{}
	for _, t := range w.house.Tariffs {
		w.credit[t.Name] = t.Credit
	}
	w.events.put(settle, w.sample)
	return w, nil
}

// A Sample is how a day stands at one second.
type Sample struct {
	Second        int     `json:"second"`
	Earning       float64 `json:"earning"` // credit a second, of all that play
	MaxEarning    float64 `json:"wanted"`  // the same if all who are there played at their best rung
	Playing       int     `json:"playing"`
	ActiveClients int     `json:"there"` // viewers who play, wait, or pause before they come again
}

// sample keeps how the day stands, each second.
func (w *world) sample(at time.Duration) {
	p := Sample{Second: len(w.points), ActiveClients: w.crowd.active, MaxEarning: w.crowd.wanted}
	p.Earning, p.Playing = w.farm.EarningRate(w.credit)
	w.points = append(w.points, p)
	w.events.put(at+time.Second, w.sample)
}

func (w *world) add(at time.Duration, r rulecheck.Record) {
	r.At = at
	w.records = append(w.records, r)
}

func (w *world) say(at time.Duration, format string, args ...any) {
	if w.opt.Log != nil {
		w.opt.Log(fmt.Sprintf("%9.3fs  ", (at-settle).Seconds()) + fmt.Sprintf(format, args...))
	}
}

// delay is how long a message is on its way.
func (w *world) delay(r *rand.Rand) time.Duration {
	n := w.opt.Latency
	return n.Min + time.Duration(r.Int64N(int64(n.Max-n.Min)+1))
}

// act does what the timeline has.
func (w *world) act(at time.Duration, a day.Action) {
	if a.Say != "" {
		w.say(at, "%s", a.Say)
	}
	if a.Fault != nil {
		w.fault(at, *a.Fault)
	}
	if a.List != nil {
		w.list.set(at, *a.List)
	}
	if a.Lag != nil {
		w.list.book.SetLag(*a.Lag)
		w.list.wake(at)
	}
	if a.Rate != nil {
		w.crowd.rate = *a.Rate
	}
	if a.Hot != nil {
		w.crowd.hot = *a.Hot
	}
	for _, i := range a.Kill {
		w.kill(at, w.posts[i])
	}
	for _, i := range a.Start {
		if p := w.posts[i]; !p.up {
			w.err = p.start(at)
			w.add(at, rulecheck.Record{Kind: rulecheck.DirectorStarted, Director: p.name})
		}
	}
}

// kill ends a director at once: whoever it was connected to sees that a moment later.
func (w *world) kill(at time.Duration, p *post) {
	if !p.up {
		return
	}
	w.add(at, rulecheck.Record{Kind: rulecheck.DirectorKilled, Director: p.name})
	p.up, p.stale = false, true
	p.in = events{}
	w.ended(at, p)
}

// ended cuts all connections of a director that is no more.
func (w *world) ended(at time.Duration, p *post) {
	boot := p.boot
	delete(w.list.directors, p.number)
	var ways []wayTo
	for way := range w.links {
		if way.post == p.number && way.boot == boot {
			ways = append(ways, way)
		}
	}
	slices.SortFunc(ways, func(a, b wayTo) int { return int(min(1, max(-1, int64(a.link)-int64(b.link)))) })
	for _, way := range ways {
		w.events.put(at+w.delay(w.chance), func(at time.Duration) { w.hungUp(at, way) })
	}
	w.crowd.cut(at, p.number)
}

// fault does a fault to the machines, as a host on sockets does.
func (w *world) fault(at time.Duration, x node.Fault) {
	for i, m := range w.layout.Nodes {
		if x.Node != "" && x.Node != m.Name || x.Rack != nil {
			continue
		}
		if x.Hang != nil {
			w.hung[i] = *x.Hang
		}
		switch {
		case x.Crash:
			w.add(at, rulecheck.Record{Kind: rulecheck.NodeExited, Node: m.Name})
			w.down[i] = true
		case x.Silent != nil && *x.Silent:
			w.silent[i] = true
		case x.Start:
			if w.silent[i] {
				w.add(at, rulecheck.Record{Kind: rulecheck.NodeExited, Node: m.Name, Reason: "came back anew"})
			}
			w.down[i], w.silent[i], w.hung[i] = false, false, false
			w.add(at, rulecheck.Record{Kind: rulecheck.NodeStarted, Node: m.Name, MaxStreams: float64(m.MaxStreams)})
		}
		w.hearing(at, i)
	}
	w.nodesDo(at, w.farm.Apply(at, x))
}

// hearing notes whether a machine answers signs of life.
func (w *world) hearing(at time.Duration, m int) {
	switch deaf := w.silent[m] || w.hung[m]; {
	case deaf && w.deaf[m] < 0:
		w.deaf[m] = at
	case !deaf:
		w.deaf[m] = -1
	}
}

// entry is the list's line of a machine as it is now.
func (w *world) entry(at time.Duration, m int, state string) wire.NodeEntry {
	e := w.list.entries[m]
	e.State, e.Address = state, "10.0.0.1:"+fmt.Sprint(1+m)
	e.Incarnation, _ = w.farm.Start(at, e.Node)
	return e
}

// dial takes a director's try to connect to a node.
func (w *world) dial(at time.Duration, p *post, boot, m int, number uint64, until time.Duration) {
	back := at + w.delay(w.chance)
	switch {
	case w.down[m]:
		w.answer(back, p, boot, director.LinkFailed{Node: w.layout.Nodes[m].Name, Link: number})
		return
	case w.silent[m] || w.hung[m]:
		w.answer(max(back, until), p, boot, director.LinkFailed{Node: w.layout.Nodes[m].Name, Link: number})
		return
	}
	w.lastNo++
	l := &link{wayTo: wayTo{p.number, boot, number}, number: w.lastNo, machine: m, last: back}
	w.links[l.wayTo], w.numbers[l.number] = l, l
	w.answer(back, p, boot, director.LinkConnected{Node: w.layout.Nodes[m].Name, Link: number})
	w.nodesDo(at, w.farm.ConnOpened(at, w.layout.Nodes[m].Name, l.number))
}

// answer lets a director hear something at a time, if it still runs then.
func (w *world) answer(at time.Duration, p *post, boot int, in director.Input) {
	if p.boot == boot && p.up {
		p.hear(at, in)
	}
}

// nodeHears takes a director's message to a node.
func (w *world) nodeHears(at time.Duration, way wayTo, raw []byte) {
	l := w.links[way]
	if l == nil {
		return
	}
	m, err := wire.DecodeNodeMessage(raw)
	if err != nil {
		w.err = fmt.Errorf("director %d sent what is no message: %w", way.post, err)
		return
	}
	if m.Type == wire.Hello {
		l.name = m.Director
	}
	w.seen(at, l, m)
	if !w.silent[l.machine] {
		w.nodesDo(at, w.farm.Receive(at, w.layout.Nodes[l.machine].Name, l.number, m))
	}
}

// seen records what crosses a link; notes and greetings prove nothing.
func (w *world) seen(at time.Duration, l *link, m wire.NodeMessage) {
	if m.Type == wire.Hello || m.Type == wire.Measurement {
		return
	}
	w.add(at, rulecheck.Record{Kind: m.Type, Node: w.layout.Nodes[l.machine].Name, Conn: l.number, Director: l.name, Session: m.Session, Leg: m.Leg,
		Tariff: m.Tariff, Title: m.Title, Rung: m.Rung, StartTimeout: time.Duration(m.StartWithinMS) * time.Millisecond, Reason: m.Reason})
}

// hungUp ends a link from the director's side.
func (w *world) hungUp(at time.Duration, way wayTo) {
	if l := w.links[way]; l != nil {
		w.close(at, l)
	}
}

func (w *world) close(at time.Duration, l *link) {
	delete(w.links, l.wayTo)
	delete(w.numbers, l.number)
	name := w.layout.Nodes[l.machine].Name
	w.add(at, rulecheck.Record{Kind: rulecheck.ConnClosed, Node: name, Conn: l.number})
	w.nodesDo(at, w.farm.ConnClosed(at, name, l.number))
}

// nodesDo carries out what the model of the nodes wants.
func (w *world) nodesDo(at time.Duration, outs []node.Output) {
	outs = slices.Clone(outs) // the model is called again meanwhile
	for _, o := range outs {
		m := w.machine[o.Node]
		switch {
		case o.Overloaded:
			w.add(at, rulecheck.Record{Kind: rulecheck.NodeExited, Node: o.Node, Reason: "pushed over"})
			w.down[m] = true
			w.say(at, "%s was pushed over and stays down", o.Node)
			continue
		case o.Earning != nil:
			w.add(at, rulecheck.Record{Kind: rulecheck.SessionEarned, Node: o.Node, Session: o.Earning.Session, Tariff: o.Earning.Tariff, Seconds: o.Earning.Seconds})
			continue
		}
		l := w.numbers[o.Link]
		if l == nil {
			continue
		}
		p := w.posts[l.post]
		l.last = max(l.last, at+w.delay(w.chance))
		if o.Reset {
			w.answer(l.last, p, l.boot, director.LinkLost{Link: l.link})
			w.close(at, l)
			continue
		}
		if w.silent[m] {
			continue
		}
		w.seen(at, l, o.Message)
		raw, number, boot := wire.Encode(o.Message), l.link, l.boot
		if p.boot != boot || !p.up {
			continue
		}
		p.put(l.last, func(at time.Duration) {
			if p.boot != boot || !p.up {
				return
			}
			message, err := wire.DecodeNodeMessage(raw)
			if err != nil {
				panic(fmt.Sprintf("the model of the nodes said what is no message: %v", err))
			}
			if _, there := p.nodes[number]; there {
				p.heard[number] = at
			}
			p.step(at, director.LinkReceived{Link: number, Message: message})
		})
	}
}

// A list is the list's source: its book, and the directors that listen.
type list struct {
	w         *world
	book      *book.Model
	entries   []wire.NodeEntry // of machines, as the list has or will have them
	directors map[int]int      // boots of the directors that listen
	rings     time.Duration    // the next run that is arranged; 0: none
}

func (l *list) set(at time.Duration, word day.ListChange) {
	if word.Entry != nil {
		l.entries[word.Machine] = *word.Entry
	}
	born := time.Duration(0)
	if word.Born {
		born = at
	}
	l.book.ScheduleUpdate(l.w.entry(at, word.Machine, word.State), born, at+word.Late)
	l.wake(at)
}

// wake runs the list when something is due.
func (l *list) wake(now time.Duration) {
	if at, ok := l.book.NextDeadline(); ok && (l.rings == 0 || at < l.rings) {
		l.rings = max(now, at)
		l.w.events.put(l.rings, l.run)
	}
}

// run tells what is due.
func (l *list) run(at time.Duration) {
	if at == l.rings {
		l.rings = 0
	}
	if m, ok := l.book.TakeDue(at); ok {
		raw := wire.Encode(m)
		for i, p := range l.w.posts {
			if boot, listens := l.directors[i]; listens {
				l.tell(at, p, boot, raw)
			}
		}
	}
	l.wake(at)
}

// tell is a message to a director: in order, as on one connection.
func (l *list) tell(at time.Duration, p *post, boot int, raw []byte) {
	if p.boot != boot || !p.up {
		return
	}
	p.put(at+l.w.opt.Latency.Max, func(at time.Duration) {
		if p.boot != boot || !p.up {
			return
		}
		m, err := wire.DecodeDiscoveryMessage(raw)
		if err != nil {
			panic(fmt.Sprintf("the model of the list said what is no message: %v", err))
		}
		p.step(at, director.DiscoveryReceived{Message: m})
	})
}

// hears takes a director's word.
func (l *list) hears(at time.Duration, p *post, boot int, raw []byte) {
	m, err := wire.DecodeDiscoveryMessage(raw)
	if err != nil {
		l.w.err = fmt.Errorf("%s told the list what is no message: %w", p.name, err)
		return
	}
	if p.boot != boot || !p.up {
		return
	}
	switch m.Type {
	case wire.Subscribe:
		if _, listens := l.directors[p.number]; !listens {
			l.w.add(at, rulecheck.Record{Kind: rulecheck.ListRequested, Director: m.Director})
		}
		l.directors[p.number] = boot
		l.tell(at, p, boot, wire.Encode(l.book.Snapshot(at, l.w.layout.Titles)))
	case wire.Acknowledge:
		for _, e := range l.book.EntriesOf(m.Serial) {
			l.w.add(at, rulecheck.Record{Kind: rulecheck.ListReceived, Director: m.Director, Node: e.Node, State: e.State})
		}
	}
}
