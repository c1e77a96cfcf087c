package haproxy

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"unicode/utf8"
)

// An Outcome is what became of a physical line.
type Outcome string

// The outcomes. A line of which one part was carried over and another was not is Partly.
const (
	Carried       Outcome = "carried"
	PartlyCarried Outcome = "partly"
	Skipped       Outcome = "skipped"
	Ignored       Outcome = "ignored"
)

// A Note is one thing that became of a line, or of some of its words.
type Note struct {
	Subject string `json:"what,omitempty"` // the words that it is about; empty: the line
	Key     string `json:"key,omitempty"`  // where it was carried to
	Reason  string `json:"why,omitempty"`
	Advice  string `json:"advice,omitempty"` // what the operator can do
}

// A Line is a physical line of an input.
type Line struct {
	Position
	Words          []Word
	UnsetVariables []string // variables without a value
	Notes          []Note
	ignored        string
}

// MarkCarried notes that words of the line were carried over to a key of the result.
func (l *Line) MarkCarried(what, key string) {
	l.Notes = append(l.Notes, Note{Subject: what, Key: key})
}

// MarkSkipped notes that words of the line were not carried over.
func (l *Line) MarkSkipped(what, why, advice string) {
	l.Notes = append(l.Notes, Note{Subject: what, Reason: why, Advice: advice})
}

// MarkIgnored notes that a rule leaves the line out: it means nothing.
func (l *Line) MarkIgnored(why string) { l.ignored = why }

// HasOutcome tells whether anything was noted of the line.
func (l *Line) HasOutcome() bool { return l.ignored != "" || len(l.Notes) > 0 }

// Outcome sums up what was noted. A line that nobody has looked at counts as skipped.
func (l *Line) Outcome() (Outcome, string) {
	carried, skipped := 0, 0
	for _, n := range l.Notes {
		if n.Key != "" {
			carried++
		} else {
			skipped++
		}
	}
	switch {
	case carried > 0 && skipped > 0:
		return PartlyCarried, ""
	case carried > 0:
		return Carried, ""
	case skipped == 0 && l.ignored != "":
		return Ignored, l.ignored
	}
	return Skipped, ""
}

// WordAt is a word of the line, empty where there is none.
func (l *Line) WordAt(i int) string {
	if i < len(l.Words) {
		return l.Words[i].Text
	}
	return ""
}

// JoinFrom are the words from one on.
func (l *Line) JoinFrom(i int) string {
	var all []string
	for ; i < len(l.Words); i++ {
		all = append(all, l.Words[i].Text)
	}
	return strings.Join(all, " ")
}

// A Section is a section of the configuration.
type Section struct {
	Kind, Name, From string
	Head             *Line
	Lines            []*Line // without the head
}

// KnownSections are those that the manual knows.
var KnownSections = []string{"global", "defaults", "frontend", "backend", "listen", "peers", "resolvers", "userlist", "cache", "mailers",
	"program", "ring", "http-errors", "fcgi-app", "log-forward", "log-profile", "traces", "crt-store", "acme"}

// Config is what was read: every physical line of every input, and the sections among them.
type Config struct {
	Lines    []*Line
	Sections []*Section
}

// A Reader reads inputs in their order.
type Reader struct {
	Variables Variables // values of variables; nothing else has one
	Version   string    // of the HAProxy that the files were written for; empty: not told
	files     Config
	section   *Section
	lost      string // why it can't be told in which section a line stands
	ifs       []branch
}

// A branch is an open .if.
type branch struct {
	place Position
	taken truth // whether a branch before this one was taken
	now   truth // whether this one is
	why   string
}

