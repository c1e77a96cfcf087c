package daemon

import (
	"time"

	"fordusher/internal/conf"
	"fordusher/internal/director"
	"fordusher/internal/transport"
	"fordusher/internal/wire"
)

// A Front is the protocols that a director speaks: how it listens and connects, and what bytes mean in the loop's
// words. It decides nothing. Its From methods are called by any goroutine, in order for one connection; its To methods
// by the loop's goroutine alone.
type Front interface {
	Listen(h transport.Handler) (*transport.Server, error)
	DialNode(address string, within time.Duration, h transport.Handler) (*transport.Conn, error)
	DialList(address string, within time.Duration, h transport.Handler) (*transport.Conn, error)

	// FromPlayer and FromNode read a message. What is read has no type where it is nothing to the loop; a reply, if
	// there is one, goes out at once. An error ends the connection.
	FromPlayer(raw []byte) (in director.ClientReceived, reply []byte, err error)
	FromNode(raw []byte) (in director.LinkReceived, reply []byte, err error)
	FromList(raw []byte) (wire.List, error)

	// What the protocol has no words for is nil.
	ToPlayer(o director.SendClient) []byte
	ToNode(o director.SendNode) []byte
	ToList(m wire.List) []byte
}

// sockets is the project's own protocols over WebSocket.
type sockets struct{ house *conf.House }

func (f sockets) Listen(h transport.Handler) (*transport.Server, error) {
	return transport.Serve(f.house.Listen, wire.SessionProtocol, f.house.Door.Players, h)
}

func (f sockets) DialNode(address string, within time.Duration, h transport.Handler) (*transport.Conn, error) {
	return transport.Dial(address, wire.NodeProtocol, within, f.house.Door.Nodes, h, nil)
}

func (f sockets) DialList(address string, within time.Duration, h transport.Handler) (*transport.Conn, error) {
	return transport.Dial(address, wire.ListProtocol, within, f.house.Door.List, h, nil)
}

func (sockets) FromPlayer(raw []byte) (in director.ClientReceived, reply []byte, err error) {
	in.Message, err = wire.DecodeSession(raw)
	return in, nil, err
}

func (sockets) FromNode(raw []byte) (in director.LinkReceived, reply []byte, err error) {
	in.Message, err = wire.DecodeNode(raw)
	return in, nil, err
}

func (sockets) FromList(raw []byte) (wire.List, error) { return wire.DecodeList(raw) }

func (sockets) ToPlayer(o director.SendClient) []byte { return wire.Encode(o.Message) }

func (sockets) ToNode(o director.SendNode) []byte { return wire.Encode(o.Message) }

func (sockets) ToList(m wire.List) []byte { return wire.Encode(m) }
