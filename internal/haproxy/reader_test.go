package haproxy

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

func TestSplitWords(t *testing.T) {
	env := Variables{"A": "one two", "E": "", "B": "3"}
	for _, x := range []struct {
		line string
		want string // words, separated by |
	}{
		{`server a b`, "server|a|b"},
		{"\tserver \t a  # rest", "server|a"},
		{`a#b`, "a"},
		{`a\#b`, "a#b"},
		{`a\ b c`, "a b|c"},
		{`"a b" 'c d'e`, "a b|c de"},
		{`"a'b" 'c"d'`, `a'b|c"d`},
		{`'a\nb$A'`, `a\nb$A`},
		{`"x\ty\"z\\"`, "x\ty\"z\\"},
		{`\x41\x20b`, "A b"},
		{`"" ''`, "|"},
		{`a\qb`, `a\qb`},
		{`a\`, `a\`},
		{`$A`, "$A"}, // variables are replaced only within weak quotes
		{`"$A"`, "one two"},
		{`"${A}x"`, "one twox"},
		{`"${A[*]}"`, "one|two"},
		{`"${E}"`, ""},
		{`"${C-none}"`, "none"},
		{`"${B-none}"`, "3"},
		{`"\$A"`, "$A"},
		{`"a${E}b"`, "ab"},
	} {
		words, unset, err := splitWords(x.line, Position{}, env)
		var got []string
		for _, w := range words {
			got = append(got, w.Text)
		}
		if err != nil || len(unset) > 0 || strings.Join(got, "|") != x.want {
			t.Errorf("%s: split into %q, unset variables %v, error %v", x.line, got, unset, err)
		}
	}
	if words, _, _ := splitWords(`  ab "c d" e`, Position{}, nil); words[0].Col != 3 || words[1].Col != 6 || words[2].Col != 12 {
		t.Errorf("words with wrong columns: %+v", words)
	}
	if _, unset, _ := splitWords(`"$NOT and ${NEITHER}"`, Position{}, nil); len(unset) != 2 {
		t.Error(unset)
	}
	for line, col := range map[string]int{`a "b`: 3, `a 'b`: 3, `a "b'`: 3, `\x4`: 1, `\xzz`: 1, `"${A`: 2, `"$"`: 2, "a\x00": 2} {
		if _, _, err := splitWords(line, Position{File: "f", Line: 1}, env); err == nil || err.Col != col {
			t.Errorf("%q: got error %v, want one at column %d", line, err, col)
		}
	}
}

func TestEvaluateConditions(t *testing.T) {
	env := Variables{"SET": "x", "EMPTY": ""}
	for text, want := range map[string]truthValue{
		"1": yes, "0": no, "": no, "-3": yes, "!0": yes, "!!1": yes, "(1)": yes, "1 && 0": no, "1 || 0": yes, "0 && 0 || 1": yes, "0 && (0 || 1)": no,
		"defined(SET)": yes, "defined(EMPTY)": yes, "defined(HOME)": no, "streq(a,a)": yes, "streq(a, b)": no, "strneq(a,b)": yes, "strstr(abc,b)": yes,
		"version_atleast(2.8)": yes, "version_atleast(2.10)": no, "version_before(3.0)": yes, "version_atleast(2.9-dev3)": yes,
		"feature(OPENSSL)": unknown, "feature(X) && 0": no, "feature(X) || 1": yes, "!feature(X)": unknown, "whatever(1)": unknown,
	} {
		if got, _, err := evaluate(text, env, "2.9"); got != want || err != nil {
			t.Errorf("%s: got %v, want %v (error %v)", text, got, want, err)
		}
	}
	if got, reason, _ := evaluate("version_atleast(2.4)", nil, ""); got != unknown || !strings.Contains(reason, "--haproxy-version") {
		t.Error(got, reason)
	}
	for _, text := range []string{"(1", "1 1", "bare", "streq(a)", "defined(", "&& 1", strings.Repeat("(", 100)} {
		if _, _, err := evaluate(text, nil, ""); err == nil {
			t.Errorf("%s: evaluated without an error", text)
		}
	}
}

func TestParseDuration(t *testing.T) {
	for text, want := range map[string]time.Duration{"0": 0, "5": 5 * time.Millisecond, "5s": 5 * time.Second, "1500us": 1500 * time.Microsecond, "2m": 2 * time.Minute,
		"1h": time.Hour, "2d": 48 * time.Hour, "2147483647": 2147483647 * time.Millisecond} {
		if got, err := parseDuration(text); got != want || err != nil {
			t.Errorf("%s: parsed as %v, error %v", text, got, err)
		}
	}
	for _, text := range []string{"", "s", "5x", "-1", "1.5s", "25d", "99999999999999999999", "500us", "2147483648"} {
		if got, err := parseDuration(text); err == nil {
			t.Errorf("%s: got %v, want an error", text, got)
		}
	}
}

func TestParseAddress(t *testing.T) {
	for text, want := range map[string]Address{
		"10.0.0.1:80": {Host: "10.0.0.1", FirstPort: 80, LastPort: 80}, "[::1]:80": {Host: "::1", FirstPort: 80, LastPort: 80}, "::1:80": {Host: "::1", FirstPort: 80, LastPort: 80},
		"ipv6@[fe80::1]:9": {Host: "fe80::1", FirstPort: 9, LastPort: 9}, "ipv4@a.b:1": {Host: "a.b", FirstPort: 1, LastPort: 1}, ":8000-8010": {FirstPort: 8000, LastPort: 8010},
		"*:80": {Host: "*", FirstPort: 80, LastPort: 80}, "10.0.0.1": {Host: "10.0.0.1", Kind: NoPort}, "[::1]": {Host: "::1", Kind: NoPort}, "a:": {Host: "a", Kind: NoPort},
		"a:+100": {Host: "a", Kind: PortOffset}, "a:-100": {Host: "a", Kind: PortOffset}, "/run/x": {Kind: LocalSocket}, "unix@/run/x": {Kind: LocalSocket},
		"abns@x": {Kind: LocalSocket}, "quic4@:443": {Kind: OtherFamily},
	} {
		if got, err := parseAddress(text); got != want || err != nil {
			t.Errorf("%s: parsed as %+v, error %v", text, got, err)
		}
	}
	for _, text := range []string{"a:0", "a:65536", "a:b", "a:80-70", "a:99999999999999"} {
		if got, err := parseAddress(text); err == nil {
			t.Errorf("%s: got %+v, want an error", text, got)
		}
	}
}

// readText reads a configuration from one text with the given variables.
func readText(t *testing.T, text string, env Variables) (*Config, error) {
	t.Helper()
	r := Reader{Variables: env}
	if err := r.Read("t.cfg", []byte(text)); err != nil {
		return nil, err
	}
	return r.Finish()
}

func TestConditionalBlocks(t *testing.T) {
	f, err := readText(t, `global
.if defined(A)
 a
.if defined(B)
 b
.else
 c
.endif
.elif 1
 d
.else
 e
.endif
.if feature(X)
 f
.else
 g
.endif
 h
`, Variables{"A": "1"})
	if err != nil {
		t.Fatal(err)
	}
	got := map[string]Outcome{}
	for _, l := range f.Lines {
		if len(l.Words) == 1 && l.Words[0].Text != "global" {
			got[l.Words[0].Text], _ = l.Outcome()
		}
	}
	// The section has the lines a, c and h. It is unknown whether f and g are part of it, because of feature(X). The
	// other branches are not taken, so their lines were not split into words.
	if len(f.Sections[0].Lines) != 3 || f.Sections[0].Lines[1].WordAt(0) != "c" || got["f"] != Skipped || got["g"] != Skipped {
		t.Errorf("outcomes %v, %d lines in the section", got, len(f.Sections[0].Lines))
	}
	for text, want := range map[string]string{".endif": "t.cfg:2:1: .endif without .if", ".if 1\n": "t.cfg:2:1: this .if has no .endif",
		".if (": "t.cfg:2:1: .if:", ".what": "unknown directive", ".else": ".else without"} {
		if _, err := readText(t, "global\n"+text, nil); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: wrong error or none: %v", text, err)
		}
	}
}

