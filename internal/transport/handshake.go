package transport

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/gobwas/ws"
)

// An AdmissionHandler is a Handler that decides whether a connection is accepted. Connecting is called before the
// handshake is answered. The handler then calls Accept or Reject on the connection, at once or later, from any
// goroutine.
type AdmissionHandler interface {
	Connecting(c *Conn)
}

// readWriter combines a reader and a writer, for a handshake in memory.
type readWriter struct {
	io.Reader
	io.Writer
}

func (c *Conn) failHandshake(err error) {
	c.closeNow(fmt.Errorf("%w: %v", ErrHandshake, err))
}

// Accept completes a handshake that waits for the AdmissionHandler's decision. A SplitFunc protocol has no handshake;
// its connection is only passed to Opened.
func (c *Conn) Accept() {
	if c.split != nil {
		c.handler.Opened(c)
		return
	}
	c.mu.Lock()
	head := c.pendingHandshake
	c.pendingHandshake = nil
	c.mu.Unlock()
	if head != nil {
		c.upgrade(head)
	}
}

// Reject answers a handshake that waits for the AdmissionHandler's decision with status 503 and the delay after
// which the client may retry. A connection of a SplitFunc protocol is closed instead.
func (c *Conn) Reject(retryAfter time.Duration, reason string) {
	if c.split != nil {
		c.Close(closeTryAgainLater, reason)
		return
	}
	c.mu.Lock()
	pending := c.pendingHandshake != nil
	c.pendingHandshake = nil
	c.mu.Unlock()
	if !pending {
		return
	}
	seconds := int64((retryAfter + time.Second - 1) / time.Second) // Retry-After holds whole seconds
	c.respondAndClose(http.StatusServiceUnavailable,
		fmt.Sprintf("Retry-After: %d\r\nX-Retry-After-Ms: %d\r\n", seconds, retryAfter.Milliseconds()), reason)
}

// respondAndClose answers a handshake with an HTTP error and closes the connection.
func (c *Conn) respondAndClose(status int, headers, reason string) {
	c.mu.Lock()
	if c.closeErr == nil {
		c.closeErr = fmt.Errorf("%w: %s", ErrHandshake, reason)
	}
	c.mu.Unlock()
	c.writeOrQueue(frame{body: fmt.Appendf(nil,
		"HTTP/1.1 %d %s\r\n%sContent-Type: text/plain\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s",
		status, http.StatusText(status), headers, len(reason), reason)}, true)
}

// upgrade answers a handshake and returns whether the connection is open afterwards.
func (c *Conn) upgrade(head []byte) bool {
	if c.server == nil || c.server.silent.Load() {
		return false // a dialed connection completes its handshake before input is handled
	}
	var out bytes.Buffer
	up := ws.Upgrader{
		Protocol: func(p []byte) bool { return string(p) == c.server.protocol },
	}
	hs, err := up.Upgrade(readWriter{bytes.NewReader(head), &out})
	if err == nil && hs.Protocol != c.server.protocol {
		err = fmt.Errorf("no sub-protocol %s offered", c.server.protocol)
		out.Reset()
	}
	if err != nil {
		if out.Len() == 0 {
			c.respondAndClose(http.StatusBadRequest, "", err.Error())
			return false
		}
		c.mu.Lock()
		c.closeErr = fmt.Errorf("%w: %v", ErrHandshake, err)
		c.mu.Unlock()
		c.writeOrQueue(frame{body: out.Bytes()}, true)
		return false
	}
	c.mu.Lock()
	c.handshakeDone = true
	c.mu.Unlock()
	c.writeOrQueue(frame{body: out.Bytes()}, false)
	c.handler.Opened(c)
	return true
}

// markHandshakeReceived records that the handshake has been received completely, or that the connection has ended
// before.
func (c *Conn) markHandshakeReceived() {
	if c.server != nil && !c.handshakeReceived.Swap(true) {
		c.server.pendingHandshakes.Add(-1)
		if c.handshakeTimer != nil {
			c.handshakeTimer.Stop()
			c.handshakeTimer = nil
		}
	}
}
