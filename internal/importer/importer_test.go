package importer

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"fordusher/internal/conf"
	"fordusher/internal/haproxy"
	"fordusher/internal/wire"
)

// importText imports a configuration from its text, with the text of an overlay if that is not empty.
func importText(t testing.TB, text string, overlay string) *Result {
	t.Helper()
	r := haproxy.Reader{Version: "2.8"}
	if err := r.Read("t.cfg", []byte(text)); err != nil {
		t.Fatal(err)
	}
	files, err := r.Finish()
	if err != nil {
		t.Fatal(err)
	}
	var o *Overlay
	if overlay != "" {
		if o, err = ReadOverlay("with.jsonc", []byte(overlay)); err != nil {
			t.Fatal(err)
		}
	}
	result, err := Import(files, o)
	if err != nil {
		t.Fatal(err)
	}
	return result
}

// outcomeOf describes the outcome and the notes of a line.
func outcomeOf(r *Result, line int) string {
	l := r.Source.Lines[line-1]
	outcome, reason := l.Outcome()
	s := string(outcome) + " " + reason
	for _, n := range l.Notes {
		s += "; " + n.Subject + " " + n.Key + n.Reason
	}
	return s
}

// describeNodes describes each node as NAME=ADDRESS/STATE/WEIGHT/KIND.
func describeNodes(r *Result) (all []string) {
	for _, n := range r.Nodes {
		all = append(all, fmt.Sprintf("%s=%s/%s/%g/%s", n.Node, n.Address, n.State, n.Weight, n.MachineKind))
	}
	return all
}

func TestServers(t *testing.T) {
	for _, x := range []struct {
		name, text string
		nodes      string
		notes      map[int]string // by line, a text that the description of its outcome has to contain
	}{
		{"weight 0 and backup", "backend b\n server a h:1 weight 0 backup\n server c h:2 weight 0",
			"c=h:2/draining/1/unlimited", map[int]string{2: "skipped ; backup", 3: "draining"}},
		{"same name twice", "backend b\n server a h:1\nbackend c\n server a h:2", "b.a=h:1/up/1/unlimited c.a=h:2/up/1/unlimited", nil},
		{"same address twice, equal", "backend b\n server a h:1\nbackend c\n server x h:1", "a=h:1/up/1/unlimited", map[int]string{4: "carried ; server x nodes.a"}},
		{"same address twice, different", "backend b\n server a h:1 weight 3\nbackend c\n server x h:1", "a=h:1/up/3/unlimited", map[int]string{4: "one node can't have both"}},
		{"default-server between", "backend b\n default-server maxconn 5\n server a h:1\n default-server weight 9\n server c h:2",
			"a=h:1/up/1/places-5 c=h:2/up/9/places-5", nil},
		{"disabled server", "backend b\n server a h:1 disabled\n server c h:2 disabled enabled", "c=h:2/up/1/unlimited", map[int]string{2: "carried ; disabled"}},
		{"weight too high", "backend b\n server a h:1 weight 257", "", map[int]string{2: "not within 0 to 256"}},
		{"unknown word", "backend b\n server a h:1 frobnicate weight 0", "", map[int]string{2: `"frobnicate" (column 15)`}},
		{"word without value", "backend b\n server a h:1 weight", "", map[int]string{2: `"weight"`}},
		{"sockets and offsets", "backend b\n server a unix@/x\n server c h:+1\n server d h\n server e 0.0.0.0:80", "",
			map[int]string{2: haproxy.LocalSocket, 3: haproxy.PortOffset, 4: haproxy.NoPort,
				5: "HAProxy uses the address to which the client connected"}},
		{"ipv6", "backend b\n server a [2001:db8::1]:80", "a=[2001:db8::1]:80/up/1/unlimited", nil},
		{"maxconn 0", "backend b\n server a h:1 maxconn 0", "a=h:1/up/1/unlimited", nil},
		{"variable missing", "backend b\n server a \"$HOST:1\"\n server c h:1", "c=h:1/up/1/unlimited", map[int]string{2: "variables without a value: HOST"}},
		{"disabled proxy", "backend b\n disabled\n server a h:1\nbackend c\n server a h:2", "a=h:2/up/1/unlimited", map[int]string{3: "ignored the proxy is disabled"}},
		{"mode log", "backend b\n mode log\n server a h:1", "", map[int]string{3: "skipped"}},
		{"names of invalid UTF-8", "backend b\n server a\xff h:1\n server a\xfe h:2\n server c h:3", "c=h:3/up/1/unlimited", map[int]string{2: "not valid UTF-8", 3: "not valid UTF-8"}},
		{"peers' servers", "peers p\n server a h:1\nbackend b\n server c h:2", "c=h:2/up/1/unlimited", map[int]string{2: "directors share no state"}},
	} {
		r := importText(t, x.text, "")
		if got := strings.Join(describeNodes(r), " "); got != x.nodes {
			t.Errorf("%s: got nodes %s, want %s", x.name, got, x.nodes)
		}
		for line, want := range x.notes {
			if got := outcomeOf(r, line); !strings.Contains(got, want) {
				t.Errorf("%s, line %d: got outcome %s, want one with %s", x.name, line, got, want)
			}
		}
	}
	r := importText(t, "backend b\n server a h:1 weight 0\n server c h:2 weight 0", "")
	if len(r.Warnings) != 1 || !strings.Contains(r.Warnings[0], "all servers of b have weight 0") {
		t.Error(r.Warnings)
	}
}

