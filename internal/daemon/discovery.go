package daemon

import (
	"time"

	"fordusher/connector"
	"fordusher/internal/director"
	"fordusher/internal/transport"
)

// SetDiscoveryAddress says that the list's source is at another address from now on.
func (d *Daemon) SetDiscoveryAddress(address string) {
	d.discoveryAddress.Store(&address)
	select {
	case d.discoveryMoved <- struct{}{}:
	default:
	}
}

// followDiscovery keeps the connection to the list's source.
func (d *Daemon) followDiscovery() {
	pace := d.config.ReconnectPolicy
	pace.OnDemand = false // the list's source is needed all the time
	r := connector.New(d.seed, pace)
	plan := r.Step(d.now(), connector.Event{Kind: connector.Listed})
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
			case <-d.discoveryMoved: // it was tried where it is no more
				plan = r.Step(d.now(), connector.Event{Kind: connector.Listed})
				continue
			case <-time.After(max(0, plan.NextTimer-d.now())):
			}
			plan = r.Step(d.now(), connector.Event{Kind: connector.TimerFired})
			continue
		}
		h := &discoveryHandler{d: d, closed: make(chan struct{})}
		conn, err := d.protocol.DialDiscovery(*d.discoveryAddress.Load(), time.Second, h)
		if err != nil {
			d.log.Warn().Err(err).Msg("the list can't be reached; the last one stays in force")
			plan = r.Step(d.now(), connector.Event{Kind: connector.ConnectFailed})
			continue
		}
		r.Step(d.now(), connector.Event{Kind: connector.Connected})
		for ended := false; !ended; {
			select {
			case <-d.quit:
				return
			case <-h.closed:
				ended = true
			case <-d.discoveryMoved:
				conn.Abort()
			case <-time.After(snapshotInterval):
				if quiet := d.config.DiscoveryReadTimeout; quiet > 0 && conn.ReadIdleTime() > quiet {
					d.log.Warn().Dur("quiet", quiet).Msg("the list's source says nothing any more: it is connected to again")
					conn.Abort()
				}
			}
		}
		plan = r.Step(d.now(), connector.Event{Kind: connector.ConnectionLost})
	}
}

type discoveryHandler struct {
	d      *Daemon
	peer   peer
	closed chan struct{}
}

func (h *discoveryHandler) Opened(c *transport.Conn) {
	h.d.inbox.put(item{input: director.DiscoveryConnected{}, conn: c})
}

func (h *discoveryHandler) Message(c *transport.Conn, raw []byte) {
	m, err := h.d.protocol.DecodeDiscovery(raw)
	if err != nil {
		h.d.malformed(c, 2, err)
		return
	}
	if m.Type != "" {
		h.d.enqueueBounded(c, &h.peer, director.DiscoveryReceived{Message: m})
	}
}

func (h *discoveryHandler) Closed(*transport.Conn, error, []uint64) {
	h.d.inbox.put(item{input: director.DiscoveryLost{}})
	close(h.closed)
}
