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

// A Protocol is the platform's protocol for a daemon: it turns bytes into the loop's words and back, message by message,
// and keeps nothing of sessions.
type Protocol struct {
	config   *conf.Config
	settings *simwire.Config
	now      func() time.Time

	mu                 sync.Mutex
	lastEvent          uint64 // number of the last event of the notice board
	awaitingFirstEvent bool   // it was just asked for what is later
}

// NewProtocol makes the front of a posting; now is the clock that the notice board's times are of.
func NewProtocol(p *StartConfig, house *conf.Config, now func() time.Time) *Protocol {
	return &Protocol{config: house, settings: p.parsedSettings, now: now, lastEvent: p.InitialDiscovery.Revision}
}

// Listen accepts viewers.
func (f *Protocol) Listen(h transport.Handler) (*transport.Server, error) {
	return transport.ServeTCP(f.config.ListenAddress, splitClientMessage, f.config.ConnectionLimits.Clients, h)
}

// DialNode connects to a media node.
func (f *Protocol) DialNode(address string, within time.Duration, h transport.Handler) (*transport.Conn, error) {
	return transport.DialTCP(address, within, splitRTSP, f.config.ConnectionLimits.Nodes, h)
}

// DialDiscovery connects to the notice board.
func (f *Protocol) DialDiscovery(address string, within time.Duration, h transport.Handler) (*transport.Conn, error) {
	return transport.DialTCP(address, within, splitFrame, f.config.ConnectionLimits.Discovery, h)
}