func TestSyntaxErrorsNameTheirPosition(t *testing.T) {
	for text, want := range map[string]string{
		"hello world\n":                      `t.cfg:1:1: "hello" is outside of any section`,
		"{\"json\": true}\n":                 "t.cfg:1",
		"global\n log \"never ends\n":        "t.cfg:2:6: the quote that opens here is never closed",
		"frontend\n":                         "t.cfg:1:1: frontend without a name",
		"\x7fELF\x00\x01\x02":                "no configuration",
		"# nothing\n":                        "the input contains no HAProxy configuration",
		"":                                   "the input contains no HAProxy configuration",
		"backend b from none\n server a b:1": "", // reported by Proxies, below
	} {
		_, err := readText(t, text, nil)
		var syntaxError *SyntaxError
		if want == "" {
			if err != nil {
				t.Error(err)
			}
			continue
		}
		if !errors.As(err, &syntaxError) || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: got error %v, want %s", text, err, want)
		}
	}
	config, _ := readText(t, "backend b from none\n server a b:1", nil)
	if _, err := config.Proxies(); err == nil || !strings.Contains(err.Error(), "t.cfg:1") {
		t.Error(err)
	}
}

func TestDirectoryIsReadInNameOrder(t *testing.T) {
	dir := t.TempDir()
	for name, text := range map[string]string{"2.cfg": "backend two\r\n server b b:2\r\n", "1.cfg": "\xef\xbb\xbfbackend one\n\tserver a a:1", "no.txt": "what"} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	r := Reader{}
	f, err := r.ReadPaths(dir)
	if err != nil || len(f.Lines) != 4 || f.Sections[0].Name != "one" || f.Sections[1].Lines[0].WordAt(2) != "b:2" {
		t.Fatal(f, err)
	}
	if _, err := (&Reader{}).ReadPaths(t.TempDir()); err == nil {
		t.Error("an empty directory was read without an error")
	}
}

