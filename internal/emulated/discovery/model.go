package discovery

import (
	"maps"
	"slices"
	"time"

	"fordusher/internal/wire"
)

// A Model is a model of discovery without sockets or a clock. It holds the published server list, the updates that are
// to be published later, and the entries that were sent under each serial number. Source and package emulator use it.
type Model struct {
	// Sparse: of a whole list only the entries that are not up are kept for EntriesOf. A director that subscribes takes
	// every other node for up, and whole lists for hundreds of directors would fill the memory.
	Sparse bool

	nodes           map[string]listEntry // the published list, by node
	pending         []pendingUpdate      // updates to be published, by time
	lag             time.Duration
	serial          uint64
	entriesBySerial map[uint64][]wire.NodeEntry // by serial, the last maxSerials; acknowledgements name only a serial
}

// A listEntry is the entry of a node in the list, with the time of its start.
type listEntry struct {
	wire.NodeEntry
	startedAt time.Duration // 0: long ago
}

// A pendingUpdate is an entry that is published at a time plus the lag.
type pendingUpdate struct {
	at    time.Duration
	entry listEntry
}

// maxSerials is the number of latest serials whose entries are stored, acknowledged or not.
const maxSerials = 4096

// NewModel returns a model whose list has nodes that started long ago.
func NewModel(nodes []wire.NodeEntry) *Model {
	m := &Model{nodes: map[string]listEntry{}, entriesBySerial: map[uint64][]wire.NodeEntry{}}
	for _, e := range nodes {
		m.nodes[e.Node] = listEntry{NodeEntry: e}
	}
	return m
}

// ScheduleUpdate schedules a change of a node's entry. startedAt is when the node started (0: long ago). The change is
// published at the given time plus the lag that is set then.
func (m *Model) ScheduleUpdate(e wire.NodeEntry, startedAt, at time.Duration) {
	m.pending = append(m.pending, pendingUpdate{at, listEntry{e, startedAt}})
	slices.SortStableFunc(m.pending, func(x, y pendingUpdate) int { return int(min(1, max(-1, x.at-y.at))) })
}

// SetLag sets the delay that is added to all updates.
func (m *Model) SetLag(lag time.Duration) { m.lag = lag }

// NextDeadline is the time of the next update; ok is false if there is none.
func (m *Model) NextDeadline() (at time.Duration, ok bool) {
	if len(m.pending) == 0 {
		return 0, false
	}
	return m.pending[0].at + m.lag, true
}

// TakeDue applies the updates that are due to the list and returns them as one message; ok is false if there is none.
func (m *Model) TakeDue(now time.Duration) (msg wire.DiscoveryMessage, ok bool) {
	var entries []wire.NodeEntry
	for at, found := m.NextDeadline(); found && at <= now; at, found = m.NextDeadline() {
		next := m.pending[0].entry
		m.pending = m.pending[1:]
		m.nodes[next.Node] = next
		entries = append(entries, next.withUptime(now))
		if next.State == wire.Removed {
			delete(m.nodes, next.Node)
		}
	}
	if len(entries) == 0 {
		return msg, false
	}
	return wire.DiscoveryMessage{Type: wire.Update, Serial: m.store(entries), Nodes: entries}, true
}

// Snapshot returns the whole list as a message.
func (m *Model) Snapshot(now time.Duration, titles []wire.TitlePlacement) wire.DiscoveryMessage {
	var all []wire.NodeEntry
	for _, name := range slices.Sorted(maps.Keys(m.nodes)) {
		all = append(all, m.nodes[name].withUptime(now))
	}
	stored := all
	if m.Sparse {
		stored = nil
		for _, e := range all {
			if e.State != wire.Up {
				stored = append(stored, e)
			}
		}
	}
	return wire.DiscoveryMessage{Type: wire.Snapshot, Serial: m.store(stored), Nodes: all, Titles: titles}
}

// EntriesOf returns the entries that were sent under a serial.
func (m *Model) EntriesOf(serial uint64) []wire.NodeEntry { return m.entriesBySerial[serial] }

// store stores the entries of a message and returns its serial.
func (m *Model) store(entries []wire.NodeEntry) uint64 {
	m.serial++
	m.entriesBySerial[m.serial] = entries
	delete(m.entriesBySerial, m.serial-maxSerials)
	return m.serial
}

// withUptime returns the entry with the node's uptime, unless it started long ago.
func (e listEntry) withUptime(now time.Duration) wire.NodeEntry {
	entry := e.NodeEntry
	if e.startedAt != 0 {
		entry.UptimeMS = max(1, (now - e.startedAt).Milliseconds())
	}
	return entry
}
