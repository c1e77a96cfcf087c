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

// An Outcome is the result of importing a physical line.
type Outcome string

// The outcomes. A line is PartlyCarried if one part of it was carried over and another was not.
const (
	Carried       Outcome = "carried"
	PartlyCarried Outcome = "partly"
	Skipped       Outcome = "skipped"
	Ignored       Outcome = "ignored"
)

// A Note records one result for a line, or for some of its words. A note with a Key records words that were
// carried over; a note without one records words that were skipped.
type Note struct {
	Subject string `json:"what,omitempty"`   // the words that the note is about; empty: the whole line
	Key     string `json:"key,omitempty"`    // the key of the result to which the words were carried over
	Reason  string `json:"why,omitempty"`    // why the words were skipped
	Advice  string `json:"advice,omitempty"` // the action that the operator can take
}

// A Line is a physical line of an input.
type Line struct {
	Position
	Words          []Word
	UnsetVariables []string // variables without a value
	Notes          []Note
	ignoreReason   string
}

// MarkCarried records that words of the line were carried over to a key of the result. An empty subject stands
// for the whole line.
func (l *Line) MarkCarried(subject, key string) {
	l.Notes = append(l.Notes, Note{Subject: subject, Key: key})
}

// MarkSkipped records that words of the line were not carried over. An empty subject stands for the whole line.
func (l *Line) MarkSkipped(subject, reason, advice string) {
	l.Notes = append(l.Notes, Note{Subject: subject, Reason: reason, Advice: advice})
}

// MarkIgnored records that the line has no effect, so that nothing of it needs to be carried over.
func (l *Line) MarkIgnored(reason string) { l.ignoreReason = reason }

// HasOutcome reports whether anything was recorded for the line.
func (l *Line) HasOutcome() bool { return l.ignoreReason != "" || len(l.Notes) > 0 }

// Outcome summarizes the records of the line; the text is the reason for an ignored line. A line without any
// record counts as skipped.
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
	case skipped == 0 && l.ignoreReason != "":
		return Ignored, l.ignoreReason
	}
	return Skipped, ""
}

// WordAt returns a word of the line by its index, or "" if the line has fewer words.
func (l *Line) WordAt(i int) string {
	if i < len(l.Words) {
		return l.Words[i].Text
	}
	return ""
}

// JoinFrom joins the words of the line from an index on with spaces.
func (l *Line) JoinFrom(i int) string {
	var all []string
	for ; i < len(l.Words); i++ {
		all = append(all, l.Words[i].Text)
	}
	return strings.Join(all, " ")
}

// A Section is a section of the configuration.
type Section struct {
	Kind, Name, From string  // From names the defaults section to inherit from
	Head             *Line   // the line that begins the section
	Lines            []*Line // the lines after the head
}

// KnownSections lists the kinds of sections that the manual describes.
var KnownSections = []string{"global", "defaults", "frontend", "backend", "listen", "peers", "resolvers", "userlist", "cache", "mailers",
	"program", "ring", "http-errors", "fcgi-app", "log-forward", "log-profile", "traces", "crt-store", "acme"}

// Config is a parsed configuration: every physical line of every input, and the sections that they form.
type Config struct {
	Lines    []*Line
	Sections []*Section
}

// A Reader reads one configuration from several inputs, in the order in which they are given.
type Reader struct {
	Variables            Variables // the values of variables; a variable that is not in it has no value
	Version              string    // the HAProxy version that the files were written for; empty: unknown
	config               Config
	section              *Section // the section of the current line
	unknownSectionReason string   // why the section of the current line is unknown; empty: it is known
	branches             []branch // the open .if blocks, innermost last
}

// A branch is the current branch of an open .if block.
type branch struct {
	position Position   // of the .if
	taken    truthValue // whether any branch of the block was taken so far, this one included
	active   truthValue // whether this branch is taken
	reason   string     // why active is unknown
}