// DecodeClient reads a viewers' message. What can't be used of a set-up reaches the loop all the same, which knows
// whether its id is in use.
func (f *Protocol) DecodeClient(raw []byte) (in director.ClientReceived, reply []byte, err error) {
	m, err := parseClientMessage(raw)
	if err != nil {
		return in, nil, err
	}
	id := sessionID(m.session)
	switch m.kind {
	case kindSetup:
		s, err := parseSetup(m)
		in.Details = &director.RequestDetails{Base: s.firstCell, Copies: s.copies, Description: s.description, PlayingOn: s.playingNode}
		if err == nil && (s.firstCell >= f.settings.Family.Cells || s.copies > f.settings.Family.Cells) {
			err = errors.New("there are not so many cells")
		}
		if err == nil && m.session == 0 {
			err = errors.New("it has no id")
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
	case kindAnswer, kindNote, kindMove, kindProbeReply, kindRung: // not a viewer's to say
		return in, releaseMessage(m.session, causeInvalid), nil
	}
	return in, nil, fmt.Errorf("unknown message %d", m.kind)
}

// EncodeClient words an answer, or the end of a session. Viewers are told nothing of rungs.
func (f *Protocol) EncodeClient(o director.SendClient) []byte {
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

// measurementKinds are the module's notes, by their causes.
var measurementKinds = map[string]policy.MeasurementKind{
	"quality": policy.DeliveredShare, "profile": policy.CurrentRung, "nic": policy.LinkLoad, "tor": policy.UplinkLoad,
}

// DecodeNode reads a media node's message.
func (f *Protocol) DecodeNode(raw []byte) (in director.LinkReceived, reply []byte, err error) {
	m, err := parseRTSP(raw)
	if err != nil {
		return in, nil, err
	}
	in.Message.Session = m.session()
	switch m.method {
	case "":
		if m.seq() != seqSetup || m.status < 200 {
			return in, nil, nil // progress, or what wants nothing of us
		}
		if in.Message.Session == "" {
			return in, nil, errors.New("an answer without a session")
		}
		switch {
		case m.status == 200:
			in.Message.Type, in.Description = wire.Accepted, m.body
			return in, nil, nil
		case m.status == 453:
			in.Message.Type = wire.Full
		case m.status == 454:
			in.Message.Type = wire.Unsent
		case m.status == 504:
			in.Message.Type, in.Message.Reason = wire.Failed, wire.Lost
		default:
			in.Message.Type = wire.Failed
		}
		in.Message.Load, err = f.parseLoadReport(m)
		return in, nil, err
	case methodTeardown:
		in.Message.Type = wire.Ended
		switch m.cause() {
		case causeEnded:
		case causeMoved:
			in.Message.Reason = wire.Canceled
		default:
			in.Message.Reason = wire.Lost
		}
		in.Message.Load, err = f.parseLoadReport(m)
		return in, newOKResponse(m.headers["cseq"], m.headers["session"]), err
	case methodAnnounce:
		kind, known := measurementKinds[m.headers["x-cause"]]
		value, err := strconv.ParseFloat(m.headers["x-value"], 64)
		if !known || err != nil || math.IsNaN(value) || math.IsInf(value, 0) || value < 0 {
			return in, nil, errors.New("a note that can't be read")
		}
		in.Message.Type, in.Message.MeasurementKind, in.Message.MeasurementValue = wire.Measurement, int(kind), value
	case methodOptions:
		return in, newOKResponse(m.headers["cseq"], m.headers["session"]), nil
	}
	return in, nil, nil
}

// parseLoadReport reads a media node's report, if the message holds one.
func (f *Protocol) parseLoadReport(m rtspMessage) (*wire.NodeLoad, error) {
	text, ok := m.headers["x-group"]
	if !ok {
		return nil, nil
	}
	load := policy.NoLoad
	for part := range strings.SplitSeq(text, ";") {
		name, value, ok := strings.Cut(part, ":")
		v, err := strconv.ParseFloat(value, 64)
		if !ok || err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
			return nil, fmt.Errorf("a report that can't be read: %q", part)
		}
		simwire.SetLoadField(&load, name, v)
	}
	told := func(v float64) *float64 {
		if v < 0 {
			return nil
		}
		return &v
	}
	return &wire.NodeLoad{Streams: told(load.Streams), Link: told(load.Link), Uplink: told(load.Uplink)}, nil
}

// EncodeNode words what a media node is to do.
func (f *Protocol) EncodeNode(o director.SendNode) []byte {
	m := o.Message
	switch m.Type {
	case wire.Setup:
		w := newRequest(methodSetup, m.Title, seqSetup, m.Session)
		w.header("X-Service", m.Tariff)
		w.header("X-Setup-Ms", strconv.FormatInt(m.StartWithinMS, 10))
		w.header("X-Rung", strconv.Itoa(m.Rung))
		return w.finish(o.Description)
	case wire.End:
		w := newRequest(methodTeardown, m.Session, seqTeardown, m.Session)
		if m.Reason != "" {
			w.header("Reason", fmt.Sprintf("cause=%d", causeMoved))
		}
		return w.finish(nil)
	case wire.Rung:
		w := newRequest(methodRung, m.Session, seqOther, m.Session)
		w.header("X-Rung", strconv.Itoa(m.Rung))
		return w.finish(nil)
	}
	return nil
}

// DecodeDiscovery reads an event of the notice board. One that was had already is nothing; one that leaves others out ends
// the connection, so that they are asked for.
func (f *Protocol) DecodeDiscovery(raw []byte) (m wire.DiscoveryMessage, err error) {
	x, err := parseFrame(raw)
	if err != nil {
		return m, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if x.kind == frameKeepAlive || x.eventNumber <= f.lastEvent {
		return m, nil
	}
	if x.kind == frameUpdate && x.eventNumber != f.lastEvent+1 && !f.awaitingFirstEvent {
		return m, fmt.Errorf("event %d follows %d", x.eventNumber, f.lastEvent)
	}
	f.lastEvent, f.awaitingFirstEvent = x.eventNumber, false
	m.Type, m.Serial = wire.Update, x.eventNumber
	if x.kind == frameSnapshot {
		m.Type = wire.Snapshot
	}
	now := f.now()
	name := func(list []string, i int) string {
		if i < len(list) {
			return list[i]
		}
		return ""
	}
	for _, r := range x.records {
		m.Nodes = append(m.Nodes, wire.NodeEntry{
			Node: nodeName(r.id), Address: r.address.String(), State: nodeStates[r.state], MachineKind: name(f.settings.Kinds, r.kind),
			Zone: name(f.settings.Zones, r.zone), Incarnation: r.startedMillis, UptimeMS: ageMillis(r.startedMillis, now), Weight: r.weight, Cell: r.cell,
		})
	}
	return m, nil
}

// EncodeDiscovery asks the notice board for what is later than the last event.
func (f *Protocol) EncodeDiscovery(m wire.DiscoveryMessage) []byte {
	if m.Type != wire.Subscribe {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.awaitingFirstEvent = true
	return resumeRequest(f.lastEvent)
}
