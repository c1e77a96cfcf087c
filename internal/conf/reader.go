package conf

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/agnivade/levenshtein"
	"github.com/tailscale/hujson"
)

// A Problem is one mistake in a configuration file.
type Problem struct {
	File      string
	Line, Col int
	Text      string
}

func (p Problem) String() string { return fmt.Sprintf("%s:%d:%d: %s", p.File, p.Line, p.Col, p.Text) }

// Problems lists all mistakes in a file, in file order.
type Problems []Problem

func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, x := range p {
		lines[i] = x.String()
	}
	return strings.Join(lines, "\n")
}

// A Parser parses JSON with comments and trailing commas. It keeps the offset of every value, and collects all
// problems instead of stopping at the first.
type Parser struct {
	file       string
	lineStarts []int // the offset at which each line begins
	problems   Problems
}

// Parse parses a whole text, which has to be one object. Problems are available from Err; the returned object is
// empty if the text can't be parsed.
func Parse(file string, text []byte) (*Parser, *Object) {
	p := &Parser{file: file, lineStarts: []int{0}}
	for i, b := range text {
		if b == '\n' {
			p.lineStarts = append(p.lineStarts, i+1)
		}
	}
	v, err := hujson.Parse(text)
	if err != nil {
		p.addSyntaxError(err)
		return p, p.emptyObject(0)
	}
	return p, p.newObject(v, "the file")
}

// addSyntaxError converts an error of the hujson package into a problem. The error's text contains the line and
// the column, which move into the fields of the problem.
func (p *Parser) addSyntaxError(err error) {
	text := strings.TrimPrefix(err.Error(), "hujson: ")
	var line, col int
	if n, _ := fmt.Sscanf(text, "line %d, column %d:", &line, &col); n == 2 {
		_, text, _ = strings.Cut(text, ": ")
	} else {
		line, col = 1, 1
	}
	p.problems = append(p.problems, Problem{p.file, line, col, text})
}

// AddProblem records a problem at an offset.
func (p *Parser) AddProblem(offset int, format string, args ...any) {
	line := sort.SearchInts(p.lineStarts, offset+1)
	p.problems = append(p.problems, Problem{p.file, line, offset - p.lineStarts[line-1] + 1, fmt.Sprintf(format, args...)})
}

// Line returns the line of an offset, counted from 1.
func (p *Parser) Line(offset int) int { return sort.SearchInts(p.lineStarts, offset+1) }

// Err returns the problems as Problems, in file order, or nil if there are none.
func (p *Parser) Err() error {
	if len(p.problems) == 0 {
		return nil
	}
	slices.SortStableFunc(p.problems, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Col, b.Col))
	})
	return p.problems
}

// An Object is a JSON object whose keys are read one by one. ReportUnknownKeys reports the keys that were not read.
type Object struct {
	parser  *Parser
	Offset  int
	names   []string
	members map[string]hujson.ObjectMember
	known   map[string]bool // the keys that were read or marked as known
	absent  bool            // the file has no object here, so its required keys are not reported as missing
}

func (p *Parser) emptyObject(offset int) *Object {
	return &Object{parser: p, Offset: offset, members: map[string]hujson.ObjectMember{}, known: map[string]bool{}, absent: true}
}

// newObject returns the object that a value holds. If the value is no object, it records a problem, in which
// description stands for the value, and returns an empty object.
func (p *Parser) newObject(v hujson.Value, description string) *Object {
	o := p.emptyObject(v.StartOffset)
	raw, ok := v.Value.(*hujson.Object)
	if !ok {
		p.AddProblem(v.StartOffset, "%s has to be an object { }", description)
		return o
	}
	o.absent = false
	for _, m := range raw.Members {
		name := m.Name.Value.(hujson.Literal).String()
		if first, duplicate := o.members[name]; duplicate {
			p.AddProblem(m.Name.StartOffset, "duplicate key %q; line %d has it already", name, p.Line(first.Name.StartOffset))
			continue
		}
		o.names = append(o.names, name)
		o.members[name] = m
	}
	return o
}

// Names returns the keys of the object, in file order.
func (o *Object) Names() []string { return o.names }

// OffsetOf returns the offset of a key's value, or of the object if it does not have the key.
func (o *Object) OffsetOf(name string) int {
	if m, ok := o.members[name]; ok {
		return m.Value.StartOffset
	}
	return o.Offset
}

// Has reports whether the object has a key.
func (o *Object) Has(name string) bool { _, ok := o.members[name]; return ok }

