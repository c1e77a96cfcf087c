// Package transport carries wire messages over WebSocket (RFC 6455) on netpoll: players', nodes' and the
// list's connections alike, each with its own sub-protocol. It knows frames, sizes and queues, not what a
// message means. Where a protocol frames its messages itself, a Split takes the place of WebSocket and all
// else is shared: see tcp.go.
//
// A connection costs no goroutine while nothing moves on it. What comes in is handed to the Handler on
// netpoll's workers, one call at a time for each connection; Send may be called by any goroutine and never
// blocks. Every queue is bounded: a peer that does not read is cut off once its queue is full or a write
// has stood still for the write time-out, and a peer that sends a larger message than it may, or breaks the
// protocol, is closed with the code that says so.
package transport

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// A Handler takes what happens on connections. For one connection its calls come one after another,
// Opened first and Closed last; for different connections they come from different goroutines.
type Handler interface {
	// Opened says that the handshake is done.
	Opened(c *Conn)
	// Message hands over a message; the bytes are the handler's to keep.
	Message(c *Conn, message []byte)
	// Closed says that the connection has ended and why. Unsent names the tags of messages of which
	// not one byte was handed to the kernel. Opened may never have been called.
	Closed(c *Conn, why error, unsent []uint64)
}

// Limits are the limits of a connection.
type Limits struct {
	MaxMessageBytes      int           // bytes of a message that is read, fragments together
	MaxQueuedBytes       int           // bytes of messages that wait to be written
	WriteTimeout         time.Duration // longest that a write may stand still
	HandshakeTimeout     time.Duration // longest that a handshake may take
	KernelBufferBytes    int           // bytes that the kernel may hold for a peer that does not read; 0: as the system does
	MaxPendingHandshakes int           // connections whose handshake has not come whole yet; more are reset. 0: no bound
}

// Conn is a WebSocket connection.
type Conn struct {
	np      carrier
	handler Handler
	bounds  Limits
	client  bool      // this side dialled: it masks, its peer does not
	split   SplitFunc // nil: WebSocket
	came    time.Time
	server  *Server
	cookie  atomic.Value // the handler's own
	number  atomic.Uint64

	// Only the reading worker touches these.
	open    bool
	partial []byte // an incomplete head or frame; nil while idle
	message []byte // fragments so far
	half    bool
	pinged  bool
	ping    []byte      // of the last ping that is not answered yet
	moved   bool        // a message that frames itself has come whole since the last look
	begun   *time.Timer // runs while a message that frames itself has come in part
	deaf    atomic.Bool // nothing more is read: what comes is dropped

	once    sync.Once
	mu      sync.Mutex
	shook   bool        // the handshake is done
	head    []byte      // of a handshake that waits for the gate
	whole   atomic.Bool // the handshake has come whole, or the connection has ended before
	cutoff  *time.Timer // for one that does not
	usable  bool        // the carrier is there and takes bytes: neither new nor closed
	queue   []frame
	queued  int
	writing bool
	why     error        // set once the connection is to end
	last    bool         // nothing more goes out but the close frame that is queued
	heard   atomic.Int64 // when anything last came from the peer, by monotonic; 0: never
}

// UserData is what SetCookie stored, nil before that.
func (c *Conn) UserData() any { return c.cookie.Load() }

// SetUserData stores the handler's own record of the connection; always of the same type.
func (c *Conn) SetUserData(cookie any) { c.cookie.Store(cookie) }

// ID is what SetNumber stored, 0 before that.
func (c *Conn) ID() uint64 { return c.number.Load() }

// SetID stores the handler's own number of the connection.
func (c *Conn) SetID(n uint64) { c.number.Store(n) }

// RemoteAddr is the other side's address.
func (c *Conn) RemoteAddr() net.Addr { return c.np.RemoteAddr() }

// ReadIdleTime is for how long nothing has come from the peer.
func (c *Conn) ReadIdleTime() time.Duration { return monotonic() - time.Duration(c.heard.Load()) }

var programStart = time.Now()

// monotonic is the time since the program's start. Steps of the wall clock don't change it. It is never 0.
func monotonic() time.Duration { return max(1, time.Since(programStart)) }
