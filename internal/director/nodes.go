package director

import (
	"hash/fnv"
	"iter"
	"maps"
	"slices"
	"time"

	"fordusher/internal/alarm"
	"fordusher/internal/wire"
	"fordusher/limits"
	"fordusher/policy"
	"fordusher/reach"
)

// A node is one that the list names, or has named and that still has legs.
type node struct {
	name    string
	address string
	dialled string // the address that is being connected to
	place   int
	listed  bool
	open    bool   // it may take sessions
	start   uint64 // which start of it this is
	former  uint64 // which it was in before; 0: none known
	born    time.Duration
	trying  bool // being connected to
	up      bool // connected
	greeted bool // and the node has said since which start it is in
	link    uint64
	reached uint64        // the start that the connection was made to; 0: not told yet
	since   time.Duration // when that was, by the node's own word
	entry   policy.Entry  // as the module last heard it
	made    time.Duration // when the connection was
	check   uint64        // loose: the connection that is being made beside a doubted one
	old     uint64        // loose: the connection before, until the set-ups sent on it have ended
	ends    []wire.Node   // loose: what is still to be called off there; emptied by the next connection
	ping    alarm.Handle
	idle    alarm.Handle    // looks whether the connection has been idle for too long
	used    time.Duration   // when anything last went either way
	needs   bool            // where connections are made on need: there is something to be done there
	suspect bool            // the last tries to connect speak against it
	legs    map[uint64]*leg // emptied as legs end
}

type title struct {
	id           uint64
	base, copies int
}

// sorted goes through a map by its keys' order, so that the same inputs give the same outputs.
func sorted[K interface {
	~string | ~uint64
}, V any](m map[K]V) iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		for _, k := range slices.Sorted(maps.Keys(m)) {
			if v, ok := m[k]; ok && !yield(k, v) {
				return
			}
		}
	}
}

// reached tells package reach what happened and carries out its plan.
func (l *Loop) reached(e reach.Event) reach.Plan {
	plan := l.reach.Step(l.now, e)
	for _, place := range slices.Clone(plan.Dial) { // what follows may ask for another plan
		n := l.places[place]
		if !l.roomForLink() {
			l.crowded(n)
			continue
		}
		l.lastLink++
		n.trying, n.dialled = true, n.address
		if n.up { // one to check on it by
			n.check = l.lastLink
		} else {
			n.link = l.lastLink
		}
		l.links[l.lastLink] = n
		l.do(Connect{n.name, n.address, l.lastLink, l.manners.Connect})
	}
	for _, place := range slices.Clone(plan.Dead) {
		l.dead(l.places[place])
	}
	if plan.Ring > 0 && (l.ring == 0 || plan.Ring < l.ringAt) {
		l.timers.Cancel(l.ring)
		l.ringAt = plan.Ring
		l.ring = l.timers.Add(plan.Ring, due{timerReach, 0})
	}
	return plan
}

// linkSockets is how many descriptors connections to nodes hold.
func (l *Loop) linkSockets() int { return len(l.links) + l.reach.Tries() }

// roomForLink asks the limits for one more connection to a node.
func (l *Loop) roomForLink() bool {
	var spare *node // the one that has had nothing to do for longest
	for _, n := range l.links {
		if n.up && !n.needs && !n.trying && n.old == 0 && l.pace.OnNeed &&
			(spare == nil || n.used < spare.used || n.used == spare.used && n.name < spare.name) {
			spare = n
		}
	}
	// The try itself is counted already, once.
	plan := *l.limit(limits.Event{What: limits.Dial, Nodes: l.linkSockets() - 1, Spare: spare != nil})
	if plan.HangUp { // by which the limits may be asked again
		l.hangUp(spare, closedForRoom)
	}
	return plan.Admit
}

// crowded is for a node that can't be connected to for want of descriptors.
func (l *Loop) crowded(n *node) {
	l.reached(reach.Event{Node: n.place, What: reach.Crowded})
	for _, g := range sorted(n.legs) {
		if g.phase == legWaiting && !n.trying {
			l.legEnds(g, fateMissed, nil)
		}
	}
}

// needed tells package reach whether there is anything to be done at a node, where connections are made on need, and
// says whether one is being made.
func (l *Loop) needed(n *node) (coming bool) {
	needs := len(n.legs) > 0 || len(n.ends) > 0
	if !l.pace.OnNeed || !needs && !n.needs {
		return false
	}
	n.needs = needs
	what := reach.Unneeded
	if needs {
		what = reach.Needed
	}
	return !l.reached(reach.Event{Node: n.place, What: what}).Paused && n.listed
}

