package platform

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net/netip"
)

// A frame of the discovery service consists of length:4 number:8 kind:1 payload (sizes in bytes). The length counts the
// bytes that follow it. Numbers are big-endian.
const (
	frameLengthSize = 4
	frameHeaderSize = frameLengthSize + 8 + 1
	recordSize      = 4 + 4 + 2 + 1 + 1 + 1 + 2 + 4 + 8 // the fields of a nodeRecord in order; weight in thousandths
	maxFrameSize    = 4 << 20
)

// The kinds of frames.
const (
	frameKeepAlive = iota
	frameSnapshot
	frameUpdate
)

// A nodeRecord is the entry of one node in a frame.
type nodeRecord struct {
	id            uint32
	address       netip.AddrPort
	state         byte
	zone, kind    int
	cell          int
	weight        float64
	startedMillis uint64 // Unix milliseconds; 0: unknown
}

// A frame is a discovery event, or a keep-alive.
type frame struct {
	eventNumber uint64
	kind        byte
	records     []nodeRecord
}

var errFrame = errors.New("invalid discovery frame")

// splitFrame returns the size of the frame at the start of the input, or 0 if the frame is incomplete.
func splitFrame(in []byte) (int, error) {
	if len(in) < frameLengthSize {
		return 0, nil
	}
	length := binary.BigEndian.Uint32(in)
	if length < frameHeaderSize-frameLengthSize || length > maxFrameSize || (length-(frameHeaderSize-frameLengthSize))%recordSize != 0 {
		return 0, fmt.Errorf("%w: length %d", errFrame, length)
	}
	if size := frameLengthSize + int(length); len(in) >= size {
		return size, nil
	}
	return 0, nil
}

func parseFrame(raw []byte) (f frame, err error) {
	if size, err := splitFrame(raw); err != nil || size != len(raw) {
		return f, errFrame
	}
	f.eventNumber, f.kind = binary.BigEndian.Uint64(raw[frameLengthSize:]), raw[frameHeaderSize-1]
	rest := raw[frameHeaderSize:]
	if f.kind > frameUpdate || f.kind == frameKeepAlive && len(rest) > 0 {
		return f, fmt.Errorf("%w: kind %d", errFrame, f.kind)
	}
	for ; len(rest) > 0; rest = rest[recordSize:] {
		r := nodeRecord{
			id:      binary.BigEndian.Uint32(rest),
			address: netip.AddrPortFrom(netip.AddrFrom4([4]byte(rest[4:8])), binary.BigEndian.Uint16(rest[8:])),
			state:   rest[10], zone: int(rest[11]), kind: int(rest[12]),
			cell:          int(binary.BigEndian.Uint16(rest[13:])),
			weight:        float64(binary.BigEndian.Uint32(rest[15:])) / 1000,
			startedMillis: binary.BigEndian.Uint64(rest[19:]),
		}
		if int(r.state) >= len(nodeStates) {
			return f, fmt.Errorf("%w: state %d of %s", errFrame, r.state, nodeName(r.id))
		}
		f.records = append(f.records, r)
	}
	return f, nil
}

// nodeName returns the textual form of a node's id.
func nodeName(id uint32) string { return fmt.Sprintf("s-%08x", id) }

// resumeRequest encodes a director's message to the discovery service: the number of the last event received.
func resumeRequest(last uint64) []byte { return binary.BigEndian.AppendUint64(nil, last) }
