package node

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"fordusher/internal/wire"
)

// A stream is a session on its node, from its set-up on.
type stream struct {
	conn    uint64
	leg     uint64
	rate    float64 // requested, kB a second
	rung    int
	playing bool
	endsAt  time.Duration // once it plays; 0: it plays until the director ends it
	length  time.Duration
	expires time.Duration // latest start of the session; 0: any time
	session string
	tariff  string
	earned  float64
}

// A director is one director's connection to a node.
type director struct {
	conn               uint64
	nextLoadReport     time.Duration // next measurement of link and uplink
	nextDeliveryReport time.Duration // next measurement of the delivered share
	lastBelowTarget    bool          // the last delivered share was below 0.98
}

// A nodeState is a node with its process, streams and injected faults.
type nodeState struct {
	Spec
	alive, silent        bool          // its process runs; its machine receives and sends nothing
	start                uint64        // number of its last start
	startedAt            time.Duration // negative: long ago
	hung                 bool
	slowFactor           float64
	failShare, lossShare float64
	resetOnLoss          bool
	duplicateShare       float64
	bandwidthDivisor     float64
	streams              map[[2]uint64]*stream // by connection and leg
	demand               float64               // for the link by all streams, kB a second
	directors            []*director
	reporting            bool            // a check for measurements is scheduled
	coreFreeAt           []time.Duration // by core
	recentSetups         []time.Duration // times of set-ups within the overload window, in slow start
	load                 wire.NodeLoad   // as last computed
	loadRefreshedAt      time.Duration
	deferred             []event // events that came due while it hung
}

// A rack is a group of nodes that share an uplink.
type rack struct {
	uplink           float64
	bandwidthDivisor float64
	demand           float64
}

// sortedKeys are the keys of a node's streams in order, so that every run handles the streams in the same order.
func (n *nodeState) sortedKeys() [][2]uint64 {
	return slices.SortedFunc(maps.Keys(n.streams), func(a, b [2]uint64) int {
		return cmp.Or(cmp.Compare(a[0], b[0]), cmp.Compare(a[1], b[1]))
	})
}
