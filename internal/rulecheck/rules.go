package rulecheck

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"fordusher/internal/wire"
)

// Limits are the figures of the rules.
type Limits struct {
	Tariffs          map[string]TariffLimits `json:"tariffs"`
	DrainGrace       time.Duration           `json:"grace"` // of drains
	Warmup           time.Duration           `json:"warmup"`
	InitialShare     float64                 `json:"cold_from"`
	OverloadMultiple float64                 `json:"multiple"`
	OverloadWindow   time.Duration           `json:"tip_after"`
	MaxLegs          int                     `json:"most"` // legs of a session
	MinRetries       float64                 `json:"spare"`
	RetryRatio       float64                 `json:"share"`
	RetryWindow      time.Duration           `json:"span"`  // 0: further legs are not rationed
	Tolerance        time.Duration           `json:"slack"` // what crosses a socket may be seen so much out of order or late
}

// TariffLimits is what the rules say of a tariff.
type TariffLimits struct {
	Paid      bool          `json:"paid,omitempty"`
	MinRung   int           `json:"floor,omitempty"`
	Seats     int           `json:"seats,omitempty"`
	Credit    float64       `json:"credit,omitempty"`
	StartGoal time.Duration `json:"goal,omitempty"`
}

// The rules, by name, in the order of their numbers.
const (
	RuleAnswer       = "one_answer"
	RuleSetupOnce    = "set_up_once"
	RuleDrain        = "drains_kept"
	RuleSlowStart    = "cold_kept"
	RuleTariffLimits = "terms_kept"
	RuleRetryBudget  = "legs_rationed"
)

// Rules are the names of all rules.
var Rules = []string{RuleAnswer, RuleSetupOnce, RuleDrain, RuleSlowStart, RuleTariffLimits, RuleRetryBudget}

// Finding is how one rule fared.
type Finding struct {
	Checked    int      `json:"checked"`
	Violations int      `json:"broken"`
	Examples   []string `json:"examples,omitempty"` // the first few breaches
	MinMargin  float64  `json:"least"`              // smallest part of what the rule allows that was left over; 1: it never came near
}

// Findings is how all rules fared.
type Findings map[string]*Finding

// Passed tells whether no rule was broken.
func (v Findings) Passed() bool {
	for _, f := range v {
		if f.Violations > 0 {
			return false
		}
	}
	return true
}

const exampleMost = 5

// left notes what part of what a rule allows was left over.
func (v Findings) left(rule string, part float64) {
	v[rule].MinMargin = max(0, min(v[rule].MinMargin, part))
}

func (v Findings) check(rule string, ok bool, format string, args ...any) {
	f := v[rule]
	f.Checked++
	if ok {
		return
	}
	f.Violations++
	if len(f.Examples) < exampleMost {
		f.Examples = append(f.Examples, fmt.Sprintf(format, args...))
	}
}

// wentForRoom marks a close for want of room: its code, as the stand-ins note it.
const wentForRoom = "1013 retry-ms="

type wantKey struct {
	conn uint64
	id   string
}

type want struct {
	Record
	answered time.Duration // 0: not yet
	answer   string
	excused  time.Duration // no answer is owed since then; 0: it is
	repeats  int
	session  string
}

type legKey struct {
	node string
	conn uint64
	leg  uint64
}

type leg struct {
	Record
	over   time.Duration // 0: still out at the end of the record
	full   bool          // the node has said that it never ran
	plays  bool
	played int
}

// An account is everything that is looked at while records are gone through, in the order of their times.
type account struct {
	terms    Limits
	verdict  Findings
	wants    map[wantKey]*want
	order    []*want
	sessions map[string]*want // by the director's name of the session
	legs     map[legKey]*leg
	sent     []*leg
	byLeg    map[string][]*leg    // legs of a session
	told     map[[2]string]toldAt // director and node
	doubts   map[[2]string][]doubt
	starts   map[string]Record   // of nodes that are cold
	cold     map[string][]Record // set-ups since the node's start
	conns    map[uint64][]*want  // of a player's connection
	outs     map[string][]*leg   // legs out on a node
	killed   map[string]bool     // directors that are down
	end      time.Duration
}

// A doubt is a set-up to a node of which its director had no word yet that it is up again: that word may
// have crossed the set-up.
type doubt struct {
	at      time.Duration
	example string
}

// cleared settles doubts about a director and a node: it has said by now that it had the word, and may have had
// it a moment before.
func (a *account) cleared(k [2]string, now time.Duration) {
	for _, d := range a.doubts[k] {
		a.verdict.check(RuleDrain, d.at >= now-a.terms.Tolerance, "%s", d.example)
	}
	delete(a.doubts, k)
}

