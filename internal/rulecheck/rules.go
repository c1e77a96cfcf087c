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

// Limits are the bounds that the rules check against.
type Limits struct {
	Tariffs          map[string]TariffLimits `json:"tariffs"`
	DrainGrace       time.Duration           `json:"grace"` // set-ups are allowed until so long after the director knows of a drain
	Warmup           time.Duration           `json:"warmup"`
	InitialShare     float64                 `json:"cold_from"` // share of the full set-up rate at a start; rises linearly to 1 over Warmup
	OverloadMultiple float64                 `json:"multiple"`  // largest set-up rate in slow start, as a multiple of MaxStreams/Warmup
	OverloadWindow   time.Duration           `json:"tip_after"` // window over which the set-up rate is measured
	MaxLegs          int                     `json:"most"`      // of a session; 0: unlimited
	MinRetries       float64                 `json:"spare"`     // further legs allowed in a retry window with no requests
	RetryRatio       float64                 `json:"share"`     // further legs allowed for each request in the retry window
	RetryWindow      time.Duration           `json:"span"`      // 0: further legs are not limited
	Tolerance        time.Duration           `json:"slack"`     // by how much messages may be recorded late or out of order
}

// TariffLimits are the limits of one tariff.
type TariffLimits struct {
	Paid      bool          `json:"paid,omitempty"`
	MinRung   int           `json:"floor,omitempty"` // lowest rung
	Seats     int           `json:"seats,omitempty"` // legs of a title at one time in one run of a director; 0: unlimited
	Credit    float64       `json:"credit,omitempty"`
	StartGoal time.Duration `json:"goal,omitempty"`
}

// The rules, by name, in the order of their numbers.
const (
	RuleAnswer       = "one_answer"    // 1: each request gets exactly one final answer, before its deadline
	RuleSetupOnce    = "set_up_once"   // 2: a session has one leg at a time; a paid one is not sent again if it may have run
	RuleDrain        = "drains_kept"   // 3: a draining or removed node gets no set-ups after the grace time
	RuleSlowStart    = "cold_kept"     // 4: a node in slow start gets no more set-ups than it bears
	RuleTariffLimits = "terms_kept"    // 5: no rung is below the tariff's lowest, and no more legs run than there are seats
	RuleRetryBudget  = "legs_rationed" // 6: further legs stay within the retry budget
)

// Rules are the names of all rules.
var Rules = []string{RuleAnswer, RuleSetupOnce, RuleDrain, RuleSlowStart, RuleTariffLimits, RuleRetryBudget}

// Finding is the result of checking one rule.
type Finding struct {
	Checked    int      `json:"checked"`
	Violations int      `json:"broken"`
	Examples   []string `json:"examples,omitempty"` // of violations, the first few
	MinMargin  float64  `json:"least"`              // smallest share of the allowance that was left unused; 1: the whole
}

// Findings are the results of all rules, by rule name.
type Findings map[string]*Finding

// Passed reports whether no rule was violated.
func (fs Findings) Passed() bool {
	for _, f := range fs {
		if f.Violations > 0 {
			return false
		}
	}
	return true
}

const maxExamples = 5

// recordMargin lowers a rule's smallest margin to share, the part of its allowance that is left unused.
func (fs Findings) recordMargin(rule string, share float64) {
	fs[rule].MinMargin = max(0, min(fs[rule].MinMargin, share))
}

// check counts one check of a rule and, unless ok, a violation with its example text.
func (fs Findings) check(rule string, ok bool, format string, args ...any) {
	f := fs[rule]
	f.Checked++
	if ok {
		return
	}
	f.Violations++
	if len(f.Examples) < maxExamples {
		f.Examples = append(f.Examples, fmt.Sprintf(format, args...))
	}
}

// capacityCloseMark is the part of a recorded close reason, code and retry delay, that marks a close for lack of
// capacity.
const capacityCloseMark = "1013 retry-ms="

type requestKey struct {
	conn uint64
	id   string
}

// A request is a client's request for a session, with its answer.
type request struct {
	Record
	answeredAt time.Duration // 0: no answer yet
	answer     string
	waivedAt   time.Duration // no answer is required from then on; 0: one is required
	duplicates int
	session    string
}

type legKey struct {
	node string
	conn uint64
	leg  uint64
}

// A leg is one attempt of a session at a node.
type leg struct {
	Record
	endedAt       time.Duration // 0: not yet
	neverRan      bool          // the node answered full before anything else, so the set-up never ran
	accepted      bool
	acceptedCount int
}

