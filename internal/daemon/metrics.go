package daemon

import (
	"runtime/metrics"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"fordusher/internal/director"
	"fordusher/internal/transport"
	"fordusher/limits"
)

// lateness keeps the loop's greatest lateness in the current time window and in the one before, so that reading the
// metric does not reset it.
type lateness struct {
	current, previous time.Duration
	windowEnd         time.Duration
}

// latenessWindow is longer than the usual interval between two reads of the metrics.
const latenessWindow = 15 * time.Second

func (l *lateness) observe(now, delay time.Duration) {
	if now >= l.windowEnd {
		l.previous, l.current, l.windowEnd = l.current, 0, now+latenessWindow
	}
	l.current = max(l.current, delay)
}

// A snapshot holds the loop's figures for metrics, which other goroutines read.
type snapshot struct {
	counts                               director.Counts
	pendingAnswers, playing, legs, links int
	clients                              int
	lateness                             time.Duration
	usedConnections, busyConnections     int
	mode                                 limits.Mode
}

// snapshotInterval is how often the figures for metrics are refreshed.
const snapshotInterval = 200 * time.Millisecond

// memoryInUse returns how much memory the process holds, in bytes: all memory of the Go runtime except what it has
// returned to the operating system.
func memoryInUse() int64 {
	sample := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(sample)
	return int64(sample[0].Value.Uint64() - sample[1].Value.Uint64())
}

func (d *Daemon) updateSnapshot() {
	d.loopLateness.observe(d.now(), 0)
	s := &snapshot{clients: len(d.clients), lateness: max(d.loopLateness.current, d.loopLateness.previous)}
	s.usedConnections, s.busyConnections, s.mode = d.loop.ConnectionUsage()
	s.counts, s.pendingAnswers, s.playing, s.legs, s.links = d.loop.Counts()
	d.lastSnapshot.Store(s)
}

// Describe implements prometheus.Collector, together with Collect.
func (d *Daemon) Describe(ch chan<- *prometheus.Desc) { prometheus.DescribeByCollect(d, ch) }

