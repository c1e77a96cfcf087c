package rulecheck

import "slices"

// checkMinRung checks the part of rule 5 on rungs: none is below the tariff's lowest.
func (c *checker) checkMinRung(tariff string, r Record) {
	if t := c.limits.Tariffs[tariff]; t.MinRung > 0 {
		c.findings.check(RuleTariffLimits, r.Rung >= t.MinRung, "%s: %s set rung %d of %s on %s, below the lowest rung %d",
			formatTime(r.At), r.Director, r.Rung, tariff, r.Node, t.MinRung)
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