// ReadPaths reads files, and of a folder its files that end in .cfg, in the order of their names.
func (r *Reader) ReadPaths(paths ...string) (*Config, error) {
	for _, path := range paths {
		info, err := os.Stat(path)
		if err != nil {
			return nil, err
		}
		names := []string{path}
		if info.IsDir() {
			if names, err = filepath.Glob(filepath.Join(path, "*.cfg")); err != nil {
				return nil, err
			}
			if len(names) == 0 {
				return nil, &SyntaxError{Position{File: path, Line: 1}, "a folder without a file that ends in .cfg"}
			}
			slices.Sort(names)
		}
		for _, name := range names {
			text, err := os.ReadFile(name)
			if err != nil {
				return nil, err
			}
			if err := r.Read(name, text); err != nil {
				return nil, err
			}
		}
	}
	return r.Finish()
}

// Read takes one more input. Sections do not reach over the end of an input.
func (r *Reader) Read(name string, text []byte) error {
	r.section, r.lost = nil, ""
	first := len(r.files.Sections)
	text = bytes.TrimPrefix(text, []byte("\xef\xbb\xbf"))
	for n := 1; len(text) > 0; n++ {
		line, rest, _ := bytes.Cut(text, []byte("\n"))
		text = rest
		line = bytes.TrimSuffix(line, []byte("\r"))
		if err := r.line(string(line), Position{File: name, Line: n}); err != nil {
			return err
		}
	}
	if len(r.ifs) > 0 {
		return &SyntaxError{r.ifs[len(r.ifs)-1].place, "this .if has no .endif"}
	}
	if len(r.files.Sections) == first && len(r.files.Lines) > 0 && r.meant(name) {
		return &SyntaxError{Position{File: name, Line: 1}, "no section of a HAProxy configuration in it"}
	}
	return nil
}

// meant tells whether an input has any line that means something.
func (r *Reader) meant(name string) bool {
	for _, l := range r.files.Lines {
		if l.File == name && len(l.Words) > 0 {
			return true
		}
	}
	return false
}

// Finish returns what was read.
func (r *Reader) Finish() (*Config, error) {
	if len(r.files.Sections) == 0 {
		return nil, &SyntaxError{Position{File: "input", Line: 1}, "nothing that is a HAProxy configuration"}
	}
	return &r.files, nil
}

func (r *Reader) line(text string, at Position) error {
	l := &Line{Position: at}
	r.files.Lines = append(r.files.Lines, l)
	// In a branch that is not taken HAProxy looks at nothing but the words that end it.
	if r.now() == no && !strings.HasPrefix(strings.TrimLeft(text, " \t"), ".") {
		l.MarkIgnored("in a branch that is not taken")
		return nil
	}
	var err *SyntaxError
	if l.Words, l.UnsetVariables, err = split(text, at, r.Variables); err != nil {
		if !utf8.ValidString(text) && r.section == nil {
			err.Message += "; and bytes that are no text: this is no configuration"
		}
		return err
	}
	if len(l.Words) == 0 {
		l.MarkIgnored("blank or comment")
		return nil
	}
	if strings.HasPrefix(l.Words[0].Text, ".") {
		return r.directive(l)
	}
	switch state := r.now(); {
	case state == no:
		l.MarkIgnored("in a branch that is not taken")
		return nil
	case state == unknown:
		l.MarkSkipped("", "whether this branch is taken can't be told: "+r.whyNow(), "say so, or take the branch out of the file")
		if slices.Contains(KnownSections, l.Words[0].Text) {
			r.section, r.lost = nil, fmt.Sprintf("the section that begins in %v may or may not be there", l.Position)
		}
		return nil
	}
	word := l.Words[0].Text
	if slices.Contains(KnownSections, word) || r.section == nil && r.lost == "" {
		return r.head(l)
	}
	if r.lost != "" {
		l.MarkSkipped("", r.lost, "take the branch out of the file")
		return nil
	}
	r.section.Lines = append(r.section.Lines, l)
	return nil
}