// unmade is the fate of a leg whose node could not be connected to.
func (l *Loop) unmade(n *node) fate {
	if l.pace.OnNeed && !n.suspect {
		return fateMissed
	}
	return fateUnmade
}

// idled looks at a connection on which nothing has moved for long. It is hung up on before the node does that; where
// something plays there another one is made first.
func (l *Loop) idled(n *node) {
	next := n.used + l.pace.Keep
	if next <= l.now && !n.needs {
		l.hangUp(n, closedAsIdle)
		return
	}
	if next <= l.now {
		l.doubt(n, n.link)
		next = l.now + l.pace.Keep
	}
	n.idle = l.timers.Add(next, due{timerIdle, n.link})
}

// hangUp ends the connection to a node.
func (l *Loop) hangUp(n *node, reason closeReason) {
	link := n.link
	l.closeLink(n, link, reason)
	l.linkLost(LinkLost{Link: link})
}

func (l *Loop) linkMade(e LinkMade) {
	n := l.links[e.Link]
	if n == nil || n.link != e.Link && n.check != e.Link {
		l.event(Event{Kind: ServerDisconnected, Server: e.Node, Link: e.Link, Reason: string(closedAsUnknown)})
		l.do(HangUp{e.Link})
		return
	}
	if n.check == e.Link {
		l.replaceLink(n)
	}
	if !n.listed && l.manners.Loose { // whoever answers there now is somebody else
		l.closeLink(n, e.Link, closedAsUnlisted)
		l.linkFailed(LinkFailed{Node: e.Node, Link: e.Link})
		l.dead(n)
		return
	}
	l.event(Event{Kind: ServerConnected, Server: n.name, Link: e.Link})
	n.trying, n.up, n.greeted, n.made, n.used, n.suspect = false, true, l.manners.Greetless, l.now, l.now, false
	if l.pace.Ping > 0 {
		n.ping = l.timers.Add(l.now+l.pace.Ping, due{timerPing, e.Link})
	}
	if l.pace.OnNeed && l.pace.Keep > 0 {
		n.idle = l.timers.Add(l.now+l.pace.Keep, due{timerIdle, e.Link})
	}
	if !l.manners.Greetless {
		l.do(TellNode{Link: e.Link, Message: wire.Node{Type: wire.Hello, Director: l.name}})
	}
	l.reached(reach.Event{Node: n.place, What: reach.Made})
	if n.dialled != n.address { // the list has moved it meanwhile
		l.hangUp(n, closedAsMoved)
		return
	}
	for _, g := range sorted(n.legs) {
		switch {
		case g.phase == legWaiting && !n.open: // the list has taken it off meanwhile
			l.legEnds(g, fateUnmade, nil)
		case g.phase == legWaiting && n.greeted:
			l.send(g)
		case g.phase == legPlaying && g.unrung:
			l.tellRung(g)
		}
	}
	for _, m := range n.ends {
		l.do(TellNode{Link: e.Link, Message: m})
	}
	n.ends = nil
	l.needed(n)
	l.dropNode(n)
}

func (l *Loop) linkFailed(e LinkFailed) {
	n := l.links[e.Link]
	if n == nil {
		return
	}
	delete(l.links, e.Link)
	n.trying = false
	if e.Crowded {
		if n.check == e.Link {
			n.check = 0
		}
		l.crowded(n)
		l.dropNode(n)
		return
	}
	if n.check == e.Link { // the connection that was doubted leads nowhere either
		n.check = 0
		l.log("node %s can't be connected to again: its connection is given up, %d legs on it", n.name, len(n.legs))
		l.closeLink(n, n.link, closedAsUnproven)
		delete(l.links, n.link)
		l.cutLegs(n, n.link, nil)
		n.up, n.greeted = false, false
		l.timers.Cancel(n.ping)
		l.timers.Cancel(n.idle)
	}
	what := reach.Failed
	if e.Refused {
		what = reach.Refused
	}
	n.suspect = l.reached(reach.Event{Node: n.place, What: what}).Suspect
	for _, g := range sorted(n.legs) {
		if g.phase == legWaiting {
			l.legEnds(g, l.unmade(n), nil)
		}
	}
	l.dropNode(n)
}

