package policy

import (
	"time"
)

// Rations of further legs.

func (r *ration) may(now time.Duration) bool {
	if r.legs.Span == 0 {
		return true
	}
	r.taken, r.spent = recent(r.taken, now-r.legs.Span), recent(r.spent, now-r.legs.Span)
	return float64(len(r.spent)+1) <= r.legs.Spare+r.legs.Share*float64(len(r.taken))
}
