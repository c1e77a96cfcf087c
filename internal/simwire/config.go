package simwire

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"fordusher/policy"
)

// Config holds the settings that a director is started with. Keys that are not listed here are ignored.
type Config struct {
	Index     int      `json:"me"`
	Directors int      `json:"balancers"`
	Zone      string   `json:"zone"`
	Zones     []string `json:"zones"`
	Classes   []struct {
		Name      string  `json:"name"`
		Target    float64 `json:"target_s"`
		GiveUp    float64 `json:"give_up_s"`
		Semantics string  `json:"semantics"`
		Credit    float64 `json:"credit"`
	} `json:"classes"`
	Family struct {
		Cells            int       `json:"positions"`
		Racks            int       `json:"shelves"`
		Floor            []int     `json:"floor_by_class"`
		Top              []int     `json:"top_by_class"`
		Scale            []float64 `json:"scale_by_class"`
		Seats            []int     `json:"licence_cap"`
		Live             []bool    `json:"is_live"`
		JoinCost         *float64  `json:"shared_adds"`
		RefusalThreshold float64   `json:"refuses_from"`
		MaxStreams       []float64 `json:"kind_slots"`
		Ladder           []float64 `json:"ladder_kb"`
		Worth            []float64 `json:"level_worth"`
		ReportDelay      float64   `json:"told_late_s"`
		ReportInterval   float64   `json:"told_every_s"`
		Uplink           float64   `json:"rack_link_kb"`
		LinkUnit         float64   `json:"link_unit_kb"`
	} `json:"family_info"`
	Kinds       []string `json:"flavors"`
	Mode        string   `json:"membership_mode"`
	Permissions struct {
		MaxAttempts int     `json:"max_attempts"`
		RetryAfter  bool    `json:"retry_after"`
		MaxBackoff  float64 `json:"max_retry_after_s"`
		Connect     float64 `json:"connect_timeout_s"`
		Idle        float64 `json:"conn_idle_s"`
	} `json:"permissions"`
	Prices struct {
		CrossZoneCost float64 `json:"cross_zone"`
	} `json:"prices"`
	Report struct {
		Fields []string `json:"fields"`
	} `json:"report"`
	Rules struct {
		PollWithin       float64 `json:"ask_within_s"`
		InitialShare     float64 `json:"cold_from"`
		OverloadMultiple float64 `json:"fall_multiple"`
		Ramp             float64 `json:"ramp_time_s"`
		OverloadWindow   float64 `json:"tip_after_s"`
		MinRetries       float64 `json:"spare_attempts"`
		RetryRatio       float64 `json:"extra_share"`
		RetryWindow      float64 `json:"resend_span_s"`
	} `json:"rules"`

	tariffIndexes map[string]int
	kindIndexes   map[string]int
}

// ParseConfig parses the settings of a director. It does not check them; see Check.
func ParseConfig(raw json.RawMessage) (*Config, error) {
	c := &Config{tariffIndexes: map[string]int{}, kindIndexes: map[string]int{}}
	if err := json.Unmarshal(raw, c); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	for i, class := range c.Classes {
		c.tariffIndexes[class.Name] = i
	}
	for i, kind := range c.Kinds {
		c.kindIndexes[kind] = i
	}
	return c, nil
}

// elementOr returns list[i], or missing if the list is shorter.
func elementOr[T any](list []T, i int, missing T) T {
	if i < len(list) {
		return list[i]
	}
	return missing
}

// Ladder returns the rungs.
func (c *Config) Ladder() policy.Ladder {
	family := &c.Family
	ladder := policy.Ladder{Rates: family.Ladder, Worth: family.Worth, JoinCost: 1}
	if family.JoinCost != nil {
		ladder.JoinCost = *family.JoinCost
	}
	return ladder
}

