package rulecheck

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
	c.failPendingDrainChecks()
	c.checkAnswers()
	c.checkSetupOnce()
	c.checkSeats()
	c.checkRetryBudget()
	return c.findings
}