type toldAt struct {
	at    time.Duration
	state string
}

// Check goes through records, which have to be in the order of their times, and says how each rule fared.
func Check(terms Limits, records []Record) Findings {
	a := &account{
		terms: terms, verdict: Findings{}, wants: map[wantKey]*want{}, sessions: map[string]*want{},
		legs: map[legKey]*leg{}, byLeg: map[string][]*leg{}, told: map[[2]string]toldAt{}, doubts: map[[2]string][]doubt{},
		starts: map[string]Record{}, cold: map[string][]Record{}, conns: map[uint64][]*want{},
		outs: map[string][]*leg{}, killed: map[string]bool{},
	}
	for _, rule := range Rules {
		a.verdict[rule] = &Finding{MinMargin: 1}
	}
	for _, r := range records {
		a.end = max(a.end, r.At)
		a.take(r)
	}
	for _, k := range slices.SortedFunc(maps.Keys(a.doubts), func(x, y [2]string) int { return cmp.Or(cmp.Compare(x[0], y[0]), cmp.Compare(x[1], y[1])) }) {
		for _, d := range a.doubts[k] {
			a.verdict.check(RuleDrain, false, "%s", d.example)
		}
	}
	a.answers()
	a.once()
	a.seats()
	a.budget()
	return a.verdict
}

func (a *account) take(r Record) {
	switch r.Kind {
	case wire.Request:
		k := wantKey{r.Conn, r.RequestID}
		if w := a.wants[k]; w != nil {
			w.repeats++
			return
		}
		w := &want{Record: r}
		if a.killed[r.Director] {
			w.excused = r.At
		}
		a.wants[k] = w
		a.order = append(a.order, w)
		a.conns[r.Conn] = append(a.conns[r.Conn], w)
	case wire.Playing, wire.Nack, wire.Errored:
		a.answer(r)
	case wire.Cancel:
		if w := a.wants[wantKey{r.Conn, r.RequestID}]; w != nil && w.excused == 0 {
			w.excused = r.At
		}
	case wire.Setup:
		a.setup(r)
	case wire.Rung:
		if r.Node != "" && r.Leg != 0 {
			if g := a.legs[legKey{r.Node, r.Conn, r.Leg}]; g != nil {
				a.floor(g.Tariff, r)
			}
		}
	case wire.Accepted:
		if g := a.legs[legKey{r.Node, r.Conn, r.Leg}]; g != nil {
			g.plays = true
			g.played++
		}
	case wire.Full, wire.Failed, wire.Ended, wire.End:
		if g := a.legs[legKey{r.Node, r.Conn, r.Leg}]; g != nil {
			g.full = g.full || r.Kind == wire.Full && !g.plays && g.over == 0
			a.over(g, r.At)
		}
	case ConnClosed:
		if r.Node != "" {
			for _, g := range a.outs[r.Node] {
				if g.Conn == r.Conn {
					a.over(g, r.At)
				}
			}
			return
		}
		for _, w := range a.conns[r.Conn] {
			// A close that says when to come back is an answer to what crosses it.
			if (r.ClosedBy == ClosedByRecorder || strings.Contains(r.Reason, wentForRoom)) && w.excused == 0 {
				w.excused = r.At
			}
		}
		delete(a.conns, r.Conn)
	case DirectorStarted:
		delete(a.killed, r.Director)
	case DirectorKilled:
		a.killed[r.Director] = true
		for _, w := range a.order {
			if w.Director == r.Director && w.answered == 0 && w.excused == 0 {
				w.excused = r.At
			}
		}
	case ListRequested:
		for k := range a.told {
			if k[0] == r.Director {
				delete(a.told, k)
				a.cleared(k, r.At)
			}
		}
	case ListReceived:
		k := [2]string{r.Director, r.Node}
		if a.told[k].state != r.State {
			a.told[k] = toldAt{r.At, r.State}
		}
		if r.State == wire.Up {
			a.cleared(k, r.At)
		}
	case NodeStarted:
		a.starts[r.Node] = r
		a.cold[r.Node] = nil
	case NodeExited:
		delete(a.starts, r.Node)
		for _, g := range a.outs[r.Node] {
			a.over(g, r.At)
		}
	}
}

func (a *account) over(g *leg, at time.Duration) {
	if g.over == 0 {
		g.over = at
	}
}

