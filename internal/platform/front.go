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

// A Front is the platform's protocol for a daemon: it turns bytes into the loop's words and back, message by message,
// and keeps nothing of sessions.
type Front struct {
	house *conf.House
	trade *simwire.Config
	now   func() time.Time

	mu    sync.Mutex
	last  uint64 // number of the last event of the notice board
	fresh bool   // it was just asked for what is later
}

// NewFront makes the front of a posting; now is the clock that the notice board's times are of.
func NewFront(p *Posting, house *conf.House, now func() time.Time) *Front {
	return &Front{house: house, trade: p.trade, now: now, last: p.Known.Rev}
}

// Listen accepts viewers.
func (f *Front) Listen(h transport.Handler) (*transport.Server, error) {
	return transport.ServePlain(f.house.Listen, splitViewer, f.house.Door.Players, h)
}

// DialNode connects to a media node.
func (f *Front) DialNode(address string, within time.Duration, h transport.Handler) (*transport.Conn, error) {
	return transport.DialPlain(address, within, splitRTSP, f.house.Door.Nodes, h)
}

// DialDiscovery connects to the notice board.
func (f *Front) DialDiscovery(address string, within time.Duration, h transport.Handler) (*transport.Conn, error) {
	return transport.DialPlain(address, within, splitBoard, f.house.Door.List, h)
}

// DecodeClient reads a viewers' message. What can't be used of a set-up reaches the loop all the same, which knows
// whether its id is in use.
func (f *Front) DecodeClient(raw []byte) (in director.ClientReceived, reply []byte, err error) {
	m, err := readViewer(raw)
	if err != nil {
		return in, nil, err
	}
	id := sessionID(m.session)
	switch m.kind {
	case kindSetup:
		s, err := readSetup(m)
		in.Details = &director.RequestDetails{Base: s.home, Copies: s.copies, Description: s.description, PlayingOn: s.at}
		if err == nil && (s.home >= f.trade.Family.Cells || s.copies > f.trade.Family.Cells) {
			err = errors.New("there are not so many cells")
		}
		if err == nil && m.session == 0 {
			err = errors.New("it has no id")
		}
		if err != nil {
			in.Details.InvalidReason, in.Details.PlayingOn = err.Error(), ""
		}
		in.Message = wire.Session{
			Type: wire.Want, ID: id, Key: id, Tariff: s.class, Title: s.title, Top: &s.top, Wait: s.wait,
			Length: int64(s.hint),
		}
		return in, nil, nil
	case kindRelease:
		in.Message = wire.Session{Type: wire.Leave, ID: id}
		return in, newViewer(kindHeard, m.session).done(), m.each(func(byte, []byte) error { return nil })
	case kindTest:
		return in, newViewer(kindTested, m.session).param(codeCause, []byte{1}).done(), nil
	case kindHeard, kindProgress:
		return in, nil, nil
	case kindAnswer, kindNote, kindMove, kindTested, kindRung: // not a viewer's to say
		return in, release(m.session, causeUnusable), nil
	}
	return in, nil, fmt.Errorf("unknown message %d", m.kind)
}

// EncodeClient words an answer, or the end of a session. Viewers are told nothing of rungs.
func (f *Front) EncodeClient(o director.SendClient) []byte {
	m := o.Message
	session := sessionNumber(m.ID)
	switch m.Type {
	case wire.Plays:
		return newViewer(kindAnswer, session).param(codeDescription, o.Description).done()
	case wire.Nack:
		return release(session, causeNacked)
	case wire.Errored:
		return release(session, causeErrored)
	case wire.Over:
		switch m.Why {
		case director.ReasonEnded:
			return release(session, causeEnded)
		case director.ReasonEndedElsewhere:
			return release(session, causeMoved)
		}
		return release(session, causeLost)
	}
	return nil
}

// noteKinds are the module's notes, by their causes.
var noteKinds = map[string]policy.MeasurementKind{
	"quality": policy.DeliveredShare, "profile": policy.CurrentRung, "nic": policy.LinkLoad, "tor": policy.UplinkLoad,
}