// ReadPaths reads files and directories. Of a directory it reads the files that end in .cfg, sorted by name.
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
				return nil, &SyntaxError{Position{File: path, Line: 1}, "the directory has no file that ends in .cfg"}
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

// Read reads one more input. A section ends at the end of its input.
func (r *Reader) Read(name string, text []byte) error {
	r.section, r.unknownSectionReason = nil, ""
	first := len(r.config.Sections)
	text = bytes.TrimPrefix(text, []byte("\xef\xbb\xbf"))
	for n := 1; len(text) > 0; n++ {
		line, rest, _ := bytes.Cut(text, []byte("\n"))
		text = rest
		line = bytes.TrimSuffix(line, []byte("\r"))
		if err := r.readLine(string(line), Position{File: name, Line: n}); err != nil {
			return err
		}
	}
	if len(r.branches) > 0 {
		return &SyntaxError{r.branches[len(r.branches)-1].position, "this .if has no .endif"}
	}
	if len(r.config.Sections) == first && len(r.config.Lines) > 0 && r.hasWords(name) {
		return &SyntaxError{Position{File: name, Line: 1}, "the file contains no section of a HAProxy configuration"}
	}
	return nil
}

// hasWords reports whether an input has a line that is neither blank nor a comment.
func (r *Reader) hasWords(name string) bool {
	for _, l := range r.config.Lines {
		if l.File == name && len(l.Words) > 0 {
			return true
		}
	}
	return false
}

// Finish returns the configuration that was read.
func (r *Reader) Finish() (*Config, error) {
	if len(r.config.Sections) == 0 {
		return nil, &SyntaxError{Position{File: "input", Line: 1}, "the input contains no HAProxy configuration"}
	}
	return &r.config, nil
}

// readLine reads one physical line: it processes a directive, begins a section or adds the line to the current one.
// A line that is not part of the configuration gets its outcome here.
func (r *Reader) readLine(text string, at Position) error {
	l := &Line{Position: at}
	r.config.Lines = append(r.config.Lines, l)
	// In a branch that is not taken, HAProxy evaluates only the directives of conditional blocks.
	if r.branchState() == no && !strings.HasPrefix(strings.TrimLeft(text, " \t"), ".") {
		l.MarkIgnored("in a branch that is not taken")
		return nil
	}
	var err *SyntaxError
	if l.Words, l.UnsetVariables, err = splitWords(text, at, r.Variables); err != nil {
		if !utf8.ValidString(text) && r.section == nil {
			err.Message += "; the line is not valid UTF-8 either, so the input is no configuration"
		}
		return err
	}
	if len(l.Words) == 0 {
		l.MarkIgnored("blank or comment")
		return nil
	}
	if strings.HasPrefix(l.Words[0].Text, ".") {
		return r.readDirective(l)
	}
	switch state := r.branchState(); {
	case state == no:
		l.MarkIgnored("in a branch that is not taken")
		return nil
	case state == unknown:
		l.MarkSkipped("", "it is unknown whether this branch is taken: "+r.unknownBranchReason(),
			"pass --env or --haproxy-version if the condition needs them, or remove the branch from the file")
		if slices.Contains(KnownSections, l.Words[0].Text) {
			r.section, r.unknownSectionReason = nil, fmt.Sprintf("it is unknown whether the section that begins at %v is part of the configuration", l.Position)
		}
		return nil
	}
	word := l.Words[0].Text
	if slices.Contains(KnownSections, word) || r.section == nil && r.unknownSectionReason == "" {
		return r.beginSection(l)
	}
	if r.unknownSectionReason != "" {
		l.MarkSkipped("", r.unknownSectionReason, "remove the branch from the file")
		return nil
	}
	r.section.Lines = append(r.section.Lines, l)
	return nil
}

