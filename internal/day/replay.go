package day

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"time"

	"fordusher/internal/rulecheck"
)

// ReconstructRun finds in a day's record what it was and what was done in its course, each at the time at which it was
// really done: the incident, to be gone through again.
func ReconstructRun(records []rulecheck.Record) (s *Script, seed uint64, timeline []Action, err error) {
	var began time.Duration
	for _, r := range records {
		switch r.Kind {
		case rulecheck.RunStarted:
			if s, err = ParseScript("the record's script", []byte(r.Reason)); err != nil {
				return nil, 0, nil, err
			}
			if seed, err = strconv.ParseUint(r.RequestID, 10, 64); err != nil {
				return nil, 0, nil, fmt.Errorf("the record's seed: %w", err)
			}
			began = r.At
		case rulecheck.ActionApplied:
			var a Action
			if err := json.Unmarshal([]byte(r.Reason), &a); err != nil {
				return nil, 0, nil, fmt.Errorf("the record's action at %v: %w", r.At, err)
			}
			a.At = r.At - began
			timeline = append(timeline, a)
		}
	}
	if s == nil {
		return nil, 0, nil, errors.New("the record does not tell its script: it is of an earlier version, or of an imported fleet")
	}
	return s, seed, timeline, nil
}
