package platform

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"fordusher/internal/director"
	"fordusher/internal/wire"
)

// These benchmarks measure the path of a node's answer through the director to the client: stage by stage without
// sockets, and as a whole on loopback.

// benchSession is the session of the messages that the codec benchmarks use.
const benchSession = 0x9b1f03aa5c7e2d41

// BenchmarkAnswerCodec measures the stages of the path that translate between bytes and the loop's messages.
func BenchmarkAnswerCodec(b *testing.B) {
	answer := []byte(acceptResponse(sessionID(benchSession)))
	protocol := &Protocol{}
	b.Run("split", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if n, err := splitRTSP(answer); n != len(answer) || err != nil {
				b.Fatal(n, err)
			}
		}
	})
	b.Run("decode", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if in, _, err := protocol.DecodeNode(answer); in.Message.Type != wire.Accepted || err != nil {
				b.Fatal(in, err)
			}
		}
	})
	b.Run("encode", func(b *testing.B) {
		b.ReportAllocs()
		out := director.SendClient{Message: wire.SessionMessage{Type: wire.Playing, ID: sessionID(benchSession)},
			Description: []byte(nodeDescription)}
		for b.Loop() {
			if protocol.EncodeClient(out) == nil {
				b.Fatal("not encoded")
			}
		}
	})
	b.Run("setup", func(b *testing.B) {
		b.ReportAllocs()
		out := director.SendNode{Setup: 1, Description: []byte(nodeDescription), Message: wire.NodeMessage{Type: wire.Setup,
			Session: sessionID(benchSession), Title: "7f3a9c21e0b4d655", Tariff: "clip", StartWithinMS: 1500, Rung: 1}}
		for b.Loop() {
			if protocol.EncodeNode(out) == nil {
				b.Fatal("not encoded")
			}
		}
	})
}

// benchNodes is the number of nodes on the server list in the benchmark of the loop.
const benchNodes = 200

// BenchmarkAnswerInLoop measures the loop's step for a node's answer, decision module included. The request before it
// and the session's end after it are not measured.
func BenchmarkAnswerInLoop(b *testing.B) {
	startConfig := parseBenchConfig(b)
	loop := startConfig.Config(time.Now()).NewLoop("b", 1, startConfig.NewDecider(1))
	now := 20 * time.Second
	nodes := []wire.NodeEntry{}
	for i := range benchNodes {
		nodes = append(nodes, wire.NodeEntry{Node: nodeName(uint32(i)), Address: fmt.Sprintf("127.0.0.1:%d", 1000+i), State: nodeStates[0],
			MachineKind: "box", Zone: "z", Weight: 1, Cell: i, UptimeMS: 1e9})
	}
	links := map[string]uint64{}
	outputs := slices.Clone(loop.Step(0, director.DiscoveryReceived{Message: wire.DiscoveryMessage{Type: wire.Snapshot, Nodes: nodes}}))
	for len(outputs) > 0 { // each connection that succeeds makes room for another attempt
		if c, ok := outputs[0].(director.Connect); ok {
			links[c.Node] = c.Link
			outputs = append(outputs, loop.Step(0, director.LinkConnected{Node: c.Node, Link: c.Link})...)
		}
		outputs = outputs[1:]
	}
	if len(links) != benchNodes {
		b.Fatalf("%d of %d nodes are connected", len(links), benchNodes)
	}
	loop.Step(now, director.ClientConnecting{Conn: 1, Address: netip.MustParseAddr("127.0.0.1")})
	loop.Step(now, director.ClientAccepted{Conn: 1})
	b.ReportAllocs()
	b.ResetTimer()
	for i := range uint64(b.N) {
		b.StopTimer()
		id, now := sessionID(i+1), now+time.Duration(i)*time.Millisecond
		top := 1
		var link uint64
		for _, o := range loop.Step(now, director.ClientReceived{Conn: 1, Message: wire.SessionMessage{Type: wire.Request, ID: id, Key: id,
			Tariff: "clip", Title: "7f3a9c21e0b4d655", MaxRung: &top, WaitMS: 1500, LengthMS: 8000},
			Details: &director.RequestDetails{Copies: 4, Description: []byte(nodeDescription)}}) {
			if setup, ok := o.(director.SendNode); ok && setup.Setup != 0 {
				link = setup.Link
			}
		}
		answered := false
		b.StartTimer()
		outputs := loop.Step(now, director.LinkReceived{Link: link, Message: wire.NodeMessage{Type: wire.Accepted, Session: id},
			Description: []byte(nodeDescription)})
		b.StopTimer()
		for _, o := range outputs {
			if answer, ok := o.(director.SendClient); ok && answer.Message.Type == wire.Playing {
				answered = true
			}
		}
		if !answered {
			b.Fatalf("request %d was not answered", i)
		}
		loop.Step(now, director.LinkReceived{Link: link, Message: wire.NodeMessage{Type: wire.Ended, Session: id}})
		b.StartTimer()
	}
}

