package policy

import (
	"time"
)

// Rations of further legs.

func (r *retryBudget) allows(now time.Duration) bool {
	if r.legs.Window == 0 {
		return true
	}
	r.taken, r.spent = recent(r.taken, now-r.legs.Window), recent(r.spent, now-r.legs.Window)
	return float64(len(r.spent)+1) <= r.legs.MinRetries+r.legs.RetryRatio*float64(len(r.taken))
}