// Collect implements prometheus.Collector. It reports the loop's last snapshot.
func (d *Daemon) Collect(ch chan<- prometheus.Metric) {
	s := d.lastSnapshot.Load()
	c := &s.counts
	for _, x := range []struct {
		name, help string
		kind       prometheus.ValueType
		value      float64
	}{
		{"requests_taken_total", "requests for a session that were taken", prometheus.CounterValue, float64(c.Taken)},
		{"requests_repeated_total", "repeated requests, answered as before", prometheus.CounterValue, float64(c.Repeated)},
		{"sessions_adopted_total", "sessions resumed or adopted by their client's key", prometheus.CounterValue, float64(c.Adopted)},
		{"sessions_ended_early_total", "sessions whose end came before they were handed over", prometheus.CounterValue, float64(c.EndedEarly)},
		{"endings_repeated_total", "ends of sessions sent again, because their client connection ended", prometheus.CounterValue,
			float64(c.EndingsRepeated)},
		{"answers_played_total", "final answers: the session plays", prometheus.CounterValue, float64(c.Played)},
		{"answers_nacked_total", "final answers: rejected, and a retry is harmless", prometheus.CounterValue, float64(c.Nacked)},
		{"answers_errored_total", "final answers: failed, without a claim whether the session ran", prometheus.CounterValue,
			float64(c.Errored)},
		{"requests_gone_total", "requests that ended without an answer, such as when their client left", prometheus.CounterValue,
			float64(c.Abandoned)},
		{"answers_overdue_total", "final answers that the loop gave because the decision module gave none in time", prometheus.CounterValue,
			float64(c.Overdue)},
		{"legs_total", "set-ups sent", prometheus.CounterValue, float64(c.Legs)},
		{"legs_further_total", "set-ups sent beyond a session's first", prometheus.CounterValue, float64(c.Retries)},
		{"sessions_broken_total", "playing sessions that lost their node", prometheus.CounterValue, float64(c.SessionsLost)},
		{"odd_moves_total", "illegal state transitions; should be 0", prometheus.CounterValue, float64(c.IllegalTransitions)},
		{"stray_total", "unexpected messages, such as for a session or leg that is unknown or over", prometheus.CounterValue,
			float64(c.Unexpected)},
		{"late_total", "answers of nodes that came twice or after the session's final answer", prometheus.CounterValue,
			float64(c.LateAnswers)},
		{"stalls_total", "times that the loop was late by more than 100 ms", prometheus.CounterValue, float64(c.Stalls)},
		{"unfit_total", "messages of a type that this kind of peer may not send", prometheus.CounterValue, float64(c.UnknownMessages)},
		{"malformed_total", "malformed messages", prometheus.CounterValue,
			float64(d.malformedCounts[0].Load() + d.malformedCounts[1].Load() + d.malformedCounts[2].Load())},
		{"overfull_total", "requests rejected because too many messages of their connection waited", prometheus.CounterValue,
			float64(d.inboxFullRejects.Load())},
		{"flooded_total", "connections closed because too many of their messages waited", prometheus.CounterValue,
			float64(d.floodCloses.Load())},
		{"accept_complaints_total", "internal errors of the transport", prometheus.CounterValue, float64(transport.ErrorCount())},
		{"answers_owed", "requests without an answer yet", prometheus.GaugeValue, float64(s.pendingAnswers)},
		{"sessions_playing", "sessions that play", prometheus.GaugeValue, float64(s.playing)},
		{"legs_out", "open legs: set-ups in progress and playing sessions", prometheus.GaugeValue, float64(s.legs)},
		{"node_connections", "connections to nodes", prometheus.GaugeValue, float64(s.links)},
		{"players_turned_away_total", "client connections rejected", prometheus.CounterValue, float64(c.ClientsRejected)},
		{"requests_pressed_total", "requests nacked because they had waited too long for the loop", prometheus.CounterValue,
			float64(c.RequestsShed)},
		{"requests_waiting", "client messages and events queued for the loop", prometheus.GaugeValue, float64(d.inbox.queueLength())},
		{"players_let_go_total", "idle client connections evicted", prometheus.CounterValue, float64(c.ClientsEvicted)},
		{"room_mode", "capacity mode: 0 normal, 1 shedding idle connections, 2 full", prometheus.GaugeValue, float64(s.mode)},
		{"player_connections_busy", "client connections with a session or an unanswered request", prometheus.GaugeValue,
			float64(s.busyConnections)},
		{"player_connections", "client connections", prometheus.GaugeValue, float64(s.clients)},
		{"client_input_ended_total", "client connections from which nothing more could be read", prometheus.CounterValue,
			float64(d.inputEndedCount.Load())},
		{"discovery_calls_total", "calls of discovery", prometheus.CounterValue, float64(d.discoveryCalls.Load())},
		{"discovery_calls_given_up_total", "calls of discovery that were closed before they were answered", prometheus.CounterValue,
			float64(d.discoveryCallsGivenUp.Load())},
		{"loop_late_seconds", "greatest lateness of the loop in the last 15 to 30 s", prometheus.GaugeValue, s.lateness.Seconds()},
	} {
		ch <- prometheus.MustNewConstMetric(prometheus.NewDesc("fordusher_"+x.name, x.help, nil, nil), x.kind, x.value)
	}
	violations := prometheus.NewDesc("fordusher_invariant_violations_total",
		"decisions that the guard rejected, by rule; should be 0", []string{"rule"}, nil)
	for rule, n := range c.Violations() {
		ch <- prometheus.MustNewConstMetric(violations, prometheus.CounterValue, float64(n), rule)
	}
	d.answerDelay.histogram.Collect(ch)
	dropped := prometheus.NewDesc("fordusher_messages_dropped_total",
		"messages of peers that nothing is done with, by reason", []string{"reason"}, nil)
	for reason, n := range c.DroppedByReason() {
		ch <- prometheus.MustNewConstMetric(dropped, prometheus.CounterValue, float64(n), reason)
	}
	neverRan := prometheus.NewDesc("fordusher_legs_never_ran_total",
		"legs that provably never ran, by proof", []string{"proof"}, nil)
	for reason, n := range c.NeverRanByReason() {
		ch <- prometheus.MustNewConstMetric(neverRan, prometheus.CounterValue, float64(n), reason)
	}
}

// Counts returns the loop's counters as of the last snapshot, which is at most about 200 ms old.
func (d *Daemon) Counts() director.Counts { return d.lastSnapshot.Load().counts }