// Check returns an error that names the key of the first setting that can't be used. A setting that may be left out has
// a default.
func (c *Config) Check() error {
	family := &c.Family
	if len(c.Classes) == 0 {
		return errors.New("settings: classes: the list is empty or missing")
	}
	for i, class := range c.Classes {
		if class.Name == "" {
			return fmt.Errorf("settings: classes: number %d has no name", i)
		}
		if c.tariffIndexes[class.Name] != i {
			return fmt.Errorf("settings: classes: %q is there twice", class.Name)
		}
	}
	if len(family.Ladder) == 0 {
		return errors.New("settings: family_info: ladder_kb: at least one rung is required")
	}
	for q, rate := range family.Ladder {
		if rate <= 0 || q > 0 && rate <= family.Ladder[q-1] {
			return fmt.Errorf("settings: family_info: ladder_kb: rung %d is %v; rates must be over 0 and ascending", q, rate)
		}
	}
	for _, x := range []struct {
		key   string
		value float64
	}{{"positions", float64(family.Cells)}, {"shelves", float64(family.Racks)},
		{"link_unit_kb", family.LinkUnit}, {"rack_link_kb", family.Uplink}} {
		if x.value <= 0 {
			return fmt.Errorf("settings: family_info: %s is %v; it must be over 0", x.key, x.value)
		}
	}
	values := map[string]float64{
		"family_info: told_late_s": family.ReportDelay, "family_info: told_every_s": family.ReportInterval,
		"family_info: refuses_from":      family.RefusalThreshold,
		"permissions: max_attempts":      float64(c.Permissions.MaxAttempts),
		"permissions: max_retry_after_s": c.Permissions.MaxBackoff, "permissions: connect_timeout_s": c.Permissions.Connect,
		"permissions: conn_idle_s": c.Permissions.Idle, "prices: cross_zone": c.Prices.CrossZoneCost,
		"rules: ask_within_s": c.Rules.PollWithin, "rules: cold_from": c.Rules.InitialShare,
		"rules: fall_multiple": c.Rules.OverloadMultiple, "rules: ramp_time_s": c.Rules.Ramp, "rules: tip_after_s": c.Rules.OverloadWindow,
		"rules: spare_attempts": c.Rules.MinRetries, "rules: extra_share": c.Rules.RetryRatio, "rules: resend_span_s": c.Rules.RetryWindow,
	}
	for i, class := range c.Classes {
		values[fmt.Sprintf("classes: %s: target_s", class.Name)] = class.Target
		values[fmt.Sprintf("classes: %s: give_up_s", class.Name)] = class.GiveUp
		values[fmt.Sprintf("classes: %s: credit", class.Name)] = class.Credit
		values[fmt.Sprintf("family_info: scale_by_class: number %d", i)] = elementOr(family.Scale, i, 1)
		values[fmt.Sprintf("family_info: floor_by_class: number %d", i)] = float64(elementOr(family.Floor, i, 0))
		values[fmt.Sprintf("family_info: licence_cap: number %d", i)] = float64(elementOr(family.Seats, i, 0))
	}
	for _, key := range slices.Sorted(maps.Keys(values)) {
		if values[key] < 0 || values[key] > maxValue {
			return fmt.Errorf("settings: %s is %v; it must be from 0 to %v", key, values[key], maxValue)
		}
	}
	return nil
}

// maxValue is larger than any setting of a deployment; as a number of seconds it still fits into a time.Duration.
const maxValue = 1e9

// DefaultSetupTimeout is the hard stop of a class that does not set one.
const DefaultSetupTimeout = time.Hour

// Tariffs returns the tariffs in the order of the classes. A class without give_up_s has DefaultSetupTimeout, and one
// without target_s has all the time until its hard stop. A floor beyond the ladder is the last rung; the default
// scale is 1.
func (c *Config) Tariffs() []policy.Tariff {
	family := &c.Family
	tariffs := make([]policy.Tariff, len(c.Classes))
	for i, class := range c.Classes {
		t := policy.Tariff{
			GoalTime: SecondsToDuration(class.Target), HardStop: SecondsToDuration(class.GiveUp), Credit: class.Credit,
			AtMostOnce: class.Semantics != "free", Scale: elementOr(family.Scale, i, 1), Floor: elementOr(family.Floor, i, 0),
			Top: elementOr(family.Top, i, len(family.Ladder)-1), Seats: elementOr(family.Seats, i, 0), Live: elementOr(family.Live, i, false),
		}
		t.HardStop = cmp.Or(t.HardStop, DefaultSetupTimeout)
		t.GoalTime = min(cmp.Or(t.GoalTime, t.HardStop), t.HardStop)
		t.Scale, t.Floor = cmp.Or(t.Scale, 1), min(t.Floor, len(family.Ladder)-1)
		tariffs[i] = t
	}
	return tariffs
}

