package daemon

import (
	"time"

	"fordusher/internal/director"
	"fordusher/internal/transport"
	"fordusher/reach"
)

// MoveList says that the list's source is at another address from now on.
func (d *Daemon) MoveList(address string) {
	d.listAt.Store(&address)
	select {
	case d.moved <- struct{}{}:
	default:
	}
}

// follow keeps the connection to the list's source.
func (d *Daemon) follow() {
	pace := d.house.Pace
	pace.OnDemand = false // the list's source is needed all the time
	r := reach.New(d.seed, pace)
	plan := r.Step(d.now(), reach.Event{Kind: reach.Listed})
	for {
		select {
		case <-d.quit:
			return
		default:
		}
		if len(plan.Dial) == 0 {
			select {
			case <-d.quit:
				return
			case <-d.moved: // it was tried where it is no more
				plan = r.Step(d.now(), reach.Event{Kind: reach.Listed})
				continue
			case <-time.After(max(0, plan.NextTimer-d.now())):
			}
			plan = r.Step(d.now(), reach.Event{Kind: reach.TimerFired})
			continue
		}
		h := &source{d: d, gone: make(chan struct{})}
		conn, err := d.front.DialList(*d.listAt.Load(), time.Second, h)
		if err != nil {
			d.log.Warn().Err(err).Msg("the list can't be reached; the last one stays in force")
			plan = r.Step(d.now(), reach.Event{Kind: reach.ConnectFailed})
			continue
		}
		r.Step(d.now(), reach.Event{Kind: reach.Connected})
		for ended := false; !ended; {
			select {
			case <-d.quit:
				return
			case <-h.gone:
				ended = true
			case <-d.moved:
				conn.Cut()
			case <-time.After(snapEvery):
				if quiet := d.house.ListQuiet; quiet > 0 && conn.Quiet() > quiet {
					d.log.Warn().Dur("quiet", quiet).Msg("the list's source says nothing any more: it is connected to again")
					conn.Cut()
				}
			}
		}
		plan = r.Step(d.now(), reach.Event{Kind: reach.ConnectionLost})
	}
}

type source struct {
	d    *Daemon
	peer peer
	gone chan struct{}
}

func (h *source) Opened(c *transport.Conn) {
	h.d.inbox.put(item{in: director.DiscoveryConnected{}, conn: c})
}

func (h *source) Message(c *transport.Conn, raw []byte) {
	m, err := h.d.front.FromList(raw)
	if err != nil {
		h.d.malformed(c, 2, err)
		return
	}
	if m.Type != "" {
		h.d.hand(c, &h.peer, director.DiscoveryReceived{Message: m})
	}
}

func (h *source) Closed(*transport.Conn, error, []uint64) {
	h.d.inbox.put(item{in: director.DiscoveryLost{}})
	close(h.gone)
}