// head begins a section.
func (r *Reader) head(l *Line) error {
	kind := l.Words[0].Text
	at := l.Position
	at.Col = l.Words[0].Col
	if !slices.Contains(KnownSections, kind) {
		return &SyntaxError{at, fmt.Sprintf("%q stands in no section: this is no HAProxy configuration, or its first section is of a kind that is not known here", kind)}
	}
	if len(l.UnsetVariables) > 0 {
		r.section, r.lost = nil, fmt.Sprintf("the section in line %d has a name with variables that have no value: %s", l.Line, strings.Join(l.UnsetVariables, ", "))
		l.MarkSkipped("", r.lost, "pass --env NAME=VALUE")
		return nil
	}
	s := &Section{Kind: kind, Head: l}
	words := l.Words[1:]
	if len(words) > 0 && words[0].Text != "from" {
		s.Name = words[0].Text
		words = words[1:]
	}
	if len(words) > 1 && words[0].Text == "from" {
		s.From = words[1].Text
	}
	if s.Name == "" && slices.Contains([]string{"frontend", "backend", "listen"}, kind) {
		return &SyntaxError{at, kind + " without a name"}
	}
	r.files.Sections = append(r.files.Sections, s)
	r.section, r.lost = s, ""
	return nil
}

// now tells whether lines are read.
func (r *Reader) now() truth {
	t := yes
	for _, b := range r.ifs {
		if b.now == no {
			return no
		}
		if b.now == unknown {
			t = unknown
		}
	}
	return t
}

func (r *Reader) whyNow() string {
	for _, b := range r.ifs {
		if b.now == unknown {
			return b.why
		}
	}
	return ""
}

// directive carries out a line that begins with a dot.
func (r *Reader) directive(l *Line) error {
	at := l.Position
	at.Col = l.Words[0].Col
	word := l.Words[0].Text
	top := len(r.ifs) - 1
	if top < 0 && (word == ".elif" || word == ".else" || word == ".endif") {
		return &SyntaxError{at, word + " without .if"}
	}
	test := func() (truth, string, error) {
		if len(l.UnsetVariables) > 0 {
			return unknown, "variables without a value: " + strings.Join(l.UnsetVariables, ", "), nil
		}
		t, why, err := evaluate(l.JoinFrom(1), r.Variables, r.Version)
		if err != nil {
			return t, "", &SyntaxError{at, fmt.Sprintf("%s: %v", word, err)}
		}
		return t, why, nil
	}
	switch word {
	case ".if":
		if len(r.ifs) >= depthMost {
			return &SyntaxError{at, fmt.Sprintf(".if within .if deeper than %d", depthMost)}
		}
		b := branch{place: at}
		if r.now() != no { // in a branch that is not taken, nothing is asked
			var err error
			if b.now, b.why, err = test(); err != nil {
				return err
			}
		}
		b.taken = b.now
		r.ifs = append(r.ifs, b)
	case ".elif", ".else":
		b := &r.ifs[top]
		t, why := yes, ""
		outer := r.ifs
		r.ifs = r.ifs[:top]
		dead := r.now() == no
		r.ifs = outer
		if word == ".elif" && b.taken != yes && !dead {
			var err error
			if t, why, err = test(); err != nil {
				return err
			}
		}
		switch {
		case b.taken == yes || t == no || dead:
			b.now = no
		case b.taken == unknown || t == unknown:
			b.now = unknown
			if why != "" {
				b.why = why
			}
		default:
			b.now = yes
		}
		if t == yes && b.taken == no {
			b.taken = yes
		} else if t == unknown && b.taken == no {
			b.taken = unknown
		}
	case ".endif":
		r.ifs = r.ifs[:top]
	case ".alert":
		if r.now() == yes {
			l.MarkSkipped("", "HAProxy refuses to start here: "+l.JoinFrom(1), "the rest is read as if it did not")
			return nil
		}
	case ".notice", ".warning", ".diag":
	default:
		if r.now() != no {
			return &SyntaxError{at, fmt.Sprintf("unknown directive %q", word)}
		}
	}
	l.MarkIgnored("a directive of the conditional blocks")
	return nil
}
