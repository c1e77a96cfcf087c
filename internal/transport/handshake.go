package transport

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/gobwas/ws"
)

// An AdmissionHandler is a Handler that wants to be asked before a handshake is answered: it calls Accept or Reject on
// the connection, then or later, from any goroutine.
type AdmissionHandler interface {
	Connecting(c *Conn)
}

// both reads from one side and writes to the other: a handshake in memory.
type both struct {
	io.Reader
	io.Writer
}

func (c *Conn) turnAway(why error) {
	c.fail(fmt.Errorf("%w: %v", ErrHandshake, why))
}

// Accept answers a handshake that waits for the gate.
func (c *Conn) Accept() {
	if c.split != nil {
		c.handler.Opened(c)
		return
	}
	c.mu.Lock()
	head := c.head
	c.head = nil
	c.mu.Unlock()
	if head != nil {
		c.upgrade(head)
	}
}

// Reject answers a handshake that waits for the gate with 503 and a time to come back.
func (c *Conn) Reject(retry time.Duration, why string) {
	if c.split != nil {
		c.Close(closeLater, why)
		return
	}
	c.mu.Lock()
	waits := c.head != nil
	c.head = nil
	c.mu.Unlock()
	if !waits {
		return
	}
	seconds := int64((retry + time.Second - 1) / time.Second) // the header has whole seconds
	c.answer(http.StatusServiceUnavailable, fmt.Sprintf("Retry-After: %d\r\nX-Retry-After-Ms: %d\r\n", seconds, retry.Milliseconds()), why)
}

// answer ends a handshake with a status.
func (c *Conn) answer(status int, headers, why string) {
	c.mu.Lock()
	if c.why == nil {
		c.why = fmt.Errorf("%w: %s", ErrHandshake, why)
	}
	c.mu.Unlock()
	c.put(frame{body: fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n%sContent-Type: text/plain\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", status,
		http.StatusText(status), headers, len(why), why)}, true)
}

// upgrade answers a handshake.
func (c *Conn) upgrade(head []byte) bool {
	if c.server == nil || c.server.silent.Load() {
		return false // a client upgrades before it reads
	}
	var out bytes.Buffer
	up := ws.Upgrader{
		Protocol: func(p []byte) bool { return string(p) == c.server.protocol },
	}
	hs, err := up.Upgrade(both{bytes.NewReader(head), &out})
	if err == nil && hs.Protocol != c.server.protocol {
		err = fmt.Errorf("no sub-protocol %s offered", c.server.protocol)
		out.Reset()
	}
	if err != nil {
		if out.Len() == 0 {
			c.answer(http.StatusBadRequest, "", err.Error())
			return false
		}
		c.mu.Lock()
		c.why = fmt.Errorf("%w: %v", ErrHandshake, err)
		c.mu.Unlock()
		c.put(frame{body: out.Bytes()}, true)
		return false
	}
	c.mu.Lock()
	c.shook = true
	c.mu.Unlock()
	c.put(frame{body: out.Bytes()}, false)
	c.handler.Opened(c)
	return true
}

// cameWhole notes that a handshake has come whole, or never will.
func (c *Conn) cameWhole() {
	if c.server != nil && !c.whole.Swap(true) {
		c.server.pending.Add(-1)
		if c.cutoff != nil {
			c.cutoff.Stop()
			c.cutoff = nil
		}
	}
}