// DecodeNode reads a media node's message.
func (f *Front) DecodeNode(raw []byte) (in director.LinkReceived, reply []byte, err error) {
	m, err := readRTSP(raw)
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
			in.Message.Type, in.Message.Why = wire.Failed, wire.Lost
		default:
			in.Message.Type = wire.Failed
		}
		in.Message.Load, err = f.report(m)
		return in, nil, err
	case methodTeardown:
		in.Message.Type = wire.Ended
		switch m.cause() {
		case causeEnded:
		case causeMoved:
			in.Message.Why = wire.CalledOff
		default:
			in.Message.Why = wire.Lost
		}
		in.Message.Load, err = f.report(m)
		return in, heard(m.headers["cseq"], m.headers["session"]), err
	case methodAnnounce:
		kind, known := noteKinds[m.headers["x-cause"]]
		value, err := strconv.ParseFloat(m.headers["x-value"], 64)
		if !known || err != nil || math.IsNaN(value) || math.IsInf(value, 0) || value < 0 {
			return in, nil, errors.New("a note that can't be read")
		}
		in.Message.Type, in.Message.Kind, in.Message.Value = wire.Note, int(kind), value
	case methodOptions:
		return in, heard(m.headers["cseq"], m.headers["session"]), nil
	}
	return in, nil, nil
}

// report reads a media node's report, if the message holds one.
func (f *Front) report(m rtspMessage) (*wire.Load, error) {
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
	return &wire.Load{Streams: told(load.Streams), Link: told(load.Link), Uplink: told(load.Uplink)}, nil
}

// EncodeNode words what a media node is to do.
func (f *Front) EncodeNode(o director.SendNode) []byte {
	m := o.Message
	switch m.Type {
	case wire.Setup:
		w := request(methodSetup, m.Title, seqSetup, m.Session)
		w.header("X-Service", m.Tariff)
		w.header("X-Setup-Ms", strconv.FormatInt(m.Within, 10))
		w.header("X-Rung", strconv.Itoa(m.Rung))
		return w.done(o.Description)
	case wire.End:
		w := request(methodTeardown, m.Session, seqTeardown, m.Session)
		if m.Why != "" {
			w.header("Reason", fmt.Sprintf("cause=%d", causeMoved))
		}
		return w.done(nil)
	case wire.Rung:
		w := request(methodRung, m.Session, seqOther, m.Session)
		w.header("X-Rung", strconv.Itoa(m.Rung))
		return w.done(nil)
	}
	return nil
}

// DecodeDiscovery reads an event of the notice board. One that was had already is nothing; one that leaves others out ends
// the connection, so that they are asked for.
func (f *Front) DecodeDiscovery(raw []byte) (m wire.List, err error) {
	x, err := readFrame(raw)
	if err != nil {
		return m, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if x.kind == frameNothing || x.number <= f.last {
		return m, nil
	}
	if x.kind == frameChanges && x.number != f.last+1 && !f.fresh {
		return m, fmt.Errorf("event %d follows %d", x.number, f.last)
	}
	f.last, f.fresh = x.number, false
	m.Type, m.Serial = wire.Update, x.number
	if x.kind == frameWhole {
		m.Type = wire.Whole
	}
	now := f.now()
	name := func(list []string, i int) string {
		if i < len(list) {
			return list[i]
		}
		return ""
	}
	for _, r := range x.records {
		m.Nodes = append(m.Nodes, wire.Entry{
			Node: nodeName(r.id), Address: r.address.String(), State: states[r.state], Kind: name(f.trade.Kinds, r.kind),
			Zone: name(f.trade.Zones, r.zone), Start: r.startedMilli, Age: age(r.startedMilli, now), Weight: r.weight, Cell: r.cell,
		})
	}
	return m, nil
}

// EncodeDiscovery asks the notice board for what is later than the last event.
func (f *Front) EncodeDiscovery(m wire.List) []byte {
	if m.Type != wire.Listen {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fresh = true
	return from(f.last)
}
