package wire

import "testing"

func BenchmarkDecodeNode(b *testing.B) {
	raw := Encode(NodeMessage{Type: Accepted, Leg: 123456, Load: &NodeLoad{Streams: new(40.0), Link: new(0.4321), Uplink: new(0.5432)}})
	b.ReportAllocs()
	for b.Loop() {
		if _, err := DecodeNodeMessage(raw); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkEncodeSession(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		Encode(SessionMessage{Type: Playing, ID: "12345", Session: "d.1.abc", Node: "node-1",
			Address: "127.0.0.1:5555", Ticket: "d.1.abc", Rung: 2})
	}
}