func (l *Loop) linkLost(e LinkLost) {
	n := l.links[e.Link]
	if n == nil {
		return
	}
	delete(l.links, e.Link)
	if e.Reason != "" { // else it is closed here, which was told of
		l.event(Event{Kind: ServerDisconnected, Server: n.name, Link: e.Link, Reason: e.Reason})
	}
	if n.link != e.Link {
		if n.old == e.Link {
			n.old = 0
		}
		l.cutLegs(n, e.Link, e.Unsent)
		l.dropNode(n)
		return
	}
	n.up, n.greeted, n.reached = false, false, 0
	l.timers.Cancel(n.ping)
	l.timers.Cancel(n.idle)
	if n.check != 0 { // the try beside it goes on in its place
		n.link, n.check = n.check, 0
		l.cutLegs(n, e.Link, e.Unsent)
		l.dropNode(n)
		return
	}
	l.outlives(n, e.Link)
	if n.listed {
		l.reached(reach.Event{Node: n.place, What: reach.Lost})
	} else {
		l.reached(reach.Event{Node: n.place, What: reach.Unlisted})
	}
	l.cutLegs(n, e.Link, e.Unsent)
	if !n.listed && l.manners.Loose { // nothing will be heard of it any more
		l.dead(n)
	}
	l.dropNode(n)
}

// outlives tells package reach of a connection that has ended with all there was to do on it, before it hears of that:
// another one is not needed.
func (l *Loop) outlives(n *node, link uint64) {
	if !n.needs || len(n.ends) > 0 {
		return
	}
	for _, g := range n.legs {
		if g.phase != legSent || g.link != link {
			return
		}
	}
	n.needs = false
	l.reached(reach.Event{Node: n.place, What: reach.Unneeded})
}

// cutLegs ends what a node's connection takes with it.
func (l *Loop) cutLegs(n *node, link uint64, unsent []uint64) {
	for _, g := range sorted(n.legs) {
		switch {
		case g.phase == legSent && g.link != link:
		case g.phase == legSent && slices.Contains(unsent, g.id):
			l.legEnds(g, fateUnsent, nil)
		case g.phase == legSent:
			l.legEnds(g, fateReset, nil)
		case l.manners.Loose: // it plays on, and what waits goes by the next connection
			if g.phase == legWaiting && !n.trying && !n.up {
				l.legEnds(g, l.unmade(n), nil)
			}
		case g.phase == legPlaying:
			l.legEnds(g, fateBroken, nil)
		case g.phase == legWaiting:
			l.legEnds(g, fateUnmade, nil)
		}
	}
}

// linkAlive hangs up on a node that has been quiet for too long.
func (l *Loop) linkAlive(e LinkAlive) {
	if n := l.links[e.Link]; n != nil && n.up && l.manners.Loose {
		if l.reached(reach.Event{Node: n.place, What: reach.Heard, Ago: e.Quiet}).GiveUp && l.playsSince(n, l.now-e.Quiet) {
			l.doubt(n, e.Link)
		}
	} else if n != nil && n.up && l.reached(reach.Event{Node: n.place, What: reach.Heard, Ago: e.Quiet}).GiveUp {
		l.log("node %s has been quiet for %v: its connection is given up, %d legs with it", n.name,
			e.Quiet.Round(time.Millisecond), len(n.legs))
		l.closeLink(n, e.Link, closedAsQuiet)
		l.linkLost(LinkLost{Link: e.Link})
	}
}