// parseBenchConfig returns a start configuration without nodes.
func parseBenchConfig(b *testing.B) *StartConfig {
	b.Helper()
	settings := strings.Replace(testSettings, `"positions":4`, fmt.Sprintf(`"positions":%d`, benchNodes), 1)
	startConfig, err := parseStartConfig(fmt.Appendf(nil, `{"name":"n0","listen":"127.0.0.1:0","seed":"1f","board":"127.0.0.1:1",
 "limits":{"cores":1,"memory_mb":256,"sockets":4096},"settings":%s,
 "known":{"rev":3,"notices":[{"rev":3,"pool":{"rev":3,"all":true,"targets":[]}}]}}`, settings))
	if err != nil {
		b.Fatal(err)
	}
	return startConfig
}

// BenchmarkAnswerOnLoopback measures the whole path on sockets, from the node's write of an answer to the client's
// read of it. It reports the median and the 99th percentile, the CPU time of the process (which includes the emulated
// node and client) and its voluntary context switches, that is, hand-offs between threads, for each answer.
func BenchmarkAnswerOnLoopback(b *testing.B) {
	p := startFixture(b, 4, "")
	var writtenAt time.Time
	for _, n := range p.nodes {
		n.setReply(func(session string) string {
			reply := acceptResponse(session)
			writtenAt = time.Now() // read by the client after it has received the answer
			return reply
		})
	}
	client := p.newClient()
	client.c.SetDeadline(time.Time{})
	request := func(session uint64) time.Duration {
		client.send(setupMessage(session, map[byte]string{codePlacement: "home:0;copies:4;top:1"}))
		client.expect(kindAnswer, session, codeDescription)
		passed := time.Since(writtenAt)
		client.send(releaseMessage(session, causeEnded))
		client.expect(kindAck, session, codeCause)
		return passed
	}
	session := uint64(1)
	for ; session < 100; session++ { // connections and pools are in use from here on
		request(session)
	}
	var latencies []time.Duration
	before := processUsage(b)
	for b.Loop() {
		latencies = append(latencies, request(session))
		session++
	}
	after := processUsage(b)
	slices.Sort(latencies)
	answers := float64(len(latencies))
	b.ReportMetric(float64(latencies[len(latencies)/2].Nanoseconds())/1000, "us-p50")
	b.ReportMetric(float64(latencies[len(latencies)*99/100].Nanoseconds())/1000, "us-p99")
	b.ReportMetric(float64(cpuTime(after)-cpuTime(before))/1000/answers, "cpu-us/op")
	b.ReportMetric(float64(after.Nvcsw-before.Nvcsw)/answers, "switches/op")
}

func processUsage(b *testing.B) (usage syscall.Rusage) {
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return usage
}

func cpuTime(usage syscall.Rusage) int64 { return usage.Utime.Nano() + usage.Stime.Nano() }
