package daemon

import (
	"time"

	"fordusher/internal/conf"
	"fordusher/internal/director"
	"fordusher/internal/transport"
	"fordusher/internal/wire"
)

// A Protocol is the set of protocols that a director speaks: it listens and connects, and translates between bytes and
// the loop's messages. It makes no decisions. Its Decode methods are called from any goroutine, in order for each
// connection; its Encode methods are called from the loop's goroutine only.
type Protocol interface {
	Listen(h transport.Handler) (*transport.Server, error)
	DialNode(address string, timeout time.Duration, h transport.Handler) (*transport.Conn, error)
	DialDiscovery(address string, timeout time.Duration, h transport.Handler) (*transport.Conn, error)

	// DecodeClient, DecodeNode and DecodeDiscovery decode a message. A message that does not concern the loop is
	// returned without a type. A reply, if there is one, is sent at once. An error ends the connection's input.
	DecodeClient(raw []byte) (in director.ClientReceived, reply []byte, err error)
	DecodeNode(raw []byte) (in director.LinkReceived, reply []byte, err error)
	DecodeDiscovery(raw []byte) (wire.DiscoveryMessage, error)

	// The Encode methods return nil for a message that the protocol cannot express.
	EncodeClient(o director.SendClient) []byte
	EncodeNode(o director.SendNode) []byte
	EncodeDiscovery(m wire.DiscoveryMessage) []byte
}

// webSocketProtocol implements the project's own protocols over WebSocket.
type webSocketProtocol struct{ config *conf.Config }

func (p webSocketProtocol) Listen(h transport.Handler) (*transport.Server, error) {
	return transport.Serve(p.config.ListenAddress, wire.SessionProtocol, p.config.ConnectionLimits.Clients, h)
}

func (p webSocketProtocol) DialNode(address string, timeout time.Duration, h transport.Handler) (*transport.Conn, error) {
	return transport.Dial(address, wire.NodeProtocol, timeout, p.config.ConnectionLimits.Nodes, h, nil)
}

func (p webSocketProtocol) DialDiscovery(address string, timeout time.Duration, h transport.Handler) (*transport.Conn, error) {
	return transport.Dial(address, wire.DiscoveryProtocol, timeout, p.config.ConnectionLimits.Discovery, h, nil)
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