func (l *Loop) linkSaid(e LinkSaid) {
	n, m := l.links[e.Link], e.Message
	if n == nil {
		return
	}
	n.used = l.now
	if m.Type == wire.Hello {
		l.hello(n, m)
		return
	}
	g := l.legs[m.Leg]
	if l.manners.Loose {
		g = l.looseLeg(n, e)
	}
	if g == nil || g.node != n {
		l.counts.Stray++
		if m.Type == wire.Accepted && !l.manners.Loose { // it plays for nobody
			l.do(TellNode{Link: e.Link, Message: wire.Node{Type: wire.End, Leg: m.Leg}})
		}
		return
	}
	switch m.Type {
	case wire.Accepted:
		l.accepted(g, m.Load, e.Description)
	case wire.Full:
		if g.phase == legPlaying { // it has said that it plays: no proof of the opposite
			l.counts.Late++
			l.legEnds(g, fateBroken, m.Load)
			return
		}
		l.legEnds(g, fateFull, m.Load)
	case wire.Unsent:
		if g.phase == legPlaying {
			l.counts.Late++
			return
		}
		l.legEnds(g, fateUnsent, m.Load)
	case wire.Failed:
		if g.phase == legPlaying {
			l.legEnds(g, fateBroken, m.Load)
			return
		}
		if m.Why == wire.Lost {
			l.legEnds(g, fateReset, m.Load)
			return
		}
		l.legEnds(g, fateFailed, m.Load)
	case wire.Ended:
		switch {
		case g.phase != legPlaying && l.manners.Loose: // it broke on its way
			l.legEnds(g, fateReset, m.Load)
		case g.phase != legPlaying:
			l.legEnds(g, fateFailed, m.Load)
		case m.Why == wire.Lost:
			l.legEnds(g, fateBroken, m.Load)
		case m.Why == wire.CalledOff:
			l.legEnds(g, fateEndedElsewhere, m.Load)
		default:
			l.legEnds(g, fateServed, m.Load)
		}
	case wire.Note:
		l.tell(policy.Note{ID: g.session.id, Node: n.name, Kind: policy.NoteKind(m.Kind), Value: m.Value})
	default:
		l.counts.BadWord++
	}
}

// sameStart is how far two words on when a node started may lie apart and mean the same.
const sameStart = 100 * time.Millisecond

// hello takes a node's own word on its start, which may come before the list's: a node that has just
// started is cold.
//
// Set-ups wait for it: what was meant for a node before it started anew must not reach it unawares, cold as it
// is then, from all directors at once.
func (l *Loop) hello(n *node, m wire.Node) {
	n.reached, n.since = m.Start, l.bornBy(m.Age)
	n.greeted = true
	anew := false
	if m.Start != 0 && n.listed {
		if n.since == policy.LongAgo && n.start != 0 && m.Start != n.start {
			n.since = l.now // another start of it was known: this one can't be from long ago
		}
		anew = n.since != policy.LongAgo && (m.Start != n.start || n.since > n.born+sameStart)
		n.begin(m.Start)
		if anew {
			n.born = n.since
			n.entry.Born = n.born
			l.tell(policy.Roster{Kind: policy.Update, Entries: []policy.Entry{n.entry}})
		}
	}
	for _, g := range sorted(n.legs) {
		switch {
		case g.phase != legWaiting:
		case anew:
			l.legEnds(g, fateNew, nil)
		case n.open:
			l.send(g)
		}
	}
}

// begin notes which start a node is in.
func (n *node) begin(start uint64) {
	if start != n.start {
		n.former, n.start = n.start, start
	}
}

// forgotten is how long ago a start may lie and still be told as a time.
const forgotten = 365 * 24 * time.Hour

// bornBy is when something started that tells its age in milliseconds: LongAgo where it tells none, or one so large
// that it is no time any more.
func (l *Loop) bornBy(age int64) time.Duration {
	if age <= 0 || age > forgotten.Milliseconds() {
		return policy.LongAgo
	}
	return l.now - time.Duration(age)*time.Millisecond
}

// The list.

var states = map[string]policy.NodeState{
	wire.Up: policy.Up, wire.Draining: policy.Draining, wire.Removed: policy.Removed,
}

func (l *Loop) listSaid(m wire.List) {
	kind := policy.Update
	switch m.Type {
	case wire.Whole:
		kind = policy.Replace
		named := map[string]bool{}
		for _, e := range m.Nodes {
			named[e.Node] = true
		}
		for name, n := range sorted(l.nodes) {
			if !named[name] {
				l.unlist(n)
			}
		}
		clear(l.titles)
		defer func() { l.listed = true }()
	case wire.Update:
	default:
		l.counts.BadWord++
		return
	}
	for _, t := range m.Titles {
		if t.Copies == 0 {
			delete(l.titles, t.Title)
			continue
		}
		l.titles[t.Title] = title{titleID(t.Title), t.Base, t.Copies}
	}
	roster := policy.Roster{Kind: kind}
	for _, e := range m.Nodes {
		roster.Entries = append(roster.Entries, l.entry(e))
	}
	l.tell(roster)
	for _, n := range sorted(l.concerned(m)) {
		if !n.open {
			l.recall(n)
		}
		l.dropNode(n)
	}
	l.do(TellList{wire.List{Type: wire.Heard, Director: l.name, Serial: m.Serial}})
}

