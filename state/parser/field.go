package parser

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"
)

// field is a key that a section may have. parse stores the value and returns a
// description of the problem with it, or "".
type field struct {
	key      string
	required bool
	parse    func(value string) string
}

// require returns f as a mandatory key.
func require(f field) field {
	f.required = true
	return f
}

// parseKeys parses the keys of s with fields and reports unknown and missing
// keys.
func (d *document) parseKeys(s *section, fields []field) {
	for _, e := range s.keys {
		i := slices.IndexFunc(fields, func(f field) bool { return f.key == e.key })
		if i < 0 {
			d.addProblem(e.line, s.title, e.key, "unknown key")
			continue
		}
		if problem := fields[i].parse(e.value); problem != "" {
			d.addProblem(e.line, s.title, e.key, problem)
		}
	}
	for _, f := range fields {
		if f.required && s.find(f.key) == nil {
			d.addProblem(s.line, s.title, f.key, "the key is missing")
		}
	}
}

// text returns a field for a string that check accepts. A nil check accepts any
// value.
func text(key string, dst *string, check func(string) string) field {
	return field{key: key, parse: func(v string) string {
		if check != nil {
			if problem := check(v); problem != "" {
				return problem
			}
		}
		*dst = v
		return ""
	}}
}

// list returns a field for a comma-separated list whose items check accepts.
func list(key string, dst *[]string, check func(string) string) field {
	return field{key: key, parse: func(v string) string {
		items, problem := split(v)
		if problem != "" {
			return problem
		}
		for _, item := range items {
			if problem := check(item); problem != "" {
				return problem
			}
		}
		*dst = items
		return ""
	}}
}

// split splits a list at its commas. An empty value is an empty list.
func split(v string) (items []string, problem string) {
	if v == "" {
		return nil, ""
	}
	for item := range strings.SplitSeq(v, ",") {
		item = strings.TrimSpace(item)
		if item == "" {
			return nil, "the list has an empty item"
		}
		if slices.Contains(items, item) {
			return nil, fmt.Sprintf("the list contains %q twice", item)
		}
		items = append(items, item)
	}
	return items, ""
}

// number returns a field for a whole or decimal number from minValue to
// maxValue.
func number[T int | float64](key string, dst *T, minValue, maxValue T) field {
	return field{key: key, parse: func(v string) string {
		var n T
		var err error
		kind := "number"
		switch p := any(&n).(type) {
		case *int:
			kind = "whole number"
			*p, err = strconv.Atoi(v)
		case *float64:
			*p, err = strconv.ParseFloat(v, 64)
		}
		if err != nil {
			return fmt.Sprintf("%q is not a %s", v, kind)
		}
		if n != n || n < minValue || n > maxValue {
			return fmt.Sprintf("%v is not between %v and %v", n, minValue, maxValue)
		}
		*dst = n
		return ""
	}}
}

// duration returns a field for a Go duration from minValue to maxValue.
func duration(key string, dst *time.Duration, minValue, maxValue time.Duration) field {
	return field{key: key, parse: func(v string) string {
		n, err := time.ParseDuration(v)
		if err != nil {
			return fmt.Sprintf("%q is not a duration such as 1.5s or 200ms", v)
		}
		if n < minValue || n > maxValue {
			return fmt.Sprintf("%v is not between %v and %v", n, minValue, maxValue)
		}
		*dst = n
		return ""
	}}
}

// boolean returns a field for true or false.
func boolean(key string, dst *bool) field {
	return field{key: key, parse: func(v string) string {
		if v != "true" && v != "false" {
			return fmt.Sprintf("%q is neither true nor false", v)
		}
		*dst = v == "true"
		return ""
	}}
}

// choice returns a field for one of the given values.
func choice[T ~string](key string, dst *T, values ...T) field {
	return field{key: key, parse: func(v string) string {
		if !slices.Contains(values, T(v)) {
			return fmt.Sprintf("%q is not one of %v", v, values)
		}
		*dst = T(v)
		return ""
	}}
}

// maxNameBytes bounds the length of a name.
const maxNameBytes = 63

// checkName accepts lower-case names of letters, digits, dots, underscores and
// hyphens that start with a letter or digit.
func checkName(v string) string {
	if v == "" || len(v) > maxNameBytes {
		return fmt.Sprintf("a name must have 1 to %d characters", maxNameBytes)
	}
	for i, r := range v {
		letter := r >= 'a' && r <= 'z' || r >= '0' && r <= '9'
		if !letter && (i == 0 || !strings.ContainsRune("._-", r)) {
			return fmt.Sprintf("invalid name %q: a name may contain a-z, 0-9 and, after the first character, . _ -", v)
		}
	}
	return ""
}

// checkAddr accepts an IP address with a port.
func checkAddr(v string) string {
	a, err := netip.ParseAddrPort(v)
	if err != nil {
		return fmt.Sprintf("%q is not an IP address with a port", v)
	}
	if a.Port() == 0 {
		return "the port must not be 0"
	}
	return ""
}

// checkListenAddr accepts an IP address with a port, where port 0 selects any
// free port.
func checkListenAddr(v string) string {
	if _, err := netip.ParseAddrPort(v); err != nil {
		return fmt.Sprintf("%q is not an IP address with a port", v)
	}
	return ""
}
