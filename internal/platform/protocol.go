package platform

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"sync"
	"time"

	"fordusher/internal/conf"
	"fordusher/internal/director"
	"fordusher/internal/simwire"
	"fordusher/internal/transport"
	"fordusher/internal/wire"
	"fordusher/policy"
)

// A Protocol implements daemon.Protocol for the platform. It translates message by message between the platform's bytes
// and the loop's messages, and keeps no state of sessions.
type Protocol struct {
	config   *conf.Config
	settings *simwire.Config
	now      func() time.Time

	mu                 sync.Mutex
	lastEvent          uint64 // number of the last discovery event received
	awaitingFirstEvent bool   // later events were requested and none has arrived yet
}

// NewProtocol returns the protocol for a start configuration. Now is the clock by which the start times in
// discovery events become uptimes.
func NewProtocol(start *StartConfig, config *conf.Config, now func() time.Time) *Protocol {
	return &Protocol{config: config, settings: start.parsedSettings, now: now, lastEvent: start.InitialDiscovery.Revision}
}

// Listen accepts client connections.
func (p *Protocol) Listen(h transport.Handler) (*transport.Server, error) {
	return transport.ServeTCP(p.config.ListenAddress, splitClientMessage, p.config.ConnectionLimits.Clients, h)
}

// DialNode connects to a node.
func (p *Protocol) DialNode(address string, timeout time.Duration, h transport.Handler) (*transport.Conn, error) {
	return transport.DialTCP(address, timeout, splitRTSP, p.config.ConnectionLimits.Nodes, h)
}

// DialDiscovery connects to the discovery service.
func (p *Protocol) DialDiscovery(address string, timeout time.Duration, h transport.Handler) (*transport.Conn, error) {
	return transport.DialTCP(address, timeout, splitFrame, p.config.ConnectionLimits.Discovery, h)
}

// DecodeClient decodes a client's message. An invalid set-up is passed to the loop with its InvalidReason, because only
// the loop knows whether the id is in use.
func (p *Protocol) DecodeClient(raw []byte) (in director.ClientReceived, reply []byte, err error) {
	m, err := parseClientMessage(raw)
	if err != nil {
		return in, nil, err
	}
	id := sessionID(m.session)
	switch m.kind {
	case kindSetup:
		s, err := parseSetup(m)
		in.Details = &director.RequestDetails{FirstCell: s.firstCell, Copies: s.copies, Description: s.description,
			PlayingOn: s.playingNode}
		if err == nil && (s.firstCell >= p.settings.Family.Cells || s.copies > p.settings.Family.Cells) {
			err = errors.New("home or copies exceeds the number of cells")
		}
		if err == nil && m.session == 0 {
			err = errors.New("the session id is 0")
		}
		if err != nil {
			in.Details.InvalidReason, in.Details.PlayingOn = err.Error(), ""
		}
		in.Message = wire.SessionMessage{
			Type: wire.Request, ID: id, Key: id, Tariff: s.class, Title: s.title, MaxRung: &s.maxRung, WaitMS: s.wait,
			LengthMS: int64(s.lengthHint),
		}
		return in, nil, nil
	case kindRelease:
		in.Message = wire.SessionMessage{Type: wire.Cancel, ID: id}
		return in, newClientMessage(kindAck, m.session).finish(), m.eachParam(func(byte, []byte) error { return nil })
	case kindProbe:
		return in, newClientMessage(kindProbeReply, m.session).param(codeCause, []byte{1}).finish(), nil
	case kindAck, kindProgress:
		return in, nil, nil
	case kindAnswer, kindNote, kindMove, kindProbeReply, kindRung: // messages that a client may not send
		return in, releaseMessage(m.session, causeInvalid), nil
	}
	return in, nil, fmt.Errorf("unknown message %d", m.kind)
}

// EncodeClient encodes an answer or the end of a session. Clients receive no rung messages; for these it returns nil.
func (p *Protocol) EncodeClient(o director.SendClient) []byte {
	m := o.Message
	session := parseSessionID(m.ID)
	switch m.Type {
	case wire.Playing:
		return newClientMessage(kindAnswer, session).param(codeDescription, o.Description).finish()
	case wire.Nack:
		return releaseMessage(session, causeNacked)
	case wire.Errored:
		return releaseMessage(session, causeErrored)
	case wire.SessionEnded:
		switch m.Reason {
		case director.ReasonEnded:
			return releaseMessage(session, causeEnded)
		case director.ReasonEndedElsewhere:
			return releaseMessage(session, causeMoved)
		}
		return releaseMessage(session, causeLost)
	}
	return nil
}

// measurementKinds maps the X-Cause header of a node's ANNOUNCE to the kind of measurement.
var measurementKinds = map[string]policy.MeasurementKind{
	"quality": policy.DeliveredShare, "profile": policy.CurrentRung, "nic": policy.LinkLoad, "tor": policy.UplinkLoad,
}

