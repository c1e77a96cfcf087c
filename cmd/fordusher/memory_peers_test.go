package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"fordusher/internal/platformtest"
)

// nodeFloods are what media nodes send at full speed on every connection of the director.
var nodeFloods = map[string]string{
	"notes": strings.Repeat("ANNOUNCE rtsp://media/x RTSP/1.0\r\nCSeq: 4\r\nSession: 9b1f03aa5c7e2d41\r\nX-Cause: nic\r\n"+
		"X-Value: 0.2\r\nContent-Length: 0\r\n\r\n", 50),
	"longest notes": "ANNOUNCE rtsp://media/x RTSP/1.0\r\nCSeq: 4\r\nSession: 9b1f03aa5c7e2d41\r\nX-Cause: nic\r\n" +
		"X-Value: 0.2\r\nContent-Length: 16000\r\n\r\n" + strings.Repeat("x", 16000),
	"ends of unknown sessions": strings.Repeat(platformtest.Teardown("9b1f03aa5c7e2d41", 16), 50),
	"an answer without an end": "RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: 9b1f03aa5c7e2d41\r\nContent-Length: 3000000000\r\n\r\n",
	"tests":                    strings.Repeat("OPTIONS rtsp://media/ping RTSP/1.0\r\nCSeq: 3\r\nSession: 9b1f03aa5c7e2d41\r\nContent-Length: 0\r\n\r\n", 50),
}

// Most media nodes send at full speed what the director can't handle as fast, and do not read. Guards against a director that
// goes over its limit of memory because of its servers; requests to the other nodes are answered meanwhile.
func TestMemoryStaysWithinItsLimitUnderFloodsOfNodes(t *testing.T) {
	const (
		floodTime  = 1500 * time.Millisecond
		waitTime   = time.Second
		answerTime = 500 * time.Millisecond // after the client's time
	)
	program := buildProgram(t)
	for _, memoryMB := range []int{32, 192} {
		for name, text := range nodeFloods {
			t.Run(fmt.Sprintf("%d MB, %s", memoryMB, name), func(t *testing.T) {
				config := platformConfig{listen: freeAddress(t), discovery: freeAddress(t), sockets: 512, memoryMB: memoryMB,
					program: program, deadline: 2}
				for i := range 8 {
					n := newMediaNode(t)
					if i > 0 {
						n.Crash()
						n.Server = platformtest.Serve(t, func(c net.Conn) {
							for {
								if _, err := io.WriteString(c, text); err != nil {
									return
								}
							}
						})
					}
					config.nodes = append(config.nodes, n)
				}
				d := startPlatformDirector(t, config)
				usual, peak, slowest, answers := d.connect(), 0, time.Duration(0), map[byte]int{}
				for start, id := time.Now(), uint64(1); time.Since(start) < floodTime; id++ {
					asked := time.Now()
					usual.conn.Write(setupRequestWithin(id, 0, 1, waitTime))
					kind, session := usual.next()
					for kind == kindRelease && session < id { // an earlier session has ended
						kind, session = usual.next()
					}
					if session != id || kind != kindAnswer && kind != kindRelease {
						t.Fatalf("request %d got kind %d of session %d, want an answer", id, kind, session)
					}
					answers[kind]++
					slowest = max(slowest, time.Since(asked))
					for range 4 {
						peak = max(peak, residentKB(d.cmd.Process.Pid))
						time.Sleep(5 * time.Millisecond)
					}
				}
				if peak == 0 || peak > memoryMB<<10 {
					t.Errorf("the director held %d kB, its limit is %d kB", peak, memoryMB<<10)
				}
				if slowest > waitTime+answerTime {
					t.Errorf("an answer took %v", slowest)
				}
				t.Logf("%d kB at most, slowest answer %v, answers by kind %v", peak, slowest.Round(time.Millisecond), answers)
			})
		}
	}
}
