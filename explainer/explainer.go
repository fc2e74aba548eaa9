// Package explainer tells the course of one request from the logs of daemons.
package explainer

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// maxLineBytes bounds a line of a log.
const maxLineBytes = 1 << 20

// ErrNoLines means that no log mentions the request.
var ErrNoLines = errors.New("no log mentions the request")

// Line is one line of a log about a request.
type Line struct {
	Time    time.Time
	Daemon  string
	Message string
	Fields  map[string]any // Without those above.
}

// Read returns the lines about a request in r. Text before the JSON object of a
// line, such as a collector's prefix, is passed over, and so is a line that
// holds none.
func Read(r io.Reader, request string) ([]Line, error) {
	var lines []Line
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		text := s.Bytes()
		if !bytes.Contains(text, []byte(request)) {
			continue
		}
		start := bytes.IndexByte(text, '{')
		if start < 0 {
			continue
		}
		fields := map[string]any{}
		if json.Unmarshal(text[start:], &fields) != nil || fields["request"] != request {
			continue
		}
		lines = append(lines, lineOf(fields))
	}
	return lines, errors.Wrap(s.Err(), "read log")
}

// lineOf takes the common fields out of a line.
func lineOf(fields map[string]any) Line {
	l := Line{Daemon: textOf(fields["daemon"]), Message: textOf(fields["message"]), Fields: fields}
	// A line without a time is printed first.
	l.Time, _ = time.Parse(time.RFC3339, textOf(fields["time"]))
	for _, name := range []string{"daemon", "message", "time", "level", "request"} {
		delete(fields, name)
	}
	return l
}

func textOf(v any) string {
	s, _ := v.(string)
	return s
}

// Explain writes the course of a request in order and its outcome.
func Explain(w io.Writer, request string, lines []Line) error {
	if len(lines) == 0 {
		return errors.Wrap(ErrNoLines, request)
	}
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	fmt.Fprintf(w, "request %s\n", request)
	for _, l := range lines {
		fmt.Fprintf(w, "%s %s %s%s\n", l.Time.Format("15:04:05.000"), l.Daemon, l.Message, details(l.Fields))
	}
	last := lines[len(lines)-1]
	reason := textOf(last.Fields["reason"])
	if reason == "" {
		fmt.Fprintln(w, "outcome: not in these logs; the daemon ended, or its log is missing")
		return nil
	}
	fmt.Fprintf(w, "outcome: %s: %s\n", reason, cmp.Or(meanings[reason], "no further explanation"))
	return nil
}

// details prints fields in the order of their names.
func details(fields map[string]any) string {
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		if v := fields[name]; v != "" && v != nil {
			fmt.Fprintf(&b, " %s=%v", name, v)
		}
	}
	return b.String()
}

// meanings explain the reasons in logs.
var meanings = map[string]string{
	"served":                "the endpoint's answer was passed on",
	"no_manifest":           "the daemon had just started and knew no manifest; see its lines about dependencies",
	"malformed":             "the client's request could not be understood",
	"no_route":              "the manifest in force has no route for the host and path",
	"unknown_key":           "the API key belongs to no customer of the manifest in force",
	"too_large":             "the request exceeds a limit of the manifest",
	"no_endpoint":           "the service had no endpoint that takes work; see the lines \"endpoint changed\"",
	"endpoints_unreachable": "no endpoint of the service could be reached from this daemon; a network cut, or all have crashed",
	"no_room":               "all engines were full until too little time was left",
	"refused_by_endpoints":  "every endpoint that was asked refused before running it",
	"retry_budget_spent":    "an endpoint had refused, and the retry budget allowed no other attempt",
	"outcome_unknown":       "the request was sent, and its answer was lost; it may have run and was not repeated",
	"timeout":               "the deadline of the client or the route passed",
	"client_gone":           "the client closed its connection first",
	"stream_cut":            "the engine was lost and no copy of its memory could be continued; see the lines before",
	"daemon_stopping":       "the daemon was stopping, and the generation would have outlasted it",
}