// ReportUnknownKeys records a problem for every key that is not known, and suggests the most similar known key.
func (o *Object) ReportUnknownKeys() {
	for _, name := range o.names {
		if o.known[name] {
			continue
		}
		nearest, minDistance := "", max(3, len(name)/2+1)
		for _, k := range sortedKeys(o.known) {
			if d := levenshtein.ComputeDistance(name, k); d < minDistance {
				nearest, minDistance = k, d
			}
		}
		hint := ""
		if nearest != "" {
			hint = fmt.Sprintf("; did you mean %q?", nearest)
		}
		o.parser.AddProblem(o.members[name].Name.StartOffset, "unknown key %q%s", name, hint)
	}
}

func sortedKeys(m map[string]bool) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// lookup returns the value of a key and marks the key as known. It records a problem if a required key is missing,
// or if the value is null: the importer writes null for values that the operator has to fill in.
func (o *Object) lookup(name string, required bool) (hujson.Value, bool) {
	o.known[name] = true
	m, ok := o.members[name]
	if !ok && required && !o.absent {
		o.parser.AddProblem(o.Offset, "%q is missing", name)
	}
	if l, isLiteral := m.Value.Value.(hujson.Literal); ok && isLiteral && l.Kind() == 'n' {
		o.parser.AddProblem(m.Value.StartOffset, "%q is not filled in yet", name)
		return m.Value, false
	}
	return m.Value, ok
}

// MarkKnown marks a key as known without reading it, for a key that other code reads.
func (o *Object) MarkKnown(name string) { o.known[name] = true }

// Object reads a key that holds an object. If the key is absent, it returns an empty object, whose required keys
// are not reported as missing.
func (o *Object) Object(name string, required bool) *Object {
	v, ok := o.lookup(name, required)
	if !ok {
		return o.parser.emptyObject(o.Offset)
	}
	return o.parser.newObject(v, fmt.Sprintf("%q", name))
}

// Each calls f for every element of a list.
func (o *Object) Each(name string, required bool, f func(i int, offset int, v hujson.Value)) {
	v, ok := o.lookup(name, required)
	if !ok {
		return
	}
	list, ok := v.Value.(*hujson.Array)
	if !ok {
		o.parser.AddProblem(v.StartOffset, "%q has to be a list [ ]", name)
		return
	}
	for i, e := range list.Elements {
		f(i, e.StartOffset, e)
	}
}

// Objects calls f for every object of a list.
func (o *Object) Objects(name string, required bool, f func(i int, e *Object)) {
	o.Each(name, required, func(i, _ int, v hujson.Value) {
		f(i, o.parser.newObject(v, fmt.Sprintf("element %d of %q", i+1, name)))
	})
}

// literal returns a value as a literal and reports whether it is of a kind: '"' for a string, '0' for a number,
// 't' for true or false.
func literal(v hujson.Value, kind byte) (hujson.Literal, bool) {
	l, ok := v.Value.(hujson.Literal)
	if !ok {
		return l, false
	}
	got := byte(l.Kind())
	if got == 'f' {
		got = 't'
	}
	return l, got == kind
}

// Text reads a string.
func (o *Object) Text(name, fallback string, required bool) string {
	v, ok := o.lookup(name, required)
	if !ok {
		return fallback
	}
	l, ok := literal(v, '"')
	if !ok {
		o.parser.AddProblem(v.StartOffset, "%q has to be text in quotes", name)
		return fallback
	}
	return l.String()
}

// Texts reads a list of strings.
func (o *Object) Texts(name string, required bool) (all []string) {
	o.Each(name, required, func(i, offset int, v hujson.Value) {
		if l, ok := literal(v, '"'); ok {
			all = append(all, l.String())
		} else {
			o.parser.AddProblem(offset, "%s[%d] has to be text in quotes", name, i)
		}
	})
	return all
}

// Bool reads true or false.
func (o *Object) Bool(name string, fallback bool) bool {
	v, ok := o.lookup(name, false)
	if !ok {
		return fallback
	}
	l, ok := literal(v, 't')
	if !ok {
		o.parser.AddProblem(v.StartOffset, "%q has to be true or false", name)
		return fallback
	}
	return l.Bool()
}

// Number reads a number from lower to upper, both included.
func (o *Object) Number(name string, fallback, lower, upper float64, required bool) float64 {
	v, ok := o.lookup(name, required)
	if !ok {
		return fallback
	}
	return o.parseNumber(v, name, fallback, lower, upper)
}

func (o *Object) parseNumber(v hujson.Value, name string, fallback, lower, upper float64) float64 {
	l, ok := literal(v, '0')
	if !ok {
		o.parser.AddProblem(v.StartOffset, "%q has to be a number without a unit", name)
		return fallback
	}
	if x := l.Float(); x >= lower && x <= upper {
		return x
	}
	o.parser.AddProblem(v.StartOffset, "%q is %s; it has to lie within %g to %g", name, l, lower, upper)
	return fallback
}

