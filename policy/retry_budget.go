package policy

import (
	"time"
)

// allows reports whether another retry fits into the budget.
func (r *retryBudget) allows(now time.Duration) bool {
	if r.policy.Window == 0 {
		return true
	}
	r.requests, r.retries = recent(r.requests, now-r.policy.Window), recent(r.retries, now-r.policy.Window)
	return float64(len(r.retries)+1) <= r.policy.MinRetries+r.policy.RetryRatio*float64(len(r.requests))
}
