package emulator

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"fordusher/internal/day"
	"fordusher/internal/witness"
)

// slack is what the witness forgives: messages on their way, and answers that cross.
const slack = 50 * time.Millisecond

// A Result is how a day in virtual time went.
type Result struct {
	*day.Result
	Hash string        `json:"hash"` // of all that was recorded
	Span time.Duration `json:"span"` // of virtual time
}

func (w *world) result() *Result {
	r := &Result{Result: day.Judge(day.Terms(w.house, slack), w.records)}
	r.Seed, r.Viewers = w.layout.Seed, w.crowd.came
	r.Sum(w.crowd.latency, w.crowd.inTime, w.crowd.asked)
	h := sha256.New()
	e := json.NewEncoder(h)
	for i := range w.records {
		e.Encode(&w.records[i]) // a hash takes all that it is given
	}
	r.Hash = hex.EncodeToString(h.Sum(nil)[:8])
	if n := len(w.records); n > 0 {
		r.Span = w.records[n-1].At
	}
	witness.Sort(r.Records)
	return r
}
