package daemon

import (
	"runtime/metrics"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"fordusher/internal/director"
	"fordusher/internal/transport"
	"fordusher/limits"
)

// lateness is the loop's greatest lateness in a span and in the one before, so that who looks changes nothing.
type lateness struct {
	current, previous time.Duration
	windowEnd         time.Duration
}

// latenessWindow is longer than the usual time between two looks at the metrics.
const latenessWindow = 15 * time.Second

func (l *lateness) observe(now, late time.Duration) {
	if now >= l.windowEnd {
		l.previous, l.current, l.windowEnd = l.current, 0, now+latenessWindow
	}
	l.current = max(l.current, late)
}

type snapshot struct {
	counts                           director.Counts
	owed, playing, legs, links       int
	clients                          int
	lateness                         time.Duration
	usedConnections, busyConnections int
	mode                             limits.Mode
}

// snapshotInterval is how often the figures for metrics are renewed.
const snapshotInterval = 200 * time.Millisecond

// memoryInUse is what the program holds of the machine's memory.
func memoryInUse() int64 {
	sample := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(sample)
	return int64(sample[0].Value.Uint64() - sample[1].Value.Uint64())
}

func (d *Daemon) updateSnapshot() {
	d.loopLateness.observe(d.now(), 0)
	s := &snapshot{clients: len(d.clients), lateness: max(d.loopLateness.current, d.loopLateness.previous)}
	s.usedConnections, s.busyConnections, s.mode = d.loop.ConnectionUsage()
	s.counts, s.owed, s.playing, s.legs, s.links = d.loop.Counts()
	d.lastSnapshot.Store(s)
}

// Describe and Collect make a Daemon a prometheus.Collector.
func (d *Daemon) Describe(ch chan<- *prometheus.Desc) { prometheus.DescribeByCollect(d, ch) }

// Collect reads the figures that the loop last left.
func (d *Daemon) Collect(ch chan<- prometheus.Metric) {
	s := d.lastSnapshot.Load()
	c := &s.counts
	for _, x := range []struct {
		name, help string
		kind       prometheus.ValueType
		value      float64
	}{
		{"requests_taken_total", "requests for a session", prometheus.CounterValue, float64(c.Taken)},
		{"requests_repeated_total", "repetitions, answered as before", prometheus.CounterValue, float64(c.Repeated)},
		{"sessions_adopted_total", "sessions found again by their viewer's key", prometheus.CounterValue, float64(c.Adopted)},
		{"answers_played_total", "final answers: it plays", prometheus.CounterValue, float64(c.Played)},
		{"answers_nacked_total", "final answers: coming again does no harm", prometheus.CounterValue, float64(c.Nacked)},
		{"answers_errored_total", "final answers that claim nothing", prometheus.CounterValue, float64(c.Errored)},
		{"requests_gone_total", "viewers who left before the answer", prometheus.CounterValue, float64(c.Abandoned)},
		{"answers_overdue_total", "answers that the loop had to give in the module's place", prometheus.CounterValue, float64(c.Overdue)},
		{"legs_total", "set-ups sent", prometheus.CounterValue, float64(c.Legs)},
		{"legs_further_total", "set-ups beyond a session's first", prometheus.CounterValue, float64(c.Retries)},
		{"sessions_broken_total", "sessions that lost their node", prometheus.CounterValue, float64(c.SessionsLost)},
		{"odd_moves_total", "moves that no table has; should be 0", prometheus.CounterValue, float64(c.IllegalTransitions)},
		{"stray_total", "messages for what is not known (any more)", prometheus.CounterValue, float64(c.Unexpected)},
		{"late_total", "second answers, and answers for who has one", prometheus.CounterValue, float64(c.LateAnswers)},
		{"stalls_total", "times that the loop was late by more than 100 ms", prometheus.CounterValue, float64(c.Stalls)},
		{"unfit_total", "messages that this kind of peer does not send", prometheus.CounterValue, float64(c.UnknownMessages)},
		{"malformed_total", "malformed messages", prometheus.CounterValue,
			float64(d.malformedCounts[0].Load() + d.malformedCounts[1].Load() + d.malformedCounts[2].Load())},
		{"overfull_total", "requests refused because too many of their connection waited", prometheus.CounterValue, float64(d.inboxFullRejects.Load())},
		{"flooded_total", "connections closed for too many messages", prometheus.CounterValue, float64(d.floodCloses.Load())},
		{"accept_complaints_total", "failures that the transport noted", prometheus.CounterValue, float64(transport.InternalErrors())},
		{"answers_owed", "requests without an answer yet", prometheus.GaugeValue, float64(s.owed)},
		{"sessions_playing", "sessions that play", prometheus.GaugeValue, float64(s.playing)},
		{"legs_out", "legs, set-ups and sessions", prometheus.GaugeValue, float64(s.legs)},
		{"node_connections", "connections to nodes", prometheus.GaugeValue, float64(s.links)},
		{"players_turned_away_total", "players not let in", prometheus.CounterValue, float64(c.ClientsRejected)},
		{"requests_pressed_total", "requests nacked because they had waited too long for the loop", prometheus.CounterValue, float64(c.RequestsShed)},
		{"requests_waiting", "what stands in line for the loop", prometheus.GaugeValue, float64(d.inbox.queueLength())},
		{"players_let_go_total", "idle players let go", prometheus.CounterValue, float64(c.ClientsEvicted)},
		{"room_mode", "0 normal, 1 saving, 2 full", prometheus.GaugeValue, float64(s.mode)},
		{"player_connections_busy", "players with a session or an answer owed", prometheus.GaugeValue, float64(s.busyConnections)},
		{"player_connections", "connections of players", prometheus.GaugeValue, float64(s.clients)},
		{"client_input_ended_total", "clients from whom nothing more could be read", prometheus.CounterValue, float64(d.inputEndedCount.Load())},
		{"loop_late_seconds", "greatest lateness of the loop in the last 15 to 30 s", prometheus.GaugeValue, s.lateness.Seconds()},
	} {
		ch <- prometheus.MustNewConstMetric(prometheus.NewDesc("fordusher_"+x.name, x.help, nil, nil), x.kind, x.value)
	}
	refused := prometheus.NewDesc("fordusher_invariant_violations_total", "what the guard has refused, by rule; should be 0", []string{"rule"}, nil)
	for rule, n := range c.Violations() {
		ch <- prometheus.MustNewConstMetric(refused, prometheus.CounterValue, float64(n), rule)
	}
	never := prometheus.NewDesc("fordusher_legs_never_ran_total", "legs that provably never ran, by proof", []string{"proof"}, nil)
	for word, n := range c.NeverRanByReason() {
		ch <- prometheus.MustNewConstMetric(never, prometheus.CounterValue, float64(n), word)
	}
}

// Counts returns what the loop has counted, as of the last 200 ms.
func (d *Daemon) Counts() director.Counts { return d.lastSnapshot.Load().counts }
