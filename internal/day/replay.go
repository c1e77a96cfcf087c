package day

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"time"

	"fordusher/internal/rulecheck"
)

// ReconstructRun reads the script, the seed and the applied actions from a day's records, so that the day can be
// replayed. Each action gets the time at which it was actually applied.
func ReconstructRun(records []rulecheck.Record) (s *Script, seed uint64, timeline []Action, err error) {
	var startedAt time.Duration
	for _, r := range records {
		switch r.Kind {
		case rulecheck.RunStarted:
			if s, err = ParseScript("the record's script", []byte(r.Reason)); err != nil {
				return nil, 0, nil, err
			}
			if seed, err = strconv.ParseUint(r.RequestID, 10, 64); err != nil {
				return nil, 0, nil, fmt.Errorf("the record's seed: %w", err)
			}
			startedAt = r.At
		case rulecheck.ActionApplied:
			var a Action
			if err := json.Unmarshal([]byte(r.Reason), &a); err != nil {
				return nil, 0, nil, fmt.Errorf("the record's action at %v: %w", r.At, err)
			}
			a.At = r.At - startedAt
			timeline = append(timeline, a)
		}
	}
	if s == nil {
		return nil, 0, nil, errors.New("the record contains no script: an earlier version wrote it, or the fleet was imported")
	}
	return s, seed, timeline, nil
}