func TestDefaultsAreInherited(t *testing.T) {
	f, err := readText(t, `defaults one
 timeout connect 1s
 retries 5
 option redispatch
defaults
 timeout connect 2s
defaults three from one
 no option redispatch
backend a from one
 retries 7
backend b
backend c from three
 default-server weight 5 maxconn 9
 server x x:1 weight 7
 default-server no-check maxconn 10
 server y y:1
`, nil)
	if err != nil {
		t.Fatal(err)
	}
	p, err := f.Proxies()
	if err != nil {
		t.Fatal(err)
	}
	a, b, c := p[0], p[1], p[2]
	if a.Settings["timeout connect"].Args[0] != "1s" || a.Settings["retries"].Args[0] != "7" {
		t.Error("backend a does not inherit from the defaults section that it names, or does not override it")
	}
	if c.Settings["timeout connect"].Args[0] != "1s" || !c.Settings["option redispatch"].Negated || a.Settings["option redispatch"].Negated {
		t.Error("backend c does not inherit from defaults three, or \"no\" of three changed defaults one:", c.Settings)
	}
	if b.Settings["retries"].Args[0] != "5" || b.Settings["timeout connect"].Args[0] != "1s" {
		t.Error("backend b does not inherit from the last defaults section above it")
	}
	if x, y := c.Servers[0], c.Servers[1]; x.Options["weight"].Arg() != "7" || x.Options["maxconn"].Arg() != "9" || y.Options["weight"].Arg() != "5" || y.Options["maxconn"].Arg() != "10" {
		t.Error("wrong options of servers after default-server:", c.Servers[0].Options, c.Servers[1].Options)
	}
}

// A line of 2 million bytes is split into its words. The test guards against a splitter whose time grows with
// the square of the length, which would not end in time.
func TestLongLineIsRead(t *testing.T) {
	f, err := readText(t, "global\n log "+strings.Repeat("word ", 400_000)+"\n", nil)
	if err != nil || len(f.Sections[0].Lines[0].Words) != 400_001 {
		t.Fatal(err)
	}
}
