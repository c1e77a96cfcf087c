package haproxy

import (
	"fmt"
	"strconv"
	"strings"
)

// A truth is what can be told of a condition.
type truth int

const (
	no truth = iota
	yes
	unknown
)

func not(t truth) truth {
	switch t {
	case yes:
		return no
	case no:
		return yes
	}
	return unknown
}

func truthOf(b bool) truth {
	if b {
		return yes
	}
	return no
}

// A condition is being evaluated (section 2.6 of the manual).
type condition struct {
	s       string
	at      int
	env     Variables
	version string   // of the HAProxy that the file was written for; empty: not told
	why     []string // what could not be told
	depth   int
}

// depthMost bounds brackets within brackets.
const depthMost = 64

// evaluate tells a condition's truth and, where that can't be told, why.
func evaluate(text string, env Variables, version string) (t truth, why string, err error) {
	c := &condition{s: text, env: env, version: version}
	if t, err = c.or(); err != nil {
		return unknown, "", err
	}
	if c.space(); c.at < len(c.s) {
		return unknown, "", fmt.Errorf("%q is left over", c.s[c.at:])
	}
	return t, strings.Join(c.why, "; "), nil
}

func (c *condition) space() {
	for c.at < len(c.s) && (c.s[c.at] == ' ' || c.s[c.at] == '\t') {
		c.at++
	}
}

func (c *condition) take(token string) bool {
	c.space()
	if strings.HasPrefix(c.s[c.at:], token) {
		c.at += len(token)
		return true
	}
	return false
}

func (c *condition) or() (truth, error) {
	t, err := c.and()
	for err == nil && c.take("||") {
		var u truth
		if u, err = c.and(); t == yes || u == yes {
			t = yes
		} else if t == unknown || u == unknown {
			t = unknown
		}
	}
	return t, err
}

func (c *condition) and() (truth, error) {
	t, err := c.term()
	for err == nil && c.take("&&") {
		var u truth
		if u, err = c.term(); t == no || u == no {
			t = no
		} else if t == unknown || u == unknown {
			t = unknown
		}
	}
	return t, err
}

func (c *condition) term() (truth, error) {
	if c.depth++; c.depth > depthMost {
		return unknown, fmt.Errorf("brackets deeper than %d", depthMost)
	}
	defer func() { c.depth-- }()
	if c.take("!") {
		t, err := c.term()
		return not(t), err
	}
	if c.take("(") {
		t, err := c.or()
		if err == nil && !c.take(")") {
			err = fmt.Errorf("a bracket never closes")
		}
		return t, err
	}
	c.space()
	from := c.at
	for c.at < len(c.s) && (nameByte(c.s[c.at]) || c.s[c.at] == '-' && c.at == from) {
		c.at++
	}
	word := c.s[from:c.at]
	if n, err := strconv.ParseInt(word, 10, 64); err == nil {
		return truthOf(n != 0), nil
	}
	if word == "" {
		if from == len(c.s) {
			return no, nil // an empty condition is false
		}
		return unknown, fmt.Errorf("%q is no condition", c.s[from:])
	}
	if !c.take("(") {
		return unknown, fmt.Errorf("%q is no condition", word)
	}
	close := strings.IndexByte(c.s[c.at:], ')')
	if close < 0 {
		return unknown, fmt.Errorf("the bracket after %s never closes", word)
	}
	args := strings.Split(c.s[c.at:c.at+close], ",")
	for i := range args {
		args[i] = strings.TrimSpace(args[i])
	}
	c.at += close + 1
	return c.predicate(word, args)
}

func (c *condition) predicate(name string, args []string) (truth, error) {
	need := map[string]int{"streq": 2, "strneq": 2, "strstr": 2}
	n, known := need[name]
	if !known {
		n = 1
	}
	if len(args) != n {
		return unknown, fmt.Errorf("%s wants %d arguments", name, n)
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
			c.why = append(c.why, name+" needs --haproxy-version")
			return unknown, nil
		}
		atLeast, err := laterOrSame(c.version, args[0])
		if err != nil {
			return unknown, err
		}
		return truthOf(atLeast == (name == "version_atleast")), nil
	case "feature", "enabled", "openssl_version_atleast", "openssl_version_before", "ssllib_name_startswith", "awslc_api_atleast",
		"awslc_api_before":
		c.why = append(c.why, name+" depends on the build of HAProxy")
		return unknown, nil
	}
	c.why = append(c.why, "the predicate "+name+" is not known here")
	return unknown, nil
}

// laterOrSame compares versions number by number: 2.10 is later than 2.9.
func laterOrSame(have, want string) (bool, error) {
	a, b := strings.Split(have, "."), strings.Split(want, ".")
	for i := range max(len(a), len(b)) {
		var x, y int
		var err error
		if i < len(a) {
			if x, err = strconv.Atoi(digits(a[i])); err != nil {
				return false, fmt.Errorf("%q is no version", have)
			}
		}
		if i < len(b) {
			if y, err = strconv.Atoi(digits(b[i])); err != nil {
				return false, fmt.Errorf("%q is no version", want)
			}
		}
		if x != y {
			return x > y, nil
		}
	}
	return true, nil
}

// digits are those that a part of a version begins with: "0-dev3" counts as 0.
func digits(s string) string { return s[:len(s)-len(strings.TrimLeft(s, "0123456789"))] }