// concerned are the nodes that a list may have changed.
func (l *Loop) concerned(m wire.List) map[string]*node {
	if m.Type == wire.Whole {
		return l.nodes
	}
	nodes := make(map[string]*node, len(m.Nodes))
	for _, e := range m.Nodes {
		if n := l.nodes[e.Node]; n != nil {
			nodes[e.Node] = n
		}
	}
	return nodes
}

// titleID is a title's number for the module: the same for as long as anyone may hold a seat of it.
func titleID(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return h.Sum64()
}

// entry takes a node's line of the list into the books and puts it into the module's words.
func (l *Loop) entry(e wire.Entry) policy.Entry {
	n := l.nodes[e.Node]
	born := l.bornBy(e.Age)
	if n == nil && e.State != wire.Removed {
		n = &node{name: e.Node, born: policy.LongAgo, legs: map[uint64]*leg{}}
		if born == policy.LongAgo && l.listed { // it was not on the list before: who knows better says so
			born = l.now
		}
		if k := len(l.free); k > 0 {
			n.place, l.free = l.free[k-1], l.free[:k-1]
			l.places[n.place] = n
		} else {
			n.place = len(l.places)
			l.places = append(l.places, n)
		}
		l.nodes[n.name] = n
	}
	kind, known := l.kind[e.Kind]
	if !known {
		kind = len(l.kind) // no such machine is known: the module takes the least for granted
	}
	out := policy.Entry{
		Node: e.Node, State: states[e.State], Kind: kind, Zone: e.Zone, Born: policy.LongAgo, Weight: e.Weight, Cell: e.Cell,
	}
	if n == nil {
		return out
	}
	moved := e.Address != n.address && e.Address != ""
	if n.up && n.reached != 0 && e.Start != n.reached && e.State != wire.Removed && l.behind(n, e, born, moved) {
		// The list is behind: it tells of a start before the one that the node itself has told of. To hang up
		// for that would break what plays there.
		out.Born = n.born
		n.open, n.entry = e.State == wire.Up, out
		return out
	}
	changed := e.Start != n.start
	if changed && born == policy.LongAgo && n.start != 0 && e.Start != 0 {
		born = l.now // another start of it was known: this one can't be from long ago
	}
	anew := !n.listed || changed || moved
	if born != policy.LongAgo && (anew || born > n.born+sameStart) {
		n.born = born
	}
	if l.manners.Loose && changed && n.listed && n.start != 0 {
		l.restarted(n)
	}
	out.Born = n.born
	n.begin(e.Start)
	n.open, n.entry = e.State == wire.Up, out
	switch {
	case e.State == wire.Removed:
		l.unlist(n)
	case anew:
		if moved {
			n.address = e.Address
		}
		if n.up && (moved || n.reached != 0 && n.reached != e.Start) {
			l.hangUp(n, closedAsMoved) // it leads to what no longer runs
		}
		n.listed = true
		if !n.up {
			l.reached(reach.Event{Node: n.place, What: reach.Listed})
		}
	}
	return out
}

// behind tells whether the list speaks of a start before the one that a connected node has told of itself. Where the
// list tells no age, that is a start known before; of one that was never heard of, the connection knows best as long
// as the node is still where it leads to.
func (l *Loop) behind(n *node, e wire.Entry, born time.Duration, moved bool) bool {
	if born != policy.LongAgo {
		return born < n.since
	}
	return e.Start == n.former || !moved
}

func (l *Loop) unlist(n *node) {
	n.open = false
	if n.listed {
		n.listed = false
		if !n.up { // else once the connection ends
			l.reached(reach.Event{Node: n.place, What: reach.Unlisted})
			l.dead(n)
		}
	}
}

// recall takes back what is on its way to a node that no longer takes sessions: what is not handed over
// yet is never sent, and counts as never run.
func (l *Loop) recall(n *node) {
	for _, g := range sorted(n.legs) {
		switch g.phase {
		case legWaiting:
			l.legEnds(g, fateUnmade, nil)
		case legSent:
			l.do(Withdraw{n.link, g.id})
		}
	}
}

// dropNode forgets a node that is off the list once its last leg has ended.
func (l *Loop) dropNode(n *node) {
	if n.listed || len(n.legs) > 0 || n.trying || l.nodes[n.name] != n {
		return
	}
	delete(l.nodes, n.name)
	l.free = append(l.free, n.place)
	if n.old != 0 {
		l.closeLink(n, n.old, closedAsUnlisted)
		delete(l.links, n.old)
	}
	if n.up {
		l.hangUp(n, closedAsUnlisted)
	}
}
