package daemon

import (
	"time"

	"fordusher/connector"
	"fordusher/internal/director"
	"fordusher/internal/transport"
	"fordusher/internal/wire"
)

// SetDiscoveryAddress changes the discovery service's address; the daemon then connects there.
func (d *Daemon) SetDiscoveryAddress(address string) {
	d.discoveryAddress.Store(&address)
	select {
	case d.discoveryMoved <- struct{}{}:
	default:
	}
}

// followDiscovery keeps a connection to the discovery service open until the daemon is killed. It reconnects after each
// loss, and when the address changes.
func (d *Daemon) followDiscovery() {
	policy := d.config.ReconnectPolicy
	policy.OnDemand = false // the connection to discovery is needed all the time
	reconnector := connector.New(d.seed, policy)
	plan := reconnector.Step(d.now(), connector.Event{Kind: connector.Listed})
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
			case <-d.discoveryMoved: // the failed attempts were made at the old address
				plan = reconnector.Step(d.now(), connector.Event{Kind: connector.Listed})
				continue
			case <-time.After(max(0, plan.NextTimer-d.now())):
			}
			plan = reconnector.Step(d.now(), connector.Event{Kind: connector.TimerFired})
			continue
		}
		h := &discoveryHandler{d: d, closed: make(chan struct{})}
		conn, err := d.protocol.DialDiscovery(*d.discoveryAddress.Load(), time.Second, h)
		if err != nil {
			d.log.Warn().Err(err).Msg("discovery is unreachable; the last server list stays in force")
			plan = reconnector.Step(d.now(), connector.Event{Kind: connector.ConnectFailed})
			continue
		}
		reconnector.Step(d.now(), connector.Event{Kind: connector.Connected})
		for ended := false; !ended; {
			select {
			case <-d.quit:
				return
			case <-h.closed:
				ended = true
			case <-d.discoveryMoved:
				conn.Abort()
			case <-time.After(snapshotInterval):
				if timeout := d.config.DiscoveryReadTimeout; timeout > 0 && conn.ReadIdleTime() > timeout {
					d.log.Warn().Dur("quiet", timeout).Msg("no data from discovery; reconnecting")
					conn.Abort()
				}
			}
		}
		plan = reconnector.Step(d.now(), connector.Event{Kind: connector.ConnectionLost})
	}
}

// A discoveryHandler receives the events of the connection to the discovery service.
type discoveryHandler struct {
	d      *Daemon
	peer   peer
	closed chan struct{}
}

func (h *discoveryHandler) Opened(c *transport.Conn) {
	h.peer.conn = c
	h.d.inbox.put(item{input: director.DiscoveryConnected{}, conn: c})
}

func (h *discoveryHandler) Message(c *transport.Conn, raw []byte) {
	m, err := h.d.protocol.DecodeDiscovery(raw)
	if err != nil {
		h.d.malformed(c, 2, err)
		return
	}
	if m.Type != "" {
		h.d.enqueueBounded(c, item{input: director.DiscoveryReceived{Message: m}, peer: &h.peer, receivedAt: time.Now(),
			held: messageCost(len(raw))})
	}
}

func (h *discoveryHandler) Closed(*transport.Conn, error, []uint64) {
	h.d.inbox.put(item{input: director.DiscoveryLost{}})
	close(h.closed)
}

// addAge adds to the ages of nodes the time that has passed since they were received: the loop relates them to its own time.
func addAge(nodes []wire.NodeEntry, passed time.Duration) {
	for i := range nodes {
		if nodes[i].UptimeMS > 0 {
			nodes[i].UptimeMS += passed.Milliseconds()
		}
	}
}
