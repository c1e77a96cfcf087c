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

// A Problem is one thing that is wrong in a file.
type Problem struct {
	File      string
	Line, Col int
	Text      string
}

func (p Problem) String() string { return fmt.Sprintf("%s:%d:%d: %s", p.File, p.Line, p.Col, p.Text) }

// Problems is all that is wrong in a file, in its order.
type Problems []Problem

func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, x := range p {
		lines[i] = x.String()
	}
	return strings.Join(lines, "\n")
}

// A Parser reads JSON with comments and trailing commas, keeps where everything stands, and collects what
// is wrong instead of ending at the first.
type Parser struct {
	file     string
	starts   []int // of lines
	problems Problems
}

// Parse reads a whole text, which has to be one object.
func Parse(file string, text []byte) (*Parser, *Object) {
	r := &Parser{file: file, starts: []int{0}}
	for i, b := range text {
		if b == '\n' {
			r.starts = append(r.starts, i+1)
		}
	}
	v, err := hujson.Parse(text)
	if err != nil {
		r.syntax(err)
		return r, r.empty(0)
	}
	return r, r.object(v, "the file")
}

// syntax turns the parser's message, which names line and column in its own way, into a problem.
func (r *Parser) syntax(err error) {
	text := strings.TrimPrefix(err.Error(), "hujson: ")
	var line, col int
	if n, _ := fmt.Sscanf(text, "line %d, column %d:", &line, &col); n == 2 {
		_, text, _ = strings.Cut(text, ": ")
	} else {
		line, col = 1, 1
	}
	r.problems = append(r.problems, Problem{r.file, line, col, text})
}

// AddProblem notes a problem at an offset.
func (r *Parser) AddProblem(at int, format string, args ...any) {
	line := sort.SearchInts(r.starts, at+1)
	r.problems = append(r.problems, Problem{r.file, line, at - r.starts[line-1] + 1, fmt.Sprintf(format, args...)})
}

// Line is the line of an offset, from 1.
func (r *Parser) Line(at int) int { return sort.SearchInts(r.starts, at+1) }

// Err is what is wrong, in the file's order, or nil.
func (r *Parser) Err() error {
	if len(r.problems) == 0 {
		return nil
	}
	slices.SortStableFunc(r.problems, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Col, b.Col))
	})
	return r.problems
}

// An Object is a JSON object that is being read. A key that nobody asks for is a problem.
type Object struct {
	r       *Parser
	Offset  int
	names   []string
	members map[string]hujson.ObjectMember
	asked   map[string]bool
	absent  bool
}

func (r *Parser) empty(at int) *Object {
	return &Object{r: r, Offset: at, members: map[string]hujson.ObjectMember{}, asked: map[string]bool{}, absent: true}
}

func (r *Parser) object(v hujson.Value, what string) *Object {
	o := r.empty(v.StartOffset)
	raw, ok := v.Value.(*hujson.Object)
	if !ok {
		r.AddProblem(v.StartOffset, "%s has to be an object { }", what)
		return o
	}
	o.absent = false
	for _, m := range raw.Members {
		name := m.Name.Value.(hujson.Literal).String()
		if first, twice := o.members[name]; twice {
			r.AddProblem(m.Name.StartOffset, "%q stands here again; line %d has it already", name, r.Line(first.Name.StartOffset))
			continue
		}
		o.names = append(o.names, name)
		o.members[name] = m
	}
	return o
}

// Names are the object's keys, in the file's order.
func (o *Object) Names() []string { return o.names }

// OffsetOf is the offset of a key's value, or of the object where it has none.
func (o *Object) OffsetOf(name string) int {
	if m, ok := o.members[name]; ok {
		return m.Value.StartOffset
	}
	return o.Offset
}

// Has tells whether the object has a key.
func (o *Object) Has(name string) bool { _, ok := o.members[name]; return ok }

