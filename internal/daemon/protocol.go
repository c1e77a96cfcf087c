package daemon

import (
	"time"

	"fordusher/internal/conf"
	"fordusher/internal/director"
	"fordusher/internal/transport"
	"fordusher/internal/wire"
)

// A Protocol is the protocols that a director speaks: how it listens and connects, and what bytes mean in the loop's
// words. It decides nothing. Its From methods are called by any goroutine, in order for one connection; its To methods
// by the loop's goroutine alone.
type Protocol interface {
	Listen(h transport.Handler) (*transport.Server, error)
	DialNode(address string, within time.Duration, h transport.Handler) (*transport.Conn, error)
	DialDiscovery(address string, within time.Duration, h transport.Handler) (*transport.Conn, error)

	// DecodeClient and FromNode read a message. What is read has no type where it is nothing to the loop; a reply, if
	// there is one, goes out at once. An error ends the connection.
	DecodeClient(raw []byte) (in director.ClientReceived, reply []byte, err error)
	DecodeNode(raw []byte) (in director.LinkReceived, reply []byte, err error)
	DecodeDiscovery(raw []byte) (wire.DiscoveryMessage, error)

	// What the protocol has no words for is nil.
	EncodeClient(o director.SendClient) []byte
	EncodeNode(o director.SendNode) []byte
	EncodeDiscovery(m wire.DiscoveryMessage) []byte
}

// webSocketProtocol is the project's own protocols over WebSocket.
type webSocketProtocol struct{ config *conf.Config }

func (f webSocketProtocol) Listen(h transport.Handler) (*transport.Server, error) {
	return transport.Serve(f.config.ListenAddress, wire.SessionProtocol, f.config.ConnectionLimits.Clients, h)
}

func (f webSocketProtocol) DialNode(address string, within time.Duration, h transport.Handler) (*transport.Conn, error) {
	return transport.Dial(address, wire.NodeProtocol, within, f.config.ConnectionLimits.Nodes, h, nil)
}

func (f webSocketProtocol) DialDiscovery(address string, within time.Duration, h transport.Handler) (*transport.Conn, error) {
	return transport.Dial(address, wire.DiscoveryProtocol, within, f.config.ConnectionLimits.Discovery, h, nil)
}

func (webSocketProtocol) DecodeClient(raw []byte) (in director.ClientReceived, reply []byte, err error) {
	in.Message, err = wire.DecodeSessionMessage(raw)
	return in, nil, err
}

func (webSocketProtocol) DecodeNode(raw []byte) (in director.LinkReceived, reply []byte, err error) {
	in.Message, err = wire.DecodeNodeMessage(raw)
	return in, nil, err
}

func (webSocketProtocol) DecodeDiscovery(raw []byte) (wire.DiscoveryMessage, error) {
	return wire.DecodeDiscoveryMessage(raw)
}

func (webSocketProtocol) EncodeClient(o director.SendClient) []byte { return wire.Encode(o.Message) }

func (webSocketProtocol) EncodeNode(o director.SendNode) []byte { return wire.Encode(o.Message) }

func (webSocketProtocol) EncodeDiscovery(m wire.DiscoveryMessage) []byte { return wire.Encode(m) }