// DecodeNode decodes a node's message.
func (p *Protocol) DecodeNode(raw []byte) (in director.LinkReceived, reply []byte, err error) {
	var headers [usualHeaders]rtspHeader // stays on the stack as long as no part of m is kept: what is kept is of raw
	m, err := parseRTSP(raw, headers[:0])
	if err != nil {
		return in, nil, err
	}
	in.Message.Session = m.session()
	switch m.method {
	case "":
		if m.seq() != seqSetup || m.status < 200 {
			return in, nil, nil // progress, or a response that requires no action
		}
		if in.Message.Session == "" {
			return in, nil, errors.New("response without a valid session id")
		}
		switch {
		case m.status == 200:
			in.Message.Type, in.Description = wire.Accepted, raw[len(raw)-len(m.body):]
			return in, nil, nil
		case m.status == 453: // Not Enough Bandwidth
			in.Message.Type = wire.Full
		case m.status == 454: // Session Not Found
			in.Message.Type = wire.Unsent
		case m.status == 504: // Gateway Time-out
			in.Message.Type, in.Message.Reason = wire.Failed, wire.Lost
		default:
			in.Message.Type = wire.Failed
		}
		in.Message.Load, err = p.parseLoadReport(m)
		return in, nil, err
	case methodTeardown:
		in.Message.Type = wire.Ended
		switch m.cause() {
		case causeEnded:
		case causeMoved:
			in.Message.Reason = wire.Cancelled
		default:
			in.Message.Reason = wire.Lost
		}
		in.Message.Load, err = p.parseLoadReport(m)
		return in, newOKResponse(m.text("cseq"), m.text("session")), err
	case methodAnnounce:
		kind, known := measurementKinds[m.text("x-cause")]
		value, err := strconv.ParseFloat(m.text("x-value"), 64)
		if !known || err != nil || math.IsNaN(value) || math.IsInf(value, 0) || value < 0 {
			return in, nil, errors.New("ANNOUNCE with an unknown cause or an invalid value")
		}
		in.Message.Type, in.Message.MeasurementKind, in.Message.MeasurementValue = wire.Measurement, int(kind), value
	case methodOptions:
		return in, newOKResponse(m.text("cseq"), m.text("session")), nil
	}
	return in, nil, nil
}

// parseLoadReport parses a node's load report (the X-Group header), or returns nil if the message has none.
func (p *Protocol) parseLoadReport(m rtspMessage) (*wire.NodeLoad, error) {
	text, ok := m.header("x-group")
	if !ok {
		return nil, nil
	}
	load := policy.NoLoad
	for part := range strings.SplitSeq(string(text), ";") {
		name, value, ok := strings.Cut(part, ":")
		v, err := strconv.ParseFloat(value, 64)
		if !ok || err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
			return nil, fmt.Errorf("invalid field %q in a load report", part)
		}
		simwire.SetLoadField(&load, name, v)
	}
	nonNegative := func(v float64) *float64 {
		if v < 0 {
			return nil
		}
		return &v
	}
	return &wire.NodeLoad{Streams: nonNegative(load.Streams), Link: nonNegative(load.Link), Uplink: nonNegative(load.Uplink)}, nil
}

// EncodeNode encodes a set-up, the end of a session or a change of its rung for a node.
func (p *Protocol) EncodeNode(o director.SendNode) []byte {
	m := o.Message
	switch m.Type {
	case wire.Setup:
		return newRequest(methodSetup, m.Title, seqSetup, m.Session).header("X-Service", m.Tariff).
			number("X-Setup-Ms", m.StartWithinMS).number("X-Rung", int64(m.Rung)).finish(o.Description)
	case wire.End:
		w := newRequest(methodTeardown, m.Session, seqTeardown, m.Session)
		if m.Reason != "" {
			w = w.header("Reason", fmt.Sprintf("cause=%d", causeMoved))
		}
		return w.finish(nil)
	case wire.Rung:
		return newRequest(methodRung, m.Session, seqOther, m.Session).number("X-Rung", int64(m.Rung)).finish(nil)
	}
	return nil
}

// DecodeDiscovery decodes a discovery event. An event that was received before yields a message without a type. An
// event that skips others is an error, which ends the connection, so that the missing events are requested again.
func (p *Protocol) DecodeDiscovery(raw []byte) (m wire.DiscoveryMessage, err error) {
	event, err := parseFrame(raw)
	if err != nil {
		return m, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if event.kind == frameKeepAlive || event.eventNumber <= p.lastEvent {
		return m, nil
	}
	if event.kind == frameUpdate && event.eventNumber != p.lastEvent+1 && !p.awaitingFirstEvent {
		return m, fmt.Errorf("event %d follows event %d", event.eventNumber, p.lastEvent)
	}
	p.lastEvent, p.awaitingFirstEvent = event.eventNumber, false
	m.Type, m.Serial = wire.Update, event.eventNumber
	if event.kind == frameSnapshot {
		m.Type = wire.Snapshot
	}
	now := p.now()
	name := func(list []string, i int) string {
		if i < len(list) {
			return list[i]
		}
		return ""
	}
	for _, r := range event.records {
		m.Nodes = append(m.Nodes, wire.NodeEntry{
			Node: nodeName(r.id), Address: r.address.String(), State: nodeStates[r.state], MachineKind: name(p.settings.Kinds, r.kind),
			Zone: name(p.settings.Zones, r.zone), Incarnation: r.startedMillis, UptimeMS: ageMillis(r.startedMillis, now),
			Weight: r.weight, Cell: r.cell,
		})
	}
	return m, nil
}

// EncodeDiscovery encodes a subscription as a request for the events after the last one received.
func (p *Protocol) EncodeDiscovery(m wire.DiscoveryMessage) []byte {
	if m.Type != wire.Subscribe {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.awaitingFirstEvent = true
	return resumeRequest(p.lastEvent)
}