// ReportUnknownKeys notes every key that nobody asked for, with the nearest one that is known.
func (o *Object) ReportUnknownKeys() {
	for _, name := range o.names {
		if o.asked[name] {
			continue
		}
		near, best := "", max(3, len(name)/2+1)
		for _, k := range sortedKeys(o.asked) {
			if d := levenshtein.ComputeDistance(name, k); d < best {
				near, best = k, d
			}
		}
		hint := ""
		if near != "" {
			hint = fmt.Sprintf("; did you mean %q?", near)
		}
		o.r.AddProblem(o.members[name].Name.StartOffset, "unknown key %q%s", name, hint)
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

// value finds a key's value; need says that it may not be missing. null is a blank that somebody has left to
// be filled in.
func (o *Object) value(name string, need bool) (hujson.Value, bool) {
	o.asked[name] = true
	m, ok := o.members[name]
	if !ok && need && !o.absent {
		o.r.AddProblem(o.Offset, "%q is missing", name)
	}
	if l, isLiteral := m.Value.Value.(hujson.Literal); ok && isLiteral && l.Kind() == 'n' {
		o.r.AddProblem(m.Value.StartOffset, "%q is not filled in yet", name)
		return m.Value, false
	}
	return m.Value, ok
}

// MarkKnown leaves a key to somebody else.
func (o *Object) MarkKnown(name string) { o.asked[name] = true }

// Object reads a key that holds an object; without it an empty one is returned, and its own keys that
// have to be there are not asked for.
func (o *Object) Object(name string, need bool) *Object {
	v, ok := o.value(name, need)
	if !ok {
		return o.r.empty(o.Offset)
	}
	return o.r.object(v, fmt.Sprintf("%q", name))
}

// Each calls f for every element of a list.
func (o *Object) Each(name string, need bool, f func(i int, at int, v hujson.Value)) {
	v, ok := o.value(name, need)
	if !ok {
		return
	}
	list, ok := v.Value.(*hujson.Array)
	if !ok {
		o.r.AddProblem(v.StartOffset, "%q has to be a list [ ]", name)
		return
	}
	for i, e := range list.Elements {
		f(i, e.StartOffset, e)
	}
}

// Objects calls f for every object of a list.
func (o *Object) Objects(name string, need bool, f func(i int, e *Object)) {
	o.Each(name, need, func(i, _ int, v hujson.Value) {
		f(i, o.r.object(v, fmt.Sprintf("element %d of %q", i+1, name)))
	})
}

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
func (o *Object) Text(name, missing string, need bool) string {
	v, ok := o.value(name, need)
	if !ok {
		return missing
	}
	l, ok := literal(v, '"')
	if !ok {
		o.r.AddProblem(v.StartOffset, "%q has to be text in quotes", name)
		return missing
	}
	return l.String()
}

// Texts reads a list of strings.
func (o *Object) Texts(name string, need bool) (all []string) {
	o.Each(name, need, func(i, at int, v hujson.Value) {
		if l, ok := literal(v, '"'); ok {
			all = append(all, l.String())
		} else {
			o.r.AddProblem(at, "%s[%d] has to be text in quotes", name, i)
		}
	})
	return all
}

// Bool reads true or false.
func (o *Object) Bool(name string, missing bool) bool {
	v, ok := o.value(name, false)
	if !ok {
		return missing
	}
	l, ok := literal(v, 't')
	if !ok {
		o.r.AddProblem(v.StartOffset, "%q has to be true or false", name)
		return missing
	}
	return l.Bool()
}

// Number reads a number within bounds.
func (o *Object) Number(name string, missing, least, most float64, need bool) float64 {
	v, ok := o.value(name, need)
	if !ok {
		return missing
	}
	return o.number(v, name, missing, least, most)
}

func (o *Object) number(v hujson.Value, name string, missing, least, most float64) float64 {
	l, ok := literal(v, '0')
	if !ok {
		o.r.AddProblem(v.StartOffset, "%q has to be a number without a unit", name)
		return missing
	}
	if x := l.Float(); x >= least && x <= most {
		return x
	}
	o.r.AddProblem(v.StartOffset, "%q is %s; it has to lie within %g to %g", name, l, least, most)
	return missing
}

// Numbers reads a list of numbers.
func (o *Object) Numbers(name string, least, most float64) (all []float64) {
	o.Each(name, false, func(i, _ int, v hujson.Value) {
		all = append(all, o.number(v, fmt.Sprintf("%s[%d]", name, i), least, least, most))
	})
	return all
}

// Int reads a whole number within bounds.
func (o *Object) Int(name string, missing, least, most int, need bool) int {
	x := o.Number(name, float64(missing), float64(least), float64(most), need)
	if x != math.Trunc(x) {
		o.r.AddProblem(o.OffsetOf(name), "%q is %g; it has to be a whole number", name, x)
		return missing
	}
	return int(x)
}

// Duration reads a duration with its unit ("250ms", "1.5s", "2m") within bounds.
func (o *Object) Duration(name string, missing, least, most time.Duration, need bool) time.Duration {
	v, ok := o.value(name, need)
	if !ok {
		return missing
	}
	l, ok := literal(v, '"')
	if !ok {
		o.r.AddProblem(v.StartOffset, "%q has to be a duration with its unit in quotes, as in \"250ms\" or \"1.5s\"", name)
		return missing
	}
	d, err := time.ParseDuration(l.String())
	switch {
	case err != nil:
		o.r.AddProblem(v.StartOffset, "%q is %s; a duration has a unit (ms, s, m, h), as in \"250ms\" or \"1.5s\"", name, l)
	case d < least || d > most:
		o.r.AddProblem(v.StartOffset, "%q is %v; it has to lie within %v to %v", name, d, least, most)
	default:
		return d
	}
	return missing
}

var rateUnits = map[string]float64{"B/s": 1e-3, "kB/s": 1, "MB/s": 1e3, "kbit/s": 1.0 / 8, "Mbit/s": 1e3 / 8, "Gbit/s": 1e6 / 8}

func (o *Object) rate(v hujson.Value, name string) float64 {
	l, ok := literal(v, '"')
	if ok {
		text := l.String()
		cut := strings.IndexFunc(text, func(r rune) bool { return (r < '0' || r > '9') && r != '.' })
		if cut > 0 {
			x, err := strconv.ParseFloat(text[:cut], 64)
			unit, known := rateUnits[strings.TrimSpace(text[cut:])]
			if err == nil && known && x > 0 {
				return x * unit
			}
		}
	}
	o.r.AddProblem(v.StartOffset, "%q has to be a rate with its unit in quotes (B/s, kB/s, MB/s, kbit/s, Mbit/s, Gbit/s), as in \"700kB/s\"", name)
	return 0
}

// Rate reads a rate with its unit, in kB a second.
func (o *Object) Rate(name string, missing float64, need bool) float64 {
	v, ok := o.value(name, need)
	if !ok {
		return missing
	}
	return o.rate(v, name)
}

// Rates reads a list of rates.
func (o *Object) Rates(name string, need bool) (all []float64) {
	o.Each(name, need, func(i, _ int, v hujson.Value) { all = append(all, o.rate(v, fmt.Sprintf("%s[%d]", name, i))) })
	return all
}

// Bytes reads a size with its unit ("64kB", "8MB"); k is 1024.
func (o *Object) Bytes(name string, missing, least, most int) int {
	v, ok := o.value(name, false)
	if !ok {
		return missing
	}
	if l, isText := literal(v, '"'); isText {
		text := l.String()
		for unit, by := range map[string]int{"kB": 1 << 10, "MB": 1 << 20, "GB": 1 << 30} {
			n, found := strings.CutSuffix(text, unit)
			if x, err := strconv.Atoi(strings.TrimSpace(n)); found && err == nil {
				if x*by < least || x*by > most {
					o.r.AddProblem(v.StartOffset, "%q is %s; it has to lie within %dkB to %dkB", name, text, least>>10, most>>10)
					return missing
				}
				return x * by
			}
		}
	}
	o.r.AddProblem(v.StartOffset, "%q has to be a size with its unit in quotes (kB, MB, GB), as in \"64kB\"", name)
	return missing
}