// answer is rule 1's other half: an answer that nobody asked for, or a second one.
func (a *account) answer(r Record) {
	w := a.wants[wantKey{r.Conn, r.RequestID}]
	if w == nil {
		a.verdict.check(RuleAnswer, false, "%s: answer %s to %q, which was never asked", at(r.At), r.Kind, r.RequestID)
		return
	}
	if w.answered != 0 {
		a.verdict.check(RuleAnswer, w.repeats > 0 && w.answer == r.Kind, "%s: viewer %d got %s after %s from %s", at(r.At),
			w.Client, r.Kind, w.answer, w.Director)
		w.repeats--
		return
	}
	w.answered, w.answer, w.session = r.At, r.Kind, r.Session
	if r.Session != "" && r.Kind != wire.Playing {
		a.sessions[r.Session] = w
	}
}

// answers is rule 1: exactly one final answer, before the hard stop, unless nothing is owed.
func (a *account) answers() {
	for _, w := range a.order {
		stop := w.At + w.Wait + a.terms.Tolerance
		switch {
		case w.answered != 0:
			a.verdict.left(RuleAnswer, float64(stop-w.answered)/float64(w.Wait+a.terms.Tolerance))
			a.verdict.check(RuleAnswer, w.answered <= stop, "viewer %d was answered %v after the hard stop by %s", w.Client,
				w.answered-w.At-w.Wait, w.Director)
		case w.excused != 0 && w.excused <= stop:
		case a.end <= stop: // the record ends before
		default:
			a.verdict.check(RuleAnswer, false, "viewer %d was never answered by %s (%s, asked at %s)", w.Client, w.Director,
				w.Tariff, at(w.At))
		}
	}
}

func at(t time.Duration) string { return fmt.Sprintf("%.3fs", t.Seconds()) }

func (a *account) setup(r Record) {
	g := &leg{Record: r}
	a.legs[legKey{r.Node, r.Conn, r.Leg}] = g
	a.sent = append(a.sent, g)
	a.outs[r.Node] = append(slices.DeleteFunc(a.outs[r.Node], func(x *leg) bool { return x.over != 0 }), g)
	a.byLeg[r.Session] = append(a.byLeg[r.Session], g)
	a.floor(r.Tariff, r)
	// Rule 3. What was told and taken is what the director knows.
	if t, ok := a.told[[2]string{r.Director, r.Node}]; ok && t.state != wire.Up {
		if r.At <= t.at+a.terms.DrainGrace+a.terms.Tolerance {
			a.verdict.left(RuleDrain, 1-float64(r.At-t.at)/float64(a.terms.DrainGrace+a.terms.Tolerance))
			a.verdict.check(RuleDrain, true, "")
		} else {
			k := [2]string{r.Director, r.Node}
			a.doubts[k] = append(a.doubts[k], doubt{r.At, fmt.Sprintf("%s: %s sent to %s %v after it was told that it is %s", at(r.At), r.Director, r.Node,
				r.At-t.at, t.state)})
		}
	} else {
		a.verdict.check(RuleDrain, true, "")
	}
	// Rule 4, all directors together.
	start, cold := a.starts[r.Node]
	if age := r.At - start.At; cold && age < a.terms.Warmup {
		a.cold[r.Node] = slices.DeleteFunc(append(a.cold[r.Node], r), func(x Record) bool { return x.At <= r.At-a.terms.OverloadWindow })
		warmth := a.terms.InitialShare + (1-a.terms.InitialShare)*age.Seconds()/a.terms.Warmup.Seconds()
		budget := a.terms.OverloadMultiple * start.MaxStreams / a.terms.Warmup.Seconds() * warmth * a.terms.OverloadWindow.Seconds()
		a.verdict.left(RuleSlowStart, 1-float64(len(a.cold[r.Node]))/(budget+1))
		a.verdict.check(RuleSlowStart, float64(len(a.cold[r.Node])) <= budget+1, "%s: %d set-ups within %v on %s, %v after its start (budget %.1f)",
			at(r.At), len(a.cold[r.Node]), a.terms.OverloadWindow, r.Node, age, budget)
	}
}

func (a *account) floor(tariff string, r Record) {
	if t := a.terms.Tariffs[tariff]; t.MinRung > 0 {
		a.verdict.check(RuleTariffLimits, r.Rung >= t.MinRung, "%s: %s set rung %d of %s on %s, under the floor %d", at(r.At), r.Director, r.Rung,
			tariff, r.Node, t.MinRung)
	}
}

// ended is when a leg was no longer out: when its node said so, when it was called off, or when its time
// to start was up and it had not.
func (a *account) ended(g *leg) time.Duration {
	over := g.over
	if over == 0 {
		over = 1 << 62
	}
	if !g.plays && g.StartTimeout > 0 {
		over = min(over, g.At+g.StartTimeout)
	}
	return over
}