// A checker holds the state that is built up while records are processed in order of time.
type checker struct {
	limits             Limits
	findings           Findings
	requests           map[requestKey]*request
	requestOrder       []*request
	unservedBySession  map[string]*request // answered with a nack or an error, by session name
	legsByKey          map[legKey]*leg
	sentLegs           []*leg
	legsBySession      map[string][]*leg                 // in the order of their records, then of their numbers
	listStates         map[[2]string]listState           // by director and node
	pendingDrainChecks map[[2]string][]pendingDrainCheck // by director and node
	nodeStarts         map[string]Record                 // of nodes that run since a recorded start
	recentSetups       map[string][]Record               // set-ups within the overload window, of nodes in slow start
	requestsByConn     map[uint64][]*request             // by client connection
	outstandingLegs    map[string][]*leg                 // by node
	killedDirectors    map[string]bool                   // killed and not started again
	end                time.Duration                     // time of the last record
}

// A pendingDrainCheck is a set-up to a draining node after the grace time. The director may already have received that
// the node is up again, since its acknowledgement may be recorded after the set-up. Then the set-up is no violation.
type pendingDrainCheck struct {
	at      time.Duration
	example string
}

// settleDrainChecks decides the pending checks of a director and a node once the director has acknowledged that the
// node is up or has subscribed anew. The director may have received the state earlier, by up to the tolerance.
func (c *checker) settleDrainChecks(k [2]string, now time.Duration) {
	for _, d := range c.pendingDrainChecks[k] {
		c.findings.check(RuleDrain, d.at >= now-c.limits.Tolerance, "%s", d.example)
	}
	delete(c.pendingDrainChecks, k)
}

// A listState is a node's state that a director has acknowledged, with the time of the first acknowledgement.
type listState struct {
	at    time.Duration
	state string
}

// Check checks records, which must be sorted by time, against all rules.
func Check(limits Limits, records []Record) Findings {
	c := &checker{
		limits: limits, findings: Findings{}, requests: map[requestKey]*request{}, unservedBySession: map[string]*request{},
		legsByKey: map[legKey]*leg{}, legsBySession: map[string][]*leg{}, listStates: map[[2]string]listState{},
		pendingDrainChecks: map[[2]string][]pendingDrainCheck{},
		nodeStarts:         map[string]Record{}, recentSetups: map[string][]Record{}, requestsByConn: map[uint64][]*request{},
		outstandingLegs: map[string][]*leg{}, killedDirectors: map[string]bool{},
	}
	for _, rule := range Rules {
		c.findings[rule] = &Finding{MinMargin: 1}
	}
	for _, r := range records {
		c.end = max(c.end, r.At)
		c.process(r)
	}
	for _, k := range slices.SortedFunc(maps.Keys(c.pendingDrainChecks), func(x, y [2]string) int {
		return cmp.Or(cmp.Compare(x[0], y[0]), cmp.Compare(x[1], y[1]))
	}) {
		for _, d := range c.pendingDrainChecks[k] {
			c.findings.check(RuleDrain, false, "%s", d.example)
		}
	}
	c.checkAnswers()
	c.checkSetupOnce()
	c.checkSeats()
	c.checkRetryBudget()
	return c.findings
}