// Numbers reads a list of numbers from lower to upper, both included.
func (o *Object) Numbers(name string, lower, upper float64) (all []float64) {
	o.Each(name, false, func(i, _ int, v hujson.Value) {
		all = append(all, o.parseNumber(v, fmt.Sprintf("%s[%d]", name, i), lower, lower, upper))
	})
	return all
}

// Int reads a whole number from lower to upper, both included.
func (o *Object) Int(name string, fallback, lower, upper int, required bool) int {
	x := o.Number(name, float64(fallback), float64(lower), float64(upper), required)
	if x != math.Trunc(x) {
		o.parser.AddProblem(o.OffsetOf(name), "%q is %g; it has to be a whole number", name, x)
		return fallback
	}
	return int(x)
}

// Duration reads a duration with a unit ("250ms", "1.5s", "2m"), from lower to upper, both included.
func (o *Object) Duration(name string, fallback, lower, upper time.Duration, required bool) time.Duration {
	v, ok := o.lookup(name, required)
	if !ok {
		return fallback
	}
	l, ok := literal(v, '"')
	if !ok {
		o.parser.AddProblem(v.StartOffset, "%q has to be a duration with its unit in quotes, as in \"250ms\" or \"1.5s\"", name)
		return fallback
	}
	d, err := time.ParseDuration(l.String())
	switch {
	case err != nil:
		o.parser.AddProblem(v.StartOffset, "%q is %s; a duration has a unit (ms, s, m, h), as in \"250ms\" or \"1.5s\"", name, l)
	case d < lower || d > upper:
		o.parser.AddProblem(v.StartOffset, "%q is %v; it has to lie within %v to %v", name, d, lower, upper)
	default:
		return d
	}
	return fallback
}

// rateUnits maps each unit of a rate to its size in kB/s.
var rateUnits = map[string]float64{"B/s": 1e-3, "kB/s": 1, "MB/s": 1e3, "kbit/s": 1.0 / 8, "Mbit/s": 1e3 / 8, "Gbit/s": 1e6 / 8}

func (o *Object) parseRate(v hujson.Value, name string) float64 {
	l, ok := literal(v, '"')
	if ok {
		text := l.String()
		cut := strings.IndexFunc(text, func(c rune) bool { return (c < '0' || c > '9') && c != '.' })
		if cut > 0 {
			x, err := strconv.ParseFloat(text[:cut], 64)
			unit, known := rateUnits[strings.TrimSpace(text[cut:])]
			if err == nil && known && x > 0 {
				return x * unit
			}
		}
	}
	o.parser.AddProblem(v.StartOffset, "%q has to be a rate with its unit in quotes (B/s, kB/s, MB/s, kbit/s, Mbit/s, Gbit/s), as in \"700kB/s\"", name)
	return 0
}

// Rate reads a rate with a unit, and returns it in kB/s.
func (o *Object) Rate(name string, fallback float64, required bool) float64 {
	v, ok := o.lookup(name, required)
	if !ok {
		return fallback
	}
	return o.parseRate(v, name)
}

// Rates reads a list of rates with units, and returns them in kB/s.
func (o *Object) Rates(name string, required bool) (all []float64) {
	o.Each(name, required, func(i, _ int, v hujson.Value) { all = append(all, o.parseRate(v, fmt.Sprintf("%s[%d]", name, i))) })
	return all
}

// Bytes reads a size with a unit ("64kB", "8MB"), from lower to upper, both included. The units are powers of
// 1024.
func (o *Object) Bytes(name string, fallback, lower, upper int) int {
	v, ok := o.lookup(name, false)
	if !ok {
		return fallback
	}
	if l, isText := literal(v, '"'); isText {
		text := l.String()
		for unit, by := range map[string]int{"kB": 1 << 10, "MB": 1 << 20, "GB": 1 << 30} {
			n, found := strings.CutSuffix(text, unit)
			if x, err := strconv.Atoi(strings.TrimSpace(n)); found && err == nil {
				if x*by < lower || x*by > upper {
					o.parser.AddProblem(v.StartOffset, "%q is %s; it has to lie within %dkB to %dkB", name, text, lower>>10, upper>>10)
					return fallback
				}
				return x * by
			}
		}
	}
	o.parser.AddProblem(v.StartOffset, "%q has to be a size with its unit in quotes (kB, MB, GB), as in \"64kB\"", name)
	return fallback
}
