// Package transport carries messages over WebSocket (RFC 6455) over epoll, for clients, nodes and discovery alike;
// each of them has its own sub-protocol. The package handles frames, size limits and write queues; it does not
// interpret messages. A protocol that frames its messages itself gives a SplitFunc instead of using WebSocket and
// shares everything else: see tcp.go.
//
// An idle connection costs no goroutine. Received messages are passed to the Handler on a pool of goroutines, one call at
// a time for each connection. A peer that sends faster than its messages are handled is held back: see InputBudget. Send may be called from any goroutine and never blocks. Every queue is bounded: a peer
// that does not read is disconnected once its queue is full or a frame has not been written completely within the
// write time-out. The connection of a peer that sends a message over the size limit or violates the protocol is closed
// with the corresponding status code.
package transport

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// A Handler receives the events of connections. Calls for one connection are made one after another, Opened first and
// Closed last. Calls for different connections are made from different goroutines.
type Handler interface {
	// Opened is called when the handshake is complete.
	Opened(c *Conn)
	// Message is called with each received message. The handler owns the bytes.
	Message(c *Conn, message []byte)
	// Closed is called when the connection has ended, with the cause. Unsent holds the tags (see Send) of the queued
	// messages of which not one byte was passed to the kernel. Closed may be called without a call of Opened before it.
	Closed(c *Conn, err error, unsent []uint64)
}

// Limits are the limits of a connection.
type Limits struct {
	MaxMessageBytes      int           // largest message that is read, all fragments together
	MaxQueuedBytes       int           // bytes of messages that wait to be written
	WriteTimeout         time.Duration // longest time for writing one frame, and for delivery by the kernel after a close
	HandshakeTimeout     time.Duration // longest time for receiving a handshake, or a message of a SplitFunc protocol
	KernelBufferBytes    int           // socket send buffer, which bounds the unsent bytes in the kernel; 0: system default
	ReceiveBufferBytes   int           // receive buffer of accepted sockets, which bounds the unread bytes in the kernel; 0: system default
	Input                *InputBudget  // what connections hold of unhandled input; nil: unlimited
	Output               *OutputBudget // what connections hold of unwritten output, beside MaxQueuedBytes; nil: unlimited
	MaxPendingHandshakes int           // connections with an unfinished handshake; beyond it one is reset; 0: no limit
}

// Conn is a connection: WebSocket, or a protocol with a SplitFunc.
type Conn struct {
	raw        rawConn
	handler    Handler
	limits     Limits
	client     bool      // this side dialed: it masks its frames, and the peer does not
	split      SplitFunc // nil: WebSocket
	acceptedAt time.Time
	server     *Server      // nil: dialed
	userData   atomic.Value // set by the handler
	id         atomic.Uint64
	budget     *InputBudget // nil: unlimited
	held       heldInput
	input      inputState

	// Only the goroutine that handles input uses these.
	inputBlocked     bool   // handling waits for the handler, or for room to read more
	established      bool   // input consists of frames or messages: the handshake or the first message is done
	partial          []byte // input that is not handled: an incomplete handshake, frame or message, or more; nil while idle
	fragments        []byte // payload of the fragments received so far
	fragmented       bool   // a fragmented message is being received
	pongPending      bool
	pingPayload      []byte      // of the last ping that has not been answered
	messageCompleted bool        // a message of a SplitFunc protocol was completed since the last updateMessageTimer
	messageTimer     *time.Timer // runs while a message of a SplitFunc protocol is received in part
	skipBytes        int         // rest of an invalid message that is skipped

	incompleteMessage atomic.Uint64 // identifies the message that messageTimer runs for
	inputEnded        atomic.Bool   // further input is discarded

	closeOnce         sync.Once
	mu                sync.Mutex
	handshakeDone     bool
	pendingHandshake  []byte      // request head of a handshake that waits for the AdmissionHandler
	handshakeReceived atomic.Bool // the handshake was completely received, or the connection ended before that
	handshakeTimer    *time.Timer // ends the connection if the handshake is not received in time
	usable            bool        // raw is open and may be written to: it is neither being set up nor closed
	queue             []frame
	queuedBytes       int
	writing           bool         // a goroutine is running writeQueue
	closeErr          error        // set once the connection is to end
	sendClosed        bool         // no further frame is accepted; the close frame or error response, if any, is queued
	readingOn         bool         // CloseWrite was called: only the sending side ends, once the queue is written
	lastRead          atomic.Int64 // time of the last input from the peer, by monotonic; 0: none so far
}

// Framed reports whether the messages of the connection are framed by a SplitFunc.
func (c *Conn) Framed() bool { return c.split != nil }

// UserData returns the value stored with SetUserData, or nil.
func (c *Conn) UserData() any { return c.userData.Load() }

// SetUserData stores the handler's own record of the connection. The value must always have the same type.
func (c *Conn) SetUserData(userData any) { c.userData.Store(userData) }

// ID returns the number stored with SetID, or 0.
func (c *Conn) ID() uint64 { return c.id.Load() }

// SetID stores the handler's own number of the connection.
func (c *Conn) SetID(n uint64) { c.id.Store(n) }

// RemoteAddr returns the peer's address.
func (c *Conn) RemoteAddr() net.Addr { return c.raw.RemoteAddr() }

// ReadIdleTime returns the time since the last input from the peer.
func (c *Conn) ReadIdleTime() time.Duration { return monotonic() - time.Duration(c.lastRead.Load()) }

var programStart = time.Now()

// monotonic returns the time since the start of the program. Steps of the wall clock do not change it. It is never 0.
func monotonic() time.Duration { return max(1, time.Since(programStart)) }
