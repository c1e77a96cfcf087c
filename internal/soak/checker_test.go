package soak

import (
	"strings"
	"testing"
	"time"
)

func notDraining(*director) time.Time { return time.Time{} }

// answerFrom is the answer that a session stands at a server.
func answerFrom(server string, id uint64) directorMessage {
	return directorMessage{kind: kindAnswer, session: id, server: server}
}

func atOnce() time.Duration { return 0 }

// Each case is a request whose course either violates one rule, which the checker must report, or violates none.
func TestCheckerReportsEachViolation(t *testing.T) {
	const wait = time.Second
	for name, x := range map[string]struct {
		apply func(c *checker, id uint64, r *request)
		want  string // part of the violation; empty: there is none
	}{
		"answered": {func(c *checker, id uint64, _ *request) { c.recordMessage(answerFrom("s", id), true) }, ""},
		"refused": {func(c *checker, id uint64, _ *request) {
			c.recordMessage(directorMessage{kind: kindRelease, session: id}, true)
		}, ""},
		"cancelled": {func(c *checker, id uint64, _ *request) { c.markCancelled(id) }, ""},
		"released before the answer, on another connection": {func(c *checker, id uint64, _ *request) {
			c.recordMessage(directorMessage{kind: kindRelease, session: id}, false)
			c.recordMessage(answerFrom("s", id), true)
		}, ""},
		"no answer":                {func(*checker, uint64, *request) {}, "no final answer"},
		"closed without an answer": {func(c *checker, id uint64, _ *request) { c.recordClose([]uint64{id}, false) }, "ended without an answer"},
		"closed by a director that stops": {func(c *checker, id uint64, r *request) {
			r.sentAt = time.Now().Add(-crossingTime - 2*crossingSlack)
			c.recordClose([]uint64{id}, true)
		}, "ended without an answer"},
		"crosses the close by a director that stops": {func(c *checker, id uint64, _ *request) { c.recordClose([]uint64{id}, true) }, ""},
		"two answers": {func(c *checker, id uint64, _ *request) {
			c.recordMessage(answerFrom("s", id), true)
			c.recordMessage(answerFrom("s", id), true)
		}, "a second answer"},
		"two refusals": {func(c *checker, id uint64, _ *request) {
			c.recordMessage(directorMessage{kind: kindRelease, session: id}, true)
			c.recordMessage(directorMessage{kind: kindRelease, session: id}, true)
		}, "a second answer"},
		"ended, and nothing could be released": {func(c *checker, id uint64, r *request) {
			c.recordMessage(answerFrom("s", id), true)
			c.recordServerEnd(id, "s", "was killed")
			r.endAt("s").at = time.Now().Add(-tellAfterEnd + time.Second)
		}, ""},
		"ended long ago without a release": {func(c *checker, id uint64, r *request) {
			c.recordMessage(answerFrom("s", id), true)
			c.recordServerEnd(id, "s", "was killed")
			r.endAt("s").at = time.Now().Add(-tellAfterEnd - time.Second)
		}, "the client has no release"},
		"released by the server, and not told": {func(c *checker, id uint64, r *request) {
			c.recordMessage(answerFrom("s", id), true)
			c.recordServerEnd(id, "s", "released it")
			c.recordReleaseWritten(id, "s", 0)
			r.endAt("s").releaseWrittenAt = time.Now().Add(-tellAfterRelease - time.Second)
		}, "the client has no release"},
		"told too late": {func(c *checker, id uint64, r *request) {
			c.recordMessage(answerFrom("s", id), true)
			c.recordServerEnd(id, "s", "released it")
			c.recordReleaseWritten(id, "s", 0)
			r.endAt("s").releaseWrittenAt = time.Now().Add(-tellAfterRelease - time.Second)
			c.recordMessage(directorMessage{kind: kindRelease, session: id}, true)
		}, "too late"},
		"ended at a server where it does not stand": {func(c *checker, id uint64, r *request) {
			c.recordMessage(answerFrom("s", id), true)
			c.recordServerEnd(id, "z", "was killed")
			r.endAt("z").at = time.Now().Add(-tellAfterEnd - time.Second)
		}, ""},
		"told twice": {func(c *checker, id uint64, r *request) {
			c.recordMessage(answerFrom("s", id), true)
			c.recordServerEnd(id, "s", "released it")
			c.recordMessage(directorMessage{kind: kindRelease, session: id}, true)
			c.recordMessage(directorMessage{kind: kindRelease, session: id}, false)
		}, ""},
		"handed over after its end": {func(c *checker, id uint64, r *request) {
			c.recordMessage(answerFrom("s", id), true)
			c.recordServerEnd(id, "s", "released it")
			c.recordReleaseWritten(id, "s", 0)
			r.endAt("s").releaseWrittenAt = time.Now().Add(-tellAfterRelease - time.Second)
			c.handOver(r.director, 0)
			c.recordMessage(directorMessage{kind: kindRelease, session: id}, true)
		}, ""},
		"sent after its client cancelled": {func(c *checker, id uint64, r *request) {
			c.markCancelled(id)
			r.cancelledAt = time.Now().Add(-time.Second)
			c.recordSetup(id, "s", notDraining, 0, atOnce)
		}, "after its client has cancelled"},
		"sent to a draining server": {func(c *checker, id uint64, _ *request) {
			c.recordSetup(id, "s", func(*director) time.Time { return time.Now().Add(-time.Second) }, 0, atOnce)
			c.recordMessage(answerFrom("s", id), true)
		}, "which has been draining for"},
		"paid and sent twice": {func(c *checker, id uint64, _ *request) {
			c.endAttempt(c.recordSetup(id, "s", notDraining, 0, atOnce), true)
			c.recordSetup(id, "z", notDraining, 0, atOnce)
			c.recordMessage(answerFrom("s", id), true)
		}, "a paid request that may have run"},
		"paid, sent again after a proof that it never ran": {func(c *checker, id uint64, _ *request) {
			c.endAttempt(c.recordSetup(id, "s", notDraining, 0, atOnce), false)
			c.recordSetup(id, "z", notDraining, 0, atOnce)
			c.recordMessage(answerFrom("s", id), true)
		}, ""},
		"answer timeout longer than the client waits": {func(c *checker, id uint64, _ *request) {
			c.recordSetup(id, "s", notDraining, 2*wait, atOnce)
			c.recordMessage(answerFrom("s", id), true)
		}, "has to answer within"},
	} {
		t.Run(name, func(t *testing.T) {
			c := newChecker()
			id := c.addRequest(&director{}, true, wait)
			x.apply(c, id, c.requests[id])
			got := strings.Join(c.result(1, 0).Violations, "; ")
			if x.want == "" && got != "" || !strings.Contains(got, x.want) {
				t.Fatalf("violations %q, wanted %q", got, x.want)
			}
		})
	}
}