func (c *checker) process(r Record) {
	switch r.Kind {
	case wire.Request:
		k := requestKey{r.Conn, r.RequestID}
		if req := c.requests[k]; req != nil {
			req.duplicates++
			return
		}
		req := &request{Record: r}
		if c.killedDirectors[r.Director] {
			req.waivedAt = r.At
		}
		c.requests[k] = req
		c.requestOrder = append(c.requestOrder, req)
		c.requestsByConn[r.Conn] = append(c.requestsByConn[r.Conn], req)
	case wire.Playing, wire.Nack, wire.Errored:
		c.recordAnswer(r)
	case wire.Cancel:
		if req := c.requests[requestKey{r.Conn, r.RequestID}]; req != nil && req.waivedAt == 0 {
			req.waivedAt = r.At
		}
	case wire.Setup:
		c.recordSetup(r)
	case wire.Rung:
		if r.Node != "" && r.Leg != 0 {
			if l := c.legsByKey[legKey{r.Node, r.Conn, r.Leg}]; l != nil {
				c.checkMinRung(l.Tariff, r)
			}
		}
	case wire.Accepted:
		if l := c.legsByKey[legKey{r.Node, r.Conn, r.Leg}]; l != nil {
			l.accepted = true
			l.acceptedCount++
		}
	case wire.Full, wire.Failed, wire.Ended, wire.End:
		if l := c.legsByKey[legKey{r.Node, r.Conn, r.Leg}]; l != nil {
			l.neverRan = l.neverRan || r.Kind == wire.Full && !l.accepted && l.endedAt == 0
			c.endLeg(l, r.At)
		}
	case ConnClosed:
		if r.Node != "" {
			for _, l := range c.outstandingLegs[r.Node] {
				if l.Conn == r.Conn {
					c.endLeg(l, r.At)
				}
			}
			return
		}
		for _, req := range c.requestsByConn[r.Conn] {
			// A close that names a retry delay counts as the answer to requests that cross it.
			if (r.ClosedBy == ClosedByRecorder || strings.Contains(r.Reason, capacityCloseMark)) && req.waivedAt == 0 {
				req.waivedAt = r.At
			}
		}
		delete(c.requestsByConn, r.Conn)
	case DirectorStarted:
		delete(c.killedDirectors, r.Director)
	case DirectorKilled:
		c.killedDirectors[r.Director] = true
		for _, req := range c.requestOrder {
			if req.Director == r.Director && req.answeredAt == 0 && req.waivedAt == 0 {
				req.waivedAt = r.At
			}
		}
	case ListSubscribed:
		for k := range c.listStates {
			if k[0] == r.Director {
				delete(c.listStates, k)
				c.settleDrainChecks(k, r.At)
			}
		}
	case ListAcknowledged:
		k := [2]string{r.Director, r.Node}
		if c.listStates[k].state != r.State {
			c.listStates[k] = listState{r.At, r.State}
		}
		if r.State == wire.Up {
			c.settleDrainChecks(k, r.At)
		}
	case NodeStarted:
		c.nodeStarts[r.Node] = r
		c.recentSetups[r.Node] = nil
	case NodeExited:
		delete(c.nodeStarts, r.Node)
		for _, l := range c.outstandingLegs[r.Node] {
			c.endLeg(l, r.At)
		}
	}
}

func (c *checker) endLeg(l *leg, at time.Duration) {
	if l.endedAt == 0 {
		l.endedAt = at
	}
}

// recordAnswer records a request's answer. It checks the part of rule 1 on answers without a request and on second
// answers, which are allowed to a duplicate request if they are of the same kind.
func (c *checker) recordAnswer(r Record) {
	req := c.requests[requestKey{r.Conn, r.RequestID}]
	if req == nil {
		c.findings.check(RuleAnswer, false, "%s: answer %s to %q, for which there is no request", formatTime(r.At), r.Kind, r.RequestID)
		return
	}
	if req.answeredAt != 0 {
		c.findings.check(RuleAnswer, req.duplicates > 0 && req.answer == r.Kind,
			"%s: client %d got a second answer %s after %s from %s", formatTime(r.At), req.Client, r.Kind, req.answer, req.Director)
		req.duplicates--
		return
	}
	req.answeredAt, req.answer, req.session = r.At, r.Kind, r.Session
	if r.Session != "" && r.Kind != wire.Playing {
		c.unservedBySession[r.Session] = req
	}
}

// checkAnswers checks rule 1: each request gets exactly one final answer before its deadline, unless none is required.
func (c *checker) checkAnswers() {
	for _, req := range c.requestOrder {
		deadline := req.At + req.Wait + c.limits.Tolerance
		switch {
		case req.answeredAt != 0:
			c.findings.recordMargin(RuleAnswer, float64(deadline-req.answeredAt)/float64(req.Wait+c.limits.Tolerance))
			c.findings.check(RuleAnswer, req.answeredAt <= deadline, "client %d was answered %v after the deadline by %s", req.Client,
				req.answeredAt-req.At-req.Wait, req.Director)
		case req.waivedAt != 0 && req.waivedAt <= deadline:
		case c.end <= deadline: // the records end before the deadline
		default:
			c.findings.check(RuleAnswer, false, "client %d was never answered by %s (%s, requested at %s)", req.Client, req.Director,
				req.Tariff, formatTime(req.At))
		}
	}
}

// formatTime formats the time of a record for an example.
func formatTime(t time.Duration) string { return fmt.Sprintf("%.3fs", t.Seconds()) }