// once is rule 2: one leg at a time, a paid set-up sent again or nacked only if it provably never ran, and
// nothing sent for a session that has its answer.
func (a *account) once() {
	// In the order in which the director sent them, which their numbers tell: what was sent to different nodes
	// a moment apart may have come the other way round.
	for _, all := range a.byLeg {
		slices.SortStableFunc(all, func(x, y *leg) int { return cmp.Compare(x.Leg, y.Leg) })
	}
	for _, g := range a.sent {
		all := a.byLeg[g.Session]
		if all[0] != g {
			continue
		}
		paid := a.terms.Tariffs[g.Tariff].Paid
		played := 0
		for i, x := range all {
			played += x.played
			if i == 0 {
				a.verdict.check(RuleSetupOnce, true, "")
				continue
			}
			before := all[i-1]
			a.verdict.check(RuleSetupOnce, x.At >= a.ended(before)-a.terms.Tolerance, "%s: %s has two legs out, on %s and %s", at(x.At), x.Session,
				before.Node, x.Node)
			a.verdict.check(RuleSetupOnce, !paid || before.full, "%s: paid %s is sent again to %s, though its leg on %s may have run", at(x.At),
				x.Session, x.Node, before.Node)
		}
		if a.terms.MaxLegs > 0 {
			a.verdict.check(RuleSetupOnce, len(all) <= a.terms.MaxLegs, "%s had %d legs", g.Session, len(all))
		}
		a.verdict.check(RuleSetupOnce, !paid || played <= 1, "paid %s played %d times", g.Session, played)
		w := a.sessions[g.Session]
		if w == nil {
			continue
		}
		for _, x := range all {
			a.verdict.check(RuleSetupOnce, x.At <= w.answered+a.terms.Tolerance, "%s: %s is sent to %s after its answer %s", at(x.At), x.Session, x.Node, w.answer)
			if paid && w.answer == wire.Nack {
				a.verdict.check(RuleSetupOnce, x.full, "%s: paid %s is nacked, though its leg on %s may have run", at(w.answered), x.Session, x.Node)
			}
		}
	}
}

// seats is the second half of rule 5: the legs of one title and tariff that a run of a director has out.
func (a *account) seats() {
	type hall struct{ boot, title, tariff string }
	outs := map[hall][]*leg{}
	for _, g := range a.sent {
		seats := a.terms.Tariffs[g.Tariff].Seats
		if seats == 0 {
			continue
		}
		h := hall{boot(g.Session), g.Title, g.Tariff}
		outs[h] = slices.DeleteFunc(outs[h], func(x *leg) bool { return a.ended(x)-a.terms.Tolerance <= g.At })
		outs[h] = append(outs[h], g)
		a.verdict.left(RuleTariffLimits, 1-float64(len(outs[h]))/float64(seats+1))
		a.verdict.check(RuleTariffLimits, len(outs[h]) <= seats, "%s: %s holds %d sessions of %s in %s; there are %d seats", at(g.At), h.boot,
			len(outs[h]), h.title, h.tariff, seats)
	}
}

// boot is the run of a director that a session's name tells.
func boot(session string) string {
	for i := len(session) - 1; i >= 0; i-- {
		if session[i] == '.' {
			return session[:i]
		}
	}
	return session
}

// budget is rule 6: further legs within a span, of one run of a director.
func (a *account) budget() {
	if a.terms.RetryWindow == 0 {
		return
	}
	var taken []Record
	for _, w := range a.order {
		taken = append(taken, w.Record)
	}
	further := map[string][]time.Duration{}
	for _, g := range a.sent {
		if a.byLeg[g.Session][0] == g {
			continue
		}
		b := boot(g.Session)
		// One way may have been longer than the other: what was sent a span apart can come closer together.
		spent := slices.DeleteFunc(append(further[b], g.At), func(t time.Duration) bool { return t <= g.At-a.terms.RetryWindow+a.terms.Tolerance })
		further[b] = spent
		n := 0
		for _, w := range taken {
			if w.Director == g.Director && w.At > g.At-a.terms.RetryWindow-a.terms.Tolerance && w.At <= g.At {
				n++
			}
		}
		budget := a.terms.MinRetries + a.terms.RetryRatio*float64(n)
		a.verdict.left(RuleRetryBudget, 1-float64(len(spent))/(budget+1))
		a.verdict.check(RuleRetryBudget, float64(len(spent)) <= budget+1, "%s: %s sent %d further legs within %v (budget %.1f)", at(g.At), b,
			len(spent), a.terms.RetryWindow, budget)
	}
}
