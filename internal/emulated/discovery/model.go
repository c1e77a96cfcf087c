package discovery

import (
	"maps"
	"slices"
	"time"

	"fordusher/internal/wire"
)

// A Model is the model of the list's source, without sockets or a clock: what is told of each node, what is to be
// told later, and what was told under which serial. The source on sockets and the emulator keep one each.
type Model struct {
	nodes   map[string]line // as it is told
	changes []change        // not told yet, by time
	lag     time.Duration
	serial  uint64
	told    map[uint64][]wire.NodeEntry // by serial, until every director has heard it; at most keepSerials
}

type line struct {
	wire.NodeEntry
	born time.Duration // 0: long ago
}

type change struct {
	at   time.Duration
	line line
}

const keepSerials = 4096

// NewModel starts with nodes that have long been there.
func NewModel(nodes []wire.NodeEntry) *Model {
	b := &Model{nodes: map[string]line{}, told: map[uint64][]wire.NodeEntry{}}
	for _, e := range nodes {
		b.nodes[e.Node] = line{NodeEntry: e}
	}
	return b
}

// ScheduleUpdate changes a node's line, to be told at a time and the lag that there is then.
func (b *Model) ScheduleUpdate(e wire.NodeEntry, born, at time.Duration) {
	b.changes = append(b.changes, change{at, line{e, born}})
	slices.SortStableFunc(b.changes, func(x, y change) int { return int(min(1, max(-1, x.at-y.at))) })
}

// SetLag makes the source run so much further behind.
func (b *Model) SetLag(by time.Duration) { b.lag = by }

// NextDeadline is when something is due to be told; ok is false where nothing is.
func (b *Model) NextDeadline() (at time.Duration, ok bool) {
	if len(b.changes) == 0 {
		return 0, false
	}
	return b.changes[0].at + b.lag, true
}

// TakeDue is the update that is to be told now; ok is false where there is none.
func (b *Model) TakeDue(now time.Duration) (m wire.DiscoveryMessage, ok bool) {
	var entries []wire.NodeEntry
	for at, some := b.NextDeadline(); some && at <= now; at, some = b.NextDeadline() {
		l := b.changes[0].line
		b.changes = b.changes[1:]
		b.nodes[l.Node] = l
		entries = append(entries, l.aged(now))
		if l.State == wire.Removed {
			delete(b.nodes, l.Node)
		}
	}
	if len(entries) == 0 {
		return m, false
	}
	return wire.DiscoveryMessage{Type: wire.Update, Serial: b.keep(entries), Nodes: entries}, true
}

// Snapshot is all that there is now.
func (b *Model) Snapshot(now time.Duration, titles []wire.TitlePlacement) wire.DiscoveryMessage {
	var all []wire.NodeEntry
	for _, name := range slices.Sorted(maps.Keys(b.nodes)) {
		all = append(all, b.nodes[name].aged(now))
	}
	return wire.DiscoveryMessage{Type: wire.Snapshot, Serial: b.keep(all), Nodes: all, Titles: titles}
}

// EntriesOf is what was told under a serial.
func (b *Model) EntriesOf(serial uint64) []wire.NodeEntry { return b.told[serial] }

func (b *Model) keep(entries []wire.NodeEntry) uint64 {
	b.serial++
	b.told[b.serial] = entries
	delete(b.told, b.serial-keepSerials)
	return b.serial
}

func (l line) aged(now time.Duration) wire.NodeEntry {
	e := l.NodeEntry
	if l.born != 0 {
		e.UptimeMS = max(1, (now - l.born).Milliseconds())
	}
	return e
}
