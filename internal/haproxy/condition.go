package haproxy

import (
	"fmt"
	"strconv"
	"strings"
)

// A truthValue is the value of a condition in three-valued logic. It is unknown where the condition depends on
// facts that the input does not contain, such as the build of HAProxy.
type truthValue int

const (
	no truthValue = iota
	yes
	unknown
)

func not(t truthValue) truthValue {
	switch t {
	case yes:
		return no
	case no:
		return yes
	}
	return unknown
}

func truthOf(b bool) truthValue {
	if b {
		return yes
	}
	return no
}

// A conditionParser parses and evaluates one condition (section 2.6 of the manual).
type conditionParser struct {
	text    string
	pos     int
	env     Variables
	version string   // the HAProxy version that the file was written for; empty: unknown
	reasons []string // why predicates are unknown
	depth   int
}

// maxDepth limits the nesting of parentheses in a condition, and of .if blocks.
const maxDepth = 64

// evaluate evaluates a condition. The reason lists why predicates of it are unknown.
func evaluate(text string, env Variables, version string) (t truthValue, reason string, err error) {
	c := &conditionParser{text: text, env: env, version: version}
	if t, err = c.parseOr(); err != nil {
		return unknown, "", err
	}
	if c.skipSpace(); c.pos < len(c.text) {
		return unknown, "", fmt.Errorf("unexpected %q after the condition", c.text[c.pos:])
	}
	return t, strings.Join(c.reasons, "; "), nil
}

func (c *conditionParser) skipSpace() {
	for c.pos < len(c.text) && (c.text[c.pos] == ' ' || c.text[c.pos] == '\t') {
		c.pos++
	}
}

func (c *conditionParser) accept(token string) bool {
	c.skipSpace()
	if strings.HasPrefix(c.text[c.pos:], token) {
		c.pos += len(token)
		return true
	}
	return false
}

func (c *conditionParser) parseOr() (truthValue, error) {
	t, err := c.parseAnd()
	for err == nil && c.accept("||") {
		var u truthValue
		if u, err = c.parseAnd(); t == yes || u == yes {
			t = yes
		} else if t == unknown || u == unknown {
			t = unknown
		}
	}
	return t, err
}

func (c *conditionParser) parseAnd() (truthValue, error) {
	t, err := c.parseTerm()
	for err == nil && c.accept("&&") {
		var u truthValue
		if u, err = c.parseTerm(); t == no || u == no {
			t = no
		} else if t == unknown || u == unknown {
			t = unknown
		}
	}
	return t, err
}

func (c *conditionParser) parseTerm() (truthValue, error) {
	if c.depth++; c.depth > maxDepth {
		return unknown, fmt.Errorf("parentheses are nested deeper than %d", maxDepth)
	}
	defer func() { c.depth-- }()
	if c.accept("!") {
		t, err := c.parseTerm()
		return not(t), err
	}
	if c.accept("(") {
		t, err := c.parseOr()
		if err == nil && !c.accept(")") {
			err = fmt.Errorf("a parenthesis is never closed")
		}
		return t, err
	}
	c.skipSpace()
	start := c.pos
	for c.pos < len(c.text) && (isNameByte(c.text[c.pos]) || c.text[c.pos] == '-' && c.pos == start) {
		c.pos++
	}
	word := c.text[start:c.pos]
	if n, err := strconv.ParseInt(word, 10, 64); err == nil {
		return truthOf(n != 0), nil
	}
	if word == "" {
		if start == len(c.text) {
			return no, nil // an empty condition is false
		}
		return unknown, fmt.Errorf("%q is no condition", c.text[start:])
	}
	if !c.accept("(") {
		return unknown, fmt.Errorf("%q is no condition: a predicate needs its arguments in parentheses", word)
	}
	end := strings.IndexByte(c.text[c.pos:], ')')
	if end < 0 {
		return unknown, fmt.Errorf("the parenthesis after %s is never closed", word)
	}
	args := strings.Split(c.text[c.pos:c.pos+end], ",")
	for i := range args {
		args[i] = strings.TrimSpace(args[i])
	}
	c.pos += end + 1
	return c.evaluatePredicate(word, args)
}

func (c *conditionParser) evaluatePredicate(name string, args []string) (truthValue, error) {
	argumentCounts := map[string]int{"streq": 2, "strneq": 2, "strstr": 2}
	n, known := argumentCounts[name]
	if !known {
		n = 1
	}
	if len(args) != n {
		return unknown, fmt.Errorf("%s needs %d arguments", name, n)
	}
	switch name {
	case "defined":
		_, set := c.env[args[0]]
		return truthOf(set), nil
	case "streq":
		return truthOf(args[0] == args[1]), nil
	case "strneq":
		return truthOf(args[0] != args[1]), nil
	case "strstr":
		return truthOf(strings.Contains(args[0], args[1])), nil
	case "version_atleast", "version_before":
		if c.version == "" {
			c.reasons = append(c.reasons, name+" needs --haproxy-version")
			return unknown, nil
		}
		atLeast, err := versionAtLeast(c.version, args[0])
		if err != nil {
			return unknown, err
		}
		return truthOf(atLeast == (name == "version_atleast")), nil
	case "feature", "enabled", "openssl_version_atleast", "openssl_version_before", "ssllib_name_startswith", "awslc_api_atleast",
		"awslc_api_before":
		c.reasons = append(c.reasons, name+" depends on the build of HAProxy")
		return unknown, nil
	}
	c.reasons = append(c.reasons, "the predicate "+name+" is unknown to the importer")
	return unknown, nil
}

// versionAtLeast compares two versions number by number, so that 2.10 is later than 2.9.
func versionAtLeast(version, minimum string) (bool, error) {
	a, b := strings.Split(version, "."), strings.Split(minimum, ".")
	for i := range max(len(a), len(b)) {
		var x, y int
		var err error
		if i < len(a) {
			if x, err = strconv.Atoi(leadingDigits(a[i])); err != nil {
				return false, fmt.Errorf("%q is no version", version)
			}
		}
		if i < len(b) {
			if y, err = strconv.Atoi(leadingDigits(b[i])); err != nil {
				return false, fmt.Errorf("%q is no version", minimum)
			}
		}
		if x != y {
			return x > y, nil
		}
	}
	return true, nil
}

// leadingDigits returns the digits at the start of a part of a version: "0-dev3" counts as 0.
func leadingDigits(s string) string { return s[:len(s)-len(strings.TrimLeft(s, "0123456789"))] }