func TestTemplate(t *testing.T) {
	text := "backend b\n server-template w 1-300 pool.example:80 weight 3"
	if r := importText(t, text, ""); len(r.Nodes) != 0 || !strings.Contains(outcomeOf(r, 2), "300 of 300") {
		t.Error(len(r.Nodes), outcomeOf(r, 2))
	}
	r := importText(t, text, `{"servers": {"b/w7": {"address": "10.0.0.7:80", "cell": 3}, "b/w1?": {"cell_from": 10, "address": "bad"}}}`)
	if got := strings.Join(describeNodes(r), " "); got != "w7=10.0.0.7:80/up/3/unlimited" || !strings.Contains(outcomeOf(r, 2), "299 of 300") {
		t.Error(got, outcomeOf(r, 2))
	}
}

// A setting that the director has only once is carried over if all proxies or servers have the same value. The test
// guards against a value that is taken from one proxy although another has a different one.
func TestSharedSettings(t *testing.T) {
	for _, x := range []struct {
		name, text string
		path, want string // the value at the path of the result; empty: the path has no value
		line       int
		note       string
	}{
		{"connect agrees", "defaults\n timeout connect 1s\nbackend a\n server x h:1\nbackend b\n timeout connect 1000\n server y h:2", "manners.connect", `"1s"`, 6, "carried"},
		{"connect differs", "defaults\n timeout connect 1s\nbackend a\n server x h:1\nbackend b\n timeout connect 2s\n server y h:2", "manners.connect", "", 6, "different values, 1s and 2s"},
		{"connect 0", "backend a\n timeout connect 0\n server x h:1", "manners.connect", "", 2, "0 stands for no limit"},
		{"connect overflows", "backend a\n timeout connect 90d\n server x h:1", "manners.connect", "", 2, "longer than HAProxy accepts"},
		{"connect that no proxy uses", "defaults\n timeout connect 1s\ndefaults\nbackend a\n server x h:1", "manners.connect", "", 2, "ignored no enabled proxy uses this setting"},
		{"retries with redispatch", "backend a\n retries 2\n option redispatch\n server x h:1", "legs.most", "3", 2, "carried"},
		{"retries without redispatch", "backend a\n retries 2\n server x h:1", "legs.most", "", 2, "retries on the same server"},
		{"no retries", "backend a\n retries 0\n server x h:1", "legs.most", "1", 2, "carried"},
		{"retry that may have run", "backend a\n option redispatch\n retry-on response-timeout\n server x h:1", "legs.most", "4", 3, "rule 2"},
		{"slowstart agrees", "backend a\n default-server slowstart 9s\n server x h:1\n server y h:2", "ramp.warmup", `"9s"`, 2, "carried"},
		{"slowstart of one server", "backend a\n server x h:1 slowstart 9s\n server y h:2", "ramp.warmup", "null", 2, "not all nodes have slowstart"},
		{"one bind", "listen a\n bind :80\n server x h:1", "listen", `":80"`, 2, "carried"},
		{"encrypted bind", "listen a\n bind :443 ssl crt x\n server x h:1", "listen", "null", 2, `"ssl"`},
		{"two binds", "listen a\n bind :80\n bind :81\n server x h:1", "listen", "null", 3, "a director has one"},
		{"process maxconn", "global\n maxconn 9\nlisten a\n maxconn 20\n server x h:1", "limits.connections", "9", 4, "ignored the process allows fewer"},
		{"one frontend's maxconn", "global\n maxconn 9\nlisten a\n maxconn 5\n server x h:1", "limits.connections", "5", 4, "carried"},
		{"request time", "frontend a\n timeout http-request 3s\n", "limits.players.handshake", `"3s"`, 2, "carried"},
	} {
		r := importText(t, x.text, "")
		got := ""
		if v := r.tree.find(strings.Split(x.path, ".")...); v != nil {
			got = v.leaf
		}
		if got != x.want || !strings.Contains(outcomeOf(r, x.line), x.note) {
			t.Errorf("%s: got value %q, want %q; line %d: got outcome %s, want one with %s", x.name, got, x.want, x.line,
				outcomeOf(r, x.line), x.note)
		}
	}
}

