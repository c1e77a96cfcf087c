package rulecheck

import "time"

// Limits are the bounds that the rules check against.
type Limits struct {
	Tariffs          map[string]TariffLimits `json:"tariffs"`
	DrainGrace       time.Duration           `json:"grace"` // set-ups are allowed until so long after the director knows of a drain
	Warmup           time.Duration           `json:"warmup"`
	InitialShare     float64                 `json:"cold_from"` // share of the full set-up rate at a start; rises linearly to 1 over Warmup
	OverloadMultiple float64                 `json:"multiple"`  // largest set-up rate in slow start, as a multiple of MaxStreams/Warmup
	OverloadWindow   time.Duration           `json:"tip_after"` // window over which the set-up rate is measured
	MaxLegs          int                     `json:"most"`      // of a session; 0: unlimited
	MinRetries       float64                 `json:"spare"`     // further legs allowed in a retry window with no requests
	RetryRatio       float64                 `json:"share"`     // further legs allowed for each request in the retry window
	RetryWindow      time.Duration           `json:"span"`      // 0: further legs are not limited
	Tolerance        time.Duration           `json:"slack"`     // by how much messages may be recorded late or out of order
}

// TariffLimits are the limits of one tariff.
type TariffLimits struct {
	Paid      bool          `json:"paid,omitempty"`
	MinRung   int           `json:"floor,omitempty"` // lowest rung
	Seats     int           `json:"seats,omitempty"` // legs of a title at one time in one run of a director; 0: unlimited
	Credit    float64       `json:"credit,omitempty"`
	StartGoal time.Duration `json:"goal,omitempty"`
}
