package platform

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net/netip"
)

// A frame of the notice board is length:4 number:8 kind:1 payload; the length counts all that follows it. Numbers are
// big-endian.
const (
	frameLength = 4
	frameHead   = frameLength + 8 + 1
	recordSize  = 4 + 4 + 2 + 1 + 1 + 1 + 2 + 4 + 8
	frameMost   = 4 << 20
)

// The kinds of frame.
const (
	frameNothing = iota
	frameWhole
	frameChanges
)

// A record is a media node as a frame names it.
type record struct {
	id           uint32
	address      netip.AddrPort
	state        byte
	zone, kind   int
	cell         int
	weight       float64
	startedMilli uint64 // Unix; 0: not told
}

// A frame is an event of the notice board, or word that there is none.
type frame struct {
	number  uint64
	kind    byte
	records []record
}

var errFrame = errors.New("a frame that can't be read")

// splitBoard finds a frame at the beginning of what has come.
func splitBoard(in []byte) (int, error) {
	if len(in) < frameLength {
		return 0, nil
	}
	length := binary.BigEndian.Uint32(in)
	if length < frameHead-frameLength || length > frameMost || (length-(frameHead-frameLength))%recordSize != 0 {
		return 0, fmt.Errorf("%w: length %d", errFrame, length)
	}
	if size := frameLength + int(length); len(in) >= size {
		return size, nil
	}
	return 0, nil
}

func readFrame(raw []byte) (f frame, err error) {
	if size, err := splitBoard(raw); err != nil || size != len(raw) {
		return f, errFrame
	}
	f.number, f.kind = binary.BigEndian.Uint64(raw[frameLength:]), raw[frameHead-1]
	rest := raw[frameHead:]
	if f.kind > frameChanges || f.kind == frameNothing && len(rest) > 0 {
		return f, fmt.Errorf("%w: kind %d", errFrame, f.kind)
	}
	for ; len(rest) > 0; rest = rest[recordSize:] {
		r := record{
			id:      binary.BigEndian.Uint32(rest),
			address: netip.AddrPortFrom(netip.AddrFrom4([4]byte(rest[4:8])), binary.BigEndian.Uint16(rest[8:])),
			state:   rest[10], zone: int(rest[11]), kind: int(rest[12]),
			cell:         int(binary.BigEndian.Uint16(rest[13:])),
			weight:       float64(binary.BigEndian.Uint32(rest[15:])) / 1000,
			startedMilli: binary.BigEndian.Uint64(rest[19:]),
		}
		if int(r.state) >= len(states) {
			return f, fmt.Errorf("%w: state %d of %s", errFrame, r.state, nodeName(r.id))
		}
		f.records = append(f.records, r)
	}
	return f, nil
}

// nodeName is a media node's id in text.
func nodeName(id uint32) string { return fmt.Sprintf("s-%08x", id) }

// from is what a director tells the notice board: the number of the last event it has.
func from(last uint64) []byte { return binary.BigEndian.AppendUint64(nil, last) }