// The sample of docs/import-haproxy.md imports to a valid configuration of a director. Without the overlay, the only
// problems of the result are its blanks. The test guards against an import whose result a director rejects.
func TestSampleConfig(t *testing.T) {
	text, err := os.ReadFile("testdata/hall.cfg")
	if err != nil {
		t.Fatal(err)
	}
	overlay, err := os.ReadFile("testdata/hall-with.jsonc")
	if err != nil {
		t.Fatal(err)
	}
	var b strings.Builder
	r := importText(t, string(text), string(overlay))
	if err := r.WriteConfig(&b, []string{"hall.cfg"}); err != nil {
		t.Fatal(err)
	}
	c, err := conf.Decode("d.json", []byte(b.String()))
	if err != nil {
		t.Fatal(err)
	}
	if len(c.Nodes) != 8 || len(c.Titles) != 2 || c.Nodes[3].State != wire.Draining || c.ProtocolOptions.ConnectTimeout != 400*time.Millisecond || c.Legs.MaxLegs != 3 {
		t.Errorf("%+v", c.Nodes)
	}
	b.Reset()
	bare := importText(t, string(text), "")
	if err := bare.WriteConfig(&b, []string{"hall.cfg"}); err != nil {
		t.Fatal(err)
	}
	_, err = conf.Decode("d.json", []byte(b.String()))
	problems, ok := err.(conf.Problems)
	if !ok || len(problems) != len(bare.tree.blankPaths("")) {
		t.Fatal(err)
	}
	for _, p := range problems {
		if !strings.HasSuffix(p.Text, "is not filled in yet") {
			t.Error(p)
		}
	}
}

func TestMergePrevious(t *testing.T) {
	initial := importText(t, "backend b\n timeout connect 1s\n server a h:1\n server c h:2\n server d h:3 weight 2", "")
	var b strings.Builder
	initial.WriteConfig(&b, nil)
	filled := strings.NewReplacer(`"cell": null`, `"cell": 4`, `"name": null`, `"name": "me"`, `"cells": null`, `"cells": 8`).Replace(b.String())
	filled = strings.Replace(filled, `"manners": {`, `"closing": {"within": "3s"}, "manners": {"linger": "9s", `, 1)
	previous, err := ReadPreviousConfig("old.json", []byte(filled))
	if err != nil {
		t.Fatal(err)
	}
	updated := importText(t, "backend b\n timeout connect 2s\n server a h:1 weight 0\n server d h:3 weight 5\n server n h:9", "")
	changes := updated.MergePrevious(previous)
	var got []string
	for _, c := range changes {
		got = append(got, c.String())
	}
	want := []string{"node a: state was up, is draining", "node d: weight was 2, is 5", "node n added (h:9)", "node c gone (h:2)", `manners.connect: was "1s", is "2s"`}
	if !slices.Equal(got, want) {
		t.Errorf("wrong changes: %q", got)
	}
	for path, want := range map[string]string{"director.name": `"me"`, "closing.within": `"3s"`, "manners.linger": `"9s"`, "manners.connect": `"2s"`,
		"nodes.a.cell": "4", "nodes.n.cell": "null", "fleet.cells": "8"} {
		if v := updated.tree.find(strings.Split(path, ".")...); v == nil || v.leaf != want {
			t.Errorf("%s: got %v, want %s", path, v, want)
		}
	}
	if updated.tree.find("nodes", "c") != nil {
		t.Error("the merge restored a node that the new configuration no longer has")
	}
}

