package rulecheck

import (
	"fmt"
	"time"
)

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

// formatTime formats the time of a record for an example.
func formatTime(t time.Duration) string { return fmt.Sprintf("%.3fs", t.Seconds()) }