func (c *checker) recordSetup(r Record) {
	l := &leg{Record: r}
	c.legsByKey[legKey{r.Node, r.Conn, r.Leg}] = l
	c.sentLegs = append(c.sentLegs, l)
	c.outstandingLegs[r.Node] = append(slices.DeleteFunc(c.outstandingLegs[r.Node], func(x *leg) bool { return x.endedAt != 0 }), l)
	c.legsBySession[r.Session] = append(c.legsBySession[r.Session], l)
	c.checkMinRung(r.Tariff, r)
	// Rule 3: a director knows the node states that it has acknowledged.
	if t, ok := c.listStates[[2]string{r.Director, r.Node}]; ok && t.state != wire.Up {
		if r.At <= t.at+c.limits.DrainGrace+c.limits.Tolerance {
			c.findings.recordMargin(RuleDrain, 1-float64(r.At-t.at)/float64(c.limits.DrainGrace+c.limits.Tolerance))
			c.findings.check(RuleDrain, true, "")
		} else {
			k := [2]string{r.Director, r.Node}
			c.pendingDrainChecks[k] = append(c.pendingDrainChecks[k], pendingDrainCheck{r.At,
				fmt.Sprintf("%s: %s sent a set-up to %s %v after it received that the node is %s", formatTime(r.At), r.Director,
					r.Node, r.At-t.at, t.state)})
		}
	} else {
		c.findings.check(RuleDrain, true, "")
	}
	// Rule 4: the set-up rate of a node in slow start, from all directors together.
	start, started := c.nodeStarts[r.Node]
	if age := r.At - start.At; started && age < c.limits.Warmup {
		c.recentSetups[r.Node] = slices.DeleteFunc(append(c.recentSetups[r.Node], r), func(x Record) bool {
			return x.At <= r.At-c.limits.OverloadWindow
		})
		rampShare := c.limits.InitialShare + (1-c.limits.InitialShare)*age.Seconds()/c.limits.Warmup.Seconds()
		budget := c.limits.OverloadMultiple * start.MaxStreams / c.limits.Warmup.Seconds() * rampShare * c.limits.OverloadWindow.Seconds()
		// One set-up more than the budget is allowed for random variation.
		c.findings.recordMargin(RuleSlowStart, 1-float64(len(c.recentSetups[r.Node]))/(budget+1))
		c.findings.check(RuleSlowStart, float64(len(c.recentSetups[r.Node])) <= budget+1,
			"%s: %d set-ups within %v on %s, %v after its start (budget %.1f)", formatTime(r.At),
			len(c.recentSetups[r.Node]), c.limits.OverloadWindow, r.Node, age, budget)
	}
}

// checkMinRung checks the part of rule 5 on rungs: none is below the tariff's lowest.
func (c *checker) checkMinRung(tariff string, r Record) {
	if t := c.limits.Tariffs[tariff]; t.MinRung > 0 {
		c.findings.check(RuleTariffLimits, r.Rung >= t.MinRung, "%s: %s set rung %d of %s on %s, below the lowest rung %d",
			formatTime(r.At), r.Director, r.Rung, tariff, r.Node, t.MinRung)
	}
}

// legEnd is when a leg is no longer outstanding: when its node reports its end, when the director ends it, when its
// connection or node ends, or when its start time-out expires before it is accepted.
func (c *checker) legEnd(l *leg) time.Duration {
	end := l.endedAt
	if end == 0 {
		end = 1 << 62
	}
	if !l.accepted && l.StartTimeout > 0 {
		end = min(end, l.At+l.StartTimeout)
	}
	return end
}