// checkEveryLineReported imports a text and checks that the report has every physical line exactly once, with a
// reason for every skipped or ignored line, and that the result can be read again. A text that can't be imported is
// accepted; a panic fails the test.
func checkEveryLineReported(t testing.TB, text []byte) {
	r := haproxy.Reader{Variables: haproxy.Variables{"A": "b c"}}
	if r.Read("f.cfg", text) != nil {
		return
	}
	files, err := r.Finish()
	if err != nil {
		return
	}
	lines := strings.Count(string(text), "\n")
	if len(text) > 0 && text[len(text)-1] != '\n' {
		lines++
	}
	result, err := Import(files, nil)
	if err != nil {
		return
	}
	report := result.Report(nil)
	if len(report.Lines) > lines || len(report.Lines) < lines-1 { // a byte order mark alone is no line
		t.Fatalf("the report has %d lines, the text %d", len(report.Lines), lines)
	}
	sum := 0
	for _, n := range report.Totals {
		sum += n
	}
	if sum != len(report.Lines) {
		t.Fatal(report.Totals)
	}
	for i, l := range report.Lines {
		if l.Line != i+1 || l.Outcome == haproxy.Skipped && len(l.Notes) == 0 || l.Outcome == haproxy.Ignored && l.Reason == "" {
			t.Fatalf("wrong line number, or no reason for the outcome: %+v", l)
		}
	}
	var b strings.Builder
	if err := result.WriteConfig(&b, nil); err != nil {
		t.Fatal(err)
	}
	if _, err := ReadPreviousConfig("again", []byte(b.String())); err != nil {
		t.Fatalf("the written configuration can't be read again: %v\n%s", err, b.String())
	}
}

func FuzzImport(f *testing.F) {
	text, err := os.ReadFile("testdata/hall.cfg")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(text)
	f.Add([]byte("backend b\n server a h:1 weight 0 backup\n server-template t 1-3 h:1\n.if defined(A)\n retries 3\n.endif\n"))
	f.Add([]byte("defaults\n retries 2\nlisten l\n bind \"${A[*]}\"\n server \\x41 [::1]:1 'q'\n"))
	f.Fuzz(func(t *testing.T, text []byte) { checkEveryLineReported(t, text) })
}

// generateConfig returns a configuration with the given number of servers, spread evenly over the backends, and at
// least the given number of lines.
func generateConfig(servers, backends, lines int) string {
	var b strings.Builder
	b.WriteString("global\n maxconn 9000\ndefaults\n timeout connect 1s\n option redispatch\n")
	n := 5
	for i := range backends {
		fmt.Fprintf(&b, "backend b%d\n balance leastconn\n", i)
		n += 2
		for k := range servers / backends {
			fmt.Fprintf(&b, " server s%d 10.%d.%d.%d:9000 weight %d maxconn 200 check\n", i*(servers/backends)+k, i>>8, i&255, k, 1+k%5)
			n++
		}
		for n < lines*(i+1)/backends {
			fmt.Fprintf(&b, " acl a%d path_beg /x # comment\n", n)
			n++
		}
	}
	return b.String()
}

// An import of 2,000 lines ends within 5 s. The test guards against an import whose time grows faster than the
// number of lines; a linear one stays far below the bound.
func TestImportTimeIsLinear(t *testing.T) {
	began := time.Now()
	if r := importText(t, generateConfig(300, 40, 2000), ""); len(r.Nodes) != 280 {
		t.Fatal(len(r.Nodes))
	}
	if took := time.Since(began); took > 5*time.Second {
		t.Fatal(took)
	}
}

func BenchmarkImport(b *testing.B) {
	for _, size := range []struct{ servers, backends, lines int }{{300, 30, 2000}, {100_000, 400, 0}} {
		text := generateConfig(size.servers, size.backends, size.lines)
		b.Run(fmt.Sprint(size.servers), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				r := importText(b, text, "")
				if len(r.Nodes) != size.servers {
					b.Fatal(len(r.Nodes))
				}
				if err := r.Report(nil).WriteText(&strings.Builder{}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// docs/import-haproxy.md contains the table that the code renders. The test guards against a mapping that changes
// without the page.
func TestDocsTableIsCurrent(t *testing.T) {
	page, err := os.ReadFile("../../docs/import-haproxy.md")
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(page), strings.TrimRight(RenderMappingTable(), "\n")) {
		t.Error("docs/import-haproxy.md has a different table: replace it by the output of `fordusher import haproxy --table`")
	}
}