// NewDirector returns a director with these settings.
func (c *Config) NewDirector(seed uint64) *policy.Director {
	family := &c.Family
	ramp := policy.Ramp{
		MaxStreams: family.MaxStreams, Warmup: SecondsToDuration(c.Rules.Ramp), InitialShare: c.Rules.InitialShare,
		OverloadMultiple: c.Rules.OverloadMultiple, OverloadWindow: SecondsToDuration(c.Rules.OverloadWindow),
	}
	if c.Mode == "ask" {
		ramp.PollWithin = max(SecondsToDuration(c.Rules.PollWithin), time.Millisecond)
	}
	var backoff time.Duration
	if c.Permissions.RetryAfter {
		backoff = SecondsToDuration(c.Permissions.MaxBackoff)
	}
	return policy.New(seed, policy.Peers{Index: c.Index, Directors: c.Directors, Zone: c.Zone}, c.Tariffs(), c.Ladder(),
		policy.Topology{
			Cells: family.Cells, Racks: family.Racks, LinkUnit: family.LinkUnit, Uplink: family.Uplink,
			CrossZoneCost: c.Prices.CrossZoneCost, RefusalThreshold: family.RefusalThreshold,
		}, ramp,
		policy.RetryPolicy{
			MaxLegs: max(1, c.Permissions.MaxAttempts), MinRetries: c.Rules.MinRetries, RetryRatio: c.Rules.RetryRatio,
			Window: SecondsToDuration(c.Rules.RetryWindow),
		},
		policy.ReportTiming{Delay: SecondsToDuration(family.ReportDelay), Interval: SecondsToDuration(family.ReportInterval),
			MaxBackoff: backoff})
}

// Load converts a report, whose fields are in the order that the settings give.
func (c *Config) Load(report []float64) policy.Load {
	load := policy.NoLoad
	for i, v := range report {
		SetLoadField(&load, elementOr(c.Report.Fields, i, ""), v)
	}
	return load
}

// SetLoadField sets one field of a load report by the field's name in the settings; other names are ignored. The CPU
// load stands for the link's load where no link load has been set.
func SetLoadField(load *policy.Load, name string, v float64) {
	switch name {
	case "active":
		load.Streams = v
	case "x0":
		load.Link = v
	case "cpu":
		if load.Link < 0 {
			load.Link = v
		}
	case "x1":
		load.Uplink = v
	}
}

var serverListKinds = map[string]policy.ServerListKind{
	"update": policy.ListUpdate, "replace": policy.ListReplaced, "restored": policy.ListRestored,
	"unavailable": policy.ListUnavailable,
}

var nodeStates = map[string]policy.NodeState{
	"up": policy.Up, "draining": policy.Draining, "removed": policy.Removed,
}

// ServerList converts a change of the list for an instance that started at the given time on the simulator's clock.
func (c *Config) ServerList(kind string, entries []NodeEntry, start time.Duration) (policy.ServerList, error) {
	k, ok := serverListKinds[kind]
	if !ok {
		return policy.ServerList{}, fmt.Errorf("unknown list kind %q", kind)
	}
	r := policy.ServerList{Kind: k, Entries: make([]policy.NodeEntry, len(entries))}
	for i, e := range entries {
		state, ok := nodeStates[e.State]
		if !ok {
			return r, fmt.Errorf("unknown state %q of node %s", e.State, e.Node)
		}
		startedAt := policy.UnknownStart
		if e.StartedAt != 0 {
			startedAt = SecondsToDuration(e.StartedAt) - start
		}
		r.Entries[i] = policy.NodeEntry{
			Node: e.Node, State: state, MachineKind: c.kindIndexes[e.Kind], Zone: e.Zone, StartedAt: startedAt,
			Weight: e.Weight, Cell: e.Cell,
		}
	}
	return r, nil
}

// Request converts a request, or a session that is to be adopted while it plays.
func (c *Config) Request(m *Message, start time.Duration) (policy.Request, error) {
	tariff, ok := c.tariffIndexes[m.Class]
	if !ok {
		return policy.Request{}, fmt.Errorf("unknown class %q", m.Class)
	}
	return policy.Request{
		ID: m.ID, Tariff: tariff, Title: m.Title, FirstCell: int(m.FirstCell), Copies: int(m.Copies),
		MaxRung: int(m.MaxRung), Deadline: SecondsToDuration(m.ValidUntil) - start, PlayingOn: m.Node,
	}, nil
}