// checkSetupOnce checks rule 2: a session has one leg at a time and at most MaxLegs, a paid set-up is sent again or
// nacked only if it provably never ran, and no set-up is sent for a session that has been nacked or has failed.
func (c *checker) checkSetupOnce() {
	// Leg numbers give the order in which the director sent them. Set-ups sent to different nodes in quick succession
	// may be recorded in the reverse order.
	for _, all := range c.legsBySession {
		slices.SortStableFunc(all, func(x, y *leg) int { return cmp.Compare(x.Leg, y.Leg) })
	}
	for _, l := range c.sentLegs {
		all := c.legsBySession[l.Session]
		if all[0] != l {
			continue
		}
		paid := c.limits.Tariffs[l.Tariff].Paid
		accepted := 0
		for i, x := range all {
			accepted += x.acceptedCount
			if i == 0 {
				c.findings.check(RuleSetupOnce, true, "")
				continue
			}
			previous := all[i-1]
			c.findings.check(RuleSetupOnce, x.At >= c.legEnd(previous)-c.limits.Tolerance,
				"%s: %s has two legs at once, on %s and %s", formatTime(x.At), x.Session, previous.Node, x.Node)
			c.findings.check(RuleSetupOnce, !paid || previous.neverRan,
				"%s: paid %s is sent again to %s, although its leg on %s may have run", formatTime(x.At), x.Session, x.Node, previous.Node)
		}
		if c.limits.MaxLegs > 0 {
			c.findings.check(RuleSetupOnce, len(all) <= c.limits.MaxLegs, "%s had %d legs", l.Session, len(all))
		}
		c.findings.check(RuleSetupOnce, !paid || accepted <= 1, "paid %s was accepted %d times", l.Session, accepted)
		req := c.unservedBySession[l.Session]
		if req == nil {
			continue
		}
		for _, x := range all {
			c.findings.check(RuleSetupOnce, x.At <= req.answeredAt+c.limits.Tolerance, "%s: %s is sent to %s after its answer %s",
				formatTime(x.At), x.Session, x.Node, req.answer)
			if paid && req.answer == wire.Nack {
				c.findings.check(RuleSetupOnce, x.neverRan, "%s: paid %s is nacked, although its leg on %s may have run",
					formatTime(req.answeredAt), x.Session, x.Node)
			}
		}
	}
}

// checkSeats checks the part of rule 5 on seats: one run of a director has no more legs of a title and tariff at a time
// than the tariff has seats.
func (c *checker) checkSeats() {
	type seatKey struct{ run, title, tariff string }
	outstanding := map[seatKey][]*leg{}
	for _, l := range c.sentLegs {
		seats := c.limits.Tariffs[l.Tariff].Seats
		if seats == 0 {
			continue
		}
		k := seatKey{runOf(l.Session), l.Title, l.Tariff}
		outstanding[k] = slices.DeleteFunc(outstanding[k], func(x *leg) bool { return c.legEnd(x)-c.limits.Tolerance <= l.At })
		outstanding[k] = append(outstanding[k], l)
		c.findings.recordMargin(RuleTariffLimits, 1-float64(len(outstanding[k]))/float64(seats+1))
		c.findings.check(RuleTariffLimits, len(outstanding[k]) <= seats,
			"%s: %s holds %d sessions of %s in %s; there are %d seats", formatTime(l.At), k.run, len(outstanding[k]), k.title, k.tariff, seats)
	}
}

// runOf returns the part of a session's name before its last dot, which identifies the run of the director.
func runOf(session string) string {
	for i := len(session) - 1; i >= 0; i-- {
		if session[i] == '.' {
			return session[:i]
		}
	}
	return session
}

// checkRetryBudget checks rule 6: the further legs that one run of a director sends within the retry window.
func (c *checker) checkRetryBudget() {
	if c.limits.RetryWindow == 0 {
		return
	}
	requestTimes := map[string][]time.Duration{} // by director, ascending
	for _, req := range c.requestOrder {
		requestTimes[req.Director] = append(requestTimes[req.Director], req.At)
	}
	further := map[string][]time.Duration{}
	for _, l := range c.sentLegs {
		if c.legsBySession[l.Session][0] == l {
			continue
		}
		run := runOf(l.Session)
		// Transit times vary: legs sent a whole window apart may be recorded closer together, so the window is
		// shorter by the tolerance.
		recent := slices.DeleteFunc(append(further[run], l.At), func(t time.Duration) bool {
			return t <= l.At-c.limits.RetryWindow+c.limits.Tolerance
		})
		further[run] = recent
		times := requestTimes[l.Director]
		first, _ := slices.BinarySearch(times, l.At-c.limits.RetryWindow-c.limits.Tolerance+1)
		end, _ := slices.BinarySearch(times, l.At+1)
		n := end - first
		budget := c.limits.MinRetries + c.limits.RetryRatio*float64(n)
		// One leg more than the budget is allowed for random variation.
		c.findings.recordMargin(RuleRetryBudget, 1-float64(len(recent))/(budget+1))
		c.findings.check(RuleRetryBudget, float64(len(recent)) <= budget+1,
			"%s: %s sent %d further legs within %v (budget %.1f)", formatTime(l.At), run, len(recent), c.limits.RetryWindow, budget)
	}
}
