package node

import (
	"time"

	"fordusher/internal/wire"
)

// Spec is the hardware of a node, which is a streaming server.
type Spec struct {
	Name       string        `json:"name"`
	Kind       string        `json:"kind"`
	Rack       int           `json:"rack"`
	MaxStreams int           `json:"places"`  // at one time
	LinkRate   float64       `json:"link_kb"` // kB a second
	Cores      int           `json:"cores"`   // each processes one set-up at a time
	SetupTime  time.Duration `json:"work"`    // average time that a core takes for a set-up after slow start
}

// Environment are the parameters that all nodes share.
type Environment struct {
	Uplinks          []float64     `json:"uplinks_kb"`   // by rack, kB a second
	RejectThreshold  float64       `json:"refuses_from"` // utilization of its link from which a node answers full; 0: never
	Warmup           time.Duration `json:"warmup"`
	InitialShare     float64       `json:"cold_from"`            // share of the full set-up speed at a start; rises linearly to 1 over Warmup
	OverloadMultiple float64       `json:"multiple"`             // set-up rate that a node in slow start bears, in MaxStreams/Warmup
	OverloadWindow   time.Duration `json:"tip_after"`            // window over which the set-up rate is measured
	ReportDelay      time.Duration `json:"late"`                 // from a measurement to its sending
	ReportInterval   time.Duration `json:"every"`                // between measurements of link and uplink
	LoadRefresh      time.Duration `json:"refresh"`              // age from which the load in answers is computed anew
	RungValues       []float64     `json:"worth,omitempty"`      // value of a second at each rung; empty: sessions earn nothing
	StallCost        float64       `json:"stall_cost,omitempty"` // loss of value, in points, for each point of the delivered share below 98%
}

// Fault is a change of the state of a node, of all nodes (Node is empty) or of a rack's uplink. Fields that are not set
// leave the state as it is.
type Fault struct {
	Node             string   `json:"node,omitempty"`
	Rack             *int     `json:"rack,omitempty"`
	Hang             *bool    `json:"hang,omitempty"`       // true: the process receives but sends nothing; false: it sends what it deferred
	SlowFactor       *float64 `json:"slow,omitempty"`       // factor of the set-up time
	FailShare        *float64 `json:"fail,omitempty"`       // share of set-ups that fail at once
	LossShare        *float64 `json:"lose,omitempty"`       // share of answers that are lost
	ResetOnLoss      bool     `json:"lose_reset,omitempty"` // a lost answer resets the connection
	DuplicateShare   *float64 `json:"twice,omitempty"`      // share of answers that are sent twice
	BandwidthDivisor *float64 `json:"shrink,omitempty"`     // divisor of the bandwidth of the link or of the rack's uplink
	Crash            bool     `json:"die,omitempty"`        // the process ends, its connections are reset
	Silent           *bool    `json:"silent,omitempty"`     // true: the machine receives and sends nothing; false: it does again
	Start            bool     `json:"start,omitempty"`      // a new process starts, in slow start
}

// An Output is a message to a director; or with Reset, the reset of its connection; or with Overloaded, the end of a
// node's process that got too many set-ups in slow start; or with Earning, what a session earned until it ended.
type Output struct {
	Node       string
	Conn       uint64 // the number of the connection
	Message    wire.NodeMessage
	Reset      bool
	Overloaded bool
	Earning    *Earning
}

// Earning is what a session earned until it ended: its seconds, each multiplied by the value of its rung, which is
// reduced while the session gets less than 0.98 of its rate.
type Earning struct {
	Session string
	Tariff  string
	Seconds float64
}