// beginSection begins the section whose head is the given line.
func (r *Reader) beginSection(l *Line) error {
	kind := l.Words[0].Text
	at := l.Position
	at.Col = l.Words[0].Col
	if !slices.Contains(KnownSections, kind) {
		return &SyntaxError{at, fmt.Sprintf("%q is outside of any section: the input is no HAProxy configuration, or its first section is of an unknown kind", kind)}
	}
	if len(l.UnsetVariables) > 0 {
		r.section, r.unknownSectionReason = nil, fmt.Sprintf("the name of the section at line %d contains variables without a value: %s",
			l.Line, strings.Join(l.UnsetVariables, ", "))
		l.MarkSkipped("", r.unknownSectionReason, "pass --env NAME=VALUE")
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
	r.config.Sections = append(r.config.Sections, s)
	r.section, r.unknownSectionReason = s, ""
	return nil
}

// branchState reports whether the current line is part of the configuration: no if any open branch is not
// taken, unknown if any is unknown.
func (r *Reader) branchState() truthValue {
	t := yes
	for _, b := range r.branches {
		if b.active == no {
			return no
		}
		if b.active == unknown {
			t = unknown
		}
	}
	return t
}

// unknownBranchReason returns the reason of the outermost open branch that is unknown.
func (r *Reader) unknownBranchReason() string {
	for _, b := range r.branches {
		if b.active == unknown {
			return b.reason
		}
	}
	return ""
}

// readDirective processes a line that begins with a dot.
func (r *Reader) readDirective(l *Line) error {
	at := l.Position
	at.Col = l.Words[0].Col
	word := l.Words[0].Text
	top := len(r.branches) - 1
	if top < 0 && (word == ".elif" || word == ".else" || word == ".endif") {
		return &SyntaxError{at, word + " without .if"}
	}
	evaluateLine := func() (truthValue, string, error) {
		if len(l.UnsetVariables) > 0 {
			return unknown, "variables without a value: " + strings.Join(l.UnsetVariables, ", "), nil
		}
		t, reason, err := evaluate(l.JoinFrom(1), r.Variables, r.Version)
		if err != nil {
			return t, "", &SyntaxError{at, fmt.Sprintf("%s: %v", word, err)}
		}
		return t, reason, nil
	}
	switch word {
	case ".if":
		if len(r.branches) >= maxDepth {
			return &SyntaxError{at, fmt.Sprintf(".if blocks are nested deeper than %d", maxDepth)}
		}
		b := branch{position: at}
		if r.branchState() != no { // the condition is not evaluated in a branch that is not taken
			var err error
			if b.active, b.reason, err = evaluateLine(); err != nil {
				return err
			}
		}
		b.taken = b.active
		r.branches = append(r.branches, b)
	case ".elif", ".else":
		b := &r.branches[top]
		t, reason := yes, ""
		all := r.branches
		r.branches = r.branches[:top]
		outerInactive := r.branchState() == no
		r.branches = all
		if word == ".elif" && b.taken != yes && !outerInactive {
			var err error
			if t, reason, err = evaluateLine(); err != nil {
				return err
			}
		}
		switch {
		case b.taken == yes || t == no || outerInactive:
			b.active = no
		case b.taken == unknown || t == unknown:
			b.active = unknown
			if reason != "" {
				b.reason = reason
			}
		default:
			b.active = yes
		}
		if t == yes && b.taken == no {
			b.taken = yes
		} else if t == unknown && b.taken == no {
			b.taken = unknown
		}
	case ".endif":
		r.branches = r.branches[:top]
	case ".alert":
		if r.branchState() == yes {
			l.MarkSkipped("", "HAProxy refuses to start here: "+l.JoinFrom(1),
				"the importer reads the rest of the configuration as if this line were not there")
			return nil
		}
	case ".notice", ".warning", ".diag":
	default:
		if r.branchState() != no {
			return &SyntaxError{at, fmt.Sprintf("unknown directive %q", word)}
		}
	}
	l.MarkIgnored("directive of a conditional block")
	return nil
}
